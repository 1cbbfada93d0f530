//! The client side of persistent HTTP/1.1 connections.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting and for each read of a response; after the timeout the call has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const READ_BUFFER_BYTES: usize = 2_048;
/// Maximum number of header fields in a response.
const MAX_RESPONSE_HEADERS: usize = 32;
const STATUS_OK: u16 = 200;

/// A persistent connection to one server, opened again after the server has closed the connection.
pub struct Connection {
    server: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the server does not accept the connection.
    pub fn open(server: SocketAddr) -> io::Result<Self> {
        Ok(Self { server, stream: Some(connect(server)?), buffer: Vec::new() })
    }

    /// Makes a call and returns whether the status of its response was 200.
    pub fn call(&mut self, request_id: u64) -> bool {
        self.try_call(request_id).unwrap_or_else(|error| {
            tracing::debug!("call to {} failed: {error}", self.server);
            false
        })
    }

    /// Makes a call on the open connection. If the server has closed that connection since the last call,
    /// the call is retried on a new connection, as HTTP clients do.
    fn try_call(&mut self, request_id: u64) -> io::Result<bool> {
        if let Some(stream) = self.stream.take() {
            match self.exchange(stream, request_id) {
                Err(error) if !is_timeout(&error) => {}
                result => return result,
            }
        }
        let stream = connect(self.server)?;
        self.exchange(stream, request_id)
    }

    /// Sends a request and reads its response. The connection is kept for the next call unless the server
    /// closes it.
    fn exchange(&mut self, mut stream: TcpStream, request_id: u64) -> io::Result<bool> {
        let request = format!(
            "GET /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {request_id:016x}\r\nX-Lane: look\r\n\
             X-Remaining-Ms: 1000\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        self.buffer.clear();
        let mut chunk = [0; READ_BUFFER_BYTES];
        loop {
            let length = stream.read(&mut chunk)?;
            if length == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&chunk[..length]);
            if let Some(response) = Response::parse(&self.buffer)? {
                self.stream = response.keep_alive.then_some(stream);
                return Ok(response.status == Some(STATUS_OK));
            }
        }
    }
}

fn connect(server: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&server, CALL_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    Ok(stream)
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// The status of a complete response.
struct Response {
    status: Option<u16>,
    /// Whether the server keeps the connection open.
    keep_alive: bool,
}

impl Response {
    /// Parses a response. Returns `None` if the response is not complete.
    fn parse(buffer: &[u8]) -> io::Result<Option<Self>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_RESPONSE_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(head_bytes) = response.parse(buffer).map_err(io::Error::other)? else {
            return Ok(None);
        };
        let value = |name: &str| {
            let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(header.value).ok()
        };
        let content_length = value("content-length").and_then(|text| text.parse::<usize>().ok());
        let body_bytes = content_length.ok_or_else(|| io::Error::other("response has no Content-Length"))?;
        if buffer.len() < head_bytes + body_bytes {
            return Ok(None);
        }
        let keep_alive = value("connection").is_none_or(|text| !text.eq_ignore_ascii_case("close"));
        Ok(Some(Self { status: response.code, keep_alive }))
    }
}
