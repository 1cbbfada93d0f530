//! ClientConnections that leave while their requests wait: what has not been written whole to a backend by
//! then never is, whether or not attempts may be cancelled.

mod common;

use balancer_proxy::proxy::clock::Clock;
use balancer_proxy::proxy::limits::Budget;
use balancer_proxy::proxy::metrics::Metrics;
use balancer_proxy::proxy::settings::ProxySettings;
use balancer_proxy::proxy::upstream::attempt::attempt;
use balancer_proxy::proxy::upstream::forwarded_request::{ForwardedBody, ForwardedRequest};
use balancer_proxy::proxy::upstream::pool::ConnectionPool;
use balancer_proxy::*;
use common::sockets::*;
use common::{Bench, entry, refused, safe, sends, with};
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::Cell;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
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

/// All of them.
const ALL: [Way; 5] = [Way::Fin, Way::Reset, Way::FinBehindAnother, Way::ResetBehindAnother, Way::HalfClosed];
/// Those with nothing behind the request.
const ALONE: [Way; 3] = [Way::Fin, Way::Reset, Way::HalfClosed];

impl Way {
    /// What is written: this request, and another where there is to be one.
    fn written(self, text: &str) -> String {
        match self {
            Way::FinBehindAnother | Way::ResetBehindAnother => text.to_string() + &request("order", 20_000),
            Way::Fin | Way::Reset | Way::HalfClosed => text.to_string(),
        }
    }

