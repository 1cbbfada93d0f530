//! Runs stand-ins for discovery and one backend, for a proxy with the configuration in `deploy/example/`.
//! Discovery lists the backend and never announces a change. The backend responds to every request with
//! status 200.
//!
//! ```sh
//! cargo run --example local_stand_ins
//! ```

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Address of discovery, as in `deploy/example/balancer-proxy.json`.
const DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";
/// Address of the backend, which discovery lists.
const BACKEND_ADDRESS: &str = "127.0.0.1:7070";
/// Generation of the endpoint list, which never changes.
const ENDPOINT_LIST_GENERATION: u64 = 1;
/// Longest time that discovery waits before it responds to a watch.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// The parts of a request head that the stand-ins use.
struct RequestHead {
    method: String,
    target: String,
    content_length: u64,
}

/// Reads the head of the next request. Returns `None` at the end of the connection.
fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<RequestHead>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_string);
    let method = words.next().unwrap_or_default();
    let target = words.next().unwrap_or_default();
    let mut content_length = 0;
    loop {
        let mut header = String::new();
        if stream.read_line(&mut header)? == 0 || header.trim().is_empty() {
            return Ok(Some(RequestHead { method, target, content_length }));
        }
        if let Some((name, value)) = header.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            content_length = value.trim().parse().unwrap_or(0);
        }
    }
}

fn write_response(stream: &mut BufReader<TcpStream>, body: &str) -> io::Result<()> {
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.get_mut().write_all(response.as_bytes())
}

/// Returns the value of the query parameter `name` of a target, if the value is a whole number.
fn query_value(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Returns the response to a call of discovery. As the list never changes, a watch of the current generation
/// waits for the time that the caller requests, and then returns no entries.
fn endpoint_list(target: &str) -> String {
    if query_value(target, "since") == Some(ENDPOINT_LIST_GENERATION) {
        let wait = Duration::from_millis(query_value(target, "timeout_ms").unwrap_or(0));
        thread::sleep(wait.min(MAX_WATCH_TIME));
        return format!(r#"{{"generation":{ENDPOINT_LIST_GENERATION},"reset":false,"instances":[]}}"#);
    }
    let backend = format!(
        r#"{{"instanceId":"local-1","hostPort":"{BACKEND_ADDRESS}","zone":"east","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}"#
    );
    format!(r#"{{"generation":{ENDPOINT_LIST_GENERATION},"reset":true,"instances":[{backend}]}}"#)
}

fn serve_discovery(mut stream: BufReader<TcpStream>) -> io::Result<()> {
    while let Some(head) = read_head(&mut stream)? {
        write_response(&mut stream, &endpoint_list(&head.target))?;
    }
    Ok(())
}

fn serve_backend(mut stream: BufReader<TcpStream>) -> io::Result<()> {
    while let Some(head) = read_head(&mut stream)? {
        // The body must be read before the next head.
        io::copy(&mut io::Read::take(&mut stream, head.content_length), &mut io::sink())?;
        write_response(&mut stream, &format!("the backend has served {} {}\n", head.method, head.target))?;
    }
    Ok(())
}

/// Serves each connection on a thread of its own. A connection that fails is dropped.
fn serve(listener: &TcpListener, serve_connection: fn(BufReader<TcpStream>) -> io::Result<()>) {
    for stream in listener.incoming().map_while(Result::ok) {
        thread::spawn(move || serve_connection(BufReader::new(stream)));
    }
}

fn main() -> io::Result<()> {
    let discovery = TcpListener::bind(DISCOVERY_ADDRESS)?;
    let backend = TcpListener::bind(BACKEND_ADDRESS)?;
    println!("discovery on {DISCOVERY_ADDRESS}, backend on {BACKEND_ADDRESS}");
    thread::spawn(move || serve(&discovery, serve_discovery));
    serve(&backend, serve_backend);
    Ok(())
}
