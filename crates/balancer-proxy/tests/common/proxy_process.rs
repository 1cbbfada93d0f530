//! The proxy program as a child process of a test.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use super::configuration::{configuration, configuration_with_management, default_settings, serving_list};
use super::http::{HttpMessage, connect, exchange};
use super::stub_server::{StubServer, silent_discovery};
use super::temporary::{configuration_path, empty_folder};
use super::waiting::{next_unique_number, wait_for};

/// A command that runs the proxy program and has not been started.
pub struct ProxyCommand {
    /// The command of the program with its environment.
    pub command: Command,
    /// The configuration file that the environment names.
    pub configuration_path: PathBuf,
}

/// Returns a command with this configuration text, this discovery and a temporary folder of its own.
pub fn proxy_command(configuration: &str, discovery: SocketAddr) -> ProxyCommand {
    let number = next_unique_number();
    let configuration_path = configuration_path(number);
    std::fs::write(&configuration_path, configuration).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_balancer-proxy"));
    command.env("RELAY_CONFIG", &configuration_path).env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", discovery.to_string());
    command.env("TMPDIR", empty_folder(number));
    ProxyCommand { command, configuration_path }
}

/// A running proxy. The process is killed when the value is dropped.
pub struct ProxyProcess {
    /// The child process.
    pub child: Child,
    /// The address for clients.
    pub address: SocketAddr,
    /// The management address, if the configuration sets one.
    pub management: Option<SocketAddr>,
    /// The lines that the proxy logged up to the line `listening on`.
    pub starting_log: Vec<String>,
    /// The lines that the proxy has logged since it listens.
    pub log: Arc<Mutex<Vec<String>>>,
    /// The configuration file, which the process reads again on a reload.
    pub configuration_path: PathBuf,
}

impl ProxyProcess {
    /// Starts a proxy with these settings and this cached endpoint list.
    pub fn start(settings: &Value, cached_endpoints: &Value, discovery: SocketAddr) -> Self {
        Self::with_configuration(&configuration(settings, cached_endpoints), discovery)
    }

    /// Starts a proxy with this configuration.
    pub fn with_configuration(configuration: &Value, discovery: SocketAddr) -> Self {
        Self::spawn(proxy_command(&configuration.to_string(), discovery))
    }

    /// Starts a proxy with default settings and these backends in its cached endpoint list.
    pub fn in_front_of(backends: &[&StubServer]) -> Self {
        Self::start(&default_settings(), &serving_list(backends), silent_discovery().address)
    }

    /// Starts a proxy like [`ProxyProcess::in_front_of`], with a management address.
    pub fn with_management_address(backends: &[&StubServer]) -> Self {
        let configuration = configuration_with_management(&default_settings(), &serving_list(backends));
        Self::with_configuration(&configuration, silent_discovery().address)
    }

    /// Starts a proxy like [`ProxyProcess::in_front_of`], with this limit on its sockets.
    pub fn with_socket_limit(backends: &[&StubServer], sockets: usize) -> Self {
        let mut configuration = configuration(&default_settings(), &serving_list(backends));
        configuration["limits"]["sockets"] = json!(sockets);
        Self::with_configuration(&configuration, silent_discovery().address)
    }