    /// The stream, where it is still there. Its end has come to the other side by then: a process
    /// that is just being started has a copy of it, and a close does nothing until that is gone.
    fn leave(self, stream: BufReader<TcpStream>) -> Option<BufReader<TcpStream>> {
        let ports = [stream.get_ref().peer_addr(), stream.get_ref().local_addr()].map(|a| a.unwrap().port());
        let left = match self {
            Way::Fin | Way::FinBehindAnother => {
                drop(stream);
                None
            }
            Way::Reset | Way::ResetBehindAnother => {
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
                drop(stream);
                None
            }
            Way::HalfClosed => {
                stream.get_ref().shutdown(Shutdown::Write).unwrap();
                Some(stream)
            }
        };
        wait_for("end of the client", || sockets_between(ports, ESTABLISHED) == 0);
        left
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
    stream.get_mut().write_all(way.written(&request("order", 20_000)).as_bytes()).unwrap();
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
        wait_for("end of the client", || sockets_at(port, ESTABLISHED) == 0);
        // Its end has come to the proxy's machine, as far as there is room for what comes before it.
        // The proxy lets go of it, or has had long to do so.
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

/// How many requests of this class have come whole to a backend.
fn got(backend: &Played, class: &str) -> usize {
    let requests = backend.requests.lock().unwrap();
    requests.iter().filter(|message| message.header("x-lane") == Some(class)).count()
}

/// A request that is not asked for again ends as a refusal or a failure. One that comes behind
/// another is served once the proxy has taken in what came before it.
fn passed(proxy: &Proxy) {
    wait_for("notice", || proxy.figures()["outstanding"] == 0);
    assert_eq!(proxy.ask(&request("save", 9000)).status(), 200);
}

#[test]
fn a_request_that_comes_along_with_the_end_of_its_client_is_not_sent_on() {
    for cancel in [true, false] {
        for way in ALL {
            // Its connection has been accepted long ago and one to the backend is ready to be used,
            // all but the end of its body has come, or it lies in the listener.
            for before in ["asked", "begun", "nothing"] {
                let backend = Played::good("hello");
                let proxy = proxy(cancel, &known(&[&backend]));
                let mut text = request("order", 9000);
                let mut stream = None;
                if before != "nothing" {
                    let asked = stream.insert(proxy.connect());
                    assert_eq!(ask(asked, &request("save", 9000)).status(), 200);
                    std::thread::sleep(Duration::from_millis(50)); // until that one has settled
                }
                if before == "begun" {
                    let rest = text.split_off(text.len() - 2);
                    stream.as_mut().unwrap().get_mut().write_all(text.as_bytes()).unwrap();
                    text = rest;
                }
                let text = way.written(&text);
                let left = proxy.stands_still(|| {
                    let mut stream = stream.unwrap_or_else(|| proxy.connect());
                    stream.get_mut().write_all(text.as_bytes()).unwrap();
                    way.leave(stream)
                });
                passed(&proxy);
                assert_eq!(got(&backend, "order"), 0, "{way:?}, cancel {cancel}, {before}");
                drop(left);
            }
        }
    }
}

#[test]
fn a_timer_that_falls_due_with_the_end_of_its_client_sends_nothing() {
    let falls_due = |cancel| {
        for way in ALONE {
            // What was turned away waits for the timer, and so does a copy of what hangs.
            for hangs in [true, false] {
                let full = || answer("503 Service Unavailable\r\nX-Turned-Away: 1", "");
                let backends = [0, 1].map(|_| {
                    Played::new(move |_, message| match message.header("x-lane") {
                        Some("look") if hangs => Play::Silence(channel().0),
                        Some("look") => Play::Answer(full()),
                        _ => Play::Answer(answer("200 OK", "hello")),
                    })
                });
                let proxy = proxy(cancel, &known(&[&backends[0], &backends[1]]));
                let mut stream = proxy.connect();
                // Its next timer is due 0.8 s after it came, with or without a tenth of that.
                stream.get_mut().write_all(request("look", 2000).as_bytes()).unwrap();
                let sent = || got(&backends[0], "look") + got(&backends[1], "look");
                wait_for("attempt", || sent() == 1);
                let left = proxy.stands_still(|| {
                    std::thread::sleep(Duration::from_millis(1000));
                    way.leave(stream)
                });
                passed(&proxy);
                assert_eq!(sent(), 1, "{way:?}, cancel {cancel}, hangs {hangs}");
                drop(left);
            }
        }
    };
    std::thread::scope(|scope| {
        scope.spawn(|| falls_due(true));
        falls_due(false);
    });
}

#[test]
fn a_request_whose_client_leaves_while_its_only_attempt_hangs_is_not_copied() {
    for cancel in [true, false] {
        let backends = [0, 1].map(|_| Played::new(|_, _| Play::Silence(channel().0)));
        let proxy = proxy(cancel, &known(&[&backends[0], &backends[1]]));
        let mut stream = proxy.connect();
        stream.get_mut().write_all(request("look", 2000).as_bytes()).unwrap();
        let sent = || backends[0].count() + backends[1].count();
        wait_for("attempt", || sent() == 1);
        Way::Fin.leave(stream);
        wait_for("notice", || proxy.figures()["outstanding"] == 0);
        std::thread::sleep(Duration::from_millis(1400));
        assert_eq!(sent(), 1, "cancel {cancel}");
    }
}

#[test]
fn a_request_that_could_not_connect_is_not_sent_again_once_its_client_has_left() {
    for cancel in [true, false] {
        // Nobody listens there yet.
        let sockets = [0, 1].map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
            socket
        });
        let entries = [0, 1].map(|i| {
            let address = sockets[i].local_addr().unwrap().as_socket().unwrap();
            common::sockets::entry(&format!("s-{i}"), address, "SERVING")
        });
        let proxy = proxy(cancel, &list(1, true, &entries));
        let mut stream = proxy.connect();
        stream.get_mut().write_all(request("order", 1000).as_bytes()).unwrap();
        // The refusal of a connection over loopback is there before the next call is answered.
        wait_for("attempt", || proxy.figures()["outstanding"] == 1);
        assert_eq!(proxy.figures()["outstanding"], 1);
        Way::Fin.leave(stream);
        wait_for("notice", || proxy.figures()["outstanding"] == 0);
        let listeners = sockets.map(|socket| {
            socket.listen(8).unwrap();
            let listener = TcpListener::from(socket);
            listener.set_nonblocking(true).unwrap();
            listener
        });
        std::thread::sleep(Duration::from_millis(800));
        for listener in listeners {
            assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::WouldBlock, "cancel {cancel}");
        }
    }
}

