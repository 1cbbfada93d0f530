//! The plan of a run: the content of its experiment file, its defaults, its bounds, and the axes that
//! follow from it.

use super::deployment_case::DeploymentCase;
use crate::error::Error;
use crate::plan::check_range;
use balancer::Tier;
use serde::{Deserialize, Serialize};

/// Maximum of each size of a case: a case of that size is measured within minutes.
const MAX_CASE_SIZE: usize = 10_000;

/// The base case, of which each axis varies one size.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BaseCase {
    /// Backends listed.
    pub backends: usize,
    /// Minimum size of a balancer's subset: backends over balancers, rounded up. The number of
    /// balancers follows from this size. As each open request needs a member, the subset is at least
    /// [`Self::open_requests`].
    pub subset: usize,
    /// Request classes.
    pub classes: usize,
    /// Tenants.
    pub tenants: usize,
    /// Mean number of open requests. The default is that of 113 requests per second of 53 ms each.
    #[serde(alias = "open")]
    pub open_requests: usize,
    /// Tiers between the clients and the balancer.
    pub tier: usize,
}

impl Default for BaseCase {
    fn default() -> Self {
        Self { backends: 170, subset: 6, classes: 3, tenants: 0, open_requests: 6, tier: 0 }
    }
}

impl BaseCase {
    fn case(&self) -> DeploymentCase {
        DeploymentCase {
            backends: self.backends,
            instances: balancer_count(self.backends, self.subset),
            classes: self.classes,
            tenants: self.tenants,
            open_requests: self.open_requests,
            tier: Tier(self.tier),
        }
    }
}

/// Returns the number of balancers with which each has a subset of this size.
fn balancer_count(backends: usize, subset: usize) -> usize {
    backends.div_ceil(subset.max(1)).max(1)
}

/// The values of each axis. An axis without values is not measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Axes {
    /// Backends listed, with a constant subset.
    pub backends: Vec<usize>,
    /// Size of the subset, by the number of balancers.
    pub subset: Vec<usize>,
    /// Balancers; the subset is as small as the open requests allow.
    pub instances: Vec<usize>,
    /// Request classes.
    pub classes: Vec<usize>,
    /// Tenants.
    pub tenants: Vec<usize>,
    /// Mean numbers of open requests; the subset grows with the open requests, as in operation.
    #[serde(alias = "open")]
    pub open_requests: Vec<usize>,
    /// Mean numbers of open requests at a single balancer, whose subset always has all backends.
    #[serde(alias = "open_alone")]
    pub open_requests_full_subset: Vec<usize>,
}

impl Default for Axes {
    fn default() -> Self {
        Self {
            backends: vec![17, 170, 870, 1700, 5500],
            subset: vec![6, 17, 34, 57, 85, 170],
            instances: vec![29, 100, 1000, 5500],
            classes: vec![1, 4, 16, 64, 256],
            tenants: vec![0, 17, 170, 1700],
            open_requests: vec![4, 16, 64, 256, 1024],
            open_requests_full_subset: vec![4, 16, 64, 256, 1024],
        }
    }
}

/// The plan of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Rounds over the cases of each axis.
    pub rounds: usize,
    /// Requests in a round.
    pub requests: usize,
    /// Endpoint changes in a round.
    pub changes: usize,
    /// Complete endpoint lists in a round.
    pub lists: usize,
    /// Simulated before the first round, in seconds of virtual time.
    pub warm_up: f64,
    /// Real time after which no round begins, in seconds.
    pub time_limit: u64,
    /// The base case.
    pub base: BaseCase,
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
            base: BaseCase::default(),
            axes: Axes::default(),
        }
    }
}

impl Plan {
    /// Returns the same plan with few and short rounds, whose figures are rough.
    #[must_use]
    pub fn quick(self) -> Self {
        Self { rounds: 3, requests: 200, changes: 4, lists: 2, ..self }
    }

    /// Rejects a plan that cannot be measured.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Argument`] with the first value out of its bounds, under its name in the experiment
    /// file.
    pub fn validate(&self) -> Result<(), Error> {
        check_range("rounds", "1 to 1000", &(1..=1000), [self.rounds])?;
        check_range("requests", "16 to 10000", &(16..=MAX_CASE_SIZE), [self.requests])?;
        check_range("changes", "2 to 1000", &(2..=1000), [self.changes])?;
        check_range("lists", "1 to 1000", &(1..=1000), [self.lists])?;
        check_range("time_limit", "1 to 86400 seconds", &(1..=86400), [self.time_limit as usize])?;
        check_range("warm_up", "0 to 60 seconds", &(0.0..=60.0), [self.warm_up])?;
        let axes = self.axes();
        axes.iter().flat_map(|axis| &axis.cases).try_for_each(|point| validate_case(&point.case))
    }

    /// Returns each axis with its cases.
    #[must_use]
    pub fn axes(&self) -> Vec<Axis> {
        let base = self.base.case();
        let subset = self.base.subset;
        let axes = &self.axes;
        vec![
            Axis::new("backends listed", &axes.backends, |backends| DeploymentCase {
                backends,
                instances: balancer_count(backends, subset),
                ..base
            }),
            Axis::new("subset size", &axes.subset, |subset| DeploymentCase {
                instances: balancer_count(base.backends, subset),
                ..base
            }),
            Axis::new("instances", &axes.instances, |instances| DeploymentCase { instances, ..base }),
            Axis::new("classes", &axes.classes, |classes| DeploymentCase { classes, ..base }),
            Axis::new("tenants", &axes.tenants, |tenants| DeploymentCase { tenants, ..base }),
            Axis::new("open requests", &axes.open_requests, |open_requests| DeploymentCase {
                open_requests,
                ..base
            }),
            Axis::new("open requests, full subset", &axes.open_requests_full_subset, |open_requests| {
                DeploymentCase { open_requests, instances: 1, ..base }
            }),
        ]
    }
}

fn validate_case(case: &DeploymentCase) -> Result<(), Error> {
    let at_least_one = "1 to 10000";
    check_range("backends", at_least_one, &(1..=MAX_CASE_SIZE), [case.backends])?;
    check_range("instances", at_least_one, &(1..=MAX_CASE_SIZE), [case.instances])?;
    check_range("classes", at_least_one, &(1..=MAX_CASE_SIZE), [case.classes])?;
    check_range("tenants", "0 to 10000", &(0..=MAX_CASE_SIZE), [case.tenants])?;
    check_range("open_requests", at_least_one, &(1..=MAX_CASE_SIZE), [case.open_requests])?;
    check_range("tier", "0 to 10000", &(0..=MAX_CASE_SIZE), [case.tier.0])
}

/// An axis: one size varies, the other sizes are those of the base case.
#[derive(Clone, Debug)]
pub struct Axis {
    /// Name of the axis in reports.
    pub name: &'static str,
    /// Cases of the axis.
    pub cases: Vec<AxisCase>,
}

/// A case of an axis.
#[derive(Clone, Copy, Debug)]
pub struct AxisCase {
    /// The value of the size that varies.
    pub value: usize,
    /// The case.
    pub case: DeploymentCase,
}

impl Axis {
    fn new(name: &'static str, values: &[usize], case: impl Fn(usize) -> DeploymentCase) -> Self {
        let cases = values.iter().map(|&value| AxisCase { value, case: case(value) }).collect();
        Self { name, cases }
    }
}
