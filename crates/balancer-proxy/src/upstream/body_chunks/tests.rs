//! Tests of the buffered chunks of a body.

use super::BodyChunks;
use bytes::Bytes;

fn buffered(texts: &[&'static str]) -> BodyChunks {
    let mut chunks = BodyChunks::default();
    for text in texts {
        chunks.push(Bytes::from_static(text.as_bytes()));
    }
    chunks
}

#[test]
fn counts_the_bytes_and_chunks_that_are_buffered() {
    let mut chunks = buffered(&["abc", "", "de"]);
    assert_eq!(chunks.bytes(), 5);
    assert_eq!(chunks.count(), 3);

    let first = chunks.pop_front();

    assert_eq!(first.as_deref(), Some(b"abc".as_slice()));
    assert_eq!(chunks.bytes(), 2);
    assert_eq!(chunks.get(1).map(Bytes::as_ref), Some(b"de".as_slice()));
    assert_eq!(chunks.get(2), None);
}

#[test]
fn takes_all_chunks_as_one() {
    let mut chunks = buffered(&["abc", "de"]);

    let complete = chunks.take_concatenated();

    assert_eq!(complete, "abcde");
    assert_eq!(chunks.bytes(), 0);
    assert_eq!(chunks.count(), 0);
}
