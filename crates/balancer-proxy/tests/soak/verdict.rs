//! What is owed to the clients and the backends of a play, by the operators' pages.

use super::backends::Arrival;
use super::client::{Exchange, Outcome};
use super::scenario::Scenario;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The grace period of the settings that the plays use, after which a backend in maintenance gets nothing new.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Slack of the operators' rules on time limits.
const SLACK: Duration = Duration::from_millis(50);

/// The times of a play that the rules refer to.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// The first SIGTERM.
    pub terminated: Instant,
    /// SIGKILL, or the end of the process if that came first.
    pub ended: Instant,
    /// Whether the process had to be killed.
    pub was_killed: bool,
    /// The time at which the management call for maintenance was answered.
    pub maintenance: Option<Instant>,
}

/// All that was seen in a play.
pub struct Observations {
    /// The requests of all clients.
    pub exchanges: Vec<Exchange>,
    /// The requests at the backends.
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    /// The times of the play.
    pub times: Times,
}

/// Returns the breaches of the rules, each in a line.
pub fn breaches(scenario: &Scenario, observations: &Observations) -> Vec<String> {
    let Observations { exchanges, arrivals, times } = observations;
    let mut breaches: Vec<String> = Vec::new();
    for exchange in exchanges {
        let of_request = arrivals.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        let broken = [
            lost(exchange, of_request, scenario, *times),
            run_twice(exchange, of_request),
            sent_in_maintenance(of_request, *times),
        ];
        let offset = signed_milliseconds(exchange.sent_at, times.terminated);
        let describe = |rule| {
            let arrivals: Vec<_> =
                of_request.iter().map(|arrival| signed_milliseconds(arrival.at, times.terminated)).collect();
            format!("{rule}: sent {offset} ms from SIGTERM, at backends {arrivals:?}, {exchange:?}")
        };
        breaches.extend(broken.into_iter().flatten().map(describe));
    }
    breaches
}

fn signed_milliseconds(at: Instant, origin: Instant) -> i64 {
    let after = at.saturating_duration_since(origin).as_millis() as i64;
    after - origin.saturating_duration_since(at).as_millis() as i64
}

/// Checks that a request that was read has a response. A close may cross a request that was not read, on a
/// connection that was open before; where no process takes over, new connections may be refused or closed after
/// SIGTERM.
fn lost(
    exchange: &Exchange,
    arrivals: &[Arrival],
    scenario: &Scenario,
    times: Times,
) -> Option<&'static str> {
    let is_stopping = exchange.ended_at >= times.terminated;
    match exchange.outcome {
        Outcome::Response(_) => None,
        Outcome::TimedOut => Some("no response"),
        Outcome::Refused if scenario.has_successor => Some("a connection was refused beside a successor"),
        Outcome::Refused => (!is_stopping).then_some("a connection was refused before SIGTERM"),
        Outcome::ConnectionEnded if !arrivals.is_empty() => {
            Some("a request that was forwarded got no response")
        }
        Outcome::ConnectionEnded if !is_stopping => Some("a connection ended before SIGTERM"),
        Outcome::ConnectionEnded if scenario.has_successor && !exchange.is_reused => {
            Some("a new connection ended beside a successor")
        }
        Outcome::ConnectionEnded => {
            let is_killed = times.was_killed && exchange.ended_at + SLACK >= times.ended;
            let is_at_the_kill = exchange.sent_at + SLACK >= times.ended;
            (is_killed && !is_at_the_kill).then_some("SIGKILL found a request without a response")
        }
    }
}

/// Checks that a request which must not be repeated is at most once at a backend.
fn run_twice(exchange: &Exchange, arrivals: &[Arrival]) -> Option<&'static str> {
    (exchange.class == "order" && arrivals.len() > 1).then_some("an unsafe request was sent twice")
}

/// Checks that the first backend gets nothing new once the grace period of its maintenance is over.
fn sent_in_maintenance(arrivals: &[Arrival], times: Times) -> Option<&'static str> {
    let begin = times.maintenance?;
    let is_late = |arrival: &Arrival| arrival.backend == 0 && arrival.at > begin + DRAIN_GRACE + SLACK;
    arrivals.iter().any(is_late).then_some("a backend in maintenance got a request after the grace period")
}
