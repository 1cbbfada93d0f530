//! The real proxy as processes, against a stand-in discovery: what keeping lists costs, how long a
//! change takes to be in force, and what a discovery that was away gets at its return.
//!
//! Bytes are those of calls and answers, heads and bodies; what TCP adds is not among them.

use crate::discovery::{Change, Counts, Discovery, InForce, List, Mode, Traffic, instances};
use crate::draw::arrivals;
use crate::error::Error;
use crate::plan;
use crate::process::{self, Machine, Proxy, Start, Stop, Usage, Use, addresses, budget};
use crate::report::{Report, Table, Value};
use crate::rollout;
use clap::ValueEnum;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Arguments of `fleet-bench control`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Where the plan comes from
    #[command(flatten)]
    pub source: plan::Source,
    /// A small plan, of less than half a minute
    #[arg(long, conflicts_with = "experiment")]
    pub quick: bool,
    /// Sizes of the list
    #[arg(long, value_delimiter = ',', value_name = "N,...")]
    pub listed: Option<Vec<usize>>,
    /// Numbers of proxies
    #[arg(long, value_delimiter = ',', value_name = "N,...")]
    pub proxies: Option<Vec<usize>>,
    /// Changes of the list a second, beside none and the fleet's own rate
    #[arg(long, value_delimiter = ',', value_name = "RATE,...")]
    pub rates: Option<Vec<f64>>,
    /// Seconds for which each rate is measured
    #[arg(long, value_name = "SECONDS")]
    pub window: Option<f64>,
    /// How discovery is away; none for no absence
    #[arg(long, value_delimiter = ',', value_name = "KIND,...", num_args = 0..)]
    pub absences: Option<Vec<Absence>>,
    /// The proxy's program, if it is not beside this one
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
    /// Changes of settings
    #[command(flatten)]
    pub settings: rollout::Args,
}

/// How discovery is away, and what it knows at its return.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Absence {
    /// Connections are refused; it still knows the changes
    Refusing,
    /// Connections are refused; it sends the whole list to all
    RefusingWhole,
    /// It is silent; it still knows the changes
    Silent,
    /// It is silent; it sends the whole list to all
    SilentWhole,
    /// It answers later than any proxy waits; it still knows the changes
    Slow,
    /// It answers later than any proxy waits; it sends the whole list to all
    SlowWhole,
}

impl Absence {
    fn mode(self) -> Mode {
        match self {
            Self::Refusing | Self::RefusingWhole => Mode::Refusing,
            Self::Silent | Self::SilentWhole => Mode::Silent,
            Self::Slow | Self::SlowWhole => Mode::Slow(TOO_SLOW),
        }
    }

    fn whole(self) -> bool {
        matches!(self, Self::RefusingWhole | Self::SilentWhole | Self::SlowWhole)
    }
}

/// What is run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Sizes of the list.
    pub listed: Vec<usize>,
    /// Numbers of proxies; each with each size.
    pub proxies: Vec<usize>,
    /// Changes of the list a second, beside none and the fleet's own rate.
    pub rates: Vec<f64>,
    /// Seconds for which each rate is measured.
    pub window: f64,
    /// How discovery is away, one after another.
    pub absences: Vec<Absence>,
    /// Seconds for which it is away.
    pub away: f64,
    /// Sizes that are also run where the list must be asked for, with the least number of proxies
    /// that is not 1.
    pub subscribe: Vec<usize>,
    /// Changes of settings, of proxies that keep the first of the lists.
    pub settings: rollout::Plan,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            listed: vec![17, 870, 5_500],
            proxies: vec![50],
            rates: vec![1.0, 10.0, 100.0],
            window: 2.5,
            absences: vec![Absence::RefusingWhole, Absence::Silent],
            away: 3.0,
            subscribe: vec![870],
            settings: rollout::Plan::default(),
        }
    }
}

impl Plan {
    fn quick() -> Self {
        Self {
            listed: vec![17, 870],
            proxies: vec![5],
            rates: vec![10.0],
            window: 1.0,
            absences: vec![Absence::RefusingWhole],
            away: 2.0,
            subscribe: Vec::new(),
            ..Self::default()
        }
    }

