//! One balancer in service on virtual time: requests come at an even rate and are answered, timers
//! come when they are due, and what the balancer cancels is reported back to it. Each event's
//! processor time is taken by itself.

use balancer_proxy::{
    Action, BackendId, Balancer, EndedAttempt, Endpoint, EndpointUpdate, Event, Outcome, Request,
    RequestClass, RequestId, Settings, Status, Tenant, Time,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::time::{ClockId, clock_gettime};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// What an answer within it is worth all, in seconds. The module remembers over a multiple of it,
/// and takes no answer beyond a quarter of it as normal.
const AIM: Time = 0.4;
/// How long most answers take, in seconds.
const ANSWER: Time = 0.05;
/// How long the others take. As few as they are, the first firing comes half-way to them.
const SLOW_ANSWER: Time = 0.1;
/// One request in so many is slow.
const SLOW_ONE_IN: usize = 16;
/// Zones that the backends are in, and how many of them make a cell.
const ZONES: u32 = 3;
const CELL: u32 = 20;

/// The size of one deployment, as one balancer sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// Backends listed.
    pub backends: usize,
    /// Balancers like this one.
    pub instances: usize,
    /// Classes of requests.
    pub classes: usize,
    /// Tenants, each within its share; 0 for none.
    pub tenants: usize,
    /// Requests that are open at any time, on average.
    pub open: usize,
    /// Tiers between the clients and this balancer.
    pub tier: usize,
}

impl Case {
    /// Requests a second that keep as many open, by Little's law.
    fn rate(&self) -> f64 {
        let slow = 1.0 / SLOW_ONE_IN as f64;
        self.open as f64 / (SLOW_ANSWER * slow + ANSWER * (1.0 - slow))
    }

    /// What the module is told of it. No other place names the module's settings.
    fn settings(&self) -> Settings {
        let class = |i: usize| RequestClass {
            name: i.to_string(),
            latency_objective: AIM,
            deadline: 2.0 * AIM,
            ..RequestClass::default()
        };
        // Far beyond what comes: shares are counted, and none is used up.
        let quota = 10.0 * self.rate() * self.instances as f64;
        Settings {
            classes: (0..self.classes).map(class).collect(),
            tenants: (0..self.tenants)
                .map(|i| Tenant { name: i.to_string(), quota_per_second: quota })
                .collect(),
            instance_count: self.instances,
            instance_index: self.instances / 2,
            tier: self.tier,
            ..Settings::default()
        }
    }

    fn list(&self) -> Vec<Endpoint> {
        let entry =
            |i: u32| Endpoint { id: BackendId(i), cell: i / CELL, zone: i % ZONES, ..Endpoint::default() };
        (0..self.backends as u32).map(entry).collect()
    }
}

/// What happened, as far as its cost is told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request came and was placed.
    Call,
    /// It was answered.
    Outcome,
    /// A timer of an open request fired, and a copy was sent.
    FiringSent,
    /// A timer of an open request fired, and none was sent.
    FiringPassed,
    /// A timer of a request that has ended.
    LateTimer,
    /// A copy that was cancelled as the other was answered.
    Cancelled,
}

/// Number of kinds.
const KINDS: usize = 6;

/// What a stretch of service has cost, in seconds of processor time.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    time: [f64; KINDS],
    count: [usize; KINDS],
    /// Requests refused or failed.
    pub unserved: usize,
    /// Open requests, summed over the arrivals.
    open: usize,
}

impl Spent {
    /// Mean processor time of an event of this kind, in microseconds. NaN where none happened.
    pub fn mean(&self, kind: Kind) -> f64 {
        1e6 * self.time[kind as usize] / self.count[kind as usize] as f64
    }

    /// Processor time of all events over the requests that came, in microseconds.
    pub fn each(&self) -> f64 {
        1e6 * self.time.iter().sum::<f64>() / self.count[Kind::Call as usize] as f64
    }

    /// Open requests, on average over the arrivals.
    pub fn open(&self) -> f64 {
        self.open as f64 / self.count[Kind::Call as usize] as f64
    }

    fn add(&mut self, kind: Kind, time: f64) {
        self.time[kind as usize] += time;
        self.count[kind as usize] += 1;
    }
}

/// What taking the time takes itself, in seconds: the median over many.
fn clock_cost() -> f64 {
    let mut costs: Vec<f64> = (0..2001).map(|_| -thread_time() + thread_time()).collect();
    crate::stats::median(&mut costs)
}

