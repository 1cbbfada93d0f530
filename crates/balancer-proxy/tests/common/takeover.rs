//! Clients of an address that one process takes over from another.

use std::io::BufReader;
use std::net::TcpStream;
use std::path::PathBuf;

use super::configuration::request;
use super::http::read_message;
use super::proxy_process::ProxyProcess;
use super::shared_address::SharedAddress;

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

/// The socket on which the first process of an address offers its listener.
pub fn first_offer(address: &SharedAddress) -> PathBuf {
    address.state_file("seat-0.listener")
}
