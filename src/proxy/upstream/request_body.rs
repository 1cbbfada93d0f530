//! Request bodies on their way from a client to a backend. A body that is too long to be buffered is
//! streamed, as fast as the slower side reads.

use super::shared_flag::SharedFlag;
use crate::proxy::limits::MAX_BODY_BYTES;
use crate::proxy::stream_error::StreamError;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::time::Instant;

/// A body is waited for as long as what has come of it takes at so many bytes a second, beside the
/// time that a request has at any rate.
const LEAST_PACE: f64 = 40e3;
/// How often it is looked whether a body still comes.
const LOOK: Duration = Duration::from_millis(50);

/// The time that a body has been waited for, beside what has come.
struct Pace {
    /// The time that it has at any rate.
    within: Duration,
    since: Option<Instant>,
    waited: Duration,
    bytes: usize,
}

impl Pace {
    fn new(within: Duration) -> Self {
        Self { within, since: None, waited: Duration::ZERO, bytes: 0 }
    }

    fn waits(&mut self) {
        self.since.get_or_insert_with(Instant::now);
    }

    fn came(&mut self, bytes: usize) {
        self.waited += self.since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.bytes += bytes;
    }

    fn too_slow(&self) -> bool {
        let waited = self.waited + self.since.map_or(Duration::ZERO, |since| since.elapsed());
        waited > self.within + Duration::from_secs_f64(self.bytes as f64 / LEAST_PACE)
    }
}

struct Inner {
    /// What has come first, until more than that has been passed on.
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// What is still to come, where that is known.
    left: Option<u64>,
    pace: Pace,
    /// The end has come, or can't come any more.
    end: Option<Result<(), StreamError>>,
    spent: bool,
    watcher: Option<Waker>,
}

/// The body of a request, as it comes from its client.
pub struct StreamedRequestBody {
    inner: RefCell<Inner>,
}

impl fmt::Debug for StreamedRequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").field("spent", &self.is_consumed()).finish_non_exhaustive()
    }
}

impl Inner {
    /// The next piece from the client; None at the end.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamError>>> {
        loop {
            if let Some(end) = self.end {
                return Poll::Ready(end.err().map(Err));
            }
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => {
                    self.pace.waits();
                    return Poll::Pending;
                }
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers may be left out on the way.
                    let Ok(data) = frame.into_data() else { continue };
                    self.pace.came(data.len());
                    if self.pace.bytes as u64 > MAX_BODY_BYTES {
                        self.ended(Err(StreamError::TooLong));
                        continue;
                    }
                    self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
                    if self.left == Some(0) {
                        self.ended(Ok(()));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Poll::Ready(Some(Err(_))) => self.ended(Err(StreamError::Disconnected)),
                Poll::Ready(None) => self.ended(Ok(())),
            }
        }
    }

    fn ended(&mut self, end: Result<(), StreamError>) {
        self.end = self.end.or(Some(end));
        self.watcher.take().into_iter().for_each(Waker::wake);
    }
}

impl StreamedRequestBody {
    /// The body that `rest` brings. It has so much time at any rate, and more as it comes.
    pub fn new(rest: Incoming, within: Duration) -> Rc<Self> {
        let (first, pace, left) = (VecDeque::new(), Pace::new(within), rest.size_hint().exact());
        let inner = Inner { first, rest, left, pace, end: None, spent: false, watcher: None };
        Rc::new(Self { inner: RefCell::new(inner) })
    }

    /// Takes in the first part, more than `most` bytes, or the whole if it is no longer.
    pub async fn read_buffered(&self, most: usize) -> Result<Option<Bytes>, StreamError> {
        let mut length = 0;
        let filled = std::future::poll_fn(|cx| {
            loop {
                let mut inner = self.inner.borrow_mut();
                match ready!(inner.poll_next(cx)).transpose() {
                    Err(cut) => return Poll::Ready(Err(cut)),
                    Ok(None) => return Poll::Ready(Ok(true)),
                    Ok(Some(data)) => {
                        length += data.len();
                        inner.first.push_back(data);
                        if length > most {
                            return Poll::Ready(Ok(false));
                        }
                    }
                }
            }
        });
        let whole = tokio::select! {
            filled = filled => filled?,
            () = self.too_slow() => return Err(StreamError::Stalled),
        };
        Ok(whole.then(|| joined(self.inner.borrow_mut().first.drain(..), length)))
    }

    /// Returns once the whole body has come, or no more will.
    pub async fn finished(&self) -> Result<(), StreamError> {
        let ended = std::future::poll_fn(|cx| {
            let mut inner = self.inner.borrow_mut();
            inner.watcher = Some(cx.waker().clone());
            inner.end.map_or(Poll::Pending, Poll::Ready)
        });
        tokio::select! {
            ended = ended => ended,
            () = self.too_slow() => {
                self.inner.borrow_mut().ended(Err(StreamError::Stalled));
                Err(StreamError::Stalled)
            }
        }
    }

    async fn too_slow(&self) {
        while !self.inner.borrow().pace.too_slow() {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// More has been passed on than is kept.
    pub fn is_consumed(&self) -> bool {
        self.inner.borrow().spent
    }
}

fn joined(parts: impl Iterator<Item = Bytes>, length: usize) -> Bytes {
    let mut whole = BytesMut::with_capacity(length);
    parts.for_each(|part| whole.extend_from_slice(&part));
    whole.freeze()
}

/// What an attempt sends.
pub enum AttemptBody {
    /// All of it at once.
    Buffered(Option<Bytes>),
    /// What comes, from its beginning.
    Streamed {
        /// Where it comes from.
        source: Rc<StreamedRequestBody>,
        /// Pieces of the first part sent.
        sent: usize,
        /// Set when the last piece is given out.
        last: SharedFlag,
    },
}

impl AttemptBody {
    /// There is nothing to send.
    pub fn empty() -> Self {
        Self::Buffered(None)
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let (source, sent, last) = match &mut *self {
            Self::Buffered(whole) => return Poll::Ready(whole.take().map(|data| Ok(Frame::data(data)))),
            Self::Streamed { source, sent, last } => (source, sent, last),
        };
        let mut inner = source.inner.borrow_mut();
        let next = match inner.first.get(*sent) {
            Some(first) => Some(Ok(first.clone())),
            None => ready!(inner.poll_next(cx)),
        };
        if matches!(next, Some(Ok(_))) && *sent >= inner.first.len() {
            inner.spent = true;
        }
        *sent += 1;
        last.set(inner.end == Some(Ok(())) && (inner.spent || *sent >= inner.first.len()));
        if inner.spent {
            inner.first.clear();
        }
        Poll::Ready(next.map(|next| next.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(whole) => SizeHint::with_exact(whole.as_ref().map_or(0, |w| w.len() as u64)),
            // Its length, if told, goes on as a header.
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}
