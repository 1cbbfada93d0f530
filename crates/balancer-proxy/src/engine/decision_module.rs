//! The decision module and the events that it has not handled yet.
//!
//! Owns the module and the queue of events. Events are queued because an action of the module may cause
//! the next event, while the module handles events one after another, in the order in which they
//! happened.

use crate::clock::Clock;
use crate::settings::SettingsSnapshot;
use crate::watch_event::{ListedEndpoint, WatchEvent};
use balancer::{Action, Balancer, Endpoint, EndpointUpdate, Event, Settings, Time};
use std::collections::VecDeque;
use std::rc::Rc;

/// An event that owns its data.
pub(super) enum PendingEvent {
    /// An event that borrows nothing.
    Plain(Event<'static>),
    /// An event of the watch on the endpoint list.
    Watch(WatchEvent),
    /// Settings that come into force.
    Settings(Rc<SettingsSnapshot>),
}

impl From<Event<'static>> for PendingEvent {
    fn from(event: Event<'static>) -> Self {
        Self::Plain(event)
    }
}

/// The decision module with its queue of events.
pub(super) struct DecisionModule {
    balancer: Balancer,
    pending: VecDeque<PendingEvent>,
}

impl DecisionModule {
    /// Creates a decision module at time `now`, whose random draws depend on `seed`.
    pub(super) fn new(now: Time, seed: u64, settings: Settings) -> Self {
        Self { balancer: Balancer::new(now, seed, settings), pending: VecDeque::new() }
    }

    /// Queues an event.
    pub(super) fn push(&mut self, event: impl Into<PendingEvent>) {
        self.pending.push_back(event.into());
    }

    /// Has the module handle the first pending event, and appends its actions to `actions`. Returns the
    /// time of the handling, or `None` if no event is pending.
    pub(super) fn handle_next(&mut self, clock: &Clock, actions: &mut Vec<Action>) -> Option<Time> {
        let event = self.pending.pop_front()?;
        let now = clock.now();
        match event {
            PendingEvent::Plain(event) => self.balancer.handle(now, event, actions),
            PendingEvent::Settings(snapshot) => {
                self.balancer.handle(now, Event::Settings(&snapshot.balancer), actions);
            }
            PendingEvent::Watch(event) => self.handle_watch_event(now, event, actions),
        }
        Some(now)
    }

    fn handle_watch_event(&mut self, now: Time, event: WatchEvent, actions: &mut Vec<Action>) {
        let mut handle =
            |update: EndpointUpdate<'_>| self.balancer.handle(now, Event::Endpoints(update), actions);
        match event {
            WatchEvent::Changes(listed) => handle(EndpointUpdate::Changes(&into_endpoints(listed))),
            WatchEvent::Full(listed) => handle(EndpointUpdate::Full(&into_endpoints(listed))),
            WatchEvent::Cached(listed) => handle(EndpointUpdate::Cached(&into_endpoints(listed))),
            WatchEvent::Failed => handle(EndpointUpdate::Failed),
        }
    }

    /// Returns the number of backends on the endpoint list.
    pub(super) fn backends_listed(&self) -> usize {
        self.balancer.backends_listed()
    }

    /// Returns the number of backends that the module avoids.
    pub(super) fn backends_avoided(&self) -> usize {
        self.balancer.backends_avoided()
    }
}

/// Returns the part of each listed endpoint that the module reads.
fn into_endpoints(listed: Vec<ListedEndpoint>) -> Vec<Endpoint> {
    listed.into_iter().map(|listed| listed.endpoint).collect()
}
