//! Tracks the framing of the requests on a connection, to measure their heads and to detect a request that
//! states its length in two ways. Bytes of such a request that one side reads as a body may be read as
//! another request by the other side (request smuggling). The HTTP library chooses one of the two lengths
//! itself, and does not report the choice.

use std::collections::VecDeque;

/// Number of bytes of a line that are examined. The headers that state a length are shorter.
const MAX_LINE_BYTES: usize = 128;
/// Number of heads that may be read ahead of [`RequestFraming::next_head`]. Heads beyond this number count as
/// ambiguous.
const MAX_HEADS_READ_AHEAD: usize = 256;

/// The part of a request to which the next byte belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RequestPart {
    /// The request line or a header.
    #[default]
    Head,
    /// A body of known length.
    Body { remaining: u64 },
    /// The data of a chunk.
    ChunkData { remaining: u64 },
    /// The line break that follows the data of a chunk.
    ChunkEnd,
    /// The line with the size of the next chunk.
    ChunkSize,
    /// The trailers after the last chunk.
    Trailers,
    /// The framing is malformed. The HTTP library rejects it too.
    Malformed,
}

/// The headers of the current head that state a length.
#[derive(Debug, Default)]
struct LengthHeaders {
    content_length: Option<u64>,
    transfer_encoding: bool,
}

impl LengthHeaders {
    fn is_ambiguous(&self) -> bool {
        self.transfer_encoding && self.content_length.is_some()
    }

    /// Returns the part that follows the head.
    fn next_part(&self) -> RequestPart {
        match self.content_length {
            _ if self.transfer_encoding => RequestPart::ChunkSize,
            Some(remaining) if remaining > 0 => RequestPart::Body { remaining },
            _ => RequestPart::Head,
        }
    }

    /// Records a header line if it states a length.
    fn record(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let name = &line[..colon];
        let value = &line[colon + 1..];
        if name.eq_ignore_ascii_case(b"content-length") {
            let length = std::str::from_utf8(value).unwrap_or_default().trim().parse();
            self.content_length = Some(length.unwrap_or(u64::MAX));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.transfer_encoding = true;
        }
    }
}

/// The size of a head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HeadSize {
    /// The length in bytes.
    pub(super) bytes: usize,
    /// The number of lines.
    pub(super) lines: usize,
}

/// Properties of a complete head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeadSummary {
    /// Whether the head states the length of the body in two ways.
    pub(super) length_is_ambiguous: bool,
    /// The size of the head.
    pub(super) size: HeadSize,
}

impl HeadSummary {
    /// The summary of a head that was not recorded.
    const UNKNOWN: Self = Self { length_is_ambiguous: true, size: HeadSize { bytes: 0, lines: 0 } };
}

/// The framing of the requests that have arrived on one connection.
#[derive(Debug, Default)]
pub(super) struct RequestFraming {
    part: RequestPart,
    /// The beginning of the current line, up to [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    /// Whether a line of the current head has arrived. Empty lines before the first line are skipped.
    head_has_started: bool,
    /// The size of the current head, as far as it has arrived.
    head_size: HeadSize,
    length_headers: LengthHeaders,
    /// The summary of each head that [`Self::next_head`] has not returned yet, in order of arrival.
    heads: VecDeque<HeadSummary>,
}

impl RequestFraming {
    /// Returns the summary of the head of the next request, in order of arrival. The length of a request
    /// whose head was not recorded counts as ambiguous.
    pub(super) fn next_head(&mut self) -> HeadSummary {
        self.heads.pop_front().unwrap_or(HeadSummary::UNKNOWN)
    }

    /// Returns the number of bytes that have arrived of a head that is not complete.
    pub(super) fn unfinished_head_bytes(&self) -> usize {
        self.head_size.bytes
    }

    /// Returns whether the head of a request that [`Self::next_head`] has not returned has arrived, at least
    /// in part.
    pub(super) fn has_next_request(&self) -> bool {
        self.head_has_started || !self.line.is_empty() || !self.heads.is_empty()
    }

    /// Tracks the framing through `data`, the next bytes that have arrived.
    pub(super) fn feed(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            match self.part {
                RequestPart::Malformed => return,
                RequestPart::Body { remaining } => {
                    let remaining = skip(&mut data, remaining);
                    self.part =
                        if remaining == 0 { RequestPart::Head } else { RequestPart::Body { remaining } };
                }
                RequestPart::ChunkData { remaining } => {
                    let remaining = skip(&mut data, remaining);
                    self.part = if remaining == 0 {
                        RequestPart::ChunkEnd
                    } else {
                        RequestPart::ChunkData { remaining }
                    };
                }
                RequestPart::Head
                | RequestPart::ChunkEnd
                | RequestPart::ChunkSize
                | RequestPart::Trailers => self.feed_line(&mut data),
            }
        }
    }

    /// Consumes the rest of the current line from the front of `data`, or all of `data` if the line does not
    /// end there.
    fn feed_line(&mut self, data: &mut &[u8]) {
        let line_end = data.iter().position(|byte| *byte == b'\n');
        let text = &data[..line_end.unwrap_or(data.len())];
        if self.part == RequestPart::Head {
            self.head_size.bytes += text.len() + usize::from(line_end.is_some());
        }
        let capacity = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&text[..text.len().min(capacity)]);
        if let Some(line_end) = line_end {
            let line = std::mem::take(&mut self.line);
            self.part = self.part_after_line(line.trim_ascii());
            *data = &data[line_end + 1..];
        } else {
            *data = &[];
        }
    }

    /// Returns the part that follows a complete line of the current part.
    fn part_after_line(&mut self, line: &[u8]) -> RequestPart {
        match self.part {
            RequestPart::Head if !line.is_empty() => {
                self.head_has_started = true;
                self.head_size.lines += 1;
                self.length_headers.record(line);
                RequestPart::Head
            }
            RequestPart::Head if self.head_has_started => self.end_head(),
            RequestPart::Head => {
                self.head_size = HeadSize::default();
                RequestPart::Head
            }
            RequestPart::ChunkSize => part_after_chunk_size(line),
            RequestPart::ChunkEnd => RequestPart::ChunkSize,
            RequestPart::Trailers if line.is_empty() => RequestPart::Head,
            other => other,
        }
    }

    /// Records the summary of a complete head, and returns the part that follows.
    fn end_head(&mut self) -> RequestPart {
        self.head_has_started = false;
        let length_headers = std::mem::take(&mut self.length_headers);
        let size = std::mem::take(&mut self.head_size);
        if self.heads.len() < MAX_HEADS_READ_AHEAD {
            self.heads.push_back(HeadSummary { length_is_ambiguous: length_headers.is_ambiguous(), size });
        }
        length_headers.next_part()
    }
}

/// Skips up to `bytes` at the front of `data`, and returns the number of bytes still to be skipped.
fn skip(data: &mut &[u8], bytes: u64) -> u64 {
    let skipped = usize::try_from(bytes).map_or(data.len(), |bytes| bytes.min(data.len()));
    *data = &data[skipped..];
    bytes - skipped as u64
}

/// Returns the part that follows the line with the size of a chunk.
fn part_after_chunk_size(line: &[u8]) -> RequestPart {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let digits = std::str::from_utf8(digits).unwrap_or_default();
    match u64::from_str_radix(digits, 16) {
        Ok(0) => RequestPart::Trailers,
        Ok(remaining) => RequestPart::ChunkData { remaining },
        Err(_) => RequestPart::Malformed,
    }
}

#[cfg(test)]
mod tests;
