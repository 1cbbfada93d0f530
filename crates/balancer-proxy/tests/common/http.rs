//! Reading and writing of HTTP/1.1 messages in tests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::waiting::TEST_TIMEOUT;

/// A request or response as read from a connection.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request line or status line.
    pub start_line: String,
    /// The names, in lower case, and values of the headers in the order of arrival.
    pub headers: Vec<(String, String)>,
    /// The body with its framing removed.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the value of the first header of this name. The name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header_name, _)| header_name == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Opens a connection whose reads fail after [`TEST_TIMEOUT`].
pub fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    BufReader::new(stream)
}

/// Returns whether the peer has closed a connection of which everything has been read. The connection no longer
/// blocks afterwards.
pub fn is_closed_by_peer(stream: &BufReader<TcpStream>) -> bool {
    stream.get_ref().set_nonblocking(true).unwrap();
    stream.get_ref().peek(&mut [0]).is_ok_and(|length| length == 0)
}

/// Writes a request and reads its response.
///
/// # Panics
/// If the connection ends without a complete response.
pub fn exchange(stream: &mut BufReader<TcpStream>, request: &str) -> HttpMessage {
    stream.get_mut().write_all(request.as_bytes()).unwrap();
    read_message(stream).expect("no complete response")
}

/// Reads the next message. Returns `None` if the connection ends before the message is complete.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let mut message = read_head(stream)?;
    message.body = read_body(stream, &message)?;
    Some(message)
}

/// Reads the head of the next message. Returns `None` if the connection ends before the head is complete.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let mut message = HttpMessage::default();
    let mut line = String::new();
    while stream.read_line(&mut line).ok()? > 0 {
        let text = line.trim_end().to_string();
        line.clear();
        if message.start_line.is_empty() {
            message.start_line = text;
        } else if let Some((name, value)) = text.split_once(": ") {
            message.headers.push((name.to_lowercase(), value.to_string()));
        } else if text.is_empty() {
            return Some(message);
        }
    }
    None
}

/// Reads the body that belongs to a head. Returns `None` if the connection ends before the body is complete.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &HttpMessage) -> Option<Vec<u8>> {
    if head.header("transfer-encoding") == Some("chunked") {
        return read_chunked_body(stream);
    }
    let length = head.header("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_chunked_body(stream: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut line = String::new();
    loop {
        line.clear();
        stream.read_line(&mut line).ok()?;
        let chunk_length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let chunk_start = body.len();
        body.resize(chunk_start + chunk_length, 0);
        stream.read_exact(&mut body[chunk_start..]).ok()?;
        // This line ends the chunk. After the last chunk it is the first trailer or the empty line.
        line.clear();
        stream.read_line(&mut line).ok()?;
        if chunk_length == 0 {
            skip_trailers(stream, &mut line)?;
            return Some(body);
        }
    }
}

/// Reads up to the empty line that ends the trailers. `line` holds the line that was read last.
fn skip_trailers(stream: &mut BufReader<TcpStream>, line: &mut String) -> Option<()> {
    while !line.trim().is_empty() {
        line.clear();
        stream.read_line(line).ok()?;
    }
    Some(())
}

/// Returns the text of a response with a `Content-Length` header and this body.
pub fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