    fn read(args: &Args) -> Result<Self, Error> {
        let mut plan = if args.quick { Self::quick() } else { args.source.read()? };
        plan.seed = args.source.seed.unwrap_or(plan.seed);
        plan.window = args.window.unwrap_or(plan.window);
        args.listed.iter().for_each(|listed| plan.listed.clone_from(listed));
        args.proxies.iter().for_each(|proxies| plan.proxies.clone_from(proxies));
        args.rates.iter().for_each(|rates| plan.rates.clone_from(rates));
        args.absences.iter().for_each(|absences| plan.absences.clone_from(absences));
        plan.settings.take(&args.settings);
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), Error> {
        self.settings.check()?;
        let bad = |name, expected, got: String| Err(Error::Argument { name, expected, got });
        let sizes = self.listed.iter().chain(&self.subscribe);
        if let Some(got) = sizes.clone().find(|n| !(2..=20_000).contains(*n)) {
            return bad("listed", "2 to 20,000", got.to_string());
        }
        if self.settings.changes > 0 && self.listed.is_empty() {
            return bad("listed", "one at least, for changes of settings", "none".to_string());
        }
        if let Some(got) = self.proxies.iter().find(|n| !(1..=300).contains(*n)) {
            return bad("proxies", "1 to 300", got.to_string());
        }
        if let Some(got) = self.rates.iter().find(|rate| !(0.01..=1_000.0).contains(*rate)) {
            return bad("rates", "0.01 to 1,000 a second", got.to_string());
        }
        for (name, seconds) in [("window", self.window), ("away", self.away)] {
            if !(0.5..=600.0).contains(&seconds) {
                return bad(name, "0.5 to 600 s", seconds.to_string());
            }
        }
        let each = (self.rates.len() + 2) as f64 * (self.window + GRACE.as_secs_f64());
        let each = each + self.absences.len() as f64 * (self.away + RETURN.as_secs_f64());
        let most = (self.listed.len() * self.proxies.len() + self.subscribe.len()) as f64 * each;
        if most > MOST_SECONDS {
            return bad("plan", "at most an hour", format!("{most:.0} s"));
        }
        Ok(())
    }
}

/// Longest run, in seconds.
const MOST_SECONDS: f64 = 3_600.0;
/// What is on the way at the end of a window may still arrive within this.
const GRACE: Duration = Duration::from_secs(2);
/// What a discovery gets is looked at for so long after its return.
const RETURN: Duration = Duration::from_secs(6);
/// Later than any proxy waits for an answer.
const TOO_SLOW: Duration = Duration::from_secs(10);
/// All proxies have called for the first time by then: where the list must be asked for, they
/// spread that over 5 s.
const FIRST_CALLS: Duration = Duration::from_secs(20);
/// Quiet time between their first calls and the first window.
const SETTLE: Duration = Duration::from_secs(1);
/// What has to be taken from discovery after it was away.
const NEWS: usize = 10;
/// Changes that a window has at least, where there are any: without one there is nothing to see.
const FEWEST: usize = 3;
/// Part of a core from which on the stand-in may itself be what is measured.
const STAND_IN_BUSY: f64 = 0.8;

/// What the operators expect of the whole fleet in a day, and how large it is.
mod fleet {
    pub const BACKENDS: f64 = 5_500.0;
    pub const RESTARTS: f64 = 680.0;
    pub const CONFIGURATIONS: f64 = 13_000.0;
    pub const DAY: f64 = 86_400.0;
}

/// What one list of so many sees of the fleet's changes: its part of them by size. A restart is two
/// changes, of draining and of the return or the new one.
struct Share {
    restarts: f64,
    configurations: f64,
}

impl Share {
    fn of(listed: usize) -> Self {
        let part = listed as f64 / fleet::BACKENDS;
        Self { restarts: part * fleet::RESTARTS, configurations: part * fleet::CONFIGURATIONS }
    }

    fn changes_per_second(&self) -> f64 {
        (2.0 * self.restarts + self.configurations) / fleet::DAY
    }
}

