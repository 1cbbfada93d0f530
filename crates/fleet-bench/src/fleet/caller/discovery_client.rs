//! The process of a caller and its endpoint list: the messages that the process receives from discovery,
//! and the list that an agent on the machine stores while the process is down.

use super::endpoint_list::EndpointList;
use super::message::Message;
use super::network::Network;
use crate::fleet::faults::OutageKind;
use crate::fleet::scenario::Scenario;
use balancer::{Time, ZoneId};
use rand::rngs::SmallRng;
use std::ops::Range;

/// Response time of the discovery agent on the proxy's own machine, in seconds.
const AGENT_RESPONSE_SECONDS: Time = 0.005;

/// The state of the caller's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    /// No process is running.
    Down,
    /// A new process has the cached endpoint list, and discovery has not responded yet.
    Starting,
    /// The process has received a response from discovery.
    Running,
}

/// Endpoint changes that a running process receives.
#[derive(Clone, Debug)]
pub struct ReceivedChanges {
    /// The indices of the changes.
    pub changes: Range<usize>,
    /// The message with the changes.
    pub message: Message,
}

/// The process of a caller and its endpoint list.
#[derive(Debug)]
pub struct DiscoveryClient<'a> {
    scenario: &'a Scenario<'a>,
    /// Whether the agent on the machine is up throughout the phase. The agent keeps running during a
    /// restart of the proxy's process, but not during a crash of the machine.
    agent_is_up: bool,
    process: ProcessState,
    endpoints: EndpointList,
}

impl<'a> DiscoveryClient<'a> {
    /// Creates a running process that has the endpoint list before the first change.
    pub fn new(scenario: &'a Scenario<'a>, machine: usize) -> Self {
        let context = &scenario.context;
        let first_machine = scenario.service().machines.start;
        let endpoints = context.topology.endpoints(scenario.service_index);
        let outage = context.faults.outages[machine];
        Self {
            scenario,
            agent_is_up: outage.is_none_or(|outage| outage.kind == OutageKind::Restart),
            process: ProcessState::Running,
            endpoints: EndpointList::new(first_machine, endpoints),
        }
    }

    /// Returns the endpoint list of the process.
    pub fn endpoints(&self) -> &EndpointList {
        &self.endpoints
    }

    /// Returns whether a process is starting or running.
    pub fn is_up(&self) -> bool {
        self.process != ProcessState::Down
    }

    /// Delivers the changes before the index `end_of_changes`. Returns `None` if the process is down or
    /// starting, or already has the changes from a full list.
    pub fn deliver(&mut self, end_of_changes: usize, now: Time) -> Option<ReceivedChanges> {
        let changes = self.endpoints.applied_count()..end_of_changes;
        if changes.is_empty() {
            return None;
        }
        let running = self.process == ProcessState::Running;
        // The agent stores the changes while the process restarts.
        if running || self.agent_is_up {
            self.endpoints.apply(&self.scenario.changes, end_of_changes, now);
        }
        running.then(|| ReceivedChanges { changes: changes.clone(), message: self.message(changes) })
    }

    /// Returns a message with changes that have been applied. If there are more changes than backends, as
    /// after a long partition, the message has the full list instead.
    fn message(&self, changes: Range<usize>) -> Message {
        if changes.len() > self.endpoints.len() {
            return Message::Full(self.endpoints.listed());
        }
        let changes = &self.scenario.changes[changes];
        Message::Changes(changes.iter().map(|change| change.endpoint.clone()).collect())
    }

    /// Stops the process.
    pub fn stop(&mut self) {
        self.process = ProcessState::Down;
    }

    /// Starts a new process.
    pub fn start(&mut self) {
        self.process = ProcessState::Starting;
    }

    /// Draws the time at which a new process gets its first response from discovery, in seconds. The
    /// response comes from the agent on the machine if the agent is up.
    pub fn draw_first_response(
        &self,
        now: Time,
        network: &Network<'_>,
        zone: ZoneId,
        rng: &mut SmallRng,
    ) -> Time {
        if self.agent_is_up {
            return now + AGENT_RESPONSE_SECONDS;
        }
        let context = &self.scenario.context;
        let delay = network.draw_update_delay(zone, rng);
        context.faults.discovery_reachable_from(zone, now, context.topology) + delay
    }

    /// Delivers the first response after a start: the list of the agent if the agent is up, otherwise the
    /// list with all changes that discovery has published.
    pub fn deliver_first_response(&mut self, now: Time) -> Message {
        self.process = ProcessState::Running;
        if !self.agent_is_up {
            let changes = &self.scenario.changes;
            let published_count = changes.partition_point(|change| change.published_at <= now);
            self.endpoints.apply(changes, published_count.max(self.endpoints.applied_count()), now);
        }
        Message::Full(self.endpoints.listed())
    }
}
