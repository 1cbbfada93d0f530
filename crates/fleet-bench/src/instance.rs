//! The instance list in the form that discovery and a proxy's configuration share.

use serde::Serialize;
use std::net::SocketAddr;

/// The version with which every list begins.
pub const FIRST_LIST_VERSION: u64 = 1;
/// Zones over which instances are spread.
const ZONE_NAMES: [&str; 3] = ["a", "b", "c"];
/// Cells over which instances are spread.
const CELL_COUNT: usize = 9;
/// Multiplier (2^32 divided by the golden ratio) that turns a number into a random-looking id.
const INSTANCE_ID_MULTIPLIER: u32 = 0x9e37_79b1;

/// The lifecycle state of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// The instance accepts requests.
    Serving,
    /// The instance completes the requests in progress, and accepts no new ones.
    Draining,
    /// The instance is gone. Only lists of changes contain deleted instances.
    Deleted,
}

/// An entry of the list.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Id of the instance.
    pub instance_id: String,
    /// Address on which the instance listens.
    pub host_port: SocketAddr,
    /// Zone of the instance.
    pub zone: &'static str,
    /// Machine type of the instance.
    pub machine_type: &'static str,
    /// Cell of the instance.
    pub cell: usize,
    /// Lifecycle state of the instance.
    pub lifecycle: Lifecycle,
    /// Capacity relative to that of the other instances.
    pub weight: f64,
    /// Last start of the instance, in milliseconds of Unix time; 0 stands for long ago.
    pub started_at_ms: u64,
}

impl Instance {
    fn serving(number: usize, host_port: SocketAddr) -> Self {
        Self {
            // The ids differ as much as the ids in the operators' example.
            instance_id: format!("s-{:08x}", (number as u32).wrapping_mul(INSTANCE_ID_MULTIPLIER)),
            host_port,
            zone: ZONE_NAMES[number % ZONE_NAMES.len()],
            machine_type: "m2",
            cell: number % CELL_COUNT,
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at_ms: 0,
        }
    }
}

/// Creates serving instances at these addresses, spread over zones and cells.
pub fn create_instances(addresses: impl Iterator<Item = SocketAddr>) -> Vec<Instance> {
    addresses.enumerate().map(|(number, address)| Instance::serving(number, address)).collect()
}

/// A list on the wire: the full list, or the changed instances.
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
    /// Creates the full list in its first version, with which a proxy is started.
    #[must_use]
    pub fn initial(instances: &'a [Instance]) -> Self {
        Self { generation: FIRST_LIST_VERSION, reset: true, instances: instances.iter().collect() }
    }
}
