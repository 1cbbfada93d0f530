//! Measures the processor time of a balancer, by a replay of the recorded events of some callers of each
//! role without the simulation.

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
    /// Events of calls.
    calls: EventTimes,
    /// Endpoint updates.
    updates: EventTimes,
    /// The slowest endpoint update, in seconds.
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
    fn add(&mut self, time: f64, events: usize) {
        self.total_seconds += time;
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
    /// Actions of the balancer, which are dropped after each event.
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

    /// Replays all records and adds up the processor time: events of calls in batches, each endpoint
    /// update separately.
    fn run(mut self, time: &mut ProcessorTime) {
        while let Some(Record { at, event }) = self.records.next() {
            match event {
                RecordedEvent::Start { seed } => {
                    self.balancer = Balancer::new(*at, *seed, self.recording.settings.clone());
                }
                RecordedEvent::Changes(list) => self.replay_update(*at, EndpointUpdate::Changes(list), time),
                RecordedEvent::Full(list) => self.replay_update(*at, EndpointUpdate::Full(list), time),
                RecordedEvent::Cached(list) => self.replay_update(*at, EndpointUpdate::Cached(list), time),
                RecordedEvent::WithoutEndpoints(event) => self.replay_batch(*at, *event, time),
            }
        }
    }

    fn replay_update(&mut self, at: Time, update: EndpointUpdate<'_>, time: &mut ProcessorTime) {
        let started = thread_time();
        self.handle(at, Event::Endpoints(update));
        if at >= self.measure_from {
            let elapsed = thread_time() - started;
            time.updates.add(elapsed, 1);
            time.slowest_update_seconds = time.slowest_update_seconds.max(elapsed);
        }
    }

    /// Replays an event of a call and the events of calls that follow, as one batch.
    fn replay_batch(&mut self, at: Time, event: Event<'static>, time: &mut ProcessorTime) {
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
            time.calls.add(thread_time() - started, events);
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
            let mut time = ProcessorTime::default();
            for recording in &service_result.recordings {
                Replay::new(recording, plan.warm_up).run(&mut time);
            }
            let callers = service_result.recordings.len() as f64;
            let percent_of_core = |seconds: f64| 100.0 * seconds / (callers * plan.window);
            let service = &topology.services[role.service];
            table.row([
                Value::from(result.phase.name()),
                Value::from(role.name),
                Value::from(service.call_rate / service.callers.len() as f64),
                Value::from(time.calls.mean_microseconds()),
                Value::from(percent_of_core(time.calls.total_seconds)),
                Value::from(percent_of_core(time.calls.total_seconds) / plan.rate_scale),
                Value::from(time.updates.mean_microseconds()),
                Value::from(1e6 * time.slowest_update_seconds),
                Value::from(percent_of_core(time.updates.total_seconds)),
            ]);
        }
    }
    table
}
