//! What the module costs: memory for its state, and processor time, measured on what some proxies
//! of each role were told, played again without the simulation around it.

use super::caller::settings;
use super::tables::Roles;
use super::together::Phased;
use super::world::World;
use super::{Phase, Plan};
use crate::error::Error;
use crate::report::{Table, Value};
use balancer_proxy::{Balancer, Endpoint, EndpointUpdate, Event, Settings, Time};
use rustix::time::{ClockId, clock_gettime};

/// Balancers of a role that are held at once to measure their memory.
const HELD: usize = 200;
/// Events that the clock is read for once.
const BATCH: usize = 256;

/// Something that a balancer was told.
#[derive(Debug)]
pub enum Record {
    /// An event without a list.
    Event(Time, Event<'static>),
    /// Changes of the list.
    Changes(Time, Vec<Endpoint>),
    /// The whole list.
    Full(Time, Vec<Endpoint>),
    /// The list as known before a start.
    Remembered(Time, Vec<Endpoint>),
    /// The process is a new one, of this seed.
    Start(Time, u64),
}

impl Record {
    /// News of the list.
    pub fn list(now: Time, update: EndpointUpdate<'_>) -> Self {
        match update {
            EndpointUpdate::Changes(list) => Self::Changes(now, list.to_vec()),
            EndpointUpdate::Full(list) => Self::Full(now, list.to_vec()),
            EndpointUpdate::Cached(list) => Self::Remembered(now, list.to_vec()),
            EndpointUpdate::Failed => Self::Event(now, Event::Endpoints(EndpointUpdate::Failed)),
        }
    }
}

/// All that a balancer was told.
#[derive(Debug)]
pub struct Recording {
    seed: u64,
    settings: Settings,
    /// In order.
    pub records: Vec<Record>,
}

impl Recording {
    /// Nothing yet, of a balancer with this seed and these settings.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Self { seed, settings, records: Vec::new() }
    }
}

/// Processor time in `Balancer::handle`, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    /// For events of calls,
    calls: f64,
    /// and how many these were.
    call_events: usize,
    /// For news of the list,
    lists: f64,
    /// how many, and the dearest.
    list_events: usize,
    dearest: f64,
}

/// Processor time of this thread so far, in seconds.
fn thread_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}

/// Tells a new balancer all of it again from `from` on counted: events of calls in batches, each
/// news of the list by itself.
fn replay(recording: &Recording, from: Time, spent: &mut Spent) {
    let mut balancer = Balancer::new(0.0, recording.seed, recording.settings.clone());
    let mut actions = Vec::new();
    let mut records = recording.records.iter().peekable();
    while let Some(record) = records.next() {
        let (at, update) = match record {
            Record::Start(at, seed) => {
                balancer = Balancer::new(*at, *seed, recording.settings.clone());
                continue;
            }
            Record::Changes(at, list) => (*at, EndpointUpdate::Changes(list)),
            Record::Full(at, list) => (*at, EndpointUpdate::Full(list)),
            Record::Remembered(at, list) => (*at, EndpointUpdate::Cached(list)),
            Record::Event(at, event) => {
                let began = thread_time();
                balancer.handle(*at, *event, &mut actions);
                actions.clear();
                let mut told = 1;
                while told < BATCH
                    && let Some(Record::Event(at, event)) =
                        records.next_if(|r| matches!(r, Record::Event(..)))
                {
                    balancer.handle(*at, *event, &mut actions);
                    actions.clear();
                    told += 1;
                }
                if *at >= from {
                    spent.calls += thread_time() - began;
                    spent.call_events += told;
                }
                continue;
            }
        };
        let began = thread_time();
        balancer.handle(at, Event::Endpoints(update), &mut actions);
        actions.clear();
        if at >= from {
            let took = thread_time() - began;
            spent.lists += took;
            spent.list_events += 1;
            spent.dearest = spent.dearest.max(took);
        }
    }
}

/// Table of the processor time of each role in each phase.
pub fn time(plan: &Plan, world: &World, roles: &Roles, played: &[(Phase, Phased)]) -> Result<Table, Error> {
    let columns = [
        "phase",
        "proxy",
        "calls/s",
        "event of a call, us",
        "calls, % of a core",
        "at full rate, %",
        "news, us each",
        "dearest, us",
        "news, % of a core",
    ];
    let name = "Processor time in `handle` for one proxy, per virtual second of the window";
    let mut table = Table::new(name, &columns);
    for (phase, phased) in played {
        for (role, service) in roles.all() {
            let Some(of) = phased.services.iter().find(|s| s.service == service) else {
                continue;
            };
            let mut spent = Spent::default();
            of.recordings.iter().for_each(|r| replay(r, plan.warm_up, &mut spent));
            let proxies = of.recordings.len() as f64;
            let share = |time: f64| 100.0 * time / (proxies * plan.window);
            let service = &world.services[service];
            table.row([
                Value::from(phase.name()),
                Value::from(role),
                Value::from(service.rate / service.callers.len() as f64),
                Value::from(1e6 * spent.calls / spent.call_events as f64),
                Value::from(share(spent.calls)),
                Value::from(share(spent.calls) / plan.rate_scale),
                Value::from(1e6 * spent.lists / spent.list_events as f64),
                Value::from(1e6 * spent.dearest),
                Value::from(share(spent.lists)),
            ]);
        }
    }
    Ok(table)
}

/// Table of the memory of a balancer of each role, once it has its list: what the process grows by
/// for each of many.
pub fn state(plan: &Plan, world: &World, roles: &Roles) -> Result<Table, Error> {
    let columns = ["proxy", "backends listed", "callers", "bytes each"];
    let mut table = Table::new("State of one balancer with its list, before any call", &columns);
    // Kept to the end: room given back would be taken again, and not show.
    let mut held = Vec::new();
    for (role, service) in roles.all() {
        let Some(of) = world.services.get(service) else {
            continue;
        };
        let list: Vec<Endpoint> = of.machines.clone().map(|m| world.entry(m)).collect();
        let before = resident()?;
        for i in 0..HELD {
            let settings = settings(plan, world, service, i % of.callers.len());
            let mut balancer = Balancer::new(0.0, i as u64, settings);
            balancer.handle(0.0, Event::Endpoints(EndpointUpdate::Full(&list)), &mut Vec::new());
            held.push(balancer);
        }
        let grown = resident()?.saturating_sub(before);
        table.row([
            Value::from(role),
            Value::from(list.len()),
            Value::from(of.callers.len()),
            Value::from(grown as f64 / HELD as f64),
        ]);
    }
    Ok(table)
}

/// Memory that this process has in use, in bytes.
fn resident() -> Result<u64, Error> {
    let told = procfs::process::Process::myself().and_then(|me| me.statm());
    let told = told.map_err(|e| Error::Failed(format!("memory of this process: {e}")))?;
    Ok(told.resident * procfs::page_size())
}
