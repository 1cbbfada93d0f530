//! Admission: the ranks of requests, and the times that bound their admission.

use super::fixtures::{request, request_class};
use crate::decisions::admission::{
    Admission, effective_timeout, max_admission_wait, min_time_left, retry_after,
};
use crate::decisions::admission_queue::PercentileRank;
use crate::decisions::quotas::QuotaStatus;
use crate::decisions::traffic::{LoadState, Traffic};
use crate::interface::{ClassIndex, Effect, Request, RequestClass, Settings, Time};
use crate::support::tests::assertions::assert_close;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The index of a class with a priority weight of 1.
const PLAIN: ClassIndex = ClassIndex(0);
/// The index of a class with a priority weight of 2.
const IMPORTANT: ClassIndex = ClassIndex(1);
/// The time at which requests are ranked, in seconds.
const NOW: Time = 1.0;

/// An admission with the state on which ranks depend.
struct RankingState {
    settings: Settings,
    traffic: Traffic,
    admission: Admission,
    random: SmallRng,
}

impl RankingState {
    /// Returns the state at time 0, before any request.
    fn new() -> Self {
        let plain = request_class("plain", Effect::Safe);
        let important = RequestClass { priority_weight: 2.0, ..request_class("important", Effect::Safe) };
        let classes = vec![plain, important];
        let settings = Settings { classes, over_quota_weight: 0.25, ..Settings::default() };
        let mut traffic = Traffic::starting_at(0.0);
        traffic.apply_settings(&settings, &[None, None]);
        let mut admission = Admission::default();
        admission.apply_settings(&[None, None], 0.0);
        Self { settings, traffic, admission, random: SmallRng::seed_from_u64(1) }
    }

    fn record_arrivals(&mut self, class: ClassIndex, quota: QuotaStatus, count: usize) {
        for _ in 0..count {
            self.admission.record_arrival(class, quota, NOW, self.traffic.time_constant());
        }
    }

    fn rank(&mut self, class: ClassIndex, quota: QuotaStatus, now: Time) -> f64 {
        let Self { settings, traffic, admission, random } = self;
        let PercentileRank(rank) = admission.percentile_rank(class, quota, now, settings, traffic, random);
        rank
    }

    /// Asserts that the ranks of a class are spread evenly over a range.
    #[track_caller]
    fn assert_ranks_spread(&mut self, class: ClassIndex, quota: QuotaStatus, least: f64, greatest: f64) {
        let ranks: Vec<f64> = (0..1000).map(|_| self.rank(class, quota, NOW)).collect();
        let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
        assert!(ranks.iter().all(|rank| (least..=greatest).contains(rank)));
        assert!((mean - (least + greatest) / 2.0).abs() < 0.02, "{mean}");
    }
}

#[test]
fn ranks_a_request_by_the_fraction_of_arrivals_with_less_priority() {
    let mut state = RankingState::new();
    state.record_arrivals(PLAIN, QuotaStatus::Within, 3);
    state.record_arrivals(IMPORTANT, QuotaStatus::Within, 1);

    state.assert_ranks_spread(PLAIN, QuotaStatus::Within, 0.0, 0.75);
    state.assert_ranks_spread(IMPORTANT, QuotaStatus::Within, 0.75, 1.0);
}

#[test]
fn ranks_an_important_request_over_its_quota_below_a_plain_one_within() {
    let mut state = RankingState::new();
    state.record_arrivals(PLAIN, QuotaStatus::Within, 1);
    state.record_arrivals(IMPORTANT, QuotaStatus::Exceeded, 1);

    state.assert_ranks_spread(PLAIN, QuotaStatus::Within, 0.5, 1.0);
    state.assert_ranks_spread(IMPORTANT, QuotaStatus::Exceeded, 0.0, 0.5);
}

#[test]
fn ranks_an_important_request_below_a_plain_one_that_takes_far_less_work() {
    let mut state = RankingState::new();
    state.traffic.record_latency(PLAIN, 0.05, 1.0, LoadState::Normal);
    state.traffic.record_latency(IMPORTANT, 0.2, 1.0, LoadState::Normal);
    state.record_arrivals(PLAIN, QuotaStatus::Within, 1);
    state.record_arrivals(IMPORTANT, QuotaStatus::Within, 1);

    state.assert_ranks_spread(PLAIN, QuotaStatus::Within, 0.5, 1.0);
    state.assert_ranks_spread(IMPORTANT, QuotaStatus::Within, 0.0, 0.5);
}

#[test]
fn the_rank_is_zero_before_any_arrival() {
    let mut state = RankingState::new();

    assert_close(state.rank(IMPORTANT, QuotaStatus::Within, 0.0), 0.0);
    assert_close(state.rank(IMPORTANT, QuotaStatus::Within, NOW), 0.0);
}

#[test]
fn a_class_keeps_its_arrivals_over_a_settings_change() {
    let mut state = RankingState::new();
    state.record_arrivals(PLAIN, QuotaStatus::Within, 1);

    // The classes change places, so that the arrivals are those of the important class.
    state.admission.apply_settings(&[Some(IMPORTANT), Some(PLAIN)], NOW);

    assert_close(state.rank(PLAIN, QuotaStatus::Within, NOW), 0.0);
    state.assert_ranks_spread(IMPORTANT, QuotaStatus::Within, 0.0, 1.0);
}

#[test]
fn a_response_is_of_use_until_the_objective_or_shortly_before_the_client_gives_up() {
    let worthless_when_late = request_class("class", Effect::Safe);
    let of_use_when_late = RequestClass { late_priority_weight: 0.1, ..worthless_when_late.clone() };
    let classes = vec![worthless_when_late, of_use_when_late];
    let settings = Settings { classes, clock_resolution: 0.01, ..Settings::default() };
    let useful = |class, timeout| effective_timeout(&Request { class, timeout, ..request(1) }, &settings);

    assert_close(useful(ClassIndex(0), 2.0), 1.0);
    assert_close(useful(ClassIndex(0), 0.5), 0.48);
    assert_close(useful(ClassIndex(1), 2.0), 1.98);
}

#[test]
fn bounds_waits_by_fractions_of_the_timeout_and_of_the_expected_latency() {
    let mut traffic = RankingState::new().traffic;
    let without_observation = min_time_left(PLAIN, &traffic);
    traffic.record_latency(PLAIN, 0.1, 1.0, LoadState::Normal);

    assert_close(without_observation, 0.0);
    assert_close(min_time_left(PLAIN, &traffic), 0.06);
    assert_close(max_admission_wait(2.0), 0.5);
}

#[test]
fn a_rejection_asks_for_a_wait_of_t1_only_as_far_as_clients_honour_one() {
    let settings = |max_retry_after| Settings { max_retry_after, ..Settings::default() };

    assert_eq!(retry_after(0.5, &settings(0.0)), None);
    assert_eq!(retry_after(0.5, &settings(2.0)), Some(0.5));
    assert_eq!(retry_after(5.0, &settings(2.0)), Some(2.0));
}
