//! Request bodies on their way from a client to a backend. A body that is too long to be buffered is
//! streamed, as fast as the slower side reads. Its beginning stays buffered, so that the request can
//! be sent again, until more than that has been forwarded.

use super::body_chunks::BodyChunks;
use super::shared_flag::SharedFlag;
use super::transfer_pace::TransferPace;
use crate::limits::MAX_BODY_BYTES;
use crate::stream_error::StreamError;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::RefCell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

/// How often the pace of a body is checked.
const PACE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The body of a request, while it is received from its client.
pub struct StreamedRequestBody {
    state: RefCell<State>,
}

struct State {
    /// The beginning of the body, until more than that has been forwarded.
    buffered: BodyChunks,
    incoming: Incoming,
    /// Bytes still to be received, if the length is known.
    remaining_bytes: Option<u64>,
    pace: TransferPace,
    /// Set once the body is complete, or can't be completed any more.
    end: Option<Result<(), StreamError>>,
    /// More has been forwarded than is buffered.
    is_consumed: bool,
    /// The task that waits for the end.
    end_waker: Option<Waker>,
}

impl State {
    /// The next chunk from the client; None at the end.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        loop {
            if let Some(end) = self.end {
                return Poll::Ready(end.err().map(Err));
            }
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Pending => {
                    self.pace.start_waiting();
                    return Poll::Pending;
                }
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers need not be forwarded.
                    let Ok(chunk) = frame.into_data() else { continue };
                    if let Some(chunk) = self.accept(chunk) {
                        return Poll::Ready(Some(Ok(chunk)));
                    }
                }
                Poll::Ready(Some(Err(_))) => self.finish(Err(StreamError::Disconnected)),
                Poll::Ready(None) => self.finish(Ok(())),
            }
        }
    }

    /// Counts a chunk that was received. None if the body has become too long.
    fn accept(&mut self, chunk: Bytes) -> Option<Bytes> {
        self.pace.record_chunk(chunk.len());
        if self.pace.received_bytes() as u64 > MAX_BODY_BYTES {
            self.finish(Err(StreamError::TooLong));
            return None;
        }
        self.remaining_bytes = self.remaining_bytes.map(|bytes| bytes.saturating_sub(chunk.len() as u64));
        if self.remaining_bytes == Some(0) {
            self.finish(Ok(()));
        }
        Some(chunk)
    }

    /// The body ends in this way, if it has not ended before.
    fn finish(&mut self, end: Result<(), StreamError>) {
        self.end.get_or_insert(end);
        if let Some(waker) = self.end_waker.take() {
            waker.wake();
        }
    }
}

impl StreamedRequestBody {
    /// The body that is received as `incoming`. It is allowed `base_timeout`, and more time as more
    /// of it arrives.
    #[must_use]
    pub fn new(incoming: Incoming, base_timeout: Duration) -> Rc<Self> {
        let state = State {
            buffered: BodyChunks::default(),
            remaining_bytes: incoming.size_hint().exact(),
            incoming,
            pace: TransferPace::new(base_timeout),
            end: None,
            is_consumed: false,
            end_waker: None,
        };
        Rc::new(Self { state: RefCell::new(state) })
    }

    /// Buffers the body until it is complete, and returns it; None once more than `max_bytes` are
    /// buffered, and the body must be streamed.
    ///
    /// # Errors
    /// If the body breaks off, is too slow, or is longer than [`MAX_BODY_BYTES`].
    pub async fn read_buffered(&self, max_bytes: usize) -> Result<Option<Bytes>, StreamError> {
        let is_complete = tokio::select! {
            filled = std::future::poll_fn(|cx| self.poll_fill(cx, max_bytes)) => filled?,
            () = self.too_slow() => return Err(StreamError::Stalled),
        };
        Ok(is_complete.then(|| self.state.borrow_mut().buffered.take_concatenated()))
    }

    /// Buffers more than `max_bytes`, or the complete body. Returns whether the body is complete.
    fn poll_fill(&self, cx: &mut Context<'_>, max_bytes: usize) -> Poll<Result<bool, StreamError>> {
        let mut state = self.state.borrow_mut();
        while let Some(chunk) = ready!(state.poll_next(cx)).transpose()? {
            state.buffered.push(chunk);
            if state.buffered.bytes() > max_bytes {
                return Poll::Ready(Ok(false));
            }
        }
        Poll::Ready(Ok(true))
    }

    /// Returns once the complete body has been received.
    ///
    /// # Errors
    /// If the body breaks off, is too slow, or is longer than [`MAX_BODY_BYTES`].
    pub async fn finished(&self) -> Result<(), StreamError> {
        let ended = std::future::poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            state.end_waker = Some(cx.waker().clone());
            state.end.map_or(Poll::Pending, Poll::Ready)
        });
        tokio::select! {
            end = ended => end,
            () = self.too_slow() => {
                self.state.borrow_mut().finish(Err(StreamError::Stalled));
                Err(StreamError::Stalled)
            }
        }
    }

    async fn too_slow(&self) {
        while !self.state.borrow().pace.is_too_slow() {
            tokio::time::sleep(PACE_CHECK_INTERVAL).await;
        }
    }

    /// More has been forwarded than is buffered: the body can't be sent again.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        self.state.borrow().is_consumed
    }

    /// The next chunk for an attempt that has sent `sent_chunks` of them, and increases that number;
    /// None at the end. Sets `final_data` if no data follows.
    fn poll_chunk(
        &self,
        cx: &mut Context<'_>,
        sent_chunks: &mut usize,
        final_data: &SharedFlag,
    ) -> Poll<Option<Result<Bytes, StreamError>>> {
        let mut state = self.state.borrow_mut();
        let next = match state.buffered.get(*sent_chunks) {
            Some(chunk) => Some(Ok(chunk.clone())),
            None => ready!(state.poll_next(cx)),
        };
        let is_beyond_buffer = *sent_chunks >= state.buffered.count();
        if is_beyond_buffer && matches!(next, Some(Ok(_))) {
            state.is_consumed = true;
        }
        *sent_chunks += 1;
        let is_buffer_sent = state.is_consumed || *sent_chunks >= state.buffered.count();
        final_data.set(is_buffer_sent && state.end == Some(Ok(())));
        if state.is_consumed {
            state.buffered.clear();
        }
        Poll::Ready(next)
    }
}

impl fmt::Debug for StreamedRequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedRequestBody")
            .field("is_consumed", &self.is_consumed())
            .finish_non_exhaustive()
    }
}

/// The body that one attempt sends.
pub enum AttemptBody {
    /// A complete body, until it has been handed out.
    Buffered(Option<Bytes>),
    /// A body that is still being received, from its beginning.
    Streamed {
        /// The body.
        source: Rc<StreamedRequestBody>,
        /// The number of chunks that this attempt has handed out.
        sent_chunks: usize,
        /// Set when the last chunk is handed out.
        final_data: SharedFlag,
    },
}

impl AttemptBody {
    /// A body of no bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self::Buffered(None)
    }

    /// The body from its beginning. `final_data` is set when its last chunk is handed out.
    #[must_use]
    pub fn streamed(source: Rc<StreamedRequestBody>, final_data: SharedFlag) -> Self {
        Self::Streamed { source, sent_chunks: 0, final_data }
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
            Self::Streamed { source, sent_chunks, final_data } => {
                ready!(source.poll_chunk(cx, sent_chunks, final_data))
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
            // If the length is known, it is sent as a header.
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}