    /// Starts a proxy with this limit on its file descriptors, both in the process (`ulimit -n`) and in its
    /// configuration.
    pub fn with_descriptor_limit(configuration: &Value, discovery: SocketAddr, descriptors: usize) -> Self {
        let mut configuration = configuration.clone();
        configuration["limits"]["sockets"] = json!(descriptors);
        let unlimited = proxy_command(&configuration.to_string(), discovery);
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec \"$0\"");
        command.args(["-c", &script]).arg(unlimited.command.get_program());
        for (name, value) in unlimited.command.get_envs() {
            command.env(name, value.unwrap_or_default());
        }
        Self::spawn(ProxyCommand { command, ..unlimited })
    }

    /// Starts the process and waits until it listens.
    pub fn spawn(proxy_command: ProxyCommand) -> Self {
        let ProxyCommand { mut command, configuration_path } = proxy_command;
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut stderr = BufReader::new(child.stderr.take().unwrap());
        let mut management = None;
        let mut starting_log = Vec::new();
        let address = loop {
            let mut line = String::new();
            assert!(stderr.read_line(&mut line).unwrap() > 0, "the proxy exited before it listened");
            starting_log.push(line.trim().to_string());
            let message = line.trim().strip_prefix("balancer-proxy: ").unwrap_or_default();
            match message.split_once(" on ") {
                Some(("listening", address)) => break address.parse().unwrap(),
                Some(("management", address)) => management = Some(address.parse().unwrap()),
                _ => {} // another log line, such as a warning
            }
        };
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let lines = log.clone();
        // The log is read to its end, so that its pipe never becomes full.
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lines.lock().unwrap().push(line);
            }
        });
        Self { child, address, management, starting_log, log, configuration_path }
    }

    /// Opens a client connection.
    pub fn connect(&self) -> BufReader<TcpStream> {
        connect(self.address)
    }

    /// Opens a client connection and writes this text, a request or a part of one.
    pub fn begin_request(&self, text: &str) -> BufReader<TcpStream> {
        let mut stream = self.connect();
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        stream
    }

    /// Sends a request on a connection of its own and returns the response.
    pub fn exchange(&self, request: &str) -> HttpMessage {
        exchange(&mut self.connect(), request)
    }

    /// Opens a connection to the management address.
    pub fn connect_management(&self) -> BufReader<TcpStream> {
        connect(self.management.expect("the proxy has no management address"))
    }

    /// Sends a management call and returns the response up to the end of the connection.
    pub fn management_call(&self, line: &str) -> String {
        let mut stream = self.connect_management();
        stream.get_mut().write_all(line.as_bytes()).unwrap();
        let _ = stream.get_mut().shutdown(Shutdown::Write); // the proxy may have closed the connection
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    }

    /// Waits until the management call `status` reports that the proxy is ready.
    pub fn wait_until_ready(&self) {
        wait_for("the readiness of the proxy", || self.management_call("status\n").starts_with("OK"));
    }

    /// Returns the metrics that the management call `stats` reports.
    pub fn stats(&self) -> Value {
        let text = self.management_call("stats\n");
        let stats = text.strip_suffix("\nEND\n").expect(&text);
        serde_json::from_str(stats).unwrap()
    }

    /// Returns a figure of `/proc/PID/status` in kilobytes, such as `VmRSS`.
    pub fn memory_kb(&self, figure: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let mut lines = status.lines();
        let value = lines.find_map(|line| line.strip_prefix(figure)?.strip_prefix(':')).unwrap();
        value.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Returns the number of open file descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Replaces the configuration file atomically.
    pub fn replace_configuration(&self, configuration: &Value) {
        self.replace_configuration_text(&configuration.to_string());
    }

    /// Replaces the configuration file atomically by text, which may be invalid.
    pub fn replace_configuration_text(&self, text: &str) {
        let new_file = self.configuration_path.with_extension("new");
        std::fs::write(&new_file, text).unwrap();
        std::fs::rename(new_file, &self.configuration_path).unwrap();
    }

    /// Sends a signal to the process. The signal is given as an option of `kill`, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Ends the process by SIGKILL, and waits until it has ended.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Stops the process by SIGSTOP, runs the function and then resumes the process by SIGCONT.
    pub fn while_stopped<T>(&self, function: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        wait_for("the stop of the process", || {
            state().rsplit_once(") ").is_some_and(|(_, fields)| fields.starts_with('T'))
        });
        let result = function();
        self.signal("-CONT");
        result
    }
}

/// Waits until the process has exited. Returns its exit code, or `None` if a signal killed the process.
pub fn exit_code(child: &mut Child) -> Option<i32> {
    wait_for("the exit of the process", || child.try_wait().unwrap().is_some());
    child.wait().unwrap().code()
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
