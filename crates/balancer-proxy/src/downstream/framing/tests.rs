//! Tests of the detection of ambiguous lengths, and of the measurement of heads.

use super::{HeadSize, HeadSummary, RequestFraming};

/// Returns the summary of each head in `text`, which arrives in pieces of `piece_bytes` bytes.
fn heads(text: &str, piece_bytes: usize) -> Vec<HeadSummary> {
    let mut framing = RequestFraming::default();
    for piece in text.as_bytes().chunks(piece_bytes) {
        framing.feed(piece);
    }
    framing.heads.into()
}

#[test]
fn detects_a_length_stated_twice_in_pieces_of_any_size() {
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

    for piece_bytes in [1, 2, 3, 7, 64, text.len()] {
        let heads = heads(&text, piece_bytes);

        let ambiguous: Vec<bool> = heads.iter().map(|head| head.length_is_ambiguous).collect();
        assert_eq!(ambiguous, [false, false, true, true, false, false, false], "{piece_bytes}");
    }
}

#[test]
fn a_head_that_was_not_recorded_counts_as_ambiguous() {
    assert!(RequestFraming::default().next_head().length_is_ambiguous);
}

#[test]
fn measures_each_head_without_its_body_in_pieces_of_any_size() {
    let first = "POST /api HTTP/1.1\r\nHost: p\r\nContent-Length: 30\r\n\r\n";
    let second = "GET /api HTTP/1.1\r\nHost: p\r\n\r\n";
    let text = format!("{first}{}{second}", "b".repeat(30));

    for piece_bytes in [1, 5, text.len()] {
        let sizes: Vec<HeadSize> = heads(&text, piece_bytes).iter().map(|head| head.size).collect();

        let expected =
            [HeadSize { bytes: first.len(), lines: 3 }, HeadSize { bytes: second.len(), lines: 2 }];
        assert_eq!(sizes, expected, "{piece_bytes}");
    }
}

#[test]
fn empty_lines_between_requests_are_no_part_of_the_next_head() {
    let mut framing = RequestFraming::default();
    framing.feed(b"GET /api HTTP/1.1\r\nHost: p\r\n\r\n");
    framing.next_head();

    framing.feed(b"\r\n\r\n");

    assert!(!framing.has_next_request());
    assert_eq!(framing.unfinished_head_bytes(), 0);
    framing.feed(b"G");
    assert!(framing.has_next_request());
}

#[test]
fn an_unfinished_head_has_the_bytes_that_have_arrived_until_it_is_complete() {
    let mut framing = RequestFraming::default();
    let unfinished = "GET /api HTTP/1.1\r\nHost: p\r\nX-Na";
    framing.feed(unfinished.as_bytes());
    let bytes_of_unfinished = framing.unfinished_head_bytes();

    framing.feed(b"me: 1\r\n\r\n");

    assert_eq!(bytes_of_unfinished, unfinished.len());
    assert_eq!(framing.unfinished_head_bytes(), 0);
}
