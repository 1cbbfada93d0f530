//! What the cases share: the record, the processes of a case, and the proxy with its configuration.

#![allow(dead_code)]

pub mod backend;
pub mod client;
pub mod config;
pub mod discovery;
pub mod http;

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, each line with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("cannot write record.txt: {error}");
            exit(COULD_NOT_RUN)
        });
        Self { file: Mutex::new(file), start: Instant::now() }
    }

    /// Returns the time since the start of the run, in seconds.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3}  {}", self.now(), text.as_ref());
    }
}

/// Returns whether the run is one with the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a free loopback port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// The temporary folder of a run, which is removed at its end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates the folder.
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }

    /// Returns the path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process that the case has started. It is killed when the value is dropped.
pub struct Process(pub Child);

impl Process {
    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        let mut kill = Command::new("kill");
        let _ = kill.args([&format!("-{name}"), &pid]).stderr(Stdio::null()).status();
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.0.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns a figure of `/proc/PID/status` in KiB, such as `VmRSS`.
    pub fn memory_kib(&self, figure: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(figure)?.strip_prefix(':'));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
    run.expect("run in the deploy file").to_string()
}

/// Returns the root of the repository, two folders above that of a case.
pub fn root_of(case_folder: &Path) -> PathBuf {
    case_folder.join("../..").canonicalize().expect("the root of the repository")
}

/// Starts the proxy with the command of the deploy file. Its log is `log` in the temporary folder.
pub fn start_proxy(root: &Path, temp: &TempFolder, config: &Path, tmpdir: &Path, log: &str) -> Process {
    let log = File::create(temp.file(log)).expect("the log");
    let command = run_command(root);
    let child = Command::new("/bin/sh")
        .args(["-c", &command])
        .current_dir(root)
        .env("RELAY_CONFIG", config)
        .env("TMPDIR", tmpdir)
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_DISCOVERY")
        .env_remove("RELAY_MANAGEMENT")
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log"))
        .stderr(log)
        .spawn()
        .expect("the proxy");
    Process(child)
}

/// Waits until `/-/ready` has answered 200.
pub fn wait_until_ready(address: SocketAddr) -> bool {
    for _ in 0..200 {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let request = "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
            let sent = stream.write_all(request.as_bytes());
            if sent.is_ok() && http::read_response(&mut stream).is_ok_and(|answer| answer.status == 200) {
                return true;
            }
        }
        sleep(Duration::from_millis(50));
    }
    false
}

/// Exits with the code of a case that could not run.
pub fn give_up(record: &Record, reason: &str) -> ! {
    record.line(format!("could not run: {reason}"));
    eprintln!("could not run: {reason}");
    exit(COULD_NOT_RUN)
}

/// Records the verdict and returns its exit code.
pub fn verdict(record: &Record, broken: bool, text: &str) -> i32 {
    let word = if broken { "BROKEN" } else { "held" };
    record.line(format!("rule {word}: {text}"));
    println!("rule {word}: {text}");
    if broken { BROKEN } else { HELD }
}
