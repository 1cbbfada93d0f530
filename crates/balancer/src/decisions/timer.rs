//! The timers of the decision module, and the tokens by which the caller hands them back.

use super::calls::CallKey;
use crate::interface::TimerToken;
use slotmap::{Key, KeyData};

/// The purpose of a timer. The timers of a call name the call; a timer whose call has ended is
/// recognised, as keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// The endpoint list is polled.
    EndpointPoll,
    /// The next doubling timer of a call fires, and the call may be retried.
    Retry(CallKey),
    /// The deadline of a call passes.
    Deadline(CallKey),
    /// A queued call has waited long enough for admission, or its ordering key may be used again. Both
    /// are one kind of timer, as a call waits for one of the two only.
    QueueWait(CallKey),
}

/// The token of [`Timer::EndpointPoll`]. The tokens of calls are greater.
const ENDPOINT_POLL_TOKEN: u64 = 0;
/// The number of low bits of a call's token that encode the purpose.
const PURPOSE_BITS: u32 = 2;
const PURPOSE_MASK: u64 = (1 << PURPOSE_BITS) - 1;
const RETRY: u64 = 0;
const DEADLINE: u64 = 1;
const QUEUE_WAIT: u64 = 2;

impl From<Timer> for TimerToken {
    fn from(timer: Timer) -> Self {
        let (key, purpose) = match timer {
            Timer::EndpointPoll => return TimerToken(ENDPOINT_POLL_TOKEN),
            Timer::Retry(key) => (key, RETRY),
            Timer::Deadline(key) => (key, DEADLINE),
            Timer::QueueWait(key) => (key, QUEUE_WAIT),
        };
        TimerToken(1 + (key.data().as_ffi() << PURPOSE_BITS | purpose))
    }
}

impl From<TimerToken> for Timer {
    fn from(TimerToken(token): TimerToken) -> Self {
        if token == ENDPOINT_POLL_TOKEN {
            return Self::EndpointPoll;
        }
        let packed = token - 1;
        let key = CallKey::from(KeyData::from_ffi(packed >> PURPOSE_BITS));
        match packed & PURPOSE_MASK {
            DEADLINE => Self::Deadline(key),
            QUEUE_WAIT => Self::QueueWait(key),
            _ => Self::Retry(key),
        }
    }
}
