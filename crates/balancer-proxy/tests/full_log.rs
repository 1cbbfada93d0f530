//! A log pipe that is open, but that nobody reads. Once the pipe is full, a write to it blocks. If the only
//! thread of the proxy wrote the log itself, the proxy would serve no request and handle no signal until the
//! pipe is read. With a pipe that is full from the start, the proxy would not even listen.

mod common;

use common::configuration::{default_configuration, request};
use common::proxy_process::{ProxyProcess, exit_code};
use common::shared_address::SharedAddress;
use common::stub_server::StubServer;
use common::waiting::wait_for;
use std::io::{BufRead, BufReader, PipeReader, PipeWriter, Write};
use std::net::TcpStream;

/// Number of rejected reloads, each with a line in the log. The proxy queues fewer lines for writing.
const REJECTED_RELOAD_COUNT: usize = 600;
/// Length of the write that fills a pipe, at least that of the largest pipe buffer that the system grants.
const PIPE_FILL_BYTES: usize = 1 << 20;

/// Returns the two ends of a full pipe.
fn full_pipe() -> (PipeReader, PipeWriter) {
    let (reader, writer) = std::io::pipe().unwrap();
    let mut filling = writer.try_clone().unwrap();
    // The write blocks once the pipe is full, until the pipe is read.
    std::thread::spawn(move || filling.write_all(&[b'x'; PIPE_FILL_BYTES]));
    wait_for("a full pipe", || is_full(&writer));
    (reader, writer)
}

/// Returns whether a write to the pipe would block.
fn is_full(writer: &PipeWriter) -> bool {
    let mut descriptors = [rustix::event::PollFd::new(writer, rustix::event::PollFlags::OUT)];
    let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
    rustix::event::poll(&mut descriptors, Some(&now)).unwrap() == 0
}

/// Starts a proxy with a full pipe for its log, and waits until it accepts connections.
fn start_with_full_log(backend: &StubServer) -> (ProxyProcess, PipeReader) {
    let (reader, writer) = full_pipe();
    let proxy = SharedAddress::new().start_logging_to(&default_configuration(&[backend]), writer);
    wait_for("the listener of the proxy", || TcpStream::connect(proxy.address).is_ok());
    (proxy, reader)
}

/// Triggers a reload that the proxy rejects, and sends a request to wait for the rejection. The proxy serves
/// requests in turn with reloads.
fn reload_rejected_configuration(proxy: &ProxyProcess) {
    proxy.signal("-HUP");
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn serves_and_shuts_down_while_nobody_reads_the_log() {
    let backend = StubServer::responding_with("hello");

    let (mut proxy, _reader) = start_with_full_log(&backend);
    proxy.replace_configuration_text("no JSON");
    for _ in 0..10 {
        reload_rejected_configuration(&proxy);
    }

    proxy.signal("-TERM");
    assert_eq!(exit_code(&mut proxy.child), Some(0));
}

#[test]
fn logs_the_number_of_dropped_lines_once_the_log_is_read_again() {
    let backend = StubServer::responding_with("hello");
    let (proxy, reader) = start_with_full_log(&backend);
    proxy.replace_configuration_text("no JSON");
    for _ in 0..REJECTED_RELOAD_COUNT {
        reload_rejected_configuration(&proxy);
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
