//! Handover of the listener for clients from a running process to its successor.
//!
//! Two sockets with SO_REUSEPORT have a queue each, and the system resets what waits in a queue whose socket is
//! closed. A process therefore offers its listening socket on a Unix socket among the state files, and a
//! successor that gets the descriptor accepts from the same queue. The socket is closed once the last process
//! that has a descriptor ends, however that process ends, and until then a connection that waits is accepted.
//!
//! The handover is an offer: a successor that gets no descriptor binds a socket of its own, as versions
//! without the handover do.

use crate::log;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use socket2::{Domain, SockAddr, SockRef, Socket, Type};
use std::fs::Permissions;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::JoinHandle;

/// Longest time that a successor waits for the descriptor, before it binds a socket of its own.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a successor's connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Permissions of the Unix socket: only processes of the same user may connect.
const OFFER_PERMISSIONS: u32 = 0o600;
/// Number of connections of successors that the system holds until they are accepted.
const OFFER_BACKLOG: i32 = 16;
/// The message that carries the descriptor.
const HANDOVER_MESSAGE: [u8; 1] = *b"L";

/// The offer of a process to hand its listener over, for as long as the value exists.
pub struct ListenerOffer {
    path: PathBuf,
    task: JoinHandle<()>,
    /// Owned here and not by the task, which ends only when the runtime runs again: the listener has to be closed
    /// with the offer, as nobody accepts the connections that still arrive.
    _listener: Rc<OwnedFd>,
}

impl ListenerOffer {
    /// Offers the listener on a Unix socket at `path`. What is at that path, such as the socket of a process
    /// that was killed, is replaced.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no descriptor left, or if the socket can't be created, for example because the
    /// path is too long for the address of a socket.
    pub fn start(path: PathBuf, listener: &impl AsFd) -> io::Result<Self> {
        let listener = Rc::new(listener.as_fd().try_clone_to_owned()?);
        let offer = bind_offer(&path)?;
        let task = tokio::task::spawn_local(hand_over_to_successors(offer, Rc::downgrade(&listener)));
        Ok(Self { path, task, _listener: listener })
    }
}

impl Drop for ListenerOffer {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_file(&self.path); // a successor copes with a socket that is left
    }
}

/// Binds the Unix socket of an offer. No other user can connect at any time.
fn bind_offer(path: &Path) -> io::Result<UnixListener> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
    socket.bind(&SockAddr::unix(path)?)?;
    std::fs::set_permissions(path, Permissions::from_mode(OFFER_PERMISSIONS))?;
    socket.listen(OFFER_BACKLOG)?;
    socket.set_nonblocking(true)?;
    UnixListener::from_std(socket.into())
}

/// Hands a descriptor of the listener to each process that connects, until the listener is closed.
async fn hand_over_to_successors(offer: UnixListener, listener: Weak<OwnedFd>) {
    loop {
        match offer.accept().await {
            Ok((successor, _)) => {
                let Some(listener) = listener.upgrade() else { return };
                if let Err(error) = hand_over(&successor, listener.as_fd()) {
                    log!("handover: the listener could not be handed over: {error}");
                }
            }
            Err(error) => {
                log!("handover: accept: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Sends a descriptor of the listener to a successor. The message is small enough for the buffer of a new
/// connection, so that the send does not wait for the successor.
fn hand_over(successor: &UnixStream, listener: BorrowedFd<'_>) -> io::Result<()> {
    check_same_user(successor)?;
    let descriptors = [listener];
    let mut ancillary_storage = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut ancillary_storage);
    ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    let message = [IoSlice::new(&HANDOVER_MESSAGE)];
    sendmsg(successor, &message, &mut ancillary, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Returns the listener of the first of these offers that hands over a listener of `address`. None if there is
/// no such offer.
pub async fn receive_listener(offers: &[PathBuf], address: SocketAddr) -> Option<TcpListener> {
    for offer in offers {
        match tokio::time::timeout(RECEIVE_TIMEOUT, receive_from_offer(offer, address)).await {
            Ok(Ok(listener)) => return Some(listener),
            Ok(Err(error)) if means_no_offer(&error) => {} // an older version, or a process that was killed
            Ok(Err(error)) => log!("handover: {}: {error}", offer.display()),
            Err(_) => log!("handover: {}: no listener within the time limit", offer.display()),
        }
    }
    None
}

/// Returns whether an error means that no process offers a listener.
fn means_no_offer(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
}

/// Receives the listener of an offer, and checks that it is one of `address`.
async fn receive_from_offer(offer: &Path, address: SocketAddr) -> io::Result<TcpListener> {
    let predecessor = UnixStream::connect(offer).await?;
    check_same_user(&predecessor)?;
    let listener = loop {
        predecessor.readable().await?;
        match predecessor.try_io(Interest::READABLE, || receive_descriptor(&predecessor)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => break TcpListener::from(result?),
        }
    };
    let is_listener = SockRef::from(&listener).is_listener()?;
    if !is_listener || listener.local_addr()? != address {
        return Err(io::Error::other("the descriptor is no listener of the address"));
    }
    Ok(listener)
}

/// Receives one descriptor. It is closed when a new program is executed.
fn receive_descriptor(predecessor: &UnixStream) -> io::Result<OwnedFd> {
    let mut message = HANDOVER_MESSAGE;
    let mut ancillary_storage = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut ancillary_storage);
    let mut buffers = [IoSliceMut::new(&mut message)];
    recvmsg(predecessor, &mut buffers, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let mut descriptors = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let descriptor = descriptors.next().and_then(|mut descriptors| descriptors.next());
    descriptor.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
}

/// Checks that the other process belongs to the user of this one.
fn check_same_user(stream: &UnixStream) -> io::Result<()> {
    let own = rustix::process::geteuid().as_raw();
    if stream.peer_cred()?.uid() == own {
        return Ok(());
    }
    Err(io::Error::new(io::ErrorKind::PermissionDenied, "the process belongs to another user"))
}
