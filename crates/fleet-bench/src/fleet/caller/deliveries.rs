//! Arrival times of the endpoint updates of discovery at a caller.

use super::network::Network;
use crate::fleet::scenario::Scenario;
use balancer::{Time, ZoneId};
use rand::rngs::SmallRng;

/// A message with endpoint changes.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    /// Time of the arrival, in seconds.
    pub at: Time,
    /// Index after the last change in the message. The caller has received all changes before this index
    /// when the message arrives.
    pub end_of_changes: usize,
}

/// Draws the times at which the changes reach a machine of this zone. A change never arrives before an
/// earlier change. Changes that arrive at the same time form one message.
pub fn draw_deliveries(
    scenario: &Scenario<'_>,
    network: &Network<'_>,
    zone: ZoneId,
    rng: &mut SmallRng,
) -> Vec<Delivery> {
    let context = &scenario.context;
    let mut deliveries: Vec<Delivery> = Vec::new();
    let delay_after_partition = network.draw_update_delay(zone, rng);
    for (i, change) in scenario.changes.iter().enumerate() {
        let from_zone = context.topology.machines[change.machine].zone;
        let mut at = change.published_at + network.draw_update_delay(from_zone, rng);
        let reachable_at = context.faults.discovery_reachable_from(zone, at, context.topology);
        if reachable_at > at {
            at = reachable_at + delay_after_partition;
        }
        match deliveries.last_mut() {
            Some(last) if at <= last.at => last.end_of_changes = i + 1,
            _ => deliveries.push(Delivery { at, end_of_changes: i + 1 }),
        }
    }
    deliveries
}
