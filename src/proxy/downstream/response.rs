//! Response bodies on their way to a client, and what is settled at their end: the metrics of the
//! request and the state of the connection.

use super::connections::ClientConnection;
use crate::proxy::metrics::OutstandingRequest;
use crate::proxy::stream_error::StreamError;
use crate::proxy::upstream::response_body::ResponseContent;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The content on its way to the client, and what is to be done at its end.
pub struct ResponseBody {
    content: Option<ResponseContent>,
    length: Option<u64>,
    /// How the request is counted in the end, if it is.
    counted: Option<(OutstandingRequest, StatusCode)>,
    client: Rc<ClientConnection>,
}

impl ResponseBody {
    /// The content for a client, of this length if it is known.
    pub fn new(content: ResponseContent, length: Option<u64>, client: Rc<ClientConnection>) -> Self {
        let (content, length) = match content {
            // Nothing at all: the length that a header tells, as for HEAD, stands.
            ResponseContent::Buffered(whole) if whole.is_empty() => (None, Some(0)),
            ResponseContent::Buffered(whole) => {
                let length = whole.len() as u64;
                (Some(ResponseContent::Buffered(whole)), Some(length))
            }
            flow => (Some(flow), length),
        };
        Self { content, length, counted: None, client }
    }

    /// The request counts as ended with this status once the content is through.
    pub fn counts(&mut self, taken: OutstandingRequest, status: StatusCode) {
        match self.content {
            Some(ResponseContent::Streamed(_)) => self.counted = Some((taken, status)),
            _ => taken.finish(status),
        }
    }

    fn count(&mut self, cut: bool) {
        if let Some((taken, status)) = self.counted.take() {
            taken.finish(if cut { StatusCode::BAD_GATEWAY } else { status });
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.client.response_finished();
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let next = match &mut self.content {
            Some(ResponseContent::Streamed(flow)) => ready!(flow.poll_next(cx)),
            Some(ResponseContent::Buffered(whole)) => Some(Ok(std::mem::take(whole))),
            None => None,
        };
        if !matches!((&self.content, &next), (Some(ResponseContent::Streamed(_)), Some(Ok(_)))) {
            self.content = None;
        }
        match &next {
            Some(Ok(data)) => {
                // A client counts as served with the last byte, not with the end that follows it.
                let left = self.length.map(|length| length.saturating_sub(data.len() as u64));
                self.length = left;
                if left == Some(0) {
                    self.count(false);
                }
            }
            Some(Err(_)) => self.count(true),
            None => self.count(false),
        }
        Poll::Ready(next.map(|next| next.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
