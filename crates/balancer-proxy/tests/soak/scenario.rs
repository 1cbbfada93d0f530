//! The scenarios of the soak test, each drawn at random from its seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// The time from the longest deadline to SIGKILL, the shortest that the protocol page allows.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);

/// The fault of the first backend. The other backends respond normally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendFault {
    /// The first backend responds normally too.
    None,
    /// The first backend closes each connection after its request.
    Resetting,
    /// The first backend never responds.
    Silent,
}

/// The behaviour of discovery, which never sends an endpoint list: the processes use their cached list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Calls get no response.
    Silent,
    /// Connections are refused, because nothing listens on the address.
    Refusing,
    /// Each connection is closed after its call.
    Closing,
    /// Calls get an error response.
    Failing,
}

/// A signal that is sent to the old process.
#[derive(Clone, Copy, Debug)]
pub struct TimedSignal {
    /// The time between the signal and the first SIGTERM.
    pub offset: Duration,
    /// Whether the signal is sent before the first SIGTERM, instead of after it.
    pub is_before: bool,
    /// The signal as an option of `kill`.
    pub signal: &'static str,
}

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed from which the scenario was drawn.
    pub seed: u64,
    /// Whether a successor takes over before SIGTERM.
    pub has_successor: bool,
    /// The number of connections that send a part of a request head and no more.
    pub unfinished_heads: usize,
    /// The fault of the first backend.
    pub backend_fault: BackendFault,
    /// Whether operators put the first backend into maintenance.
    pub has_maintenance: bool,
    /// Whether some request bodies are long enough to be streamed.
    pub has_streamed_bodies: bool,
    /// The longest deadline of a request.
    pub longest_deadline: Duration,
    /// The time for which the old process serves clients before a successor starts or, without one, before
    /// SIGTERM.
    pub service_time: Duration,
    /// The signals in addition to the first SIGTERM.
    pub signals: Vec<TimedSignal>,
    /// The behaviour of discovery.
    pub discovery: Discovery,
}

impl Scenario {
    /// Draws the scenario of a seed.
    pub fn draw(seed: u64) -> Self {
        let random = &mut SmallRng::seed_from_u64(seed);
        let milliseconds = |random: &mut SmallRng, range| Duration::from_millis(random.random_range(range));
        let has_unfinished_heads = random.random_bool(0.3);
        Self {
            seed,
            has_successor: random.random_bool(0.5),
            unfinished_heads: if has_unfinished_heads { random.random_range(100..300) } else { 0 },
            backend_fault: match random.random_range(0..4) {
                0 => BackendFault::Resetting,
                1 => BackendFault::Silent,
                _ => BackendFault::None,
            },
            has_maintenance: random.random_bool(0.4),
            has_streamed_bodies: random.random_bool(0.4),
            longest_deadline: milliseconds(random, 600..2000),
            service_time: milliseconds(random, 400..900),
            signals: draw_signals(random),
            discovery: match random.random_range(0..4) {
                0 => Discovery::Refusing,
                1 => Discovery::Closing,
                2 => Discovery::Failing,
                _ => Discovery::Silent,
            },
        }
    }

    /// Returns the time from SIGTERM to SIGKILL.
    pub fn sigkill_delay(&self) -> Duration {
        self.longest_deadline + SIGKILL_MARGIN
    }
}

/// Draws bursts of SIGHUP before and after SIGTERM, and further SIGTERMs.
fn draw_signals(random: &mut SmallRng) -> Vec<TimedSignal> {
    let mut signals = Vec::new();
    for _ in 0..random.random_range(0..4) {
        let start = random.random_range(0..300);
        let is_before = random.random();
        let signal = if is_before || random.random() { "-HUP" } else { "-TERM" };
        let spacing = random.random_range(0..40);
        for index in 0..random.random_range(1..6) {
            let offset = Duration::from_millis(start + index * spacing);
            signals.push(TimedSignal { offset, is_before, signal });
        }
    }
    signals
}
