//! The decisions of a load balancer for services that call services.
//!
//! A [`Balancer`] decides which backend serves a request, which requests are retried, and which are
//! rejected. It is a state machine without I/O, clock or global state: [`Balancer::handle`] takes an
//! [`Event`] with the time of the event, and appends the [`Action`]s that the caller has to carry out.
//! Equal seeds, settings and events yield equal actions, so that a recorded stream of events can be
//! replayed.
//!
//! # Responsibilities of the caller
//!
//! The caller owns sockets and clocks. It reports each request ([`Event::Request`]), the end of each
//! attempt ([`Event::AttemptEnded`]), each timer that fires ([`Event::Timer`]) and each update of the
//! endpoint list ([`Event::Endpoints`]). The balancer requests attempts ([`Action::Send`]) and gives
//! exactly one final response to each request: the response of an attempt, [`Action::Reject`] or
//! [`Action::Fail`]. A request whose client has disconnected gets no response.
//!
//! # Processing of a request
//!
//! 1. *Admission*: a request whose response would come too late is rejected at once. Under overload, the
//!    entry tier queues the requests with the lowest priority weight per unit of work, and rejects them if
//!    the overload lasts.
//! 2. *Ordering*: requests with the same ordering key are dispatched one at a time, if their class is
//!    ordered by key.
//! 3. *Placement*: two members of the balancer's subset are sampled at random, and the attempt goes to the
//!    one with less load. The slow start of a member that is warming up limits the requests sent to it.
//! 4. *Retransmission*: while a request is unanswered, retry timers with doubling intervals fire: the first
//!    T1 after the dispatch, the next ones 2 T1 and 4 T1 after the one before. When a timer fires, the
//!    request may be retried. The probability of a retry falls as the number of unanswered requests rises.
//!    The [`Effect`] of the request's class restricts the attempts that are permitted.
//! 5. *Completion*: the first response ends the request, and the remaining attempts are cancelled or
//!    withdrawn.
//!
//! # State
//!
//! Each concern owns its state in private fields: admission, quotas, ordered keys, traffic, overload
//! detection, the call table and polls of the endpoint list. The concerns with state for each backend are
//! the endpoint table, attempt counts, outlier detection, load reports, slow start, maintenance and the
//! subset. The balancer holds one of each, and calls them in the order of the decisions. All random draws
//! come from one generator, in the order of the decisions.
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

/// Runs the examples of `README.md` as doctests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
