//! Clients that leave while their requests wait: what has not been written whole to a backend by
//! then never is, whether or not attempts may be cancelled.

mod common;

use common::sockets::*;
use common::{Bench, entry, refused, safe, sends, with};
use gannetproxy::*;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// It closes.
    Fin,
    /// It resets.
    Reset,
    /// It closes, with another request written behind the first.
    FinBehindAnother,
    ResetBehindAnother,
    /// It ends its side, and still reads. Nobody can tell that from a close.
    HalfClosed,
}

impl Way {
    /// The stream, where it is still there.
    fn leave(self, stream: BufReader<TcpStream>) -> Option<BufReader<TcpStream>> {
        match self {
            Way::Fin | Way::FinBehindAnother => {}
            Way::Reset | Way::ResetBehindAnother => {
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            }
            Way::HalfClosed => {
                stream.get_ref().shutdown(Shutdown::Write).unwrap();
                return Some(stream);
            }
        }
        None
    }
}

fn proxy(cancel: bool, known: &Value) -> Proxy {
    let mut settings = settings();
    settings["caps"]["cancel"] = json!(cancel);
    settings["caps"]["connect-timeout"] = json!(20.0);
    let mut config = config_of(&settings, known);
    config["management"] = json!("127.0.0.1:0");
    Proxy::with(&config, quiet().address)
}

