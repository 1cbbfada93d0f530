//! The one place where the module meets the sockets: its clock, its timers, the open requests
//! and their attempts. Events become calls of the module, its actions become I/O, and every
//! request gets exactly one final answer.

use super::clock::Clock;
use super::control::discovery::{Discovery, WatchListener};
use super::limits::Budget;
use super::metrics::Metrics;
use super::settings::SettingsSnapshot;
use super::upstream::attempt::{self, AttemptResult};
use super::upstream::forwarded_request::ForwardedRequest;
use super::upstream::load_report;
use super::upstream::pool::ConnectionPool;
use super::upstream::response_body::BackendResponse;
use super::watch_event::{ListedEndpoint, WatchEvent};
use crate::log;
use crate::{
    Action, BackendId, Balancer, EndedAttempt, Endpoint, EndpointUpdate, Event, LoadReport, Outcome, Request,
    RequestId, Status, Time,
};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// Time kept for the way of an answer to the client, in seconds: the module's last word comes
/// this long before the client gives up, and the engine's own, if there was none, at half of it.
const ANSWER_WAY: Time = 0.006;
/// Largest allowance for waiting in this process, in seconds.
const MOST_LAG: Time = 0.1;
/// Part of the grace of a drain after which a send that was decided before is not made.
const GRACE_USED: f64 = 0.5;
/// A task that has panicked begins anew after so long, lest one that always does takes the core.
const AFTER_PANIC: Duration = Duration::from_millis(10);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// The final answer to a request.
pub enum FinalResponse {
    /// What a backend answered.
    Success(BackendResponse),
    /// Not done; trying again is harmless, after so long if that is said.
    Rejected(Option<Time>),
    /// It may have been done.
    Failed,
}

/// What falls due.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(u64),
    /// What has not been written whole by now must never be.
    Unwritten(RequestId, usize),
    Attempt(RequestId, usize),
    Request(RequestId),
}

