//! A stand-in discovery in this process: lists and watches as the operators' protocol has them, an
//! address for each proxy, so that what each of them asks for and is sent is counted apart.
//!
//! A change is *in force* at a proxy once its next call names that version (`since=`): only then has
//! it taken the answer in. What is seen so is later than the fact by that call's way here.

use crate::error::Error;
use crate::process::{Use, addresses};
use crate::serve::{Background, read_head};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Longest wait that a watch gets, by the protocol.
const MOST_WAIT: Duration = Duration::from_secs(60);
/// The version that a list begins with.
const FIRST: u64 = 1;
/// An address that can't be taken back yet is tried again after this.
const AGAIN: Duration = Duration::from_millis(2);
/// Largest time that is told apart, in microseconds.
const MOST_MICROS: u64 = 600_000_000;

/// State of a listed backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// It takes requests.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone; only changes tell of it.
    Deleted,
}

/// An entry of a list, in discovery's form.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// Its name.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// Its zone.
    pub zone: &'static str,
    /// Its kind of machine.
    pub machine_type: &'static str,
    /// Its cell.
    pub cell: usize,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its last start, in Unix time, milliseconds; 0 is long ago.
    pub started_at_ms: u64,
}

/// Backends at these addresses, spread over three zones.
pub fn instances(at: impl Iterator<Item = SocketAddr>) -> Vec<Instance> {
    let instance = |(i, host_port): (usize, SocketAddr)| Instance {
        // Names as alike as those of the operators' example.
        instance_id: format!("s-{:08x}", (i as u32).wrapping_mul(0x9e37_79b1)),
        host_port,
        zone: ["a", "b", "c"][i % 3],
        machine_type: "m2",
        cell: i % 9,
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started_at_ms: 0,
    };
    at.enumerate().map(instance).collect()
}

/// A list as it is written, or what has changed of it.
#[derive(Debug, Serialize)]
pub struct List<I> {
    /// Its version.
    pub generation: u64,
    /// It is whole.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<I>,
}

impl<'a> List<&'a Instance> {
    /// The list that a proxy knows from before its start.
    pub fn known(instances: &'a [Instance]) -> Self {
        Self { generation: FIRST, reset: true, instances: instances.iter().collect() }
    }
}

/// Something new in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// A backend's weight is another one.
    Weight(usize, f64),
    /// A backend drains.
    Drain(usize),
    /// A backend that drained serves again, just started.
    Return(usize),
    /// A backend that drained is gone, and a new one stands in its place.
    Replace(usize),
}

/// How discovery is there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It answers so much later than it would.
    Slow(Duration),
    /// It takes calls and says nothing; what it holds, it answers when it is back.
    Silent,
    /// Its connections are cut, and new ones refused.
    Refusing,
}

/// What one proxy has called for and been sent since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Calls.
    pub calls: u64,
    /// Bytes of them.
    pub received: u64,
    /// Bytes of the answers.
    pub sent: u64,
}

/// A moment at which something went to or fro.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// When.
    pub at: Instant,
    /// A call came.
    pub call: bool,
    /// Bytes, in or out.
    pub bytes: usize,
}

/// How long changes took to be in force, from the moment that discovery had them.
#[derive(Debug)]
pub struct InForce {
    /// At each proxy, in microseconds.
    pub each: Histogram<u64>,
    /// At the last proxy of all, in microseconds.
    pub all: Histogram<u64>,
}

impl InForce {
    fn new() -> Result<Self, Error> {
        let histogram = || {
            Histogram::new_with_bounds(1, MOST_MICROS, 3)
                .map_err(|error| Error::Failed(format!("histogram: {error}")))
        };
        Ok(Self { each: histogram()?, all: histogram()? })
    }
}

/// A version of the list, and who lacks it.
struct Version {
    at: Instant,
    lacking: usize,
}

struct State {
    instances: Vec<Instance>,
    /// The version in which each of them last changed.
    changed: Vec<u64>,
    /// Changes up to this version are not known any more.
    forgotten: u64,
    /// The versions after the first.
    versions: Vec<Version>,
    /// Answers of the present version, by the version that was named; None is the whole list.
    answers: HashMap<Option<u64>, Arc<[u8]>>,
    /// The version that each proxy last named.
    named: Vec<u64>,
    /// When one last named a new version.
    last_named: Instant,
    counts: Vec<Counts>,
    in_force: InForce,
    traffic: Option<Vec<Traffic>>,
}

impl State {
    fn version(&self) -> u64 {
        FIRST + self.versions.len() as u64
    }

    /// The answer to who has this version, or none.
    fn answer(&mut self, since: Option<u64>) -> Result<Arc<[u8]>, serde_json::Error> {
        let version = self.version();
        let since = since.filter(|since| (self.forgotten..=version).contains(since));
        if let Some(answer) = self.answers.get(&since) {
            return Ok(answer.clone());
        }
        let pairs = self.instances.iter().zip(&self.changed);
        let wanted = pairs.filter(|(instance, changed)| match since {
            Some(since) => **changed > since,
            None => instance.lifecycle != Lifecycle::Deleted,
        });
        let instances = wanted.map(|(instance, _)| instance).collect();
        let body = serde_json::to_vec(&List { generation: version, reset: since.is_none(), instances })?;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let answer: Arc<[u8]> = [head.as_bytes(), &body].concat().into();
        self.answers.insert(since, answer.clone());
        Ok(answer)
    }

