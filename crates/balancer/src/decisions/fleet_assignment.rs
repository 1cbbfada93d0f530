//! Fleet assignment: computes the members of each balancer's subset, as a function of only the backends,
//! the number of balancers and the size of a subset.
//!
//! All balancers with the same endpoint list compute the same assignment, regardless of earlier lists, so
//! that no backend is left out. The assignment has two steps:
//!
//! 1. Each backend is assigned to one balancer, by consistent hashing with bounded loads. Every backend is
//!    then in a subset.
//! 2. Subsets that are too small get more members in proposal rounds. In each round, every backend below
//!    its limit on memberships proposes itself to one balancer, which a hash determines. The balancer
//!    accepts the first proposals until its subset is full. When a backend is removed, only the
//!    subsets that contained the backend have room for another one.

use crate::interface::BackendId;
use crate::support::{BackendIndex, bucket_in_round, hash_in_round};

/// The ratio of the greatest number of backends that the first step assigns to a balancer to the mean
/// number per balancer.
const MAX_ASSIGNED_TO_MEAN_RATIO: f64 = 1.25;
/// The least value of the limit on the backends that the first step assigns to a balancer, however small
/// the mean is.
const MIN_ASSIGNED_LIMIT: usize = 2;
/// The mean number of memberships per backend up to which the initial limit on memberships is that mean,
/// rounded up.
const MAX_MEAN_WITHOUT_TOLERANCE: f64 = 4.0;
/// The amount by which the initial limit on memberships exceeds the mean, as a fraction of the part of the
/// mean above [`MAX_MEAN_WITHOUT_TOLERANCE`]. Random differences even out over many memberships.
const MEMBERSHIP_TOLERANCE_FRACTION: f64 = 0.5;
/// The ratio of the increased limit on the memberships of a backend to the mean number of memberships per
/// backend.
const MAX_MEMBERSHIPS_TO_MEAN_RATIO: f64 = 1.5;
/// The number of balancers that the first step tries for a backend by hashing, before it takes the first
/// balancer with room.
const MAX_HASH_PROBES: u64 = 64;
/// The number of proposals per balancer after which the increased limit on memberships replaces the initial
/// one.
const INITIAL_PROPOSALS_PER_BALANCER: usize = 10;
/// The number of proposals per balancer after which the second step ends. Few balancers need so many.
const MAX_PROPOSALS_PER_BALANCER: usize = 16;

/// The hash round that determines the order of the backends.
const ORDER_ROUND: u64 = 0;
/// The fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over
/// the unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The first hash round of the first step, which assigns each backend to one balancer.
const FIRST_ASSIGNMENT_ROUND: u64 = 1;
/// The first hash round of the proposals in the second step.
const FIRST_PROPOSAL_ROUND: u64 = 1 << 16;
/// The first of the hash rounds for the preferences of balancers. Each balancer has its own round.
const FIRST_PREFERENCE_ROUND: u64 = 1 << 23;

/// A backend that can be assigned.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssignableBackend {
    /// The index of the backend at this balancer. Other balancers may use another index.
    pub index: BackendIndex,
    /// The id of the backend, which is the same at all balancers.
    pub id: BackendId,
}

/// A backend that is assigned to a balancer as a member of its subset.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssignedMember {
    /// The index of the backend at this balancer.
    pub index: BackendIndex,
    /// The ratio of the number of subsets in the fleet that contain the backend to the mean number for all
    /// backends.
    pub membership_ratio_to_mean: f64,
}

/// The number of balancers, and the least size of a subset.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetShape {
    /// The number of balancers; at least 1.
    pub balancers: usize,
    /// The least number of members of a subset, as far as there are enough backends. A fraction is rounded
    /// up for some balancers and down for the others, so that one more backend enlarges only a few subsets.
    pub min_members: f64,
}

impl FleetShape {
    /// Returns the least number of members of a balancer.
    fn min_members_for(self, balancer: usize) -> usize {
        let offset = (balancer as f64 * GOLDEN_RATIO_FRACTION).fract();
        (self.min_members + offset) as usize
    }
}

