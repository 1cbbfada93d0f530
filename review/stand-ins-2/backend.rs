//! A stand-in for a backend: answers each request with status 200 and a body that names the request.

use super::message::Head;
use super::record::Record;
use super::sleep_ms;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// How a backend behaves.
#[derive(Clone, Copy, Default)]
pub struct Behaviour {
    /// The time of the work on a request, in milliseconds.
    pub work_ms: u64,
    /// The time from a head to the read of the body that follows, in milliseconds.
    pub pause_before_body_ms: u64,
    /// The length of the body of an answer, in bytes, if it is a long one.
    pub answer_bytes: usize,
    /// One in so many answers to POST is not written whole: the connection ends after its head and the first
    /// bytes of its body. With 0 all answers are written whole.
    pub breaks_off_one_in: usize,
}

/// How much of the body of an answer is written before the connection ends.
const BYTES_BEFORE_BREAK: usize = 4000;

/// A request that has run.
#[derive(Clone)]
pub struct Run {
    /// The time at which the last byte of the request had come, in milliseconds of the record.
    pub at_ms: u64,
    /// The value of `X-Txn`.
    pub id: String,
    /// The value of `X-Remaining-Ms`.
    pub remaining_ms: u64,
    /// The name of the backend.
    pub backend: String,
    /// Whether the method was POST.
    pub is_post: bool,
}

/// A stand-in for a backend.
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Backend {
    /// Starts a backend on a free port.
    pub fn start(name: &str, behaviour: Behaviour, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::default();
        let backend = Self { name: name.to_string(), address, runs: Arc::clone(&runs) };
        let (name, record) = (name.to_string(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, runs) = (name.clone(), record.clone(), Arc::clone(&runs));
                std::thread::spawn(move || serve(stream, &name, behaviour, &record, &runs));
            }
        });
        backend
    }

    /// Returns the requests that have run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

fn serve(
    stream: TcpStream,
    name: &str,
    behaviour: Behaviour,
    record: &Record,
    runs: &Mutex<Vec<Run>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(head) = Head::read(&mut reader)? {
        let has_body = head.length().is_some_and(|length| length > 0);
        if has_body && behaviour.pause_before_body_ms > 0 {
            record.line(&format!("{name}: head of {}, reads the body later", head.header("x-txn").unwrap_or("-")));
            sleep_ms(behaviour.pause_before_body_ms);
        }
        let body = match head.read_body(&mut reader) {
            Ok(body) => body,
            Err(error) => {
                record.line(&format!("{name}: the connection ended before the end of the body: {error}"));
                return Err(error);
            }
        };
        let Some(id) = head.header("x-txn") else {
            writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        let remaining_ms = head.header("x-remaining-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let at_ms = record.line(&format!(
            "{name}: runs {} {id}, {} bytes of body, told {remaining_ms} ms left",
            head.word(0),
            body.len()
        ));
        let posts = {
            let mut runs = runs.lock().unwrap();
            let is_post = head.word(0) == "POST";
            runs.push(Run { at_ms, id: id.to_string(), remaining_ms, backend: name.to_string(), is_post });
            if is_post { runs.iter().filter(|run| run.is_post).count() } else { 0 }
        };
        sleep_ms(behaviour.work_ms);
        let mut text = format!("{name} served {id}\n");
        if behaviour.answer_bytes > 0 {
            text = text.repeat(behaviour.answer_bytes / text.len());
        }
        let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        if behaviour.breaks_off_one_in > 0 && posts > 0 && posts % behaviour.breaks_off_one_in == 0 {
            answer.truncate(answer.len() - text.len() + BYTES_BEFORE_BREAK);
            record.line(&format!("{name}: its connection ends after the head and {BYTES_BEFORE_BREAK} bytes of {}", text.len()));
            return writer.write_all(answer.as_bytes()); // and closes the connection
        }
        writer.write_all(answer.as_bytes())?;
    }
    Ok(())
}