/// A point in time that can be sorted.
#[derive(Debug, PartialEq)]
struct At(Time);

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// An event that owns what it tells.
enum PendingEvent {
    Event(Event<'static>),
    List(WatchEvent),
    Settings(Rc<SettingsSnapshot>),
}

struct Open {
    /// The id that the client gave it.
    txn: u64,
    answer: oneshot::Sender<FinalResponse>,
    payload: Rc<ForwardedRequest>,
    /// When it must have its answer; without end while its body is coming.
    until: Time,
    /// How long it is waited for once that has come.
    patience: Time,
    attempts: usize,
    /// The settings that it came with, by which it ends.
    terms: Rc<SettingsSnapshot>,
}

struct Running {
    backend: BackendId,
    sent: Time,
    /// It has been written whole: it may run. One that has not never will, once its task is ended.
    written: Rc<Cell<bool>>,
    task: AbortHandle,
}

struct State {
    balancer: Balancer,
    told: VecDeque<PendingEvent>,
    timers: BinaryHeap<Reverse<(At, u64, Due)>>,
    timers_set: u64,
    /// Requests without a final answer, by a number that is never used twice: the ids of clients
    /// may come again, while an attempt of an answered request of that id is still out.
    open: HashMap<RequestId, Open>,
    /// The clients' ids of those.
    in_use: HashSet<u64>,
    requests: u64,
    running: HashMap<(RequestId, usize), Running>,
    endpoints: HashMap<BackendId, Rc<ConnectionPool>>,
    /// Backends taken out by hand, and when sends to them must end.
    out: HashMap<BackendId, Time>,
    /// All must have their answers by then, as the process ends.
    last: Time,
}

impl State {
    /// An attempt that is out has been written whole; None of one that has ended.
    fn written(&self, id: RequestId, attempt: usize) -> Option<bool> {
        self.running.get(&(id, attempt)).map(|running| running.written.get())
    }
}

/// Drives the module.
pub struct Engine {
    this: Weak<Engine>,
    state: RefCell<State>,
    clock: Clock,
    timer_set: Notify,
    /// How late timers have fired of late: as long may a request have waited to be read.
    lag: Cell<Time>,
    listed: Cell<bool>,
    discovery: RefCell<Weak<Discovery>>,
    budget: Rc<Budget>,
    figures: Rc<Metrics>,
    /// The settings in force. All that goes by settings takes them from here, so that they change
    /// for all of it at once.
    terms: RefCell<Rc<SettingsSnapshot>>,
}

impl Engine {
    /// An engine with a module of its own, and its timers running. At most `connections` to
    /// backends are open at once.
    pub fn start(
        terms: Rc<SettingsSnapshot>,
        seed: u64,
        connections: usize,
        figures: Rc<Metrics>,
    ) -> Rc<Self> {
        let clock = Clock::start();
        let engine = Rc::new_cyclic(|this| Self {
            this: this.clone(),
            clock,
            timer_set: Notify::new(),
            lag: Cell::new(0.0),
            listed: Cell::new(false),
            discovery: RefCell::default(),
            budget: Budget::new(connections),
            figures,
            state: RefCell::new(State {
                balancer: Balancer::new(clock.now(), seed, terms.settings.clone()),
                told: VecDeque::new(),
                timers: BinaryHeap::new(),
                timers_set: 0,
                open: HashMap::new(),
                in_use: HashSet::new(),
                requests: 0,
                running: HashMap::new(),
                endpoints: HashMap::new(),
                out: HashMap::new(),
                last: Time::INFINITY,
            }),
            terms: RefCell::new(terms),
        });
        let (timers, sweep) = (engine.clone(), engine.clone());
        tokio::task::spawn_local(kept_up(move || timers.clone().run_timers()));
        tokio::task::spawn_local(kept_up(move || sweep.clone().sweep()));
        engine
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<SettingsSnapshot> {
        self.terms.borrow().clone()
    }

    /// From now on these settings are in force, here, in the module and in the figures. Requests that
    /// are open end by those that they came with, and connections stay.
    pub fn apply_settings(&self, terms: SettingsSnapshot) {
        let terms = Rc::new(terms);
        let mut state = self.state.borrow_mut();
        self.terms.replace(terms.clone());
        self.figures.settings_applied(&terms.proxy);
        state
            .endpoints
            .values()
            .for_each(|e| e.set_timeouts(terms.proxy.connect_timeout, terms.proxy.idle_timeout));
        state.told.push_back(PendingEvent::Settings(terms));
        self.decide(state);
    }

    /// The longest deadline of all settings that open requests came with, or one to come may.
    pub fn longest_deadline(&self) -> Time {
        let state = self.state.borrow();
        state
            .open
            .values()
            .map(|open| open.terms.longest_deadline())
            .fold(self.terms.borrow().longest_deadline(), Time::max)
    }

    /// The time after news of a drain, or a ban, in which what was decided before may be sent.
    fn grace(&self) -> Time {
        GRACE_USED * self.terms.borrow().proxy.drain_grace_period.as_secs_f64()
    }

    /// Whom to ask for the list.
    pub fn set_discovery(&self, discovery: &Rc<Discovery>) {
        *self.discovery.borrow_mut() = Rc::downgrade(discovery);
    }

    /// A backend is taken out by hand, or may serve again.
    pub fn set_maintenance(&self, backend: BackendId, out: bool) {
        let mut state = self.state.borrow_mut();
        let last_send = self.clock.now() + self.grace();
        match out {
            true => drop(state.out.entry(backend).or_insert(last_send)),
            false => drop(state.out.remove(&backend)),
        }
        let until = state.out.get(&backend).copied();
        state.endpoints.get(&backend).into_iter().for_each(|e| e.set_maintenance_deadline(until));
        state.told.push_back(PendingEvent::Event(Event::Maintenance { backend, out }));
        self.decide(state);
    }

    /// From now on there is room for so many connections to backends; idle ones beyond are closed.
    pub fn set_connection_limit(&self, connections: usize) {
        self.budget.set_limit(connections);
        let state = self.state.borrow();
        while self.budget.is_exceeded() && evict(&state.endpoints) {}
    }

    /// There is a list to go by.
    pub fn has_endpoints(&self) -> bool {
        self.listed.get()
    }

    /// What is counted.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.figures
    }

    /// What has been counted, and what the module says of the list, as a line of JSON.
    pub fn metrics_json(&self) -> serde_json::Result<String> {
        let balancer = &self.state.borrow().balancer;
        self.figures.to_json(balancer.backends_listed(), balancer.backends_avoided())
    }

