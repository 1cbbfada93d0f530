//! A stand-in for a client.

use super::message::Head;
use super::record::Record;
use super::sleep_ms;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A whole answer.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Connects, with this limit on each later read and write.
pub fn connect(proxy: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&proxy, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

/// Returns the head of a request.
pub fn request_head(method: &str, path: &str, headers: &[(&str, &str)]) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: app.svc\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head + "\r\n"
}

/// Reads a whole answer.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let head = Head::read(reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = head.word(1).parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let body = String::from_utf8_lossy(&head.read_body(reader)?).trim_end().to_string();
    Ok(Answer { status, body })
}

/// Sends a GET on a new connection, and reads its answer.
pub fn get(proxy: SocketAddr, path: &str, headers: &[(&str, &str)], limit: Duration) -> io::Result<Answer> {
    let mut stream = connect(proxy, limit)?;
    stream.write_all(request_head("GET", path, headers).as_bytes())?;
    read_answer(&mut BufReader::new(stream))
}

/// The number of clients of [`send_steadily`].
const STEADY_CLIENTS: u64 = 6;

/// Has several clients send requests of the class `quote`, each on a connection of its own, until this time of the
/// record.
pub fn send_steadily(proxy: SocketAddr, until_ms: u64, record: &Record) {
    let clients: Vec<_> = (0..STEADY_CLIENTS)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut number = 0;
                while record.now_ms() < until_ms {
                    number += 1;
                    let id = format!("{:016x}", (client + 1) << 32 | number);
                    let headers = [("X-Txn", id.as_str()), ("X-Lane", "quote"), ("X-Remaining-Ms", "2000")];
                    match get(proxy, "/api", &headers, Duration::from_secs(3)) {
                        Ok(answer) => record.line(&format!("client: {id} answered {} {}", answer.status, answer.body)),
                        Err(error) => record.line(&format!("client: {id} without an answer: {error}")),
                    };
                    sleep_ms(60);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
}
