//! Tests of the body that one attempt sends.

use super::AttemptBody;
use crate::limits::MAX_PIECE_BYTES;
use crate::upstream::completion_flag::CompletionFlag;
use bytes::Bytes;
use hyper::body::Body;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Returns the next piece of a complete body, or `None` at the end.
fn next_piece(body: &mut AttemptBody) -> Option<Bytes> {
    let polled = Pin::new(body).poll_frame(&mut Context::from_waker(Waker::noop()));
    let Poll::Ready(frame) = polled else { panic!("a complete body is never pending") };
    frame.map(|frame| frame.unwrap().into_data().unwrap())
}

/// The HTTP library copies each piece into a write buffer whose memory it keeps. The socket holds back the
/// last byte that is written after the flag is set, so that an earlier flag would hold back a byte within the
/// body.
#[test]
fn yields_a_long_body_in_pieces_and_sets_the_flag_with_the_last_one() {
    let content: Bytes = (0..MAX_PIECE_BYTES + 1).map(|index| index as u8).collect();
    let end_of_body = CompletionFlag::default();
    let mut body = AttemptBody::buffered(content.clone(), end_of_body.clone());
    assert_eq!(body.size_hint().exact(), Some(content.len() as u64));

    assert_eq!(next_piece(&mut body), Some(content.slice(..MAX_PIECE_BYTES)));
    assert!(!end_of_body.is_set() && !body.is_end_stream());

    assert_eq!(next_piece(&mut body), Some(content.slice(MAX_PIECE_BYTES..)));
    assert!(end_of_body.is_set() && body.is_end_stream());
    assert_eq!(next_piece(&mut body), None);
}

#[test]
fn an_empty_body_has_ended_from_the_start() {
    let end_of_body = CompletionFlag::default();

    let body = AttemptBody::buffered(Bytes::new(), end_of_body.clone());

    assert!(end_of_body.is_set() && body.is_end_stream());
}
