//! The timers of the decision module, and the tokens by which the caller hands them back.

use super::call::CallKey;
use crate::TimerToken;
use slotmap::{Key, KeyData};

/// What a timer is for. Timers of calls name a call; one that has ended by the time the timer is due is
/// recognised, as keys are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The endpoint list is to be polled.
    EndpointPoll,
    /// The next doubling timer of a call: it may be retried.
    Retry(CallKey),
    /// The time of a call is up.
    Deadline(CallKey),
    /// A waiting call may have its turn, or has waited long enough for it.
    Turn(CallKey),
}

/// Token of [`Timer::EndpointPoll`]; the tokens of calls are above it.
const ENDPOINT_POLL_TOKEN: u64 = 0;
/// The low bits of a call's token, which tell what the timer is for.
const KIND_BITS: u32 = 2;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;
const RETRY: u64 = 0;
const DEADLINE: u64 = 1;
const TURN: u64 = 2;

impl From<Timer> for TimerToken {
    fn from(timer: Timer) -> Self {
        let (key, kind) = match timer {
            Timer::EndpointPoll => return TimerToken(ENDPOINT_POLL_TOKEN),
            Timer::Retry(key) => (key, RETRY),
            Timer::Deadline(key) => (key, DEADLINE),
            Timer::Turn(key) => (key, TURN),
        };
        TimerToken(1 + (key.data().as_ffi() << KIND_BITS | kind))
    }
}

impl From<TimerToken> for Timer {
    fn from(TimerToken(token): TimerToken) -> Self {
        if token == ENDPOINT_POLL_TOKEN {
            return Self::EndpointPoll;
        }
        let packed = token - 1;
        let key = CallKey::from(KeyData::from_ffi(packed >> KIND_BITS));
        match packed & KIND_MASK {
            DEADLINE => Self::Deadline(key),
            TURN => Self::Turn(key),
            _ => Self::Retry(key),
        }
    }
}
