//! What happens to the fleet in a phase, and when discovery has it to tell.

use super::world::{self, World};
use super::{Phase, Plan};
use balancer_proxy::{Endpoint, Status, Time};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// How a machine goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Going {
    /// Drained, stopped, started again: its connections break, new ones are refused.
    Restart,
    /// At once and without a word: what is out stays silent, no connection comes up.
    Vanish,
}

/// A machine's absence, with its backend and its proxy; one at most in a phase.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// How.
    pub going: Going,
    /// When its drain begins; where it isn't drained, when it goes.
    pub drain: Time,
    /// When it goes.
    pub down: Time,
    /// When it is back, cold.
    pub up: Time,
    /// When discovery has noticed that it is gone.
    pub noticed: Time,
}

/// A region that can't reach the others, nor discovery.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Which.
    pub region: usize,
    /// From then on
    pub from: Time,
    /// until then.
    pub to: Time,
}

/// A change of a service's list.
#[derive(Clone, Debug)]
pub struct Change {
    /// When it came about, or was noticed.
    pub since: Time,
    /// When discovery has it: later where a cut lies between.
    pub at: Time,
    /// The machine that it is about.
    pub machine: usize,
    /// The line of the list.
    pub entry: Endpoint,
}

/// All that happens in a phase.
#[derive(Clone, Debug)]
pub struct Events {
    /// The absence of each machine, if it has one.
    pub outages: Vec<Option<Outage>>,
    /// The region that is cut off, if one is.
    pub cut: Option<Cut>,
    /// The services that are played: all that are called, or those it is about.
    pub services: Vec<usize>,
}

impl Events {
    /// Draws what happens in a phase.
    pub fn new(phase: Phase, plan: &Plan, world: &World) -> Self {
        let rng = &mut SmallRng::seed_from_u64(world::seed(&[plan.seed, 1, phase as u64]));
        let from = plan.warm_up;
        let mut events =
            Self { outages: vec![None; world.machines.len()], cut: None, services: world.called() };
        match phase {
            Phase::Ordinary => {
                let (restarts, failures) = (plan.restarts, plan.failures);
                events.scatter(Going::Restart, restarts, from, plan.window, plan, rng);
                events.scatter(Going::Vanish, failures, from, plan.window, plan, rng);
            }
            Phase::Rack => {
                let all = &world.machines;
                let hit = all[rng.random_range(0..all.len())];
                let lost = |m: usize| (all[m].zone, all[m].rack) == (hit.zone, hit.rack);
                events.lose(lost, plan, rng);
            }
            Phase::Zone => {
                let zone = rng.random_range(0..plan.zones);
                events.lose(|m| world.machines[m].zone == zone, plan, rng);
            }
            Phase::Region => {
                let region = rng.random_range(0..plan.regions);
                events.cut = Some(Cut { region, from, to: from + plan.cut });
                // The hour's part of the day's restarts.
                events.scatter(Going::Restart, plan.restarts / 24, from, plan.cut, plan, rng);
            }
            Phase::Half => {
                let most = |size: fn(&World, usize) -> usize| {
                    world.called().into_iter().max_by_key(|s| (size(world, *s), usize::MAX - s))
                };
                let largest = most(|w, s| w.services[s].machines.len());
                let called = most(|w, s| w.services[s].callers.len());
                events.services = largest.into_iter().chain(called.filter(|c| Some(*c) != largest)).collect();
                for service in events.services.clone() {
                    let mut machines: Vec<usize> = world.services[service].machines.clone().collect();
                    machines.shuffle(rng);
                    for &machine in &machines[..machines.len() / 2] {
                        events.outages[machine] = Some(outage(Going::Restart, from, plan, rng));
                    }
                }
            }
        }
        events
    }

    /// So many machines go at times drawn over a span.
    fn scatter(
        &mut self,
        going: Going,
        count: usize,
        from: Time,
        span: Time,
        plan: &Plan,
        rng: &mut SmallRng,
    ) {
        let mut whole: Vec<usize> = (0..self.outages.len()).filter(|m| self.outages[*m].is_none()).collect();
        let (drawn, _) = whole.partial_shuffle(rng, count);
        for machine in drawn {
            let at = from + span * rng.random::<f64>();
            self.outages[*machine] = Some(outage(going, at, plan, rng));
        }
    }

    /// The machines that `lost` names vanish at the window's start.
    fn lose(&mut self, lost: impl Fn(usize) -> bool, plan: &Plan, rng: &mut SmallRng) {
        for (machine, place) in self.outages.iter_mut().enumerate() {
            *place = lost(machine).then(|| outage(Going::Vanish, plan.warm_up, plan, rng));
        }
    }

    /// What discovery tells of a service, in the order in which it has it.
    pub fn changes(&self, service: usize, world: &World) -> Vec<Change> {
        let mut changes = Vec::new();
        for machine in world.services[service].machines.clone() {
            let Some(outage) = self.outages[machine] else {
                continue;
            };
            let zone = world.machines[machine].zone;
            let mut tell = |since, status, started| {
                // Discovery is where the cut region is not.
                let cut = self.cut.filter(|c| world.region(zone) == c.region);
                let at = cut.filter(|c| (c.from..c.to).contains(&since)).map_or(since, |c| c.to);
                let entry = Endpoint { status, started_at: started, ..world.entry(machine) };
                changes.push(Change { since, at, machine, entry });
            };
            if outage.going == Going::Restart {
                tell(outage.drain, Status::Draining, None);
            }
            if outage.noticed < outage.up {
                tell(outage.noticed, Status::Removed, None);
            }
            tell(outage.up, Status::InService, Some(outage.up));
        }
        changes.sort_by(|a, b| {
            a.at.total_cmp(&b.at).then(a.machine.cmp(&b.machine)).then(a.since.total_cmp(&b.since))
        });
        changes
    }

    /// A machine's backend is in service at a time.
    pub fn in_service(&self, machine: usize, at: Time) -> bool {
        self.outages[machine].is_none_or(|o| !(o.drain..o.up).contains(&at))
    }

    /// The ways between two zones are cut at a time.
    pub fn cut_between(&self, one: usize, two: usize, at: Time, world: &World) -> bool {
        self.cut.is_some_and(|cut| {
            let within = |zone| world.region(zone) == cut.region;
            (cut.from..cut.to).contains(&at) && within(one) != within(two)
        })
    }
}

fn outage(going: Going, at: Time, plan: &Plan, rng: &mut SmallRng) -> Outage {
    match going {
        Going::Restart => {
            let down = at + plan.drain;
            Outage { going, drain: at, down, up: down + plan.restart, noticed: down }
        }
        Going::Vanish => {
            let [least, most] = plan.detection;
            let noticed = at + least + (most - least) * rng.random::<f64>();
            Outage { going, drain: at, down: at, up: at + plan.outage, noticed }
        }
    }
}
