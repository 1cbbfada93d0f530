//! Real proxies as processes: started with a configuration of their own, read through procfs, and
//! ended when they are dropped. Also what the machine itself says of how busy it is.

use crate::discovery::{Instance, List};
use crate::error::Error;
use procfs::process::Process;
use procfs::{CpuPressure, Current, LoadAverage};
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde_json::{Value, json};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::signal::unix::{SignalKind, signal};

/// A started proxy must be ready within this, on a busy machine too.
const READY_WITHIN: Duration = Duration::from_secs(60);
/// How often it is asked whether it is.
const ASK_EVERY: Duration = Duration::from_millis(20);
/// One question and its answer, at readiness and management.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
/// A wait looks this often whether the run is to end.
const LOOK: Duration = Duration::from_millis(200);

/// What a proxy may spend for control, by the operators' expectation.
pub mod budget {
    /// Part of a core.
    pub const CORE: f64 = 0.01;
    /// Resident memory, in bytes.
    pub const MEMORY: f64 = 128e6;
    /// Bytes a second.
    pub const BYTES: f64 = 3_000.0;
    /// Added to a call for 99 in 100, in milliseconds.
    pub const ADDED_MS: f64 = 0.72;
}

/// What an address of a run is for.
#[derive(Clone, Copy, Debug)]
pub enum Use {
    /// A stand-in discovery, one address for each proxy.
    Discovery = 96,
    /// Where a proxy's clients connect.
    Listen = 97,
    /// Where a proxy's operators call.
    Management = 98,
    /// A stand-in backend.
    Backend = 99,
}

/// The next number of an address.
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// Loopback addresses that no other run takes at the same time: they hold this process's id. Ports
/// are below those that the system gives out by itself, so that one that is left for a while is
/// still free afterwards. There are 12,000 for each use, then they come round.
pub fn addresses(what: Use, count: usize) -> impl Iterator<Item = SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let first = NEXT.fetch_add(count, Ordering::Relaxed);
    let port = |number: usize| 20_000 + (number % 12_000) as u16;
    (first..first + count).map(move |number| SocketAddr::from(([127, what as u8, high, low], port(number))))
}

/// The program of the proxy: the one that is named, else the one beside this program.
pub fn program(named: Option<&Path>) -> Result<PathBuf, Error> {
    let path = match named {
        Some(path) => path.to_path_buf(),
        None => std::env::current_exe()?.with_file_name("balancer-proxy"),
    };
    match path.is_file() {
        true => Ok(path),
        false => Err(Error::Failed(format!(
            "{}: no such program (build it, or name it by --proxy)",
            path.display()
        ))),
    }
}

/// Tells of Ctrl-C and SIGTERM: a run that they end still drops, and so ends, what it started.
#[derive(Clone, Debug)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// From now on both signals only set this.
    pub fn on_signals() -> Result<Self, Error> {
        let stop = Self(Arc::default());
        let told = stop.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
        let (mut interrupt, mut terminate) = {
            let _inside = runtime.enter();
            (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?)
        };
        std::thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = interrupt.recv() => {}
                    _ = terminate.recv() => {}
                }
            });
            told.0.store(true, Ordering::Relaxed);
        });
        Ok(stop)
    }

    /// An error once a signal has come.
    pub fn check(&self) -> Result<(), Error> {
        if self.0.load(Ordering::Relaxed) { Err(Error::Interrupted) } else { Ok(()) }
    }

    /// Sleeps until then, unless a signal comes.
    pub fn sleep_until(&self, at: Instant) -> Result<(), Error> {
        loop {
            self.check()?;
            let left = at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(LOOK));
        }
    }
}

