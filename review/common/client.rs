//! A stand-in for clients: the ids and the heads of their requests.

use std::sync::atomic::{AtomicU64, Ordering};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a request.
pub fn new_id() -> String {
    format!("{:016x}", 0x5eed_0000_0000_0000 | NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the head of a POST with an idempotency key. `length` is a header that states the length.
pub fn keyed_head(id: &str, class: &str, remaining_ms: u64, length: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         Idempotency-Key: {id}{id}\r\n{length}\r\n\r\n"
    )
}

/// Returns a GET.
pub fn safe_request(id: &str, class: &str, remaining_ms: u64) -> String {
    format!(
        "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining-Ms: {remaining_ms}\r\n\r\n"
    )
}
