//! Always on: one final answer for each call, in time, and no unsafe call twice.

use balancer_proxy::{Effect, RequestId, Time};
use std::collections::HashMap;
use thiserror::Error;

/// How far a final answer may be over the caller's time, for rounding, in seconds.
const ROUNDING: Time = 1e-6;

/// What a call has done that it may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Rule {
    /// A second final answer, or one to a call that never came.
    #[error("was answered without being open")]
    NotOpen,
    /// Its final answer came after its time.
    #[error("was answered too late")]
    Late,
    /// No final answer came.
    #[error("was never answered")]
    Unanswered,
    /// It was sent after its final answer.
    #[error("was sent without being open")]
    SentOver,
    /// It may have run, must not run twice, and was sent again.
    #[error("is unsafe and was sent again")]
    SentTwice,
    /// It was sent to what no list has named.
    #[error("was sent to a backend of no list")]
    Unlisted,
}

/// A rule broken, and by which call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The rule.
    pub rule: Rule,
    /// The call.
    pub call: RequestId,
}

/// A call without its final answer.
#[derive(Clone, Copy, Debug)]
pub struct Open {
    until: Time,
    effect: Effect,
    may_have_run: bool,
    /// Attempts sent so far.
    pub attempts: usize,
    /// Whether it goes into the figures.
    pub counted: bool,
}

/// The calls of one proxy.
#[derive(Debug, Default)]
pub struct Checker {
    open: HashMap<RequestId, Open>,
}

impl Checker {
    /// A call comes, and is owed its final answer until then.
    pub fn begun(&mut self, call: RequestId, effect: Effect, until: Time, counted: bool) {
        self.open.insert(call, Open { until, effect, may_have_run: false, attempts: 0, counted });
    }

    /// It is sent; tells the number of the attempt, from 0.
    pub fn sent(&mut self, call: RequestId) -> Result<usize, Broken> {
        let open = self.open.get_mut(&call).ok_or(Broken { rule: Rule::SentOver, call })?;
        if open.effect == Effect::Unsafe && open.may_have_run {
            return Err(Broken { rule: Rule::SentTwice, call });
        }
        // Until its outcome tells otherwise.
        open.may_have_run = true;
        open.attempts += 1;
        Ok(open.attempts - 1)
    }

    /// Its only attempt out could not connect, and never ran.
    pub fn never_ran(&mut self, call: RequestId) {
        self.open.get_mut(&call).into_iter().for_each(|open| open.may_have_run = false);
    }

    /// It gets its final answer.
    pub fn answered(&mut self, call: RequestId, now: Time) -> Result<Open, Broken> {
        match self.open.remove(&call) {
            None => Err(Broken { rule: Rule::NotOpen, call }),
            Some(open) if now > open.until + ROUNDING => Err(Broken { rule: Rule::Late, call }),
            Some(open) => Ok(open),
        }
    }

    /// It has had no final answer yet.
    pub fn is_open(&self, call: RequestId) -> bool {
        self.open.contains_key(&call)
    }

    /// The proxy's machine has gone, and with it whoever called: tells how many of the calls that
    /// were open go into the figures.
    pub fn lose(&mut self) -> usize {
        self.open.drain().filter(|(_, open)| open.counted).count()
    }

    /// Nothing will happen any more: all must have had their final answers.
    pub fn end(&self) -> Result<(), Broken> {
        match self.open.keys().min() {
            Some(&call) => Err(Broken { rule: Rule::Unanswered, call }),
            None => Ok(()),
        }
    }
}
