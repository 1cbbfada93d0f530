//! The module alone: what each of its events costs, against what grows with the size.
//!
//! Along each axis one figure of the base case is varied and the others are held. All cases of an
//! axis are measured in turn, round by round, so that a machine that is busy for a while is so for
//! all of them; the line of an axis goes through the medians over the rounds.

mod host;

use crate::error::Error;
use crate::plan;
use crate::report::{Report, Table, Value};
use crate::stats;
use host::{Case, Host, Kind};
use procfs::{Current, LoadAverage};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};
use tracing::info;

/// Arguments of `fleet-bench slopes`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Where the plan comes from
    #[command(flatten)]
    pub source: plan::Source,
    /// Few rounds and short ones, to see that it runs: its figures are rough
    #[arg(long)]
    pub quick: bool,
    /// Rounds over the cases of each axis
    #[arg(long)]
    pub rounds: Option<usize>,
    /// Tiers between the clients and the balancer; only at 0, the entry, it may turn requests away
    #[arg(long)]
    pub tier: Option<usize>,
}

/// The case that each axis goes through.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Base {
    /// Backends listed.
    pub backends: usize,
    /// Backends listed over balancers, rounded up: the members that a balancer has at least. The
    /// number of balancers follows from it. As each open request asks for a member, there are no
    /// fewer than [`Self::open`].
    pub subset: usize,
    /// Classes of requests.
    pub classes: usize,
    /// Tenants.
    pub tenants: usize,
    /// Open requests, on average. The default is what 113 a second make that take 53 ms each.
    pub open: usize,
    /// Tiers between the clients and the balancer.
    pub tier: usize,
}

impl Default for Base {
    fn default() -> Self {
        Self { backends: 170, subset: 6, classes: 3, tenants: 0, open: 6, tier: 0 }
    }
}

/// The values of each axis. One without values is not measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Axes {
    /// Backends listed, the own subset held.
    pub backends: Vec<usize>,
    /// Members of the own subset, by fewer balancers.
    pub subset: Vec<usize>,
    /// Balancers: so many that the own subset is as small as the open requests allow.
    pub instances: Vec<usize>,
    /// Classes of requests.
    pub classes: Vec<usize>,
    /// Tenants.
    pub tenants: Vec<usize>,
    /// Open requests; the own subset grows with them, as it does in service.
    pub open: Vec<usize>,
    /// Open requests at a single balancer, all backends being its members whatever is open.
    pub open_alone: Vec<usize>,
}

impl Default for Axes {
    fn default() -> Self {
        Self {
            backends: vec![17, 170, 870, 1700, 5500],
            subset: vec![6, 17, 34, 57, 85, 170],
            instances: vec![29, 100, 1000, 5500],
            classes: vec![1, 4, 16, 64, 256],
            tenants: vec![0, 17, 170, 1700],
            open: vec![4, 16, 64, 256, 1024],
            open_alone: vec![4, 16, 64, 256, 1024],
        }
    }
}

/// What is run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Rounds over the cases of each axis.
    pub rounds: usize,
    /// Requests served in a round.
    pub requests: usize,
    /// Changed entries told in a round.
    pub changes: usize,
    /// Whole lists told in a round.
    pub lists: usize,
    /// What is served before the first round, in seconds of virtual time.
    pub warm_up: f64,
    /// After so long nothing more is begun, in seconds.
    pub time_limit: u64,
    /// The case that each axis goes through.
    pub base: Base,
    /// The values of each axis.
    pub axes: Axes,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            rounds: 15,
            requests: 1000,
            changes: 20,
            lists: 5,
            warm_up: 3.0,
            time_limit: 1200,
            base: Base::default(),
            axes: Axes::default(),
        }
    }
}

/// No figure of a case may be beyond this: a case of that size is still measured within minutes.
const MOST: usize = 10_000;

impl Plan {
    fn check(&self) -> Result<(), Error> {
        within("rounds", "1 to 1000", 1..=1000, self.rounds)?;
        within("requests", "16 to 10000", 16..=MOST, self.requests)?;
        within("changes", "2 to 1000", 2..=1000, self.changes)?;
        within("lists", "1 to 1000", 1..=1000, self.lists)?;
        within("time_limit", "1 to 86400 seconds", 1..=86400, self.time_limit as usize)?;
        if !(0.0..=60.0).contains(&self.warm_up) {
            let got = self.warm_up.to_string();
            return Err(Error::Argument { name: "warm_up", expected: "0 to 60 seconds", got });
        }
        for axis in self.axes() {
            for (_, case) in axis.cases {
                let some = "1 to 10000";
                within("backends", some, 1..=MOST, case.backends)?;
                within("instances", some, 1..=MOST, case.instances)?;
                within("classes", some, 1..=MOST, case.classes)?;
                within("tenants", "0 to 10000", 0..=MOST, case.tenants)?;
                within("open", some, 1..=MOST, case.open)?;
                within("tier", "0 to 10000", 0..=MOST, case.tier)?;
            }
        }
        Ok(())
    }

