//! A server whose connections are established only once it accepts.

use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::socket_table::{SYN_SENT, sockets_to_port};
use super::waiting::{TEST_TIMEOUT, wait_for};

/// A listener with a backlog of one connection. While the backlog is full, the system drops further
/// connection attempts, which are then repeated by the peer's system.
pub struct LateServer {
    /// The address that it listens on.
    pub address: SocketAddr,
    listener: TcpListener,
    /// Fills the backlog.
    backlog: Option<TcpStream>,
}

impl LateServer {
    /// One whose backlog is full.
    pub fn with_full_backlog() -> Self {
        let mut server = Self::with_empty_backlog();
        server.fill_backlog();
        server
    }

    /// One to which connections are established until its backlog is filled.
    pub fn with_empty_backlog() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        Self { address, listener, backlog: None }
    }

    /// No further connection is established until one is accepted.
    pub fn fill_backlog(&mut self) {
        self.backlog = Some(TcpStream::connect(self.address).unwrap());
    }

    /// The next connection of the backlog.
    pub fn accept(&self) -> BufReader<TcpStream> {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    /// Whether a peer is waiting for its connection to be established.
    pub fn has_pending_connection(&self) -> bool {
        sockets_to_port(self.address.port(), SYN_SENT) > 0
    }

    /// Accepts connections while peers are connecting; returns what each of them writes, if anything.
    pub fn accept_all(&self) -> Vec<String> {
        let mut received = Vec::new();
        self.listener.set_nonblocking(true).unwrap();
        wait_for("end of the connection attempts", || {
            let pending = self.has_pending_connection();
            while let Ok((stream, _)) = self.listener.accept() {
                let text = read_available(stream);
                if !text.is_empty() {
                    received.push(text);
                }
            }
            !pending
        });
        received
    }
}

/// What the peer writes first, within half a second.
fn read_available(mut stream: TcpStream) -> String {
    let mut buffer = [0; 4096];
    stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    stream.set_nonblocking(false).unwrap();
    let length = stream.read(&mut buffer).unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}
