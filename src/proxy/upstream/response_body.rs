//! Responses of backends that are too long to be buffered: they are streamed, as fast as the client
//! reads.

use super::connection::Connection;
use super::pool::ConnectionLease;
use crate::proxy::limits::MAX_BODY_BYTES;
use crate::proxy::stream_error::StreamError;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// A backend that gives nothing for so long will not end its answer.
const SILENT: Duration = Duration::from_secs(10);

/// An answer that is still coming from its backend.
pub struct StreamedResponseBody {
    first: VecDeque<Bytes>,
    rest: Incoming,
    peer: Option<Connection>,
    /// What is done with the connection once it is free.
    kept: Option<ConnectionLease>,
    length: Option<u64>,
    come: u64,
    silent: Pin<Box<Sleep>>,
}

impl StreamedResponseBody {
    /// The answer that begins with `first`, and the rest of which comes over `peer`.
    /// It has this length, if that is known.
    pub fn new(
        first: VecDeque<Bytes>,
        rest: Incoming,
        length: Option<u64>,
        peer: Connection,
        kept: ConnectionLease,
    ) -> Self {
        let silent = Box::pin(tokio::time::sleep(SILENT));
        Self { first, rest, peer: Some(peer), kept: Some(kept), length, come: 0, silent }
    }

    /// All of it has come: its connection may carry another request.
    fn free(&mut self) {
        if let (Some(peer), Some(kept)) = (self.peer.take(), self.kept.take()) {
            kept.release(peer);
        }
    }

    /// The next piece of the response; None at its end.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        if let Some(first) = self.first.pop_front() {
            self.come += first.len() as u64;
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Some(peer) = &mut self.peer else {
                return Poll::Ready(None);
            };
            let ended = peer.poll(cx);
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.silent.as_mut().reset(Instant::now() + SILENT);
                    // Trailers may be left out on the way.
                    let Ok(data) = frame.into_data() else { continue };
                    self.come += data.len() as u64;
                    // The end of a known length is not asked for: this is the last that is seen.
                    if self.length == Some(self.come) {
                        self.free();
                    }
                    let fits = self.come <= MAX_BODY_BYTES;
                    return Poll::Ready(Some(if fits { Ok(data) } else { Err(StreamError::TooLong) }));
                }
                Poll::Ready(None) => {
                    self.free();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(StreamError::Disconnected))),
                Poll::Pending if ended => return Poll::Ready(Some(Err(StreamError::Disconnected))),
                Poll::Pending => {
                    ready!(self.silent.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(StreamError::Stalled)));
                }
            }
        }
    }
}

/// What a client is answered.
pub enum ResponseContent {
    /// All of it at once.
    Buffered(Bytes),
    /// What comes from the backend.
    Streamed(Box<StreamedResponseBody>),
}

/// An answer of a backend.
pub struct BackendResponse {
    /// Its body.
    pub content: ResponseContent,
    /// How long that is, where it is known.
    pub length: Option<u64>,
    /// Its headers.
    pub headers: HeaderMap,
}

impl BackendResponse {
    /// Its body, if it is held.
    pub fn buffered(&self) -> Option<&Bytes> {
        match &self.content {
            ResponseContent::Buffered(whole) => Some(whole),
            ResponseContent::Streamed(_) => None,
        }
    }
}