/// Draws changes as the fleet has them: of every 14,360, 1,360 are of restarts, the rest of
/// configuration, which a list shows as another weight.
struct Changes {
    rng: SmallRng,
    draining: Option<usize>,
}

impl Changes {
    fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), draining: None }
    }

    /// The times of a window's changes at this rate a second, with exponential gaps; at least a few.
    fn times(&mut self, rate: f64, window: f64) -> Vec<Duration> {
        let mut times = arrivals(&mut self.rng, rate, window);
        while rate > 0.0 && times.len() < FEWEST {
            times.push(Duration::from_secs_f64(self.rng.random::<f64>() * window));
        }
        times.sort();
        times
    }

    fn next(&mut self, discovery: &Discovery) -> Change {
        let serving = discovery.serving();
        let one = serving[self.rng.random_range(0..serving.len())];
        let restarts = 2.0 * fleet::RESTARTS;
        if !self.rng.random_bool(restarts / (restarts + fleet::CONFIGURATIONS)) {
            return Change::Weight(one, self.rng.random_range(0.5..2.0));
        }
        match self.draining.take() {
            Some(drained) if self.rng.random() => Change::Return(drained),
            Some(drained) => Change::Replace(drained),
            None => {
                self.draining = Some(one);
                Change::Drain(one)
            }
        }
    }
}

/// One list, and the proxies that keep it.
struct Group<'a> {
    plan: &'a Plan,
    stop: &'a Stop,
    listed: usize,
    subscribe: bool,
    // In this order: the proxies end before what they call.
    proxies: Vec<Proxy>,
    discovery: Discovery,
    changes: Changes,
}

/// What all of them have used, and the machine with them, at one moment.
struct Moment {
    at: Instant,
    usages: Vec<Usage>,
    counts: Vec<Counts>,
    stand_in: Usage,
    machine: Machine,
}

impl<'a> Group<'a> {
    fn start(
        plan: &'a Plan,
        stop: &'a Stop,
        program: &Path,
        listed: usize,
        of: usize,
        subscribe: bool,
    ) -> Result<Self, Error> {
        // Nobody listens there: without requests nobody connects.
        let instances = instances(addresses(Use::Backend, listed));
        let discovery = Discovery::start(instances.clone(), of)?;
        let seed = plan.seed.wrapping_mul(0x9e37_79b9).wrapping_add((listed * 1_000 + of) as u64);
        let mut group = Self {
            plan,
            stop,
            listed,
            subscribe,
            proxies: Vec::new(),
            discovery,
            changes: Changes::new(seed),
        };
        let known = &List::known(&instances);
        let own = addresses(Use::Listen, of).zip(addresses(Use::Management, of));
        for (number, (listen, management)) in own.enumerate() {
            stop.check()?;
            let discovery = group.discovery.addresses()[number];
            let seed = seed.wrapping_add(number as u64);
            // As many in its tier as there are backends listed, by the fleet's one proxy a backend.
            let start = Start {
                program,
                number,
                listen,
                management,
                of: listed.max(of),
                seed,
                subscribe,
                discovery,
                known,
            };
            group.proxies.push(Proxy::spawn(&start)?);
        }
        for proxy in &mut group.proxies {
            proxy.ready(stop)?;
        }
        let by = Instant::now() + FIRST_CALLS;
        while group.discovery.counts().iter().any(|counts| counts.calls == 0) {
            if Instant::now() > by {
                return Err(Error::Failed("a proxy has not called discovery".to_string()));
            }
            stop.sleep_until(Instant::now() + Duration::from_millis(50))?;
        }
        stop.sleep_until(Instant::now() + SETTLE)?;
        Ok(group)
    }

    fn now(&self) -> Result<Moment, Error> {
        let usages = self.proxies.iter().map(Proxy::usage).collect::<Result<_, _>>()?;
        let (counts, stand_in) = (self.discovery.counts(), Usage::of_self()?);
        Ok(Moment { at: Instant::now(), usages, counts, stand_in, machine: Machine::now()? })
    }

    /// Changes the list at these times from now on.
    fn change_at(&mut self, times: &[Duration]) -> Result<(), Error> {
        let begun = Instant::now();
        for time in times {
            self.stop.sleep_until(begun + *time)?;
            let change = self.changes.next(&self.discovery);
            self.discovery.change(change);
        }
        Ok(())
    }

