//! What the real proxy adds to a call, beside the same call made directly, in the same run.
//!
//! The load is an open loop: arrivals are drawn ahead, with exponential gaps, and each call's time
//! counts from the moment at which it was to begin, so that a slow answer delays no later call's
//! clock. Direct and proxied calls are mixed by the same draw and go to the same backends, which
//! answer at once, on connections that are kept. What is added at a percentile is the difference of
//! the two percentiles.

use crate::backend::Backends;
use crate::discovery::{Change, Discovery, List, instances};
use crate::draw::arrivals;
use crate::error::Error;
use crate::plan;
use crate::process::{self, Machine, Proxy, Start, Stop, Use, addresses, budget};
use crate::report::{Report, Table, Value};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Arguments of `fleet-bench added`.
#[derive(clap::Args, Debug)]
pub struct Args {
    /// Where the plan comes from
    #[command(flatten)]
    pub source: plan::Source,
    /// A small plan, of less than half a minute
    #[arg(long, conflicts_with = "experiment")]
    pub quick: bool,
    /// Sizes of the list
    #[arg(long, value_delimiter = ',', value_name = "N,...")]
    pub listed: Option<Vec<usize>>,
    /// Calls a second through the proxy; as many are made directly
    #[arg(long, value_delimiter = ',', value_name = "RATE,...")]
    pub rates: Option<Vec<f64>>,
    /// Changes of the list a second
    #[arg(long, value_delimiter = ',', value_name = "RATE,...")]
    pub changes: Option<Vec<f64>>,
    /// Seconds for which each rate is measured
    #[arg(long, value_name = "SECONDS")]
    pub seconds: Option<f64>,
    /// The proxy's program, if it is not beside this one
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
}

/// What is run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Sizes of the list.
    pub listed: Vec<usize>,
    /// Calls a second through the proxy; as many are made directly.
    pub rates: Vec<f64>,
    /// Changes of the list a second.
    pub changes: Vec<f64>,
    /// Seconds for which each rate is measured.
    pub seconds: f64,
}

impl Default for Plan {
    fn default() -> Self {
        // 620,000 calls a second by 5,500 proxies, and ten times that.
        Self {
            seed: 1,
            listed: vec![17, 870, 5_500],
            rates: vec![113.0, 1_130.0],
            changes: vec![0.0],
            seconds: 15.0,
        }
    }
}

impl Plan {
    fn read(args: &Args) -> Result<Self, Error> {
        let quick = || Self { listed: vec![870], seconds: 5.0, ..Self::default() };
        let mut plan = if args.quick { quick() } else { args.source.read()? };
        plan.seed = args.source.seed.unwrap_or(plan.seed);
        plan.seconds = args.seconds.unwrap_or(plan.seconds);
        args.listed.iter().for_each(|listed| plan.listed.clone_from(listed));
        args.rates.iter().for_each(|rates| plan.rates.clone_from(rates));
        args.changes.iter().for_each(|changes| plan.changes.clone_from(changes));
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), Error> {
        let bad = |name, expected, got: String| Err(Error::Argument { name, expected, got });
        if let Some(got) = self.listed.iter().find(|n| !(1..=20_000).contains(*n)) {
            return bad("listed", "1 to 20,000", got.to_string());
        }
        if let Some(got) = self.rates.iter().find(|rate| !(1.0..=10_000.0).contains(*rate)) {
            return bad("rates", "1 to 10,000 a second", got.to_string());
        }
        if let Some(got) = self.changes.iter().find(|rate| !(0.0..=1_000.0).contains(*rate)) {
            return bad("changes", "0 to 1,000 a second", got.to_string());
        }
        if !(0.5..=600.0).contains(&self.seconds) {
            return bad("seconds", "0.5 to 600 s", self.seconds.to_string());
        }
        let runs = self.listed.len() * self.rates.len() * self.changes.len();
        let most = runs as f64 * (self.seconds + WARM_UP + 1.0);
        if most > MOST_SECONDS {
            return bad("plan", "at most an hour", format!("{most:.0} s"));
        }
        Ok(())
    }
}

