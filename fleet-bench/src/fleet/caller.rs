//! One proxy of the hollow fleet, played on virtual time around the real module.

use super::changes::{Change, Events, Going};
use super::checker::{Broken, Checker, Open, Rule};
use super::cost::{Record, Recording};
use super::world::{self, World};
use super::{Phase, Plan};
use crate::error::Error;
use balancer_proxy::{
    Action, BackendId, Balancer, Effect, EndedAttempt, Endpoint, EndpointUpdate, Event, IdempotencyGroup,
    Outcome, Request, RequestClass, RequestId, Settings, Status, Time,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant;

/// Members are looked at this often, in seconds.
pub const LOOK: Time = 1.0;
/// The classes of calls, by what repeating one would do.
const EFFECTS: [Effect; 3] =
    [Effect::Safe, Effect::Idempotent { group: IdempotencyGroup::All, window: 5.0 }, Effect::Unsafe];
/// A backend that is to stop makes no calls of its own in its last so many seconds, as what would
/// have come of them could not be told any more.
const LAST_CALLS: Time = 1.0;
/// The agent of discovery on a proxy's own machine answers within this, in seconds.
const AGENT: Time = 0.005;
/// The real time is looked at after so many steps.
const STEPS_A_LOOK: u32 = 4096;

/// What was counted, from the start of the window on; `+=` adds up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Calls made.
    pub calls: u64,
    /// Those answered by a backend.
    pub served: u64,
    /// Those refused: not done, harmless to try again.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that ended without any attempt, as there was nobody to send them to.
    pub nobody: u64,
    /// Those refused or failed while no backend in service was in reach.
    pub beyond: u64,
    /// Those whose own proxy went before they had an answer.
    pub lost: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Those to a backend that was gone by then, or beyond a cut.
    pub to_gone: u64,
    /// Those to one that the proxy had been told drains or is gone, more than the grace before.
    pub past_told: u64,
    /// The same, with news counted as told after a time whether they were heard or not.
    pub past_deemed: u64,
    /// News of the list taken in.
    pub updates: u64,
    /// Entries in them.
    pub entries: u64,
    /// Bytes of them.
    pub bytes: u64,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.nobody += other.nobody;
        self.beyond += other.beyond;
        self.lost += other.lost;
        self.attempts += other.attempts;
        self.to_gone += other.to_gone;
        self.past_told += other.past_told;
        self.past_deemed += other.past_deemed;
        self.updates += other.updates;
        self.entries += other.entries;
        self.bytes += other.bytes;
    }
}

/// What one proxy did.
#[derive(Debug, Default)]
pub struct Played {
    /// What was counted.
    pub counts: Counts,
    /// For each change, the time from when it came about until this proxy had; none where the
    /// proxy was not up at some time between.
    pub heard: Vec<Option<f32>>,
    /// Backends in its subset, by the look that saw them.
    pub members: Vec<(u32, u32)>,
    /// Sends to backends while these were cold, and when.
    pub cold: Vec<(u32, Time)>,
    /// Attempts that each backend was sent in the second half of the warm-up.
    pub warm: Vec<u32>,
    /// Backends kept in mind, in the subset, and requests open: the most at any look.
    pub most: [usize; 3],
    /// What it was told, if that is wanted.
    pub recording: Option<Recording>,
}

/// What is the same for all that call one service.
#[derive(Debug)]
pub struct Scene<'a> {
    /// What is run.
    pub plan: &'a Plan,
    /// The fleet.
    pub world: &'a World,
    /// What happens to it.
    pub events: &'a Events,
    /// The service called.
    pub service: usize,
    /// What discovery tells of it.
    pub changes: Vec<Change>,
    /// For each of its backends, when discovery first has it to tell that it is not in service.
    pub out_from: Vec<Option<Time>>,
    /// What is played.
    pub phase: Phase,
    /// When the run is given up.
    pub give_up: Instant,
}

