//! A phase played by all proxies, and what they did put together, service by service.

use super::caller::{self, Counts, LOOK, Played, Scene};
use super::changes::{Events, Going};
use super::cost::Recording;
use super::tables::Roles;
use super::world::World;
use super::{Phase, Plan};
use crate::error::Error;
use balancer_proxy::{Status, Time};
use rayon::prelude::*;
use std::time::Instant;

/// A backend that no proxy has in its subset for so many looks on end.
const LONG: u32 = 10;

/// What became of a phase.
#[derive(Debug)]
pub struct Phased {
    /// By service, the busiest first.
    pub services: Vec<Called>,
    /// Machines that were restarted, and that vanished.
    pub out: [usize; 2],
}

/// What became of a service, as its callers saw it.
#[derive(Debug)]
pub struct Called {
    /// Which.
    pub service: usize,
    /// All that its callers counted.
    pub counts: Counts,
    /// For each change, the time until half, 99 in 100 and all of the callers knew that were up
    /// all the while, in seconds.
    pub known: Vec<[f32; 3]>,
    /// At each look: backends in service, but for those just back, and those of them in nobody's subset.
    pub looks: Vec<[usize; 2]>,
    /// Backends that were in service and in nobody's subset for ten looks on end.
    pub long_alone: usize,
    /// Each cold start.
    pub cold: Vec<Cold>,
    /// Backends kept in mind, in the subset, requests open: means over the callers of the most
    /// that each had.
    pub most: [f64; 3],
    /// What some of its callers were told, if it stands for a role.
    pub recordings: Vec<Recording>,
}

/// The worst moment of a backend while it was cold.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Attempts that all callers together sent it within `tip_after`,
    pub sent: usize,
    /// and over the budget.
    pub ratio: f64,
}

/// Plays a phase.
pub fn play(
    phase: Phase,
    plan: &Plan,
    world: &World,
    roles: &Roles,
    give_up: Instant,
) -> Result<Phased, Error> {
    let events = Events::new(phase, plan, world);
    let mut order = events.services.clone();
    // The longest work first, lest one thread be left with it at the end.
    order.sort_by(|a, b| world.services[*b].rate.total_cmp(&world.services[*a].rate).then(a.cmp(b)));
    let of = |service: &usize| {
        let changes = events.changes(*service, world);
        let machines = world.services[*service].machines.clone();
        let first_out =
            |m| changes.iter().find(|c| c.machine == m && c.entry.status != Status::InService).map(|c| c.at);
        let out_from = machines.map(first_out).collect();
        let scene =
            Scene { plan, world, events: &events, service: *service, changes, out_from, phase, give_up };
        play_service(&scene, roles)
    };
    let services = order.par_iter().with_max_len(1).map(of).collect::<Result<_, _>>()?;
    let out = [Going::Restart, Going::Vanish]
        .map(|going| events.outages.iter().flatten().filter(|o| o.going == going).count());
    Ok(Phased { services, out })
}

fn play_service(scene: &Scene<'_>, roles: &Roles) -> Result<Called, Error> {
    let Scene { plan, world, events, .. } = scene;
    let callers = &world.services[scene.service].callers;
    let wanted = if roles.all().iter().any(|(_, s)| *s == scene.service) { plan.samples } else { 0 };
    // Those that stay up all the while stand for a role.
    let steady = (0..callers.len()).filter(|me| events.outages[callers[*me]].is_none());
    let recorded: Vec<usize> = steady.take(wanted).collect();
    let play = |me| caller::play(scene, me, recorded.contains(&me));
    let mut played: Vec<Played> =
        (0..callers.len()).into_par_iter().with_max_len(1).map(play).collect::<Result<_, _>>()?;
    let mut counts = Counts::default();
    let mut most = [0.0; 3];
    for of in &played {
        counts += of.counts;
        most.iter_mut().zip(of.most).for_each(|(sum, m)| *sum += m as f64 / callers.len() as f64);
    }
    let (looks, long_alone) = alone(scene, &played);
    Ok(Called {
        service: scene.service,
        counts,
        known: (0..scene.changes.len()).filter_map(|c| known(&played, c)).collect(),
        looks,
        long_alone,
        cold: cold(scene, &played),
        most,
        recordings: played.iter_mut().filter_map(|p| p.recording.take()).collect(),
    })
}

