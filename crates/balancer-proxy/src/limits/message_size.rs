//! The largest HTTP messages that the proxy accepts, from either side.

/// Largest body of a request or a response, in bytes: the largest size that deployments announce, and a
/// margin.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
/// Largest body of a request or a response that is buffered as a whole, in bytes, so that a request can
/// be sent again. The start of a longer body is buffered up to this size before the body is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Largest head of a request or a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
