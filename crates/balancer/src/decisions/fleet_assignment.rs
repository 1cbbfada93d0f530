//! Fleet assignment: which backends are members of each balancer of a fleet, as a function of the backends,
//! the number of balancers and the size of a subset alone.
//!
//! All balancers that know the same backends compute the same assignment, whatever they knew before, so that
//! no backend is left out. The assignment has two steps:
//!
//! 1. Each backend is assigned to one balancer, by consistent hashing with bounded loads. Every backend is
//!    then in a subset.
//! 2. Balancers with too few members get more. The backends offer themselves in rounds, in each of them to
//!    one balancer by their hashes, and a balancer takes the first offers until its subset is full. A backend
//!    that leaves makes room in its own subsets alone.

use crate::interface::BackendId;
use crate::support::{BackendIndex, bucket_in_round, hash_in_round};

/// The greatest number of backends that the first step assigns to a balancer, over their mean.
const MAX_ASSIGNED_OVER_MEAN: f64 = 1.25;
/// The number of backends that the first step may assign to any balancer, however small their mean is.
const MIN_ASSIGNMENT_BOUND: usize = 2;
/// The mean number of subsets of a backend up to which backends stop offering themselves at the mean.
const MEAN_WITHOUT_TOLERANCE: f64 = 4.0;
/// The subsets beyond the mean in which a backend may be, for each that the mean is over
/// `MEAN_WITHOUT_TOLERANCE`. In many subsets, random differences even out.
const TOLERANCE_FRACTION: f64 = 0.5;
/// The greatest number of subsets that a backend offers itself to, over the mean of all backends.
const MAX_MEMBERSHIPS_OVER_MEAN: f64 = 1.5;
/// The balancers that a backend tries in the first step by its hashes, before it takes any with room.
const MAX_HASHED_ATTEMPTS: u64 = 64;
/// The offers for each balancer after which backends offer themselves beyond the mean.
const EVEN_OFFERS_PER_BALANCER: usize = 10;
/// The offers that are made in the second step for each balancer. Few balancers need as many.
const MAX_OFFERS_PER_BALANCER: usize = 16;

/// The round whose hashes order the backends.
const ORDER_ROUND: u64 = 0;
/// The fraction of the golden ratio. Its multiples are spread evenly over the unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The first of the rounds whose hashes assign each backend to one balancer.
const FIRST_ASSIGNMENT_ROUND: u64 = 1;
/// The first of the rounds whose hashes are the offers to balancers.
const FIRST_OFFER_ROUND: u64 = 1 << 16;
/// The first of the rounds whose hashes are the preferences of a balancer.
const FIRST_PREFERENCE_ROUND: u64 = 1 << 23;

/// A backend that can be assigned.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssignableBackend {
    /// The index of the backend at this balancer. Other balancers have another one.
    pub index: BackendIndex,
    /// The id of the backend, which all balancers share.
    pub id: BackendId,
}

/// A member that is assigned to a balancer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssignedMember {
    /// The index of the backend at this balancer.
    pub index: BackendIndex,
    /// The number of subsets of the fleet that have the backend, over the mean of all backends.
    pub memberships_over_mean: f64,
}

/// The number of balancers, and the least number of members of each.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetShape {
    /// The number of balancers; at least 1.
    pub balancers: usize,
    /// The number of members that a subset has at least, as far as there are backends. Some balancers round a
    /// fraction up and the others down, so that one more backend enlarges few subsets.
    pub min_members: f64,
}

impl FleetShape {
    /// Returns the least number of members of a balancer.
    fn min_members_of(self, balancer: usize) -> usize {
        let offset = (balancer as f64 * GOLDEN_RATIO_FRACTION).fract();
        (self.min_members + offset) as usize
    }
}

/// The members that are assigned to each balancer of a fleet.
#[derive(Debug)]
pub(super) struct FleetAssignment {
    shape: FleetShape,
    /// In the order of their hashes.
    backends: Vec<AssignableBackend>,
    /// The members of each balancer, as positions in `backends`.
    subsets: Subsets,
    /// The number of subsets of each backend, by its position.
    memberships: Vec<usize>,
}

impl FleetAssignment {
    /// Assigns the backends to the balancers of a fleet.
    pub fn new(mut backends: Vec<AssignableBackend>, shape: FleetShape) -> Self {
        backends.sort_by_cached_key(|backend| hash_in_round(backend.id, ORDER_ROUND));
        let memberships = vec![0; backends.len()];
        let balancers = shape.balancers.max(1);
        let count = backends.len();
        let shape = FleetShape { balancers, min_members: shape.min_members.min(count as f64) };
        let mean = count as f64 / balancers as f64;
        let max_assigned = ((MAX_ASSIGNED_OVER_MEAN * mean).ceil() as usize).max(MIN_ASSIGNMENT_BOUND);
        let capacity = max_assigned.max(shape.min_members.ceil() as usize);
        let subsets = Subsets::new(balancers, capacity);
        let mut assignment = Self { shape, backends, subsets, memberships };
        assignment.assign_each_backend(max_assigned);
        assignment.fill_by_offers();
        assignment.fill_by_least_memberships();
        assignment
    }

