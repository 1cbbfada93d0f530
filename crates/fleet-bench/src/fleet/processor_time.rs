//! Measures the processor time of a balancer by replaying, without the simulation, the recorded events of
//! some callers of each role.

use super::plan::Plan;
use super::recording::{Record, RecordedEvent, Recording};
use super::results::PhaseResult;
use super::roles::Roles;
use super::topology::Topology;
use crate::report::{Table, Value};
use crate::thread_clock::thread_time;
use balancer::{Action, Balancer, EndpointUpdate, Event, Time};
use std::iter::Peekable;
use std::slice::Iter;

/// Maximum number of events between two readings of the clock.
const MAX_BATCH_EVENTS: usize = 256;

/// Processor time in `Balancer::handle`.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessorTime {
    /// Processor time of the events of calls.
    calls: EventTimes,
    /// Processor time of the endpoint updates.
    updates: EventTimes,
    /// Processor time of the slowest endpoint update, in seconds.
    slowest_update_seconds: f64,
}

/// Processor time of the events of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct EventTimes {
    /// Sum of the processor times, in seconds.
    total_seconds: f64,
    /// The number of events.
    count: usize,
}

impl EventTimes {
    fn add(&mut self, seconds: f64, events: usize) {
        self.total_seconds += seconds;
        self.count += events;
    }

    fn mean_microseconds(self) -> f64 {
        1e6 * self.total_seconds / self.count as f64
    }
}

/// A replay of a recording, measured from the virtual time `measure_from` on.
struct Replay<'a> {
    recording: &'a Recording,
    records: Peekable<Iter<'a, Record>>,
    balancer: Balancer,
    /// Actions of the balancer, which are discarded after each event.
    actions: Vec<Action>,
    measure_from: Time,
}

impl<'a> Replay<'a> {
    fn new(recording: &'a Recording, measure_from: Time) -> Self {
        Self {
            recording,
            records: recording.records.iter().peekable(),
            balancer: Balancer::new(0.0, recording.seed, recording.settings.clone()),
            actions: Vec::new(),
            measure_from,
        }
    }

    /// Replays all records, and adds to `times` the processor time of the events that are not earlier than
    /// `measure_from`. Events of calls are measured in batches, endpoint updates one by one.
    fn run(mut self, times: &mut ProcessorTime) {
        while let Some(Record { at, event }) = self.records.next() {
            match event {
                RecordedEvent::Start { seed } => {
                    self.balancer = Balancer::new(*at, *seed, self.recording.settings.clone());
                }
                RecordedEvent::Changes(list) => self.replay_update(*at, EndpointUpdate::Changes(list), times),
                RecordedEvent::Full(list) => self.replay_update(*at, EndpointUpdate::Full(list), times),
                RecordedEvent::Cached(list) => self.replay_update(*at, EndpointUpdate::Cached(list), times),
                RecordedEvent::WithoutEndpoints(event) => self.replay_batch(*at, *event, times),
            }
        }
    }

    fn replay_update(&mut self, at: Time, update: EndpointUpdate<'_>, times: &mut ProcessorTime) {
        let started = thread_time();
        self.handle(at, Event::Endpoints(update));
        if at >= self.measure_from {
            let elapsed = thread_time() - started;
            times.updates.add(elapsed, 1);
            times.slowest_update_seconds = times.slowest_update_seconds.max(elapsed);
        }
    }

    /// Replays an event of a call and the events of calls that follow, as one batch.
    fn replay_batch(&mut self, at: Time, event: Event<'static>, times: &mut ProcessorTime) {
        let started = thread_time();
        self.handle(at, event);
        let mut events = 1;
        while events < MAX_BATCH_EVENTS
            && let Some(Record { at, event: RecordedEvent::WithoutEndpoints(event) }) =
                self.records.next_if(|record| matches!(record.event, RecordedEvent::WithoutEndpoints(_)))
        {
            self.handle(*at, *event);
            events += 1;
        }
        if at >= self.measure_from {
            times.calls.add(thread_time() - started, events);
        }
    }

    fn handle(&mut self, at: Time, event: Event<'_>) {
        self.balancer.handle(at, event, &mut self.actions);
        self.actions.clear();
    }
}

/// Returns the table of the processor time of each role in each phase.
pub fn measure(plan: &Plan, topology: &Topology, roles: &Roles, results: &[PhaseResult]) -> Table {
    let columns = [
        "phase",
        "role",
        "calls/s",
        "event of a call, us",
        "calls, % of a core",
        "at full rate, %",
        "endpoint update, us",
        "slowest update, us",
        "endpoint updates, % of a core",
    ];
    let name = "Processor time of `Balancer::handle` for one proxy, per virtual second of the window";
    let mut table = Table::new(name, &columns);
    for result in results {
        for role in roles.iter() {
            let Some(service_result) = result.service(role.service) else {
                continue;
            };
            let mut times = ProcessorTime::default();
            for recording in &service_result.recordings {
                Replay::new(recording, plan.warm_up).run(&mut times);
            }
            let callers = service_result.recordings.len() as f64;
            let percent_of_core = |seconds: f64| 100.0 * seconds / (callers * plan.window);
            let service = &topology.services[role.service];
            table.add_row([
                Value::from(result.phase.name()),
                Value::from(role.name),
                Value::from(service.call_rate / service.callers.len() as f64),
                Value::from(times.calls.mean_microseconds()),
                Value::from(percent_of_core(times.calls.total_seconds)),
                Value::from(percent_of_core(times.calls.total_seconds) / plan.rate_scale),
                Value::from(times.updates.mean_microseconds()),
                Value::from(1e6 * times.slowest_update_seconds),
                Value::from(percent_of_core(times.updates.total_seconds)),
            ]);
        }
    }
    table
}
