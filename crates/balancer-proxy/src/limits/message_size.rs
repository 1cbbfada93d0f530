//! The sizes of the largest HTTP messages that the proxy accepts from clients and backends, and of the pieces
//! in which their bodies are passed on.

use bytes::Bytes;

/// Largest body of a request or a response, in bytes. The value is the largest size that deployments
/// announce, plus a margin.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
/// Largest body of a request or a response that is buffered completely, in bytes. A request whose body is
/// buffered can be sent again. Of a longer body, at most this many bytes are copied into a buffer before the
/// rest is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Largest head of a request or a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Longest piece of a body that is passed to the HTTP library at once, in bytes. The library copies each
/// piece into the write buffer of the connection, and keeps the memory of this buffer until the connection
/// ends.
pub const MAX_PIECE_BYTES: usize = 16 << 10;

/// Returns how many bytes of a body of this length are buffered at most; `None` is an unknown length.
#[must_use]
pub fn max_buffered_bytes(length: Option<u64>) -> usize {
    let length = length.and_then(|length| usize::try_from(length).ok());
    length.unwrap_or(MAX_BUFFERED_BODY_BYTES).min(MAX_BUFFERED_BODY_BYTES)
}

/// Removes the first piece, of at most [`MAX_PIECE_BYTES`], from `content` and returns it. The piece shares
/// the memory of the content.
#[must_use]
pub fn split_piece(content: &mut Bytes) -> Bytes {
    content.split_to(content.len().min(MAX_PIECE_BYTES))
}