/// Time until half, 99 in 100 and all knew of a change.
fn known(played: &[Played], change: usize) -> Option<[f32; 3]> {
    let mut heard: Vec<f32> = played.iter().filter_map(|p| p.heard[change]).collect();
    heard.sort_by(f32::total_cmp);
    let part = |part: f64| heard[((part * heard.len() as f64).ceil() as usize).clamp(1, heard.len()) - 1];
    (!heard.is_empty()).then(|| [part(0.5), part(0.99), part(1.0)])
}

/// At each look the backends in service, once they count as told, and those of them that are in
/// nobody's subset; and the number of backends that were so for long.
fn alone(scene: &Scene<'_>, played: &[Played]) -> (Vec<[usize; 2]>, usize) {
    let machines = scene.world.services[scene.service].machines.clone();
    let count = machines.len();
    let looks = (scene.plan.end() / LOOK).floor() as usize + 1;
    let mut held = vec![false; looks * count];
    for (look, backend) in played.iter().flat_map(|p| &p.members) {
        held[*look as usize * count + *backend as usize] = true;
    }
    let mut alone_for = vec![0_u32; count];
    let mut long = vec![false; count];
    let mut all = Vec::with_capacity(looks);
    for (look, held) in held.chunks(count).enumerate() {
        let at = look as f64 * LOOK;
        let mut seen = [0, 0];
        for (backend, machine) in machines.clone().enumerate() {
            // One that is just back can't be known yet.
            let back = scene.events.outages[machine].map_or(f64::INFINITY, |o| o.up);
            let known = !(back..back + scene.plan.deemed_told).contains(&at);
            let in_service = scene.events.in_service(machine, at) && known;
            let alone = in_service && !held[backend];
            seen[0] += usize::from(in_service);
            seen[1] += usize::from(alone);
            alone_for[backend] = if alone { alone_for[backend] + 1 } else { 0 };
            long[backend] |= alone_for[backend] >= LONG;
        }
        all.push(seen);
    }
    (all, long.into_iter().filter(|l| *l).count())
}

/// The worst window of each cold start. A backend can do what it did while it was warm, or its even
/// part of the service's calls, if that is more: it has been seen, or is as big as the others.
fn cold(scene: &Scene<'_>, played: &[Played]) -> Vec<Cold> {
    let plan = scene.plan;
    let service = &scene.world.services[scene.service];
    let even = service.rate / service.machines.len() as f64;
    let mut sends: Vec<Vec<Time>> = vec![Vec::new(); service.machines.len()];
    played.iter().flat_map(|p| &p.cold).for_each(|(b, at)| sends[*b as usize].push(*at));
    let mut all = Vec::new();
    for (backend, (machine, mut times)) in service.machines.clone().zip(sends).enumerate() {
        let Some(outage) = scene.events.outages[machine].filter(|o| o.up + plan.cold <= plan.end()) else {
            continue;
        };
        times.sort_by(f64::total_cmp);
        let warm: u32 = played.iter().map(|p| p.warm[backend]).sum();
        let capacity = even.max(f64::from(warm) / (0.5 * plan.warm_up));
        let mut worst = Cold { sent: 0, ratio: 0.0 };
        let mut first = 0;
        for (last, at) in times.iter().enumerate() {
            first += times[first..].iter().take_while(|t| **t <= at - plan.tip_after).count();
            // Capacity grows in a straight line: in the middle of the window it is the mean.
            let ramp = plan.ramp(at - 0.5 * plan.tip_after - outage.up);
            let n = plan.fall_multiple * capacity * ramp * plan.tip_after;
            let sent = last + 1 - first;
            let ratio = sent as f64 / (n + 2.0 * n.sqrt() + 2.0);
            if ratio > worst.ratio {
                worst = Cold { sent, ratio };
            }
        }
        all.push(worst);
    }
    all
}
