//! A log that nobody reads.
//!
//! What happened: a pipe for the log that was open, but full, stopped the proxy. No request was served any more, and
//! no signal was handled, until somebody read the pipe.
//!
//! Why: the one thread of the proxy wrote the lines itself, and waited in the write.
//!
//! What showed it: the first test below, in which the pipe is full from the start; the proxy did not even listen.

mod common;

use common::configuration::{default_configuration, request};
use common::proxy_process::{ProxyProcess, exit_code};
use common::shared_address::SharedAddress;
use common::stub_server::StubServer;
use common::waiting::wait_for;
use std::io::{BufRead, BufReader, PipeReader, PipeWriter, Write};
use std::net::TcpStream;

/// Reloads that are refused, each with a line in the log: more than wait to be written.
const REFUSED_RELOADS: usize = 600;
/// A write at least as long as any buffer of a pipe that the system grants.
const FILLING: usize = 1 << 20;

/// Returns a pipe that is full.
fn full_pipe() -> (PipeReader, PipeWriter) {
    let (reader, writer) = std::io::pipe().unwrap();
    let mut filling = writer.try_clone().unwrap();
    // The writer waits once the pipe is full, until the pipe is read.
    std::thread::spawn(move || filling.write_all(&[b'x'; FILLING]));
    wait_for("full pipe", || is_full(&writer));
    (reader, writer)
}

/// Returns whether a write to the pipe would wait.
fn is_full(writer: &PipeWriter) -> bool {
    let mut descriptors = [rustix::event::PollFd::new(writer, rustix::event::PollFlags::OUT)];
    let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
    rustix::event::poll(&mut descriptors, Some(&now)).unwrap() == 0
}

/// Starts a proxy with a full pipe for its log, and waits until it accepts connections.
fn start_with_full_log(backend: &StubServer) -> (ProxyProcess, PipeReader) {
    let (reader, writer) = full_pipe();
    let proxy = SharedAddress::new().start_logging_to(&default_configuration(&[backend]), writer);
    wait_for("listener", || TcpStream::connect(proxy.address).is_ok());
    (proxy, reader)
}

/// Lets the proxy refuse a configuration, and waits until it has, as it serves requests in turn with reloads.
fn refuse_a_reload(proxy: &ProxyProcess) {
    proxy.signal("-HUP");
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn serves_and_shuts_down_while_nobody_reads_the_log() {
    let backend = StubServer::responding_with("hello");

    let (mut proxy, _reader) = start_with_full_log(&backend);
    proxy.replace_configuration_text("no JSON");
    for _ in 0..10 {
        refuse_a_reload(&proxy);
    }

    proxy.signal("-TERM");
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn tells_how_many_lines_were_dropped_once_the_log_is_read_again() {
    let backend = StubServer::responding_with("hello");
    let (proxy, reader) = start_with_full_log(&backend);
    proxy.replace_configuration_text("no JSON");
    for _ in 0..REFUSED_RELOADS {
        refuse_a_reload(&proxy);
    }

    let lines = BufReader::new(reader).lines().map_while(Result::ok);
    let dropped = lines.map(|line| line.trim_start_matches('x').to_string());
    let dropped = dropped.filter_map(|line| {
        let count =
            line.strip_prefix("log: ")?.strip_suffix(" lines dropped, as they were not read in time")?;
        count.parse::<usize>().ok()
    });

    assert!(dropped.into_iter().next().unwrap() > 0);
}
