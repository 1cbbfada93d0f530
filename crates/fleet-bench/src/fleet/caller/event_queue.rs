//! The virtual clock of a caller and its pending events, in the order of their times.

use balancer::{AttemptId, Outcome, Time, TimerToken};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event in the simulation of a caller.
#[derive(Clone, Copy, Debug)]
pub enum CallerEvent {
    /// The proxy makes a call.
    Call,
    /// A timer of the balancer with this token fires.
    Timer(TimerToken),
    /// An attempt ends.
    AttemptEnded(AttemptId, Outcome),
    /// All endpoint changes before this index arrive.
    EndpointChanges(usize),
    /// The state of the balancer is sampled for the sample with this index.
    Sample(u32),
    /// The process stops.
    Stop,
    /// A new process starts.
    Start,
    /// The first response of discovery after a start arrives.
    FirstEndpointList,
}

impl CallerEvent {
    /// Returns whether the event is dropped if the process that scheduled the event has ended.
    fn belongs_to_process(self) -> bool {
        match self {
            Self::Call | Self::Timer(_) | Self::AttemptEnded(..) | Self::FirstEndpointList => true,
            Self::EndpointChanges(_) | Self::Sample(_) | Self::Stop | Self::Start => false,
        }
    }
}

#[derive(Debug)]
struct PendingEvent {
    at: Time,
    /// Position in the order of scheduling. Events with the same time are handled in this order.
    sequence: u64,
    /// The number of the process that scheduled the event, from 0.
    incarnation: u32,
    event: CallerEvent,
}

impl PartialEq for PendingEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for PendingEvent {}

impl PartialOrd for PendingEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// The virtual time and the pending events.
#[derive(Debug, Default)]
pub struct EventQueue {
    now: Time,
    pending: BinaryHeap<Reverse<PendingEvent>>,
    last_sequence: u64,
    incarnation: u32,
}

impl EventQueue {
    /// Returns the virtual time, in seconds.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event at `at`, or now if `at` has passed.
    pub fn schedule(&mut self, at: Time, event: CallerEvent) {
        self.last_sequence += 1;
        self.pending.push(Reverse(PendingEvent {
            at: at.max(self.now),
            sequence: self.last_sequence,
            incarnation: self.incarnation,
            event,
        }));
    }

    /// Ends the current process. The pending calls, timers and attempts of the process are dropped when
    /// they are due.
    pub fn end_incarnation(&mut self) {
        self.incarnation += 1;
    }

    /// Removes and returns the next event, and advances the time to the event. Dropped events of a process
    /// that has ended also advance the time.
    pub fn next(&mut self) -> Option<CallerEvent> {
        while let Some(Reverse(pending)) = self.pending.pop() {
            self.now = pending.at;
            if pending.incarnation == self.incarnation || !pending.event.belongs_to_process() {
                return Some(pending.event);
            }
        }
        None
    }
}
