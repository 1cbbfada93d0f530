//! The decisions of a load balancer for services that call services.
//!
//! [`Balancer`] is a state machine without I/O: it takes events with the time at which they happened, and
//! returns actions. All decisions are in `decisions`, what a balancer knows is in `state`, and the types of
//! events, actions and settings are re-exported here.

mod decisions;
mod interface;
mod state;

pub use interface::*;
pub use state::Balancer;

/// The example of the front page, run as a test.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
