//! Two ends in one beat: the process stands still while both come about, and goes on to find them.
//! Whichever it takes for the first, each request has one answer, one outcome and one count.

mod common;

use common::configuration::{default_settings, endpoint_list, listed_endpoint, request};
use common::http::{exchange, read_message, response};
use common::late_server::LateServer;
use common::proxy_process::ProxyProcess;
use common::stub_server::{Reply, StubServer, silent_discovery};
use common::waiting::{TEST_TIMEOUT, wait_for};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Duration;

/// A request with so many milliseconds left, and what is to happen while the process stands still.
fn play(left: u64, class: &str, meanwhile: impl FnOnce(&dyn Fn(), &mut Option<BufReader<TcpStream>>)) {
    let (release, held) = channel::<()>();
    let held = Mutex::new(held);
    let (done, answered) = channel();
    let done = Mutex::new(done);
    let backend = StubServer::with_connection_handler(move |stream| {
        while read_message(stream).is_some() {
            let _ = held.lock().unwrap().recv_timeout(TEST_TIMEOUT);
            let _ = stream.get_mut().write_all(response("200 OK", "hello").as_bytes());
            let _ = done.lock().unwrap().send(());
        }
    });
    let proxy = ProxyProcess::with_management(&[&backend]);
    let mut stream = Some(proxy.connect());
    stream.as_mut().unwrap().get_mut().write_all(request(class, left).as_bytes()).unwrap();
    wait_for("attempt", || proxy.stats()["forwards"] == 1);
    proxy.signal("-STOP");
    let answers = || {
        release.send(()).unwrap();
        answered.recv_timeout(TEST_TIMEOUT).unwrap();
    };
    meanwhile(&answers, &mut stream);
    proxy.signal("-CONT");
    let status = stream.as_mut().map(|stream| read_message(stream).expect("an answer").status());
    wait_for("end", || proxy.stats()["outstanding"] == 0);
    let counted = proxy.stats()["results"][class].clone();
    let counts: Vec<_> =
        ["succeeded", "declined", "aborted"].map(|kind| counted[kind].as_u64().unwrap()).into();
    match status {
        Some(200) => assert_eq!(counts, [1, 0, 0]),
        Some(429 | 503) => assert_eq!(counts, [0, 1, 0]),
        Some(_) => assert_eq!(counts, [0, 0, 1]),
        // A client that has left is counted once or not at all.
        None => assert!(counts.iter().sum::<u64>() <= 1),
    }
    assert_eq!(proxy.stats()["forwards"], json!(1), "an unsafe request goes out once");
    // Nothing more comes of it on its connection, and the proxy goes on.
    drop(release);
    if let Some(mut stream) = stream {
        let mut ready = || exchange(&mut stream, "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n").status();
        assert_eq!(ready(), 200);
    }
    assert_eq!(proxy.exchange(&request("look", 9000)).status(), 200);
}

#[test]
fn an_answer_that_comes_as_the_time_of_its_request_ends() {
    play(1000, "order", |answers, _| {
        answers();
        std::thread::sleep(Duration::from_millis(1200));
    });
    play(1000, "order", |answers, _| {
        std::thread::sleep(Duration::from_millis(1200));
        answers();
    });
}

#[test]
fn an_answer_that_comes_as_its_client_leaves() {
    play(9000, "order", |answers, stream| {
        answers();
        *stream = None;
    });
    play(9000, "order", |answers, stream| {
        *stream = None;
        answers();
    });
}

#[test]
fn a_client_that_leaves_as_the_time_of_its_request_ends() {
    play(1000, "order", |_, stream| {
        *stream = None;
        std::thread::sleep(Duration::from_millis(1200));
    });
}

#[test]
fn a_keyed_repeat_whose_connection_comes_up_after_its_window_is_never_written() {
    // The first attempt breaks off, wherever it went; the repeat's connection is late.
    let (late, breaking) = (LateServer::with_full_backlog(), StubServer::new(|_, _| Reply::Close));
    let mut settings = default_settings();
    settings["caps"]["connect-timeout"] = json!(20.0);
    settings["classes"][1]["window"] = json!(2.0);
    let entries = [
        listed_endpoint("s-0", late.address, "SERVING"),
        listed_endpoint("s-1", breaking.address, "SERVING"),
    ];
    let mut crossed = 0;
    // Which of the two members is the first is drawn; that it is the late one each time is next to
    // impossible.
    for _ in 0..20 {
        let proxy =
            ProxyProcess::start(&settings, &endpoint_list(1, true, &entries), silent_discovery().address);
        let before = breaking.request_count();
        let mut stream = proxy.connect();
        // Its timer fires 1.6 s after it came, well inside the window, and it has 4 s in all.
        stream.get_mut().write_all(request("save", 4000).as_bytes()).unwrap();
        wait_for("attempt", || late.has_pending_connection());
        if breaking.request_count() == before {
            continue; // the late one was the first: it would be written in time
        }
        crossed += 1;
        // The repeat is given up at the end of the window, with the request's time not over.
        let start = std::time::Instant::now();
        let status = read_message(&mut stream).expect("an answer").status();
        assert_eq!(status, 503, "a repeat of it by its client does no harm");
        assert!(start.elapsed() < Duration::from_millis(1200), "{:?}", start.elapsed());
        assert_eq!(late.accept_all(), Vec::<String>::new());
        break;
    }
    assert_eq!(crossed, 1);
}
