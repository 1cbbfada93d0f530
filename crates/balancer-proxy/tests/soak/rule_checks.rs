//! Checks of the rules of the operators' pages for clients and backends, on the observations of a scenario
//! run.

use super::backends::Arrival;
use super::client::{Exchange, Outcome};
use super::scenario::Scenario;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The grace period in the settings of the scenarios, after which a backend in maintenance gets no new
/// requests.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// The tolerance that the operators' rules allow on time limits.
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(50);

/// The times of a scenario run that the rules refer to.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioTimes {
    /// The time of the first SIGTERM.
    pub terminated_at: Instant,
    /// The time of SIGKILL, or of the end of the process if that came first.
    pub ended_at: Instant,
    /// Whether SIGKILL ended the process.
    pub was_killed: bool,
    /// The time at which the management call that starts maintenance was answered; `None` without
    /// maintenance.
    pub maintenance_begun_at: Option<Instant>,
}

/// The observations of a scenario run.
pub struct Observations {
    /// The requests of all clients.
    pub exchanges: Vec<Exchange>,
    /// The arrivals at the backends, by request id.
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    /// The times of the scenario run.
    pub times: ScenarioTimes,
}

/// Returns a line for each violation of a rule.
pub fn rule_violations(scenario: &Scenario, observations: &Observations) -> Vec<String> {
    let Observations { exchanges, arrivals, times } = observations;
    let mut rule_violations: Vec<String> = Vec::new();
    for exchange in exchanges {
        let request_arrivals = arrivals.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        let violated_rules = [
            missing_response(exchange, request_arrivals, scenario, *times),
            repeated_unsafe_request(exchange, request_arrivals),
            request_after_grace_period(request_arrivals, *times),
        ];
        let offset = signed_milliseconds(exchange.sent_at, times.terminated_at);
        let describe = |rule| {
            let arrivals: Vec<_> = request_arrivals
                .iter()
                .map(|arrival| signed_milliseconds(arrival.at, times.terminated_at))
                .collect();
            format!("{rule}: sent {offset} ms from SIGTERM, at backends {arrivals:?}, {exchange:?}")
        };
        rule_violations.extend(violated_rules.into_iter().flatten().map(describe));
    }
    rule_violations
}

fn signed_milliseconds(at: Instant, origin: Instant) -> i64 {
    let after = at.saturating_duration_since(origin).as_millis() as i64;
    after - origin.saturating_duration_since(at).as_millis() as i64
}

/// Checks that each request that a process has read gets a response. The proxy may close a connection that
/// has carried a request before while the client sends another one, which is then not read. If no process
/// takes over, new connections may be refused or closed after SIGTERM.
fn missing_response(
    exchange: &Exchange,
    arrivals: &[Arrival],
    scenario: &Scenario,
    times: ScenarioTimes,
) -> Option<&'static str> {
    let is_stopping = exchange.ended_at >= times.terminated_at;
    match exchange.outcome {
        Outcome::Response(_) => None,
        Outcome::TimedOut => Some("a request got no response before the response timeout"),
        Outcome::Refused if scenario.has_successor => {
            Some("a connection was refused although a successor was running")
        }
        Outcome::Refused => (!is_stopping).then_some("a connection was refused before SIGTERM"),
        Outcome::ConnectionEnded if !arrivals.is_empty() => {
            Some("a request that was forwarded got no response")
        }
        Outcome::ConnectionEnded if !is_stopping => Some("a connection ended before SIGTERM"),
        Outcome::ConnectionEnded if scenario.has_successor && !exchange.is_reused => {
            Some("a new connection ended without a response although a successor was running")
        }
        Outcome::ConnectionEnded => {
            let is_ended_by_sigkill =
                times.was_killed && exchange.ended_at + TIME_LIMIT_TOLERANCE >= times.ended_at;
            let is_sent_at_sigkill = exchange.sent_at + TIME_LIMIT_TOLERANCE >= times.ended_at;
            (is_ended_by_sigkill && !is_sent_at_sigkill)
                .then_some("a request had no response when SIGKILL ended the process")
        }
    }
}

/// Checks that an unsafe request arrives at most once at the backends.
fn repeated_unsafe_request(exchange: &Exchange, arrivals: &[Arrival]) -> Option<&'static str> {
    (exchange.class == "order" && arrivals.len() > 1).then_some("an unsafe request was sent twice")
}

/// Checks that the first backend gets no new requests after the grace period of its maintenance.
fn request_after_grace_period(arrivals: &[Arrival], times: ScenarioTimes) -> Option<&'static str> {
    let begun_at = times.maintenance_begun_at?;
    let is_late = |arrival: &Arrival| {
        arrival.backend == 0 && arrival.at > begun_at + DRAIN_GRACE_PERIOD + TIME_LIMIT_TOLERANCE
    };
    arrivals.iter().any(is_late).then_some("a backend in maintenance got a request after the grace period")
}
