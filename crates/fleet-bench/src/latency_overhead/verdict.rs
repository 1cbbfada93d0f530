//! Compares the added latency with its budget.

use crate::budget;

/// Maximum delay of the load generator at the 99th percentile, as a fraction of the budget. With a longer
/// delay, or if direct calls alone exceed the budget, the machine was too busy to measure.
pub const MAX_GENERATOR_DELAY_FRACTION: f64 = 0.25;
/// Maximum fraction of the calls that wait for a free caller. A higher fraction means that more calls were
/// in flight than there are callers.
const MAX_QUEUED_FRACTION: f64 = 0.01;

/// Results of one measurement on which the verdict depends. Latencies and delays are 99th percentiles.
#[derive(Clone, Copy, Debug)]
pub struct LatencyObservation {
    /// Delay from the scheduled to the actual start of a call, in milliseconds.
    pub generator_delay_ms: f64,
    /// Fraction of the calls that waited for a free caller.
    pub queued_fraction: f64,
    /// Latency of direct calls, in milliseconds.
    pub direct_ms: f64,
    /// Latency that the proxy added, in milliseconds.
    pub added_ms: f64,
}

/// The result of comparing the added latency with its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The added latency is within the budget.
    WithinBudget,
    /// The added latency exceeds the budget.
    OverBudget,
    /// Calls waited, as more calls were in flight than there are callers.
    CallsQueued,
    /// The machine was too busy to measure.
    MachineTooBusy,
}

impl Verdict {
    /// Returns the text of the verdict in reports.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::WithinBudget => "within budget",
            Self::OverBudget => "over budget",
            Self::CallsQueued => "over budget: calls piled up",
            Self::MachineTooBusy => "inconclusive: machine too busy",
        }
    }
}

impl LatencyObservation {
    /// Compares the added latency with the budget. Calls that wait for a free caller are attributed to the
    /// proxy, even if the waiting calls delay direct calls. A late load generator is attributed to the
    /// machine.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if self.generator_delay_ms > MAX_GENERATOR_DELAY_FRACTION * budget::ADDED_LATENCY_MS {
            Verdict::MachineTooBusy
        } else if self.queued_fraction > MAX_QUEUED_FRACTION {
            Verdict::CallsQueued
        } else if self.direct_ms > budget::ADDED_LATENCY_MS {
            Verdict::MachineTooBusy
        } else if self.added_ms <= budget::ADDED_LATENCY_MS {
            Verdict::WithinBudget
        } else {
            Verdict::OverBudget
        }
    }
}