#[test]
fn a_second_try_of_an_attempt_that_is_still_connecting_is_not_written() {
    for cancel in [true, false] {
        for way in ALONE {
            let mut backend = Late::not_yet();
            let known = list(1, true, &[common::sockets::entry("s-0", backend.address, "SERVING")]);
            let proxy = proxy(cancel, &known);
            let mut first = proxy.connect();
            first.get_mut().write_all(request("look", 9000).as_bytes()).unwrap();
            let mut kept = backend.accept();
            read(&mut kept).expect("a request");
            kept.get_mut().write_all(answer("200 OK", "hello").as_bytes()).unwrap();
            assert_eq!(read(&mut first).expect("an answer").status(), 200);
            std::thread::sleep(Duration::from_millis(50)); // until that connection has settled
            backend.fill();
            // The next begins on that connection, which ends under it: none of it is lost yet.
            let mut stream = proxy.connect();
            let port = stream.get_ref().local_addr().unwrap().port();
            let head = with_body("order", "Content-Length: 200000\r\n\r\n");
            stream.get_mut().write_all(head.as_bytes()).unwrap();
            stream.get_mut().write_all(&[b'x'; (64 << 10) + 1]).unwrap();
            read_head(&mut kept).expect("a head");
            drop(kept);
            wait_for("second try", || backend.called());
            let left = way.leave(stream);
            wait_for("notice", || sockets_in(port, CLOSE_WAIT) == 0);
            let texts = backend.texts();
            assert!(texts.is_empty(), "{way:?}, cancel {cancel}: {texts:?}");
            assert_eq!(proxy.figures()["forwards"], 1, "{way:?}, cancel {cancel}");
            drop(left);
        }
    }
}

#[test]
fn a_request_behind_one_that_the_proxy_answers_itself_is_not_sent_on_either() {
    for way in ALL {
        let backend = Played::good("hello");
        let proxy = proxy(true, &known(&[&backend]));
        let left = proxy.stands_still(|| {
            let mut stream = proxy.connect();
            let both = "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n".to_string()
                + &way.written(&request("order", 9000));
            stream.get_mut().write_all(both.as_bytes()).unwrap();
            way.leave(stream)
        });
        passed(&proxy);
        assert_eq!(got(&backend, "order"), 0, "{way:?}");
        drop(left);
    }
}

/// A proxy with a class that keeps the order of a key, and a backend that holds its first answer.
/// A request of that class is out, and its client waits.
fn lane(cancel: bool, sockets: u64) -> (Proxy, Played, impl FnOnce(), BufReader<TcpStream>) {
    let (release, held) = channel::<()>();
    let (held, (done, answered)) = (Mutex::new(held), channel());
    let done = Mutex::new(done);
    let requests = std::sync::Arc::new(Mutex::new(Vec::new()));
    let seen = requests.clone();
    let mut backend = Played::raw(move |stream| {
        while let Some(message) = read(stream) {
            let first = {
                let mut seen = seen.lock().unwrap();
                seen.push(message);
                seen.len() == 1
            };
            if first {
                let _ = held.lock().unwrap().recv_timeout(LONG);
            }
            let _ = stream.get_mut().write_all(answer("200 OK", "hello").as_bytes());
            if first {
                let _ = done.lock().unwrap().send(());
            }
        }
    });
    backend.requests = requests;
    let mut settings = settings();
    settings["caps"]["cancel"] = json!(cancel);
    settings["classes"][0]["fifo-by-key"] = json!(true);
    let mut config = config_of(&settings, &known(&[&backend]));
    config["management"] = json!("127.0.0.1:0");
    config["limits"]["sockets"] = json!(sockets);
    let proxy = Proxy::with(&config, quiet().address);
    let mut first = proxy.connect();
    first.get_mut().write_all(request("look", 20_000).as_bytes()).unwrap();
    wait_for("attempt", || backend.count() == 1);
    let answers = move || {
        release.send(()).unwrap();
        answered.recv_timeout(LONG).unwrap();
    };
    (proxy, backend, answers, first)
}

/// The answer to the one before and the end of the client, one after the other.
fn in_turn<T>(answered_first: bool, answers: impl FnOnce(), leave: impl FnOnce() -> T) -> T {
    if answered_first {
        answers();
        return leave();
    }
    let left = leave();
    answers();
    left
}

#[test]
fn a_request_behind_another_is_not_begun_once_its_client_has_left() {
    for cancel in [true, false] {
        for way in ALL {
            for answered_first in [true, false] {
                let (proxy, backend, answers, mut stream) = lane(cancel, 1024);
                let left = proxy.stands_still(|| {
                    let text = way.written(&request("order", 20_000));
                    stream.get_mut().write_all(text.as_bytes()).unwrap();
                    in_turn(answered_first, answers, || way.leave(stream))
                });
                passed(&proxy);
                assert_eq!(got(&backend, "order"), 0, "{way:?}, cancel {cancel}, {answered_first}");
                drop(left);
            }
        }
    }
}

