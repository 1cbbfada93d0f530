//! Tests of the buffered beginning of a streamed body.

use super::BodyChunks;
use crate::limits::MAX_PIECE_BYTES;
use bytes::Bytes;

#[test]
fn counts_the_bytes_and_chunks_that_are_buffered() {
    let mut chunks = BodyChunks::new(Bytes::from_static(b"abc"), Some(Bytes::from_static(b"de")));
    assert_eq!(chunks.bytes(), 5);
    assert_eq!(chunks.count(), 2);

    let first = chunks.pop_front();

    assert_eq!(first.as_deref(), Some(b"abc".as_slice()));
    assert_eq!(chunks.bytes(), 2);
    assert_eq!(chunks.get(0).map(Bytes::as_ref), Some(b"de".as_slice()));
    assert_eq!(chunks.get(1), None);
}

#[test]
fn has_no_chunk_without_content() {
    let chunks = BodyChunks::new(Bytes::new(), None);

    assert_eq!((chunks.bytes(), chunks.count()), (0, 0));
}

#[test]
fn divides_a_long_beginning_into_pieces() {
    let beginning: Bytes = (0..=2 * MAX_PIECE_BYTES).map(|index| index as u8).collect();

    let mut chunks = BodyChunks::new(beginning.clone(), None);

    assert_eq!((chunks.bytes(), chunks.count()), (beginning.len(), 3));
    let mut pieces = Vec::new();
    while let Some(piece) = chunks.pop_front() {
        assert!(piece.len() <= MAX_PIECE_BYTES);
        pieces.extend_from_slice(&piece);
    }
    assert_eq!(pieces, beginning);
}

#[test]
fn is_empty_once_cleared() {
    let mut chunks = BodyChunks::new(Bytes::from_static(b"abc"), None);

    chunks.clear();

    assert_eq!((chunks.bytes(), chunks.count()), (0, 0));
}
