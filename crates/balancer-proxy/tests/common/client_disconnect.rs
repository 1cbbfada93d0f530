//! The ways in which a client can disconnect, and helpers of the tests of disconnects.

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
    /// The client closes the connection.
    Close,
    /// The client resets the connection.
    Reset,
    /// The client closes the connection after it has pipelined another request behind the first.
    CloseAfterPipelining,
    /// The client resets the connection after it has pipelined another request behind the first.
    ResetAfterPipelining,
    /// The client closes its sending side and still reads. The proxy cannot distinguish this from a close.
    HalfClose,
}

impl Disconnect {
    /// All ways to disconnect.
    pub const ALL: [Self; 5] =
        [Self::Close, Self::Reset, Self::CloseAfterPipelining, Self::ResetAfterPipelining, Self::HalfClose];
    /// The ways to disconnect without a pipelined request.
    pub const WITHOUT_PIPELINING: [Self; 3] = [Self::Close, Self::Reset, Self::HalfClose];

    /// Returns whether the client resets the connection.
    pub fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::ResetAfterPipelining)
    }

    /// Returns the text that the client writes: `text`, and another request if the client pipelines.
    pub fn written_text(self, text: &str) -> String {
        match self {
            Self::CloseAfterPipelining | Self::ResetAfterPipelining => {
                text.to_string() + &request("order", 20_000)
            }
            Self::Close | Self::Reset | Self::HalfClose => text.to_string(),
        }
    }

    /// Disconnects the client and returns the stream if the client can still read from it.
    ///
    /// Waits until the kernel has processed the disconnect on the proxy's side of the connection. A
    /// process that is being spawned holds a copy of the socket, and a close takes effect only once that
    /// copy is gone.
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
        wait_for("the client's disconnect", || sockets_between(proxy_side, TCP_ESTABLISHED) == 0);
        readable_stream
    }
}

/// Starts a proxy that has a management address, with cancellation of attempts allowed or not.
pub fn proxy_with_cancellation(cancellation_allowed: bool, cached_endpoints: &Value) -> ProxyProcess {
    let mut settings = default_settings();
    settings["caps"]["cancel"] = json!(cancellation_allowed);
    settings["caps"]["connect-timeout"] = json!(20.0);
    let configuration = configuration_with_management(&settings, cached_endpoints);
    ProxyProcess::with_configuration(&configuration, silent_discovery().address)
}

/// Returns the number of complete requests of this class that the backend has received.
pub fn request_count_of_class(backend: &StubServer, class: &str) -> usize {
    let requests = backend.requests.lock().unwrap();
    requests.iter().filter(|message| message.header("x-lane") == Some(class)).count()
}

/// Waits until the proxy has no open request.
pub fn wait_for_no_open_request(proxy: &ProxyProcess) {
    wait_for("the end of all open requests", || proxy.stats()["outstanding"] == 0);
}

/// Waits until the proxy has handled all input that was written to it before this call.
///
/// A request that is not forwarded ends as rejected or failed. A later request on another connection is
/// served only after the proxy has handled the earlier input.
pub fn wait_until_input_is_handled(proxy: &ProxyProcess) {
    wait_for_no_open_request(proxy);
    assert_eq!(proxy.exchange(&request("save", 9000)).status(), 200);
}
