//! The plan of `fleet-bench slopes`: its parameters, their defaults and bounds, and the cases of each axis.

use super::deployment_case::DeploymentCase;
use crate::error::Error;
use crate::plan::check_range;
use balancer::Tier;
use serde::{Deserialize, Serialize};

/// Maximum of each size of a case. A case of this size is measured within minutes.
const MAX_CASE_SIZE: usize = 10_000;

/// The base case. Each axis varies one of its sizes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BaseCase {
    /// Number of listed backends.
    pub backends: usize,
    /// Minimum size of a balancer's subset: the number of backends divided by that of balancers, rounded
    /// up. The number of balancers is computed from this size. The subset has at least
    /// [`Self::open_requests`] members, as each open request needs a member.
    pub subset: usize,
    /// Number of request classes.
    pub classes: usize,
    /// Number of tenants.
    pub tenants: usize,
    /// Mean number of open requests. The default corresponds to 113 requests per second of 53 ms each.
    #[serde(alias = "open")]
    pub open_requests: usize,
    /// Number of tiers between the clients and the balancer.
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

/// Returns the number of balancers at which each balancer has a subset of `subset` backends.
fn balancer_count(backends: usize, subset: usize) -> usize {
    backends.div_ceil(subset.max(1)).max(1)
}

/// The values of each axis. An axis without values is not measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Axes {
    /// Numbers of listed backends, with a constant subset size.
    pub backends: Vec<usize>,
    /// Sizes of the subset, which result from the number of balancers.
    pub subset: Vec<usize>,
    /// Numbers of balancers. The subset is as small as the open requests allow.
    pub instances: Vec<usize>,
    /// Numbers of request classes.
    pub classes: Vec<usize>,
    /// Numbers of tenants.
    pub tenants: Vec<usize>,
    /// Mean numbers of open requests. The subset grows with the open requests, as in operation.
    #[serde(alias = "open")]
    pub open_requests: Vec<usize>,
    /// Mean numbers of open requests at a single balancer, whose subset contains all backends.
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
    /// Number of rounds over the cases of each axis.
    pub rounds: usize,
    /// Number of requests per case and round.
    pub requests: usize,
    /// Number of endpoint changes per case and round.
    pub changes: usize,
    /// Number of full endpoint lists, first endpoint lists and settings changes per case and round.
    pub lists: usize,
    /// Duration of the simulation before the first round, in seconds of virtual time.
    pub warm_up: f64,
    /// Real time after which no further case and no further round begins, in seconds.
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
    /// Returns the same plan with few and short rounds, whose results are rough.
    #[must_use]
    pub fn quick(self) -> Self {
        Self { rounds: 3, requests: 200, changes: 4, lists: 2, ..self }
    }

    /// Checks that all values are in range.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Argument`] with the first value that is out of range, under its name in the
    /// experiment file.
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
    let one_to_max_case_size = "1 to 10000";
    check_range("backends", one_to_max_case_size, &(1..=MAX_CASE_SIZE), [case.backends])?;
    check_range("instances", one_to_max_case_size, &(1..=MAX_CASE_SIZE), [case.instances])?;
    check_range("classes", one_to_max_case_size, &(1..=MAX_CASE_SIZE), [case.classes])?;
    check_range("tenants", "0 to 10000", &(0..=MAX_CASE_SIZE), [case.tenants])?;
    check_range("open_requests", one_to_max_case_size, &(1..=MAX_CASE_SIZE), [case.open_requests])?;
    check_range("tier", "0 to 10000", &(0..=MAX_CASE_SIZE), [case.tier.0])
}

/// An axis: one size varies, and the other sizes are those of the base case.
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
    /// Value of the size that varies.
    pub value: usize,
    /// All sizes of the case.
    pub case: DeploymentCase,
}

impl Axis {
    fn new(name: &'static str, values: &[usize], case: impl Fn(usize) -> DeploymentCase) -> Self {
        let cases = values.iter().map(|&value| AxisCase { value, case: case(value) }).collect();
        Self { name, cases }
    }
}
