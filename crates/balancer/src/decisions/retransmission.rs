//! Retransmission control, after Hong, Huang and Yan, "Controlling Retransmission Rate For Mitigating SIP
//! Overload": a call that is unanswered or has failed when one of its doubling timers fires is retried with
//! probability p, and p falls as the number of unanswered calls rises from one T1-worth of the average
//! send rate to `THRESHOLD_RATIO` times that (the paper: three). By Little's law that number over that
//! rate is the mean wait, so p compares the mean wait with T1.

use crate::interface::*;
use crate::state::{Balancer, CallKey, Timer};
use rand::Rng;

/// Least probability of a retry, as in the paper: what it needs to get past lost messages.
const MIN_RETRY_PROBABILITY: f64 = 0.1;
/// Ratio of the thresholds between which p falls: under the paper's 3, as retries cost full work.
const THRESHOLD_RATIO: f64 = 1.5;
/// Least lower threshold, in calls. Guards against quiet balancers, where rate x T1 is under
/// one and a waiting call would lower its own probability.
const MIN_LOWER_THRESHOLD: f64 = 1.0;
/// T1 lies this many mean deviations above the mean latency, as TCP's timer does.
const T1_DEVIATIONS: f64 = 4.0;
/// T1 is at most this part of the time left, so that a retry can still be answered in it.
pub(super) const MAX_T1_FRACTION: f64 = 0.4;
/// T1 is spread by this part, so that failed calls of many balancers are not retried in step.
const T1_JITTER: f64 = 0.1;

impl Balancer {
    /// T1 lies above the usual latency and leaves time for a retry in the time left, both in seconds.
    pub(super) fn t1(&self, learned_class: usize, time_left: Time) -> Time {
        let usual = &self.traffic.latency[learned_class];
        let longest = MAX_T1_FRACTION * time_left;
        let seen = usual.mean + T1_DEVIATIONS * usual.deviation;
        let t1 = if usual.samples > 0.0 { seen.min(longest) } else { longest };
        t1.max(self.settings.quantum)
    }

    /// The paper's p, from the calls unanswered here and the average rate of original sends.
    fn retry_probability(&mut self, t1: Time) -> f64 {
        self.traffic.sent.decay(self.now, self.traffic.memory);
        let unanswered = self.calls.unanswered() as f64;
        let lower = (self.traffic.sent.per_second() * t1).max(MIN_LOWER_THRESHOLD);
        let upper = THRESHOLD_RATIO * lower;
        let excess = ((unanswered - lower) / (upper - lower)).clamp(0.0, 1.0);
        1.0 - (1.0 - MIN_RETRY_PROBABILITY) * excess
    }

    /// Sets the next doubling timer, if it is due in time and a further attempt is allowed.
    pub(super) fn set_retry_timer(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        let jitter = 1.0 + T1_JITTER * (2.0 * self.random.random::<f64>() - 1.0);
        let call = &mut self.calls[key];
        let timer = &mut call.retry_timer;
        let at = call.begun_at + timer.t1 * jitter * (2f64.powi(timer.fired + 1) - 1.0);
        timer.is_set = at < call.deadline && call.attempts.len() < call.settings.max_attempts;
        if timer.is_set {
            actions.push(Action::SetTimer { at, token: Timer::Retry(key).into() });
        }
    }

    /// A doubling timer has fired: the call is retried with the probability of the moment, if it may be.
    pub(super) fn on_retry_timer(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.calls[key].retry_timer.fired += 1;
        self.set_retry_timer(key, actions);
        // A backend that has answered since is alive, and the call merely long: a hedged attempt would
        // double the work of the longest calls, which is what tips a busy fleet over. That holds for one
        // timer: what is in flight for 3 T1 may never be answered, as its connection can stand still, or
        // its backend may have fallen silent since.
        let is_alive = self.learn_from_waiting(key, false);
        let is_merely_long = is_alive && self.calls[key].retry_timer.fired == 1;
        let pressure = if self.has_reached_no_backend(key) { 0.0 } else { self.pressure() };
        let t1 = self.calls[key].retry_timer.t1;
        let probability = (self.retry_probability(t1) * (1.0 - pressure)).max(MIN_RETRY_PROBABILITY);
        if !is_merely_long
            && self.permitted_attempt(key).is_some()
            && self.random.random::<f64>() < probability
        {
            self.send(key, actions);
        }
        let call = &self.calls[key];
        if !call.retry_timer.is_set && !call.has_attempt_in_flight() {
            self.finish_unserved(key, actions);
        }
    }

    /// No attempt of the call got a connection. Pressure lowers the probability of hedged attempts, which
    /// cost work twice, and of retries that busy backends rejected. What could not connect has cost
    /// none, and is counted among the admitted calls already.
    fn has_reached_no_backend(&self, key: CallKey) -> bool {
        let outcomes = self.calls[key].attempts.iter().map(|attempt| attempt.outcome);
        outcomes.into_iter().all(|outcome| outcome == Some(Outcome::NoConnection))
    }

    /// The time of a call is up. The timeout of its attempt finds the call gone, so that a hung backend
    /// has to be noticed here.
    pub(super) fn on_deadline(&mut self, key: CallKey, actions: &mut Vec<Action>) {
        self.learn_from_waiting(key, true);
        self.finish_unserved(key, actions);
    }
}