/// Longest run, in seconds.
const MOST_SECONDS: f64 = 3_600.0;
/// Seconds of load ahead of what is measured: connections come up in them.
const WARM_UP: f64 = 1.5;
/// Backends that there really are: the list's entries share their addresses in turn. A proxy sends to
/// a few of its list, whatever its size.
const BACKENDS: usize = 8;
/// Calls that can be under way at once. One more waits for a caller, and its time with it.
const CALLERS: usize = 128;
/// Part of the calls from which on that is more than chance: then calls have piled up.
const PILED_PART: f64 = 0.01;
/// A sleep ends late by some tens of microseconds: the rest of a wait is spent looking at the clock.
const SPIN: Duration = Duration::from_micros(150);
/// A call that is not answered by then has failed.
const PATIENCE: Duration = Duration::from_secs(5);
/// The run is told in so many equal parts too, which shows how steady it was.
const PARTS: usize = 5;
/// Part of the budget by which the generator may itself be late for 99 in 100. Beyond that, or if
/// 99 in 100 direct calls don't keep within the budget themselves, the machine was too busy to tell.
const LATE_PART: f64 = 0.25;
/// Upper ends of the printed histogram's classes, in milliseconds.
const CLASSES: [f64; 14] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.72, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 50.0, 5_000.0];
/// What is told apart, in microseconds.
const MOST_MICROS: u64 = 60_000_000;

/// A call that is to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Arrival {
    /// When, from the start of the load.
    at: Duration,
    proxied: bool,
}

/// Both kinds at this rate a second each, with exponential gaps.
fn mixed(rng: &mut SmallRng, rate: f64, seconds: f64) -> Vec<Arrival> {
    let times = arrivals(rng, 2.0 * rate, seconds);
    times.into_iter().map(|at| Arrival { at, proxied: rng.random() }).collect()
}

/// How one call went.
#[derive(Clone, Copy, Debug)]
struct Sample {
    arrival: Arrival,
    /// The generator began it so much later, by its own fault; None if no caller was free in time.
    late: Option<Duration>,
    /// From the moment at which it was to begin; None if it failed.
    took: Option<Duration>,
}

/// A kept connection.
struct Line {
    to: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
}

impl Line {
    fn open(to: SocketAddr) -> io::Result<Self> {
        let mut line = Self { to, stream: None, buffer: Vec::new() };
        line.stream = Some(line.connect()?);
        Ok(line)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.to, PATIENCE)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(stream)
    }

    /// Whether the call was served. A connection that the other side has closed between two calls is
    /// opened again, as clients do.
    fn call(&mut self, id: u64) -> bool {
        let kept = self.stream.take();
        let answered = match kept.map(|stream| self.exchange(stream, id)) {
            Some(Err(error)) if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            other => other,
        };
        let again = || self.connect().and_then(|stream| self.exchange(stream, id));
        let answered = answered.unwrap_or_else(again);
        answered.inspect_err(|error| tracing::debug!("{}: {error}", self.to)).unwrap_or(false)
    }

    fn exchange(&mut self, mut stream: TcpStream, id: u64) -> io::Result<bool> {
        let request = format!(
            "GET /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: look\r\nX-Remaining-Ms: 1000\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        self.buffer.clear();
        let mut piece = [0; 2_048];
        loop {
            let length = stream.read(&mut piece)?;
            if length == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&piece[..length]);
            if let Some((status, keep)) = whole(&self.buffer)? {
                self.stream = keep.then_some(stream);
                return Ok(status == 200);
            }
        }
    }
}