#[test]
fn a_request_that_waits_for_its_turn_is_not_sent_on_once_its_client_has_left() {
    for cancel in [true, false] {
        for way in ALL {
            for answered_first in [true, false] {
                let (proxy, backend, answers, mut first) = lane(cancel, 1024);
                let mut second = proxy.connect();
                second.get_mut().write_all(way.written(&request("look", 20_000)).as_bytes()).unwrap();
                wait_for("second request", || proxy.figures()["outstanding"] == 2);
                let left = proxy.stands_still(|| in_turn(answered_first, answers, || way.leave(second)));
                assert_eq!(read(&mut first).expect("an answer").status(), 200);
                passed(&proxy);
                assert_eq!(got(&backend, "look"), 1, "{way:?}, cancel {cancel}, {answered_first}");
                assert_eq!(got(&backend, "order"), 0, "{way:?}, cancel {cancel}, {answered_first}");
                // The key is free for the next.
                assert_eq!(proxy.ask(&request("look", 9000)).status(), 200);
                drop(left);
            }
        }
    }
}

#[test]
fn a_request_that_waits_for_its_name_is_not_sent_on_once_its_client_has_left() {
    for way in ALL {
        for answered_first in [true, false] {
            let (proxy, backend, answers, mut first) = lane(true, 1024);
            let mut second = proxy.connect();
            let name = backend.requests.lock().unwrap()[0].header("x-txn").unwrap().to_string();
            let text = request("order", 20_000);
            let own = text.split_once("X-Txn: ").unwrap().1.split_once('\r').unwrap().0;
            let text = way.written(&text.replace(own, &name));
            second.get_mut().write_all(text.as_bytes()).unwrap();
            wait_for("second request", || {
                let figures = proxy.figures();
                figures["outstanding"] == 2 || figures["results"]["order"]["aborted"] == 1
            });
            let left = proxy.stands_still(|| in_turn(answered_first, answers, || way.leave(second)));
            assert_eq!(read(&mut first).expect("an answer").status(), 200);
            passed(&proxy);
            assert_eq!(got(&backend, "order"), 0, "{way:?}, {answered_first}");
            drop(left);
        }
    }
}

#[test]
fn a_request_whose_client_leaves_before_there_is_room_for_its_connection_is_not_sent_on() {
    for way in ALL {
        let (proxy, backend, answers, first) = lane(true, 64);
        // All places are taken by requests that wait behind the first, and by some with none yet.
        let mut waiting = vec![first];
        let full = || proxy.figures()["results"]["look"]["declined"] == 1;
        while !full() {
            let mut stream = proxy.connect();
            stream.get_mut().write_all(request("look", 20_000).as_bytes()).unwrap();
            waiting.push(stream);
            wait_for("place", || proxy.figures()["outstanding"] == waiting.len() || full());
        }
        let refused = waiting.pop().unwrap();
        let mute: Vec<_> = (0..waiting.len() / 7 + 2).map(|_| proxy.connect()).collect();
        let waits = |port| sockets_in(port, CLOSE_WAIT) == 1;
        let (left, mut behind) = proxy.stands_still(|| {
            // Two come, one of which leaves; then there is room for both, as others have left, and
            // those that say nothing have done so for long.
            let (mut stream, mut behind) = (proxy.connect(), proxy.connect());
            let port = stream.get_ref().local_addr().unwrap().port();
            stream.get_mut().write_all(way.written(&request("order", 20_000)).as_bytes()).unwrap();
            behind.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
            let left = way.leave(stream);
            assert!(matches!(way, Way::Reset | Way::ResetBehindAnother) || waits(port));
            std::thread::sleep(Duration::from_millis(700));
            waiting.truncate(1);
            (left, behind)
        });
        assert_eq!(read(&mut behind).expect("an answer").status(), 200, "{way:?}");
        answers();
        assert_eq!(read(&mut waiting[0]).expect("an answer").status(), 200);
        drop((refused, mute));
        wait_for("notice", || proxy.figures()["outstanding"] == 0);
        assert_eq!(got(&backend, "order"), 1, "{way:?}");
        drop(left);
    }
}

