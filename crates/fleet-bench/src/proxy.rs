//! Real proxies as child processes. Each proxy has its own configuration file, is measured through procfs,
//! and is killed on drop.

mod config;

pub use config::{ProxyConfig, RegistryMode};

use crate::error::Error;
use crate::resource_usage::ProcessUsage;
use crate::shutdown::ShutdownSignal;
use procfs::process::Process;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time within which a started proxy must be ready, even on a busy machine.
const READINESS_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two readiness checks.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for connecting and for each read of a readiness check or management call.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(5);
const CONFIG_FILE_NAME: &str = "config.json";
const LOG_FILE_NAME: &str = "log";
const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n";

/// Returns the path of the proxy's program: `path` if given, and otherwise `balancer-proxy` in the directory
/// of this program.
///
/// # Errors
///
/// Returns [`Error::ProgramMissing`] if there is no such file.
pub fn find_program(path: Option<&Path>) -> Result<PathBuf, Error> {
    let path = match path {
        Some(path) => path.to_path_buf(),
        None => std::env::current_exe()?.with_file_name("balancer-proxy"),
    };
    if path.is_file() { Ok(path) } else { Err(Error::ProgramMissing { path }) }
}

/// The program, addresses and configuration with which a proxy is started.
pub struct ProxyOptions<'a> {
    /// Path of the proxy's program.
    pub program: &'a Path,
    /// The address to which clients connect.
    pub listen: SocketAddr,
    /// The address for management calls.
    pub management: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Content of the configuration file.
    pub config: ProxyConfig<'a>,
}

/// A proxy process. Dropping the value kills the process and removes its temporary directory.
pub struct ProxyProcess {
    command: Command,
    child: Child,
    process: Process,
    directory: TempDir,
    listen: SocketAddr,
    management: SocketAddr,
}

impl ProxyProcess {
    /// Starts a proxy, and does not wait until the proxy is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy's files cannot be written or the program cannot be started.
    pub fn spawn(options: &ProxyOptions<'_>) -> Result<Self, Error> {
        let directory = TempDir::with_prefix("fleet-bench-")?;
        let config_path = directory.path().join(CONFIG_FILE_NAME);
        let config = options.config.to_json()?;
        std::fs::write(&config_path, config)
            .map_err(|error| Error::File { path: config_path.clone(), error })?;
        let mut command = Command::new(options.program);
        command
            .env("RELAY_NAME", options.config.name())
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_LISTEN", options.listen.to_string())
            .env("RELAY_MANAGEMENT", options.management.to_string())
            .env("RELAY_DISCOVERY", options.discovery.to_string())
            .env("TMPDIR", directory.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(directory.path().join(LOG_FILE_NAME))?);
        let (child, process) = spawn_process(&mut command)?;
        let (listen, management) = (options.listen, options.management);
        Ok(Self { command, child, process, directory, listen, management })
    }

    /// Returns the address to which clients connect.
    #[must_use]
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the path of the configuration file.
    #[must_use]
    pub fn config_path(&self) -> PathBuf {
        self.directory.path().join(CONFIG_FILE_NAME)
    }

    /// Sends SIGHUP to the proxy, which then reloads its configuration file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the process no longer exists.
    pub fn reload(&self) -> Result<(), Error> {
        // The child has not been waited for, so that no other process has its id.
        Ok(kill_process(Pid::from_child(&self.child), Signal::HUP).map_err(std::io::Error::from)?)
    }

    /// Kills the process with SIGKILL. The files of the process remain.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the system cannot kill or wait for the process.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts a killed proxy again with the same options, and does not wait until the proxy is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn restart(&mut self) -> Result<(), Error> {
        (self.child, self.process) = spawn_process(&mut self.command)?;
        Ok(())
    }

    /// Waits until the proxy is ready.
    ///
    /// # Errors
    ///
    /// Returns [`Error::ProxyEnded`] or [`Error::ProxyNotReady`] if the proxy does not become ready, and
    /// [`Error::Interrupted`] once a signal has arrived.
    pub fn wait_until_ready(&mut self, shutdown: &ShutdownSignal) -> Result<(), Error> {
        let deadline = Instant::now() + READINESS_TIMEOUT;
        while !self.is_ready() {
            shutdown.check()?;
            let address = self.listen;
            if let Some(status) = self.child.try_wait()? {
                return Err(Error::ProxyEnded { address, status, last_log_line: self.last_log_line() });
            }
            if Instant::now() > deadline {
                return Err(Error::ProxyNotReady { address, last_log_line: self.last_log_line() });
            }
            std::thread::sleep(READINESS_POLL_INTERVAL);
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let response = http_request(self.listen, READINESS_REQUEST);
        response.is_ok_and(|response| response.starts_with("HTTP/1.1 200"))
    }

    fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(self.directory.path().join(LOG_FILE_NAME)).unwrap_or_default();
        log.lines().last().unwrap_or("(the log is empty)").to_string()
    }

    /// Reads the resource usage of the process.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Procfs`] if the process has ended.
    pub fn usage(&self) -> Result<ProcessUsage, Error> {
        ProcessUsage::read(&self.process)
    }

    /// Makes the management call `stats`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the proxy cannot be reached, and [`Error::InvalidStats`] if the response is
    /// not JSON followed by `END`.
    pub fn stats(&self) -> Result<Value, Error> {
        let response = management_call(self.management, "stats\n")?;
        let stats = response.strip_suffix("\nEND\n").and_then(|line| serde_json::from_str(line).ok());
        stats.ok_or(Error::InvalidStats { address: self.management, response })
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // fails if the process has already ended
        let _ = self.child.wait();
    }
}

/// Starts a process, and returns it with its procfs entry.
fn spawn_process(command: &mut Command) -> Result<(Child, Process), Error> {
    let path = PathBuf::from(command.get_program());
    let mut child = command.spawn().map_err(|error| Error::File { path, error })?;
    let process = i32::try_from(child.id()).ok().and_then(|id| Process::new(id).ok());
    if let Some(process) = process {
        return Ok((child, process));
    }
    let _ = child.kill(); // fails if the process has already ended
    let _ = child.wait();
    Err(Error::ProcessMissing { id: child.id() })
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, SOCKET_TIMEOUT)?;
    stream.set_read_timeout(Some(SOCKET_TIMEOUT))?;
    Ok(stream)
}

/// Sends an HTTP request that asks the server to close the connection, and returns the response.
fn http_request(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = connect(address)?;
    stream.write_all(request.as_bytes())?;
    read_to_end(stream)
}

/// Makes a management call. The proxy executes the call once the client has closed the sending side of the
/// connection.
fn management_call(address: SocketAddr, call: &str) -> std::io::Result<String> {
    let mut stream = connect(address)?;
    stream.write_all(call.as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    read_to_end(stream)
}

fn read_to_end(mut stream: TcpStream) -> std::io::Result<String> {
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
