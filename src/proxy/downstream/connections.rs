//! The connections of clients: what each one is at, which have outstayed their time, and which
//! goes when there is no room.

use super::framing::Framing;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};

/// A head that has begun must have come whole within this, and so must the first one of a
/// connection: guards against clients that say nothing, stop half way, or never come to an end.
const READ_WITHIN: Duration = Duration::from_millis(2400);
/// The least that is left for the body.
const BODY_WITHIN: Duration = Duration::from_millis(400);
/// A client that takes nothing of its answer for so long will not take the rest.
const TAKEN_WITHIN: Duration = Duration::from_secs(10);
/// A connection without an open request is kept for so long while there is room.
const KEEP: Duration = Duration::from_secs(75);
/// For want of room, one that has been without a request for so long is closed,
const IDLE_ENOUGH: Duration = Duration::from_secs(2);
/// and failing such, one that has never asked for anything and was silent for so long.
const MUTE_ENOUGH: Duration = Duration::from_millis(500);
/// Part of the room that is for connections which only get a refusal, as all others are at work.
const OVERFLOW: usize = 8;
/// How often connections that have outstayed their time are looked for.
pub const STEP: Duration = Duration::from_millis(100);
/// How often it is looked whether a head has come whole, where a connection is closed behind it.
const HEAD_STEP: Duration = Duration::from_millis(10);
/// After the end of our side, what the client still sends is read for so long,
const LINGER: Duration = Duration::from_millis(300);
/// and up to so much, lest its system throw away the answer along with the connection.
const MOST_DISCARDED: usize = 512 << 10;

/// A client's connection.
pub struct ClientConnection {
    stage: Cell<Stage>,
    /// It has asked for something.
    asked: Cell<bool>,
    /// Nothing at all has come from it.
    mute: Cell<bool>,
    /// The last end of an open request, at first the connection's start.
    since: Cell<Instant>,
    /// When something came last.
    heard: Cell<Instant>,
    /// Something came while a request was open.
    early: Cell<bool>,
    /// It is being closed for want of room, or has outstayed its time.
    ending: Cell<bool>,
    end: Notify,
    /// The head of a request has come.
    head: Notify,
    framing: RefCell<Framing>,
    /// Since when it has taken nothing of what is written to it.
    blocked: Cell<Option<Instant>>,
}

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing of a request has come.
    Quiet,
    /// A head is coming, since then; at first since the connection's start.
    Head(Instant),
    /// A body is coming. Its reader sees to it that it does.
    Body,
    /// A whole request has come, and its answer has not been given.
    Open,
}

/// What is known of a head beside what it says.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead {
    /// Its length is given in two ways.
    pub doubtful: bool,
    /// The time that its body has at any rate.
    pub within: Duration,
}

