//! Bounds on what the process uses: the largest messages it accepts, the capacities that follow from
//! the limits of the process, and the budgets that count what is in use against them.

mod budget;
mod capacities;
mod message_size;

pub use budget::{Budget, Permit};
pub use capacities::{Capacities, ProcessLimits};
pub use message_size::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};