    fn call(&mut self, proxy: usize, since: Option<u64>, bytes: usize) {
        let now = Instant::now();
        let counts = &mut self.counts[proxy];
        counts.calls += 1;
        counts.received += bytes as u64;
        if let Some(traffic) = &mut self.traffic {
            traffic.push(Traffic { at: now, call: true, bytes });
        }
        let named = self.named[proxy];
        let Some(since) = since.filter(|since| *since > named && *since <= self.version()) else {
            return;
        };
        self.named[proxy] = since;
        self.last_named = now;
        for version in &mut self.versions[(named - FIRST) as usize..(since - FIRST) as usize] {
            let took = now.duration_since(version.at).as_micros() as u64;
            self.in_force.each.saturating_record(took);
            version.lacking -= 1;
            if version.lacking == 0 {
                self.in_force.all.saturating_record(took);
            }
        }
    }

    fn sent(&mut self, proxy: usize, bytes: usize) {
        self.counts[proxy].sent += bytes as u64;
        if let Some(traffic) = &mut self.traffic {
            traffic.push(Traffic { at: Instant::now(), call: false, bytes });
        }
    }
}

/// What all connections share.
struct Shared {
    state: Mutex<State>,
    /// The mode and the version; both wake who waits.
    situation: watch::Sender<(Mode, u64)>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        // What is counted stays right where a thread that held it has panicked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The answer to a call, when it is time for it.
    async fn answer(&self, since: Option<u64>, wait: Duration) -> Result<Arc<[u8]>, serde_json::Error> {
        let mut situation = self.situation.subscribe();
        let news = |version: u64| since.is_none_or(|since| since != version);
        // The sender is here, so that these waits can't fail.
        if since.is_some() {
            let waited = situation.wait_for(|(mode, version)| *mode != Mode::Silent && news(*version));
            let _ = tokio::time::timeout(wait, waited).await;
        }
        let _ = situation.wait_for(|(mode, _)| *mode != Mode::Silent).await;
        let mode = situation.borrow().0;
        if let Mode::Slow(by) = mode {
            tokio::time::sleep(by).await;
        }
        self.state().answer(since)
    }
}

/// What is asked for: the version that is named, and how long to wait.
fn parse(path: &str) -> Option<(Option<u64>, Duration)> {
    let query = match path.strip_prefix("/api/targets")? {
        "" => return Some((None, Duration::ZERO)),
        rest => rest.strip_prefix('?')?,
    };
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(n, _)| *n == name).find_map(|(_, value)| value.parse::<u64>().ok())
    };
    let wait = Duration::from_millis(value("timeout_ms").unwrap_or(0));
    Some((value("since"), wait.min(MOST_WAIT)))
}

/// Answers what comes on one connection, until it ends.
async fn talk(shared: &Shared, proxy: usize, stream: &mut TcpStream) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(stream, &mut buffer).await? {
        let asked = parse(&head.path);
        let Some((since, wait)) = asked else {
            shared.state().call(proxy, None, head.bytes);
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        };
        shared.state().call(proxy, since, head.bytes);
        let answer = tokio::select! {
            answer = shared.answer(since, wait) => answer.map_err(std::io::Error::other)?,
            // Whoever gives up waiting closes; one call at a time is all that proxies write.
            _ = stream.read_buf(&mut buffer) => return Ok(()),
        };
        let mut rest = &*answer;
        while !rest.is_empty() {
            let written = stream.write(rest).await?;
            shared.state().sent(proxy, written);
            rest = &rest[written..];
        }
    }
    Ok(())
}

/// Holds the address of one proxy's discovery, while there is one.
async fn listen(shared: Arc<Shared>, proxy: usize, at: SocketAddr, first: StdListener) {
    let mut situation = shared.situation.subscribe();
    let mut listener = TcpListener::from_std(first);
    loop {
        let bound = match listener {
            Ok(bound) => bound,
            Err(error) => {
                tracing::warn!("discovery: {at}: {error}");
                tokio::time::sleep(AGAIN).await;
                listener = TcpListener::bind(at).await;
                continue;
            }
        };
        loop {
            let accepted = tokio::select! {
                accepted = bound.accept() => accepted,
                _ = situation.wait_for(|(mode, _)| *mode == Mode::Refusing) => break,
            };
            let Ok((mut stream, _)) = accepted.inspect_err(|error| tracing::warn!("discovery: {error}"))
            else {
                tokio::time::sleep(AGAIN).await;
                continue;
            };
            let _ = stream.set_nodelay(true); // it still works if not
            let shared = shared.clone();
            tokio::spawn(async move {
                let mut situation = shared.situation.subscribe();
                tokio::select! {
                    ended = talk(&shared, proxy, &mut stream) => if let Err(error) = ended {
                        tracing::debug!("discovery: {error}");
                    },
                    _ = situation.wait_for(|(mode, _)| *mode == Mode::Refusing) => {}
                }
            });
        }
        drop(bound);
        let _ = situation.wait_for(|(mode, _)| *mode != Mode::Refusing).await; // the sender is in `shared`
        listener = TcpListener::bind(at).await;
    }
}

