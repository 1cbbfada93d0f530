//! Parses the parts of HTTP/1.1 request heads that the stub servers use.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum size of a request head.
const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of header fields.
const MAX_REQUEST_HEADERS: usize = 48;

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// Path and query of the request.
    pub path: String,
    /// Whether the request has a request id.
    pub has_request_id: bool,
    /// Size of the request head, in bytes.
    pub head_bytes: usize,
    /// Size of the body that follows, in bytes.
    pub body_bytes: usize,
}

impl RequestHead {
    /// Reads from the stream until `buffer` contains a complete head, and removes the head from the buffer.
    /// Returns `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if the head is invalid or too large.
    pub async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Self>> {
        loop {
            if let Some(head) = Self::parse(buffer)? {
                buffer.drain(..head.head_bytes);
                return Ok(Some(head));
            }
            if buffer.len() > MAX_REQUEST_HEAD_BYTES {
                return Err(io::Error::other("request head is too large"));
            }
            if stream.read_buf(buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Parses the head at the beginning of the buffer. Returns `None` if the head is not complete.
    fn parse(buffer: &[u8]) -> io::Result<Option<Self>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_REQUEST_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(head_bytes) = request.parse(buffer).map_err(io::Error::other)? else {
            return Ok(None);
        };
        let find = |name: &str| request.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        let content_length = find("content-length").and_then(|header| std::str::from_utf8(header.value).ok());
        Ok(Some(Self {
            path: request.path.unwrap_or_default().to_string(),
            has_request_id: find("x-txn").is_some(),
            head_bytes,
            body_bytes: content_length.and_then(|text| text.trim().parse().ok()).unwrap_or(0),
        }))
    }
}
