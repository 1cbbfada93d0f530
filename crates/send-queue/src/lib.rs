//! The number of bytes in the send queue of a TCP socket, as Linux reports it. The number shows whether the
//! peer accepts bytes while a write is blocked: the system reports a socket as writable only once a third of
//! its send buffer is free, which a slow peer may need minutes for.

use std::ffi::c_int;
use std::io;
use std::os::fd::{AsFd, AsRawFd};

/// Returns the number of bytes that have been written to a connected TCP socket, and that the peer's system
/// has not acknowledged (`SIOCOUTQ`).
///
/// # Errors
///
/// Returns an error if the system does not report the number, because the descriptor is no TCP socket.
pub fn unacknowledged_bytes(socket: impl AsFd) -> io::Result<usize> {
    let mut bytes: c_int = 0;
    let descriptor = socket.as_fd();
    // SAFETY: the descriptor is open for as long as it is borrowed. The request, which has the same number as
    // `TIOCOUTQ`, writes one `int` to the address, and `bytes` is valid for this write.
    let result = unsafe { libc::ioctl(descriptor.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result == -1 {
        return Err(io::Error::last_os_error());
    }
    usize::try_from(bytes).map_err(io::Error::other)
}
