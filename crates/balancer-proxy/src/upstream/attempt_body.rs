//! The body that one attempt sends to its backend.

use super::completion_flag::CompletionFlag;
use super::request_body::StreamedRequestBody;
use crate::stream_error::StreamError;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The body that one attempt sends.
pub enum AttemptBody {
    /// A complete body; `None` if the body is empty or has been yielded.
    Buffered(Option<Bytes>),
    /// A body that is still being received, sent from its first chunk.
    Streamed {
        /// The body that this attempt shares with the other attempts of its request.
        source: Rc<StreamedRequestBody>,
        /// The number of chunks that this attempt has yielded.
        sent_chunks: usize,
        /// Set once the last chunk has been yielded.
        end_of_body: CompletionFlag,
    },
}

impl AttemptBody {
    /// Creates an empty body.
    pub(crate) fn empty() -> Self {
        Self::Buffered(None)
    }

    /// Creates a body that yields `source` from its first chunk, and sets `end_of_body` with the last
    /// chunk.
    pub(super) fn streamed(source: Rc<StreamedRequestBody>, end_of_body: CompletionFlag) -> Self {
        Self::Streamed { source, sent_chunks: 0, end_of_body }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let next = match &mut *self {
            Self::Buffered(content) => content.take().map(Ok),
            Self::Streamed { source, sent_chunks, end_of_body } => {
                ready!(source.poll_chunk(cx, sent_chunks, end_of_body))
            }
        };
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(content) => SizeHint::with_exact(content.as_ref().map_or(0, Bytes::len) as u64),
            // A known length is sent in the `Content-Length` header instead.
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}
