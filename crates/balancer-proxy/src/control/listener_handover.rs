//! Handover of the listener for clients from a running process to its successor.
//!
//! Two sockets with SO_REUSEPORT have separate accept queues, and the operating system resets the
//! connections in the queue of a socket that is closed. A process therefore offers a descriptor of its
//! listening socket on a Unix socket among the state files. A successor that receives the descriptor accepts
//! from the same queue. The queue is closed only when the last process with a descriptor has closed it or
//! has ended for any reason. Until then the waiting connections can be accepted.
//!
//! The handover is optional: a successor that receives no descriptor binds a socket of its own, as versions
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

/// Longest time that a successor waits for the descriptor from one offer.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed `accept` on the Unix socket, as the next one may fail immediately, too.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Permissions of the Unix socket: only processes of the same user may connect.
const OFFER_PERMISSIONS: u32 = 0o600;
/// Largest number of connections from successors that wait to be accepted.
const OFFER_BACKLOG: i32 = 16;
/// The message that carries the descriptor.
const HANDOVER_MESSAGE: [u8; 1] = *b"L";

/// The offer of this process to hand over its listener. Dropping the value withdraws the offer.
pub struct ListenerOffer {
    path: PathBuf,
    task: JoinHandle<()>,
    /// The descriptor that is offered. The task has a weak reference only, as an aborted task is dropped only
    /// when the runtime runs again. The descriptor must be closed together with the offer, as this process
    /// accepts no connections that arrive later.
    _listener: Rc<OwnedFd>,
}

impl ListenerOffer {
    /// Offers the listener on a Unix socket at `path`. An existing file at that path, such as the socket of a
    /// killed process, is replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if the descriptor of the listener cannot be duplicated, or if the Unix socket cannot
    /// be created, for example because the path is too long for a socket address.
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
        // A successor treats a socket file that remains as no offer, and binds a socket of its own.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Binds the Unix socket of an offer. The permissions are set before the socket accepts connections, so that
/// other users can never connect.
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

/// Sends a descriptor of the listener to each process that connects. Returns once the offer has ended.
async fn hand_over_to_successors(offer: UnixListener, listener: Weak<OwnedFd>) {
    loop {
        match offer.accept().await {
            Ok((successor, _)) => {
                let Some(listener) = listener.upgrade() else { return };
                if let Err(error) = hand_over(&successor, listener.as_fd()) {
                    log!("handover: cannot send the listener to a successor: {error}");
                }
            }
            Err(error) => {
                log!("handover: cannot accept the connection of a successor: {error}; retrying");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Sends a descriptor of the listener to a successor. The message fits into the send buffer of a new
/// connection, so that sending never waits for the successor.
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

/// Returns the listener from the first offer that hands over a listener on `address`, or `None` if no offer
/// does.
pub async fn receive_listener(offer_paths: &[PathBuf], address: SocketAddr) -> Option<TcpListener> {
    for path in offer_paths {
        match tokio::time::timeout(RECEIVE_TIMEOUT, receive_from_offer(path, address)).await {
            Ok(Ok(listener)) => return Some(listener),
            // The other process has a version without the handover, or was killed.
            Ok(Err(error)) if means_no_offer(&error) => {}
            Ok(Err(error)) => log!("handover: cannot receive the listener from {}: {error}", path.display()),
            Err(_) => log!("handover: no listener received from {} before the timeout", path.display()),
        }
    }
    None
}

/// Returns whether an error means that no process offers a listener.
fn means_no_offer(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
}

/// Receives the listener of an offer, and checks that the listener is bound to `address`.
async fn receive_from_offer(path: &Path, address: SocketAddr) -> io::Result<TcpListener> {
    let predecessor = UnixStream::connect(path).await?;
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
        return Err(io::Error::other("the received descriptor is not a listener on the listen address"));
    }
    Ok(listener)
}

/// Receives one descriptor, and sets its close-on-exec flag.
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

/// Checks that the other process runs as the same user as this process.
fn check_same_user(stream: &UnixStream) -> io::Result<()> {
    let own = rustix::process::geteuid().as_raw();
    if stream.peer_cred()?.uid() == own {
        return Ok(());
    }
    Err(io::Error::new(io::ErrorKind::PermissionDenied, "the process belongs to another user"))
}