/// The status of an answer that has come whole, and whether its connection is kept.
fn whole(buffer: &[u8]) -> io::Result<Option<(u16, bool)>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut answer = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = answer.parse(buffer).map_err(io::Error::other)? else {
        return Ok(None);
    };
    let value = |name: &str| {
        let header = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok()
    };
    let length = value("content-length").and_then(|text| text.parse::<usize>().ok());
    let length = length.ok_or_else(|| io::Error::other("an answer without a length"))?;
    let keep = value("connection").is_none_or(|text| !text.eq_ignore_ascii_case("close"));
    Ok((buffer.len() >= head + length).then_some((answer.code.unwrap_or(0), keep)))
}

/// Makes the calls of one caller, until there are none left.
fn calls(
    [direct, proxied]: [SocketAddr; 2],
    (begun, all): (Instant, &[Arrival]),
    next: &AtomicUsize,
    stop: &Stop,
) -> Result<Vec<Sample>, Error> {
    let (mut direct, mut proxied) = (Line::open(direct)?, Line::open(proxied)?);
    let mut samples = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let Some(&arrival) = all.get(number) else {
            return Ok(samples);
        };
        let due = begun + arrival.at;
        let free = Instant::now() < due;
        stop.sleep_until(due - SPIN.min(due.saturating_duration_since(begun)))?;
        while Instant::now() < due {
            std::hint::spin_loop();
        }
        let late = free.then(|| due.elapsed());
        let line = if arrival.proxied { &mut proxied } else { &mut direct };
        let served = line.call(number as u64 + 1);
        samples.push(Sample { arrival, late, took: served.then(|| due.elapsed()) });
    }
}

fn histogram(times: impl Iterator<Item = Duration>) -> Result<Histogram<u64>, Error> {
    let new = Histogram::new_with_bounds(1, MOST_MICROS, 3);
    let mut histogram = new.map_err(|error| Error::Failed(format!("histogram: {error}")))?;
    times.for_each(|time| histogram.saturating_record(time.as_micros() as u64));
    Ok(histogram)
}

fn millis(histogram: &Histogram<u64>, part: f64) -> f64 {
    match histogram.is_empty() {
        true => f64::NAN,
        false => histogram.value_at_quantile(part) as f64 / 1e3,
    }
}

/// What 99 in 100 say of the budget: how late the generator was, how long direct calls took, and what
/// the proxy added, all in milliseconds; and the part of the calls that waited for a caller.
pub fn verdict(late: f64, piled: f64, direct: f64, added: f64) -> &'static str {
    if late > LATE_PART * budget::ADDED_MS {
        "too busy to tell"
    } else if piled > PILED_PART {
        "over: calls piled up"
    } else if direct > budget::ADDED_MS {
        "too busy to tell"
    } else if added <= budget::ADDED_MS {
        "kept"
    } else {
        "over"
    }
}

/// One list and the proxy that keeps it, before backends that answer at once.
struct Bench<'a> {
    stop: &'a Stop,
    listed: usize,
    rng: SmallRng,
    // In this order: the proxy ends before what it calls.
    proxy: Proxy,
    discovery: Discovery,
    backends: Backends,
}

/// What one run is of.
#[derive(Clone, Copy)]
struct Run {
    rate: f64,
    changes: f64,
    seconds: f64,
}