/// The members that are assigned to each balancer of a fleet.
#[derive(Debug)]
pub(super) struct FleetAssignment {
    shape: FleetShape,
    /// The backends in the order of their hashes.
    backends: Vec<AssignableBackend>,
    /// The members of each balancer, as positions in `backends`.
    subsets: Subsets,
    /// The number of subsets that contain each backend, by position in `backends`.
    memberships: Vec<usize>,
}

impl FleetAssignment {
    /// Assigns the backends to the balancers of a fleet.
    pub fn new(mut backends: Vec<AssignableBackend>, shape: FleetShape) -> Self {
        backends.sort_by_cached_key(|backend| hash_in_round(backend.id, ORDER_ROUND));
        let memberships = vec![0; backends.len()];
        let balancers = shape.balancers.max(1);
        let backend_count = backends.len();
        let shape = FleetShape { balancers, min_members: shape.min_members.min(backend_count as f64) };
        let mean_assigned = backend_count as f64 / balancers as f64;
        let max_assigned =
            ((MAX_ASSIGNED_TO_MEAN_RATIO * mean_assigned).ceil() as usize).max(MIN_ASSIGNED_LIMIT);
        let capacity = max_assigned.max(shape.min_members.ceil() as usize);
        let subsets = Subsets::new(balancers, capacity);
        let mut assignment = Self { shape, backends, subsets, memberships };
        assignment.assign_each_backend(max_assigned);
        assignment.add_members_by_proposals();
        assignment.add_backends_with_fewest_memberships();
        assignment
    }

    /// Returns the members that are assigned to the balancer with this index. If there are fewer than
    /// `target_size`, more backends are added in the order of the balancer's own preferences, as far as
    /// there are any. The members are in the order of their hashes.
    pub fn members(&self, balancer: usize, target_size: usize) -> Vec<AssignedMember> {
        let assigned = self.subsets.members_of(balancer);
        let mut positions = assigned.to_vec();
        if positions.len() < target_size {
            let round = FIRST_PREFERENCE_ROUND + balancer as u64;
            let mut others: Vec<_> = (0..self.backends.len()).collect();
            others.retain(|position| !assigned.contains(position));
            others.sort_by_cached_key(|position| hash_in_round(self.backends[*position].id, round));
            let missing = target_size - positions.len();
            positions.extend(others.iter().take(missing));
        }
        positions.sort_unstable();
        let total_memberships: usize = self.memberships.iter().sum();
        let mean = total_memberships as f64 / self.backends.len() as f64;
        let assigned_member = |position: usize| AssignedMember {
            index: self.backends[position].index,
            membership_ratio_to_mean: self.memberships[position] as f64 / mean,
        };
        positions.into_iter().map(assigned_member).collect()
    }

    /// Assigns each backend to one balancer. The result does not depend on the least size of a subset.
    fn assign_each_backend(&mut self, max_assigned: usize) {
        for position in 0..self.backends.len() {
            let id = self.backends[position].id;
            let rounds = FIRST_ASSIGNMENT_ROUND..FIRST_ASSIGNMENT_ROUND + MAX_HASH_PROBES;
            let mut hashed_balancers = rounds.map(|round| self.hashed_balancer(id, round));
            let has_room = |balancer: &usize| self.subsets.members_of(*balancer).len() < max_assigned;
            let balancer =
                hashed_balancers.find(has_room).or_else(|| (0..self.subsets.balancer_count()).find(has_room));
            self.add_member(
                balancer.expect("the limit on assigned backends exceeds the mean, so some balancer has room"),
                position,
            );
        }
    }

