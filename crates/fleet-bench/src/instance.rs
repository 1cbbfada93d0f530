//! The instance list: the endpoint list in the format of discovery responses and of a proxy's configuration
//! file.

use serde::Serialize;
use std::net::SocketAddr;

/// The first version of every instance list.
pub const FIRST_LIST_VERSION: u64 = 1;
/// Names of the zones to which instances are assigned in turn.
const ZONE_NAMES: [&str; 3] = ["a", "b", "c"];
/// Number of cells to which instances are assigned in turn.
const CELL_COUNT: usize = 9;
/// Multiplier that converts an instance number to a pseudo-random id: 2^32 divided by the golden ratio.
const INSTANCE_ID_MULTIPLIER: u32 = 0x9e37_79b1;

/// The lifecycle state of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// The instance accepts requests.
    Serving,
    /// The instance completes the requests in progress, and accepts no new ones.
    Draining,
    /// The instance no longer exists. Only lists of changes contain deleted instances.
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
    /// Capacity relative to the other instances.
    pub weight: f64,
    /// Last start of the instance, in milliseconds of Unix time; 0 if the instance started long ago.
    pub started_at_ms: u64,
}

impl Instance {
    fn serving(number: usize, host_port: SocketAddr) -> Self {
        Self {
            // Adjacent instances have very different ids, as in the operators' example.
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

/// Creates serving instances at these addresses, assigned to zones and cells in turn.
pub fn create_instances(addresses: impl Iterator<Item = SocketAddr>) -> Vec<Instance> {
    addresses.enumerate().map(|(number, address)| Instance::serving(number, address)).collect()
}

/// An instance list as it is sent: the full list, or the changed instances.
#[derive(Debug, Serialize)]
pub struct InstanceList<'a> {
    /// The version of the list.
    pub generation: u64,
    /// Whether the list is the full list; `false` for a list of changes.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<&'a Instance>,
}

impl<'a> InstanceList<'a> {
    /// Creates the full list in its first version. Proxies are started with this list.
    #[must_use]
    pub fn initial(instances: &'a [Instance]) -> Self {
        Self { generation: FIRST_LIST_VERSION, reset: true, instances: instances.iter().collect() }
    }
}