impl<'a> Bench<'a> {
    fn start(seed: u64, stop: &'a Stop, program: &Path, listed: usize) -> Result<Self, Error> {
        let backends = Backends::start(BACKENDS.min(listed))?;
        let instances = instances(backends.addresses().iter().copied().cycle().take(listed));
        let discovery = Discovery::start(instances.clone(), 1)?;
        let [listen, management] = [Use::Listen, Use::Management].map(|what| addresses(what, 1).next());
        let (listen, management) = listen.zip(management).ok_or(Error::Failed("no address".to_string()))?;
        let mut proxy = Proxy::spawn(&Start {
            program,
            number: 0,
            listen,
            management,
            of: listed, // one proxy a backend, as the fleet has
            seed,
            subscribe: false,
            discovery: discovery.addresses()[0],
            known: &List::known(&instances),
        })?;
        proxy.ready(stop)?;
        let rng = SmallRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9).wrapping_add(listed as u64));
        Ok(Self { stop, listed, rng, proxy, discovery, backends })
    }

    /// Changes weights at these times from now on.
    fn change_at(&mut self, times: &[Duration]) -> Result<(), Error> {
        let begun = Instant::now();
        for time in times {
            self.stop.sleep_until(begun + *time)?;
            let weight = self.rng.random_range(0.5..2.0);
            self.discovery.change(Change::Weight(self.rng.random_range(0..self.listed), weight));
        }
        Ok(())
    }

    /// Makes the calls of a run.
    fn load(&mut self, run: Run) -> Result<Vec<Sample>, Error> {
        let all = mixed(&mut self.rng, run.rate, WARM_UP + run.seconds);
        let changes = arrivals(&mut self.rng, run.changes, WARM_UP + run.seconds);
        let (next, stop, proxied) = (AtomicUsize::new(0), self.stop.clone(), self.proxy.listen);
        let direct: Vec<_> = self.backends.addresses().to_vec();
        let begun = Instant::now() + Duration::from_millis(200); // all callers are connected by then
        std::thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|number| {
                    let to = [direct[number % direct.len()], proxied];
                    let (all, next, stop) = (&all[..], &next, &stop);
                    scope.spawn(move || calls(to, (begun, all), next, stop))
                })
                .collect();
            let changed = self.change_at(&changes);
            let mut samples = Vec::new();
            for caller in callers {
                let made = caller.join().map_err(|_| Error::Failed("a caller has panicked".to_string()))?;
                samples.extend(made?);
            }
            changed.map(|()| samples)
        })
    }

    fn run(&mut self, run: Run, tables: &mut Tables) -> Result<(), Error> {
        let (before, busy) = (self.proxy.usage()?, Machine::now()?);
        let mut samples = self.load(run)?;
        let (after, stalled) = (self.proxy.usage()?, Machine::now()?.stall_since(&busy));
        let made = samples.iter().filter(|sample| sample.arrival.proxied).count();
        samples.retain(|sample| sample.arrival.at.as_secs_f64() >= WARM_UP);
        let of = |proxied: bool| samples.iter().filter(move |sample| sample.arrival.proxied == proxied);
        let all = |proxied: bool| histogram(of(proxied).filter_map(|sample| sample.took));
        let (direct, proxied) = (all(false)?, all(true)?);
        let late = millis(&histogram(samples.iter().filter_map(|sample| sample.late))?, 0.99);
        let piled =
            samples.iter().filter(|sample| sample.late.is_none()).count() as f64 / samples.len() as f64;
        let added = |part: f64| millis(&proxied, part) - millis(&direct, part);
        // The same by parts of the run.
        let part = |sample: &Sample| {
            let at = (sample.arrival.at.as_secs_f64() - WARM_UP) / run.seconds;
            ((at * PARTS as f64) as usize).min(PARTS - 1)
        };
        let mut parts = Vec::new();
        for number in 0..PARTS {
            let of = |proxied| histogram(of(proxied).filter(|s| part(s) == number).filter_map(|s| s.took));
            parts.push(millis(&of(true)?, 0.99) - millis(&of(false)?, 0.99));
        }
        parts.sort_by(f64::total_cmp);
        let verdict = verdict(late, piled, millis(&direct, 0.99), added(0.99));
        let name = [Value::from(self.listed), run.rate.into(), run.changes.into()];
        let waited = (after.waited.saturating_sub(before.waited)).as_secs_f64() * 1e6 / made as f64;
        let spent = (after.processor.saturating_sub(before.processor)).as_secs_f64() * 1e6 / made as f64;
        let figures = [added(0.5), added(0.9), added(0.99), parts[0], parts[PARTS - 1], added(0.999)];
        let rest = [added(0.99) / budget::ADDED_MS, late, 100.0 * piled, spent, waited, 100.0 * stalled];
        let row = name.iter().cloned().chain(figures.into_iter().chain(rest).map(Value::from));
        tables.added.row(row.chain([verdict.into()]));
        for (way, times) in [("direct", &direct), ("proxied", &proxied)] {
            let failed = of(way == "proxied").filter(|sample| sample.took.is_none()).count();
            let counts = [way.into(), (times.len() as usize).into(), failed.into()];
            let percentiles = [0.5, 0.9, 0.99, 0.999].map(|part| millis(times, part).into());
            let most = (times.max() as f64 / 1e3).into();
            tables.calls.row(name.iter().cloned().chain(counts).chain(percentiles).chain([most]));
            let mut low = 0;
            let class = |high: f64| {
                let high = (1e3 * high) as u64;
                let count = times.count_between(low, high);
                low = high + 1;
                Value::from(100.0 * count as f64 / times.len() as f64)
            };
            let classes: Vec<_> = CLASSES.into_iter().map(class).collect();
            tables.classes.row(name.iter().cloned().chain([way.into()]).chain(classes));
        }
        Ok(())
    }
}

