//! A connection to a backend, one exchange on it, and how much of a request has been written.

use super::request_body::AttemptBody;
use super::shared_flag::SharedFlag;
use crate::proxy::limits::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};
use crate::proxy::metrics::Metrics;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// An answer that has begun and then stands still for so long is given up as spoilt.
const STALLED: Duration = Duration::from_millis(500);
/// An answer of unknown length is held for so long. Then what has come goes on, and the rest as it
/// comes: the client's time is that of the first bytes where an answer is long.
const HELD_WITHIN: Duration = Duration::from_millis(250);
/// How often that is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// When something was last heard of an answer that has begun.
#[derive(Clone, Default)]
struct ResponseActivity(Arc<Mutex<Option<Instant>>>);

impl ResponseActivity {
    fn set(&self, at: Option<Instant>) {
        if let Ok(mut heard) = self.0.lock() {
            *heard = at;
        }
    }

    /// Returns once an answer stands still.
    async fn stalled(&self) {
        let stands = || self.0.lock().is_ok_and(|h| h.is_some_and(|at| at.elapsed() >= STALLED));
        while !stands() {
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// The last byte of a request is held back for so long. A backend begins a request when its last
/// byte has come, so what breaks before that has never run and may go elsewhere: guards against
/// connections that the other side has given up without a word, or resets as it accepts them.
const HELD: Duration = Duration::from_millis(1);

/// Where it is held for so much longer, the process has stood still or been at something else, and
/// what came meanwhile, such as the end of the client, has not been taken in: it is held once more.
const HELD_UP: Duration = Duration::from_millis(50);

/// How much of a request has gone out.
#[derive(Default)]
struct WriteProgress {
    /// All of it. The attempt's own word: whoever ends it from outside goes by it.
    whole: RefCell<SharedFlag>,
    /// What is written next holds its last byte.
    last: SharedFlag,
    /// Where that is to be counted.
    figures: RefCell<Option<Rc<Metrics>>>,
    /// What comes before all of it has gone out is not its answer.
    in_turn: Cell<bool>,
    /// Its last byte is not written after this.
    by: Cell<Option<Instant>>,
}

impl WriteProgress {
    fn begin(&self, whole: &SharedFlag, by: Option<Instant>, figures: Option<Rc<Metrics>>) {
        whole.set(false);
        self.by.set(by);
        self.whole.replace(whole.clone());
        self.last.set(false);
        self.figures.replace(figures);
    }

    /// What comes now can't be the answer.
    fn too_early(&self) -> bool {
        self.in_turn.get() && !self.whole.borrow().get()
    }

    /// It is too late for it to run.
    fn expired(&self) -> bool {
        self.by.get().is_some_and(|by| Instant::now() >= by)
    }

    fn end(&self) {
        self.whole.borrow().set(true);
        self.figures.take().into_iter().for_each(|figures| figures.attempt_written());
    }
}

/// A socket that notes when something came, and holds the last byte back.
struct Line {
    stream: TcpStream,
    heard: ResponseActivity,
    written: Rc<WriteProgress>,
    held: Option<u8>,
    /// Until when it is held.
    wait: Pin<Box<Sleep>>,
    /// It is held once more. Not again: a slow process must get on too.
    once_more: bool,
}

impl Line {
    /// Something has come, or the other side has ended, whether or not it has been told to us yet.
    fn come(&self) -> bool {
        let socket = SockRef::from(&self.stream);
        !matches!((&*socket).read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes the byte that is held, if one is.
    fn poll_held(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(byte) = self.held {
            ready!(Pin::new(&mut self.stream).poll_write(cx, &[byte]))?;
            self.held = None;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            // Here it is known which came first: the last byte is not written after this.
            if self.written.too_early() {
                return Poll::Ready(Err(io::Error::other("an answer ahead of its request")));
            }
            self.heard.set(Some(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        // What is held is not the last byte after all.
        ready!(self.poll_held(cx))?;
        if !self.written.last.get() {
            return Pin::new(&mut self.stream).poll_write(cx, data);
        }
        let Some((last, rest)) = data.split_last() else {
            return Poll::Ready(Ok(0));
        };
        if !rest.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, rest))?;
            if written < rest.len() {
                return Poll::Ready(Ok(written));
            }
        }
        self.held = Some(*last);
        self.once_more = false;
        self.wait.as_mut().reset(Instant::now() + HELD);
        Poll::Ready(Ok(data.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.held.is_some() {
            ready!(self.wait.as_mut().poll(cx));
            if !self.once_more && self.wait.deadline().elapsed() > HELD_UP {
                self.once_more = true;
                self.wait.as_mut().reset(Instant::now() + HELD);
                ready!(self.wait.as_mut().poll(cx));
            }
            // The connection is done with if so: what has been read is not missed.
            if self.written.too_early() && self.come() {
                return Poll::Ready(Err(io::Error::other("an answer ahead of its request")));
            }
            // Here, as a process that stood still finds all its timers due at once, in any order.
            if self.written.expired() {
                return Poll::Ready(Err(io::Error::other("too late to be written")));
            }
            ready!(self.poll_held(cx))?;
            self.written.end();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection and what drives it. Nothing is read or written but while its owner waits on it,
/// so that dropping it ends both at once.
pub struct Connection {
    sender: http1::SendRequest<AttemptBody>,
    io: Io,
    heard: ResponseActivity,
    written: Rc<WriteProgress>,
}

struct Io {
    connection: Pin<Box<http1::Connection<TokioIo<Line>, AttemptBody>>>,
    ended: bool,
}

type Sent = hyper::client::conn::TrySendError<Request<AttemptBody>>;

/// An answer of any status.
pub enum ReceivedBody {
    /// All of it.
    Buffered(Bytes),
    /// Longer than what is held: what has come, and what brings the rest.
    Streamed(VecDeque<Bytes>, Incoming),
}

/// Why there is no answer.
pub enum ExchangeError {
    /// Its last byte has not gone out: it never ran.
    NotSent,
    /// It may have run.
    InvalidResponse,
}

/// Connects.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<Connection> {
    let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let heard = ResponseActivity::default();
    let written = Rc::<WriteProgress>::default();
    let wait = Box::pin(tokio::time::sleep(Duration::ZERO));
    let (held, once_more) = (None, false);
    let line = Line { stream, heard: heard.clone(), written: written.clone(), held, wait, once_more };
    // A head without end must not grow without bound.
    let builder = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(line));
    let (sender, io) = builder.await.map_err(io::Error::other)?;
    Ok(Connection { sender, io: Io { connection: Box::pin(io), ended: false }, heard, written })
}

impl Connection {
    /// Waits for `wanted` while the connection works. None if it ends without it.
    pub async fn drive<F: Future>(&mut self, wanted: F) -> Option<F::Output> {
        self.io.drive(wanted).await
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<AttemptBody>) -> Option<Result<Response<Incoming>, Sent>> {
        self.io.drive(self.sender.try_send_request(request)).await
    }

    /// Lets the connection work, and tells whether it has ended.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> bool {
        self.io.poll(cx);
        self.io.ended
    }

    /// Sends a request and waits for the answer, which must come whole or grow too long to be held,
    /// and be nothing but that: one that stands still half way, or might be read in two ways, is
    /// none. None if its body can't be sent any more. On a connection that was `kept`, what comes
    /// before the request is out belongs to the one before.
    pub async fn exchange(
        &mut self,
        kept: bool,
        request: impl Fn(&SharedFlag) -> Option<Request<AttemptBody>>,
        whole: &SharedFlag,
        by: Option<Instant>,
        figures: Option<Rc<Metrics>>,
    ) -> Option<Result<(Parts, ReceivedBody), ExchangeError>> {
        let heard = self.heard.clone();
        heard.set(None);
        let written = self.written.clone();
        written.begin(whole, by, figures);
        let mut sent = request(&written.last)?;
        written.in_turn.set(kept && matches!(sent.body(), AttemptBody::Buffered(_)));
        let begun_anew = heard.clone();
        // 1xx answers come ahead of the one that counts, perhaps long ahead.
        hyper::ext::on_informational(&mut sent, move |_| begun_anew.set(None));
        let answered = async {
            let answer = match self.send(sent).await {
                Some(Ok(answer)) => answer,
                // The connection had ended before all of it was written.
                _ if !whole.get() => return Err(ExchangeError::NotSent),
                _ => return Err(ExchangeError::InvalidResponse),
            };
            let (head, body) = answer.into_parts();
            let double = [TRANSFER_ENCODING, CONTENT_LENGTH].iter().all(|n| head.headers.contains_key(n));
            let long = body.size_hint().lower() > MAX_BODY_BYTES;
            if double || long || head.status.is_informational() {
                return Err(ExchangeError::InvalidResponse);
            }
            Ok((head, self.hold(body).await.ok_or(ExchangeError::InvalidResponse)?))
        };
        let answered = tokio::select! {
            answered = answered => answered,
            () = heard.stalled() => Err(ExchangeError::InvalidResponse),
        };
        let again = || request(&written.last).is_some();
        (!matches!(answered, Err(ExchangeError::NotSent)) || again()).then_some(answered)
    }

    /// Takes in an answer, as far as it is held. None if it breaks off.
    async fn hold(&mut self, mut body: Incoming) -> Option<ReceivedBody> {
        let known = body.size_hint().exact();
        let (mut first, mut length) = (VecDeque::new(), 0);
        let mut soon = pin!(tokio::time::sleep(HELD_WITHIN));
        while known.is_none_or(|known| known <= MAX_BUFFERED_BODY_BYTES as u64)
            && length <= MAX_BUFFERED_BODY_BYTES
        {
            let frame = tokio::select! {
                biased;
                frame = self.io.drive(body.frame()) => frame?,
                () = soon.as_mut(), if known.is_none() => break,
            };
            match frame {
                // Trailers may be left out on the way.
                Some(frame) => {
                    let data = frame.ok()?.into_data().unwrap_or_default();
                    length += data.len();
                    first.push_back(data);
                }
                None => {
                    let mut whole = BytesMut::with_capacity(length);
                    first.iter().for_each(|data| whole.extend_from_slice(data));
                    return Some(ReceivedBody::Buffered(whole.freeze()));
                }
            }
        }
        Some(ReceivedBody::Streamed(first, body))
    }

    /// It, if it can carry another request and the other side has not closed it meanwhile. Waits
    /// for nothing: an answer that has come must not be held up by its connection.
    pub fn into_reusable(mut self) -> Option<Self> {
        self.io.poll(&mut Context::from_waker(Waker::noop()));
        (!self.io.ended && self.sender.is_ready()).then_some(self)
    }
}

impl Io {
    fn poll(&mut self, cx: &mut Context<'_>) {
        // Remembered, as the sender goes on saying that it is ready after the end: a connection
        // that the backend closed right behind its answer would be kept and used again.
        self.ended = self.ended || self.connection.as_mut().poll(cx).is_ready();
    }

    async fn drive<F: Future>(&mut self, wanted: F) -> Option<F::Output> {
        let mut wanted = pin!(wanted);
        std::future::poll_fn(|cx| {
            self.poll(cx);
            match wanted.as_mut().poll(cx) {
                Poll::Ready(output) => Poll::Ready(Some(output)),
                Poll::Pending if self.ended => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }
}
