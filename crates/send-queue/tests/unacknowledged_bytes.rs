//! The send queue of real TCP sockets.

use send_queue::unacknowledged_bytes;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the two ends of a new connection.
fn connected_streams() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (reader, _) = listener.accept().unwrap();
    reader.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    (writer, reader)
}

/// Writes until the system accepts no more, and returns the number of bytes written.
fn fill(writer: &mut TcpStream) -> usize {
    writer.set_nonblocking(true).unwrap();
    let mut written = 0;
    loop {
        match writer.write(&[0; 64 << 10]) {
            Ok(bytes) => written += bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return written,
            Err(error) => panic!("{error}"),
        }
    }
}

/// Waits until the number of unacknowledged bytes meets the condition, and returns the number.
fn wait_for_bytes(writer: &TcpStream, condition: impl Fn(usize) -> bool) -> usize {
    let started = Instant::now();
    loop {
        let bytes = unacknowledged_bytes(writer).unwrap();
        if condition(bytes) {
            return bytes;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{bytes} bytes are unacknowledged");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_new_connection_has_no_unacknowledged_bytes() {
    let (writer, _reader) = connected_streams();

    assert_eq!(unacknowledged_bytes(&writer).unwrap(), 0);
}

#[test]
fn bytes_stay_unacknowledged_until_the_peer_reads() {
    let (mut writer, mut reader) = connected_streams();
    let written = fill(&mut writer);
    let before = wait_for_bytes(&writer, |bytes| bytes < written);
    assert!(before > 0);

    reader.read_exact(&mut vec![0; written / 4]).unwrap();
    wait_for_bytes(&writer, |bytes| bytes > 0 && bytes < before);
    reader.read_exact(&mut vec![0; written - written / 4]).unwrap();

    wait_for_bytes(&writer, |bytes| bytes == 0);
}

#[test]
fn a_file_has_no_send_queue() {
    let file = File::open("/dev/null").unwrap();

    assert!(unacknowledged_bytes(&file).is_err());
}
