//! Request bodies that are received from a client and sent to a backend. A body that is too long to be
//! buffered is streamed at the rate of the slower side. The beginning of a streamed body stays buffered, so
//! that the request can be sent again, until data after this beginning has been forwarded.

use super::body_buffer::BodyBuffer;
use super::body_chunks::BodyChunks;
use super::completion_flag::CompletionFlag;
use super::sender_wait::SenderWait;
use super::transfer_rate::TransferRateMonitor;
use crate::limits::{MAX_BODY_BYTES, max_buffered_bytes};
use crate::stream_error::StreamError;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::RefCell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

/// Interval between two checks of the transfer rate of a body.
const RATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The body of a request that is being received from its client.
pub struct StreamedRequestBody {
    state: RefCell<ReceiveState>,
}

struct ReceiveState {
    /// The beginning of the body. Empty once data after the beginning has been forwarded.
    buffered: BodyChunks,
    incoming: Incoming,
    /// The number of bytes still to be received, if the length is known.
    remaining_bytes: Option<u64>,
    transfer_rate: TransferRateMonitor,
    /// The result at the end of the body. `None` until the body is complete or can no longer be completed.
    end: Option<Result<(), StreamError>>,
    /// Set once data after the buffered beginning has been forwarded.
    is_consumed: bool,
    /// Wakes the task that waits for the end.
    end_waker: Option<Waker>,
}

impl ReceiveState {
    /// Receives the next chunk from the client, or `None` at the end.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        loop {
            if let Some(end) = self.end {
                return Poll::Ready(end.err().map(Err));
            }
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Pending => {
                    self.transfer_rate.start_waiting();
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
                Poll::Ready(None) => {
                    self.transfer_rate.record_chunk(0);
                    self.finish(Ok(()));
                }
            }
        }
    }

    /// Counts a received chunk, and returns the chunk, or `None` if the body has become too long.
    fn accept(&mut self, chunk: Bytes) -> Option<Bytes> {
        self.transfer_rate.record_chunk(chunk.len());
        if self.transfer_rate.received_bytes() as u64 > MAX_BODY_BYTES {
            self.finish(Err(StreamError::TooLong));
            return None;
        }
        self.remaining_bytes = self.remaining_bytes.map(|bytes| bytes.saturating_sub(chunk.len() as u64));
        if self.remaining_bytes == Some(0) {
            self.finish(Ok(()));
        }
        Some(chunk)
    }

    /// Records how the body ended. Does nothing if the body has already ended.
    fn finish(&mut self, end: Result<(), StreamError>) {
        self.end.get_or_insert(end);
        if let Some(waker) = self.end_waker.take() {
            waker.wake();
        }
    }
}

impl StreamedRequestBody {
    /// Creates the body that is received as `incoming`. The body may take `base_timeout` to arrive, and more
    /// time for each byte received. Since when bytes are awaited from the client is recorded in
    /// `sender_wait`.
    pub fn new(incoming: Incoming, base_timeout: Duration, sender_wait: SenderWait) -> Rc<Self> {
        let state = ReceiveState {
            buffered: BodyChunks::default(),
            remaining_bytes: incoming.size_hint().exact(),
            incoming,
            transfer_rate: TransferRateMonitor::new(base_timeout, sender_wait),
            end: None,
            is_consumed: false,
            end_waker: None,
        };
        Rc::new(Self { state: RefCell::new(state) })
    }

    /// Buffers the body until it is complete, and returns the complete body. Returns `None` once the body is
    /// longer than [`MAX_BUFFERED_BODY_BYTES`](crate::limits::MAX_BUFFERED_BODY_BYTES), as the body must then
    /// be streamed.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early, is too slow, or is longer than [`MAX_BODY_BYTES`].
    pub async fn read_buffered(&self) -> Result<Option<Bytes>, StreamError> {
        let mut buffer = BodyBuffer::new(max_buffered_bytes(self.state.borrow().remaining_bytes));
        let excess = tokio::select! {
            filled = std::future::poll_fn(|cx| self.poll_fill(cx, &mut buffer)) => filled?,
            () = self.wait_until_too_slow() => return Err(StreamError::Stalled),
        };
        let beginning = buffer.into_bytes();
        if excess.is_none() {
            return Ok(Some(beginning));
        }
        self.state.borrow_mut().buffered = BodyChunks::new(beginning, excess);
        Ok(None)
    }

    /// Fills the buffer. Returns the first chunk for which the buffer has no room, or `None` once the body is
    /// complete.
    fn poll_fill(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut BodyBuffer,
    ) -> Poll<Result<Option<Bytes>, StreamError>> {
        let mut state = self.state.borrow_mut();
        while let Some(chunk) = ready!(state.poll_next(cx)).transpose()? {
            if let Err(excess) = buffer.append(chunk) {
                return Poll::Ready(Ok(Some(excess)));
            }
        }
        Poll::Ready(Ok(None))
    }

    /// Returns once the complete body has been received.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early, is too slow, or is longer than [`MAX_BODY_BYTES`].
    pub async fn wait_until_complete(&self) -> Result<(), StreamError> {
        let ended = std::future::poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            state.end_waker = Some(cx.waker().clone());
            state.end.map_or(Poll::Pending, Poll::Ready)
        });
        tokio::select! {
            end = ended => end,
            () = self.wait_until_too_slow() => {
                self.state.borrow_mut().finish(Err(StreamError::Stalled));
                Err(StreamError::Stalled)
            }
        }
    }

    /// Returns once the body arrives too slowly.
    async fn wait_until_too_slow(&self) {
        while !self.state.borrow().transfer_rate.is_too_slow() {
            tokio::time::sleep(RATE_CHECK_INTERVAL).await;
        }
    }

    /// Returns for how long the last byte of the body may have waited in the buffers of sockets, because no
    /// attempt took the next chunk. Returns zero while the client is awaited, and `None` once the body has
    /// ended.
    #[must_use]
    pub fn time_unreceived(&self) -> Option<Duration> {
        let state = self.state.borrow();
        state.end.is_none().then(|| state.transfer_rate.time_unreceived())
    }

    /// Returns for how long the last byte of a complete body may have waited in the buffers of sockets before
    /// the byte was received.
    pub(super) fn last_byte_delay(&self) -> Duration {
        self.state.borrow().transfer_rate.recorded_gaps()
    }

    /// Returns whether data after the buffered beginning has been forwarded, so that the body cannot be sent
    /// again.
    pub(super) fn is_consumed(&self) -> bool {
        self.state.borrow().is_consumed
    }

    /// Returns the next chunk for an attempt that has sent `sent_chunks` chunks, and increases that number.
    /// Returns `None` at the end. Sets `end_of_body` if no data follows, and clears it otherwise.
    pub(super) fn poll_chunk(
        &self,
        cx: &mut Context<'_>,
        sent_chunks: &mut usize,
        end_of_body: &CompletionFlag,
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
        if is_buffer_sent && state.end == Some(Ok(())) {
            end_of_body.set();
        } else {
            end_of_body.clear();
        }
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