    /// Waits until every proxy has every version, or for as long as it may still come.
    fn catch_up(&self, within: Duration) -> Result<(), Error> {
        let by = Instant::now() + within;
        while self.discovery.lacking() > 0 && Instant::now() < by {
            self.stop.sleep_until(Instant::now() + Duration::from_millis(10))?;
        }
        Ok(())
    }

    /// What it costs each proxy while the list changes at this rate a second.
    fn window(&mut self, rate: f64, notes: &mut Vec<String>) -> Result<Costs, Error> {
        let times = self.changes.times(rate, self.plan.window);
        drop(self.discovery.take_in_force()?);
        let before = self.now()?;
        self.change_at(&times)?;
        self.stop.sleep_until(before.at + Duration::from_secs_f64(self.plan.window))?;
        let after = self.now()?;
        self.catch_up(GRACE)?;
        let (lacking, in_force) = (self.discovery.lacking(), self.discovery.take_in_force()?);
        let stand_in = after.stand_in.cores_since(&before.stand_in);
        let row = format!("{} listed, {} proxies, {rate:.3} changes/s", self.listed, self.proxies.len());
        if lacking > 0 {
            notes.push(format!("{row}: {lacking} times a proxy still lacked a change 2 s after the window."));
        }
        if stand_in > STAND_IN_BUSY {
            notes.push(format!("{row}: the stand-in had no time to spare, which lengthens \"in force\"."));
        }
        let of = self.proxies.len() as f64;
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let each = |count: fn(&Counts) -> u64| {
            let sum = |counts: &[Counts]| counts.iter().map(count).sum::<u64>();
            (sum(&after.counts) - sum(&before.counts)) as f64 / seconds / of
        };
        let cores: Vec<_> = after.usages.iter().zip(&before.usages).map(|(a, b)| a.cores_since(b)).collect();
        let most = |held: fn(&Usage) -> u64| after.usages.iter().map(held).max().unwrap_or(0) as f64;
        Ok(Costs {
            changes: times.len() as f64 / seconds,
            calls: each(|counts| counts.calls),
            bytes: each(|counts| counts.received + counts.sent),
            core: cores.iter().sum::<f64>() / of,
            core_most: cores.iter().copied().fold(0.0, f64::max),
            resident: most(|usage| usage.resident),
            resident_peak: most(|usage| usage.resident_peak),
            descriptors: most(|usage| usage.descriptors as u64),
            in_force: times_in_force(&in_force),
            stand_in,
            stalled: after.machine.stall_since(&before.machine),
        })
    }

