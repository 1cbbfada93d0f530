//! The timers of the decision module, and the tokens that identify them to the caller.

use super::calls::CallKey;
use crate::interface::TimerToken;
use slotmap::{Key, KeyData};

/// The purpose of a timer. A call timer contains the key of its call. Keys are never reused, so a timer of
/// an ended call can be detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// The endpoint list is due for a poll.
    EndpointPoll,
    /// The next retry timer of a call fires, and the call may be retried.
    Retry(CallKey),
    /// The deadline of a call passes.
    Deadline(CallKey),
    /// The wait of a queued call ends: the call has reached its longest wait for admission, or its ordering
    /// key is no longer blocked. One kind of timer is enough, as a call waits for only one of the two.
    QueueWait(CallKey),
}

/// The token of [`Timer::EndpointPoll`]. Tokens of call timers are greater.
const ENDPOINT_POLL_TOKEN: u64 = 0;
/// The number of low bits in the token of a call timer that encode the purpose.
const PURPOSE_BITS: u32 = 2;
const PURPOSE_MASK: u64 = (1 << PURPOSE_BITS) - 1;
/// The number of bits above the purpose that encode the slot of the call in the call table. Memory runs out
/// long before that many calls are open.
const SLOT_BITS: u32 = 31;
const SLOT_MASK: u64 = (1 << SLOT_BITS) - 1;
/// The number of low bits of a key's integer that encode the slot. The higher bits encode the version of
/// the slot.
const KEY_SLOT_BITS: u32 = 32;
const RETRY_PURPOSE: u64 = 0;
const DEADLINE_PURPOSE: u64 = 1;
const QUEUE_WAIT_PURPOSE: u64 = 2;

impl From<Timer> for TimerToken {
    fn from(timer: Timer) -> Self {
        let (key, purpose) = match timer {
            Timer::EndpointPoll => return TimerToken(ENDPOINT_POLL_TOKEN),
            Timer::Retry(key) => (key, RETRY_PURPOSE),
            Timer::Deadline(key) => (key, DEADLINE_PURPOSE),
            Timer::QueueWait(key) => (key, QUEUE_WAIT_PURPOSE),
        };
        TimerToken(1 + (pack(key) << PURPOSE_BITS | purpose))
    }
}

impl From<TimerToken> for Timer {
    fn from(TimerToken(token): TimerToken) -> Self {
        if token == ENDPOINT_POLL_TOKEN {
            return Self::EndpointPoll;
        }
        let packed = token - 1;
        let key = unpack(packed >> PURPOSE_BITS);
        match packed & PURPOSE_MASK {
            DEADLINE_PURPOSE => Self::Deadline(key),
            QUEUE_WAIT_PURPOSE => Self::QueueWait(key),
            _ => Self::Retry(key),
        }
    }
}

/// Returns a key packed into the bits of a token that do not encode the purpose. The version of an occupied
/// slot is always odd, so its lowest bit is left out. All other bits of the version are needed: the keys of
/// two calls that use the same slot one after the other differ only in the version.
fn pack(key: CallKey) -> u64 {
    let key = key.data().as_ffi();
    let half_version = key >> (KEY_SLOT_BITS + 1);
    half_version << SLOT_BITS | key & SLOT_MASK
}

/// Returns the key that [`pack`] has packed.
fn unpack(packed: u64) -> CallKey {
    let version = packed >> SLOT_BITS << 1 | 1;
    CallKey::from(KeyData::from_ffi(version << KEY_SLOT_BITS | packed & SLOT_MASK))
}
