//! Responses of backends. A response that is too long to be buffered is streamed at the rate at which the
//! client reads it. The body of a streamed response owns its connection, and releases the connection to the
//! pool at the end of the body.

use super::body_chunks::BodyChunks;
use super::connection::Connection;
use super::pool::ConnectionLease;
use crate::limits::MAX_BODY_BYTES;
use crate::stream_error::StreamError;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// Time without data after which a streamed response body fails as stalled, because the backend is not
/// expected to complete the body.
const RESPONSE_BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a response that is still being received from its backend.
pub struct StreamedResponseBody {
    /// The chunks that were received before the body was streamed, and have not been returned yet.
    buffered: BodyChunks,
    incoming: Incoming,
    /// The connection of the body, until the body has ended.
    leased: Option<LeasedConnection>,
    /// The length of the complete body in bytes, if known.
    length: Option<u64>,
    /// The length of the chunks returned so far, in bytes.
    returned_bytes: u64,
    /// Expires [`RESPONSE_BODY_IDLE_TIMEOUT`] after the last arrival of data.
    idle_timer: Pin<Box<Sleep>>,
}

struct LeasedConnection {
    connection: Connection,
    lease: ConnectionLease,
}

impl StreamedResponseBody {
    /// Creates a body that begins with `received`. The rest is received as `incoming` over `connection`.
    pub(super) fn new(
        received: BodyChunks,
        incoming: Incoming,
        connection: Connection,
        lease: ConnectionLease,
    ) -> Self {
        Self {
            length: incoming.size_hint().exact().map(|remaining| remaining + received.bytes() as u64),
            buffered: received,
            incoming,
            leased: Some(LeasedConnection { connection, lease }),
            returned_bytes: 0,
            idle_timer: Box::pin(tokio::time::sleep(RESPONSE_BODY_IDLE_TIMEOUT)),
        }
    }

    /// Returns the length of the complete body in bytes, if known.
    fn length(&self) -> Option<u64> {
        self.length
    }

    /// Receives the next chunk, or `None` at the end.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        if let Some(chunk) = self.buffered.pop_front() {
            self.returned_bytes += chunk.len() as u64;
            return Poll::Ready(Some(Ok(chunk)));
        }
        loop {
            let Some(LeasedConnection { connection, .. }) = &mut self.leased else {
                return Poll::Ready(None);
            };
            let connection_ended = connection.poll_ended(cx);
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.idle_timer.as_mut().reset(Instant::now() + RESPONSE_BODY_IDLE_TIMEOUT);
                    // Trailers need not be forwarded.
                    let Ok(chunk) = frame.into_data() else { continue };
                    return Poll::Ready(Some(self.accept(chunk)));
                }
                Poll::Ready(None) => {
                    self.release();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(StreamError::Disconnected))),
                Poll::Pending if connection_ended => {
                    return Poll::Ready(Some(Err(StreamError::Disconnected)));
                }
                Poll::Pending => {
                    ready!(self.idle_timer.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(StreamError::Stalled)));
                }
            }
        }
    }

    /// Counts a received chunk, and releases the connection after the last one.
    fn accept(&mut self, chunk: Bytes) -> Result<Bytes, StreamError> {
        self.returned_bytes += chunk.len() as u64;
        // The body is not polled beyond a known length, so that this is the last call.
        if self.length == Some(self.returned_bytes) {
            self.release();
        }
        if self.returned_bytes > MAX_BODY_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok(chunk)
    }

    /// Releases the connection, which may carry another request because the body is complete.
    fn release(&mut self) {
        if let Some(LeasedConnection { connection, lease }) = self.leased.take() {
            lease.release(connection);
        }
    }
}

/// The body of a response to a client.
pub enum ResponseContent {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is still being received from the backend.
    Streamed(Box<StreamedResponseBody>),
}

/// A response of a backend.
pub struct BackendResponse {
    /// The body.
    pub content: ResponseContent,
    /// The length of the complete body in bytes, if known.
    pub length: Option<u64>,
    /// The headers of the response.
    pub headers: HeaderMap,
}

impl BackendResponse {
    /// Creates a response with this body and these headers.
    pub(super) fn new(content: ResponseContent, headers: HeaderMap) -> Self {
        let length = match &content {
            ResponseContent::Buffered(complete) => Some(complete.len() as u64),
            ResponseContent::Streamed(body) => body.length(),
        };
        Self { content, length, headers }
    }

    /// Returns the body if it is buffered.
    pub fn buffered(&self) -> Option<&Bytes> {
        match &self.content {
            ResponseContent::Buffered(complete) => Some(complete),
            ResponseContent::Streamed(_) => None,
        }
    }
}