    /// Runs proposal rounds until all subsets have their least size or the greatest number of rounds is
    /// reached.
    fn add_members_by_proposals(&mut self) {
        let balancers = self.subsets.balancer_count();
        let mut incomplete_subsets = (0..balancers).filter(|balancer| self.lacks_members(*balancer)).count();
        let rounds = |proposals: usize| (proposals * balancers).div_ceil(self.backends.len().max(1));
        let initial_rounds = rounds(INITIAL_PROPOSALS_PER_BALANCER);
        let limits = self.membership_limits();
        for round in 0..rounds(MAX_PROPOSALS_PER_BALANCER) {
            let max_memberships = if round < initial_rounds { limits.initial } else { limits.increased };
            for position in 0..self.backends.len() {
                if incomplete_subsets == 0 {
                    return;
                }
                if self.memberships[position] >= max_memberships {
                    continue;
                }
                let id = self.backends[position].id;
                let balancer = self.hashed_balancer(id, FIRST_PROPOSAL_ROUND + round as u64);
                if self.lacks_members(balancer) && !self.subsets.members_of(balancer).contains(&position) {
                    self.add_member(balancer, position);
                    incomplete_subsets -= usize::from(!self.lacks_members(balancer));
                }
            }
        }
    }

    /// Adds the backends with the fewest memberships to the subsets that are still too small.
    fn add_backends_with_fewest_memberships(&mut self) {
        for balancer in 0..self.subsets.balancer_count() {
            while self.lacks_members(balancer) {
                let subset = self.subsets.members_of(balancer);
                let others = (0..self.backends.len()).filter(|position| !subset.contains(position));
                let Some(fewest) = others.min_by_key(|position| self.memberships[*position]) else { break };
                self.add_member(balancer, fewest);
            }
        }
    }

    fn lacks_members(&self, balancer: usize) -> bool {
        self.subsets.members_of(balancer).len() < self.shape.min_members_for(balancer)
    }

    /// Returns the limits on the memberships of a backend in proposal rounds. The limits are based on the
    /// mean number of memberships if all subsets have their least size.
    fn membership_limits(&self) -> MembershipLimits {
        let memberships = self.subsets.balancer_count() as f64 * self.shape.min_members;
        let mean = (memberships / self.backends.len().max(1) as f64).max(1.0);
        let tolerance = MEMBERSHIP_TOLERANCE_FRACTION * (mean - MAX_MEAN_WITHOUT_TOLERANCE).max(0.0);
        MembershipLimits {
            initial: (mean + tolerance).ceil() as usize,
            increased: (MAX_MEMBERSHIPS_TO_MEAN_RATIO * mean).ceil() as usize,
        }
    }

    fn hashed_balancer(&self, id: BackendId, round: u64) -> usize {
        bucket_in_round(id, round, self.subsets.balancer_count())
    }

    fn add_member(&mut self, balancer: usize, position: usize) {
        self.subsets.push(balancer, position);
        self.memberships[position] += 1;
    }
}

/// The numbers of memberships at which a backend makes no more proposals.
#[derive(Clone, Copy, Debug)]
struct MembershipLimits {
    /// The limit in the initial proposal rounds.
    initial: usize,
    /// The limit in later proposal rounds.
    increased: usize,
}

/// The members of all balancers, in a single allocation.
#[derive(Debug)]
struct Subsets {
    /// The greatest number of members of a balancer.
    capacity: usize,
    /// The positions of the members. The members of balancer `i` start at index `i * capacity`.
    positions: Vec<usize>,
    /// The number of members of each balancer.
    lengths: Vec<usize>,
}

impl Subsets {
    fn new(balancers: usize, capacity: usize) -> Self {
        Self { capacity, positions: vec![0; balancers * capacity], lengths: vec![0; balancers] }
    }

    fn balancer_count(&self) -> usize {
        self.lengths.len()
    }

    /// Returns the members of a balancer, or an empty slice if the balancer does not exist.
    fn members_of(&self, balancer: usize) -> &[usize] {
        let Some(length) = self.lengths.get(balancer) else { return &[] };
        let first = balancer * self.capacity;
        &self.positions[first..first + length]
    }

    fn push(&mut self, balancer: usize, position: usize) {
        self.positions[balancer * self.capacity + self.lengths[balancer]] = position;
        self.lengths[balancer] += 1;
    }
}
