//! The state of one client connection: the progress of its requests, the framing of the bytes that arrive,
//! and the request to close the connection. [`super::client_socket`] records the bytes that are read and
//! written. [`super::request_handler`] and [`super::response_body`] record requests and responses.

use super::close_request::CloseRequest;
use super::flush_signal::FlushSignal;
use super::framing::RequestFraming;
use super::head_memory;
use super::request_progress::RequestProgress;
use crate::limits::{Budget, Permit};
use crate::upstream::sender_wait::SenderWait;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Interval at which [`ClientConnection::wait_until_between_requests`] checks whether the head is complete.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Properties of a received head that cannot be read from the parsed head.
#[derive(Clone, Debug)]
pub(super) struct ReceivedHead {
    /// Whether the head states the length of the body in two ways.
    pub(super) length_is_ambiguous: bool,
    /// The memory in bytes that the head uses beyond what is counted with its connection.
    pub(super) excess_bytes: usize,
    /// The time that the body may take, in addition to the time that its bytes take at the minimum rate.
    pub(super) body_timeout: Duration,
    /// The record of since when the next bytes of the body are awaited.
    pub(super) sender_wait: SenderWait,
}

/// The state of one client connection.
pub(super) struct ClientConnection {
    progress: RequestProgress,
    framing: RefCell<RequestFraming>,
    /// Wakes [`Self::wait_for_disconnect`] when a head is complete.
    head_complete: Notify,
    close_request: CloseRequest,
    flush_signal: FlushSignal,
    /// The permit for the memory of a long head that is not complete.
    unfinished_head: RefCell<Option<Permit>>,
    /// Set once the buffers of the connection have grown, which they keep until the connection ends.
    has_grown_buffers: Cell<bool>,
}

impl ClientConnection {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            progress: RequestProgress::new(),
            framing: RefCell::default(),
            head_complete: Notify::new(),
            close_request: CloseRequest::default(),
            flush_signal: FlushSignal::default(),
            unfinished_head: RefCell::default(),
            has_grown_buffers: Cell::new(false),
        })
    }

    /// Returns the progress of the requests and responses.
    pub(super) fn progress(&self) -> &RequestProgress {
        &self.progress
    }

    /// Returns the signal that all bytes of a response have been written.
    pub(super) fn flush_signal(&self) -> &FlushSignal {
        &self.flush_signal
    }

    /// Records bytes that have arrived from the client.
    pub(super) fn record_bytes(&self, data: &[u8]) {
        self.framing.borrow_mut().feed(data);
        self.progress.record_bytes();
    }

    /// Records that the head of a request is complete, and returns its properties.
    pub(super) fn complete_head(&self) -> ReceivedHead {
        let body_timeout = self.progress.complete_head();
        self.head_complete.notify_one();
        let head = self.framing.borrow_mut().next_head();
        let excess_bytes = head_memory::excess_bytes(head.size);
        if head_memory::is_long(head.size.bytes) {
            self.record_grown_buffers();
        }
        // The permit for the complete head replaces that for the unfinished one.
        self.unfinished_head.take();
        let length_is_ambiguous = head.length_is_ambiguous;
        ReceivedHead {
            length_is_ambiguous,
            excess_bytes,
            body_timeout,
            sender_wait: self.progress.sender_wait().clone(),
        }
    }

    /// Acquires the memory of a head that has become a long one and is not complete.
    ///
    /// # Errors
    ///
    /// Returns an error if `budget` has no memory left. The connection must then be closed.
    pub(super) fn acquire_unfinished_head(&self, budget: &Rc<Budget>) -> io::Result<()> {
        let is_long = head_memory::is_long(self.framing.borrow().unfinished_head_bytes());
        let mut permit = self.unfinished_head.borrow_mut();
        if is_long && permit.is_none() {
            *permit = Some(
                budget.try_acquire(head_memory::UNFINISHED_HEAD_BYTES).ok_or(io::ErrorKind::OutOfMemory)?,
            );
        }
        Ok(())
    }

    /// Records that the buffers of the connection have grown.
    pub(super) fn record_grown_buffers(&self) {
        self.has_grown_buffers.set(true);
    }

    /// Returns whether the buffers of the connection have grown.
    pub(super) fn has_grown_buffers(&self) -> bool {
        self.has_grown_buffers.get()
    }

    /// Records that the response to the current request is finished. The beginning of the next request may
    /// have been read together with the end of the current one.
    pub(super) fn finish_response(&self) {
        if self.framing.borrow().has_next_request() {
            self.progress.record_next_request();
        }
        self.progress.finish_response();
    }

    /// Requests that the connection be closed.
    pub(super) fn request_close(&self) {
        self.close_request.request();
    }

    /// Withdraws the request to close the connection, as the connection is in use again.
    pub(super) fn withdraw_close(&self) {
        self.close_request.withdraw();
    }

    /// Returns whether the connection is to be closed because it was evicted or timed out.
    pub(super) fn is_closing(&self) -> bool {
        self.close_request.is_requested()
    }

    /// Returns once the connection is to be closed. Withdraws the request to close the connection if a client
    /// request has meanwhile arrived, completely or in part.
    pub(super) async fn wait_for_close_request(&self, stream: &TcpStream) {
        loop {
            self.close_request.wait().await;
            tokio::task::yield_now().await; // lets the connection read the bytes that have arrived
            if !self.progress.prevents_close() && !self.has_unread_request(stream) {
                return;
            }
            self.withdraw_close();
        }
    }

    /// Returns once no head is arriving. A close while a head is arriving would lose that request.
    pub(super) async fn wait_until_between_requests(&self, stream: &TcpStream) {
        loop {
            tokio::task::yield_now().await; // lets the connection read the bytes that have arrived
            if !self.progress.is_receiving_head() && !self.has_unread_request(stream) {
                return;
            }
            tokio::time::sleep(HEAD_POLL_INTERVAL).await;
        }
    }

    /// Returns whether bytes of a new request, or of a body that is awaited, have arrived and have not been
    /// read. The runtime asks the system for new bytes between two rounds of tasks, and the task of this
    /// connection reads these bytes in the next round. A close would discard bytes that arrived while other
    /// tasks of the current round ran.
    fn has_unread_request(&self, stream: &TcpStream) -> bool {
        let is_read_on_arrival = !self.progress.has_request_in_flight() || self.progress.is_body_awaited();
        is_read_on_arrival && has_unread_bytes(stream)
    }

    /// Drives `connection` until it ends, or until the client disconnects while a response is due.
    pub(super) async fn serve_until_disconnect<T>(
        &self,
        connection: impl Future<Output = T>,
        stream: &TcpStream,
    ) {
        tokio::select! {
            biased;
            _ = connection => {} // errors are ignored, as clients may disconnect at any time
            () = self.wait_for_disconnect(stream) => {}
        }
    }

    /// Returns once the client has disconnected before the response to its request is finished. A client that
    /// shuts down its sending side counts as disconnected, as the proxy cannot detect whether the client
    /// still reads. The HTTP library detects a disconnect too, but only after it has read all bytes sent
    /// before. While a request awaits its response, the library reads neither pipelined requests nor the rest
    /// of the body.
    async fn wait_for_disconnect(&self, stream: &TcpStream) {
        // Priority readiness signals only that the client has shut down its sending side, even while bytes
        // are unread.
        let _ = stream.ready(Interest::PRIORITY).await;
        while !self.progress.is_response_due() {
            self.head_complete.notified().await;
        }
    }
}

/// Asks the system whether the socket has bytes that have not been read.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut first_byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut first_byte).is_ok_and(|length| length > 0)
}
