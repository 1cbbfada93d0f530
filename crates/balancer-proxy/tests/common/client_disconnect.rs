//! The ways in which a client can disconnect, and what tests of disconnects share.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};
use socket2::SockRef;

use super::configuration::{configuration_with_management, default_settings, request};
use super::proxy_process::ProxyProcess;
use super::socket_table::{ConnectionPorts, TCP_ESTABLISHED, sockets_between};
use super::stub_server::{StubServer, silent_discovery};
use super::waiting::wait_for;

/// How a client disconnects while its request is open.
#[derive(Clone, Copy, Debug)]
pub enum Disconnect {
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
    /// It closes the connection with another request pipelined behind the first.
    CloseAfterPipelining,
    /// It resets the connection with another request pipelined behind the first.
    ResetAfterPipelining,
    /// It closes its sending side and still reads, which the proxy cannot tell from a close.
    HalfClose,
}

impl Disconnect {
    /// Every way.
    pub const ALL: [Self; 5] =
        [Self::Close, Self::Reset, Self::CloseAfterPipelining, Self::ResetAfterPipelining, Self::HalfClose];
    /// The ways without a pipelined request.
    pub const WITHOUT_PIPELINING: [Self; 3] = [Self::Close, Self::Reset, Self::HalfClose];

    /// Whether the connection ends by a reset.
    pub fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::ResetAfterPipelining)
    }

    /// What the client writes: this text and, where the way pipelines, another request.
    pub fn written_text(self, text: &str) -> String {
        match self {
            Self::CloseAfterPipelining | Self::ResetAfterPipelining => {
                text.to_string() + &request("order", 20_000)
            }
            Self::Close | Self::Reset | Self::HalfClose => text.to_string(),
        }
    }

    /// Disconnects; returns the stream if it can still be read.
    ///
    /// The end has reached the proxy's system when this returns: a process that is being spawned
    /// holds a copy of the socket, and a close has no effect before that copy is gone.
    pub fn disconnect(self, stream: BufReader<TcpStream>) -> Option<BufReader<TcpStream>> {
        let port = |address: std::io::Result<SocketAddr>| address.unwrap().port();
        let proxy_side = ConnectionPorts {
            local: port(stream.get_ref().peer_addr()),
            remote: port(stream.get_ref().local_addr()),
        };
        let readable_stream = match self {
            Self::Close | Self::CloseAfterPipelining => {
                drop(stream);
                None
            }
            Self::Reset | Self::ResetAfterPipelining => {
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
                drop(stream);
                None
            }
            Self::HalfClose => {
                stream.get_ref().shutdown(Shutdown::Write).unwrap();
                Some(stream)
            }
        };
        wait_for("end of the client", || sockets_between(proxy_side, TCP_ESTABLISHED) == 0);
        readable_stream
    }
}

/// Starts a proxy with a management address, with or without cancellation of attempts.
pub fn proxy_with_cancellation(cancellation_allowed: bool, cached_endpoints: &Value) -> ProxyProcess {
    let mut settings = default_settings();
    settings["caps"]["cancel"] = json!(cancellation_allowed);
    settings["caps"]["connect-timeout"] = json!(20.0);
    let configuration = configuration_with_management(&settings, cached_endpoints);
    ProxyProcess::with_configuration(&configuration, silent_discovery().address)
}

/// The number of complete requests of this class that the backend has received.
pub fn request_count_of_class(backend: &StubServer, class: &str) -> usize {
    let requests = backend.requests.lock().unwrap();
    requests.iter().filter(|message| message.header("x-lane") == Some(class)).count()
}

/// Waits until the proxy has no open request.
pub fn wait_for_no_open_request(proxy: &ProxyProcess) {
    wait_for("end of the open requests", || proxy.stats()["outstanding"] == 0);
}

/// Waits until the proxy has handled everything written to it before.
///
/// A request that is not forwarded ends as rejected or failed. One that comes after it on another
/// connection is served once the proxy has handled the earlier input.
pub fn wait_until_input_is_handled(proxy: &ProxyProcess) {
    wait_for_no_open_request(proxy);
    assert_eq!(proxy.exchange(&request("save", 9000)).status(), 200);
}
