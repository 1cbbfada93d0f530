//! What the fleet has shown, as tables.

use super::caller::{Counts, LOOK};
use super::together::{Called, Phased};
use super::world::World;
use super::{Phase, Plan};
use crate::report::{Report, Table, Value};
use clap::ValueEnum;

/// Services that are shown singly for a phase.
const MOST_SHOWN: usize = 3;

/// The services whose callers are looked at more closely.
#[derive(Debug)]
pub struct Roles {
    middling: usize,
    largest: usize,
    most_called: usize,
}

impl Roles {
    /// Finds them among the services that are called.
    pub fn new(world: &World) -> Self {
        let mut called = world.called();
        called.sort_by_key(|s| (world.services[*s].machines.len(), world.services[*s].callers.len(), *s));
        let at = |place: usize| called.get(place).copied().unwrap_or(0);
        let most_called = called.iter().max_by_key(|s| world.services[**s].callers.len());
        Self {
            middling: at(called.len() / 2),
            largest: at(called.len().saturating_sub(1)),
            most_called: most_called.copied().unwrap_or(0),
        }
    }

    /// What they are, and which.
    pub fn all(&self) -> [(&'static str, usize); 3] {
        [
            ("of a middling service", self.middling),
            ("of the largest", self.largest),
            ("of the most called", self.most_called),
        ]
    }
}

impl Phase {
    /// Its name, as in arguments.
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |v| v.get_name().to_string())
    }
}

/// Table of what stands.
pub fn fleet(world: &World) -> Table {
    let called = world.called();
    let mut table = Table::new("The fleet", &["what", "count"]);
    let callers = called.iter().map(|s| world.services[*s].callers.len());
    let sizes = || world.services.iter().map(|s| s.machines.len());
    let rows = [
        ("services", world.services.len()),
        ("services that proxies call (the others: by clients alone)", called.len()),
        ("layers", world.services.iter().map(|s| s.layer).max().unwrap_or(0)),
        ("backends", world.machines.len()),
        ("proxies that call (the others stand in the lowest layer)", callers.clone().sum()),
        ("backends of the largest service", sizes().max().unwrap_or(0)),
        ("backends of the smallest", sizes().min().unwrap_or(0)),
        ("callers of the most called service", callers.max().unwrap_or(0)),
        ("calls a second", called.iter().map(|s| world.services[*s].rate).sum::<f64>().round() as usize),
    ];
    rows.into_iter().for_each(|(what, count)| table.row([Value::from(what), Value::from(count)]));
    table
}

/// Adds all tables of what was played.
pub fn tell(report: &mut Report, plan: &Plan, world: &World, roles: &Roles, played: &[(Phase, Phased)]) {
    let tables = [
        what(world, played),
        calls(played),
        known(played),
        alone(plan, played),
        most_alone(plan, world, played),
        cold(played),
    ];
    report.tables.extend(tables);
    report.tables.push(by_role(plan, world, roles, played));
}

fn total(phased: &Phased) -> Counts {
    phased.services.iter().fold(Counts::default(), |mut sum, s| {
        sum += s.counts;
        sum
    })
}

fn percent(part: f64, of: f64) -> Value {
    Value::from(if of > 0.0 { 100.0 * part / of } else { 0.0 })
}

fn what(world: &World, played: &[(Phase, Phased)]) -> Table {
    let columns = ["phase", "services played", "proxies played", "machines restarted", "machines lost"];
    let mut table = Table::new("What was played", &columns);
    for (phase, phased) in played {
        let proxies = phased.services.iter().map(|s| world.services[s.service].callers.len());
        table.row([
            Value::from(phase.name()),
            Value::from(phased.services.len()),
            Value::from(proxies.sum::<usize>()),
            Value::from(phased.out[0]),
            Value::from(phased.out[1]),
        ]);
    }
    table
}

