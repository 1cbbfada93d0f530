//! The decisions of a load balancer for services that call services.
//!
//! [`Balancer`] is a state machine without I/O: it takes events with the time at which they happened, and
//! returns actions. All decisions are in `decisions`, what a balancer knows is in `state`, and the types of
//! events, actions and settings are re-exported here. [`proxy`] has the sockets around it; [`wire`] turns the
//! simulator's text protocol into these types and back.

mod decisions;
mod interface;
pub mod proxy;
mod state;
pub mod wire;

pub use interface::*;
pub use state::Balancer;

/// The example of the front page, run as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
