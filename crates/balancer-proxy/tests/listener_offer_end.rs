//! The end of an offer of the listener. The test of this file runs in a program of its own, which starts no
//! process: until a new process executes its program, it holds a copy of every descriptor of its parent,
//! which would keep the listener open.

use balancer_proxy::control::listener_handover::ListenerOffer;
use std::net::{TcpListener, TcpStream};

/// Guards against a descriptor that stays open after the end of its offer: the system would queue connections
/// that no process accepts, and reset them later.
#[test]
fn dropping_an_offer_closes_its_descriptor_before_another_task_runs() {
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();

    tokio::task::LocalSet::new().block_on(&runtime, async {
        let offer = ListenerOffer::start(folder.path().join("offer"), &listener).unwrap();
        tokio::task::yield_now().await; // lets the task of the offer start

        drop(offer);
        drop(listener);

        assert!(TcpStream::connect(address).is_err(), "the listener is still open");
    });
}
