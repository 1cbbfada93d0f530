//! Clients of an address that one process takes over from another.

use std::io::BufReader;
use std::net::TcpStream;
use std::path::PathBuf;

use serde_json::Value;

use super::configuration::{default_configuration, request};
use super::http::read_message;
use super::proxy_process::ProxyProcess;
use super::shared_address::SharedAddress;
use super::stub_server::StubServer;

/// Begins this many requests, each on a connection of its own.
pub fn begin_requests(process: &ProxyProcess, count: usize) -> Vec<BufReader<TcpStream>> {
    (0..count).map(|_| process.begin_request(&request("order", 20_000))).collect()
}

/// Asserts that each of these requests is served.
pub fn assert_all_served(clients: Vec<BufReader<TcpStream>>) {
    for (index, mut stream) in clients.into_iter().enumerate() {
        let response = read_message(&mut stream);
        assert_eq!(response.map(|response| response.status()), Some(200), "connection {index}");
    }
}

/// A backend that responds at once, and an address whose processes know that backend.
pub struct TakeoverFixture {
    /// The backend.
    pub backend: StubServer,
    /// The address.
    pub address: SharedAddress,
    /// The configuration of all processes.
    pub configuration: Value,
}

impl TakeoverFixture {
    /// Starts the backend, and no process yet.
    pub fn new() -> Self {
        Self::with_address(SharedAddress::new())
    }

    /// Like [`TakeoverFixture::new`], at this address.
    pub fn with_address(address: SharedAddress) -> Self {
        let backend = StubServer::responding_with("hello");
        let configuration = default_configuration(&[&backend]);
        Self { backend, address, configuration }
    }

    /// Starts a process with a management address of its own.
    pub fn start(&self) -> ProxyProcess {
        self.address.start(&self.configuration)
    }

    /// The socket on which the first process of the address offers its listener.
    pub fn first_offer_path(&self) -> PathBuf {
        self.address.state_file("seat-0.listener")
    }
}

impl Default for TakeoverFixture {
    fn default() -> Self {
        Self::new()
    }
}
