//! Records the polls and responses of each proxy, and the list version that each proxy has acknowledged.

use crate::error::Error;
use crate::instance::FIRST_LIST_VERSION;
use crate::latency::LatencyHistogram;
use std::time::{Duration, Instant};

/// Maximum propagation latency that a histogram distinguishes; a longer latency is recorded as this maximum.
const MAX_RECORDED_PROPAGATION: Duration = Duration::from_secs(600);

/// Poll and byte counts of one proxy since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollCounts {
    /// Number of polls.
    pub polls: u64,
    /// Total size of the polls, in bytes.
    pub poll_bytes: u64,
    /// Total size of the responses, in bytes.
    pub response_bytes: u64,
}

/// Kind of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// A poll arrived.
    Poll,
    /// A part of a response was written.
    Response,
}

/// A recorded transfer.
#[derive(Clone, Copy, Debug)]
pub struct TrafficEvent {
    /// Time of the transfer.
    pub at: Instant,
    /// Kind of the transfer.
    pub transfer: Transfer,
    /// Size of the transfer, in bytes.
    pub bytes: usize,
}

/// Histograms of the time from a change at discovery until the change is in force.
#[derive(Debug)]
pub struct PropagationLatency {
    /// Latency of each change at each proxy.
    pub per_proxy: LatencyHistogram,
    /// Latency of each change at the last of all proxies.
    pub last_proxy: LatencyHistogram,
}

impl PropagationLatency {
    fn new() -> Result<Self, Error> {
        let empty = || LatencyHistogram::with_max(MAX_RECORDED_PROPAGATION);
        Ok(Self { per_proxy: empty()?, last_proxy: empty()? })
    }
}

/// A published version of the list after the first version.
struct PublishedVersion {
    at: Instant,
    /// Number of proxies that have not acknowledged the version.
    pending_proxies: usize,
}

/// Counts the polls, and measures the time until the proxies acknowledge each version.
pub struct PollLog {
    published: Vec<PublishedVersion>,
    /// The version that each proxy last acknowledged.
    acknowledged: Vec<u64>,
    last_acknowledged_at: Instant,
    counts: Vec<PollCounts>,
    propagation: PropagationLatency,
    /// Transfers since the start of the recording; `None` while transfers are not recorded.
    traffic: Option<Vec<TrafficEvent>>,
}

impl PollLog {
    /// Creates an empty log for `proxies` proxies, which all have the first version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Histogram`] if a histogram cannot be created.
    pub fn new(proxies: usize) -> Result<Self, Error> {
        Ok(Self {
            published: Vec::new(),
            acknowledged: vec![FIRST_LIST_VERSION; proxies],
            last_acknowledged_at: Instant::now(),
            counts: vec![PollCounts::default(); proxies],
            propagation: PropagationLatency::new()?,
            traffic: None,
        })
    }

    /// Records a new version of the list, which no proxy has acknowledged yet.
    pub fn publish(&mut self) {
        let pending_proxies = self.acknowledged.len();
        self.published.push(PublishedVersion { at: Instant::now(), pending_proxies });
    }

    /// Records a poll of a proxy. The poll acknowledges the version that it names.
    pub fn record_poll(&mut self, proxy: usize, since: Option<u64>, bytes: usize) {
        let now = Instant::now();
        let counts = &mut self.counts[proxy];
        counts.polls += 1;
        counts.poll_bytes += bytes as u64;
        self.record(TrafficEvent { at: now, transfer: Transfer::Poll, bytes });
        if let Some(version) = since {
            self.acknowledge(proxy, version, now);
        }
    }

    fn acknowledge(&mut self, proxy: usize, version: u64, now: Instant) {
        let previous = self.acknowledged[proxy];
        let newest = FIRST_LIST_VERSION + self.published.len() as u64;
        if version <= previous || version > newest {
            return;
        }
        self.acknowledged[proxy] = version;
        self.last_acknowledged_at = now;
        let first = (previous - FIRST_LIST_VERSION) as usize;
        let end = (version - FIRST_LIST_VERSION) as usize;
        for published in &mut self.published[first..end] {
            let latency = now.duration_since(published.at);
            self.propagation.per_proxy.record(latency);
            published.pending_proxies -= 1;
            if published.pending_proxies == 0 {
                self.propagation.last_proxy.record(latency);
            }
        }
    }

    /// Records bytes of a response to a proxy.
    pub fn record_response(&mut self, proxy: usize, bytes: usize) {
        self.counts[proxy].response_bytes += bytes as u64;
        self.record(TrafficEvent { at: Instant::now(), transfer: Transfer::Response, bytes });
    }

    fn record(&mut self, event: TrafficEvent) {
        if let Some(traffic) = &mut self.traffic {
            traffic.push(event);
        }
    }

    /// Returns the poll and byte counts of each proxy.
    pub fn counts(&self) -> &[PollCounts] {
        &self.counts
    }

    /// Returns the number of missing acknowledgements, summed over all versions and proxies.
    pub fn pending_acknowledgements(&self) -> usize {
        self.published.iter().map(|published| published.pending_proxies).sum()
    }

    /// Returns the time at which a proxy last acknowledged a new version.
    pub fn last_acknowledged_at(&self) -> Instant {
        self.last_acknowledged_at
    }

    /// Returns and removes the latencies that were measured since the last call.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Histogram`] if a histogram cannot be created.
    pub fn take_propagation(&mut self) -> Result<PropagationLatency, Error> {
        Ok(std::mem::replace(&mut self.propagation, PropagationLatency::new()?))
    }

    /// Starts recording all transfers.
    pub fn start_recording(&mut self) {
        self.traffic = Some(Vec::new());
    }

    /// Stops recording and returns the transfers in order of time.
    pub fn stop_recording(&mut self) -> Vec<TrafficEvent> {
        self.traffic.take().unwrap_or_default()
    }
}