    /// A request of this name has not been answered yet.
    pub fn client_id_in_use(&self, txn: u64) -> bool {
        self.state.borrow().in_use.contains(&txn)
    }

    /// Takes in a request, named `txn` by its client, which will wait for `request.budget` seconds.
    /// The answer comes to the receiver in that time. None if the name is in use.
    pub fn submit(
        &self,
        txn: u64,
        mut request: Request,
        payload: ForwardedRequest,
    ) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)> {
        let (answer, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        if state.in_use.contains(&txn) {
            return None;
        }
        state.requests += 1;
        request.id = RequestId(state.requests);
        let terms = self.settings();
        if state.open.len() >= terms.proxy.max_open_requests {
            let _ = answer.send(FinalResponse::Rejected(None)); // the receiver is still here
            return Some((request.id, receiver));
        }
        state.in_use.insert(txn);
        let now = self.clock.now();
        // The client has waited since it sent, so for as long as the request lay unread too.
        request.timeout -= self.lag.get();
        let patience = request.timeout - 0.5 * ANSWER_WAY;
        request.timeout -= ANSWER_WAY;
        let until = if request.streaming_body { Time::INFINITY } else { now + patience }.min(state.last);
        let payload = Rc::new(payload);
        state.open.insert(request.id, Open { txn, answer, payload, until, patience, attempts: 0, terms });
        if until.is_finite() {
            self.set_timer(&mut state, until, Due::Request(request.id));
        }
        state.told.push_back(PendingEvent::Event(Event::Request(request)));
        let id = request.id;
        self.decide(state);
        Some((id, receiver))
    }

    /// The body of a request that was streamed has come whole.
    pub fn body_received(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let (now, last) = (self.clock.now(), state.last);
        let Some(open) = state.open.get_mut(&id) else {
            return;
        };
        open.until = (now + open.patience).min(last);
        let (until, attempts) = (open.until, open.attempts);
        self.set_timer(&mut state, until, Due::Request(id));
        for attempt in 0..attempts {
            self.set_timer(&mut state, until, Due::Attempt(id, attempt));
        }
        state.told.push_back(PendingEvent::Event(Event::BodyReceived(id)));
        self.decide(state);
    }

    /// The process ends: all requests, those to come too, have their answers by then.
    pub fn finish_by(&self, last: Instant) {
        let mut state = self.state.borrow_mut();
        let last = last.saturating_duration_since(self.clock.start_instant()).as_secs_f64();
        state.last = last;
        let late = state.open.iter_mut().filter(|(_, open)| open.until > last);
        let late: Vec<_> = late.map(|(id, open)| (*id, open.until = last).0).collect();
        late.into_iter().for_each(|id| self.set_timer(&mut state, last, Due::Request(id)));
    }

    /// Another process takes requests of the same clients beside this one, or no longer does.
    pub fn second_process(&self, beside: bool) {
        let mut state = self.state.borrow_mut();
        state.told.push_back(PendingEvent::Event(Event::SecondProcess(beside)));
        self.decide(state);
    }

    /// The client has left. Nothing happens if the request has had its answer.
    pub fn client_disconnected(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        if close(&mut state, id).is_some() {
            state.told.push_back(PendingEvent::Event(Event::ClientDisconnected(id)));
            self.decide(state);
        }
    }

    /// An attempt has ended by itself.
    fn attempt_done(&self, id: RequestId, attempt: usize, done: AttemptResult) {
        let mut state = self.state.borrow_mut();
        self.ended(&mut state, id, attempt, done);
        self.decide(state);
    }

    /// Tells the module of the end of an attempt, once, and the client of the first answer.
    fn ended(&self, state: &mut State, id: RequestId, attempt: usize, done: AttemptResult) {
        let Some(running) = state.running.remove(&(id, attempt)) else {
            return; // ended otherwise before
        };
        running.task.abort();
        if state.open.get(&id).is_some_and(|open| open.payload.is_consumed()) {
            state.told.push_back(PendingEvent::Event(Event::BodyConsumed(id)));
        }
        if let Some(served) = done.served
            && let Some(open) = close(state, id)
        {
            let _ = open.answer.send(FinalResponse::Success(served)); // if it has left, its guard tells
        }
        state.told.push_back(PendingEvent::Event(Event::AttemptEnded(EndedAttempt {
            id,
            backend: running.backend,
            attempt,
            outcome: done.outcome,
            duration: self.clock.now() - running.sent,
            request_finished: !state.open.contains_key(&id),
            report: done.report,
        })));
    }

    fn probed(&self, backend: BackendId, outcome: Outcome, report: Option<LoadReport>) {
        let mut state = self.state.borrow_mut();
        state.told.push_back(PendingEvent::Event(Event::HealthCheckEnded { backend, outcome, report }));
        self.decide(state);
    }

    /// Lets the module decide on all that it has not been told yet.
    fn decide(&self, mut state: std::cell::RefMut<'_, State>) {
        let mut actions = Vec::new();
        while let Some(told) = state.told.pop_front() {
            let now = self.clock.now();
            let entries =
                |list: Vec<ListedEndpoint>| list.into_iter().map(|l| l.endpoint).collect::<Vec<Endpoint>>();
            match told {
                PendingEvent::Event(event) => state.balancer.handle(now, event, &mut actions),
                PendingEvent::Settings(terms) => {
                    state.balancer.handle(now, Event::Settings(&terms.settings), &mut actions);
                }
                PendingEvent::List(news) => {
                    let list;
                    let update = match news {
                        WatchEvent::Changes(l) => {
                            list = entries(l);
                            EndpointUpdate::Changes(&list)
                        }
                        WatchEvent::Full(l) => {
                            list = entries(l);
                            EndpointUpdate::Full(&list)
                        }
                        WatchEvent::Cached(l) => {
                            list = entries(l);
                            EndpointUpdate::Cached(&list)
                        }
                        WatchEvent::Failed => EndpointUpdate::Failed,
                    };
                    state.balancer.handle(now, Event::Endpoints(update), &mut actions);
                }
            }
            for action in actions.drain(..) {
                self.act(&mut state, action, now);
            }
        }
    }

    fn act(&self, state: &mut State, action: Action, now: Time) {
        match action {
            Action::Send { id, backend, timeout, write_within } => {
                self.send(state, id, backend, timeout, write_within, now);
            }
            Action::Cancel { id, attempt } => {
                let written = state.written(id, attempt) == Some(true);
                let outcome = if written { Outcome::Cancelled } else { Outcome::NotSent };
                self.ended(state, id, attempt, AttemptResult::without_answer(outcome));
            }
            Action::Withdraw { id, attempt } => {
                if state.written(id, attempt) == Some(false) {
                    self.ended(state, id, attempt, AttemptResult::without_answer(Outcome::NotSent));
                }
            }
            Action::Reject { id, retry_after } => answer(state, id, FinalResponse::Rejected(retry_after)),
            Action::Fail { id } => answer(state, id, FinalResponse::Failed),
            Action::SetTimer { at, token } => self.set_timer(state, at, Due::Token(token)),
            Action::HealthCheck(backend) => self.probe(state, backend),
            Action::CloseIdleConnections(backend) => {
                state.endpoints.get(&backend).into_iter().for_each(|e| e.close_idle());
            }
            Action::WatchEndpoints(on) => {
                self.discovery.borrow().upgrade().into_iter().for_each(|d| d.set_watching(on))
            }
            Action::FetchEndpoints => {
                self.discovery.borrow().upgrade().into_iter().for_each(|d| d.fetch_full_list())
            }
            Action::Log(text) => log!("{text}"),
        }
    }

    fn send(
        &self,
        state: &mut State,
        id: RequestId,
        backend: BackendId,
        timeout: Time,
        write_within: Time,
        now: Time,
    ) {
        let endpoint = state.endpoints.get(&backend).cloned();
        let may = |open: &&mut Open| open.attempts < open.terms.settings.max_attempts;
        let open = state.open.get_mut(&id).filter(may);
        let (Some(open), Some(endpoint), Some(engine)) = (open, endpoint, self.this.upgrade()) else {
            let attempt = state.open.get(&id).map_or(0, |open| open.attempts);
            return state.told.push_back(PendingEvent::Event(Event::AttemptEnded(EndedAttempt {
                id,
                backend,
                attempt,
                outcome: Outcome::NotSent,
                duration: 0.0,
                request_finished: !state.open.contains_key(&id),
                report: None,
            })));
        };
        if self.budget.is_full() {
            // Room for a connection that may be needed, at the cost of one that is not.
            evict(&state.endpoints);
        }
        let attempt = open.attempts;
        open.attempts += 1;
        let until = if timeout == 0.0 { open.until } else { (now + timeout).min(open.until) };
        let written = Rc::new(Cell::new(false));
        let (payload, clock) = (open.payload.clone(), self.clock);
        let figures = self.figures.clone();
        // A body that is coming has its time once it has come.
        let wait = if until.is_finite() { until } else { now + open.patience };
        let last = now + write_within;
        let attempted = attempt::attempt(endpoint, payload, clock, wait, last, written.clone(), figures);
        let task = tokio::task::spawn_local(async move {
            let done = attempted.await;
            engine.attempt_done(id, attempt, done);
        });
        let task = task.abort_handle();
        state.running.insert((id, attempt), Running { backend, sent: now, written, task });
        if last < until {
            self.set_timer(state, last, Due::Unwritten(id, attempt));
        }
        if until.is_finite() {
            self.set_timer(state, until, Due::Attempt(id, attempt));
        }
    }

    fn probe(&self, state: &State, backend: BackendId) {
        if let (Some(endpoint), Some(engine)) = (state.endpoints.get(&backend), self.this.upgrade()) {
            let reports = self.terms.borrow().settings.health_checks_for_load_reports;
            let path = if reports { "/-/load" } else { "/-/healthy" };
            let probed = attempt::probe(endpoint.clone(), path, self.clock);
            tokio::task::spawn_local(async move {
                let done = probed.await;
                let body = done.served.as_ref().and_then(|s| load_report::report(s.buffered()?));
                engine.probed(backend, done.outcome, done.report.or(body));
            });
        }
    }

    fn set_timer(&self, state: &mut State, at: Time, due: Due) {
        let first = state.timers.peek().is_none_or(|Reverse((first, ..))| at < first.0);
        state.timers_set += 1;
        state.timers.push(Reverse((At(at), state.timers_set, due)));
        if first {
            self.timer_set.notify_one();
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().timers.peek().map(|Reverse((at, ..))| self.clock.at(at.0));
            match next {
                None => self.timer_set.notified().await,
                Some(next) => tokio::select! {
                    _ = tokio::time::sleep_until(next) => self.fire(),
                    _ = self.timer_set.notified() => {}
                },
            }
        }
    }

    /// Hands out all that is due.
    fn fire(&self) {
        let now = self.clock.now();
        let mut late: Time = 0.0;
        loop {
            let mut state = self.state.borrow_mut();
            let due = state.timers.peek().is_some_and(|Reverse((at, ..))| at.0 <= now);
            let Some(Reverse((at, _, due))) = due.then(|| state.timers.pop()).flatten() else {
                break;
            };
            late = late.max(now - at.0);
            match due {
                Due::Token(token) => state.told.push_back(PendingEvent::Event(Event::Timer(token))),
                Due::Unwritten(id, attempt) => {
                    if state.written(id, attempt) == Some(false) {
                        self.ended(
                            &mut state,
                            id,
                            attempt,
                            AttemptResult::without_answer(Outcome::NoConnection),
                        );
                    }
                }
                Due::Attempt(id, attempt) => {
                    let written = state.written(id, attempt) == Some(true);
                    let outcome = if written { Outcome::Timeout } else { Outcome::NoConnection };
                    self.ended(&mut state, id, attempt, AttemptResult::without_answer(outcome));
                }
                // The module has not answered in time: the client must not be left without.
                Due::Request(id) => {
                    if state.open.contains_key(&id) {
                        answer(&mut state, id, FinalResponse::Failed);
                        state.told.push_back(PendingEvent::Event(Event::ClientDisconnected(id)));
                    }
                }
            }
            self.decide(state);
        }
        self.lag.set(late.max(0.8 * self.lag.get()).min(MOST_LAG));
    }

    async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let mut state = self.state.borrow_mut();
            // Where backends are ever new, the gone ones must not be kept. The map's handle is the
            // last one when no attempt or probe is out.
            let ended = |e: &Rc<ConnectionPool>| Rc::strong_count(e) == 1 && e.is_expired(&self.clock);
            state.endpoints.retain(|_, e| !ended(e));
            state.endpoints.values().for_each(|e| e.close_expired());
        }
    }
}

