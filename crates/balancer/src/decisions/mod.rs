//! The decisions of one balancer: events with their times in, actions out, in the types of
//! [`crate::interface`]. What a balancer knows is in [`crate::state`].
//!
//! Each module has one concern, with its tuning constants and their reasons. A request passes through them in
//! this order: `admission`, `ordered_keys` where its class is ordered, then `attempts` and `placement` for
//! each attempt, `retransmission` while it is unanswered, and `completion`.

mod admission;
mod attempts;
mod completion;
mod endpoints;
mod load_reports;
mod maintenance;
mod ordered_keys;
mod outliers;
mod overload;
mod placement;
mod quotas;
mod retransmission;
mod settings_change;
mod slow_start;
mod subset;
mod traffic;

use crate::interface::*;
use crate::state::{Balancer, Timer};

impl Balancer {
    /// A balancer that starts at `now`, in seconds. Same seed, settings and events yield the same actions.
    #[must_use]
    pub fn new(now: Time, seed: u64, settings: Settings) -> Self {
        let mut balancer = Self::empty(now, seed);
        balancer.apply_settings(settings);
        balancer
    }

    /// Decides what to do about `event`, which happens at `now`, in seconds. A time before that of an
    /// earlier event counts as that of the earlier one.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.schedule_first_poll(actions);
        match event {
            Event::Request(request) => self.on_request(request, actions),
            Event::BodyReceived(id) => self.on_body_received(id, actions),
            Event::BodyConsumed(id) => self.on_body_consumed(id),
            Event::ResponseStarted { id, attempt } => self.finish_by_id(id, Some(attempt), actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(ended, actions),
            Event::ClientDisconnected(id) => self.finish_by_id(id, None, actions),
            Event::Timer(token) => self.on_timer(Timer::from(token), actions),
            Event::HealthCheckEnded { backend, report, .. } => self.on_load_report(backend, report),
            Event::Maintenance { backend, change } => self.on_maintenance(backend, change, actions),
            Event::SecondProcess { running } => self.second_process = running,
            Event::Endpoints(update) => self.on_endpoint_update(update, actions),
            Event::Settings(settings) => self.apply_settings(settings.clone()),
        }
        self.admit_waiting(actions);
    }

    fn on_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::EndpointPoll => actions.push(Action::WatchEndpoints),
            Timer::Retry(key) if self.calls.contains(key) => self.on_retry_timer(key, actions),
            Timer::Deadline(key) if self.calls.contains(key) => self.on_deadline(key, actions),
            Timer::Turn(key) if self.calls.contains(key) => self.on_turn(key, actions),
            Timer::Retry(_) | Timer::Deadline(_) | Timer::Turn(_) => {} // the call has ended
        }
    }
}
