//! Reads the heads of HTTP/1.1 messages from a socket.

use std::io::{self, BufRead, Read};

/// The first line and the headers of a message.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head. Returns `None` if the connection ends before its first byte.
    pub fn read(stream: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut first_line = String::new();
        if stream.read_line(&mut first_line)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => headers.push((name.to_lowercase(), value.trim().to_string())),
                None => return Ok(Some(Self { first_line: first_line.trim_end().to_string(), headers })),
            }
        }
    }

    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split_whitespace().nth(index).unwrap_or("")
    }

    /// Returns the length of the body, if it is stated.
    pub fn length(&self) -> Option<u64> {
        self.header("content-length").and_then(|value| value.parse().ok())
    }

    /// Reads the body that follows, of a stated length or in chunks. Returns its bytes.
    pub fn read_body(&self, stream: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            loop {
                let mut line = String::new();
                stream.read_line(&mut line)?;
                let size = u64::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                read_exactly(stream, size, &mut body)?;
                let mut line_end = String::new();
                stream.read_line(&mut line_end)?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        read_exactly(stream, self.length().unwrap_or(0), &mut body)?;
        Ok(body)
    }
}

fn read_exactly(stream: &mut impl BufRead, length: u64, body: &mut Vec<u8>) -> io::Result<()> {
    let read = stream.take(length).read_to_end(body)? as u64;
    if read == length { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}