    /// Each axis with its cases.
    fn axes(&self) -> Vec<Axis> {
        let (base, axes) = (&self.base, &self.axes);
        let instances = |backends: usize, subset: usize| backends.div_ceil(subset.max(1)).max(1);
        let middle = Case {
            backends: base.backends,
            instances: instances(base.backends, base.subset),
            classes: base.classes,
            tenants: base.tenants,
            open: base.open,
            tier: base.tier,
        };
        let axis = |name, values: &[usize], case: &dyn Fn(usize) -> Case| Axis {
            name,
            cases: values.iter().map(|v| (*v, case(*v))).collect(),
        };
        let sized = |backends| Case { backends, instances: instances(backends, base.subset), ..middle };
        let held = |subset| Case { instances: instances(base.backends, subset), ..middle };
        vec![
            axis("backends listed", &axes.backends, &sized),
            axis("own subset", &axes.subset, &held),
            axis("instances", &axes.instances, &|instances| Case { instances, ..middle }),
            axis("classes", &axes.classes, &|classes| Case { classes, ..middle }),
            axis("tenants", &axes.tenants, &|tenants| Case { tenants, ..middle }),
            axis("open requests", &axes.open, &|open| Case { open, ..middle }),
            axis("open, all members", &axes.open_alone, &|open| Case { open, instances: 1, ..middle }),
        ]
    }
}

fn within(
    name: &'static str,
    expected: &'static str,
    range: RangeInclusive<usize>,
    got: usize,
) -> Result<(), Error> {
    if range.contains(&got) {
        return Ok(());
    }
    Err(Error::Argument { name, expected, got: got.to_string() })
}

/// One figure varied, the others held.
struct Axis {
    name: &'static str,
    cases: Vec<(usize, Case)>,
}

/// What is measured of each case, with its unit: times first.
const MEASURES: [&str; 12] = [
    "call, us",
    "outcome, us",
    "firing, sends, us",
    "firing, sends not, us",
    "late timer, us",
    "all per call, us",
    "changed entry, us",
    "whole list, us",
    "first list, us",
    "new settings, us",
    "idle state, bytes",
    "state, bytes",
];

/// Of these, how many are times.
const TIMES: usize = 10;

/// What was measured of one case.
#[derive(Default)]
struct Measured {
    value: usize,
    /// For each measure, its figure of each round; NaN where no such event came.
    rounds: [Vec<f64>; MEASURES.len()],
    open: f64,
    members_used: usize,
    unserved: usize,
}

/// One case while it is measured.
struct Running {
    case: Case,
    host: Host,
    measured: Measured,
}

impl Running {
    fn new(value: usize, case: Case, plan: &Plan) -> Self {
        let mut host = Host::new(case, plan.seed);
        host.warm_up(plan.warm_up);
        Self { case, host, measured: Measured { value, ..Measured::default() } }
    }

    fn round(&mut self, plan: &Plan) {
        let (host, measured) = (&mut self.host, &mut self.measured);
        let spent = host.serve(plan.requests);
        (measured.open, measured.members_used) = (spent.open(), host.members_used());
        measured.unserved += spent.unserved;
        let mean =
            |times: usize, of: &mut dyn FnMut() -> f64| (0..times).map(|_| of()).sum::<f64>() / times as f64;
        let figures: [f64; TIMES] = [
            spent.mean(Kind::Call),
            spent.mean(Kind::Outcome),
            spent.mean(Kind::FiringSent),
            spent.mean(Kind::FiringPassed),
            spent.mean(Kind::LateTimer),
            spent.each(),
            // In pairs, so that the backend that drains is back at the end.
            mean(plan.changes.next_multiple_of(2), &mut || host.change()),
            mean(plan.lists, &mut || host.whole_list()),
            mean(plan.lists, &mut || host.first_list(plan.seed)),
            // In pairs too: one balancer more, and one less.
            mean(plan.lists.next_multiple_of(2), &mut || host.settings()),
        ];
        for (rounds, figure) in measured.rounds.iter_mut().zip(figures) {
            rounds.push(figure);
        }
    }

    /// Ends it, and tells what its state came to: of a balancer that only has its list, and of this.
    fn end(mut self, plan: &Plan) -> Measured {
        let idle = Host::new(self.case, plan.seed).state();
        for (rounds, bytes) in self.measured.rounds[TIMES..].iter_mut().zip([idle, self.host.state()]) {
            rounds.push(bytes);
        }
        self.measured
    }
}

/// The quartiles of the samples that are numbers: first, median, third. NaN of none.
fn quartiles(samples: &[f64]) -> [f64; 3] {
    let mut sorted: Vec<f64> = samples.iter().copied().filter(|s| s.is_finite()).collect();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1) as f64;
    [0.25, 0.5, 0.75].map(|part| sorted.get((part * last).round() as usize).copied().unwrap_or(f64::NAN))
}

