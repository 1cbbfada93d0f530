//! Scale tests of the proxy: four commands that measure the decision module, real proxies or a simulated
//! fleet at the sizes of a large deployment.
//!
//! Each command reads a plan from an experiment file (TOML) or uses its default plan. Arguments override
//! values of the plan. A plan out of its bounds is rejected, so that the duration of every run is limited.
//! The result is a [`report::Report`] with tables, notes, the complete plan, the seed and the commit. The
//! report is printed as text, and also written as JSON with `--json FILE`. Operators do not build this
//! crate.
//!
//! # `slopes`: the decision module alone
//!
//! The command measures the processor time of each event of one [`balancer::Balancer`], and the memory of
//! the balancer's state. Requests arrive at a constant rate on virtual time and get responses after a
//! constant time. One in sixteen responses is slow, so that retry timers fire. Each *axis* varies one size
//! of a base case: backends, subset, instances, classes, tenants or open requests. A round measures all
//! cases of an axis in turn, so that other load on the machine affects all of them. A line through the
//! medians of the rounds gives the cost of one more unit on the axis. Processor times are those of the
//! thread, without the cost of reading the clock.
//!
//! # `control`: real proxies and a stub discovery server
//!
//! The command starts proxies as child processes. A stub discovery server in this process serves each proxy
//! its endpoint list on a separate address. The list changes at constant rates in windows. The processor
//! time and memory of each proxy are read from procfs, and the server counts polls and bytes. A change is
//! in force at a proxy once the next poll of the proxy names the version of the change. After an outage of
//! the server (refused connections, silence or slow responses) the command counts the polls of all proxies
//! for 6 s, and measures the time until all proxies have the missed changes. No request reaches a backend.
//! With `--settings-changes` the command instead rolls out new versions of the settings, with and without
//! faults, and reads the version in force from the `stats` of each proxy.
//!
//! # `fleet`: a simulated fleet
//!
//! The command simulates thousands of balancers on virtual time. Services of different sizes form a call
//! graph in layers. Each machine has a backend of one service and a proxy that calls one service of a lower
//! layer. Network, backends and discovery are models: constant round-trip times by zone and region,
//! exponential service times without queues, lognormal delays of endpoint updates. A *phase* injects
//! faults: restarts and crashes of a day, the crash of a rack or a zone, a partition of a region, the
//! restart of half of a service. No call of a proxy affects the responses of a backend, so that callers
//! are simulated independently and in parallel, and their observations are combined afterwards. The same
//! seed gives the same results with any number of threads, except for processor times and memory. The
//! command fails if a call gets no final response or more than one, if the response arrives after the
//! deadline of the call, or if an unsafe call is sent again after it may have run.
//!
//! # `added`: the latency that a proxy adds
//!
//! The command sends an open-loop load through one real proxy, and direct calls at the same mean rate, to the
//! same stub backends, which respond at once. The start times of the calls are drawn from a Poisson process
//! in advance, and the latency of a call is measured from its scheduled start. The added latency at a
//! percentile is the difference between the percentiles of the two routes. The verdict against the budget is
//! inconclusive if the load generator was late or direct calls were slow, because the machine was too busy
//! then.
//!
//! # Example
//!
//! The following program simulates a small fleet in which a rack fails, at one ten-thousandth of the full
//! call rate:
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
pub mod control_plane;
pub mod discovery;
pub mod error;
pub mod fleet;
pub mod instance;
pub mod latency;
pub mod latency_overhead;
pub mod plan;
mod proxy;
pub mod random_values;
pub mod report;
mod request_head;
mod resource_usage;
mod rollout;
mod shutdown;
pub mod slopes;
pub mod stats;
mod thread_clock;