/// The settings of every proxy that is measured: those of a service in a later tier, where each of
/// `of` callers has its own proxy and this one is `me` among them. `subscribe` is the mode in which
/// the list must be asked for.
pub fn settings(me: usize, of: usize, subscribe: bool) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "window": 5.0, "on-time": 0.5,
               "hard-limit": 1.0, "late-worth": 0.2, "worth": 1.0, "stream": false})
    };
    let mode = if subscribe { "subscribe" } else { "automatic" };
    json!({
        "caps": {"cancel": true, "connect-timeout": 1.0, "idle-close": 30.0, "max-attempts": 4,
                 "max-open": 1000, "max-retry-after": 1.0, "probing": true, "retry-after": true,
                 "second-copies": true},
        "classes": [class("look", "free"), class("save", "guarded"), class("order", "single_shot")],
        "me": me, "n-instances": of, "quantum": 0.001, "registry-mode": mode,
        "rules": {"ask-within": 10.0, "cold": 5.0, "cold-share": 0.2, "drain-grace": 1.0,
                  "fall-multiple": 3.0, "tip-after": 1.0},
        "stats": {"fields": [], "how": "off"}, "tier": 1, "zone": "a", "zones": ["a", "b", "c"]
    })
}

/// What one proxy is started with.
pub struct Start<'a> {
    /// The program.
    pub program: &'a Path,
    /// Its number among those of the run.
    pub number: usize,
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Where its operators call.
    pub management: SocketAddr,
    /// How many proxies its tier has, whether or not they run: they share out the list.
    pub of: usize,
    /// What its own random numbers come from.
    pub seed: u64,
    /// The list must be asked for.
    pub subscribe: bool,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The list as it last had it.
    pub known: &'a List<&'a Instance>,
}

#[derive(Serialize)]
struct Config<'a> {
    name: String,
    seed: String,
    limits: Value,
    known: &'a List<&'a Instance>,
    settings: Value,
}

/// What a process has used and holds, at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// When it was read.
    pub at: Instant,
    /// Processor time since its start.
    pub processor: Duration,
    /// Time since its start in which it could have run and waited for a processor.
    pub waited: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// The most that this has been.
    pub resident_peak: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl Usage {
    fn of(process: &Process) -> Result<Self, Error> {
        let read = || {
            let status = process.status()?;
            let kilobytes = |value: Option<u64>| value.unwrap_or(0) * 1024;
            // Finer than the ticks of `stat`, which are as long as a second's whole budget.
            let (mut spent, mut waited) = (0, 0);
            for task in process.tasks()? {
                let counts = task?.schedstat()?;
                (spent, waited) = (spent + counts.sum_exec_runtime, waited + counts.run_delay);
            }
            Ok(Self {
                at: Instant::now(),
                processor: Duration::from_nanos(spent),
                waited: Duration::from_nanos(waited),
                resident: kilobytes(status.vmrss),
                resident_peak: kilobytes(status.vmhwm),
                descriptors: process.fd_count()?,
            })
        };
        read().map_err(|error: procfs::ProcError| Error::Failed(format!("procfs: {error}")))
    }

    /// Of this program itself.
    pub fn of_self() -> Result<Self, Error> {
        let process = Process::myself().map_err(|error| Error::Failed(format!("procfs: {error}")))?;
        Self::of(&process)
    }

    /// Part of a core spent between an earlier moment and this one.
    pub fn cores_since(&self, before: &Self) -> f64 {
        let spent = self.processor.saturating_sub(before.processor);
        spent.as_secs_f64() / self.at.duration_since(before.at).as_secs_f64()
    }
}

/// How busy the machine is, with all that runs on it.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    at: Instant,
    stalled: Duration,
    /// Tasks that run or wait to, on average over the last minute.
    pub load: f64,
}

impl Machine {
    /// At this moment.
    pub fn now() -> Result<Self, Error> {
        let read = || {
            let stalled = Duration::from_micros(CpuPressure::current()?.some.total);
            let load = f64::from(LoadAverage::current()?.one);
            Ok(Self { at: Instant::now(), stalled, load })
        };
        read().map_err(|error: procfs::ProcError| Error::Failed(format!("procfs: {error}")))
    }

    /// Part of the time since an earlier moment in which some task waited for a processor.
    pub fn stall_since(&self, before: &Self) -> f64 {
        let stalled = self.stalled.saturating_sub(before.stalled);
        stalled.as_secs_f64() / self.at.duration_since(before.at).as_secs_f64()
    }
}

/// A proxy that runs. Dropping it ends the process and takes its folder away.
pub struct Proxy {
    command: Command,
    child: Child,
    process: Process,
    folder: TempDir,
    /// Where clients connect.
    pub listen: SocketAddr,
    management: SocketAddr,
}

