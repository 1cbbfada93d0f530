//! Scale tests of the proxy: four commands that measure the decision module, real proxies, or both, at the
//! sizes of a large deployment.
//!
//! Each command reads a plan, from an experiment file (TOML) or its defaults, with arguments that override
//! values of the plan. A plan out of its bounds is rejected, so that each run ends. The result is a
//! [`report::Report`]: tables, notes, the complete plan, the seed and the commit. The report is printed as
//! text, and written as JSON with `--json FILE`. Operators do not build this crate.
//!
//! # `slopes`: the decision module alone
//!
//! The command measures the processor time of each event of one [`balancer::Balancer`], and the memory of
//! the balancer's state. Requests arrive at an even rate on virtual time and get responses after a constant
//! time; one in sixteen is slow, so that retry timers fire. Each *axis* varies one size of a base case:
//! backends, subset, instances, classes, tenants or open requests. All cases of an axis are measured in
//! turn, round by round, as other load on the machine then affects all of them. A line through the medians
//! of the rounds gives the cost of one more unit on the axis. Processor times are those of the thread, less
//! the cost of reading the clock.
//!
//! # `control`: real proxies and a stub discovery server
//!
//! The command starts proxies as child processes, each with an endpoint list that a stub discovery server in
//! this process serves on an address of its own. The list changes at constant rates in windows; procfs
//! gives the processor time and memory of each proxy, the server counts polls and bytes. A change is in
//! force at a proxy once the next poll names the version of the change. After an outage of the server
//! (refused connections, silence or slow responses) the command counts the polls of all proxies for 6 s, and
//! measures the time until all have the missed changes. No request reaches a backend. With `--settings-changes` the command rolls out new
//! versions of the settings file instead, with and without faults, and reads the version in force from the
//! `stats` of each proxy.
//!
//! # `fleet`: a simulated fleet
//!
//! The command simulates thousands of balancers on virtual time. Services of uneven size form a call graph
//! in layers; each machine has a backend of one service and a proxy that calls one lower service. Network,
//! backends and discovery are models: constant round-trip times by zone and region, exponential service
//! times without queues, lognormal delays of endpoint updates. A *phase* injects faults: restarts and
//! crashes of a day, the crash of a rack or a zone, a partition of a region, the restart of half of a
//! service. As nothing that a proxy sends changes the response of a backend, callers are simulated one by
//! one, in parallel, and their observations are combined afterwards. The same seed gives the same figures
//! with any number of threads, processor times and memory aside. The command fails if a call gets no final
//! response or more than one, gets the response after its deadline, or is unsafe and is sent again after
//! it may have run.
//!
//! # `added`: the latency that a proxy adds
//!
//! The command sends an open-loop load through one real proxy, and as many calls directly, to the same stub
//! backends, which respond at once. Calls are drawn in advance from a Poisson process, and the latency of a
//! call counts from its scheduled start. The added latency at a percentile is the difference of the
//! percentiles of the two routes. The verdict against the budget is inconclusive if the load generator was
//! late or direct calls were slow, as the machine then was too busy.
//!
//! # Example
//!
//! A rack of a small fleet fails, at one ten-thousandth of the full call rate:
//!
//! ```
//! use fleet_bench::fleet::{self, Phase};
//! use fleet_bench::plan::PlanSource;
//!
//! let report = fleet::run(&fleet::Args {
//!     source: PlanSource { seed: Some(7), ..PlanSource::default() },
//!     phases: vec![Phase::Rack],
//!     services: Some(20),
//!     backends: Some(60),
//!     restarts: Some(0),
//!     rate_scale: Some(0.000_1),
//!     warm_up: Some(2.0),
//!     window: Some(5.0),
//!     ..fleet::Args::default()
//! })?;
//!
//! let calls = report.tables.iter().find(|table| table.name == "Calls in the window").unwrap();
//! assert_eq!(calls.columns[..3], ["phase", "calls", "succeeded, %"]);
//! assert_eq!(calls.rows.len(), 1);
//! # Ok::<(), fleet_bench::error::Error>(())
//! ```

mod address;
pub mod backend;
mod background_runtime;
mod budget;
pub mod control;
pub mod discovery;
pub mod error;
pub mod fleet;
pub mod instance;
mod latency;
pub mod latency_overhead;
pub mod plan;
mod proxy;
pub mod report;
mod request_head;
mod resource_usage;
mod rollout;
pub mod sampling;
mod shutdown;
pub mod slopes;
pub mod stats;
mod thread_clock;