    fn mode(&self) -> &'static str {
        if self.subscribe { "subscribe" } else { "automatic" }
    }

    /// The rows of all rates.
    fn windows(&mut self, table: &mut Table, notes: &mut Vec<String>) -> Result<(), Error> {
        let fleet = Share::of(self.listed).changes_per_second();
        let rest = self.window(0.0, notes)?;
        let few = self.window(fleet, notes)?;
        let mut rows =
            vec![("none".to_string(), rest.clone()), ("fleet".to_string(), rest.towards(few, fleet))];
        for &rate in &self.plan.rates {
            rows.push((rate.to_string(), self.window(rate, notes)?));
        }
        for (name, costs) in rows {
            let head: [Value; 4] =
                [self.listed.into(), self.proxies.len().into(), self.mode().into(), name.into()];
            table.row(head.into_iter().chain(costs.row()));
        }
        Ok(())
    }

    /// A row of the table of returns.
    fn absence(&mut self, absence: Absence) -> Result<Vec<Value>, Error> {
        let before = Machine::now()?;
        self.discovery.set_mode(absence.mode());
        let part = Duration::from_secs_f64(self.plan.away / (NEWS + 1) as f64);
        self.change_at(&(1..=NEWS as u32).map(|i| part * i).collect::<Vec<_>>())?;
        self.stop.sleep_until(Instant::now() + part)?;
        if absence.whole() {
            self.discovery.forget();
        }
        self.discovery.note_traffic();
        let back = Instant::now();
        self.discovery.set_mode(Mode::Up);
        self.stop.sleep_until(back + RETURN)?;
        let traffic = self.discovery.take_traffic();
        let (lacking, last) = (self.discovery.lacking(), self.discovery.last_named());
        let until = |seconds: f64| {
            let within: Vec<&Traffic> =
                traffic.iter().filter(|t| t.at.duration_since(back).as_secs_f64() < seconds).collect();
            let calls = within.iter().filter(|t| t.call).count();
            [Value::from(calls), (within.iter().map(|t| t.bytes).sum::<usize>() as f64 / 1e3).into()]
        };
        let calls: Vec<_> = traffic.iter().filter(|t| t.call).map(|t| t.at).collect();
        let took = if lacking == 0 { last.duration_since(back).as_secs_f64() } else { f64::NAN };
        let kind = absence.to_possible_value().map_or_else(String::new, |value| value.get_name().to_string());
        let head =
            [self.listed.into(), self.proxies.len().into(), self.mode().into(), kind.into()].into_iter();
        let row = head.chain([0.1, 1.0, RETURN.as_secs_f64()].into_iter().flat_map(until));
        let stall = Machine::now()?.stall_since(&before);
        let tail =
            [most_within(&calls, Duration::from_millis(100)).into(), took.into(), (100.0 * stall).into()];
        Ok(row.chain(tail).collect())
    }

    /// All of them list what discovery does.
    fn check(&self, notes: &mut Vec<String>) -> Result<(), Error> {
        let listed = self.discovery.listed();
        let mut other = 0;
        for proxy in &self.proxies {
            other += usize::from(proxy.stats()?["discovered"] != listed);
        }
        if other > 0 {
            let of = self.proxies.len();
            notes.push(format!("{listed} listed at the end: {other} of {of} proxies list another number"));
        }
        Ok(())
    }
}

/// What one window has shown, for each proxy.
#[derive(Clone)]
struct Costs {
    /// Changes a second.
    changes: f64,
    /// Calls a second.
    calls: f64,
    /// Bytes a second, both ways.
    bytes: f64,
    /// Part of a core, on average and at the one that took most.
    core: f64,
    core_most: f64,
    /// Bytes, at the proxy that has most.
    resident: f64,
    resident_peak: f64,
    descriptors: f64,
    /// Milliseconds.
    in_force: [Value; 3],
    /// Part of a core.
    stand_in: f64,
    /// Part of the time.
    stalled: f64,
}

impl Costs {
    const COLUMNS: [&str; 16] = [
        "changes/s",
        "calls/s",
        "bytes/s",
        "of 3 KB/s",
        "core, %",
        "of 1%",
        "core max, %",
        "RSS, MB",
        "RSS peak, MB",
        "of 128 MB",
        "descriptors",
        "50%, ms",
        "99%, ms",
        "all, ms",
        "stand-in core, %",
        "machine stalled, %",
    ];

    /// At a rate of fewer changes than `more` had: what these added, in proportion.
    fn towards(&self, more: Self, rate: f64) -> Self {
        let part = (rate / more.changes).min(1.0);
        let between = |rest: f64, more: f64| rest + part * (more - rest);
        Self {
            changes: between(self.changes, more.changes),
            calls: between(self.calls, more.calls),
            bytes: between(self.bytes, more.bytes),
            core: between(self.core, more.core),
            core_most: between(self.core_most, more.core_most),
            ..more
        }
    }

    fn row(self) -> impl Iterator<Item = Value> {
        let [half, most, all] = self.in_force;
        let row: [Value; Self::COLUMNS.len()] = [
            self.changes.into(),
            self.calls.into(),
            self.bytes.into(),
            (self.bytes / budget::BYTES).into(),
            (100.0 * self.core).into(),
            (self.core / budget::CORE).into(),
            (100.0 * self.core_most).into(),
            (self.resident / 1e6).into(),
            (self.resident_peak / 1e6).into(),
            (self.resident_peak / budget::MEMORY).into(),
            self.descriptors.into(),
            half,
            most,
            all,
            (100.0 * self.stand_in).into(),
            (100.0 * self.stalled).into(),
        ];
        row.into_iter()
    }
}

