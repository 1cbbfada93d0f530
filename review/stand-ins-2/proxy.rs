//! The proxy as a process of its own, started by the command `run` of the deploy file.

use super::record::Record;
use super::{client, free_address, sleep_ms};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// What a configuration tells a proxy, as far as the cases differ.
pub struct Configuration {
    pub listen: SocketAddr,
    pub management: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub sockets: u64,
    pub memory_mb: u64,
    pub registry_mode: &'static str,
    pub known: String,
}

impl Configuration {
    /// Returns the configuration of a small deployment, which lists the backends of `known`.
    pub fn new(discovery: SocketAddr, known: String) -> Self {
        Self {
            listen: free_address(),
            management: None,
            discovery,
            sockets: 512,
            memory_mb: 96,
            registry_mode: "automatic",
            known,
        }
    }

    /// Writes the file. The settings are those of the example on the operators' page of the wire.
    pub fn write(&self, path: &Path) {
        let management = self.management.map(|address| format!("\"management\":\"{address}\",")).unwrap_or_default();
        let class = |name: &str, effect: &str, on_time: f64, limit: f64, worth: f64| {
            format!(
                "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"group\":\"cell\",\"window\":10.0,\"on-time\":{on_time},\
                 \"hard-limit\":{limit},\"late-worth\":0.25,\"stream\":false,\"worth\":{worth}}}"
            )
        };
        let classes = [
            class("quote", "free", 1.5, 4.0, 1.0),
            class("save-file", "guarded", 2.5, 6.0, 8.0),
            class("lodge", "single_shot", 2.5, 6.0, 10.0),
        ];
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",{management}\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{{\
             \"tier\":0,\"me\":0,\"n-instances\":1,\"zone\":\"a\",\"zones\":[\"a\"],\"quantum\":0.005,\
             \"registry-mode\":\"{}\",\"classes\":[{}],\"projects\":[],\"over-share-worth\":0.1,\
             \"caps\":{{\"cancel\":true,\"connect-timeout\":0.15,\"idle-close\":30.0,\"max-attempts\":6,\
             \"max-open\":20000,\"max-retry-after\":2.0,\"peer-messages\":true,\"probing\":true,\
             \"retry-after\":true,\"second-copies\":true}},\
             \"rules\":{{\"answer-slack\":0.02,\"ask-within\":10.0,\"cold\":8.8,\"cold-share\":0.31,\
             \"drain-grace\":1.0,\"fall-multiple\":3.0,\"tip-after\":2.0}},\
             \"costs\":{{\"cross-zone\":0.01,\"connection\":0.0,\"handshake\":0.02}},\"stats\":{{\"how\":\"off\"}}}}}}",
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.known,
            self.registry_mode,
            classes.join(",")
        );
        let staged = path.with_extension("new");
        std::fs::write(&staged, text).unwrap();
        std::fs::rename(staged, path).unwrap();
    }
}

/// A folder for the configuration and the temporary files of the proxies, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder.
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// Returns the path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running proxy, which is killed at the latest when the value is dropped.
pub struct Proxy {
    label: String,
    process: Child,
    record: Record,
}

impl Proxy {
    /// Starts a proxy with the configuration in a file.
    pub fn start(label: &str, configuration: &Configuration, file: &Path, record: &Record) -> Self {
        let run = std::env::var("RUN_COMMAND").expect("RUN_COMMAND is not set");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).env("RELAY_NAME", "n0").env("RELAY_CONFIG", file);
        command.env("RELAY_LISTEN", configuration.listen.to_string());
        command.env("RELAY_DISCOVERY", configuration.discovery.to_string());
        command.env("TMPDIR", file.parent().unwrap());
        if let Some(management) = configuration.management {
            command.env("RELAY_MANAGEMENT", management.to_string());
        }
        let mut process = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        record.line(&format!("{label}: started"));
        let log = BufReader::new(process.stderr.take().unwrap());
        let (log_record, log_label) = (record.clone(), label.to_string());
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                log_record.line(&format!("{log_label} log: {line}"));
            }
        });
        Self { label: label.to_string(), process, record: record.clone() }
    }

    /// Waits until the proxy answers that it is ready. Returns whether it did within 10 s.
    pub fn wait_until_ready(&self, listen: SocketAddr) -> bool {
        for _ in 0..200 {
            if client::get(listen, "/-/ready", &[], Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200) {
                self.record.line(&format!("{}: ready", self.label));
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Sends a signal, such as `HUP`.
    pub fn signal(&self, name: &str) {
        self.record.line(&format!("{}: gets SIG{name}", self.label));
        let kill = format!("kill -s {name} {}", self.process.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(kill).status();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().map(|status| status.is_some()).unwrap_or(true)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Makes a management call, and returns the first line of the answer, or nothing after a second.
pub fn manage(address: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    Some(line.trim_end().to_string())
}
