//! Checks the rules for every call: the call gets exactly one final response before its deadline, and an
//! unsafe call that may have run is not sent again.

use balancer::{AttemptNumber, Effect, RequestId, Time};
use std::collections::HashMap;
use thiserror::Error;

/// Tolerance for rounding errors when a time is compared with a deadline, in seconds.
const DEADLINE_TOLERANCE_SECONDS: Time = 1e-6;

/// A rule that a call violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rule {
    /// The call got a final response after an earlier one, or was never opened.
    #[error("got a final response while it was not open")]
    NotOpen,
    /// The call got its final response after its deadline.
    #[error("got its final response after the deadline")]
    Late,
    /// The call got no final response.
    #[error("got no final response")]
    Unanswered,
    /// An attempt was sent after the final response of the call.
    #[error("was sent after its final response")]
    SentAfterResponse,
    /// The call is unsafe, may have run, and was sent again.
    #[error("is unsafe, may have run, and was sent again")]
    UnsafeRetry,
    /// An attempt was sent to a backend that is in no endpoint list.
    #[error("was sent to a backend that is in no endpoint list")]
    Unlisted,
}

/// A violated rule and the call that violated it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The call.
    pub call: RequestId,
}

/// The parameters of a call that a proxy makes.
#[derive(Clone, Copy, Debug)]
pub struct NewCall {
    /// The effect of a repetition of the call.
    pub effect: Effect,
    /// The virtual time until which the call must get its final response, in seconds.
    pub deadline: Time,
    /// Whether the report counts the call.
    pub counted: bool,
}

/// A call without a final response.
#[derive(Clone, Copy, Debug)]
pub struct OpenCall {
    deadline: Time,
    effect: Effect,
    may_have_run: bool,
    /// Number of attempts sent so far.
    pub attempts: usize,
    /// Whether the report counts the call.
    pub counted: bool,
}

/// The open calls of one proxy.
#[derive(Debug, Default)]
pub struct Checker {
    open: HashMap<RequestId, OpenCall>,
}

impl Checker {
    /// Opens a call.
    pub fn open(&mut self, id: RequestId, call: NewCall) {
        let NewCall { effect, deadline, counted } = call;
        self.open.insert(id, OpenCall { deadline, effect, may_have_run: false, attempts: 0, counted });
    }

    /// Records an attempt and returns its number.
    ///
    /// # Errors
    ///
    /// Returns the violation if the call is not open, or if the call is unsafe and may have run.
    pub fn send(&mut self, call: RequestId) -> Result<AttemptNumber, Violation> {
        let open = self.open.get_mut(&call).ok_or(Violation { rule: Rule::SentAfterResponse, call })?;
        if open.effect == Effect::Unsafe && open.may_have_run {
            return Err(Violation { rule: Rule::UnsafeRetry, call });
        }
        // The call counts as run until the outcome of the attempt shows that the attempt never ran.
        open.may_have_run = true;
        let number = AttemptNumber(open.attempts);
        open.attempts += 1;
        Ok(number)
    }

    /// Records that the only attempt in flight could not connect and therefore never ran.
    pub fn attempt_never_ran(&mut self, call: RequestId) {
        if let Some(open) = self.open.get_mut(&call) {
            open.may_have_run = false;
        }
    }

    /// Closes a call with its final response.
    ///
    /// # Errors
    ///
    /// Returns the violation if the call is not open, or the deadline of the call has passed.
    pub fn close(&mut self, call: RequestId, now: Time) -> Result<OpenCall, Violation> {
        let open = self.open.remove(&call).ok_or(Violation { rule: Rule::NotOpen, call })?;
        if now > open.deadline + DEADLINE_TOLERANCE_SECONDS {
            return Err(Violation { rule: Rule::Late, call });
        }
        Ok(open)
    }

    /// Returns whether a call has no final response yet.
    #[must_use]
    pub fn is_open(&self, call: RequestId) -> bool {
        self.open.contains_key(&call)
    }

    /// Drops all open calls because the proxy's process has stopped. Returns the number of dropped calls
    /// that the report counts.
    pub fn drop_open(&mut self) -> usize {
        self.open.drain().filter(|(_, open)| open.counted).count()
    }

    /// Checks at the end of the run that no call is open.
    ///
    /// # Errors
    ///
    /// Returns the violation of the lowest-numbered call that got no final response.
    pub fn verify_none_open(&self) -> Result<(), Violation> {
        match self.open.keys().min() {
            Some(&call) => Err(Violation { rule: Rule::Unanswered, call }),
            None => Ok(()),
        }
    }
}
