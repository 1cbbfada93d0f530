//! Bodies and answers that are too long to be held: they flow, as fast as the slower side takes.

use super::backend::{Kept, Peer};
use super::clients::Client;
use super::figures::Taken;
use super::limits::MOST_BODY;
use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// A body is waited for as long as what has come of it takes at so many bytes a second, beside the
/// time that a request has at any rate.
const LEAST_PACE: f64 = 40e3;
/// A backend that gives nothing for so long will not end its answer.
const SILENT: Duration = Duration::from_secs(10);
/// How often it is looked whether a body still comes.
const LOOK: Duration = Duration::from_millis(50);

/// Why a flow ended before its end.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// The other side has gone, or broke its framing.
    #[error("it broke off")]
    Broken,
    /// Nothing came for too long.
    #[error("it stands still")]
    Still,
    /// It is longer than any may be.
    #[error("it is too long")]
    Long,
}

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
    end: Option<Result<(), Cut>>,
    spent: bool,
    watcher: Option<Waker>,
}

/// The body of a request, as it comes from its client.
pub struct Source {
    inner: RefCell<Inner>,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").field("spent", &self.spent()).finish_non_exhaustive()
    }
}

impl Inner {
    /// The next piece from the client; None at the end.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
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
                    if self.pace.bytes as u64 > MOST_BODY {
                        self.ended(Err(Cut::Long));
                        continue;
                    }
                    self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
                    if self.left == Some(0) {
                        self.ended(Ok(()));
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Poll::Ready(Some(Err(_))) => self.ended(Err(Cut::Broken)),
                Poll::Ready(None) => self.ended(Ok(())),
            }
        }
    }

    fn ended(&mut self, end: Result<(), Cut>) {
        self.end = self.end.or(Some(end));
        self.watcher.take().into_iter().for_each(Waker::wake);
    }
}

impl Source {
    /// The body that `rest` brings. It has so much time at any rate, and more as it comes.
    pub fn new(rest: Incoming, within: Duration) -> Rc<Self> {
        let (first, pace, left) = (VecDeque::new(), Pace::new(within), rest.size_hint().exact());
        let inner = Inner { first, rest, left, pace, end: None, spent: false, watcher: None };
        Rc::new(Self { inner: RefCell::new(inner) })
    }