impl WatchListener for Engine {
    /// WatchEvent of the list.
    fn on_watch_event(&self, news: WatchEvent) {
        let mut state = self.state.borrow_mut();
        let last_send = self.clock.now() + self.grace();
        let listed: &[ListedEndpoint] = match &news {
            WatchEvent::Full(list) | WatchEvent::Cached(list) => {
                let gone = |id: &BackendId| !list.iter().any(|l| l.endpoint.id == *id);
                for (_, endpoint) in state.endpoints.iter().filter(|(id, _)| gone(id)) {
                    endpoint.mark_removed(last_send);
                }
                list
            }
            WatchEvent::Changes(list) => list,
            WatchEvent::Failed => &[],
        };
        for ListedEndpoint { endpoint: entry, address } in listed {
            if entry.status == Status::Removed {
                state.endpoints.get(&entry.id).into_iter().for_each(|e| e.mark_removed(last_send));
                continue;
            }
            let drained = (entry.status != Status::InService).then_some(last_send);
            let out = state.out.get(&entry.id).copied();
            let new = || {
                let (budget, terms) = (self.budget.clone(), self.terms.borrow());
                let new = ConnectionPool::new(
                    *address,
                    budget,
                    terms.proxy.connect_timeout,
                    terms.proxy.idle_timeout,
                );
                new.set_maintenance_deadline(out);
                Rc::new(new)
            };
            state.endpoints.entry(entry.id).or_insert_with(new).update(*address, drained);
        }
        self.listed.set(self.listed.get() || listed.iter().any(|l| l.endpoint.status == Status::InService));
        state.told.push_back(PendingEvent::List(news));
        self.decide(state);
    }

