//! An address on which nothing listens.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;

/// An address that refuses connections for as long as the value exists.
///
/// The socket is bound and never listens. The address of a closed listener is not suitable: another test
/// may be assigned its port, and a process that is being spawned holds a copy of the listener, to which
/// connections are still established.
pub struct ClosedAddress {
    /// The address that refuses connections.
    pub address: SocketAddr,
    _socket: Socket,
}

impl ClosedAddress {
    /// Reserves an address on the loopback interface.
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Self { address, _socket: socket }
    }
}
