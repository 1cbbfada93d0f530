//! The decision module and the events that it has not handled yet.
//!
//! [`DecisionModule`] owns the module and the queue of events. An action of the module may cause another
//! event; the queue lets the module handle events one after another, in the order in which they occurred.

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
    /// Creates a decision module at time `now`. The random draws of the module depend on `seed`.
    pub(super) fn new(now: Time, seed: u64, settings: Settings) -> Self {
        Self { balancer: Balancer::new(now, seed, settings), pending: VecDeque::new() }
    }

    /// Queues an event.
    pub(super) fn push(&mut self, event: impl Into<PendingEvent>) {
        self.pending.push_back(event.into());
    }

    /// Passes the first pending event to the module, and appends the resulting actions to `actions`. Returns
    /// the time that the module was given, or `None` if no event is pending.
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
            WatchEvent::Rejected => handle(EndpointUpdate::Rejected),
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

/// Converts listed endpoints to the endpoints that the module reads, without their addresses.
fn into_endpoints(listed: Vec<ListedEndpoint>) -> Vec<Endpoint> {
    listed.into_iter().map(|listed| listed.endpoint).collect()
}