#[test]
fn what_waits_as_the_process_is_told_to_end_is_not_sent_on_once_its_client_has_left() {
    for way in ALONE {
        let backend = Late::new();
        let known = list(1, true, &[common::sockets::entry("s-0", backend.address, "SERVING")]);
        let mut proxy = proxy(false, &known);
        let mut stream = proxy.connect();
        stream.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
        wait_for("call", || backend.called());
        // Another lies in the listener, its client gone, as the signal comes.
        let left = proxy.stands_still(|| {
            let mut another = proxy.connect();
            another.get_mut().write_all(request("order", 20_000).as_bytes()).unwrap();
            proxy.signal("-TERM");
            (way.leave(stream), way.leave(another))
        });
        let texts = backend.texts();
        assert!(texts.is_empty(), "{way:?}: {texts:?}");
        wait_for("exit", || proxy.child.try_wait().unwrap().is_some());
        assert_eq!(proxy.child.wait().unwrap().code(), Some(0));
        drop(left);
    }
}

#[test]
fn an_answer_on_its_way_to_a_client_that_leaves_is_given_up_and_not_asked_for_again() {
    for cancel in [true, false] {
        for way in ALONE {
            let (ended, told) = channel();
            let ended = Mutex::new(ended);
            let backends = [0, 1].map(|_| ended.lock().unwrap().clone()).map(|ended| {
                let ended = Mutex::new(ended);
                Played::raw(move |stream| {
                    while let Some(message) = read(stream) {
                        if message.header("x-lane") == Some("save") {
                            let _ = stream.get_mut().write_all(answer("200 OK", "hello").as_bytes());
                            continue;
                        }
                        let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
                        let _ = stream.get_mut().write_all(head.as_bytes());
                        let _ = stream.get_mut().write_all(&[b'x'; 100_000]);
                        let _ = stream.read(&mut [0]);
                        let _ = ended.lock().unwrap().send(());
                    }
                })
            });
            let proxy = proxy(cancel, &known(&[&backends[0], &backends[1]]));
            let mut stream = proxy.connect();
            stream.get_mut().write_all(request("look", 1000).as_bytes()).unwrap();
            assert_eq!(read_head(&mut stream).expect("a head").status(), 200);
            let before = proxy.figures()["forwards"].clone();
            let left = way.leave(stream);
            heard(&told);
            std::thread::sleep(Duration::from_millis(800));
            assert_eq!(proxy.figures()["forwards"], before, "{way:?}, cancel {cancel}");
            drop(left);
        }
    }
}

/// All that has come over a connection.
fn come(stream: &mut TcpStream) -> String {
    let mut text = [0; 4096];
    stream.set_nonblocking(true).unwrap();
    let length = stream.read(&mut text).unwrap_or(0);
    String::from_utf8_lossy(&text[..length]).into_owned()
}

#[test]
fn the_last_byte_that_is_held_does_not_go_out_right_after_a_standstill() {
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
        let written = Rc::new(Cell::new(false));
        let figures = Metrics::new(&ProxySettings::default());
        let endpoint = Rc::new(ConnectionPool::new(address, Budget::new(4), LONG, LONG));
        let attempted =
            attempt(endpoint, payload.into(), Clock::start(), 20.0, 20.0, written.clone(), figures.clone());
        let mut attempted = std::pin::pin!(attempted);
        // It works on only where the test lets it.
        let mut work = async || {
            std::future::poll_fn(|cx| std::task::Poll::Ready(attempted.as_mut().poll(cx).is_ready())).await
        };
        let turn = || tokio::time::sleep(Duration::from_millis(5));
        assert!(!work().await);
        let (mut stream, _) = listener.accept().unwrap();
        let mut text = String::new();
        while !text.ends_with("bod") {
            turn().await;
            assert!(!work().await);
            text += &come(&mut stream);
        }
        // Its time is over, which the process gets to know long after.
        turn().await;
        std::thread::sleep(Duration::from_millis(200));
        assert!(!work().await);
        assert_eq!(come(&mut stream), "", "the end of its client may have come meanwhile");
        assert!(!written.get());
        // Where it has not, the request goes on its way, however slow the process may be.
        turn().await;
        std::thread::sleep(Duration::from_millis(200));
        assert!(!work().await);
        assert_eq!(come(&mut stream), "y");
        assert!(written.get());
    });
}