    /// The settings in force.
    fn settings(&self) -> Rc<SettingsSnapshot> {
        Engine::settings(self)
    }

    /// The module's clock.
    fn clock(&self) -> &Clock {
        &self.clock
    }

    /// It has been listed, and not been gone for longer than sends to it may take, or is out.
    fn is_referenced(&self, backend: BackendId) -> bool {
        let state = self.state.borrow();
        state.endpoints.contains_key(&backend) || state.out.contains_key(&backend)
    }
}

/// Runs what all requests depend on, and begins it anew should it ever panic: what is owed then is
/// lost for one event, and not for all that are to come.
async fn kept_up<F: Future<Output = ()> + 'static>(task: impl Fn() -> F) {
    while let Err(error) = tokio::task::spawn_local(task()).await {
        log!("balancer-proxy: {error}");
        tokio::time::sleep(AFTER_PANIC).await;
    }
}

/// Closes the connection that has been idle longest, if there is one.
fn evict(endpoints: &HashMap<BackendId, Rc<ConnectionPool>>) -> bool {
    let idle = endpoints.values().filter(|e| e.idle_since().is_some());
    idle.min_by_key(|e| e.idle_since()).inspect(|e| e.close_oldest_idle()).is_some()
}

/// Takes out a request that has its final answer or wants none.
fn close(state: &mut State, id: RequestId) -> Option<Open> {
    let open = state.open.remove(&id)?;
    state.in_use.remove(&open.txn);
    Some(open)
}

/// Gives a request its final answer, if it has had none.
fn answer(state: &mut State, id: RequestId, answer: FinalResponse) {
    if let Some(open) = close(state, id) {
        let _ = open.answer.send(answer); // if it has left, its guard tells
    }
}

#[cfg(test)]
mod tests {
    use super::kept_up;
    use std::cell::Cell;
    use std::rc::Rc;

    #[test]
    fn what_panics_is_begun_anew() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let begun = Rc::new(Cell::new(0));
        let count = begun.clone();
        let task = move || {
            count.set(count.get() + 1);
            let nth = count.get();
            async move { assert!(nth > 2, "the first two fail") }
        };
        tokio::task::LocalSet::new().block_on(&runtime, kept_up(task));
        assert_eq!(begun.get(), 3);
    }
}