    /// Returns the members that are assigned to the balancer with this index, and further ones by its own
    /// preferences until there are `wanted`, as far as there are backends. The members are in the order of
    /// their hashes.
    pub fn members(&self, balancer: usize, wanted: usize) -> Vec<AssignedMember> {
        let assigned = self.subsets.of(balancer);
        let mut positions = assigned.to_vec();
        if positions.len() < wanted {
            let round = FIRST_PREFERENCE_ROUND + balancer as u64;
            let mut others: Vec<_> = (0..self.backends.len()).collect();
            others.retain(|position| !assigned.contains(position));
            others.sort_by_cached_key(|position| hash_in_round(self.backends[*position].id, round));
            let missing = wanted - positions.len();
            positions.extend(others.iter().take(missing));
        }
        positions.sort_unstable();
        let sum: usize = self.memberships.iter().sum();
        let mean = sum as f64 / self.backends.len() as f64;
        let assigned_member = |position: usize| AssignedMember {
            index: self.backends[position].index,
            memberships_over_mean: self.memberships[position] as f64 / mean,
        };
        positions.into_iter().map(assigned_member).collect()
    }

    /// Assigns each backend to one balancer. The result does not depend on the least number of members.
    fn assign_each_backend(&mut self, max_assigned: usize) {
        for position in 0..self.backends.len() {
            let id = self.backends[position].id;
            let rounds = FIRST_ASSIGNMENT_ROUND..FIRST_ASSIGNMENT_ROUND + MAX_HASHED_ATTEMPTS;
            let mut hashed = rounds.map(|round| self.hashed_balancer(id, round));
            let has_room = |balancer: &usize| self.subsets.of(*balancer).len() < max_assigned;
            let balancer = hashed.find(has_room).or_else(|| (0..self.subsets.balancers()).find(has_room));
            self.add_member(balancer.expect("the bound is over the mean"), position);
        }
    }

    /// Lets the backends offer themselves until no subset lacks a member, or all offers are made.
    fn fill_by_offers(&mut self) {
        let balancers = self.subsets.balancers();
        let mut incomplete = (0..balancers).filter(|balancer| self.lacks_members(*balancer)).count();
        let rounds = |offers: usize| (offers * balancers).div_ceil(self.backends.len().max(1));
        let even_rounds = rounds(EVEN_OFFERS_PER_BALANCER);
        let bounds = self.membership_bounds();
        for round in 0..rounds(MAX_OFFERS_PER_BALANCER) {
            let max_memberships = if round < even_rounds { bounds.even } else { bounds.most };
            for position in 0..self.backends.len() {
                if incomplete == 0 {
                    return;
                }
                if self.memberships[position] >= max_memberships {
                    continue;
                }
                let id = self.backends[position].id;
                let balancer = self.hashed_balancer(id, FIRST_OFFER_ROUND + round as u64);
                if self.lacks_members(balancer) && !self.subsets.of(balancer).contains(&position) {
                    self.add_member(balancer, position);
                    incomplete -= usize::from(!self.lacks_members(balancer));
                }
            }
        }
    }

    /// Adds the backends in the fewest subsets to the subsets that lack members.
    fn fill_by_least_memberships(&mut self) {
        for balancer in 0..self.subsets.balancers() {
            while self.lacks_members(balancer) {
                let subset = self.subsets.of(balancer);
                let others = (0..self.backends.len()).filter(|position| !subset.contains(position));
                let Some(fewest) = others.min_by_key(|position| self.memberships[*position]) else { break };
                self.add_member(balancer, fewest);
            }
        }
    }

    fn lacks_members(&self, balancer: usize) -> bool {
        self.subsets.of(balancer).len() < self.shape.min_members_of(balancer)
    }

    /// Returns the bounds on the memberships of a backend by offers, if all subsets have their least size.
    fn membership_bounds(&self) -> MembershipBounds {
        let memberships = self.subsets.balancers() as f64 * self.shape.min_members;
        let mean = (memberships / self.backends.len().max(1) as f64).max(1.0);
        let tolerance = TOLERANCE_FRACTION * (mean - MEAN_WITHOUT_TOLERANCE).max(0.0);
        MembershipBounds {
            even: (mean + tolerance).ceil() as usize,
            most: (MAX_MEMBERSHIPS_OVER_MEAN * mean).ceil() as usize,
        }
    }

    fn hashed_balancer(&self, id: BackendId, round: u64) -> usize {
        bucket_in_round(id, round, self.subsets.balancers())
    }

    fn add_member(&mut self, balancer: usize, position: usize) {
        self.subsets.push(balancer, position);
        self.memberships[position] += 1;
    }
}

/// The numbers of subsets at which a backend stops to offer itself.
#[derive(Clone, Copy, Debug)]
struct MembershipBounds {
    /// The bound while offers are plentiful.
    even: usize,
    /// The bound for the offers that are left.
    most: usize,
}

/// The members of all balancers, in one allocation.
#[derive(Debug)]
struct Subsets {
    /// The greatest number of members of a balancer.
    capacity: usize,
    /// The members of each balancer from the multiple of `capacity` with its index on.
    positions: Vec<usize>,
    /// The number of members of each balancer.
    lengths: Vec<usize>,
}

impl Subsets {
    fn new(balancers: usize, capacity: usize) -> Self {
        Self { capacity, positions: vec![0; balancers * capacity], lengths: vec![0; balancers] }
    }

    fn balancers(&self) -> usize {
        self.lengths.len()
    }

    /// Returns the members of a balancer. None belong to a balancer that there is not.
    fn of(&self, balancer: usize) -> &[usize] {
        let Some(length) = self.lengths.get(balancer) else { return &[] };
        let first = balancer * self.capacity;
        &self.positions[first..first + length]
    }

    fn push(&mut self, balancer: usize, position: usize) {
        self.positions[balancer * self.capacity + self.lengths[balancer]] = position;
        self.lengths[balancer] += 1;
    }
}
