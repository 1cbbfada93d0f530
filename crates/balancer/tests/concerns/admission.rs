//! Admission: the percentile ranks of requests, and the limits of waits and timeouts.

use super::fixtures::{request_class, request_with_id};
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
const PLAIN_CLASS: ClassIndex = ClassIndex(0);
/// The index of a class with a priority weight of 2.
const IMPORTANT_CLASS: ClassIndex = ClassIndex(1);
/// The time at which requests are ranked, in seconds.
const RANKING_TIME: Time = 1.0;

/// An [`Admission`] and the other state from which percentile ranks are computed.
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
            self.admission.record_arrival(class, quota, RANKING_TIME, self.traffic.time_constant());
        }
    }

    fn rank(&mut self, class: ClassIndex, quota: QuotaStatus, now: Time) -> f64 {
        let Self { settings, traffic, admission, random } = self;
        let PercentileRank(rank) = admission.percentile_rank(class, quota, now, settings, traffic, random);
        rank
    }

    /// Asserts that the ranks of a class are distributed evenly from `least` to `greatest`.
    #[track_caller]
    fn assert_ranks_evenly_distributed(
        &mut self,
        class: ClassIndex,
        quota: QuotaStatus,
        least: f64,
        greatest: f64,
    ) {
        let ranks: Vec<f64> = (0..1000).map(|_| self.rank(class, quota, RANKING_TIME)).collect();
        let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
        assert!(ranks.iter().all(|rank| (least..=greatest).contains(rank)));
        assert!((mean - (least + greatest) / 2.0).abs() < 0.02, "{mean}");
    }
}

#[test]
fn ranks_a_request_by_the_fraction_of_arrivals_with_lower_priority() {
    let mut state = RankingState::new();
    state.record_arrivals(PLAIN_CLASS, QuotaStatus::Within, 3);
    state.record_arrivals(IMPORTANT_CLASS, QuotaStatus::Within, 1);

    state.assert_ranks_evenly_distributed(PLAIN_CLASS, QuotaStatus::Within, 0.0, 0.75);
    state.assert_ranks_evenly_distributed(IMPORTANT_CLASS, QuotaStatus::Within, 0.75, 1.0);
}

#[test]
fn ranks_an_important_request_over_quota_below_a_plain_request_within_quota() {
    let mut state = RankingState::new();
    state.record_arrivals(PLAIN_CLASS, QuotaStatus::Within, 1);
    state.record_arrivals(IMPORTANT_CLASS, QuotaStatus::Exceeded, 1);

    state.assert_ranks_evenly_distributed(PLAIN_CLASS, QuotaStatus::Within, 0.5, 1.0);
    state.assert_ranks_evenly_distributed(IMPORTANT_CLASS, QuotaStatus::Exceeded, 0.0, 0.5);
}

#[test]
fn ranks_an_important_request_below_a_plain_request_that_takes_much_less_work() {
    let mut state = RankingState::new();
    state.traffic.record_latency(PLAIN_CLASS, 0.05, 1.0, LoadState::Normal);
    state.traffic.record_latency(IMPORTANT_CLASS, 0.2, 1.0, LoadState::Normal);
    state.record_arrivals(PLAIN_CLASS, QuotaStatus::Within, 1);
    state.record_arrivals(IMPORTANT_CLASS, QuotaStatus::Within, 1);

    state.assert_ranks_evenly_distributed(PLAIN_CLASS, QuotaStatus::Within, 0.5, 1.0);
    state.assert_ranks_evenly_distributed(IMPORTANT_CLASS, QuotaStatus::Within, 0.0, 0.5);
}

#[test]
fn rank_is_zero_before_any_arrival() {
    let mut state = RankingState::new();

    assert_close(state.rank(IMPORTANT_CLASS, QuotaStatus::Within, 0.0), 0.0);
    assert_close(state.rank(IMPORTANT_CLASS, QuotaStatus::Within, RANKING_TIME), 0.0);
}

#[test]
fn keeps_the_arrival_rate_of_a_class_when_settings_change() {
    let mut state = RankingState::new();
    state.record_arrivals(PLAIN_CLASS, QuotaStatus::Within, 1);

    // The two classes swap their indices, so the arrivals belong to the important class afterwards.
    state.admission.apply_settings(&[Some(IMPORTANT_CLASS), Some(PLAIN_CLASS)], RANKING_TIME);

    assert_close(state.rank(PLAIN_CLASS, QuotaStatus::Within, RANKING_TIME), 0.0);
    state.assert_ranks_evenly_distributed(IMPORTANT_CLASS, QuotaStatus::Within, 0.0, 1.0);
}

#[test]
fn effective_timeout_ends_at_the_latency_objective_or_shortly_before_the_client_timeout() {
    let without_late_weight = request_class("class", Effect::Safe);
    let with_late_weight = RequestClass { late_priority_weight: 0.1, ..without_late_weight.clone() };
    let classes = vec![without_late_weight, with_late_weight];
    let settings = Settings { classes, clock_resolution: 0.01, ..Settings::default() };
    let timeout_of_class =
        |class, timeout| effective_timeout(&Request { class, timeout, ..request_with_id(1) }, &settings);

    assert_close(timeout_of_class(ClassIndex(0), 2.0), 1.0);
    assert_close(timeout_of_class(ClassIndex(0), 0.5), 0.48);
    assert_close(timeout_of_class(ClassIndex(1), 2.0), 1.98);
}

#[test]
fn limits_waits_by_fractions_of_the_timeout_and_of_the_expected_latency() {
    let mut traffic = RankingState::new().traffic;
    let without_observation = min_time_left(PLAIN_CLASS, &traffic);
    traffic.record_latency(PLAIN_CLASS, 0.1, 1.0, LoadState::Normal);

    assert_close(without_observation, 0.0);
    assert_close(min_time_left(PLAIN_CLASS, &traffic), 0.06);
    assert_close(max_admission_wait(2.0), 0.5);
}

#[test]
fn retry_after_is_t1_up_to_the_longest_delay_that_clients_honour() {
    let settings_with_limit = |max_retry_after| Settings { max_retry_after, ..Settings::default() };

    assert_eq!(retry_after(0.5, &settings_with_limit(0.0)), None);
    assert_eq!(retry_after(0.5, &settings_with_limit(2.0)), Some(0.5));
    assert_eq!(retry_after(5.0, &settings_with_limit(2.0)), Some(2.0));
}