// ---- what the module decides ----

/// Plays on after the client of request 1 has left, with all that could set it off.
fn left(mut bench: Bench) -> Vec<Action> {
    let mut seen = bench.event(Event::ClientDisconnected(RequestId(1)));
    seen.extend(common::plain(bench.run_to(bench.now + 30.0)));
    seen.extend(bench.event(Event::BodyReceived(RequestId(1))));
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
        let mut bench = Bench::new(
            Settings { cancellation_allowed: cancel, ..with(Effect::Unsafe) },
            &[entry(1), entry(2)],
        );
        assert_eq!(sends(&bench.request(1)).len(), 1);
        assert_eq!(left(bench), [wanted]);
    }
}

#[test]
fn a_call_whose_client_has_left_is_sent_nowhere_whatever_it_waited_for() {
    for cancel in [true, false] {
        // Its doubling timer.
        let mut bench =
            Bench::new(Settings { cancellation_allowed: cancel, ..safe() }, &[entry(1), entry(2)]);
        let (_, to) = sends(&bench.request(1))[0];
        assert!(bench.end(1, 0, to, Outcome::Rejected, 0.01).is_empty());
        assert!(left(bench).is_empty());

        // The same, as it could not connect.
        let mut bench =
            Bench::new(Settings { cancellation_allowed: cancel, ..safe() }, &[entry(1), entry(2)]);
        let (_, to) = sends(&bench.request(1))[0];
        assert!(bench.end(1, 0, to, Outcome::NoConnection, 0.01).is_empty());
        assert!(left(bench).is_empty());

        // The same, while its first attempt hangs: none goes out beside that.
        let mut bench = Bench::new(
            Settings { cancellation_allowed: cancel, hedging_allowed: true, ..safe() },
            &[entry(1), entry(2)],
        );
        assert_eq!(sends(&bench.request(1)).len(), 1);
        assert!(sends(&left(bench)).is_empty());

        // The rest of its body.
        let mut bench =
            Bench::new(Settings { cancellation_allowed: cancel, ..safe() }, &[entry(1), entry(2)]);
        let request = Request { id: RequestId(1), timeout: 2.0, streaming_body: true, ..Request::default() };
        let (_, to) = sends(&bench.event(Event::Request(request)))[0];
        assert!(bench.end(1, 0, to, Outcome::NoConnection, 0.01).is_empty());
        assert!(left(bench).is_empty());

        // Its key's lane: the one ahead of it ends only once it has left.
        let mut settings = Settings { cancellation_allowed: cancel, ..safe() };
        settings.classes[0].ordered_by_key = true;
        let mut bench = Bench::new(settings, &[entry(1), entry(2)]);
        let keyed = |id| Request { id: RequestId(id), timeout: 2.0, key: Some(7), ..Request::default() };
        let (_, to) = sends(&bench.event(Event::Request(keyed(9))))[0];
        assert!(bench.event(Event::Request(keyed(1))).is_empty());
        assert!(bench.event(Event::ClientDisconnected(RequestId(1))).is_empty());
        assert!(sends(&bench.end(9, 0, to, Outcome::Success, 0.1)).is_empty());
        assert!(left(bench).is_empty());

        // A place at the entry.
        let mut bench =
            Bench::new(Settings { cancellation_allowed: cancel, tier: 0, ..safe() }, &[entry(1), entry(2)]);
        for id in 100..200 {
            bench.served(id, 0.1);
        }
        let crowd: Vec<_> = (1000..1100).map(|id| (id, sends(&bench.request(id)))).collect();
        let (held, sent): (Vec<_>, Vec<_>) = crowd.into_iter().partition(|(_, sends)| sends.is_empty());
        assert!(!held.is_empty());
        for (id, _) in &held {
            assert!(bench.event(Event::ClientDisconnected(RequestId(*id))).is_empty());
        }
        for (id, to) in sent {
            let seen = bench.end(id, 0, to[0].1, Outcome::Success, 0.1);
            assert!(sends(&seen).is_empty() && !held.iter().any(|(id, _)| refused(&seen, *id)));
        }
        assert!(left(bench).is_empty());
    }
}
