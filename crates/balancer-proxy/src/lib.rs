//! An HTTP/1.1 load-balancing proxy: the network I/O around the decision module of the crate [`balancer`].
//!
//! The decision module is a state machine without I/O and without a clock. This crate translates I/O into
//! events of the decision module, and carries out the actions that the module returns.
//!
//! # Layers
//!
//! A module imports only modules of its own layer and of the layers below it.
//!
//! | layer | module | task |
//! | --- | --- | --- |
//! | process | [`process`] | starts all parts in order, handles signals |
//! | control | [`control`] | settings reload, management calls, maintenance |
//! | clients | [`downstream`] | accepts connections, reads requests, writes final responses |
//! | engine | [`engine`] | drives the decision module, owns requests, attempts and timers |
//! | backends | [`upstream`] | pools connections, sends attempts, reads responses |
//! | inputs | [`control`] | configuration, discovery, instance lock, maintenance store |
//!
//! All layers share [`clock`], [`limits`], [`log_writer`], [`metrics`], [`settings`], [`watch_event`] and
//! [`stream_error`].
//!
//! # Path of a request
//!
//! 1. [`downstream`] accepts a connection if its table has a free slot, reads and checks the head of
//!    a request, and buffers the body or, if the body is long, streams it.
//! 2. [`engine`] assigns an id and a deadline to the request, and passes the request to the decision module
//!    as an event. The module rejects the request, queues it, or chooses a backend and starts an attempt.
//! 3. [`upstream`] sends the attempt on a pooled connection. Its result is the next event. The module
//!    then completes the request or starts a retry.
//! 4. The engine sends the final response over a channel. `downstream` writes the response, and
//!    [`metrics`] counts its status.
//!
//! Each accepted request gets exactly one final response before its deadline, even if its backends fail.
//! A request whose client disconnects gets no response and no further attempt.
//!
//! # Threading
//!
//! The proxy runs on a single-threaded runtime, in one [`tokio::task::LocalSet`]. State is shared by
//! `Rc`, `Cell` and `RefCell`, and no borrow of shared state is held across an `await`. No other task can
//! run between two `await`s: a reload, for example, applies a file without an `await`, so that no request
//! is handled with settings from two files. A call that blocks, however, stops the whole process. Writing
//! a log line may block, so a separate thread writes the log.
//!
//! # Ownership
//!
//! Each piece of state has one owner: the engine owns the open requests, their timers and the settings in
//! force; a [`ConnectionPool`](upstream::pool::ConnectionPool) owns the connections to one backend;
//! [`Discovery`](control::discovery::Discovery) owns the generation of the endpoint list; and a
//! [`Server`](downstream::server::Server) owns the connections of clients. A step that every code path has
//! to take, such as returning a connection slot or counting an outcome, is taken when a value is dropped:
//!
//! ```
//! use balancer_proxy::limits::{Budget, Capacities, OtherProcess, ProcessLimits};
//!
//! // During an upgrade, each of the two processes uses half of the limits.
//! let limits = ProcessLimits { file_descriptors: 1024, memory_bytes: 64 << 20 };
//! let capacities = Capacities::new(limits.for_this_process(OtherProcess::Running), 0);
//! assert_eq!(capacities.request_bytes, 8 << 20);
//!
//! // Requests use memory within a budget. A permit returns its bytes when it is dropped.
//! let budget = Budget::new(capacities.request_bytes);
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

/// Logs a line to the standard error without waiting until the line has been written; see [`log_writer`].
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {
        $crate::log_writer::write_line(format_args!($($part)*))
    };
}
