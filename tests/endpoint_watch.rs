//! The watch: however it dies, what it missed is heard in time, and binds calls already decided.

mod common;

use common::configuration::{
    configuration, default_settings, endpoint_list, listed_endpoint, request, serving_list,
};
use common::http::{read_message, response};
use common::late_server::LateServer;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer};
use common::waiting::wait_for;
use serde_json::json;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Holds a connection until the other side ends it.
fn hold(stream: &mut BufReader<TcpStream>) {
    let _ = stream.read(&mut [0]);
}

/// A discovery whose first call ends badly; the second brings the news, whole or as changes, and
/// later ones nothing.
fn failing(
    fault: impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static,
    news: String,
) -> (StubServer, Arc<Mutex<Vec<String>>>) {
    let calls: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = calls.clone();
    let discovery = StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            let before = {
                let mut seen = seen.lock().unwrap();
                seen.push(message.start_line);
                seen.len() - 1
            };
            match before {
                0 => return fault(stream),
                1 => stream.get_mut().write_all(news.as_bytes()).unwrap(),
                _ => hold(stream),
            }
        }
    });
    (discovery, calls)
}

fn say(text: &'static str) -> impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static {
    move |stream| {
        let _ = stream.get_mut().write_all(text.as_bytes());
        hold(stream);
    }
}

