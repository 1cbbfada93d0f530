//! Loopback addresses for the sockets of a run.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Ports begin here. They lie below those that the system assigns by itself, so that an address that
/// is closed for a while can still be bound again.
const FIRST_PORT: u16 = 20_000;
/// Ports of each role; after these the numbers wrap around.
const PORTS_PER_ROLE: usize = 12_000;

/// What listens on an address. Each role has its own range of loopback addresses: the value is the
/// second byte.
#[derive(Clone, Copy, Debug)]
pub enum AddressRole {
    /// The stub discovery server, with one address for each proxy.
    Discovery = 96,
    /// The address to which a proxy's clients connect.
    Listen = 97,
    /// The address for a proxy's management calls.
    Management = 98,
    /// A stub backend.
    Backend = 99,
}

/// The next number to be assigned, counted over all roles.
static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Allocates `count` addresses. No other run uses them at the same time, as they contain the id of
/// this process.
pub fn allocate(role: AddressRole, count: usize) -> impl Iterator<Item = SocketAddr> {
    let first = NEXT_NUMBER.fetch_add(count, Ordering::Relaxed);
    (first..first + count).map(move |number| numbered(role, number))
}

/// Allocates one address.
#[must_use]
pub fn allocate_one(role: AddressRole) -> SocketAddr {
    numbered(role, NEXT_NUMBER.fetch_add(1, Ordering::Relaxed))
}

fn numbered(role: AddressRole, number: usize) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let port = FIRST_PORT + (number % PORTS_PER_ROLE) as u16;
    SocketAddr::from((Ipv4Addr::new(127, role as u8, high, low), port))
}
