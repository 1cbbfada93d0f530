//! One play: processes, clients, signals and what was seen.

use super::backends::{self, Arrivals};
use super::client::{self, ClientPlan, Exchange};
use super::discovery::DiscoveryStub;
use super::scenario::{Scenario, TimedSignal};
use super::verdict::{Observations, Times, breaches};
use crate::common::configuration::{configuration, default_settings, serving_list};
use crate::common::proxy_process::ProxyProcess;
use crate::common::shared_address::SharedAddress;
use crate::common::stub_server::StubServer;
use crate::common::waiting::wait_for;
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The number of clients.
const CLIENTS: u64 = 6;
/// The time after which connections to backends that stand idle are closed, in seconds. The descriptors of the
/// successor are counted once they are.
const IDLE_CLOSE_SECONDS: f64 = 1.0;
/// Interval at which the end of the process is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The time for which clients go on after the end of the old process, where a successor serves them.
const SERVICE_AFTERWARDS: Duration = Duration::from_millis(300);

/// Plays a scenario. Returns a report if a rule was broken.
pub fn play(scenario: &Scenario) -> Result<(), String> {
    let arrivals = Arrivals::default();
    let backends = backends::start(scenario, &arrivals);
    let address = SharedAddress::new();
    let configuration = play_configuration(scenario, &backends);
    let discovery = DiscoveryStub::start(scenario.discovery);
    let mut old = address.start_with_discovery(&configuration, discovery.address());
    old.wait_until_ready();

    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(scenario, &old, &is_over);
    let crowd = connect_crowd(scenario, &old);
    let maintenance = scenario.has_maintenance.then(|| begin_maintenance(&old));
    std::thread::sleep(scenario.service);
    let successor = scenario.has_successor.then(|| {
        let next = address.start_with_discovery(&configuration, discovery.address());
        next.wait_until_ready();
        next
    });
    let resting_descriptors = successor.as_ref().map(ProxyProcess::open_descriptors);

    let times = terminate(scenario, &mut old, maintenance);
    if successor.is_some() {
        std::thread::sleep(SERVICE_AFTERWARDS);
    }
    is_over.store(true, Ordering::SeqCst);
    let exchanges: Vec<Exchange> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    drop(crowd);
    let mut found = Vec::new();
    if let (Some(successor), Some(resting)) = (&successor, resting_descriptors) {
        wait_for("freed descriptors", || successor.open_descriptors() <= resting);
        found.extend((successor.stats()["outstanding"] != json!(0)).then(|| "requests are left".to_string()));
    }
    let exit = old.child.wait().unwrap();
    if !times.was_killed && exit.code() != Some(0) {
        found.push(format!("the old process ended with {exit}"));
    }

    let arrivals = arrivals.lock().unwrap().clone();
    let observations = Observations { exchanges, arrivals, times };
    found.extend(breaches(scenario, &observations));
    report(scenario, &found, &old)
}

fn report(scenario: &Scenario, found: &[String], old: &ProxyProcess) -> Result<(), String> {
    if found.is_empty() {
        return Ok(());
    }
    let log = old.log.lock().unwrap().join("\n  ");
    Err(format!("{scenario:?}\n{} breaches:\n  {}\nlog:\n  {log}", found.len(), found.join("\n  ")))
}

fn play_configuration(scenario: &Scenario, backends: &[StubServer]) -> Value {
    let mut settings = default_settings();
    settings["caps"]["idle-close"] = json!(IDLE_CLOSE_SECONDS);
    let deadline = scenario.longest_deadline.as_secs_f64();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["on-time"] = json!(deadline);
        class["hard-limit"] = json!(deadline);
    }
    configuration(&settings, &serving_list(&backends.iter().collect::<Vec<_>>()))
}

fn start_clients(
    scenario: &Scenario,
    proxy: &ProxyProcess,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<Exchange>>> {
    let start = |index| {
        let plan = ClientPlan {
            address: proxy.address,
            seed: scenario.seed * CLIENTS + index,
            deadline: scenario.longest_deadline,
            has_streamed_bodies: scenario.has_streamed_bodies,
        };
        let is_over = is_over.clone();
        std::thread::spawn(move || client::run(plan, &is_over))
    };
    (0..CLIENTS).map(start).collect()
}

/// Opens connections that begin a head and never finish it.
fn connect_crowd(scenario: &Scenario, proxy: &ProxyProcess) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = TcpStream::connect(proxy.address).ok()?;
        stream.write_all(b"GET /api HTTP/1.1\r\nHost:").ok()?;
        Some(stream)
    };
    (0..scenario.unfinished_heads).filter_map(connect).collect()
}

fn begin_maintenance(proxy: &ProxyProcess) -> Instant {
    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    Instant::now()
}

/// Sends the signals, and SIGKILL at the earliest time that the operators' pages allow.
fn terminate(scenario: &Scenario, old: &mut ProxyProcess, maintenance: Option<Instant>) -> Times {
    let mut before: Vec<TimedSignal> = scenario.signals.clone();
    before.retain(|signal| signal.is_before);
    before.sort_by_key(|signal| std::cmp::Reverse(signal.offset));
    let mut remaining = before.first().map_or(Duration::ZERO, |first| first.offset);
    for signal in before {
        std::thread::sleep(remaining - signal.offset);
        remaining = signal.offset;
        old.signal(signal.signal);
    }
    std::thread::sleep(remaining);
    let terminated = Instant::now();
    old.signal("-TERM");
    let mut after: Vec<TimedSignal> = scenario.signals.clone();
    after.retain(|signal| !signal.is_before);
    after.sort_by_key(|signal| std::cmp::Reverse(signal.offset));
    let killed_at = terminated + scenario.kill_delay();
    loop {
        if old.child.try_wait().unwrap().is_some() {
            return Times { terminated, ended: Instant::now(), was_killed: false, maintenance };
        }
        if Instant::now() >= killed_at {
            old.child.kill().unwrap();
            return Times { terminated, ended: Instant::now(), was_killed: true, maintenance };
        }
        if after.last().is_some_and(|signal| terminated.elapsed() >= signal.offset) {
            old.signal(after.pop().unwrap().signal);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
