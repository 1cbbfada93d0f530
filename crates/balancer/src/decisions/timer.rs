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
/// The number of bits above the purpose that encode the slot of the call in the table. Memory ends long
/// before as many calls are open.
const SLOT_BITS: u32 = 31;
const SLOT_MASK: u64 = (1 << SLOT_BITS) - 1;
/// The number of low bits of a key's integer that are the slot; those above are the version of the slot.
const KEY_SLOT_BITS: u32 = 32;
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
            DEADLINE => Self::Deadline(key),
            QUEUE_WAIT => Self::QueueWait(key),
            _ => Self::Retry(key),
        }
    }
}

/// Returns a key in as few bits as the purpose leaves in a token. The version of a slot with a call is odd,
/// so that its lowest bit tells nothing. Every other bit is needed: two calls that have had a slot one after
/// the other differ in the version only.
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