fn calls(played: &[(Phase, Phased)]) -> Table {
    let columns = [
        "phase",
        "calls",
        "served, %",
        "refused",
        "failed",
        "found nobody",
        "unserved, none in reach",
        "lost with own machine",
        "attempts a call",
        "to what is gone",
        "%",
        "past the grace, told",
        "or deemed told",
    ];
    let mut table = Table::new("Calls in the window", &columns);
    for (phase, phased) in played {
        let c = total(phased);
        let all = c.calls as f64;
        table.row([
            Value::from(phase.name()),
            Value::from(all),
            percent(c.served as f64, all),
            Value::from(c.refused as f64),
            Value::from(c.failed as f64),
            Value::from(c.nobody as f64),
            Value::from(c.beyond as f64),
            Value::from(c.lost as f64),
            Value::from(c.attempts as f64 / all),
            Value::from(c.to_gone as f64),
            percent(c.to_gone as f64, c.attempts as f64),
            Value::from(c.past_told as f64),
            Value::from(c.past_deemed as f64),
        ]);
    }
    table
}

fn known(played: &[(Phase, Phased)]) -> Table {
    let columns =
        ["phase", "changes", "half, s", "99%, s", "all, s", "worst change: half, s", "99%, s", "all, s"];
    let mut table =
        Table::new("Time until the callers know of a change of the list (median change)", &columns);
    for (phase, phased) in played {
        let changes: Vec<[f32; 3]> = phased.services.iter().flat_map(|s| s.known.clone()).collect();
        let sorted = |part: usize| {
            let mut times: Vec<f64> = changes.iter().map(|c| f64::from(c[part])).collect();
            times.sort_by(f64::total_cmp);
            times
        };
        let parts = [0, 1, 2].map(sorted);
        let at = |times: &Vec<f64>, part: f64| {
            let place = (part * times.len() as f64) as usize;
            Value::from(times.get(place.min(times.len().saturating_sub(1))).copied().unwrap_or(f64::NAN))
        };
        let medians = parts.iter().map(|t| at(t, 0.5));
        let worst = parts.iter().map(|t| at(t, 1.0));
        let head = [Value::from(phase.name()), Value::from(changes.len())];
        table.row(head.into_iter().chain(medians).chain(worst));
    }
    table
}

fn alone(plan: &Plan, played: &[(Phase, Phased)]) -> Table {
    let columns = [
        "phase",
        "in service at start",
        "in nobody's",
        "%",
        "worst, s after",
        "in service",
        "in nobody's",
        "%",
        "at end",
        "for 10 s on end",
        "services with such",
    ];
    let mut table =
        Table::new("Backends in service, and known by now, that are in nobody's subset", &columns);
    for (phase, phased) in played {
        let looks = phased.services.iter().map(|s| s.looks.len()).min().unwrap_or(0);
        let at = |look: usize| {
            phased
                .services
                .iter()
                .fold([0, 0], |[all, alone], s| [all + s.looks[look][0], alone + s.looks[look][1]])
        };
        let start = first_look(plan);
        let worst = (start..looks).max_by_key(|look| (at(*look)[1], usize::MAX - look)).unwrap_or(0);
        let end = looks.saturating_sub(1);
        let pair = |look: usize| {
            let [all, alone] = at(look);
            [Value::from(all), Value::from(alone), percent(alone as f64, all as f64)]
        };
        let long = |s: &Called| s.long_alone;
        let row = [Value::from(phase.name())].into_iter().chain(pair(start));
        let row = row.chain([Value::from(worst as f64 * LOOK - plan.warm_up)]).chain(pair(worst));
        table.row(row.chain([
            Value::from(at(end)[1]),
            Value::from(phased.services.iter().map(long).sum::<usize>()),
            Value::from(phased.services.iter().filter(|s| long(s) > 0).count()),
        ]));
    }
    table
}

/// The last look before anything happens.
fn first_look(plan: &Plan) -> usize {
    ((plan.warm_up / LOOK).ceil() as usize).saturating_sub(1)
}

fn most_alone(plan: &Plan, world: &World, played: &[(Phase, Phased)]) -> Table {
    let columns = ["phase", "service", "backends in service", "in nobody's subset", "callers"];
    let mut table = Table::new("Services with most such backends, at the start", &columns);
    for (phase, phased) in played {
        let alone = |s: &&Called| s.looks[first_look(plan)][1];
        let mut services: Vec<&Called> = phased.services.iter().filter(|s| alone(s) > 0).collect();
        services.sort_by_key(|s| (usize::MAX - alone(s), s.service));
        for s in services.iter().take(MOST_SHOWN) {
            table.row([
                Value::from(phase.name()),
                Value::from(s.service),
                Value::from(s.looks[first_look(plan)][0]),
                Value::from(alone(s)),
                Value::from(world.services[s.service].callers.len()),
            ]);
        }
    }
    table
}

