//! What the cases 6 to 10 share: a record of what was sent, answered and run; the proxy as a process of its
//! own; and stand-ins for discovery, backends and clients that follow the operators' pages.

#![allow(dead_code)] // no case uses all of it

pub mod backend;
pub mod client;
pub mod discovery;
pub mod message;
pub mod proxy;
pub mod record;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Whether the disruption of the case takes place: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map(|value| value != "0").unwrap_or(true)
}

/// Returns an address of this machine that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Sleeps for this many milliseconds.
pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}
