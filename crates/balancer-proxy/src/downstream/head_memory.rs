//! The memory that the heads of requests use beyond what is counted for each connection.
//!
//! The capacity for client connections covers the head that most requests have. The buffers of the HTTP
//! library grow to more than twice the length of a long head, and each field takes far more than its bytes
//! once the head is parsed. The heads of many clients together must not exceed the memory limit of the
//! process.

use super::framing::HeadSize;
use crate::limits::MAX_HEAD_BYTES;

/// Number of bytes of a head that the first read buffer of a connection has room for.
const INCLUDED_HEAD_BYTES: usize = 4 << 10;
/// Number of lines of a head whose memory is counted with the connection.
const INCLUDED_HEAD_LINES: usize = 16;
/// Memory of a further line in bytes: the entry with its name, in the parsed head and in the one of an
/// attempt.
const BYTES_PER_LINE: usize = 256;
/// Number of bytes that the read buffers of a connection allocate for each byte of a long head.
const BUFFER_BYTES_PER_HEAD_BYTE: usize = 2;

/// Memory in bytes that an unfinished head may use once it is a long one.
pub(super) const UNFINISHED_HEAD_BYTES: usize =
    BUFFER_BYTES_PER_HEAD_BYTE * MAX_HEAD_BYTES - INCLUDED_HEAD_BYTES;

/// Returns the memory in bytes that a complete head uses beyond what is counted with its connection.
pub(super) fn excess_bytes(head: HeadSize) -> usize {
    let buffers = (BUFFER_BYTES_PER_HEAD_BYTE * head.bytes).saturating_sub(INCLUDED_HEAD_BYTES);
    let lines = BYTES_PER_LINE * head.lines.saturating_sub(INCLUDED_HEAD_LINES);
    if is_long(head.bytes) { buffers + lines } else { lines }
}

/// Returns whether a head of so many bytes needs more than the first read buffer of its connection.
pub(super) fn is_long(head_bytes: usize) -> bool {
    head_bytes > INCLUDED_HEAD_BYTES
}
