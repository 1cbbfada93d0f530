//! Compares the added latency with its budget.

use crate::budget;

/// The maximum delay of the generator at the 99th percentile, as a fraction of the budget. With a
/// longer one, or if direct calls already exceed the budget, the machine was too busy to measure.
pub const MAX_GENERATOR_DELAY_FRACTION: f64 = 0.25;
/// More calls than this fraction wait for a caller only if calls pile up.
const MAX_QUEUED_FRACTION: f64 = 0.01;

/// Figures of one measurement that decide the verdict; latencies and delays are 99th percentiles.
#[derive(Clone, Copy, Debug)]
pub struct LatencyObservation {
    /// Delay of the generator in beginning its calls, in milliseconds.
    pub generator_delay_ms: f64,
    /// The fraction of the calls that waited for a caller.
    pub queued_fraction: f64,
    /// The latency of direct calls, in milliseconds.
    pub direct_ms: f64,
    /// The latency that the proxy added, in milliseconds.
    pub added_ms: f64,
}

/// The result of a comparison with the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The added latency is within the budget.
    WithinBudget,
    /// The added latency exceeds the budget.
    OverBudget,
    /// More calls were in flight than there are callers.
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
    /// Compares the added latency with the budget. Calls that pile up are a fault of the proxy, also
    /// where the piled-up calls delay direct calls; a late generator is a fault of the machine.
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
