//! The last byte of a request. An attempt withholds the byte for a short time, in which the proxy can still
//! detect that the client has disconnected. These tests guard against a byte that is sent right after a stall
//! of the process, before the proxy has checked for a disconnect.

mod common;

use balancer_proxy::clock::Clock;
use balancer_proxy::limits::Budget;
use balancer_proxy::metrics::Metrics;
use balancer_proxy::settings::ProxySettings;
use balancer_proxy::upstream::attempt::{AttemptParameters, attempt};
use balancer_proxy::upstream::completion_flag::CompletionFlag;
use balancer_proxy::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use balancer_proxy::upstream::pool::{ConnectionPool, ConnectionTimeouts};
use common::waiting::TEST_TIMEOUT;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Returns the bytes that have arrived on a connection, without waiting for more.
fn read_available(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 4096];
    stream.set_nonblocking(true).unwrap();
    let length = stream.read(&mut buffer).unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[test]
fn does_not_send_the_withheld_last_byte_right_after_a_stall_of_the_process() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let payload = ForwardedRequest {
            method: "POST".parse().unwrap(),
            uri: "/api".parse().unwrap(),
            headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
            body: ForwardedBody::Buffered("body".into()),
        };
        let written = CompletionFlag::default();
        let metrics = Metrics::new(&ProxySettings::default());
        let timeouts = ConnectionTimeouts { connect: TEST_TIMEOUT, idle: TEST_TIMEOUT };
        let pool = Rc::new(ConnectionPool::new(address, Budget::new(4), timeouts));
        let attempted = attempt(AttemptParameters {
            pool,
            request: payload.into(),
            clock: Clock::start(),
            response_deadline: 20.0,
            write_deadline: Some(20.0),
            written: written.clone(),
            metrics: metrics.clone(),
        });
        let mut attempted = std::pin::pin!(attempted);
        // The attempt proceeds only when the test polls it.
        let mut poll_attempt = async || {
            std::future::poll_fn(|cx| std::task::Poll::Ready(attempted.as_mut().poll(cx).is_ready())).await
        };
        let let_runtime_run = || tokio::time::sleep(Duration::from_millis(5));
        assert!(!poll_attempt().await);
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = String::new();
        while !received.ends_with("bod") {
            let_runtime_run().await;
            assert!(!poll_attempt().await);
            received += &read_available(&mut stream);
        }
        // The time for which the byte is withheld ends while the process is stalled for 200 ms.
        let_runtime_run().await;
        std::thread::sleep(Duration::from_millis(200));
        assert!(!poll_attempt().await);
        assert_eq!(
            read_available(&mut stream),
            "",
            "the byte was sent although the client may have disconnected during the stall"
        );
        assert!(!written.is_set());
        // The client has not disconnected, so the byte is sent, even if the process stalls again.
        let_runtime_run().await;
        std::thread::sleep(Duration::from_millis(200));
        assert!(!poll_attempt().await);
        assert_eq!(read_available(&mut stream), "y");
        assert!(written.is_set());
    });
}
