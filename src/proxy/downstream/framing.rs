//! Follows the framing of what a client sends, to tell a request whose length is given in two ways:
//! what one side reads as a body may be a request to the other. The HTTP library settles it by
//! itself, and does not say so.

use std::collections::VecDeque;

/// So much of a line is looked at: the headers that tell a length are shorter.
const MOST_LINE: usize = 128;
/// Requests that have been read ahead of their turn. Beyond that, all count as doubtful.
const MOST_AHEAD: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// The request line and headers.
    Head,
    /// So much of a body, or of a chunk.
    Body(u64),
    Chunk(u64),
    /// The line end behind a chunk, the line with the size of one, the trailers.
    ChunkEnd,
    ChunkSize,
    Trailers,
    /// It can't be read; the library refuses it too.
    Lost,
}

/// Where the reading of a connection is.
#[derive(Debug)]
pub struct Framing {
    part: Part,
    line: Vec<u8>,
    /// Something of the head has come.
    begun: bool,
    length: Option<u64>,
    chunked: bool,
    doubtful: VecDeque<bool>,
}

impl Default for Framing {
    fn default() -> Self {
        let doubtful = VecDeque::new();
        Self { part: Part::Head, line: Vec::new(), begun: false, length: None, chunked: false, doubtful }
    }
}

impl Framing {
    /// Takes in what has come.
    pub fn feed(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            match self.part {
                Part::Lost => return,
                Part::Body(left) | Part::Chunk(left) => {
                    let taken = usize::try_from(left).map_or(data.len(), |left| left.min(data.len()));
                    data = &data[taken..];
                    let left = left - taken as u64;
                    self.part = match self.part {
                        Part::Body(_) if left == 0 => Part::Head,
                        Part::Body(_) => Part::Body(left),
                        _ if left == 0 => Part::ChunkEnd,
                        _ => Part::Chunk(left),
                    };
                }
                _ => {
                    let end = data.iter().position(|b| *b == b'\n');
                    let (text, rest) = data.split_at(end.unwrap_or(data.len()));
                    let room = MOST_LINE - self.line.len().min(MOST_LINE);
                    self.line.extend_from_slice(&text[..text.len().min(room)]);
                    data = rest.get(1..).unwrap_or_default();
                    if end.is_some() {
                        let line = std::mem::take(&mut self.line);
                        self.end_line(line.trim_ascii());
                    }
                }
            }
        }
    }

    fn end_line(&mut self, line: &[u8]) {
        self.part = match self.part {
            Part::Head if line.is_empty() && !self.begun => Part::Head,
            Part::Head if line.is_empty() => self.end_head(),
            Part::Head => {
                self.header(line);
                Part::Head
            }
            Part::ChunkSize => {
                let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
                let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
                size.map_or(Part::Lost, |size| if size == 0 { Part::Trailers } else { Part::Chunk(size) })
            }
            Part::Trailers if line.is_empty() => Part::Head,
            Part::ChunkEnd => Part::ChunkSize,
            other => other,
        };
    }

    fn header(&mut self, line: &[u8]) {
        self.begun = true;
        let mut parts = line.splitn(2, |b| *b == b':');
        let (Some(name), Some(value)) = (parts.next(), parts.next()) else {
            return;
        };
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(value).unwrap_or_default().trim().parse();
            self.length = Some(value.unwrap_or(u64::MAX));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        }
    }

    fn end_head(&mut self) -> Part {
        let doubtful = self.chunked && self.length.is_some();
        if self.doubtful.len() < MOST_AHEAD {
            self.doubtful.push_back(doubtful);
        }
        self.begun = false;
        match (std::mem::take(&mut self.chunked), self.length.take()) {
            (true, _) => Part::ChunkSize,
            (false, Some(length)) if length > 0 => Part::Body(length),
            _ => Part::Head,
        }
    }

    /// The length of the request that is up next was given in two ways, for all that is known.
    pub fn next_is_doubtful(&mut self) -> bool {
        self.doubtful.pop_front().unwrap_or(true)
    }
}

#[cfg(test)]
mod tests {
    use super::Framing;

    fn doubts(text: &str, piece: usize) -> Vec<bool> {
        let mut framing = Framing::default();
        text.as_bytes().chunks(piece).for_each(|piece| framing.feed(piece));
        framing.doubtful.into()
    }

    #[test]
    fn a_length_given_twice_is_told_in_pieces_of_any_size() {
        let head = "POST /api HTTP/1.1\r\nHost: p\r\n";
        let text = [
            format!("\r\n{head}Content-Length: 30\r\n\r\ncontent-length: 1\r\n\r\n.........\r\n"),
            format!("{head}Transfer-Encoding: chunked\r\n\r\n5;a=b\r\n\r\n\r\n0\r\n0\r\nA: b\r\n\r\n"),
            format!("{head}transfer-encoding: chunked\r\nCONTENT-LENGTH:5\r\n\r\n0\r\n\r\n"),
            format!("{head}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            format!("{head}X-Long: {}\r\n\r\n", "content-length: 5".repeat(100)),
            format!("{head}Content-Length: 0\r\n\r\n"),
            head.to_string() + "\r\n",
        ]
        .concat();
        for piece in [1, 2, 3, 7, 64, text.len()] {
            assert_eq!(doubts(&text, piece), [false, false, true, true, false, false, false], "{piece}");
        }
    }

    #[test]
    fn what_was_not_seen_counts_as_doubtful() {
        assert!(Framing::default().next_is_doubtful());
    }
}
