//! Bounds on the resources that the process uses.
//!
//! - `message_size`: the largest messages that the proxy accepts, and the pieces of their bodies
//! - `capacities`: numbers of connections and of bytes, derived from the limits of the process
//! - `budget`: counts the units of a resource in use against an upper bound

mod budget;
mod capacities;
mod message_size;

pub use budget::{Budget, Permit};
pub use capacities::{Capacities, OtherProcess, ProcessLimits};
pub use message_size::{
    MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, MAX_PIECE_BYTES, max_buffered_bytes, split_piece,
};