/// A discovery that runs on a thread of its own, until it is dropped.
pub struct Discovery {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    _thread: Background,
}

impl Discovery {
    /// One that lists these, for so many proxies.
    pub fn start(instances: Vec<Instance>, proxies: usize) -> Result<Self, Error> {
        let addresses: Vec<_> = addresses(Use::Discovery, proxies).collect();
        let mut listeners = Vec::new();
        for &at in &addresses {
            let listener = StdListener::bind(at)?;
            listener.set_nonblocking(true)?;
            listeners.push((at, listener));
        }
        let state = State {
            changed: vec![FIRST; instances.len()],
            instances,
            forgotten: FIRST,
            versions: Vec::new(),
            answers: HashMap::new(),
            named: vec![FIRST; proxies],
            last_named: Instant::now(),
            counts: vec![Counts::default(); proxies],
            in_force: InForce::new()?,
            traffic: None,
        };
        let situation = watch::Sender::new((Mode::Up, FIRST));
        let shared = Arc::new(Shared { state: Mutex::new(state), situation });
        let served = shared.clone();
        let thread = Background::start("discovery", move || {
            for (proxy, (at, listener)) in listeners.into_iter().enumerate() {
                tokio::spawn(listen(served.clone(), proxy, at, listener));
            }
        })?;
        Ok(Self { shared, addresses, _thread: thread })
    }

    /// Where each proxy finds it.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Has this change from now on, as a version of its own.
    pub fn change(&self, change: Change) {
        let mut state = self.shared.state();
        let version = state.version() + 1;
        let (Change::Weight(i, _) | Change::Drain(i) | Change::Return(i) | Change::Replace(i)) = change;
        match change {
            Change::Weight(_, weight) => state.instances[i].weight = weight,
            Change::Drain(_) => state.instances[i].lifecycle = Lifecycle::Draining,
            Change::Return(_) => {
                state.instances[i].lifecycle = Lifecycle::Serving;
                state.instances[i].started_at_ms = unix_millis();
            }
            Change::Replace(_) => {
                let new = Instance {
                    instance_id: format!("r-{version:08x}"),
                    lifecycle: Lifecycle::Serving,
                    started_at_ms: unix_millis(),
                    ..state.instances[i].clone()
                };
                state.instances[i].lifecycle = Lifecycle::Deleted;
                state.instances.push(new);
                state.changed.push(version);
            }
        }
        state.changed[i] = version;
        let lacking = state.named.len();
        state.versions.push(Version { at: Instant::now(), lacking });
        state.answers.clear();
        drop(state);
        self.shared.situation.send_modify(|(_, told)| *told = version);
    }

    /// Forgets what came when: whoever lacks a version is sent the whole list.
    pub fn forget(&self) {
        let mut state = self.shared.state();
        state.forgotten = state.version();
        state.answers.clear();
    }

    /// From now on it is there like this.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.situation.send_modify(|(now, _)| *now = mode);
    }

    /// The entries that are listed, by their place, those that are gone left out.
    pub fn serving(&self) -> Vec<usize> {
        let state = self.shared.state();
        let places = state.instances.iter().enumerate();
        places.filter(|(_, i)| i.lifecycle == Lifecycle::Serving).map(|(place, _)| place).collect()
    }

    /// How many entries the whole list has.
    pub fn listed(&self) -> usize {
        let state = self.shared.state();
        state.instances.iter().filter(|i| i.lifecycle != Lifecycle::Deleted).count()
    }

    /// What each proxy has called for and been sent.
    pub fn counts(&self) -> Vec<Counts> {
        self.shared.state().counts.clone()
    }

    /// How often a proxy lacks a version that there is.
    pub fn lacking(&self) -> usize {
        self.shared.state().versions.iter().map(|version| version.lacking).sum()
    }

    /// When a proxy last named a version that it had lacked.
    pub fn last_named(&self) -> Instant {
        self.shared.state().last_named
    }

    /// Takes what was seen of changes in force since the last time.
    pub fn take_in_force(&self) -> Result<InForce, Error> {
        Ok(std::mem::replace(&mut self.shared.state().in_force, InForce::new()?))
    }

    /// Begins to note all that goes to and fro.
    pub fn note_traffic(&self) {
        self.shared.state().traffic = Some(Vec::new());
    }

    /// Ends that, and tells what was noted, in the order of time.
    pub fn take_traffic(&self) -> Vec<Traffic> {
        self.shared.state().traffic.take().unwrap_or_default()
    }
}

fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
