//! Processes that replace one another on one address.

use std::io::PipeWriter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::sync::Arc;

use serde_json::{Value, json};

use super::proxy_process::{ProxyCommand, ProxyProcess, proxy_command};
use super::stub_server::silent_discovery;
use super::temporary::empty_folder;
use super::waiting::next_unique_number;

/// An address and a state folder that an old and a new process share during an upgrade.
pub struct SharedAddress {
    listen_address: SocketAddr,
    state_folder: PathBuf,
}

impl SharedAddress {
    /// Chooses an address from a range that the system does not use for automatic assignment.
    pub fn new() -> Self {
        let number = next_unique_number();
        let [.., high, low] = std::process::id().to_be_bytes();
        let listen_address = SocketAddr::from(([127, 77, high, low], 20_000 + number as u16 % 10_000));
        Self { listen_address, state_folder: empty_folder(number) }
    }

    /// Chooses an address like [`SharedAddress::new`]. The path of its state folder is too long for the
    /// address of a Unix socket.
    pub fn in_folder_with_long_name() -> Self {
        let address = Self::new();
        let state_folder = address.state_folder.join("folder-with-a-long-name-".repeat(5));
        std::fs::create_dir_all(&state_folder).unwrap();
        Self { state_folder, ..address }
    }

    /// Returns the path of the state file with this extension. The processes of the address share the file.
    pub fn state_file(&self, extension: &str) -> PathBuf {
        self.state_folder.join(format!("dewpier-{}", self.listen_address)).with_added_extension(extension)
    }

    /// Removes the state folder.
    pub fn remove_folder(&self) {
        std::fs::remove_dir_all(&self.state_folder).unwrap();
    }

    /// Starts a process with a management address of its own and a silent discovery.
    pub fn start(&self, configuration: &Value) -> ProxyProcess {
        self.start_with_discovery(configuration, silent_discovery().address)
    }

    /// Starts a process with a management address of its own.
    pub fn start_with_discovery(&self, configuration: &Value, discovery: SocketAddr) -> ProxyProcess {
        let mut configuration = configuration.clone();
        configuration["management"] = json!("127.0.0.1:0");
        ProxyProcess::spawn(self.proxy_command(&configuration, discovery))
    }

    /// Starts a process without a management address.
    pub fn start_without_management(&self, configuration: &Value) -> ProxyProcess {
        ProxyProcess::spawn(self.proxy_command(configuration, silent_discovery().address))
    }

    /// Starts a process that shares the configuration file of another one.
    pub fn start_with_configuration_of(&self, other: &ProxyProcess) -> ProxyProcess {
        let ProxyCommand { mut command, .. } = self.proxy_command(&Value::Null, silent_discovery().address);
        let configuration_path = other.configuration_path.clone();
        command.env("RELAY_CONFIG", &configuration_path);
        ProxyProcess::spawn(ProxyCommand { command, configuration_path })
    }

    /// Starts a process without a management address that logs to this pipe. Does not wait until it listens.
    pub fn start_logging_to(&self, configuration: &Value, log: PipeWriter) -> ProxyProcess {
        let ProxyCommand { mut command, configuration_path } =
            self.proxy_command(configuration, silent_discovery().address);
        ProxyProcess {
            child: command.stderr(log).spawn().unwrap(),
            address: self.listen_address,
            management: None,
            starting_log: Vec::new(),
            log: Arc::default(),
            configuration_path,
        }
    }

    /// Starts a process without a log. Does not wait until the process listens.
    pub fn spawn(&self, configuration: &Value, discovery: SocketAddr) -> Child {
        self.proxy_command(configuration, discovery).command.stderr(Stdio::null()).spawn().unwrap()
    }

    fn proxy_command(&self, configuration: &Value, discovery: SocketAddr) -> ProxyCommand {
        let mut proxy_command = proxy_command(&configuration.to_string(), discovery);
        proxy_command.command.env("RELAY_LISTEN", self.listen_address.to_string());
        proxy_command.command.env("TMPDIR", &self.state_folder);
        proxy_command
    }
}

impl Default for SharedAddress {
    fn default() -> Self {
        Self::new()
    }
}
