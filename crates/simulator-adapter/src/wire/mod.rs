//! The text protocol of the simulator, converted to and from the types of the interface.
//!
//! Lines are read by [`parse`] and actions written by [`write_action`]; nothing here has state but
//! the tables of names that the caller owns. Names of classes, tenants and zones become indices here,
//! so that the decisions never see them. Words in capitals are the protocol's own.

mod action;
mod endpoint_list;
mod error;
mod line;
mod names;
mod settings;
mod values;

pub use action::write_action;
pub use endpoint_list::{LIST_COUNT, ListId, ListUpdate};
pub use error::WireError;
pub use line::{InstanceStart, Line, parse};
pub use names::{InstanceNames, NameIndex};
