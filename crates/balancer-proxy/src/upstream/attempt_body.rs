//! The body that one attempt sends to its backend.

use super::request_body::StreamedRequestBody;
use super::completion_flag::CompletionFlag;
use crate::stream_error::StreamError;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The body that one attempt sends.
pub enum AttemptBody {
    /// A complete body; `None` if it is empty or has been handed out.
    Buffered(Option<Bytes>),
    /// A body that is still being received, from its beginning.
    Streamed {
        /// The body that this attempt shares with the other attempts of its request.
        source: Rc<StreamedRequestBody>,
        /// The number of chunks that this attempt has handed out.
        sent_chunks: usize,
        /// Set once the last chunk has been handed out.
        end_of_body: CompletionFlag,
    },
}

impl AttemptBody {
    /// Creates a body of no bytes.
    pub(crate) fn empty() -> Self {
        Self::Buffered(None)
    }

    /// Creates a body that hands out `source` from its beginning, and sets `end_of_body` with the last
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
            // A length that is known is sent as a header instead.
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}