impl ClientConnection {
    fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            stage: Cell::new(Stage::Head(now)),
            asked: Cell::new(false),
            mute: Cell::new(true),
            since: Cell::new(now),
            heard: Cell::new(now),
            early: Cell::new(false),
            ending: Cell::new(false),
            end: Notify::new(),
            head: Notify::new(),
            framing: RefCell::default(),
            blocked: Cell::new(None),
        })
    }

    /// A head has come.
    pub fn head_received(&self) -> RequestHead {
        let took = match self.stage.replace(Stage::Body) {
            Stage::Head(begun) => begun.elapsed(),
            _ => Duration::ZERO,
        };
        self.head.notify_one();
        let doubtful = self.framing.borrow_mut().next_is_doubtful();
        RequestHead { doubtful, within: READ_WITHIN.saturating_sub(took).max(BODY_WITHIN) }
    }

    /// A whole request has come.
    pub fn request_received(&self) {
        self.stage.set(Stage::Open);
        self.asked.set(true);
    }

    /// There is an answer to what has come.
    pub fn response_finished(&self) {
        let now = Instant::now();
        self.since.set(now);
        self.stage.set(if self.early.take() { Stage::Head(now) } else { Stage::Quiet });
    }

    /// Waits until it is to be closed. A request that has come, or begun to, since that was
    /// decided goes before.
    pub async fn closing(&self) {
        loop {
            self.end.notified().await;
            tokio::task::yield_now().await; // what has come by now is read
            let begun = self.heading() && self.heard.get().elapsed() < MUTE_ENOUGH && !self.overdue();
            if !self.is_busy() && !begun {
                return;
            }
            self.ending.set(false);
        }
    }

    /// Returns once no head is coming. One that has begun would be cut off by a close.
    pub async fn between_requests(&self) {
        loop {
            tokio::task::yield_now().await; // what has come by now is read
            if !self.heading() {
                return;
            }
            tokio::time::sleep(HEAD_STEP).await;
        }
    }

    /// Serves its connection, until that ends or the client has left its request.
    pub async fn serve_until_disconnect<T>(&self, connection: impl Future<Output = T>, stream: &TcpStream) {
        tokio::select! {
            biased;
            _ = connection => {} // its end is no news: clients come and go
            () = self.left(stream) => {}
        }
    }

    /// Returns once the client has left a request that it was to have an answer to. A client that
    /// ends its side has left, whether or not it could still read: the two can't be told apart. The
    /// HTTP library sees it too, but only once all that came before the end has been taken in, and
    /// while a request waits nothing is: neither what was sent behind it nor the rest of its body.
    async fn left(&self, stream: &TcpStream) {
        // This waits for the end of the other side alone, whatever there is to be read before it.
        let _ = stream.ready(Interest::PRIORITY).await;
        while !matches!(self.stage.get(), Stage::Body | Stage::Open) {
            self.head.notified().await;
        }
    }

    fn heard(&self, data: &[u8]) {
        self.framing.borrow_mut().feed(data);
        self.heard.set(Instant::now());
        self.mute.set(false);
        match self.stage.get() {
            Stage::Quiet => self.stage.set(Stage::Head(Instant::now())),
            Stage::Open => self.early.set(true),
            Stage::Head(_) | Stage::Body => {}
        }
    }

    fn quiet(&self) -> bool {
        self.stage.get() == Stage::Quiet
    }

    fn open(&self) -> bool {
        self.stage.get() == Stage::Open
    }

    /// A part of a head has come.
    fn heading(&self) -> bool {
        matches!(self.stage.get(), Stage::Head(_)) && !self.mute.get()
    }

    /// Something of a request has come that has not been answered.
    fn under_way(&self) -> bool {
        self.heading() || matches!(self.stage.get(), Stage::Body | Stage::Open)
    }

    /// It has a request to answer, and takes the answer.
    pub fn is_busy(&self) -> bool {
        self.open() && !self.stands_still()
    }

    fn stands_still(&self) -> bool {
        self.blocked.get().is_some_and(|since| since.elapsed() > TAKEN_WITHIN)
    }

    fn overdue(&self) -> bool {
        match self.stage.get() {
            Stage::Quiet => self.since.get().elapsed() > KEEP,
            Stage::Head(begun) => begun.elapsed() > READ_WITHIN,
            Stage::Body | Stage::Open => self.stands_still(),
        }
    }

    fn close(&self) {
        self.ending.set(true);
        self.end.notify_one();
    }
}

/// The room for connections that are served, and for those that only get a refusal.
fn split(most: usize) -> (usize, usize) {
    (most - most / OVERFLOW, most / OVERFLOW)
}

/// All connections of clients.
pub struct ClientConnections {
    all: RefCell<Vec<Rc<ClientConnection>>>,
    most: Cell<usize>,
    over: Cell<usize>,
    left: Notify,
}

/// A connection's place in the table, given up when it is dropped.
pub struct ConnectionSlot {
    clients: Rc<ClientConnections>,
    client: Rc<ClientConnection>,
}

impl ConnectionSlot {
    /// The connection.
    pub fn client(&self) -> &Rc<ClientConnection> {
        &self.client
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.clients.all.borrow_mut().retain(|c| !Rc::ptr_eq(c, &self.client));
        self.clients.left.notify_one();
    }
}

impl ClientConnections {
    /// Room for so many.
    pub fn new(most: usize) -> Rc<Self> {
        let (most, over) = split(most);
        let all = RefCell::default();
        Rc::new(Self { all, most: Cell::new(most), over: Cell::new(over), left: Notify::new() })
    }

