//! Discovery: the watch and fetch calls, and lists in the module's terms.

use super::endpoint_list::{EndpointNames, RawEndpoint, RawEndpointList, zone_index};
use super::maintenance_store::MaintenanceStore;
use crate::BackendId;
use crate::log;
use crate::proxy::clock::Clock;
use crate::proxy::settings::SettingsSnapshot;
use crate::proxy::upstream::connection::{Connection, connect};
use crate::proxy::upstream::request_body::AttemptBody;
use crate::proxy::watch_event::{ListedEndpoint, WatchEvent};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;

// A change counts as told 6 s after discovery had it and could be reached, whatever went before. The
// longest chain up to then: a call swallowed just before the return, the wait after it, a call whose
// answer stops half way, the wait after that, and a call that is answered. A call that follows a
// failure takes up to 0.1 + 1.25 x 1.5 = 1.98 s, and the first to fail, up to 1 + 1.25 x 1 = 2.25 s,
// with connecting in it. In seconds:
//
//     lists pushed, the first call to fail        2.25 + 0.06 + 1.98 + 0.06 = 4.35
//     the same, where calls failed before         1.98 + 0.06 + 1.98 + 0.06 = 4.08
//     and the answer then comes of versions that count anew       4.08 + 1.25 = 5.33
//     lists asked for, the first call to fail     2.25 + 0.38 + 1.98 + 0.38 = 4.99
//     the same, where calls failed before         1.98 + 0.38 + 1.98 + 0.38 = 4.72
//     and the answer then comes of versions that count anew       4.99 + 0.06 = 5.05
//     moved by SIGHUP, lists pushed (of 4 s)      1.25 + 0.06 + 1.88 + 0.06 = 3.25
//     moved by SIGHUP, lists asked for (of 4 s)   1.25 + 0.38 + 1.88 + 0.38 = 3.89
//
// Where lists are asked for, the waits are the module's (`WATCH_WAIT` there). A discovery that
// refuses all calls is called once a second by each proxy, and one that is silent every 1.6 s or,
// where it is asked, 1.85 s: 5,500 and some 3,000 to 3,400 calls a second from 5,500 proxies.

/// Longest wait for news that a watch call asks for: as a rule, and after a failure. Whether
/// discovery is back is news enough then, and a call that is swallowed is to show soon.
const MOST_WATCH: [Duration; 2] = [Duration::from_secs(1), Duration::from_millis(100)];
/// How much longer than that an answer may take, likewise. The agent that answers is on this
/// machine; after a failure it may be slow.
const PATIENCE: [Duration; 2] = [Duration::from_secs(1), Duration::from_millis(1500)];
/// Bounds of the time from the beginning of a call that failed to that of the next, where the module
/// doesn't say when to ask again. What a swallowed call has taken counts, so that there is no
/// further wait behind it; the lower one passes after each failure.
const BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];
/// Patience and waits are spread by this part, lest a whole fleet return at once to a discovery
/// that fell silent for all.
const SPREAD: f64 = 0.25;
/// Largest list taken in.
const MOST_BYTES: usize = 4 << 20;

#[derive(Debug, Error)]
enum CallError {
    #[error("no answer in time")]
    Late,
    #[error("the connection ended")]
    Broken,
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("list: {0}")]
    Json(#[from] serde_json::Error),
}

/// Whoever is told of watch events, and answers what discovery has to know for its calls.
pub trait WatchListener {
    /// WatchEvent of the list.
    fn on_watch_event(&self, news: WatchEvent);
    /// The settings in force.
    fn settings(&self) -> Rc<SettingsSnapshot>;
    /// The clock that watch events are timed by.
    fn clock(&self) -> &Clock;
    /// The backend is still referred to, so that its id must not be forgotten.
    fn is_referenced(&self, backend: BackendId) -> bool;
}

