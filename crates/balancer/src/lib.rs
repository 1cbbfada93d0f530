//! The decisions of a load balancer for services that call services.
//!
//! A [`Balancer`] decides which backend serves a request, what is retried, and what is rejected. It is a
//! state machine without I/O, clock or global state: [`Balancer::handle`] takes an [`Event`] with the time
//! at which the event happened, and appends the [`Action`]s that the caller has to carry out. Equal seeds,
//! settings and events yield equal actions, so that a recorded stream of events can be replayed.
//!
//! # The duties of the caller
//!
//! The caller owns sockets and clocks. It tells the balancer of each request ([`Event::Request`]) and of
//! the end of each attempt ([`Event::AttemptEnded`]), hands back each timer when its time has come
//! ([`Event::Timer`]), and passes on the endpoint list ([`Event::Endpoints`]). In return the balancer asks
//! for attempts ([`Action::Send`]) and gives exactly one final response to each request: the response of an
//! attempt, [`Action::Reject`] or [`Action::Fail`]. A request whose client has disconnected gets none.
//!
//! # The way of a request
//!
//! 1. *Admission*: a request whose response would come too late is rejected at once. At the entry tier,
//!    requests that have the least priority for their work wait under overload, and are rejected if the
//!    overload lasts.
//! 2. *Ordering*: requests with the same ordering key are dispatched one at a time, if their class asks for
//!    it.
//! 3. *Placement*: of two random members of the balancer's subset, the attempt goes to the one with less
//!    load. Members that are warming up get as much as their slow start permits.
//! 4. *Retransmission*: while a request is unanswered, doubling timers fire at T1, then 2 T1 and 4 T1
//!    later. At each of them the request may be retried, with a probability that falls as the number of
//!    unanswered requests rises. The [`Effect`] of its class bounds the attempts.
//! 5. *Completion*: the first response ends the request, and the remaining attempts are cancelled or
//!    withdrawn.
//!
//! # State
//!
//! Each concern owns its state in private fields: admission, quotas, ordered keys, traffic, overload
//! detection, the call table, polls of the endpoint list, and, by backend, the endpoint table, attempt
//! counts, outlier detection, load reports, slow start, maintenance and the subset. The balancer holds one
//! of each and says in which order they are asked. All random draws come from one generator, in the order
//! of the decisions.
//!
//! # Example
//!
//! ```
//! use balancer::{
//!     Action, BackendId, Balancer, Endpoint, EndpointUpdate, Event, Request, RequestClass, RequestId,
//!     Settings,
//! };
//!
//! let settings = Settings { classes: vec![RequestClass::default()], ..Settings::default() };
//! let mut balancer = Balancer::new(0.0, 7, settings);
//! let mut actions = Vec::new();
//!
//! let endpoints = [Endpoint { id: BackendId(1), ..Endpoint::default() }];
//! balancer.handle(0.0, Event::Endpoints(EndpointUpdate::Full(&endpoints)), &mut actions);
//! let request = Request { id: RequestId(1), timeout: 1.0, ..Request::default() };
//! balancer.handle(0.1, Event::Request(request), &mut actions);
//!
//! let is_sent = |action: &Action| matches!(action, Action::Send { backend: BackendId(1), .. });
//! assert!(actions.iter().any(is_sent));
//! ```

mod decisions;
mod interface;
mod support;

pub use decisions::Balancer;
pub use interface::{
    Action, AttemptId, AttemptNumber, BackendId, CellId, ClassIndex, Effect, EndedAttempt, Endpoint,
    EndpointUpdate, Event, IdempotencyGroup, LoadReport, MaintenanceChange, Outcome, Request, RequestClass,
    RequestId, ServingProcesses, Settings, Status, Tenant, TenantIndex, Tier, Time, TimerToken, ZoneId,
};

/// The example of the front page, run as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
