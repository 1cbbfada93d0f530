//! The instance list in the form that discovery and a proxy's configuration share.

use serde::Serialize;
use std::net::SocketAddr;

/// The version with which every list begins.
pub const FIRST_VERSION: u64 = 1;
/// Zones over which instances are spread.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Cells over which instances are spread.
const CELLS: usize = 9;
/// Multiplier (2^32 divided by the golden ratio) that turns a number into a random-looking id.
const ID_MULTIPLIER: u32 = 0x9e37_79b1;

/// The lifecycle state of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// It accepts requests.
    Serving,
    /// It completes the requests that it has, and accepts no new ones.
    Draining,
    /// It is gone. Only lists of changes contain it.
    Deleted,
}

/// An entry of the list.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Its id.
    pub instance_id: String,
    /// The address on which it listens.
    pub host_port: SocketAddr,
    /// Its zone.
    pub zone: &'static str,
    /// Its machine type.
    pub machine_type: &'static str,
    /// Its cell.
    pub cell: usize,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
    /// Its capacity relative to that of the others.
    pub weight: f64,
    /// Its last start, in milliseconds of Unix time; 0 stands for long ago.
    pub started_at_ms: u64,
}

impl Instance {
    fn serving(number: usize, host_port: SocketAddr) -> Self {
        Self {
            // Ids differ as much as those in the operators' example.
            instance_id: format!("s-{:08x}", (number as u32).wrapping_mul(ID_MULTIPLIER)),
            host_port,
            zone: ZONES[number % ZONES.len()],
            machine_type: "m2",
            cell: number % CELLS,
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at_ms: 0,
        }
    }
}

/// Serving instances at these addresses, spread over zones and cells.
pub fn instances_at(addresses: impl Iterator<Item = SocketAddr>) -> Vec<Instance> {
    addresses.enumerate().map(|(number, address)| Instance::serving(number, address)).collect()
}

/// A list as it is sent: the full one or what has changed.
#[derive(Debug, Serialize)]
pub struct InstanceList<'a> {
    /// The version of the list.
    pub generation: u64,
    /// True for a full list, false for changes.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<&'a Instance>,
}

impl<'a> InstanceList<'a> {
    /// The full list in its first version, with which a proxy is started.
    #[must_use]
    pub fn initial(instances: &'a [Instance]) -> Self {
        Self { generation: FIRST_VERSION, reset: true, instances: instances.iter().collect() }
    }
}