/// The settings of a caller of a service, its `me`-th.
pub fn settings(plan: &Plan, world: &World, service: usize, me: usize) -> Settings {
    let callers = &world.services[service].callers;
    let caller = &world.machines[callers[me]];
    Settings {
        classes: EFFECTS
            .map(|effect| RequestClass { deadline: plan.budget, effect, ..RequestClass::default() })
            .into(),
        instance_count: callers.len(),
        instance_index: me,
        tier: world.services[caller.service].layer,
        zone: caller.zone as u32,
        cross_zone_cost: plan.cross_zone,
        slow_start_initial_capacity: plan.cold_share,
        slow_start_duration: plan.cold,
        slow_start_overload_multiple: plan.fall_multiple,
        slow_start_overload_window: plan.tip_after,
        ..Settings::default()
    }
}

/// Bytes of a message of the list with these entries, as discovery writes them.
pub fn message_bytes(entries: &[Endpoint], reset: bool) -> usize {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 1234\r\n\r\n\
         {{\"generation\":123456,\"reset\":{reset},\"instances\":[]}}"
    );
    let line = |e: &Endpoint| {
        let lifecycle = match e.status {
            Status::InService => "SERVING",
            Status::Draining => "DRAINING",
            Status::Removed => "DELETED",
        };
        let started = if e.started_at.is_some() { "1790000000000" } else { "0" };
        format!(
            "{{\"instanceId\":\"s-{:08x}\",\"hostPort\":\"10.100.100.100:7070\",\"zone\":\"{}\",\
             \"machineType\":\"m2\",\"cell\":{},\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\
             \"startedAtMs\":{started}}},",
            e.id.0, e.zone, e.cell
        )
        .len()
    };
    head.len() + entries.iter().map(line).sum::<usize>()
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Call,
    Timer(u64),
    Attempt(RequestId, usize, Outcome),
    /// News: all changes up to this place.
    News(usize),
    Look(u32),
    Stop,
    Start,
    /// The first answer of discovery after a start.
    List,
}

#[derive(Debug)]
struct Step {
    at: Time,
    /// Steps of one time are taken in the order in which they were put down.
    order: u64,
    /// The proxy's life that it belongs to.
    life: u32,
    due: Due,
}

impl PartialEq for Step {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Step {}

impl PartialOrd for Step {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Step {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    backend: usize,
    sent: Time,
}

/// A proxy in play.
struct Caller<'a> {
    scene: &'a Scene<'a>,
    me: usize,
    /// Its machine.
    machine: usize,
    /// The first machine of the service called; backends are counted from it.
    first: usize,
    rng: SmallRng,
    now: Time,
    balancer: Balancer,
    life: u32,
    up: bool,
    /// Discovery has answered since the start.
    listed: bool,
    steps: BinaryHeap<Reverse<Step>>,
    order: u64,
    requests: u64,
    checker: Checker,
    running: HashMap<(RequestId, usize), Running>,
    /// The list as this proxy has it.
    list: Vec<Endpoint>,
    /// Since when it has been told that a backend is not in service.
    told_out: Vec<Option<Time>>,
    /// When a backend last answered: a connection to it is kept for a while.
    answered: Vec<Time>,
    /// Changes taken in.
    had: usize,
    played: Played,
    actions: Vec<Action>,
}

/// Plays the `me`-th caller of a scene's service through the phase. An error names the seed and the
/// time at which a rule was broken.
pub fn play(scene: &Scene<'_>, me: usize, record: bool) -> Result<Played, Error> {
    let service = &scene.world.services[scene.service];
    let machine = service.callers[me];
    let count = service.machines.len();
    let stream = world::seed(&[scene.plan.seed, 2, scene.phase as u64, machine as u64]);
    let list: Vec<Endpoint> = service.machines.clone().map(|m| scene.world.entry(m)).collect();
    let settings = settings(scene.plan, scene.world, scene.service, me);
    let mut caller = Caller {
        scene,
        me,
        machine,
        first: service.machines.start,
        rng: SmallRng::seed_from_u64(stream),
        now: 0.0,
        balancer: Balancer::new(0.0, stream, settings.clone()),
        life: 0,
        up: true,
        listed: true,
        steps: BinaryHeap::new(),
        order: 0,
        requests: 0,
        checker: Checker::default(),
        running: HashMap::new(),
        list,
        told_out: vec![None; count],
        answered: vec![f64::NEG_INFINITY; count],
        had: 0,
        played: Played {
            heard: vec![None; scene.changes.len()],
            warm: vec![0; count],
            recording: record.then(|| Recording::new(stream, settings)),
            ..Played::default()
        },
        actions: Vec::new(),
    };
    caller.set_out()?;
    caller.go()?;
    Ok(caller.played)
}

impl Caller<'_> {
    /// Puts down what is known from the beginning.
    fn set_out(&mut self) -> Result<(), Error> {
        let (plan, machine) = (self.scene.plan, self.machine);
        let news = self.deliveries();
        let mut looks = 0;
        while f64::from(looks) * LOOK <= plan.end() {
            self.put(f64::from(looks) * LOOK, Due::Look(looks));
            looks += 1;
        }
        if let Some(outage) = self.scene.events.outages[machine] {
            self.put(outage.down, Due::Stop);
            self.put(outage.up, Due::Start);
        }
        news.into_iter().for_each(|(at, upto)| self.put(at, Due::News(upto)));
        let list = self.list.clone();
        self.tell_list(true, EndpointUpdate::Full(&list))?;
        self.next_call();
        Ok(())
    }

    /// When the news reach this proxy, each with what came before it, in order; what comes at one
    /// time is one message.
    fn deliveries(&mut self) -> Vec<(Time, usize)> {
        let Scene { world, events, .. } = self.scene;
        let zone = world.machines[self.machine].zone;
        let mut all: Vec<(Time, usize)> = Vec::new();
        let rejoin = self.delay(zone);
        for (i, change) in self.scene.changes.iter().enumerate() {
            let from = world.machines[change.machine].zone;
            let mut at = change.at + self.delay(from);
            if let Some(cut) = events.cut {
                // Discovery is where the cut region is not.
                if world.region(zone) == cut.region && (cut.from..cut.to).contains(&at) {
                    at = cut.to + rejoin;
                }
            }
            match all.last_mut() {
                Some((last, upto)) if at <= *last => *upto = i + 1,
                _ => all.push((at, i + 1)),
            }
        }
        all
    }

    /// How long news from a zone take to this proxy.
    fn delay(&mut self, from: usize) -> Time {
        let [median, spread] = self.scene.plan.news;
        let drawn = median * (spread * world::normal(&mut self.rng)).exp();
        drawn + 0.5 * self.round_trip(from)
    }

    fn round_trip(&self, zone: usize) -> Time {
        let world = self.scene.world;
        let mine = world.machines[self.machine].zone;
        let [same, region, far] = self.scene.plan.round_trips;
        match () {
            () if zone == mine => same,
            () if world.region(zone) == world.region(mine) => region,
            () => far,
        }
    }

    fn put(&mut self, at: Time, due: Due) {
        self.order += 1;
        let step = Step { at: at.max(self.now), order: self.order, life: self.life, due };
        self.steps.push(Reverse(step));
    }

    fn next_call(&mut self) {
        let rate = self.scene.world.machines[self.machine].rate;
        let at = self.now + world::exponential(&mut self.rng) / rate;
        let outage = self.scene.events.outages[self.machine];
        let stops = outage.filter(|o| self.now < o.down).map_or(f64::INFINITY, |o| match o.going {
            Going::Restart => (o.down - LAST_CALLS).max(o.drain),
            Going::Vanish => o.down,
        });
        if at < self.scene.plan.end().min(stops) {
            self.put(at, Due::Call);
        }
    }

    /// Takes one step after the other until nothing is left to do.
    fn go(&mut self) -> Result<(), Error> {
        let mut steps = 0_u32;
        while let Some(Reverse(step)) = self.steps.pop() {
            steps = steps.wrapping_add(1);
            if steps.is_multiple_of(STEPS_A_LOOK) && Instant::now() >= self.scene.give_up {
                return Err(Error::Failed(format!("given up after {} s", self.scene.plan.limit)));
            }
            self.now = step.at;
            let of_this_life = step.life == self.life;
            match step.due {
                Due::Call if of_this_life => self.call()?,
                Due::Timer(token) if of_this_life => self.tell(Event::Timer(token))?,
                Due::Attempt(id, attempt, outcome) if of_this_life => self.ended(id, attempt, outcome)?,
                Due::News(upto) => self.news(upto)?,
                Due::Look(look) => self.look(look),
                Due::Stop => self.stop(),
                Due::Start => self.start()?,
                Due::List if of_this_life => self.first_list()?,
                _ => {} // of a process that is gone
            }
        }
        self.checker.end().map_err(|broken| self.broken(broken))
    }

    fn broken(&self, broken: Broken) -> Error {
        Error::Rule {
            rule: broken.rule,
            call: broken.call.0,
            seed: self.scene.plan.seed,
            phase: self.scene.phase.name(),
            machine: self.machine,
            at: self.now,
        }
    }

    fn counted(&self) -> bool {
        self.now >= self.scene.plan.warm_up
    }

    /// The part of its calls that a machine makes: a cold one is sent less, and so asks for less.
    fn busy(&self) -> f64 {
        let plan = self.scene.plan;
        match self.scene.events.outages[self.machine].filter(|o| o.up <= self.now) {
            Some(o) if self.now < o.up + plan.news[0] => 0.0, // nobody has heard of it
            Some(o) => plan.ramp(self.now - o.up),
            None => 1.0,
        }
    }

    fn call(&mut self) -> Result<(), Error> {
        let plan = self.scene.plan;
        if self.rng.random::<f64>() >= self.busy() {
            self.next_call();
            return Ok(());
        }
        let drawn: f64 = self.rng.random();
        let class =
            usize::from(drawn >= plan.effects[0]) + usize::from(drawn >= plan.effects[0] + plan.effects[1]);
        self.requests += 1;
        let id = RequestId(self.requests);
        let counted = self.counted();
        self.checker.begun(id, EFFECTS[class], self.now + plan.budget, counted);
        self.played.counts.calls += u64::from(counted);
        let request = Request { id, class, timeout: plan.budget, ..Request::default() };
        self.tell(Event::Request(request))?;
        self.next_call();
        Ok(())
    }

    /// Tells the module, and does what it wants done.
    fn tell(&mut self, event: Event<'static>) -> Result<(), Error> {
        if let Some(recording) = &mut self.played.recording {
            recording.records.push(Record::Event(self.now, event));
        }
        self.handle(event)
    }

    fn handle(&mut self, event: Event<'_>) -> Result<(), Error> {
        // What is done about an action may tell the module more; that gets a list of its own.
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.now, event, &mut actions);
        let done = actions.drain(..).try_for_each(|action| self.act(action));
        self.actions = actions;
        done
    }

    fn tell_list(&mut self, reset: bool, update: EndpointUpdate<'_>) -> Result<(), Error> {
        if let EndpointUpdate::Changes(entries) | EndpointUpdate::Full(entries) = update {
            let bytes = message_bytes(entries, reset);
            if self.counted() && self.now <= self.scene.plan.end() {
                self.played.counts.updates += 1;
                self.played.counts.entries += entries.len() as u64;
                self.played.counts.bytes += bytes as u64;
            }
        }
        if let Some(recording) = &mut self.played.recording {
            recording.records.push(Record::list(self.now, update));
        }
        self.handle(Event::Endpoints(update))
    }

    fn act(&mut self, action: Action) -> Result<(), Error> {
        match action {
            Action::Send { id, backend, timeout, .. } => self.send(id, backend, timeout),
            Action::Cancel { id, attempt } => self.ended(id, attempt, Outcome::Cancelled),
            Action::Reject { id, .. } => self.unserved(id, true),
            Action::Fail { id } => self.unserved(id, false),
            Action::SetTimer { at, token } => {
                self.put(at, Due::Timer(token));
                Ok(())
            }
            // Sends are written at once, and lists pushed; there are no connections to close.
            Action::Withdraw { .. }
            | Action::HealthCheck(_)
            | Action::CloseIdleConnections(_)
            | Action::WatchEndpoints(_)
            | Action::FetchEndpoints
            | Action::Log(_) => Ok(()),
        }
    }

    fn unserved(&mut self, id: RequestId, refused: bool) -> Result<(), Error> {
        let open = self.close(id)?;
        if open.counted {
            let beyond = !self.in_reach();
            let counts = &mut self.played.counts;
            counts.refused += u64::from(refused);
            counts.failed += u64::from(!refused);
            counts.nobody += u64::from(open.attempts == 0);
            counts.beyond += u64::from(beyond);
        }
        Ok(())
    }

    /// Some backend is in service, whether this proxy has heard so or not, and not beyond a cut.
    fn in_reach(&self) -> bool {
        let Scene { world, events, .. } = self.scene;
        let mine = world.machines[self.machine].zone;
        let mut machines = world.services[self.scene.service].machines.clone();
        machines.any(|m| {
            events.in_service(m, self.now)
                && !events.cut_between(mine, world.machines[m].zone, self.now, world)
        })
    }

    fn close(&mut self, id: RequestId) -> Result<Open, Error> {
        self.checker.answered(id, self.now).map_err(|broken| self.broken(broken))
    }

    fn send(&mut self, id: RequestId, to: BackendId, timeout: Time) -> Result<(), Error> {
        let backend = (to.0 as usize).wrapping_sub(self.first);
        if backend >= self.list.len() {
            return Err(self.broken(Broken { rule: Rule::Unlisted, call: id }));
        }
        let attempt = self.checker.sent(id).map_err(|broken| self.broken(broken))?;
        let (outcome, at, gone) = self.attempt(backend, timeout);
        self.running.insert((id, attempt), Running { backend, sent: self.now });
        self.put(at, Due::Attempt(id, attempt, outcome));
        self.count_send(backend, gone);
        Ok(())
    }

    /// What comes of an attempt, and when; and whether its backend was gone.
    fn attempt(&mut self, backend: usize, timeout: Time) -> (Outcome, Time, bool) {
        let Scene { plan, world, events, .. } = self.scene;
        let machine = self.first + backend;
        let (mine, zone) = (world.machines[self.machine].zone, world.machines[machine].zone);
        let (round_trip, last) = (self.round_trip(zone), self.now + timeout);
        let service = world.services[self.scene.service].service_time * world::exponential(&mut self.rng);
        let outage = events.outages[machine];
        let gone = outage.filter(|o| (o.down..o.up).contains(&self.now));
        if events.cut_between(mine, zone, self.now, world) || gone.is_some_and(|o| o.going == Going::Vanish) {
            // On a kept connection nothing shows; a new one does not come up.
            let kept = self.now < self.answered[backend] + plan.idle_close;
            return match kept {
                true => (Outcome::Timeout, last, true),
                false => (Outcome::NoConnection, last.min(self.now + plan.connect_timeout), true),
            };
        }
        if gone.is_some() {
            return (Outcome::NoConnection, last.min(self.now + round_trip), true);
        }
        let end = self.now + round_trip + service;
        let cut = events.cut_between(mine, zone, end, world);
        let breaks = outage.filter(|o| (self.now..end).contains(&o.down));
        let (outcome, at) = match breaks.map(|o| (o.going, o.down)) {
            Some((Going::Restart, down)) => (Outcome::Reset, down + 0.5 * round_trip),
            Some((Going::Vanish, _)) => (Outcome::Timeout, last),
            None if cut => (Outcome::Timeout, last),
            None => (Outcome::Success, end),
        };
        if at >= last { (Outcome::Timeout, last, false) } else { (outcome, at, false) }
    }

    fn count_send(&mut self, backend: usize, gone: bool) {
        let Scene { plan, events, .. } = self.scene;
        let outage = events.outages[self.first + backend];
        if outage.is_some_and(|o| (o.up..o.up + plan.cold).contains(&self.now)) {
            self.played.cold.push((backend as u32, self.now));
        }
        if (0.5 * plan.warm_up..plan.warm_up).contains(&self.now) {
            self.played.warm[backend] += 1;
        }
        if !self.counted() {
            return;
        }
        let told = self.told_out[backend].is_some_and(|t| self.now > t + plan.drain_grace);
        let back = outage.is_some_and(|o| self.now >= o.up);
        let deemed = self.scene.out_from[backend]
            .is_some_and(|from| !back && self.now > from + plan.deemed_told + plan.drain_grace);
        let counts = &mut self.played.counts;
        counts.attempts += 1;
        counts.to_gone += u64::from(gone);
        counts.past_told += u64::from(told);
        counts.past_deemed += u64::from(told || deemed);
    }

    fn ended(&mut self, id: RequestId, attempt: usize, outcome: Outcome) -> Result<(), Error> {
        let Some(Running { backend, sent }) = self.running.remove(&(id, attempt)) else {
            return Ok(()); // ended otherwise before
        };
        match outcome {
            Outcome::Success => {
                self.answered[backend] = self.now;
                if self.checker.is_open(id) {
                    let open = self.close(id)?;
                    self.played.counts.served += u64::from(open.counted);
                }
            }
            Outcome::NoConnection => self.checker.never_ran(id),
            _ => {}
        }
        self.tell(Event::AttemptEnded(EndedAttempt {
            id,
            backend: BackendId((self.first + backend) as u32),
            attempt,
            outcome,
            duration: self.now - sent,
            request_finished: !self.checker.is_open(id),
            report: None,
        }))
    }

    /// Its machine, and with it discovery's agent, is up though its process may not be.
    fn agent(&self) -> bool {
        self.scene.events.outages[self.machine].is_none_or(|o| o.going == Going::Restart)
    }

    /// Changes up to this place arrive.
    fn news(&mut self, upto: usize) -> Result<(), Error> {
        if upto <= self.had {
            return Ok(()); // a list has brought them
        }
        if !self.up || !self.listed {
            // A process that is restarted finds them with the agent on its machine.
            if self.agent() {
                self.take(upto);
            }
            return Ok(());
        }
        let changes = &self.scene.changes[self.had..upto];
        for (i, change) in (self.had..upto).zip(changes) {
            self.played.heard[i] = Some((self.now - change.since) as f32);
        }
        let entries: Vec<Endpoint> = changes.iter().map(|c| c.entry.clone()).collect();
        self.take(upto);
        // After a long silence the whole list is the shorter answer.
        if entries.len() > self.list.len() {
            let list = self.listed_now();
            return self.tell_list(true, EndpointUpdate::Full(&list));
        }
        self.tell_list(false, EndpointUpdate::Changes(&entries))
    }

    /// Takes changes into the list as this proxy has it.
    fn take(&mut self, upto: usize) {
        for change in &self.scene.changes[self.had..upto] {
            let place = change.machine - self.first;
            self.list[place] = change.entry.clone();
            let out = change.entry.status != Status::InService;
            let since = self.told_out[place].unwrap_or(self.now);
            self.told_out[place] = out.then_some(since);
        }
        self.had = self.had.max(upto);
    }

    fn listed_now(&self) -> Vec<Endpoint> {
        self.list.iter().filter(|e| e.status != Status::Removed).cloned().collect()
    }

    fn look(&mut self, look: u32) {
        if !self.up {
            return;
        }
        let before = self.played.members.len();
        let first = self.first;
        self.played.members.extend(self.balancer.members().map(|b| (look, b.0 - first as u32)));
        let subset = self.played.members.len() - before;
        let seen = [self.balancer.backends_known(), subset, self.balancer.open_requests()];
        for (most, seen) in self.played.most.iter_mut().zip(seen) {
            *most = (*most).max(seen);
        }
    }

    /// Its machine goes, and all that it had open.
    fn stop(&mut self) {
        self.played.counts.lost += self.checker.lose() as u64;
        self.running.clear();
        self.answered.fill(f64::NEG_INFINITY);
        (self.up, self.listed) = (false, false);
        self.life += 1;
    }

    /// A new process, with the list that the last one had.
    fn start(&mut self) -> Result<(), Error> {
        let Scene { plan, world, events, service, .. } = self.scene;
        let seed = self.rng.random();
        let settings = settings(plan, world, *service, self.me);
        if let Some(recording) = &mut self.played.recording {
            recording.records.push(Record::Start(self.now, seed));
        }
        self.balancer = Balancer::new(self.now, seed, settings);
        self.up = true;
        let list = self.listed_now();
        self.tell_list(true, EndpointUpdate::Cached(&list))?;
        let zone = world.machines[self.machine].zone;
        let answer = if self.agent() { AGENT } else { self.delay(zone) };
        let apart = events.cut.filter(|cut| world.region(zone) == cut.region && !self.agent());
        let at = apart.filter(|c| (c.from..c.to).contains(&self.now)).map_or(self.now, |c| c.to) + answer;
        self.put(at, Due::List);
        self.next_call();
        Ok(())
    }

    /// The first answer after a start: all that the agent has, on a new machine all that there is.
    fn first_list(&mut self) -> Result<(), Error> {
        self.listed = true;
        if !self.agent() {
            let now = self.now;
            self.take(self.scene.changes.partition_point(|c| c.at <= now).max(self.had));
        }
        let list = self.listed_now();
        self.tell_list(true, EndpointUpdate::Full(&list))
    }
}
