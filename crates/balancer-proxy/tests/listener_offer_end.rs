//! The end of the offer of the listener. The tests of this file start no process: until a new process executes its
//! program, it has every descriptor of the process that started it, and would keep the listener open.

use balancer_proxy::control::listener_handover::ListenerOffer;
use std::net::{TcpListener, TcpStream};

/// A descriptor that the end of an offer left open would go on taking connections that nobody accepts, and they
/// would be reset later.
#[test]
fn the_end_of_an_offer_closes_its_descriptor_before_anything_else_runs() {
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();

    tokio::task::LocalSet::new().block_on(&runtime, async {
        let offer = ListenerOffer::start(folder.path().join("offer"), &listener).unwrap();
        tokio::task::yield_now().await; // the task of the offer has begun

        drop(offer);
        drop(listener);

        assert!(TcpStream::connect(address).is_err(), "the listener is still open");
    });
}
