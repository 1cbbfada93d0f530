//! Measures the polls of all proxies after an outage of discovery.

use super::group::{GROUP_COLUMNS, ProxyGroup};
use super::plan::{Outage, RECOVERY_WINDOW};
use crate::discovery::{Availability, TrafficEvent, Transfer};
use crate::error::Error;
use crate::report::{Table, Value};
use crate::resource_usage::MachineLoad;
use std::time::{Duration, Instant};

/// Number of changes that are published during an outage.
const CHANGES_PER_OUTAGE: usize = 10;
/// Lengths of the windows after an outage in which polls are counted, in seconds.
const POLL_COUNT_WINDOWS_SECONDS: [f64; 3] = [0.1, 1.0, RECOVERY_WINDOW.as_secs() as f64];
/// Length of the window over which the peak number of polls is counted.
const PEAK_POLL_WINDOW: Duration = Duration::from_millis(100);

const RECOVERY_COLUMNS: [&str; 10] = [
    "outage",
    "polls, 0.1 s",
    "KB, 0.1 s",
    "polls, 1 s",
    "KB, 1 s",
    "polls, 6 s",
    "KB, 6 s",
    "peak polls in 0.1 s",
    "all up to date, s",
    "machine stalled, %",
];

/// Returns the table without rows for the rows of [`measure_recovery`].
#[must_use]
pub fn table() -> Table {
    let mut table = Table::new(
        "Polls of all proxies after an outage of discovery, and time until all proxies are up to date",
        &GROUP_COLUMNS,
    );
    table.columns.extend(RECOVERY_COLUMNS.map(str::to_string));
    table
}

/// Simulates an outage of `outage_seconds`, and returns a row about the time after the outage.
///
/// # Errors
///
/// Returns [`Error::Interrupted`] once a signal has arrived.
pub fn measure_recovery(
    group: &mut ProxyGroup<'_>,
    outage: Outage,
    outage_seconds: f64,
) -> Result<Vec<Value>, Error> {
    let machine = MachineLoad::now()?;
    simulate_outage(group, outage, outage_seconds)?;
    let recovery = observe_recovery(group)?;
    let machine_stall_fraction = MachineLoad::now()?.stall_fraction_since(&machine);

    let mut row = group.group_cells().to_vec();
    row.push(outage.name().into());
    for seconds in POLL_COUNT_WINDOWS_SECONDS {
        row.push(recovery.polls_within(seconds).into());
        row.push((recovery.bytes_within(seconds) as f64 / 1e3).into());
    }
    row.push(max_count_within(&recovery.poll_times(), PEAK_POLL_WINDOW).into());
    row.push(recovery.complete_after_seconds.into());
    row.push((100.0 * machine_stall_fraction).into());
    Ok(row)
}

fn simulate_outage(group: &mut ProxyGroup<'_>, outage: Outage, seconds: f64) -> Result<(), Error> {
    group.discovery.set_availability(outage.availability());
    let interval = Duration::from_secs_f64(seconds / (CHANGES_PER_OUTAGE + 1) as f64);
    let times: Vec<Duration> = (1..=CHANGES_PER_OUTAGE as u32).map(|number| interval * number).collect();
    group.publish_at(&times)?;
    group.shutdown.sleep(interval)?;
    if outage.discards_history() {
        group.discovery.discard_history();
    }
    Ok(())
}

fn observe_recovery(group: &ProxyGroup<'_>) -> Result<Recovery, Error> {
    let discovery = &group.discovery;
    discovery.start_recording();
    let start = Instant::now();
    discovery.set_availability(Availability::Up);
    group.shutdown.sleep_until(start + RECOVERY_WINDOW)?;
    let traffic = discovery.stop_recording();
    let is_complete = discovery.pending_acknowledgements() == 0;
    let recovery_time = || discovery.last_acknowledged_at().duration_since(start);
    let complete_after_seconds = is_complete.then(|| recovery_time().as_secs_f64());
    Ok(Recovery { start, traffic, complete_after_seconds })
}

/// Observations after an outage.
struct Recovery {
    start: Instant,
    traffic: Vec<TrafficEvent>,
    /// Time from the end of the outage until all proxies had the newest version, in seconds; `None` if a
    /// proxy did not have the newest version at the end of the recovery window.
    complete_after_seconds: Option<f64>,
}

impl Recovery {
    fn events_within(&self, seconds: f64) -> impl Iterator<Item = &TrafficEvent> {
        let start = self.start;
        self.traffic.iter().filter(move |event| event.at.duration_since(start).as_secs_f64() < seconds)
    }

    fn polls_within(&self, seconds: f64) -> usize {
        self.events_within(seconds).filter(|event| event.transfer == Transfer::Poll).count()
    }

    fn bytes_within(&self, seconds: f64) -> usize {
        self.events_within(seconds).map(|event| event.bytes).sum()
    }

    fn poll_times(&self) -> Vec<Instant> {
        let polls = self.traffic.iter().filter(|event| event.transfer == Transfer::Poll);
        polls.map(|event| event.at).collect()
    }
}

/// Returns the maximum number of times within any window of length `span`. The times are in ascending
/// order.
fn max_count_within(times: &[Instant], span: Duration) -> usize {
    let count_from = |first: usize| times.partition_point(|time| *time < times[first] + span) - first;
    (0..times.len()).map(count_from).max().unwrap_or(0)
}
