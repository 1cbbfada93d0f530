//! A stand-in for a backend. It notes when each request began to arrive and when it was complete, and answers
//! 200 with a body that names the request.

use super::http::{Head, read_body, read_head};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// A request that a backend has got.
#[derive(Clone)]
pub struct Arrival {
    /// The time of the first byte.
    pub began: Instant,
    /// The first line, and the id of the request.
    pub text: String,
}

/// A backend. Clones share one state.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Backend {
    /// Starts a backend that needs this time for a request.
    pub fn start(id: &str, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the address of a backend");
        Self::serve_on(id, listener, work)
    }

    /// Starts a backend on a listener.
    pub fn serve_on(id: &str, listener: TcpListener, work: Duration) -> Self {
        let address = listener.local_addr().expect("the address of a backend");
        let backend = Self { id: id.to_string(), address, work, arrivals: Arc::default() };
        let accepting = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        backend
    }

    /// Returns the requests that have arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        loop {
            let Some(head) = read_head(&mut reader)? else { return Ok(()) };
            let began = Instant::now();
            if head.word(1).starts_with("/-/") {
                reader.get_mut().write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            let text = format!("{} {}", head.first_line, head.get("x-txn").unwrap_or("-"));
            self.arrivals.lock().unwrap().push(Arrival { began, text });
            let body = read_body(&mut reader, &head, false)?;
            sleep(self.work);
            let answer = answer_to(&self.id, &head, body.len());
            let length = answer.len();
            write!(reader.get_mut(), "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{answer}")?;
        }
    }
}

/// Returns the body of the answer to a request.
fn answer_to(id: &str, head: &Head, body_length: usize) -> String {
    format!("{id} has served {} with {body_length} bytes", head.get("x-txn").unwrap_or("-"))
}
