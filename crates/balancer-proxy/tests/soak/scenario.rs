//! What happens in one play of the soak, drawn from its seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Time from the longest deadline to SIGKILL, the earliest that the protocol page allows.
const SIGKILL_MARGIN: Duration = Duration::from_millis(700);

/// The behaviour of a backend of which the rest respond at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadBackend {
    /// All backends respond.
    None,
    /// One backend closes each connection after its request.
    Resetting,
    /// One backend never responds.
    Silent,
}

/// The behaviour of discovery, which never sends a list: the processes serve from the cached one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Calls get no response.
    Silent,
    /// Nothing listens.
    Refusing,
    /// Each connection is closed after its call.
    Closing,
    /// Calls get an error.
    Failing,
}

/// A signal that is sent to the old process.
#[derive(Clone, Copy, Debug)]
pub struct TimedSignal {
    /// The time from the first SIGTERM; the signal comes that long before it if `is_before` is set.
    pub offset: Duration,
    /// Whether the signal comes before the first SIGTERM.
    pub is_before: bool,
    /// The signal as an option of `kill`.
    pub signal: &'static str,
}

/// One play.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed.
    pub seed: u64,
    /// Whether a successor takes over before SIGTERM.
    pub has_successor: bool,
    /// The connections that send a part of a head and no more.
    pub unfinished_heads: usize,
    /// The behaviour of one of the backends.
    pub bad_backend: BadBackend,
    /// Whether a backend is taken out of service by operators.
    pub has_maintenance: bool,
    /// Whether some request bodies are long enough to be streamed.
    pub has_streamed_bodies: bool,
    /// The longest deadline of a request.
    pub longest_deadline: Duration,
    /// The time of service before SIGTERM.
    pub service: Duration,
    /// The signals beside the first SIGTERM.
    pub signals: Vec<TimedSignal>,
    /// The behaviour of discovery.
    pub discovery: Discovery,
}

impl Scenario {
    /// Draws the play of a seed.
    pub fn draw(seed: u64) -> Self {
        let random = &mut SmallRng::seed_from_u64(seed);
        let milliseconds = |random: &mut SmallRng, range| Duration::from_millis(random.random_range(range));
        let has_crowd = random.random_bool(0.3);
        Self {
            seed,
            has_successor: random.random_bool(0.5),
            unfinished_heads: if has_crowd { random.random_range(100..300) } else { 0 },
            bad_backend: match random.random_range(0..4) {
                0 => BadBackend::Resetting,
                1 => BadBackend::Silent,
                _ => BadBackend::None,
            },
            has_maintenance: random.random_bool(0.4),
            has_streamed_bodies: random.random_bool(0.4),
            longest_deadline: milliseconds(random, 600..2000),
            service: milliseconds(random, 400..900),
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
    pub fn kill_delay(&self) -> Duration {
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
