//! The body that one attempt sends to its backend.

use super::completion_flag::CompletionFlag;
use super::request_body::StreamedRequestBody;
use crate::limits::split_piece;
use crate::stream_error::StreamError;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The body that one attempt sends.
pub enum AttemptBody {
    /// A body that is complete, sent in pieces.
    Buffered {
        /// The content that has not been yielded.
        remaining: Bytes,
        /// Set once the last piece has been yielded.
        end_of_body: CompletionFlag,
    },
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
        Self::buffered(Bytes::new(), CompletionFlag::default())
    }

    /// Creates a body that yields `content`, and sets `end_of_body` with the last piece, or at once if there
    /// is no content.
    pub(super) fn buffered(content: Bytes, end_of_body: CompletionFlag) -> Self {
        if content.is_empty() {
            end_of_body.set();
        }
        Self::Buffered { remaining: content, end_of_body }
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
            Self::Buffered { remaining, .. } if remaining.is_empty() => None,
            Self::Buffered { remaining, end_of_body } => {
                let piece = split_piece(remaining);
                if remaining.is_empty() {
                    end_of_body.set();
                }
                Some(Ok(piece))
            }
            Self::Streamed { source, sent_chunks, end_of_body } => {
                ready!(source.poll_chunk(cx, sent_chunks, end_of_body))
            }
        };
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered { remaining, .. } if remaining.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered { remaining, .. } => SizeHint::with_exact(remaining.len() as u64),
            // A known length is sent in the `Content-Length` header instead.
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
