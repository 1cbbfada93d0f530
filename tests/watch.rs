//! The watch: however it dies, what it missed is heard in time, and binds calls already decided.

mod common;

use common::sockets::*;
use common::{Bench, plain, safe};
use gannetproxy::*;
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
) -> (Played, Arc<Mutex<Vec<String>>>) {
    let calls: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = calls.clone();
    let discovery = Played::raw(move |stream| {
        while let Some(message) = read(stream) {
            let before = {
                let mut seen = seen.lock().unwrap();
                seen.push(message.first);
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
                let (old, new) = (Played::good("old"), Played::good("new"));
                let entries = [entry("s-0", old.address, "DRAINING"), entry("s-1", new.address, "SERVING")];
                // Indented, as lists may come.
                let news = serde_json::to_string_pretty(&list(2, false, &entries)).unwrap();
                let (discovery, calls) = failing(fault, answer("200 OK", &news));
                let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
                let start = Instant::now();
                wait_for("list", || calls.lock().unwrap().len() >= 3);
                assert!(start.elapsed() < Duration::from_secs(6), "{name}: {:?}", start.elapsed());
                for _ in 0..5 {
                    assert_eq!(proxy.ask(&request("look", 9000)).body, b"new", "{name}");
                }
                assert!(calls.lock().unwrap()[2].contains("since=2&"), "{name}");
            });
        }
    });
}

#[test]
fn changes_that_count_anew_hold_and_the_whole_list_is_asked_for() {
    // The list had is of version 1; the one that tells of 0 has begun again.
    for (generation, whole) in [(0, true), (1, false), (2, false)] {
        let (old, new) = (Played::good("old"), Played::good("new"));
        let entries = [entry("s-0", old.address, "DRAINING"), entry("s-1", new.address, "SERVING")];
        let news = answer("200 OK", &list(generation, false, &entries).to_string());
        let (discovery, calls) = failing(|_| {}, news);
        let proxy = Proxy::start(&settings(), &known(&[&old]), discovery.address);
        wait_for("list", || calls.lock().unwrap().len() >= 3);
        assert_eq!(proxy.ask(&request("look", 9000)).body, b"new", "{generation}");
        let next = calls.lock().unwrap()[2].clone();
        assert_eq!(next.starts_with("GET /api/targets HTTP"), whole, "{generation}: {next}");
    }
}

#[test]
fn a_call_decided_before_the_news_is_not_sent_after_its_grace() {
    let backend = Late::new();
    // Its drain is told once the test says so.
    let drains = Arc::new(AtomicUsize::new(0));
    let told = drains.clone();
    let news = list(2, false, &[entry("s-0", backend.address, "DRAINING")]).to_string();
    let discovery = Played::new(move |_, message| {
        if message.first.contains("since=2&") {
            told.store(2, Ordering::SeqCst);
            return Play::Silence(std::sync::mpsc::channel().0);
        }
        while told.load(Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        Play::Answer(answer("200 OK", &news))
    });
    let mut settings = settings();
    settings["caps"]["connect-timeout"] = json!(20.0);
    let known = list(1, true, &[entry("s-0", backend.address, "SERVING")]);
    let proxy = Proxy::start(&settings, &known, discovery.address);
    let mut stream = proxy.connect();
    stream.get_mut().write_all(request("order", 9000).as_bytes()).unwrap();
    wait_for("call", || backend.called());
    drains.store(1, Ordering::SeqCst);
    wait_for("news", || drains.load(Ordering::SeqCst) == 2);
    // The grace is 1 s.
    std::thread::sleep(Duration::from_millis(1100));
    let texts = backend.texts();
    assert!(texts.is_empty(), "{texts:?}");
    assert_eq!(read(&mut stream).expect("an answer").status(), 503);
}

#[test]
fn a_call_for_the_list_that_failed_is_soon_made_again_however_rarely_it_must_be_asked_for() {
    for ask_within in [1.0, 10.0, 60.0] {
        for seed in 0..20 {
            let settings = Settings { must_watch: true, ask_within, ..safe() };
            let mut bench = Bench::seeded(seed, settings, &[common::entry(1)]);
            bench.run_to(ask_within);
            bench.event(Event::List(ListUpdate::Refused));
            // What was missed counts as told 6 s after the watch fell silent, 2.3 s before this.
            assert!(plain(bench.run_to(ask_within + 1.6)).contains(&Action::Watch(true)), "{ask_within}");
        }
    }
}