/// Keeps the list of its listener fresh.
pub struct Discovery {
    address: Cell<SocketAddr>,
    listener: Rc<dyn WatchListener>,
    names: RefCell<EndpointNames>,
    /// The version of the list that was last had from this address, if any was.
    generation: Cell<Option<u64>>,
    watch: RefCell<Option<AbortHandle>>,
    /// Goes up when the address changes: what the old one still says is not taken in.
    era: Cell<u64>,
    rng: RefCell<SmallRng>,
    /// The last call of the watch failed.
    failed: Cell<bool>,
    /// Where the names of all that are ever listed are kept, if they are.
    book: Option<Rc<MaintenanceStore>>,
    heard: watch::Sender<bool>,
}

impl Discovery {
    /// One that asks at `address`. Zones are numbered as in these settings. The `seed` spreads its
    /// calls among those of other proxies.
    pub fn new(
        address: SocketAddr,
        seed: u64,
        terms: &SettingsSnapshot,
        listener: Rc<dyn WatchListener>,
        book: Option<Rc<MaintenanceStore>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            names: RefCell::new(EndpointNames::new(terms.proxy.zones.clone())),
            generation: Cell::new(None),
            watch: RefCell::default(),
            era: Cell::new(0),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            failed: Cell::new(false),
            book,
            heard: watch::Sender::new(false),
            listener,
        })
    }

    /// Hands the known list to the listener, and starts the watch where no one has to ask for it.
    pub fn start(self: &Rc<Self>, known: RawEndpointList) {
        self.generation.set(Some(known.generation));
        let listed = self.translate(known.instances);
        self.listener.on_watch_event(WatchEvent::Cached(listed));
        if !self.polls() {
            self.set_watching(true);
        }
    }

    /// Goes by these settings, which have changed. A watch that is on goes on; one is begun if none
    /// is: nobody may have to ask now, or sooner than the module would.
    pub fn settings_changed(self: &Rc<Self>) {
        self.set_watching(true);
    }

    /// The module says when to call again after a failure.
    fn polls(&self) -> bool {
        self.listener.settings().settings.must_poll_endpoints
    }

    /// Without asking for so long, nothing counts as told: no call waits longer for news.
    fn poll_limit(&self) -> Duration {
        Duration::try_from_secs_f64(self.listener.settings().settings.endpoint_poll_limit)
            .unwrap_or(Duration::MAX)
    }

    /// The number of a zone by its name, which it keeps.
    pub fn zone_index(&self, name: &str) -> u32 {
        zone_index(&mut self.names.borrow_mut().zones, name)
    }

    /// Where it is asked.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// The number of a backend by its name.
    pub fn backend_id(&self, name: &str) -> BackendId {
        self.names.borrow_mut().id(name)
    }

    /// Returns once it has answered.
    pub async fn first_response(&self) {
        // The sender is here, so that the wait can't fail.
        let _ = self.heard.subscribe().wait_for(|heard| *heard).await;
    }

    fn translate(&self, raw: Vec<RawEndpoint>) -> Vec<ListedEndpoint> {
        if let Some(book) = &self.book {
            book.record_listed(raw.iter().map(|entry| entry.instance_id.as_str()));
        }
        self.names.borrow_mut().list(raw, self.listener.clock())
    }

    /// Goes over to the discovery at `address`. Its versions are its own, so that the whole list
    /// is asked for at once; until it comes, the last one holds.
    pub fn change_address(self: &Rc<Self>, address: SocketAddr) {
        log!("discovery: now at {address}");
        self.set_watching(false);
        self.address.set(address);
        self.generation.set(None);
        self.failed.set(false);
        self.era.set(self.era.get() + 1);
        self.set_watching(true);
    }

    /// Begins a watch, if none is on, or ends it.
    pub fn set_watching(self: &Rc<Self>, on: bool) {
        let mut watch = self.watch.borrow_mut();
        if !on {
            watch.take().into_iter().for_each(|w| w.abort());
        } else if watch.is_none() {
            *watch = Some(tokio::task::spawn_local(self.clone().watch_loop()).abort_handle());
        }
    }

    /// Asks for the whole list once.
    pub fn fetch_full_list(self: &Rc<Self>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let era = this.era.get();
            let answer = this.call("/api/targets", this.spread(PATIENCE[1]), &mut None).await;
            if this.era.get() == era {
                this.accept(answer);
            }
        });
    }

    /// One call after another: a gap between them would end the watch. Where lists are pushed,
    /// a call that failed is made again after a while; where they must be asked for, the module
    /// is told and says when.
    async fn watch_loop(self: Rc<Self>) {
        let mut peer = None;
        let mut backoff = BACKOFF[0];
        loop {
            let begun = Instant::now();
            let failed = usize::from(self.failed.get());
            let (wait, within) = (MOST_WATCH[failed].min(self.poll_limit()), self.spread(PATIENCE[failed]));
            let answer = match self.generation.get() {
                Some(since) => {
                    let path = format!("/api/targets?since={since}&timeout_ms={}", wait.as_millis());
                    self.call(&path, wait + within, &mut peer).await
                }
                None => self.call("/api/targets", within, &mut peer).await,
            };
            self.failed.set(answer.is_err());
            if answer.is_err() && self.polls() {
                // Over before the module is told: its next call begins a watch of its own.
                *self.watch.borrow_mut() = None;
                self.accept(answer);
                return;
            }
            if self.accept(answer) {
                backoff = BACKOFF[0];
            } else {
                let least = Instant::now() + self.spread(BACKOFF[0]);
                tokio::time::sleep_until(least.max(begun + self.spread(backoff))).await;
                backoff = (2 * backoff).min(BACKOFF[1]);
            }
        }
    }

    fn spread(&self, time: Duration) -> Duration {
        time.mul_f64(1.0 + SPREAD * (2.0 * self.rng.borrow_mut().random::<f64>() - 1.0))
    }

    /// Takes in an answer; the last list is kept if there is none that makes sense. Tells whether
    /// it leaves us with a list that further changes can be asked for. Changes from before what we
    /// have, or where we asked for the whole, come of a discovery that counts anew: what they tell
    /// is told, and holds until the whole list comes, which is asked for next.
    fn accept(&self, answer: Result<RawEndpointList, CallError>) -> bool {
        match answer {
            Ok(list) => {
                let follows = list.reset || self.generation.get().is_some_and(|had| list.generation >= had);
                self.generation.set(follows.then_some(list.generation));
                let listed = self.translate(list.instances);
                let news = if list.reset { WatchEvent::Full(listed) } else { WatchEvent::Changes(listed) };
                self.listener.on_watch_event(news);
                self.heard.send_replace(true);
                self.names.borrow_mut().forget(|id| self.listener.is_referenced(id));
                follows
            }
            Err(error) => {
                log!("discovery: {error}");
                if self.polls() {
                    self.listener.on_watch_event(WatchEvent::Failed);
                }
                false
            }
        }
    }

    /// One call, on the connection kept from the last one if there is one.
    async fn call(
        &self,
        path: &str,
        wait: Duration,
        kept: &mut Option<Connection>,
    ) -> Result<RawEndpointList, CallError> {
        let called = tokio::time::timeout(wait, async {
            let mut peer = match kept.take().and_then(Connection::into_reusable) {
                Some(peer) => peer,
                None => connect(self.address.get(), wait).await.map_err(CallError::Connect)?,
            };
            let request = Request::get(path).header("host", self.address.get().to_string());
            let Ok(request) = request.body(AttemptBody::empty()) else {
                return Err(CallError::Status(0)); // a path of ours is always valid
            };
            let answer = peer.send(request).await.ok_or(CallError::Broken)?.map_err(|e| e.into_error())?;
            let (status, body) = (answer.status(), Limited::new(answer.into_body(), MOST_BYTES));
            let body = peer.drive(body.collect()).await.ok_or(CallError::Broken)?.map_err(CallError::Body)?;
            if !status.is_success() {
                return Err(CallError::Status(status.as_u16()));
            }
            *kept = peer.into_reusable();
            Ok(serde_json::from_slice(&body.to_bytes())?)
        });
        called.await.unwrap_or(Err(CallError::Late))
    }
}