    /// From now on there is room for so many. Those beyond go as far as they may, and the others
    /// once they have their answers.
    pub fn set_limit(&self, most: usize) {
        let (most, over) = split(most);
        self.most.set(most);
        self.over.set(over);
        self.shrink_to(most);
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.all.borrow().is_empty()
    }

    /// Some have requests that are coming or without an answer, or an answer that is on its way.
    pub fn busy(&self) -> bool {
        self.all.borrow().iter().any(|c| c.under_way())
    }

    /// Half of the room is taken: connections had better not stay behind their answers.
    pub fn is_half_full(&self) -> bool {
        2 * self.all.borrow().len() > self.most.get()
    }

    /// There are more than there is room for, without those that are being closed.
    pub fn is_full(&self) -> bool {
        self.all.borrow().iter().filter(|c| !c.ending.get()).count() > self.most.get()
    }

    /// There is no room for those to be refused either.
    pub fn is_over_limit(&self) -> bool {
        self.all.borrow().len() >= self.most.get() + self.over.get()
    }

    /// Takes in a connection.
    pub fn admit(self: &Rc<Self>) -> ConnectionSlot {
        let client = ClientConnection::new();
        self.all.borrow_mut().push(client.clone());
        ConnectionSlot { clients: self.clone(), client }
    }

    /// Waits for a connection to end, for a while.
    pub async fn one_closed(&self, within: Duration) {
        let _ = tokio::time::timeout(within, self.left.notified()).await;
    }

    /// Makes room for one more, as far as there are any that may go.
    pub fn make_room(&self) {
        self.shrink_to(self.most.get().saturating_sub(1));
    }

    /// Closes those that have been without a request longest: guards against those that stay for
    /// good and keep others out.
    fn shrink_to(&self, most: usize) {
        let all = self.all.borrow();
        let staying = || all.iter().filter(|c| !c.ending.get());
        while staying().count() > most {
            let closable = || staying().filter(|c| !c.open());
            let idle = closable().filter(|c| c.quiet() && c.since.get().elapsed() >= IDLE_ENOUGH);
            let mute = closable().filter(|c| !c.asked.get() && c.heard.get().elapsed() >= MUTE_ENOUGH);
            let longest = idle.min_by_key(|c| c.since.get()).or_else(|| mute.min_by_key(|c| c.heard.get()));
            let Some(longest) = longest else {
                return;
            };
            longest.close();
        }
    }

    /// Closes connections that have outstayed their time.
    pub fn sweep(&self) {
        let all = self.all.borrow();
        all.iter().filter(|c| !c.ending.get() && c.overdue()).for_each(|c| c.close());
    }
}

/// A client's socket, which notes what comes, and ends so that the last answer arrives.
pub struct ClientSocket {
    stream: Rc<TcpStream>,
    client: Rc<ClientConnection>,
    linger: Option<Pin<Box<Sleep>>>,
    discarded: usize,
}

impl ClientSocket {
    /// The socket of a connection.
    pub fn new(stream: Rc<TcpStream>, client: Rc<ClientConnection>) -> Self {
        Self { stream, client, linger: None, discarded: 0 }
    }

    /// Reads what has come, without telling the client's record of it.
    fn poll_take(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(drop)),
            }
        }
    }

    fn poll_give(&self, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(data) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = self.poll_take(cx, buffer);
        if buffer.filled().len() > before {
            self.client.heard(&buffer.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.poll_give(cx, data);
        let since = self.client.blocked.get().unwrap_or_else(Instant::now);
        self.client.blocked.set(written.is_pending().then_some(since));
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            self.linger = Some(Box::pin(tokio::time::sleep(LINGER)));
        }
        // Closing a socket with something unread resets it, and the answer may never be seen.
        while !self.client.ending.get() && self.discarded < MOST_DISCARDED {
            let mut space = [0; 4096];
            let mut buffer = ReadBuf::new(&mut space);
            match self.poll_take(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.discarded += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => {
                    let passed = self.linger.as_mut().map(|linger| linger.as_mut().poll(cx));
                    return passed.unwrap_or(Poll::Ready(())).map(Ok);
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}
