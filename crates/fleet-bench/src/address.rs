//! Loopback addresses for the sockets of a run.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};

/// First port of a run. The ports of a run are below the system's ephemeral ports, so that an address that
/// was closed for a while can be bound again.
const FIRST_PORT: u16 = 20_000;
/// Number of ports of each role; the ports wrap around after this number.
const PORTS_PER_ROLE: usize = 12_000;

/// Role of the socket that listens on an address. Each role has its own range of loopback addresses. The
/// value of a role is the second byte of its addresses.
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

/// The next address number to be assigned; all roles share the counter.
static NEXT_ADDRESS_NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Allocates `count` addresses. An address contains the id of this process, so that no other run uses the
/// address at the same time.
pub fn allocate(role: AddressRole, count: usize) -> impl Iterator<Item = SocketAddr> {
    let first = NEXT_ADDRESS_NUMBER.fetch_add(count, Ordering::Relaxed);
    (first..first + count).map(move |number| address_of(role, number))
}

/// Allocates one address.
#[must_use]
pub fn allocate_one(role: AddressRole) -> SocketAddr {
    address_of(role, NEXT_ADDRESS_NUMBER.fetch_add(1, Ordering::Relaxed))
}

fn address_of(role: AddressRole, number: usize) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let port = FIRST_PORT + (number % PORTS_PER_ROLE) as u16;
    SocketAddr::from((Ipv4Addr::new(127, role as u8, high, low), port))
}
