//! The run of one scenario: it starts the processes and clients, sends the signals and collects observations.

use super::backends::{self, Arrivals};
use super::client::{self, ClientParameters, Exchange};
use super::discovery::DiscoveryStub;
use super::rule_checks::{Observations, ScenarioTimes, rule_violations};
use super::scenario::{Scenario, TimedSignal};
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
const CLIENT_COUNT: u64 = 6;
/// The time after which idle connections to backends are closed, in seconds. The number of descriptors of the
/// successor decreases to its initial value only after that time.
const IDLE_CLOSE_S: f64 = 1.0;
/// The interval at which the test checks whether the process has ended.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The time for which clients continue after the end of the old process if a successor serves them.
const SERVICE_TIME_AFTER_EXIT: Duration = Duration::from_millis(300);

/// Runs a scenario. Returns a report as the error if a rule was violated.
pub fn run_scenario(scenario: &Scenario) -> Result<(), String> {
    let arrivals = Arrivals::default();
    let backends = backends::start_backends(scenario, &arrivals);
    let address = SharedAddress::new();
    let configuration = scenario_configuration(scenario, &backends);
    let discovery = DiscoveryStub::start(scenario.discovery);
    let mut old = address.start_with_discovery(&configuration, discovery.address());
    old.wait_until_ready();

    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(scenario, &old, &is_over);
    let unfinished_heads = open_unfinished_heads(scenario, &old);
    let maintenance_begun_at = scenario.has_maintenance.then(|| begin_maintenance(&old));
    std::thread::sleep(scenario.service_time);
    let successor = scenario.has_successor.then(|| {
        let next = address.start_with_discovery(&configuration, discovery.address());
        next.wait_until_ready();
        next
    });
    let initial_descriptors = successor.as_ref().map(ProxyProcess::open_descriptors);

    let times = send_signals(scenario, &mut old, maintenance_begun_at);
    if successor.is_some() {
        std::thread::sleep(SERVICE_TIME_AFTER_EXIT);
    }
    is_over.store(true, Ordering::SeqCst);
    let exchanges: Vec<Exchange> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    drop(unfinished_heads);
    let mut violations = Vec::new();
    if let (Some(successor), Some(initial_descriptors)) = (&successor, initial_descriptors) {
        wait_for("a decrease of the successor's descriptors", || {
            successor.open_descriptors() <= initial_descriptors
        });
        violations.extend(
            (successor.stats()["outstanding"] != json!(0))
                .then(|| "the successor still has open requests".to_string()),
        );
    }
    let exit = old.child.wait().unwrap();
    if !times.was_killed && exit.code() != Some(0) {
        violations.push(format!("the old process ended with {exit}"));
    }

    let arrivals = arrivals.lock().unwrap().clone();
    let observations = Observations { exchanges, arrivals, times };
    violations.extend(rule_violations(scenario, &observations));
    report(scenario, &violations, &old)
}

/// Returns an error with the violations and the log of the old process, or `Ok` if there are no violations.
fn report(scenario: &Scenario, violations: &[String], old: &ProxyProcess) -> Result<(), String> {
    if violations.is_empty() {
        return Ok(());
    }
    let log = old.log.lock().unwrap().join("\n  ");
    Err(format!(
        "{scenario:?}\n{} violations:\n  {}\nlog:\n  {log}",
        violations.len(),
        violations.join("\n  ")
    ))
}

fn scenario_configuration(scenario: &Scenario, backends: &[StubServer]) -> Value {
    let mut settings = default_settings();
    settings["caps"]["idle-close"] = json!(IDLE_CLOSE_S);
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
    let start_client = |index| {
        let parameters = ClientParameters {
            address: proxy.address,
            seed: scenario.seed * CLIENT_COUNT + index,
            deadline: scenario.longest_deadline,
            has_streamed_bodies: scenario.has_streamed_bodies,
        };
        let is_over = is_over.clone();
        std::thread::spawn(move || client::run_client(parameters, &is_over))
    };
    (0..CLIENT_COUNT).map(start_client).collect()
}

/// Opens connections on which a request head begins and never ends.
fn open_unfinished_heads(scenario: &Scenario, proxy: &ProxyProcess) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = TcpStream::connect(proxy.address).ok()?;
        stream.write_all(b"GET /api HTTP/1.1\r\nHost:").ok()?;
        Some(stream)
    };
    (0..scenario.unfinished_heads).filter_map(connect).collect()
}

/// Starts the maintenance of the first backend, and returns the time at which the management call was
/// answered.
fn begin_maintenance(proxy: &ProxyProcess) -> Instant {
    assert!(proxy.management_call("maint-on s-0\n").starts_with("OK"));
    Instant::now()
}

/// Sends the signals of the scenario to the old process, and SIGKILL at the earliest time that the operators'
/// pages allow if the process still runs then.
fn send_signals(
    scenario: &Scenario,
    old: &mut ProxyProcess,
    maintenance_begun_at: Option<Instant>,
) -> ScenarioTimes {
    let mut signals_before: Vec<TimedSignal> = scenario.signals.clone();
    signals_before.retain(|signal| signal.is_before);
    signals_before.sort_by_key(|signal| std::cmp::Reverse(signal.offset));
    let mut remaining = signals_before.first().map_or(Duration::ZERO, |first| first.offset);
    for signal in signals_before {
        std::thread::sleep(remaining - signal.offset);
        remaining = signal.offset;
        old.signal(signal.signal);
    }
    std::thread::sleep(remaining);
    let terminated_at = Instant::now();
    old.signal("-TERM");
    let mut signals_after: Vec<TimedSignal> = scenario.signals.clone();
    signals_after.retain(|signal| !signal.is_before);
    signals_after.sort_by_key(|signal| std::cmp::Reverse(signal.offset));
    let killed_at = terminated_at + scenario.sigkill_delay();
    loop {
        if old.child.try_wait().unwrap().is_some() {
            return ScenarioTimes {
                terminated_at,
                ended_at: Instant::now(),
                was_killed: false,
                maintenance_begun_at,
            };
        }
        if Instant::now() >= killed_at {
            old.child.kill().unwrap();
            return ScenarioTimes {
                terminated_at,
                ended_at: Instant::now(),
                was_killed: true,
                maintenance_begun_at,
            };
        }
        if signals_after.last().is_some_and(|signal| terminated_at.elapsed() >= signal.offset) {
            old.signal(signals_after.pop().unwrap().signal);
        }
        std::thread::sleep(PROCESS_POLL_INTERVAL);
    }
}