/// Runs it.
pub fn run(args: &Args) -> Result<Report, Error> {
    let mut plan: Plan = args.source.read()?;
    if args.quick {
        plan = Plan { rounds: 3, requests: 200, changes: 4, lists: 2, ..plan };
    }
    plan.seed = args.source.seed.unwrap_or(plan.seed);
    plan.rounds = args.rounds.unwrap_or(plan.rounds);
    plan.base.tier = args.tier.unwrap_or(plan.base.tier);
    plan.check()?;
    let mut report = Report::new("slopes", plan.seed, &plan)?;
    let mut lines = Table::new(
        "Lines: what one more on the axis adds, and what is left at none of it. Standard errors are \
         of the line through the medians; quartiles are of the lines of each round.",
        &[
            "axis",
            "measure",
            "slope",
            "error",
            "1st quartile",
            "3rd quartile",
            "intercept",
            "its error",
            "its 1st quartile",
            "its 3rd quartile",
        ],
    );
    let columns: Vec<&str> =
        ["axis", "value"].into_iter().chain(MEASURES).chain(["open", "members used", "not served"]).collect();
    let mut medians = Table::new("Cases: medians over the rounds", &columns);
    // On a machine that others use too, the least is what they have disturbed least.
    let mut least = Table::new("Least over the rounds", &columns[..2 + MEASURES.len()]);
    let mut spreads =
        Table::new("Spread: between the quartiles over the rounds", &columns[..2 + MEASURES.len()]);

    let (begun, load) = (Instant::now(), load());
    let limit = Duration::from_secs(plan.time_limit);
    for axis in plan.axes() {
        let mut running: Vec<Running> = Vec::new();
        for &(value, case) in &axis.cases {
            if begun.elapsed() < limit {
                info!("{} at {value}", axis.name);
                running.push(Running::new(value, case, &plan));
            }
        }
        let mut rounds = 0;
        while rounds < plan.rounds && begun.elapsed() < limit {
            running.iter_mut().for_each(|r| r.round(&plan));
            rounds += 1;
        }
        let measured: Vec<Measured> = running.into_iter().map(|r| r.end(&plan)).collect();
        if measured.len() < axis.cases.len() || rounds < plan.rounds {
            let (name, cases) = (axis.name, measured.len());
            report.notes.push(format!("{name}: time was up after {rounds} rounds of {cases} cases"));
        }
        for m in &measured {
            let figures = m.rounds.each_ref().map(|r| quartiles(r));
            let at = [Value::from(axis.name), Value::from(m.value)];
            let state = [Value::from(m.open), Value::from(m.members_used), Value::from(m.unserved)];
            medians.row(at.clone().into_iter().chain(figures.map(|f| Value::from(f[1]))).chain(state));
            let lowest = m.rounds.each_ref().map(|r| r.iter().copied().fold(f64::NAN, f64::min));
            least.row(at.clone().into_iter().chain(lowest.map(Value::from)));
            spreads.row(at.into_iter().chain(figures.map(|f| Value::from(f[2] - f[0]))));
        }
        add_lines(&mut lines, axis.name, &measured);
    }
    report.tables = vec![lines, medians, spreads, least];
    report.notes.extend([
        format!("Load of the machine: {load} at the start, {} at the end.", self::load()),
        "Times are processor time of the thread, from the system's clock for it, read round each event; \
         what reading it takes is taken off. A round's figure is the mean of its events; \
         where there is none, no such event came."
            .to_string(),
        "Bytes are those the module has asked the allocator for; what that adds is not in them. Those of \
         a state with open requests move by a doubling of a hash table from run to run."
            .to_string(),
    ]);
    Ok(report)
}

/// One, five and fifteen minutes' mean of running tasks.
fn load() -> String {
    LoadAverage::current().map_or("unknown".to_string(), |l| format!("{} {} {}", l.one, l.five, l.fifteen))
}

fn add_lines(lines: &mut Table, axis: &str, measured: &[Measured]) {
    for (i, name) in MEASURES.iter().enumerate() {
        let through = |y: &dyn Fn(&Measured) -> Option<f64>| {
            // A case in which no such event came is left out.
            let point = |m: &Measured| Some((m.value as f64, y(m).filter(|y| y.is_finite())?));
            stats::linear_fit(&measured.iter().filter_map(point).collect::<Vec<_>>())
        };
        let Some(line) = through(&|m| Some(quartiles(&m.rounds[i])[1])) else {
            continue; // too few cases
        };
        let rounds = measured.iter().map(|m| m.rounds[i].len()).max().unwrap_or(0);
        let each: Vec<_> = (0..rounds).filter_map(|r| through(&|m| m.rounds[i].get(r).copied())).collect();
        let slopes = quartiles(&each.iter().map(|l| l.slope).collect::<Vec<_>>());
        let intercepts = quartiles(&each.iter().map(|l| l.intercept).collect::<Vec<_>>());
        lines.row(
            [Value::from(axis), Value::from(*name)].into_iter().chain(
                [
                    line.slope,
                    line.slope_error,
                    slopes[0],
                    slopes[2],
                    line.intercept,
                    line.intercept_error,
                    intercepts[0],
                    intercepts[2],
                ]
                .map(Value::from),
            ),
        );
    }
}
