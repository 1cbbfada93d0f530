//! Tests of the memory in which a body is stored.

use super::BodyBuffer;
use bytes::Bytes;

const MAX_BYTES: usize = 64 << 10;

#[test]
fn returns_the_chunks_as_one_content() {
    let mut buffer = BodyBuffer::new(MAX_BYTES);

    for chunk in ["abc", "", "de"] {
        buffer.append(Bytes::from_static(chunk.as_bytes())).unwrap();
    }

    assert_eq!(buffer.into_bytes(), "abcde");
}

#[test]
fn returns_a_chunk_that_exceeds_the_limit_and_keeps_the_earlier_ones() {
    let mut buffer = BodyBuffer::new(4);
    buffer.append(Bytes::from_static(b"abc")).unwrap();

    assert_eq!(buffer.append(Bytes::from_static(b"de")), Err(Bytes::from_static(b"de")));

    buffer.append(Bytes::from_static(b"d")).unwrap();
    assert_eq!(buffer.into_bytes(), "abcd");
}

/// A chunk that a buffer stored without a copy would keep the whole read buffer of its connection allocated.
#[test]
fn releases_the_read_buffer_from_which_a_chunk_was_taken() {
    let read_buffer = Bytes::from(vec![b'x'; MAX_BYTES]);
    let mut buffer = BodyBuffer::new(MAX_BYTES);

    buffer.append(read_buffer.slice(..1)).unwrap();

    assert!(read_buffer.is_unique());
}

#[test]
fn never_allocates_more_than_the_limit_whatever_the_length_of_the_chunks() {
    for chunk_length in [1, 3, 4_000, 33_000, MAX_BYTES] {
        for max_bytes in [1, 5_000, 33_000, MAX_BYTES] {
            let mut buffer = BodyBuffer::new(max_bytes);

            while buffer.append(Bytes::from(vec![b'x'; chunk_length])).is_ok() {
                assert!(buffer.capacity() <= max_bytes, "{} of {max_bytes}", buffer.capacity());
            }
        }
    }
}

#[test]
fn allocates_nothing_before_the_first_byte() {
    assert_eq!(BodyBuffer::new(MAX_BYTES).capacity(), 0);
}
