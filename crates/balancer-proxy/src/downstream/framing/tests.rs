//! Tests of the detection of ambiguous lengths.

use super::RequestFraming;

/// Returns, for each head in `text`, whether its length is ambiguous. The text arrives in pieces of
/// `piece_bytes` bytes.
fn ambiguous_heads(text: &str, piece_bytes: usize) -> Vec<bool> {
    let mut framing = RequestFraming::default();
    for piece in text.as_bytes().chunks(piece_bytes) {
        framing.feed(piece);
    }
    framing.ambiguous.into()
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
        let ambiguous = ambiguous_heads(&text, piece_bytes);

        assert_eq!(ambiguous, [false, false, true, true, false, false, false], "{piece_bytes}");
    }
}

#[test]
fn a_head_that_was_not_recorded_counts_as_ambiguous() {
    assert!(RequestFraming::default().next_is_ambiguous());
}
