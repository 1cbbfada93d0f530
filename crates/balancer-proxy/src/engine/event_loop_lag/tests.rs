//! Tests of the estimate of the event loop lag.

use super::{EventLoopLag, LAG_DECAY_FACTOR, MAX_LAG_SECS};

#[test]
fn rises_at_once_to_the_lateness_of_a_round_and_falls_by_the_decay_factor() {
    let lag = EventLoopLag::default();

    lag.record(0.05);
    let after_late_round = lag.get();
    lag.record(0.0);

    assert_eq!(after_late_round, 0.05);
    assert_eq!(lag.get(), LAG_DECAY_FACTOR * 0.05);
}

#[test]
fn never_exceeds_its_upper_bound() {
    let lag = EventLoopLag::default();

    lag.record(10.0);

    assert_eq!(lag.get(), MAX_LAG_SECS);
}