fn cold(played: &[(Phase, Phased)]) -> Table {
    let columns = [
        "phase",
        "cold starts",
        "median, of the budget",
        "99%",
        "worst",
        "sent in the worst",
        "over the budget",
        "sent nothing",
    ];
    let name = "What all together send a cold backend in its worst window, against its budget";
    let mut table = Table::new(name, &columns);
    for (phase, phased) in played {
        let mut starts: Vec<_> = phased.services.iter().flat_map(|s| s.cold.clone()).collect();
        starts.sort_by(|a, b| a.ratio.total_cmp(&b.ratio));
        let at = |part: f64| {
            let place = (part * starts.len() as f64) as usize;
            starts.get(place.min(starts.len().saturating_sub(1)))
        };
        let ratio = |part: f64| Value::from(at(part).map_or(f64::NAN, |c| c.ratio));
        table.row([
            Value::from(phase.name()),
            Value::from(starts.len()),
            ratio(0.5),
            ratio(0.99),
            ratio(1.0),
            Value::from(at(1.0).map_or(0, |c| c.sent)),
            Value::from(starts.iter().filter(|c| c.ratio > 1.0).count()),
            Value::from(starts.iter().filter(|c| c.sent == 0).count()),
        ]);
    }
    table
}

fn by_role(plan: &Plan, world: &World, roles: &Roles, played: &[(Phase, Phased)]) -> Table {
    let columns = [
        "phase",
        "role",
        "backends listed",
        "proxies",
        "most kept",
        "most in subset",
        "most open",
        "messages/s",
        "entries/s",
        "bytes/s",
    ];
    let name = "Each role: state (mean over proxies of the most that each had), and messages of the list: \
                those that a proxy takes in, and those that discovery sends";
    let mut table = Table::new(name, &columns);
    for (phase, phased) in played {
        let rates = |c: Counts, of: f64| {
            [c.updates, c.entries, c.bytes].map(|n| Value::from(n as f64 / (of * plan.window)))
        };
        for (role, service) in roles.all() {
            if let Some(s) = phased.services.iter().find(|s| s.service == service) {
                let Some(of) = world.services.get(service) else {
                    continue;
                };
                let head = [
                    Value::from(phase.name()),
                    Value::from(format!("proxy {role}")),
                    Value::from(of.machines.len()),
                    Value::from(of.callers.len()),
                ];
                let most = s.most.map(Value::from);
                table.row(head.into_iter().chain(most).chain(rates(s.counts, of.callers.len() as f64)));
            }
        }
        let of = |s: &Called| &world.services[s.service];
        let head = [
            Value::from(phase.name()),
            Value::from("discovery"),
            Value::from(phased.services.iter().map(|s| of(s).machines.len()).sum::<usize>()),
            Value::from(phased.services.iter().map(|s| of(s).callers.len()).sum::<usize>()),
            Value::Absent,
            Value::Absent,
            Value::Absent,
        ];
        table.row(head.into_iter().chain(rates(total(phased), 1.0)));
    }
    table
}

/// What has to be known to read them.
pub fn notes(plan: &Plan) -> Vec<String> {
    let day = 86_400.0;
    vec![
        "each proxy calls exactly one service, one of those that its own calls: the program's proxies \
         have one list each"
            .to_string(),
        format!(
            "ordinary: a day's restarts in {} s, {:.0} times as dense; region: an hour in {} s",
            plan.window,
            day / plan.window,
            plan.cut
        ),
        "region: discovery is outside, and goes on listing what is cut off; the cut region hears nothing of \
         it until it is back"
            .to_string(),
        "messages are those with entries; empty answers of the watch are not among them. Discovery is \
         modelled: its processor time is not measured, and the delay of news is drawn"
            .to_string(),
        "budget of a cold backend: N + 2 sqrt(N) + 2, N = fall_multiple x capacity of the moment x \
         tip_after; capacity: what it was sent a second while warm, or its even part if that is more"
            .to_string(),
        "checked throughout: one final answer for each call and in time, no unsafe call sent twice"
            .to_string(),
    ]
}