/// Processor time of this thread so far, in seconds, from the system's clock for that: what others
/// do on a busy machine in between is not in it, though what they leave of its caches is.
fn thread_time() -> f64 {
    let at = clock_gettime(ClockId::ThreadCPUTime);
    at.tv_sec as f64 + at.tv_nsec as f64 * 1e-9
}

/// What comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer { id: RequestId, token: u64 },
    Answer { id: RequestId, attempt: usize },
}

/// A time as a whole number, so that it can be ordered.
fn nanoseconds(at: Time) -> u64 {
    (at * 1e9) as u64
}

/// A request without a final answer: its attempts, each with its backend and when it was sent.
type Attempts = Vec<(BackendId, Time)>;

/// A balancer in service.
pub struct Host {
    case: Case,
    balancer: Balancer,
    list: Vec<Endpoint>,
    actions: Vec<Action>,
    rng: SmallRng,
    now: Time,
    next_id: u64,
    open: HashMap<RequestId, Attempts>,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    spent: Spent,
    /// By number of the backend: sent to since the last stretch began.
    sent_to: Vec<bool>,
    /// Its settings tell of one balancer more than the case does.
    one_more: bool,
    clock_cost: f64,
}

impl Host {
    /// A balancer that has just been given its list.
    pub fn new(case: Case, seed: u64) -> Self {
        let mut host = Self {
            case,
            balancer: Balancer::new(0.0, seed, case.settings()),
            list: case.list(),
            actions: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            next_id: 0,
            open: HashMap::new(),
            due: BinaryHeap::new(),
            spent: Spent::default(),
            sent_to: vec![false; case.backends],
            one_more: false,
            clock_cost: clock_cost(),
        };
        host.whole_list();
        host
    }

    /// Bytes that the balancer holds: itself, and what it gives back to the allocator at its end.
    pub fn state(self) -> f64 {
        let balancer = self.balancer;
        let freed = allocation_counter::measure(|| drop(balancer)).bytes_current;
        size_of::<Balancer>() as f64 - freed as f64
    }

    /// Backends sent to in the last stretch.
    pub fn members_used(&self) -> usize {
        self.sent_to.iter().filter(|sent| **sent).count()
    }

    /// Serves until the rates are learnt, for so many seconds of virtual time.
    pub fn warm_up(&mut self, span: Time) {
        self.serve((span * self.case.rate()).ceil() as usize);
    }

    /// Serves so many requests, and tells what they cost.
    pub fn serve(&mut self, requests: usize) -> Spent {
        self.spent = Spent::default();
        self.sent_to.fill(false);
        self.clock_cost = clock_cost();
        self.go_on(requests);
        std::mem::take(&mut self.spent)
    }

    fn go_on(&mut self, requests: usize) {
        for _ in 0..requests {
            let at = self.now + 1.0 / self.case.rate();
            while let Some(Reverse((due, _))) = self.due.peek()
                && *due <= nanoseconds(at)
                && let Some(Reverse((due, what))) = self.due.pop()
            {
                self.now = self.now.max(due as f64 * 1e-9);
                self.come_due(what);
            }
            self.now = at;
            self.arrive();
        }
    }

    /// Processor time of the news that one entry has changed, in microseconds: by turns a backend
    /// begins to drain, and is back in service.
    pub fn change(&mut self) -> f64 {
        let changed = self.list.iter().position(|e| e.status != Status::InService);
        let place = changed.unwrap_or_else(|| self.rng.random_range(0..self.list.len()));
        let entry = &mut self.list[place];
        entry.status = if changed.is_some() { Status::InService } else { Status::Draining };
        let entry = [entry.clone()];
        let time = self.handle(Event::Endpoints(EndpointUpdate::Changes(&entry)));
        self.act(None);
        self.go_on(2);
        1e6 * time
    }

    /// Processor time of a whole list that says nothing new, in microseconds.
    pub fn whole_list(&mut self) -> f64 {
        let list = std::mem::take(&mut self.list);
        let time = self.handle(Event::Endpoints(EndpointUpdate::Full(&list)));
        self.list = list;
        self.act(None);
        1e6 * time
    }

    /// Processor time of the first whole list that a balancer is told, in microseconds.
    pub fn first_list(&mut self, seed: u64) -> f64 {
        let mut balancer = Balancer::new(0.0, seed, self.case.settings());
        let begun = thread_time();
        balancer.handle(0.0, Event::Endpoints(EndpointUpdate::Full(&self.list)), &mut self.actions);
        let time = thread_time() - begun;
        self.actions.clear();
        1e6 * (time - self.clock_cost)
    }