struct Tables {
    added: Table,
    calls: Table,
    classes: Table,
}

impl Tables {
    fn new() -> Self {
        let added = Table::new(
            "What the proxy adds to a call: differences of percentiles, and its 99% by fifths of the run",
            &[
                "listed",
                "calls/s",
                "changes/s",
                "50%, ms",
                "90%, ms",
                "99%, ms",
                "99% least fifth, ms",
                "99% most, ms",
                "99.9%, ms",
                "of 0.72 ms",
                "generator late 99%, ms",
                "no caller free, %",
                "proxy core, us/call",
                "proxy waited for core, us/call",
                "machine stalled, %",
                "budget",
            ],
        );
        let head = ["listed", "calls/s", "changes/s", "way"];
        let mut calls = Table::new("Calls, each from the moment at which it was to begin", &head);
        let columns = ["calls", "failed", "50%, ms", "90%, ms", "99%, ms", "99.9%, ms", "max, ms"];
        calls.columns.extend(columns.map(str::to_string));
        let mut classes =
            Table::new("Histogram: % of the calls, by the upper end of their time in ms", &head);
        classes.columns.extend(CLASSES.map(|high| high.to_string()));
        Self { added, calls, classes }
    }
}

/// Runs it.
pub fn run(args: &Args) -> Result<Report, Error> {
    let plan = Plan::read(args)?;
    let program = process::program(args.program.as_deref())?;
    let stop = Stop::on_signals()?;
    let mut report = Report::new("added", plan.seed, &plan)?;
    let mut tables = Tables::new();
    let load = Machine::now()?.load;
    for &listed in &plan.listed {
        let mut bench = Bench::start(plan.seed, &stop, &program, listed)?;
        for &rate in &plan.rates {
            for &changes in &plan.changes {
                tracing::info!("{listed} listed, {rate} calls/s, {changes} changes/s");
                bench.run(Run { rate, changes, seconds: plan.seconds }, &mut tables)?;
            }
        }
        if bench.backends.answered() == 0 {
            return Err(Error::Failed("the backends have answered nothing".to_string()));
        }
    }
    report.tables.extend([tables.added, tables.calls, tables.classes]);
    report.notes.push(format!(
        "Too busy to tell: 99 in 100 calls began later than {:.2} ms ({LATE_PART} of the budget), or direct calls took \
         longer than the budget for more than one in 100. Piled up: more than {CALLERS} calls were under way.",
        LATE_PART * budget::ADDED_MS
    ));
    report.notes.push(format!(
        "Load of the machine (1 min): {load:.1} at the start, {:.1} at the end.",
        Machine::now()?.load
    ));
    Ok(report)
}