    /// Takes in the first part, more than `most` bytes, or the whole if it is no longer.
    pub async fn first(&self, most: usize) -> Result<Option<Bytes>, Cut> {
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
            () = self.too_slow() => return Err(Cut::Still),
        };
        Ok(whole.then(|| joined(self.inner.borrow_mut().first.drain(..), length)))
    }

    /// Returns once the whole body has come, or no more will.
    pub async fn ended(&self) -> Result<(), Cut> {
        let ended = std::future::poll_fn(|cx| {
            let mut inner = self.inner.borrow_mut();
            inner.watcher = Some(cx.waker().clone());
            inner.end.map_or(Poll::Pending, Poll::Ready)
        });
        tokio::select! {
            ended = ended => ended,
            () = self.too_slow() => {
                self.inner.borrow_mut().ended(Err(Cut::Still));
                Err(Cut::Still)
            }
        }
    }

    async fn too_slow(&self) {
        while !self.inner.borrow().pace.too_slow() {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// More has been passed on than is kept.
    pub fn spent(&self) -> bool {
        self.inner.borrow().spent
    }
}

fn joined(parts: impl Iterator<Item = Bytes>, length: usize) -> Bytes {
    let mut whole = BytesMut::with_capacity(length);
    parts.for_each(|part| whole.extend_from_slice(&part));
    whole.freeze()
}

/// What an attempt sends.
pub enum Outgoing {
    /// All of it at once.
    Whole(Option<Bytes>),
    /// What comes, from its beginning.
    Flow {
        /// Where it comes from.
        source: Rc<Source>,
        /// Pieces of the first part sent.
        sent: usize,
        /// Set when the last piece is given out.
        last: Rc<Cell<bool>>,
    },
}

impl Outgoing {
    /// There is nothing to send.
    pub fn empty() -> Self {
        Self::Whole(None)
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let (source, sent, last) = match &mut *self {
            Self::Whole(whole) => return Poll::Ready(whole.take().map(|data| Ok(Frame::data(data)))),
            Self::Flow { source, sent, last } => (source, sent, last),
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
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => SizeHint::with_exact(whole.as_ref().map_or(0, |w| w.len() as u64)),
            // Its length, if told, goes on as a header.
            Self::Flow { .. } => SizeHint::default(),
        }
    }
}

/// An answer that is still coming from its backend.
pub struct Flow {
    first: VecDeque<Bytes>,
    rest: Incoming,
    peer: Option<Peer>,
    /// What is done with the connection once it is free.
    kept: Option<Kept>,
    length: Option<u64>,
    come: u64,
    silent: Pin<Box<Sleep>>,
}

impl Flow {
    /// The answer that begins with `first`, and the rest of which comes over `peer`.
    /// It has this length, if that is known.
    pub fn new(first: VecDeque<Bytes>, rest: Incoming, length: Option<u64>, peer: Peer, kept: Kept) -> Self {
        let silent = Box::pin(tokio::time::sleep(SILENT));
        Self { first, rest, peer: Some(peer), kept: Some(kept), length, come: 0, silent }
    }

    /// All of it has come: its connection may carry another request.
    fn free(&mut self) {
        if let (Some(peer), Some(kept)) = (self.peer.take(), self.kept.take()) {
            kept.free(peer);
        }
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
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
                    let fits = self.come <= MOST_BODY;
                    return Poll::Ready(Some(if fits { Ok(data) } else { Err(Cut::Long) }));
                }
                Poll::Ready(None) => {
                    self.free();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(Cut::Broken))),
                Poll::Pending if ended => return Poll::Ready(Some(Err(Cut::Broken))),
                Poll::Pending => {
                    ready!(self.silent.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(Cut::Still)));
                }
            }
        }
    }
}

/// What a client is answered.
pub enum Content {
    /// All of it at once.
    Whole(Bytes),
    /// What comes from the backend.
    Flow(Box<Flow>),
}

/// The content on its way to the client, and what is to be done at its end.
pub struct Reply {
    content: Option<Content>,
    length: Option<u64>,
    /// How the request is counted in the end, if it is.
    counted: Option<(Taken, StatusCode)>,
    client: Rc<Client>,
}

impl Reply {
    /// The content for a client, of this length if it is known.
    pub fn new(content: Content, length: Option<u64>, client: Rc<Client>) -> Self {
        let (content, length) = match content {
            // Nothing at all: the length that a header tells, as for HEAD, stands.
            Content::Whole(whole) if whole.is_empty() => (None, Some(0)),
            Content::Whole(whole) => {
                let length = whole.len() as u64;
                (Some(Content::Whole(whole)), Some(length))
            }
            flow => (Some(flow), length),
        };
        Self { content, length, counted: None, client }
    }

    /// The request counts as ended with this status once the content is through.
    pub fn counts(&mut self, taken: Taken, status: StatusCode) {
        match self.content {
            Some(Content::Flow(_)) => self.counted = Some((taken, status)),
            _ => taken.ended(status),
        }
    }

    fn count(&mut self, cut: bool) {
        if let Some((taken, status)) = self.counted.take() {
            taken.ended(if cut { StatusCode::BAD_GATEWAY } else { status });
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        self.client.answered();
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let next = match &mut self.content {
            Some(Content::Flow(flow)) => ready!(flow.poll_next(cx)),
            Some(Content::Whole(whole)) => Some(Ok(std::mem::take(whole))),
            None => None,
        };
        if !matches!((&self.content, &next), (Some(Content::Flow(_)), Some(Ok(_)))) {
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
