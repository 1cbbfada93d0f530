//! An HTTP/1.1 load-balancing proxy: the sockets around the decision module of the crate [`balancer`].
//!
//! The decision module is a state machine without I/O and without a clock. This crate turns what happens
//! on sockets into events of that module, and the actions of the module into I/O.
//!
//! # Layers
//!
//! A module imports only modules of its own layer and of the layers below.
//!
//! | layer | module | task |
//! | --- | --- | --- |
//! | process | [`process`] | starts all parts in their order, handles signals |
//! | steering | [`control`] | settings reload, management calls, maintenance |
//! | clients | [`downstream`] | accepts connections, reads requests, writes final responses |
//! | engine | [`engine`] | drives the decision module, owns requests, attempts and timers |
//! | backends | [`upstream`] | pools connections, sends attempts, reads responses |
//! | sources | [`control`] | configuration, discovery, instance lock, maintenance store |
//!
//! All layers share [`clock`], [`limits`], [`log_writer`], [`metrics`], [`settings`], [`watch_event`] and
//! [`stream_error`].
//!
//! # The way of a request
//!
//! 1. [`downstream`] accepts a connection if its table has a free slot, reads the head of a request and
//!    checks it, and buffers the body or, if the body is long, streams it.
//! 2. [`engine`] gives the request an id and a deadline, and passes it to the decision module as an
//!    event. The module rejects the request, queues it, or starts an attempt at a backend of its choice.
//! 3. [`upstream`] sends the attempt on a pooled connection. Its result is the next event. The module
//!    then completes the request or starts a retry.
//! 4. The engine sends the final response over a channel. `downstream` writes the response, and
//!    [`metrics`] counts its status.
//!
//! Each accepted request gets exactly one final response before its deadline, whatever happens to its
//! backends. A request whose client disconnects gets none, and no further attempt.
//!
//! # One thread
//!
//! The proxy runs on a single-threaded runtime, in one [`tokio::task::LocalSet`]. State is shared by
//! `Rc`, `Cell` and `RefCell`, and no borrow of shared state is held across an `await`. The code between
//! two `await`s is therefore one turn that no other task can interrupt: a reload, for example, takes
//! effect in one turn, so that no request meets settings of two files. The price is that a turn that
//! blocks stops the whole process. Only log lines, which may block, are written by a thread of their own.
//!
//! # Ownership
//!
//! Each state has one owner: the engine owns the open requests, their timers and the settings in force; a
//! [`ConnectionPool`](upstream::pool::ConnectionPool) owns the connections to one backend;
//! [`Discovery`](control::discovery::Discovery) owns the generation of the endpoint list; and a
//! [`Server`](downstream::server::Server) owns the connections of clients. An obligation that every path
//! has to meet, such as returning a connection slot or counting an outcome, is met by dropping a value:
//!
//! ```
//! use balancer_proxy::limits::{Budget, Capacities, OtherProcess, ProcessLimits};
//!
//! // During an upgrade, each of the two processes uses half of the limits.
//! let limits = ProcessLimits { file_descriptors: 1024, memory_bytes: 64 << 20 };
//! let capacities = Capacities::new(limits.for_this_process(OtherProcess::Running), 0);
//! assert_eq!(capacities.request_body_bytes, 8 << 20);
//!
//! // Bodies are buffered within a budget. A permit returns its bytes when it is dropped.
//! let budget = Budget::new(capacities.request_body_bytes);
//! let permit = budget.try_acquire(8 << 20).expect("the budget is unused");
//! assert!(budget.try_acquire(1).is_none());
//! drop(permit);
//! assert!(budget.try_acquire(1).is_some());
//! ```

pub mod clock;
pub mod control;
pub mod downstream;
pub mod engine;
pub mod limits;
pub mod log_writer;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod stream_error;
pub mod upstream;
pub mod watch_event;

/// Logs a line to the standard error, without waiting for it to be written; see [`log_writer`].
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {
        $crate::log_writer::write_line(format_args!($($part)*))
    };
}
