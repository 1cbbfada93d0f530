//! The text protocol of the simulator, converted to and from the types of the decision module.
//!
//! [`parse_line`] reads a line, and `write_action` writes an action. The module has no state of its own. It
//! converts the names of classes, tenants and zones to indices, as the decision module uses no names for
//! them. The caller owns the tables of names. Words in capitals are words of the protocol.
//!
//! ```
//! use balancer::{Event, TimerToken};
//! use simulator_adapter::wire::{Line, ZoneIds, parse_line};
//!
//! let mut zones = ZoneIds::default();
//!
//! let line = parse_line("TICK_DUE 77", &mut zones, None)?;
//!
//! assert!(matches!(line, Line::Event(Event::Timer(TimerToken(77)))));
//! # Ok::<(), simulator_adapter::wire::WireError>(())
//! ```

mod action;
mod endpoint_list;
mod error;
mod line;
mod names;
mod settings;
mod values;

pub(crate) use action::write_action;
pub use endpoint_list::{LIST_COUNT, ListId, ListUpdate};
pub use error::WireError;
pub use line::{InstanceStart, Line, parse_line};
pub use names::{InstanceNames, ZoneIds};
