//! Counts the events, actions and outcomes of each kind.

use balancer::{Action, EndpointUpdate, Event, MaintenanceChange, Outcome, ServingProcesses};
use std::collections::BTreeMap;

/// All kinds of events, actions and outcomes of attempts. The scenarios have to contain each of them.
const OCCURRENCE_KINDS: [&str; 39] = [
    "Request",
    "BodyReceived",
    "BodyStalled",
    "BodyConsumed",
    "ResponseStarted",
    "ClientDisconnected",
    "Timer",
    "HealthCheckEnded",
    "MaintenanceBegins",
    "MaintenanceEnds",
    "SecondProcessRuns",
    "SecondProcessEnds",
    "Changes",
    "Full",
    "Cached",
    "Failed",
    "PollRejected",
    "Settings",
    "AttemptEnded",
    "Outcome::Success",
    "Outcome::Error",
    "Outcome::Rejected",
    "Outcome::Timeout",
    "Outcome::NoConnection",
    "Outcome::Reset",
    "Outcome::Cancelled",
    "Outcome::NotSent",
    "Send",
    "Cancel",
    "Withdraw",
    "Reject",
    "RejectWithRetryAfter",
    "Fail",
    "SetTimer",
    "HealthCheck",
    "CloseIdleConnections",
    "WatchEndpoints",
    "FinishedRequest",
    "LoadReport",
];

/// The number of occurrences of each kind.
#[derive(Debug, Default)]
pub struct Coverage {
    occurrences: BTreeMap<&'static str, usize>,
}

impl Coverage {
    /// Counts an event and the actions that were returned for it.
    pub fn count(&mut self, event: Event<'_>, actions: &[Action]) {
        self.add(kind_of_event(event));
        if let Event::AttemptEnded(ended) = event {
            self.add(kind_of_outcome(ended.outcome));
            if ended.request_finished {
                self.add("FinishedRequest");
            }
            if ended.report.is_some() {
                self.add("LoadReport");
            }
        }
        for action in actions {
            self.add(kind_of_action(action));
        }
    }

    /// Returns the kinds with fewer than `minimum` occurrences, with their numbers.
    pub fn rarer_than(&self, minimum: usize) -> Vec<String> {
        let counts =
            OCCURRENCE_KINDS.iter().map(|kind| (kind, self.occurrences.get(kind).copied().unwrap_or(0)));
        let rare = counts.filter(|(_, count)| *count < minimum);
        rare.map(|(kind, count)| format!("{kind}: {count}")).collect()
    }

    fn add(&mut self, kind: &'static str) {
        assert!(OCCURRENCE_KINDS.contains(&kind), "{kind} is missing from the list of kinds");
        *self.occurrences.entry(kind).or_default() += 1;
    }
}

fn kind_of_event(event: Event<'_>) -> &'static str {
    match event {
        Event::Request(_) => "Request",
        Event::BodyReceived(_) => "BodyReceived",
        Event::BodyStalled(_) => "BodyStalled",
        Event::BodyConsumed(_) => "BodyConsumed",
        Event::ResponseStarted { .. } => "ResponseStarted",
        Event::AttemptEnded(_) => "AttemptEnded",
        Event::ClientDisconnected(_) => "ClientDisconnected",
        Event::Timer(_) => "Timer",
        Event::HealthCheckEnded { .. } => "HealthCheckEnded",
        Event::Maintenance { change: MaintenanceChange::Begins, .. } => "MaintenanceBegins",
        Event::Maintenance { change: MaintenanceChange::Ends, .. } => "MaintenanceEnds",
        Event::ServingProcesses(ServingProcesses::Two) => "SecondProcessRuns",
        Event::ServingProcesses(ServingProcesses::One) => "SecondProcessEnds",
        Event::Endpoints(EndpointUpdate::Changes(_)) => "Changes",
        Event::Endpoints(EndpointUpdate::Full(_)) => "Full",
        Event::Endpoints(EndpointUpdate::Cached(_)) => "Cached",
        Event::Endpoints(EndpointUpdate::Failed) => "Failed",
        Event::Endpoints(EndpointUpdate::Rejected) => "PollRejected",
        Event::Settings(_) => "Settings",
    }
}

fn kind_of_outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "Outcome::Success",
        Outcome::Error => "Outcome::Error",
        Outcome::Rejected => "Outcome::Rejected",
        Outcome::Timeout => "Outcome::Timeout",
        Outcome::NoConnection => "Outcome::NoConnection",
        Outcome::Reset => "Outcome::Reset",
        Outcome::Cancelled => "Outcome::Cancelled",
        Outcome::NotSent => "Outcome::NotSent",
    }
}

fn kind_of_action(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "Send",
        Action::Cancel { .. } => "Cancel",
        Action::Withdraw { .. } => "Withdraw",
        Action::Reject { retry_after: None, .. } => "Reject",
        Action::Reject { retry_after: Some(_), .. } => "RejectWithRetryAfter",
        Action::Fail { .. } => "Fail",
        Action::SetTimer { .. } => "SetTimer",
        Action::HealthCheck(_) => "HealthCheck",
        Action::CloseIdleConnections(_) => "CloseIdleConnections",
        Action::WatchEndpoints => "WatchEndpoints",
    }
}
