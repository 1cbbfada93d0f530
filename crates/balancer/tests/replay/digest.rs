//! A digest of actions that is independent of compiler and release: 64-bit FNV-1a.

use balancer::{Action, Time};

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The digest of all events so far, with their times and actions.
pub struct RunningDigest(u64);

impl Default for RunningDigest {
    fn default() -> Self {
        Self(FNV_OFFSET_BASIS)
    }
}

impl RunningDigest {
    /// Returns the digest of all events so far.
    pub fn value(&self) -> u64 {
        self.0
    }

    /// Adds the time of an event, and the actions that were returned for it.
    pub fn add_event(&mut self, time: Time, actions: &[Action]) {
        self.add_time(time);
        self.add_integer(actions.len() as u64);
        for action in actions {
            self.add_action(action);
        }
    }

    /// Adds an action: a number for its kind, then its fields in their order.
    fn add_action(&mut self, action: &Action) {
        match *action {
            Action::Send { id, backend, timeout, write_within } => {
                self.add_integers([0, id.0, u64::from(backend.0)]);
                self.add_time(timeout);
                self.add_time(write_within);
            }
            Action::Cancel { id, attempt } => self.add_integers([1, id.0, attempt.0 as u64]),
            Action::Withdraw { id, attempt } => self.add_integers([2, id.0, attempt.0 as u64]),
            Action::Reject { id, retry_after } => {
                self.add_integers([3, id.0, u64::from(retry_after.is_some())]);
                self.add_time(retry_after.unwrap_or_default());
            }
            Action::Fail { id } => self.add_integers([4, id.0]),
            Action::SetTimer { at, token } => {
                self.add_integers([5, token.0]);
                self.add_time(at);
            }
            Action::HealthCheck(backend) => self.add_integers([6, u64::from(backend.0)]),
            Action::CloseIdleConnections(backend) => self.add_integers([7, u64::from(backend.0)]),
            Action::WatchEndpoints => self.add_integers([8]),
        }
    }

    fn add_time(&mut self, time: Time) {
        self.add_integer(time.to_bits());
    }

    fn add_integers<const COUNT: usize>(&mut self, integers: [u64; COUNT]) {
        for integer in integers {
            self.add_integer(integer);
        }
    }

    fn add_integer(&mut self, integer: u64) {
        for byte in integer.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
}
