//! The text protocol of the simulator, converted to and from the types of the decision module.
//!
//! [`parse_line`] reads a line, and `write_action` writes an action. The module has no state except for the
//! tables of names, which the caller owns: names of classes, tenants and zones become indices here, so that
//! the decision module never sees a name. Words in capitals are those of the protocol.
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