    /// Processor time of settings that tell of one balancer more, or by turns again of as many as
    /// there were, in microseconds.
    pub fn settings(&mut self) -> f64 {
        self.one_more = !self.one_more;
        let mut settings = self.case.settings();
        settings.instance_count += usize::from(self.one_more);
        let time = self.handle(Event::Settings(&settings));
        self.act(None);
        1e6 * time
    }

    fn handle(&mut self, event: Event<'_>) -> f64 {
        let begun = thread_time();
        self.balancer.handle(self.now, event, &mut self.actions);
        thread_time() - begun - self.clock_cost
    }

    fn arrive(&mut self) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let tenants = self.case.tenants;
        let request = Request {
            id,
            class: self.rng.random_range(0..self.case.classes),
            tenant: (tenants > 0).then(|| self.rng.random_range(0..tenants)),
            timeout: 2.0 * AIM,
            ..Request::default()
        };
        self.open.insert(id, Attempts::new());
        let time = self.handle(Event::Request(request));
        self.spent.add(Kind::Call, time);
        self.spent.open += self.balancer.open_requests();
        self.act(Some(id));
    }

    fn come_due(&mut self, what: Due) {
        match what {
            Due::Timer { id, token } => {
                let time = self.handle(Event::Timer(token));
                let sends = self.actions.iter().any(|a| matches!(a, Action::Send { .. }));
                self.spent.add(
                    match (self.open.contains_key(&id), sends) {
                        (false, _) => Kind::LateTimer,
                        (true, true) => Kind::FiringSent,
                        (true, false) => Kind::FiringPassed,
                    },
                    time,
                );
                self.act(Some(id));
            }
            Due::Answer { id, attempt } => {
                let Some(&(backend, sent)) = self.open.get(&id).and_then(|a| a.get(attempt)) else {
                    return; // cancelled when the other was answered
                };
                let time = self.end(id, backend, attempt, sent, Outcome::Success);
                self.spent.add(Kind::Outcome, time);
                self.act(Some(id));
                self.open.remove(&id);
            }
        }
    }

    fn end(
        &mut self,
        id: RequestId,
        backend: BackendId,
        attempt: usize,
        sent: Time,
        outcome: Outcome,
    ) -> f64 {
        let took = self.now - sent;
        self.handle(Event::AttemptEnded(EndedAttempt {
            id,
            backend,
            attempt,
            outcome,
            duration: took,
            request_finished: true,
            report: None,
        }))
    }

    /// Does what the balancer wants done; `about` is the request whose event it was.
    fn act(&mut self, about: Option<RequestId>) {
        let mut actions = std::mem::take(&mut self.actions);
        let (mut cancelled, mut ended) = (Vec::new(), Vec::new());
        for action in actions.drain(..) {
            match action {
                Action::Send { id, backend, .. } => {
                    let attempts = self.open.entry(id).or_default();
                    attempts.push((backend, self.now));
                    let attempt = attempts.len() - 1;
                    let slow = attempt == 0 && id.0 % SLOW_ONE_IN as u64 == 0;
                    let at = self.now + if slow { SLOW_ANSWER } else { ANSWER };
                    self.due.push(Reverse((nanoseconds(at), Due::Answer { id, attempt })));
                    if let Some(sent) = self.sent_to.get_mut(backend.0 as usize) {
                        *sent = true;
                    }
                }
                Action::SetTimer { at, token } => {
                    let id = about.unwrap_or_default();
                    self.due.push(Reverse((nanoseconds(at), Due::Timer { id, token })));
                }
                Action::Cancel { id, attempt } => {
                    let sent = self.open.get(&id).and_then(|a| a.get(attempt));
                    cancelled.extend(sent.map(|sent| (id, attempt, *sent)));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.spent.unserved += 1;
                    ended.push(id);
                }
                // No probes, watches or connections here.
                _ => {}
            }
        }
        self.actions = actions;
        for id in ended {
            self.open.remove(&id);
        }
        for (id, attempt, (backend, sent)) in cancelled {
            let time = self.end(id, backend, attempt, sent, Outcome::Cancelled);
            self.spent.add(Kind::Cancelled, time);
        }
        if !self.actions.is_empty() {
            self.act(about);
        }
    }
}
