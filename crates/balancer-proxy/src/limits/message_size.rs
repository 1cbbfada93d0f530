//! The sizes of the largest HTTP messages that the proxy accepts from clients and backends.

/// Largest body of a request or a response, in bytes. The value is the largest size that deployments
/// announce, plus a margin.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
/// Largest body of a request or a response that is buffered completely, in bytes. A request whose body is
/// buffered can be sent again. Of a longer body, this many bytes are buffered before the rest is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Largest head of a request or a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
