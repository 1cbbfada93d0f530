//! The calls without a final response, and the attempts of each.

use super::backend::BackendIndex;
use crate::{Outcome, Request, RequestClass, RequestId, Settings, Time};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};
use std::sync::Arc;

/// Names a call in the table; never used twice.
pub(crate) type CallKey = slotmap::DefaultKey;

/// One attempt of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Where it went.
    pub backend: BackendIndex,
    /// The backend's cell at the time.
    pub cell: u32,
    /// The backend's zone at the time.
    pub zone: u32,
    /// When it was sent, in seconds.
    pub sent_at: Time,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// It has no outcome yet.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// The request may have been processed by the backend.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent))
    }
}

/// The doubling timers of a call: T1, then 2 T1, 4 T1 after the one before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryTimer {
    /// The first interval, in seconds.
    pub t1: Time,
    /// Timers that have fired.
    pub fired: i32,
    /// A further timer is set.
    pub is_set: bool,
}

/// How far the body of a request has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyProgress {
    /// The body is streamed, and can't be sent to two backends at once.
    pub is_streamed: bool,
    /// It is still being received.
    pub is_receiving: bool,
    /// Too much of it has been forwarded for another attempt.
    pub is_consumed: bool,
}

/// A request without a final response.
#[derive(Debug)]
pub(crate) struct Call {
    /// The request's id.
    pub id: RequestId,
    /// The settings in force when it arrived, by which it ends.
    pub settings: Arc<Settings>,
    /// Index of its class there.
    pub class: usize,
    /// Index of its class in what is learned, by the settings now in force.
    pub learned_class: usize,
    /// Index of its tenant in the settings now in force.
    pub tenant: Option<usize>,
    /// When it arrived, or stopped waiting for its turn.
    pub begun_at: Time,
    /// When its final response is due at the latest; infinite while its body is received.
    pub deadline: Time,
    /// The time that it has from the complete receipt of its body, in seconds.
    pub timeout: Time,
    /// Its doubling timers.
    pub retry_timer: RetryTimer,
    /// Its attempts, in the order of the sends.
    pub attempts: Vec<Attempt>,
    /// The key by which its class orders requests.
    pub ordering_key: Option<u64>,
    /// It waits for its turn, for admission or for its ordering key; nothing of it has been sent.
    pub is_waiting: bool,
    /// How far its body has come.
    pub body: BodyProgress,
    /// Its last attempt found no capacity or no connection, and it waits to be retried.
    pub lacks_capacity: bool,
    /// The one of the two members drawn that was not chosen; a retry goes to it.
    pub alternative: Option<BackendIndex>,
}

impl Call {
    /// A request that arrives at `now` and has `timeout` seconds, with no attempt made and no timer set.
    pub fn new(request: &Request, settings: Arc<Settings>, now: Time, timeout: Time, t1: Time) -> Self {
        let is_receiving = request.streaming_body;
        Self {
            id: request.id,
            settings,
            class: request.class,
            learned_class: request.class,
            tenant: request.tenant,
            begun_at: now,
            deadline: if is_receiving { Time::INFINITY } else { now + timeout },
            timeout,
            retry_timer: RetryTimer { t1, fired: 0, is_set: false },
            attempts: Vec::new(),
            ordering_key: None,
            is_waiting: false,
            body: BodyProgress { is_streamed: is_receiving, is_receiving, is_consumed: false },
            lacks_capacity: false,
            alternative: None,
        }
    }

    /// Its class, by the settings with which it arrived.
    pub fn request_class(&self) -> &RequestClass {
        &self.settings.classes[self.class]
    }

    /// An attempt of it is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }
}

/// All calls without a final response, and how many of them are in a state that matters to decisions.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    calls: SlotMap<CallKey, Call>,
    by_id: HashMap<RequestId, CallKey>,
    /// Calls that wait for admission or for their ordering key.
    pub waiting: usize,
    /// Calls begun whose body is still being received.
    pub receiving: usize,
    /// Calls whose last attempt found no capacity, and that wait to be retried.
    pub lacking_capacity: usize,
}

impl CallTable {
    /// Number of calls.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Calls begun whose request has been received completely.
    pub fn unanswered(&self) -> usize {
        self.by_id.len() - self.waiting - self.receiving
    }

    /// The key of the call with this id.
    pub fn key_of(&self, id: RequestId) -> Option<CallKey> {
        self.by_id.get(&id).copied()
    }

    /// The call has not ended.
    pub fn contains(&self, key: CallKey) -> bool {
        self.calls.contains_key(key)
    }

    /// Adds a call, and counts it if it waits.
    pub fn insert(&mut self, call: Call) -> CallKey {
        let id = call.id;
        self.waiting += usize::from(call.is_waiting);
        let key = self.calls.insert(call);
        self.by_id.insert(id, key);
        key
    }

    /// Removes an ended call, and no longer counts it.
    pub fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(key)?;
        self.by_id.remove(&call.id);
        self.waiting -= usize::from(call.is_waiting);
        self.lacking_capacity -= usize::from(call.lacks_capacity);
        Some(call)
    }

    /// Notes whether the last attempt of a call found no capacity.
    pub fn set_lacks_capacity(&mut self, key: CallKey, lacks_capacity: bool) {
        let before = std::mem::replace(&mut self.calls[key].lacks_capacity, lacks_capacity);
        self.lacking_capacity += usize::from(lacks_capacity);
        self.lacking_capacity -= usize::from(before);
    }

    /// All calls, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Call> {
        self.calls.values_mut()
    }
}

impl Index<CallKey> for CallTable {
    type Output = Call;

    fn index(&self, key: CallKey) -> &Call {
        &self.calls[key]
    }
}

impl IndexMut<CallKey> for CallTable {
    fn index_mut(&mut self, key: CallKey) -> &mut Call {
        &mut self.calls[key]
    }
}