impl Proxy {
    /// Starts one, without a wait until it is ready.
    pub fn spawn(start: &Start<'_>) -> Result<Self, Error> {
        let folder = TempDir::with_prefix("fleet-bench-")?;
        let path = folder.path().join("config.json");
        let config = Config {
            name: format!("n{}", start.number),
            seed: format!("{:016x}", start.seed),
            limits: json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024}),
            known: start.known,
            settings: settings(start.number, start.of, start.subscribe),
        };
        let text =
            serde_json::to_vec(&config).map_err(|error| Error::Failed(format!("configuration: {error}")))?;
        std::fs::write(&path, text).map_err(|error| Error::File { path: path.clone(), error })?;
        let (listen, management) = (start.listen, start.management);
        let mut command = Command::new(start.program);
        command
            .env("RELAY_NAME", format!("n{}", start.number))
            .env("RELAY_CONFIG", &path)
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_MANAGEMENT", management.to_string())
            .env("RELAY_DISCOVERY", start.discovery.to_string())
            .env("TMPDIR", folder.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(folder.path().join("log"))?);
        let (child, process) = launch(&mut command)?;
        Ok(Self { command, child, process, folder, listen, management })
    }

    /// Its configuration file.
    pub fn config(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Has it read that file again, by SIGHUP.
    pub fn reload(&self) -> Result<(), Error> {
        // Its end has not been waited for, so the id is still its own.
        Ok(kill_process(Pid::from_child(&self.child), Signal::HUP).map_err(std::io::Error::from)?)
    }

    /// Ends it by SIGKILL. What it has written stays.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts a killed one as it was started first, without a wait until it is ready.
    pub fn start_again(&mut self) -> Result<(), Error> {
        (self.child, self.process) = launch(&mut self.command)?;
        Ok(())
    }

    /// Returns once it is ready.
    pub fn ready(&mut self, stop: &Stop) -> Result<(), Error> {
        let by = Instant::now() + READY_WITHIN;
        let ask = || {
            let request = "GET /-/ready HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n";
            ask(self.listen, request).is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
        };
        while !ask() {
            stop.check()?;
            if let Some(status) = self.child.try_wait()? {
                return Err(Error::Failed(format!(
                    "{}: ended: {status}: {}",
                    self.listen,
                    self.last_words()
                )));
            }
            if Instant::now() > by {
                return Err(Error::Failed(format!("{}: not ready: {}", self.listen, self.last_words())));
            }
            std::thread::sleep(ASK_EVERY);
        }
        Ok(())
    }

    /// The last line of its log.
    fn last_words(&self) -> String {
        let log = std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        log.lines().last().unwrap_or("it has said nothing").to_string()
    }

    /// What it uses and holds.
    pub fn usage(&self) -> Result<Usage, Error> {
        Usage::of(&self.process)
    }

    /// What it answers to `stats` at its management address.
    pub fn stats(&self) -> Result<Value, Error> {
        let answer = ask(self.management, "stats\n")?;
        let figures = answer.strip_suffix("\nEND\n").and_then(|line| serde_json::from_str(line).ok());
        figures.ok_or_else(|| Error::Failed(format!("{}: no figures: {answer}", self.management)))
    }
}

fn launch(command: &mut Command) -> Result<(Child, Process), Error> {
    let path = PathBuf::from(command.get_program());
    let mut child = command.spawn().map_err(|error| Error::File { path, error })?;
    let process = i32::try_from(child.id()).ok().and_then(|id| Process::new(id).ok());
    let Some(process) = process else {
        let _ = child.kill(); // it is gone if that fails
        let _ = child.wait();
        return Err(Error::Failed(format!("process {}: not in procfs", child.id())));
    };
    Ok((child, process))
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it has ended by itself if that fails
        let _ = self.child.wait();
    }
}

/// What comes back to one question, until the connection ends.
fn ask(address: SocketAddr, question: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_WITHIN)?;
    stream.set_read_timeout(Some(ANSWER_WITHIN))?;
    stream.write_all(question.as_bytes())?;
    if !question.starts_with("GET") {
        stream.shutdown(Shutdown::Write)?; // management takes what has come whole
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