/// The time until a change is in force at half of the proxies, at 99%, and at the last of all: the
/// last one is of the slowest change. In milliseconds.
fn times_in_force(in_force: &InForce) -> [Value; 3] {
    if in_force.each.is_empty() {
        return [const { Value::Absent }; 3];
    }
    let [half, most] = [0.5, 0.99].map(|part| in_force.each.value_at_quantile(part));
    [half, most, in_force.all.max()].map(|micros| (micros as f64 / 1e3).into())
}

/// The most of these times, which are in order, that lie within such a span.
fn most_within(times: &[Instant], span: Duration) -> usize {
    let after = |i: usize| times.partition_point(|t| *t < times[i] + span) - i;
    (0..times.len()).map(after).max().unwrap_or(0)
}

/// Runs it.
pub fn run(args: &Args) -> Result<Report, Error> {
    let plan = Plan::read(args)?;
    let program = process::program(args.program.as_deref())?;
    let stop = Stop::on_signals()?;
    let mut report = Report::new("control", plan.seed, &plan)?;
    let mut shares = Table::new(
        "What one list sees of the fleet's changes, by its size",
        &["listed", "restarts/day", "configurations/day", "changes/s"],
    );
    let mut costs = Table::new(
        "What keeping a list costs each proxy, and how soon a change is in force (seen at the next call)",
        &["listed", "proxies", "mode", "rate"],
    );
    costs.columns.extend(Costs::COLUMNS.map(str::to_string));
    let mut returns = Table::new(
        "What a discovery that was away gets from all proxies after its return, and when all have its news",
        &[
            "listed",
            "proxies",
            "mode",
            "away",
            "calls, 0.1 s",
            "KB, 0.1 s",
            "calls, 1 s",
            "KB, 1 s",
            "calls, 6 s",
            "KB, 6 s",
            "most calls in 0.1 s",
            "all have it, s",
            "machine stalled, %",
        ],
    );
    let load = Machine::now()?.load;
    for &listed in &plan.listed {
        let share = Share::of(listed);
        let (restarts, configurations) = (share.restarts, share.configurations);
        shares.row([
            listed.into(),
            restarts.into(),
            configurations.into(),
            share.changes_per_second().into(),
        ]);
    }
    let several = plan.proxies.iter().copied().filter(|n| *n > 1).min().unwrap_or(1);
    let automatic = plan.listed.iter().flat_map(|l| plan.proxies.iter().map(|p| (*l, *p, false)));
    let subscribed = plan.subscribe.iter().map(|listed| (*listed, several, true));
    let (own, proxies) = (&plan.settings, plan.settings.proxies);
    if let Some(&listed) = plan.listed.first().filter(|_| own.changes > 0) {
        let mut group = Group::start(&plan, &stop, &program, listed, proxies, false)?;
        rollout::run(own, &stop, &mut group.proxies, &group.discovery, &mut report)?;
        report.notes.push(load_since(load)?);
        return Ok(report);
    }
    for (listed, proxies, subscribe) in automatic.chain(subscribed) {
        tracing::info!("{listed} listed, {proxies} proxies, subscribe: {subscribe}");
        let mut group = Group::start(&plan, &stop, &program, listed, proxies, subscribe)?;
        group.windows(&mut costs, &mut report.notes)?;
        for &absence in &plan.absences {
            returns.row(group.absence(absence)?);
        }
        group.check(&mut report.notes)?;
    }
    report.tables.extend([shares, costs, returns]);
    report.notes.push(format!(
        "A window has at least {FEWEST} changes. Where the fleet has fewer, its rows' calls, bytes and core are \
         those at rest and its part of what these changes added; their times are as measured."
    ));
    report.notes.push(
        "Where no time is told until all have the news, some lacked it 6 s after the return.".to_string(),
    );
    report.notes.push(load_since(load)?);
    Ok(report)
}

fn load_since(start: f64) -> Result<String, Error> {
    let end = Machine::now()?.load;
    Ok(format!("Load of the machine (1 min): {start:.1} at the start, {end:.1} at the end."))
}
