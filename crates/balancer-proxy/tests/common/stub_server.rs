//! Stub servers, which stand in for backends and for discovery.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::http::{HttpMessage, read_message, response};
use super::waiting::TEST_TIMEOUT;

/// The reaction of a stub server to a request.
pub enum Reply {
    /// Writes the response and keeps the connection open.
    Respond(String),
    /// Writes the response in two parts with a pause between the parts.
    RespondInParts { first: String, pause: Duration, rest: String },
    /// Writes a response without `Connection: close`, closes the connection and reports the close.
    RespondAndClose { response: String, closed: Sender<()> },
    /// Closes the connection without a response.
    Close,
    /// Never responds, and keeps the connection open until the peer closes it.
    Hang,
    /// Like [`Reply::Hang`], and reports that the peer has closed the connection.
    HangAndReport(Sender<()>),
}

/// A server on a loopback address that serves each connection on a thread of its own.
pub struct StubServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The complete requests received so far.
    pub requests: Arc<Mutex<Vec<HttpMessage>>>,
    connections: Arc<AtomicUsize>,
}

impl StubServer {
    /// Starts a server that replies to each request by the function. The function gets the number of earlier
    /// requests and the request.
    pub fn new(reply: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static) -> Self {
        let requests: Arc<Mutex<Vec<HttpMessage>>> = Arc::default();
        let received = requests.clone();
        let server = Self::with_connection_handler(move |stream| serve(stream, &received, &reply));
        Self { requests, ..server }
    }

    /// Starts a server that runs the function on each connection and closes the connection when the function
    /// returns.
    pub fn with_connection_handler(
        handle: impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections: Arc<AtomicUsize> = Arc::default();
        let accepted = connections.clone();
        let handle = Arc::new(handle);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accepted.fetch_add(1, Ordering::SeqCst);
                let handle = handle.clone();
                std::thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    handle(&mut stream);
                    // A drop is not enough: a process that is being spawned holds a copy of the socket.
                    let _ = stream.get_mut().shutdown(Shutdown::Both);
                });
            }
        });
        Self { address, requests: Arc::default(), connections }
    }

    /// Starts a server that responds to every request with status 200 and this body.
    pub fn responding_with(body: &'static str) -> Self {
        Self::new(move |_, _| Reply::Respond(response("200 OK", body)))
    }

    /// Starts a server like [`StubServer::responding_with`]. The server holds its first response until the
    /// returned sender sends.
    pub fn holding_first_response(body: &'static str) -> (Self, Sender<()>) {
        let (release, released) = channel();
        let released = Mutex::new(released);
        let server = Self::new(move |earlier_requests, _| {
            if earlier_requests == 0 {
                released.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
            }
            Reply::Respond(response("200 OK", body))
        });
        (server, release)
    }

    /// Returns the number of complete requests received so far.
    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// Starts a stand-in for discovery that never responds to a call.
pub fn silent_discovery() -> StubServer {
    StubServer::new(|_, _| Reply::Hang)
}

fn serve(
    stream: &mut BufReader<TcpStream>,
    requests: &Mutex<Vec<HttpMessage>>,
    reply: &dyn Fn(usize, &HttpMessage) -> Reply,
) {
    while let Some(message) = read_message(stream) {
        let earlier_requests = {
            let mut requests = requests.lock().unwrap();
            requests.push(message.clone());
            requests.len() - 1
        };
        match reply(earlier_requests, &message) {
            Reply::Respond(response) => write(stream, &response),
            Reply::RespondInParts { first, pause, rest } => {
                write(stream, &first);
                std::thread::sleep(pause);
                write(stream, &rest);
            }
            Reply::RespondAndClose { response, closed } => {
                write(stream, &response);
                // A drop is not enough: a process that is being spawned holds a copy of the socket.
                stream.get_mut().shutdown(Shutdown::Both).unwrap();
                let _ = closed.send(());
                return;
            }
            Reply::Close => return,
            Reply::Hang => return wait_for_input_or_close(stream),
            Reply::HangAndReport(disconnected) => {
                wait_for_input_or_close(stream);
                let _ = disconnected.send(());
                return;
            }
        }
    }
}

/// Writes the text, and ignores the error if the peer has closed the connection.
fn write(stream: &mut BufReader<TcpStream>, text: &str) {
    let _ = stream.get_mut().write_all(text.as_bytes());
}

/// Waits until the peer writes more or closes the connection.
pub fn wait_for_input_or_close(stream: &mut BufReader<TcpStream>) {
    let _ = stream.read(&mut [0]);
}
