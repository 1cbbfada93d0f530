//! The states of TCP sockets, from the system's table of IPv4 sockets (`/proc/net/tcp`).

/// State of an established connection, as the table writes it.
pub const ESTABLISHED: &str = "01";
/// State of a connection that is being established by this side.
pub const SYN_SENT: &str = "02";
/// State of a connection that the peer has closed and this side has not.
pub const CLOSE_WAIT: &str = "08";

/// The ports of a connection, seen from one side.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    /// This side's port.
    pub local: u16,
    /// The peer's port.
    pub remote: u16,
}

/// The number of sockets in this state whose peer has this port.
pub fn sockets_to_port(port: u16, state: &str) -> usize {
    count_sockets(state, |ports| ports.remote == port)
}

/// The number of sockets in this state that have this port themselves.
pub fn sockets_on_port(port: u16, state: &str) -> usize {
    count_sockets(state, |ports| ports.local == port)
}

/// The number of sockets in this state with both ports: one side of a single connection, whatever
/// other connections the machine has.
pub fn sockets_between(ports: Ports, state: &str) -> usize {
    count_sockets(state, |other| other == ports)
}

fn count_sockets(state: &str, selected: impl Fn(Ports) -> bool) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|row| row.split_whitespace().collect::<Vec<_>>());
    // Columns: number, local address, remote address, state.
    rows.filter(|row| row[3] == state && selected(Ports { local: port(row[1]), remote: port(row[2]) }))
        .count()
}

/// The port of an address such as `0100007F:1F90`.
fn port(address: &str) -> u16 {
    u16::from_str_radix(address.rsplit(':').next().unwrap(), 16).unwrap()
}
