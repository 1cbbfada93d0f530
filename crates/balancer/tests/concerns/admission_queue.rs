//! The queue of calls that wait for admission: the order in which calls are removed.

use super::fixtures::call_keys;
use crate::decisions::admission_queue::{AdmissionQueue, PercentileRank};
use crate::decisions::calls::CallKey;

#[test]
fn pops_the_call_with_the_highest_rank_first() {
    let [lowest, highest, middle] = call_keys();
    let mut queue = AdmissionQueue::default();
    queue.insert(PercentileRank(0.1), lowest);
    queue.insert(PercentileRank(0.9), highest);
    queue.insert(PercentileRank(0.5), middle);

    let highest_rank = queue.highest_rank();
    let order = [(); 4].map(|()| queue.pop_highest());

    assert_eq!(highest_rank, Some(PercentileRank(0.9)));
    assert_eq!(order, [Some(highest), Some(middle), Some(lowest), None]);
    assert_eq!(queue.highest_rank(), None);
}

#[test]
fn pops_calls_of_equal_rank_in_the_order_of_arrival() {
    let calls: [CallKey; 3] = call_keys();
    let mut queue = AdmissionQueue::default();
    for call in calls {
        queue.insert(PercentileRank(0.5), call);
    }

    let order = calls.map(|_| queue.pop_highest());

    assert_eq!(order, calls.map(Some));
}

#[test]
fn does_not_pop_a_removed_call() {
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
