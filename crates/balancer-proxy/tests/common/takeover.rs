//! Fixture and helpers of tests in which one process takes over the address of another.

use std::io::BufReader;
use std::net::TcpStream;
use std::path::PathBuf;

use serde_json::Value;

use super::configuration::{default_configuration, request};
use super::http::read_message;
use super::proxy_process::ProxyProcess;
use super::shared_address::SharedAddress;
use super::stub_server::StubServer;

/// Sends this number of requests, each on a connection of its own, and returns the connections.
pub fn begin_requests(process: &ProxyProcess, count: usize) -> Vec<BufReader<TcpStream>> {
    (0..count).map(|_| process.begin_request(&request("order", 20_000))).collect()
}

/// Asserts that each of these connections receives a response with status 200.
pub fn assert_all_served(clients: Vec<BufReader<TcpStream>>) {
    for (index, mut stream) in clients.into_iter().enumerate() {
        let response = read_message(&mut stream);
        assert_eq!(response.map(|response| response.status()), Some(200), "connection {index}");
    }
}

/// A backend that responds at once, and an address whose processes have that backend in their cached list.
pub struct TakeoverFixture {
    /// The backend of all processes.
    pub backend: StubServer,
    /// The address that the processes share.
    pub address: SharedAddress,
    /// The configuration of all processes, without a management address.
    pub configuration: Value,
}

impl TakeoverFixture {
    /// Starts the backend and reserves an address. Starts no process.
    pub fn new() -> Self {
        Self::with_address(SharedAddress::new())
    }

    /// Starts the backend, with this address for the processes. Starts no process.
    pub fn with_address(address: SharedAddress) -> Self {
        let backend = StubServer::responding_with("hello");
        let configuration = default_configuration(&[&backend]);
        Self { backend, address, configuration }
    }

    /// Starts a process with a management address of its own.
    pub fn start(&self) -> ProxyProcess {
        self.address.start(&self.configuration)
    }

    /// Returns the path of the Unix socket on which the first process of the address offers its listener.
    pub fn first_offer_path(&self) -> PathBuf {
        self.address.state_file("seat-0.listener")
    }
}

impl Default for TakeoverFixture {
    fn default() -> Self {
        Self::new()
    }
}
