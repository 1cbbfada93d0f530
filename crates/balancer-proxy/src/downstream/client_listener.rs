//! The listener for clients, which may be handed over from a predecessor and to a successor.

use crate::control::instance_lock::InstanceLock;
use crate::control::listener_handover::{ListenerOffer, receive_listener};
use crate::log;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Number of connections that the system holds until the proxy accepts them.
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
    /// The offer to hand the listener over, which has a descriptor of the listener, too.
    offer: Option<ListenerOffer>,
}

impl ClientListener {
    /// Takes the listener of the process that runs on the address, if that process hands it over, or binds one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn open(
        address: SocketAddr,
        sharing: AddressSharing,
        instance_lock: Option<&InstanceLock>,
    ) -> io::Result<Self> {
        let offers = instance_lock.map(InstanceLock::other_listener_offer_paths).unwrap_or_default();
        let listener = match receive_listener(&offers, address).await {
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
    /// Returns an error if the system cannot tell the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Offers the listener to a successor, from now until the listener is closed. Without the offer a successor
    /// binds a listener of its own, and connections that arrive as this one is closed may be reset.
    pub fn offer_to_successor(&mut self, instance_lock: &InstanceLock) {
        let Some(path) = instance_lock.own_listener_offer_path() else { return };
        match ListenerOffer::start(path.clone(), &self.listener) {
            Ok(offer) => self.offer = Some(offer),
            Err(error) => log!("handover: {}: {error}", path.display()),
        }
    }

    /// Accepts a connection.
    pub(super) async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.listener.accept().await?;
        Ok(stream)
    }

    /// Closes the listener, and returns the connections that wait to be accepted.
    ///
    /// A listener that a successor has, too, goes on in that process. Any other one is closed right after the last
    /// accept, as the system resets a connection that arrives in between.
    pub(super) fn close(self) -> io::Result<Vec<TcpStream>> {
        let Self { listener, offer } = self;
        drop(offer); // closes its descriptor of the listener, which would stay open otherwise
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
    registered.inspect_err(|error| log!("accept: {error}")).ok()
}

/// Binds a listener.
fn bind(address: SocketAddr, sharing: AddressSharing) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(sharing == AddressSharing::Shared)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
