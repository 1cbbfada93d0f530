//! The watch: however it dies, what it missed is heard in time, and binds calls already decided.

mod common;

use balancer_proxy::*;
use common::sockets::*;
use common::{Bench, plain, safe};
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

/// A discovery that closes some calls, swallows one, just after which it has the news, begins the
/// answer to the next and stops half way, and answers the one after that. Its first call of all is
/// answered with what is known. Tells when calls came, and which ones.
fn returning(closed: usize, half: &'static str, known: String, news: String) -> (Played, Calls) {
    let calls: Calls = Arc::default();
    let seen = calls.clone();
    let discovery = Played::raw(move |stream| {
        while let Some(message) = read(stream) {
            let nth = {
                let mut seen = seen.lock().unwrap();
                seen.push((Instant::now(), message.first));
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
                let (old, new) = (Played::good("old"), Played::good("new"));
                let entries = [entry("s-0", old.address, "DRAINING"), entry("s-1", new.address, "SERVING")];
                let news = answer("200 OK", &list(2, false, &entries).to_string());
                let had = answer("200 OK", &known(&[&old]).to_string());
                let (discovery, calls) = returning(closed, HALVES[seed % 2], had, news);
                let mut settings = settings();
                settings["registry-mode"] = json!(mode);
                settings["rules"]["ask-within"] = json!(60.0);
                let mut config = config_of(&settings, &known(&[&old]));
                config["seed"] = json!(format!("{seed:x}"));
                let proxy = Proxy::with(&config, discovery.address);
                if mode == "subscribe" {
                    // It asks for the list when its discovery moves, and else some time within 30 s.
                    config["discovery"] = json!(discovery.address.to_string());
                    proxy.configure(&config);
                    proxy.signal("-HUP");
                }
                wait_for("list", || calls.lock().unwrap().len() >= closed + 5);
                let at = |nth: usize| calls.lock().unwrap()[nth].0;
                let took = at(closed + 3) - at(closed + 1);
                assert!(took < Duration::from_secs(6), "{mode}, {closed} closed, seed {seed}: {took:?}");
                for _ in 0..5 {
                    assert_eq!(proxy.ask(&request("look", 9000)).body, b"new", "{mode}");
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
            let settings = Settings { must_poll_endpoints: true, endpoint_poll_limit: ask_within, ..safe() };
            let mut bench = Bench::seeded(seed, settings, &[common::entry(1)]);
            bench.run_to(ask_within);
            bench.event(Event::Endpoints(EndpointUpdate::Failed));
            // What was missed counts as told 6 s after the watch fell silent, 2.3 s before this.
            assert!(
                plain(bench.run_to(ask_within + 1.6)).contains(&Action::WatchEndpoints(true)),
                "{ask_within}"
            );
        }
    }
}

/// The longest that a call takes to fail, the first time and after a failure.
const CALL: [Time; 2] = [2.25, 1.98];

#[test]
fn two_calls_that_take_long_to_fail_leave_time_for_a_third_within_6_s() {
    for ask_within in [1.0, 10.0, 60.0] {
        for seed in 0..200 {
            let settings = Settings { must_poll_endpoints: true, endpoint_poll_limit: ask_within, ..safe() };
            let mut bench = Bench::seeded(seed, settings, &[common::entry(1)]);
            bench.run_to(ask_within);
            // So many fail at once before the one that is swallowed as discovery returns.
            for refused in 0..10 {
                let first = bench.now;
                for _ in 0..refused {
                    next_call(&mut bench);
                }
                let start = bench.now;
                bench.run_to(start + CALL[refused.min(1)]);
                next_call(&mut bench);
                bench.run_to(bench.now + CALL[1]);
                next_call(&mut bench);
                let took = bench.now - start;
                assert!(took < 5.25, "{ask_within}, seed {seed}, {refused} refused: {took}");
                // The first of them follows soon, the others a second apart.
                assert!(start - first >= 0.5 * refused.saturating_sub(1) as f64, "{start} {first}");
                bench.event(Event::Endpoints(EndpointUpdate::Changes(&[])));
                bench.run_to(bench.now + ask_within);
            }
        }
    }
}

/// The call in progress fails, and the next one begins.
fn next_call(bench: &mut Bench) {
    bench.event(Event::Endpoints(EndpointUpdate::Failed));
    let (at, _) = *bench.timers.last().expect("a timer");
    assert!(plain(bench.run_to(at)).contains(&Action::WatchEndpoints(true)));
}

#[test]
fn balancers_whose_calls_fail_at_the_same_time_do_not_call_again_together() {
    let again = |seed| {
        let settings = Settings { must_poll_endpoints: true, ..safe() };
        let mut bench = Bench::seeded(seed, settings, &[common::entry(1)]);
        bench.run_to(10.0);
        [next_call(&mut bench), next_call(&mut bench)].map(|()| bench.now)
    };
    let mut times: Vec<[Time; 2]> = (0..200).map(again).collect();
    for nth in 0..2 {
        times.sort_by(|a, b| a[nth].total_cmp(&b[nth]));
        // A third of them takes longer than a twentieth of a second.
        let soonest = times.windows(67).map(|few| few[66][nth] - few[0][nth]).fold(f64::INFINITY, f64::min);
        assert!(soonest > 0.05, "{nth}: {soonest}");
    }
}