/// A request waits for a connection to its backend, its client leaves, and the connection comes up.
fn leaves_while_connecting(cancel: bool, way: Way) {
    let backend = Late::new();
    let known = list(1, true, &[common::sockets::entry("s-0", backend.address, "SERVING")]);
    let proxy = proxy(cancel, &known);
    let mut stream = proxy.connect();
    let mut text = request("order", 20_000);
    if matches!(way, Way::FinBehindAnother | Way::ResetBehindAnother) {
        text += &request("save", 20_000);
    }
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    wait_for("call", || backend.called());
    assert_eq!(proxy.figures()["outstanding"], 1);
    let left = way.leave(stream);
    let start = Instant::now();
    wait_for("notice", || proxy.figures()["outstanding"] == 0);
    assert!(start.elapsed() < Duration::from_secs(10), "{way:?}: only at its deadline");
    let texts = backend.texts();
    assert!(texts.is_empty(), "{way:?}, cancel {cancel}: {texts:?}");
    // One that could still read gets the end of its connection.
    if let Some(mut left) = left {
        let end = left.read(&mut [0]);
        assert!(matches!(&end, Ok(0)) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    }
    assert_eq!(proxy.figures()["forwards"], 0, "{way:?}, cancel {cancel}");
}

#[test]
fn nothing_is_sent_over_a_connection_that_comes_up_after_its_client_has_left() {
    for cancel in [true, false] {
        for way in [Way::Fin, Way::Reset, Way::HalfClosed] {
            leaves_while_connecting(cancel, way);
        }
    }
}

#[test]
fn a_client_that_leaves_behind_another_request_of_its_own_is_noticed() {
    for cancel in [true, false] {
        for way in [Way::FinBehindAnother, Way::ResetBehindAnother] {
            leaves_while_connecting(cancel, way);
        }
    }
}

#[test]
fn a_client_that_leaves_behind_a_body_which_nobody_takes_in_is_noticed() {
    for cancel in [true, false] {
        // All of the body is on its way, more than the way to the backend holds, which takes none.
        let (release, held) = channel();
        let (done, whole) = channel();
        let (held, done) = (Mutex::new(held), Mutex::new(done));
        let backend = Played::raw(move |stream| {
            let head = read_head(stream).expect("a head");
            held.lock().unwrap().recv_timeout(LONG).unwrap();
            done.lock().unwrap().send(read_body(stream, &head).is_some()).unwrap();
        });
        let proxy = proxy(cancel, &known(&[&backend]));
        let mut stream = proxy.connect();
        let port = stream.get_ref().local_addr().unwrap().port();
        let length = 5 << 20;
        let head = with_body("order", &format!("Content-Length: {length}\r\n\r\n"));
        stream.get_mut().write_all(head.as_bytes()).unwrap();
        stream.get_mut().write_all(&vec![b'x'; length]).unwrap();
        wait_for("attempt", || backend.connections.load(Ordering::SeqCst) == 1);
        drop(stream);
        // Its end has come to the proxy's machine. The proxy lets go of it, or has had long to do so.
        let start = Instant::now();
        while sockets_in(port, CLOSE_WAIT) > 0 && start.elapsed() < Duration::from_secs(3) {
            std::thread::sleep(Duration::from_millis(5));
        }
        release.send(()).unwrap();
        assert!(!whole.recv_timeout(LONG).unwrap(), "cancel {cancel}");
        assert_eq!(proxy.figures()["forwards"], 0, "cancel {cancel}");
    }
}

#[test]
fn a_request_whose_client_leaves_between_two_attempts_is_not_sent_again() {
    for cancel in [true, false] {
        for way in [Way::Fin, Way::Reset, Way::HalfClosed] {
            let full = || answer("503 Service Unavailable\r\nX-Turned-Away: 1", "");
            let backends = [0, 1].map(|_| Played::new(move |_, _| Play::Answer(full())));
            let proxy = proxy(cancel, &known(&[&backends[0], &backends[1]]));
            let mut stream = proxy.connect();
            // Its next timer is due 0.4 s after it came.
            stream.get_mut().write_all(request("order", 1000).as_bytes()).unwrap();
            let sent = || backends[0].count() + backends[1].count();
            wait_for("attempt", || sent() == 1);
            let left = way.leave(stream);
            wait_for("notice", || proxy.figures()["outstanding"] == 0);
            std::thread::sleep(Duration::from_millis(800));
            assert_eq!(sent(), 1, "{way:?}, cancel {cancel}");
            drop(left);
        }
    }
}

// ---- what the module decides ----

/// Plays on after the client of request 1 has left, with all that could set it off.
fn left(mut bench: Bench) -> Vec<Action> {
    let mut seen = bench.event(Event::ClientLeft(RequestId(1)));
    seen.extend(common::plain(bench.run_to(bench.now + 30.0)));
    seen.extend(bench.event(Event::Received(RequestId(1))));
    seen.extend(common::plain(bench.run_to(bench.now + 30.0)));
    assert_eq!(bench.balancer.open_requests(), 0);
    seen
}

#[test]
fn an_attempt_whose_client_has_left_is_cancelled_or_kept_from_being_written() {
    let id = RequestId(1);
    for (cancel, wanted) in
        [(true, Action::Cancel { id, attempt: 0 }), (false, Action::Withdraw { id, attempt: 0 })]
    {
        let mut bench = Bench::new(Settings { cancel, ..with(Effect::Unsafe) }, &[entry(1), entry(2)]);
        assert_eq!(sends(&bench.request(1)).len(), 1);
        assert_eq!(left(bench), [wanted]);
    }
}

#[test]
fn a_call_whose_client_has_left_is_sent_nowhere_whatever_it_waited_for() {
    for cancel in [true, false] {
        // Its doubling timer.
        let mut bench = Bench::new(Settings { cancel, ..safe() }, &[entry(1), entry(2)]);
        let (_, to) = sends(&bench.request(1))[0];
        assert!(bench.end(1, 0, to, Outcome::Full, 0.01).is_empty());
        assert!(left(bench).is_empty());

        // The rest of its body.
        let mut bench = Bench::new(Settings { cancel, ..safe() }, &[entry(1), entry(2)]);
        let request = Request { id: RequestId(1), budget: 2.0, streamed: true, ..Request::default() };
        let (_, to) = sends(&bench.event(Event::Request(request)))[0];
        assert!(bench.end(1, 0, to, Outcome::NoConnection, 0.01).is_empty());
        assert!(left(bench).is_empty());

        // Its key's lane: the one ahead of it ends only once it has left.
        let mut settings = Settings { cancel, ..safe() };
        settings.classes[0].in_order = true;
        let mut bench = Bench::new(settings, &[entry(1), entry(2)]);
        let keyed = |id| Request { id: RequestId(id), budget: 2.0, key: Some(7), ..Request::default() };
        let (_, to) = sends(&bench.event(Event::Request(keyed(9))))[0];
        assert!(bench.event(Event::Request(keyed(1))).is_empty());
        assert!(bench.event(Event::ClientLeft(RequestId(1))).is_empty());
        assert!(sends(&bench.end(9, 0, to, Outcome::Served, 0.1)).is_empty());
        assert!(left(bench).is_empty());

        // A place at the entry.
        let mut bench = Bench::new(Settings { cancel, tier: 0, ..safe() }, &[entry(1), entry(2)]);
        for id in 100..200 {
            bench.served(id, 0.1);
        }
        let crowd: Vec<_> = (1000..1100).map(|id| (id, sends(&bench.request(id)))).collect();
        let (held, sent): (Vec<_>, Vec<_>) = crowd.into_iter().partition(|(_, sends)| sends.is_empty());
        assert!(!held.is_empty());
        for (id, _) in &held {
            assert!(bench.event(Event::ClientLeft(RequestId(*id))).is_empty());
        }
        for (id, to) in sent {
            let seen = bench.end(id, 0, to[0].1, Outcome::Served, 0.1);
            assert!(sends(&seen).is_empty() && !held.iter().any(|(id, _)| refused(&seen, *id)));
        }
        assert!(left(bench).is_empty());
    }
}
