//! The listener for clients. The proxy may receive the listener from a predecessor process, and may hand it
//! over to a successor.

use crate::control::instance_lock::InstanceLock;
use crate::control::listener_handover::{ListenerOffer, receive_listener};
use crate::log;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Largest number of connections that the system queues until the proxy accepts them.
const LISTEN_BACKLOG: u32 = 1024;

/// Whether a second process may listen on the address for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressSharing {
    /// Only this process may listen on the address.
    Exclusive,
    /// A second process may listen on the same address, as during an upgrade.
    Shared,
}

/// The listener for clients.
pub struct ClientListener {
    listener: TcpListener,
    /// The offer to hand the listener over. The offer holds a second descriptor of the listener.
    offer: Option<ListenerOffer>,
}

impl ClientListener {
    /// Receives the listener from the process that serves `address`, if that process hands its listener over,
    /// and binds a new listener otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, or if the runtime cannot register the listener.
    pub async fn open(
        address: SocketAddr,
        sharing: AddressSharing,
        instance_lock: Option<&InstanceLock>,
    ) -> io::Result<Self> {
        let offer_paths = instance_lock.map(InstanceLock::other_listener_offer_paths).unwrap_or_default();
        let listener = match receive_listener(&offer_paths, address).await {
            Some(listener) => {
                log!("balancer-proxy: the running process has handed its listener over");
                listener.set_nonblocking(true)?;
                TcpListener::from_std(listener)?
            }
            None => bind(address, sharing)?,
        };
        Ok(Self { listener, offer: None })
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not report the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Offers the listener to a successor until the listener is closed. Without the offer, a successor binds
    /// its own listener, and connections that arrive while this listener is being closed may be reset.
    pub fn offer_to_successor(&mut self, instance_lock: &InstanceLock) {
        let Some(path) = instance_lock.own_listener_offer_path() else { return };
        match ListenerOffer::start(path.clone(), &self.listener) {
            Ok(offer) => self.offer = Some(offer),
            Err(error) => {
                log!("handover: {}: cannot offer the listener to a successor: {error}", path.display());
            }
        }
    }

    /// Waits for the next client connection, and accepts it.
    pub(super) async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.listener.accept().await?;
        Ok(stream)
    }

    /// Closes the listener, and returns the connections that were waiting to be accepted.
    ///
    /// If a successor has received the listener, the successor accepts the connections that arrive later.
    /// Otherwise the listener is closed right after the last accept, because the system resets connections
    /// that arrive between the last accept and the close.
    pub(super) fn close(self) -> io::Result<Vec<TcpStream>> {
        let Self { listener, offer } = self;
        drop(offer); // closes the second descriptor, which would keep the listener open
        let listener = listener.into_std()?;
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            streams.push(stream);
        }
        drop(listener);
        Ok(streams.into_iter().filter_map(register).collect())
    }
}

/// Registers an accepted connection with the runtime. A connection that cannot be registered is closed.
fn register(stream: std::net::TcpStream) -> Option<TcpStream> {
    let registered = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
    registered
        .inspect_err(|error| log!("accept: cannot register a client connection, closing it: {error}"))
        .ok()
}

/// Binds a listener to `address`.
fn bind(address: SocketAddr, sharing: AddressSharing) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(sharing == AddressSharing::Shared)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
