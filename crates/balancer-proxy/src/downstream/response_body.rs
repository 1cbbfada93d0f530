//! The body of a response that is sent to a client. The body owns the outstanding request in the metrics
//! until the body ends or is dropped. When dropped, it notifies the connection that the response is finished.

use super::client_connection::ClientConnection;
use crate::limits::split_piece;
use crate::metrics::OutstandingRequest;
use crate::stream_error::StreamError;
use crate::upstream::response_body::ResponseContent;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::time::Instant;

/// The result of a request, which is counted when its streamed response ends.
struct PendingResult {
    outstanding: OutstandingRequest,
    status: StatusCode,
}

/// The body of a response to a client.
pub(super) struct ResponseBody {
    /// The content that is still to be sent.
    content: Option<ResponseContent>,
    /// The number of bytes that are still to be sent, if the length is known.
    remaining_bytes: Option<u64>,
    pending_result: Option<PendingResult>,
    /// The failure of the content, which is reported once all bytes before it have been written.
    failure: Option<StreamError>,
    client: Rc<ClientConnection>,
}

impl ResponseBody {
    /// Creates a body for a client. `length` is the length of streamed content in bytes, if known.
    pub(super) fn new(content: ResponseContent, length: Option<u64>, client: Rc<ClientConnection>) -> Self {
        let remaining_bytes = match &content {
            ResponseContent::Buffered(data) => Some(data.len() as u64),
            ResponseContent::Streamed(_) => length,
        };
        // Without content, the HTTP library leaves a Content-Length header as it is, which HEAD requires.
        let is_empty = matches!(&content, ResponseContent::Buffered(data) if data.is_empty());
        let content = if is_empty { None } else { Some(content) };
        Self { content, remaining_bytes, pending_result: None, failure: None, client }
    }

    /// Returns whether the content is still being received from the backend.
    pub(super) fn is_streamed(&self) -> bool {
        matches!(self.content, Some(ResponseContent::Streamed(_)))
    }

    /// Counts the request with this status: at once if the body is buffered, else at the end of the body.
    pub(super) fn count_at_end(&mut self, outstanding: OutstandingRequest, status: StatusCode) {
        match self.content {
            Some(ResponseContent::Streamed(_)) => {
                self.pending_result = Some(PendingResult { outstanding, status });
            }
            _ => outstanding.finish(status),
        }
    }

    /// Returns the next part of the content, or `None` at the end.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        match &mut self.content {
            None => Poll::Ready(None),
            Some(ResponseContent::Buffered(data)) => {
                let piece = split_piece(data);
                if data.is_empty() {
                    self.content = None;
                }
                Poll::Ready(Some(Ok(piece)))
            }
            Some(ResponseContent::Streamed(stream)) => {
                let next = ready!(stream.poll_next(cx));
                if !matches!(next, Some(Ok(_))) {
                    self.content = None;
                }
                Poll::Ready(next)
            }
        }
    }

    /// Counts the request with its status when the last byte of the response is passed to the HTTP library,
    /// without waiting until the library asks for the end of the body. Counts the request as failed if the
    /// response is interrupted.
    fn record_progress(&mut self, next: Option<&Result<Bytes, StreamError>>) {
        match next {
            Some(Ok(data)) => {
                let sent = data.len() as u64;
                self.remaining_bytes = self.remaining_bytes.map(|remaining| remaining.saturating_sub(sent));
                if self.remaining_bytes == Some(0) {
                    self.count_complete();
                }
            }
            Some(Err(_)) => self.count_interrupted(),
            None => self.count_complete(),
        }
    }

    fn count_complete(&mut self) {
        if let Some(PendingResult { outstanding, status }) = self.pending_result.take() {
            outstanding.finish(status);
        }
    }

    fn count_interrupted(&mut self) {
        if let Some(PendingResult { outstanding, .. }) = self.pending_result.take() {
            outstanding.finish(StatusCode::BAD_GATEWAY);
        }
    }
}

impl Drop for ResponseBody {
    /// Counts a response that the proxy cuts off, because its client has stopped reading, as failed. A
    /// response whose client has disconnected is not counted.
    fn drop(&mut self) {
        if self.client.progress().writes().is_timed_out(Instant::now()) {
            self.count_interrupted();
        }
        self.client.finish_response();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        if self.failure.is_none() {
            let next = ready!(self.poll_next(cx));
            self.record_progress(next.as_ref());
            match next.transpose() {
                Ok(data) => return Poll::Ready(data.map(|data| Ok(Frame::data(data)))),
                Err(failure) => self.failure = Some(failure),
            }
        }
        ready!(self.client.flush_signal().poll_flushed(cx));
        Poll::Ready(self.failure.take().map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_none() && self.failure.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