#[test]
fn what_a_watch_missed_that_ended_badly_is_heard_before_it_counts_as_told() {
    type Fault = Box<dyn Fn(&mut BufReader<TcpStream>) + Send + Sync>;
    let endless = |head: &'static str, piece: &'static str| -> Fault {
        Box::new(move |stream| {
            let _ = stream.get_mut().write_all(head.as_bytes());
            while stream.get_mut().write_all(piece.as_bytes()).is_ok() {
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    };
    let faults: Vec<(&str, Fault)> = vec![
        ("silent", Box::new(hold)),
        ("closed", Box::new(|_| {})),
        (
            "reset",
            Box::new(|stream| {
                SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            }),
        ),
        ("half a head", Box::new(say("HTTP/1.1 200 OK\r\nContent-Le"))),
        ("half a body", Box::new(say("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2,"))),
        ("an endless head", endless("HTTP/1.1 200 OK\r\n", "X-More: more\r\n")),
        ("an endless body", endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n")),
        ("nonsense", Box::new(say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"))),
        ("an error", Box::new(say("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"))),
    ];
    std::thread::scope(|scope| {
        for (name, fault) in faults {
            scope.spawn(move || {
                let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
                let entries = [
                    listed_endpoint("s-0", old.address, "DRAINING"),
                    listed_endpoint("s-1", new.address, "SERVING"),
                ];
                // Indented, as lists may come.
                let news = serde_json::to_string_pretty(&endpoint_list(2, false, &entries)).unwrap();
                let (discovery, calls) = failing(fault, response("200 OK", &news));
                let proxy =
                    ProxyProcess::start(&default_settings(), &serving_list(&[&old]), discovery.address);
                let start = Instant::now();
                wait_for("list", || calls.lock().unwrap().len() >= 3);
                assert!(start.elapsed() < Duration::from_secs(6), "{name}: {:?}", start.elapsed());
                for _ in 0..5 {
                    assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{name}");
                }
                assert!(calls.lock().unwrap()[2].contains("since=2&"), "{name}");
            });
        }
    });
}

/// A discovery that closes some calls, swallows one, just after which it has the news, begins the
/// answer to the next and stops half way, and answers the one after that. Its first call of all is
/// answered with what is known. Tells when calls came, and which ones.
fn returning(closed: usize, half: &'static str, known: String, news: String) -> (StubServer, Calls) {
    let calls: Calls = Arc::default();
    let seen = calls.clone();
    let discovery = StubServer::with_connection_handler(move |stream| {
        while let Some(message) = read_message(stream) {
            let nth = {
                let mut seen = seen.lock().unwrap();
                seen.push((Instant::now(), message.start_line));
                seen.len()
            };
            match nth.checked_sub(closed + 2) {
                None if nth == 1 => stream.get_mut().write_all(known.as_bytes()).unwrap(),
                None => return,
                Some(0) => return hold(stream),
                Some(1) => return say(half)(stream),
                Some(2) => stream.get_mut().write_all(news.as_bytes()).unwrap(),
                Some(_) => hold(stream),
            }
        }
    });
    (discovery, calls)
}

type Calls = Arc<Mutex<Vec<(Instant, String)>>>;

#[test]
fn a_change_is_heard_within_6_s_of_the_return_by_the_longest_chain_of_faults() {
    const HALVES: [&str; 2] =
        ["HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2,"];
    // Pushed or asked for; so many calls that fail before, so that the waits are at their longest.
    let cases = [("automatic", 0), ("automatic", 7), ("subscribe", 0), ("subscribe", 3)];
    std::thread::scope(|scope| {
        for ((mode, closed), seed) in cases.into_iter().flat_map(|case| [1, 2, 3].map(|seed| (case, seed))) {
            scope.spawn(move || {
                let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
                let entries = [
                    listed_endpoint("s-0", old.address, "DRAINING"),
                    listed_endpoint("s-1", new.address, "SERVING"),
                ];
                let news = response("200 OK", &endpoint_list(2, false, &entries).to_string());
                let had = response("200 OK", &serving_list(&[&old]).to_string());
                let (discovery, calls) = returning(closed, HALVES[seed % 2], had, news);
                let mut settings = default_settings();
                settings["registry-mode"] = json!(mode);
                settings["rules"]["ask-within"] = json!(60.0);
                let mut config = configuration(&settings, &serving_list(&[&old]));
                config["seed"] = json!(format!("{seed:x}"));
                let proxy = ProxyProcess::with_configuration(&config, discovery.address);
                if mode == "subscribe" {
                    // It asks for the list when its discovery moves, and else some time within 30 s.
                    config["discovery"] = json!(discovery.address.to_string());
                    proxy.replace_configuration(&config);
                    proxy.signal("-HUP");
                }
                wait_for("list", || calls.lock().unwrap().len() >= closed + 5);
                let at = |nth: usize| calls.lock().unwrap()[nth].0;
                let took = at(closed + 3) - at(closed + 1);
                assert!(took < Duration::from_secs(6), "{mode}, {closed} closed, seed {seed}: {took:?}");
                for _ in 0..5 {
                    assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{mode}");
                }
                assert!(calls.lock().unwrap()[closed + 4].1.contains("since=2&"), "{mode}");
                // Those that are refused do not become a stream of calls. One that is asked for may
                // come in between, as it does once after the start.
                if closed > 0 && mode == "automatic" {
                    let last = at(closed + 1) - at(closed);
                    assert!(last > Duration::from_millis(400), "{mode}, seed {seed}: {last:?}");
                }
            });
        }
    });
}

#[test]
fn changes_that_count_anew_hold_and_the_whole_list_is_asked_for() {
    // The list had is of version 1; the one that tells of 0 has begun again.
    for (generation, whole) in [(0, true), (1, false), (2, false)] {
        let (old, new) = (StubServer::responding_with("old"), StubServer::responding_with("new"));
        let entries =
            [listed_endpoint("s-0", old.address, "DRAINING"), listed_endpoint("s-1", new.address, "SERVING")];
        let news = response("200 OK", &endpoint_list(generation, false, &entries).to_string());
        let (discovery, calls) = failing(|_| {}, news);
        let proxy = ProxyProcess::start(&default_settings(), &serving_list(&[&old]), discovery.address);
        wait_for("list", || calls.lock().unwrap().len() >= 3);
        assert_eq!(proxy.exchange(&request("look", 9000)).body, b"new", "{generation}");
        let next = calls.lock().unwrap()[2].clone();
        assert_eq!(next.starts_with("GET /api/targets HTTP"), whole, "{generation}: {next}");
    }
}

#[test]
fn a_call_decided_before_the_news_is_not_sent_after_its_grace() {
    let backend = LateServer::with_full_backlog();
    // Its drain is told once the test says so.
    let drains = Arc::new(AtomicUsize::new(0));
    let told = drains.clone();
    let news = endpoint_list(2, false, &[listed_endpoint("s-0", backend.address, "DRAINING")]).to_string();
    let discovery = StubServer::new(move |_, message| {
        if message.start_line.contains("since=2&") {
            told.store(2, Ordering::SeqCst);
            return Reply::Hang;
        }
        while told.load(Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        Reply::Respond(response("200 OK", &news))
    });
    let mut settings = default_settings();
    settings["caps"]["connect-timeout"] = json!(20.0);
    let known = endpoint_list(1, true, &[listed_endpoint("s-0", backend.address, "SERVING")]);
    let proxy = ProxyProcess::start(&settings, &known, discovery.address);
    let mut stream = proxy.connect();
    stream.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
    wait_for("call", || backend.has_pending_connection());
    drains.store(1, Ordering::SeqCst);
    wait_for("news", || drains.load(Ordering::SeqCst) == 2);
    // The grace is 1 s.
    std::thread::sleep(Duration::from_millis(1100));
    let texts = backend.accept_all();
    assert!(texts.is_empty(), "{texts:?}");
    assert_eq!(read_message(&mut stream).expect("an answer").status(), 503);
}
