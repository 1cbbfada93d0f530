//! Generation of long request and response bodies, chunked encoding, and writing in the background.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread::JoinHandle;

/// Returns bytes whose values depend on their position, so that a test detects lost or reordered bytes.
pub fn position_dependent_bytes(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index ^ (index >> 8) ^ (index >> 16)) as u8).collect()
}

/// Returns the data in chunked encoding, with chunk extensions and a trailer.
pub fn encode_chunked(data: &[u8], chunk_length: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in data.chunks(chunk_length) {
        write!(encoded, "{:x};a=b\r\n", chunk.len()).unwrap();
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\nX-Sum: 1\r\n\r\n");
    encoded
}

/// Writes the parts from another thread, so that the caller can read from the connection meanwhile.
pub fn write_in_background(stream: &BufReader<TcpStream>, parts: Vec<Vec<u8>>) -> JoinHandle<()> {
    let mut stream = stream.get_ref().try_clone().unwrap();
    std::thread::spawn(move || {
        for part in parts {
            if stream.write_all(&part).is_err() {
                return; // the proxy responded and closed before the end of the body
            }
        }
    })
}
