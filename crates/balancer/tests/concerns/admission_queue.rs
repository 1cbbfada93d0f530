//! The queue of calls that wait for admission: the order in which they leave.

use super::fixtures::call_keys;
use crate::decisions::admission_queue::{AdmissionQueue, PercentileRank};
use crate::decisions::calls::CallKey;

#[test]
fn the_call_of_the_best_rank_leaves_first() {
    let [worst, best, middle] = call_keys();
    let mut queue = AdmissionQueue::default();
    queue.insert(PercentileRank(0.1), worst);
    queue.insert(PercentileRank(0.9), best);
    queue.insert(PercentileRank(0.5), middle);

    let highest_rank = queue.highest_rank();
    let order = [(); 4].map(|()| queue.pop_highest());

    assert_eq!(highest_rank, Some(PercentileRank(0.9)));
    assert_eq!(order, [Some(best), Some(middle), Some(worst), None]);
    assert_eq!(queue.highest_rank(), None);
}

#[test]
fn among_equal_ranks_the_first_to_arrive_leaves_first() {
    let calls: [CallKey; 3] = call_keys();
    let mut queue = AdmissionQueue::default();
    for call in calls {
        queue.insert(PercentileRank(0.5), call);
    }

    let order = calls.map(|_| queue.pop_highest());

    assert_eq!(order, calls.map(Some));
}

#[test]
fn a_call_that_no_longer_waits_does_not_leave() {
    let [removed, waiting] = call_keys();
    let mut queue = AdmissionQueue::default();
    queue.insert(PercentileRank(0.9), removed);
    queue.insert(PercentileRank(0.1), waiting);

    queue.remove(removed);
    queue.remove(removed);

    assert_eq!(queue.highest_rank(), Some(PercentileRank(0.1)));
    assert_eq!(queue.pop_highest(), Some(waiting));
    assert_eq!(queue.pop_highest(), None);
}
