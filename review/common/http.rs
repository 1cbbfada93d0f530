//! HTTP/1.1 messages over blocking streams.

use std::io::{self, BufRead, BufReader, Read};

/// The head of a message: its first line, and its headers with lower-case names.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns the word with this index of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split_whitespace().nth(index).unwrap_or_default()
    }

    fn content_length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

fn ended(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, format!("the connection ended in {what}"))
}

fn read_line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(ended("a line"));
    }
    Ok(line.trim_end().to_string())
}

/// Reads the head of a message. Returns `None` if the connection ends before its first byte.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    if stream.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first_line = read_line(stream)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Ok(Some(Head { first_line, headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the body that follows a head. A response without a length ends with its connection.
pub fn read_body(stream: &mut impl BufRead, head: &Head, until_end: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let line = read_line(stream)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(io::Error::other)?;
            if size == 0 {
                while !read_line(stream)?.is_empty() {}
                return Ok(body);
            }
            let start = body.len();
            body.resize(start + size, 0);
            stream.read_exact(&mut body[start..])?;
            read_line(stream)?;
        }
    }
    if let Some(length) = head.content_length() {
        body.resize(length, 0);
        stream.read_exact(&mut body)?;
    } else if until_end {
        stream.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// A complete response.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads a response. No second response may follow on the connection.
pub fn read_response(stream: &mut impl Read) -> io::Result<Answer> {
    let mut stream = BufReader::new(stream);
    loop {
        let head = read_head(&mut stream)?.ok_or_else(|| ended("silence"))?;
        let status = head.word(1).parse().map_err(io::Error::other)?;
        if (100..200).contains(&status) {
            continue; // 100 Continue
        }
        let body = read_body(&mut stream, &head, true)?;
        return Ok(Answer { status, body });
    }
}
