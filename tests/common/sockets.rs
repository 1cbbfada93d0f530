//! The proxy's program between a client, backends and a discovery that the test plays over
//! loopback sockets.

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far beyond what any step takes, on a busy machine too.
pub const LONG: Duration = Duration::from_secs(30);
pub static NEXT: AtomicUsize = AtomicUsize::new(1);

/// A message as read: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// The next message of a connection; None at its end.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream)?;
    message.body = read_body(stream, &message)?;
    Some(message)
}

/// The body that belongs to a head.
pub fn read_body(stream: &mut BufReader<TcpStream>, message: &Message) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if message.header("transfer-encoding") != Some("chunked") {
        body.resize(message.header("content-length").map_or(0, |l| l.parse().unwrap()), 0);
        stream.read_exact(&mut body).ok()?;
        return Some(body);
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let before = body.len();
        body.resize(before + size, 0);
        stream.read_exact(&mut body[before..]).ok()?;
        // The end of the chunk; or, without trailers, of the body.
        line.clear();
        stream.read_line(&mut line).ok()?;
        while size == 0 && !line.trim().is_empty() {
            line.clear();
            stream.read_line(&mut line).ok()?;
        }
        if size == 0 {
            return Some(body);
        }
    }
}

/// The head of the next message; None at the end.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    while stream.read_line(&mut line).ok()? > 0 {
        let text = line.trim_end().to_string();
        line.clear();
        if message.first.is_empty() {
            message.first = text;
        } else if let Some((name, value)) = text.split_once(": ") {
            message.headers.push((name.to_lowercase(), value.to_string()));
        } else if text.is_empty() {
            return Some(message);
        }
    }
    None
}

pub fn answer(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What a played server does with a request, given how many it has had before.
pub enum Play {
    Answer(String),
    /// Writes the first, and the second after that time.
    AnswerThen(String, Duration, String),
    /// Answers, then closes without having said so, and tells.
    AnswerAndClose(String, Sender<()>),
    /// Closes without an answer.
    Close,
    /// Says nothing; tells when the other side ends the connection.
    Silence(Sender<()>),
}

/// A server that the test plays.
pub struct Played {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicUsize>,
}

impl Played {
    pub fn new(play: impl Fn(usize, &Message) -> Play + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let played = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let (requests, connections) = (played.requests.clone(), played.connections.clone());
        let play = Arc::new(play);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, play) = (requests.clone(), play.clone());
                std::thread::spawn(move || serve(stream, &requests, &*play));
            }
        });
        played
    }

    /// A server that does as it likes with each connection.
    pub fn raw(play: impl Fn(&mut BufReader<TcpStream>) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let played = Self { address, requests: Arc::default(), connections: Arc::default() };
        let connections = played.connections.clone();
        let play = Arc::new(play);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let play = play.clone();
                std::thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    play(&mut stream);
                    // Not by dropping it: a process that is just being started has a copy.
                    let _ = stream.get_mut().shutdown(Shutdown::Both);
                });
            }
        });
        played
    }

    /// A server that answers all with 200 and its name.
    pub fn good(name: &'static str) -> Self {
        Self::new(move |_, _| Play::Answer(answer("200 OK", name)))
    }

    /// The same, but its first answer waits until it is let go.
    pub fn held(name: &'static str) -> (Self, Sender<()>) {
        let (release, held) = channel();
        let held = Mutex::new(held);
        let played = Self::new(move |before, _| {
            if before == 0 {
                held.lock().unwrap().recv_timeout(LONG).unwrap();
            }
            Play::Answer(answer("200 OK", name))
        });
        (played, release)
    }

    pub fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

pub fn serve(stream: TcpStream, requests: &Mutex<Vec<Message>>, play: &dyn Fn(usize, &Message) -> Play) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let before = {
            let mut requests = requests.lock().unwrap();
            requests.push(message.clone());
            requests.len() - 1
        };
        match play(before, &message) {
            Play::Answer(text) => drop(stream.get_mut().write_all(text.as_bytes())),
            Play::AnswerThen(text, wait, more) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                std::thread::sleep(wait);
                let _ = stream.get_mut().write_all(more.as_bytes());
            }
            Play::AnswerAndClose(text, closed) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                // Not by dropping it: a process that is just being started has a copy.
                stream.get_mut().shutdown(Shutdown::Both).unwrap();
                let _ = closed.send(());
                return;
            }
            Play::Close => return drop(stream.get_mut().shutdown(Shutdown::Both)),
            Play::Silence(ended) => {
                let _ = stream.read(&mut [0]);
                let _ = ended.send(());
                return;
            }
        }
    }
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "window": 5.0, "on-time": 20.0,
               "hard-limit": 20.0, "late-worth": 0.0, "worth": 1.0, "stream": false})
    };
    json!({
        "caps": {"cancel": true, "connect-timeout": 5.0, "idle-close": 30.0, "max-attempts": 4,
                 "max-open": 1000, "max-retry-after": 1.0, "probing": true, "retry-after": true,
                 "second-copies": true},
        "classes": [class("look", "free"), class("save", "guarded"), class("order", "single_shot")],
        "me": 0, "n-instances": 1, "quantum": 0.005, "registry-mode": "automatic",
        "projects": [{"name": "acme", "quota-per-s": 100.0, "share": 1.0}],
        "rules": {"ask-within": 10.0, "cold": 5.0, "cold-share": 0.2, "drain-grace": 1.0,
                  "fall-multiple": 3.0, "tip-after": 1.0},
        "stats": {"fields": [], "how": "off"}, "tier": 1, "zone": "a", "zones": ["a"]
    })
}

pub fn entry(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m",
           "cell": 0, "lifecycle": state, "weight": 1.0, "startedAtMs": 0})
}

pub fn list(generation: u64, reset: bool, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": entries})
}

/// A discovery that has nothing new.
pub fn quiet() -> Played {
    Played::new(|_, _| Play::Silence(channel().0))
}

pub struct Proxy {
    pub child: Child,
    path: PathBuf,
    pub address: SocketAddr,
    pub management: Option<SocketAddr>,
    /// What it has logged since it listens.
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Proxy {
    pub fn start(settings: &Value, known: &Value, discovery: SocketAddr) -> Self {
        Self::with(&config_of(settings, known), discovery)
    }

    pub fn with(config: &Value, discovery: SocketAddr) -> Self {
        let (command, path) = command(&config.to_string(), discovery);
        Self::run(command, path)
    }

    fn run(mut command: Command, path: PathBuf) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut management = None;
        let address = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "it has ended");
            let told = line.trim().strip_prefix("balancer-proxy: ").unwrap_or_default();
            match told.split_once(" on ") {
                Some(("listening", address)) => break address.parse().unwrap(),
                Some(("management", address)) => management = Some(address.parse().unwrap()),
                _ => {} // something that it has to complain of
            }
        };
        // Its log is read on, lest it block.
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen = lines.clone();
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| seen.lock().unwrap().push(line));
        });
        Self { child, path, address, management, log: lines }
    }

    /// One that the system lets have so many descriptors, which is what it is told.
    pub fn with_descriptors(config: &Value, discovery: SocketAddr, descriptors: usize) -> Self {
        let mut config = config.clone();
        config["limits"]["sockets"] = json!(descriptors);
        let (told, path) = command(&config.to_string(), discovery);
        let mut limited = Command::new("sh");
        limited.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\"")]).arg(told.get_program());
        for (name, value) in told.get_envs() {
            limited.env(name, value.unwrap_or_default());
        }
        Self::run(limited, path)
    }

    /// How many descriptors it holds.
    pub fn held(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// One that knows these backends, with a second address.
    pub fn managed(backends: &[&Played]) -> Self {
        let mut config = config_of(&settings(), &known(backends));
        config["management"] = json!("127.0.0.1:0");
        Self::with(&config, quiet().address)
    }

    pub fn connect_management(&self) -> BufReader<TcpStream> {
        connect(self.management.expect("a second address"))
    }

    /// What a call to the second address is answered, to the end of the connection.
    pub fn call(&self, line: &str) -> String {
        let mut stream = self.connect_management();
        stream.get_mut().write_all(line.as_bytes()).unwrap();
        let _ = stream.get_mut().shutdown(Shutdown::Write); // it may have been closed already
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// The figures.
    pub fn figures(&self) -> Value {
        let text = self.call("stats\n");
        let figures = text.strip_suffix("\nEND\n").expect(&text);
        serde_json::from_str(figures).unwrap()
    }

    /// Replaces the file of its configuration.
    pub fn configure(&self, config: &Value) {
        self.configure_as(&config.to_string());
    }

    pub fn configure_as(&self, text: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, &self.path).unwrap();
    }

    /// One that knows these backends, with plain settings.
    pub fn before(backends: &[&Played]) -> Self {
        Self::start(&settings(), &known(backends), quiet().address)
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        connect(self.address)
    }

    pub fn ask(&self, text: &str) -> Message {
        ask(&mut self.connect(), text)
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Lets `meanwhile` happen while the process stands still. It has stopped when that begins.
    pub fn stands_still<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        wait_for("standstill", || state().rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T')));
        let happened = meanwhile();
        self.signal("-CONT");
        happened
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn known(backends: &[&Played]) -> Value {
    let named = |(i, b): (usize, &&Played)| entry(&format!("s-{i}"), b.address, "SERVING");
    list(1, true, &backends.iter().enumerate().map(named).collect::<Vec<_>>())
}

pub fn config_of(settings: &Value, known: &Value) -> Value {
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192,
           "sockets": 1024}, "known": known, "settings": settings})
}

pub fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    BufReader::new(stream)
}

pub fn entry_of(id: &str, backend: &Played, state: &str) -> Value {
    entry(id, backend.address, state)
}

/// An empty folder of its own for a process's files.
fn folder(number: usize) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}.d", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder); // of a test of long ago
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// An address and a folder for processes that replace one another.
pub struct Place {
    listen: SocketAddr,
    folder: PathBuf,
}

impl Place {
    /// The address is one that the system gives to nobody by itself.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let [.., high, low] = std::process::id().to_be_bytes();
        let listen = SocketAddr::from(([127, 77, high, low], 20_000 + number as u16 % 10_000));
        Self { listen, folder: folder(number) }
    }

    /// A file that the processes share.
    pub fn file(&self, kind: &str) -> PathBuf {
        self.folder.join(format!("dewpier-{}", self.listen)).with_added_extension(kind)
    }

    /// Takes the folder away.
    pub fn remove_folder(&self) {
        std::fs::remove_dir_all(&self.folder).unwrap();
    }

    /// A process with a second address of its own.
    pub fn start(&self, config: &Value) -> Proxy {
        self.start_with(config, quiet().address)
    }

    pub fn start_with(&self, config: &Value, discovery: SocketAddr) -> Proxy {
        let mut config = config.clone();
        config["management"] = json!("127.0.0.1:0");
        let (command, path) = self.command(&config, discovery);
        Proxy::run(command, path)
    }

    /// The same, without a wait until it listens.
    pub fn spawn(&self, config: &Value, discovery: SocketAddr) -> Child {
        self.command(config, discovery).0.stderr(Stdio::null()).spawn().unwrap()
    }

    /// A process that goes by the same file as another one.
    pub fn start_beside(&self, other: &Proxy) -> Proxy {
        let (mut command, _) = self.command(&Value::Null, quiet().address);
        command.env("RELAY_CONFIG", &other.path);
        Proxy::run(command, other.path.clone())
    }

    fn command(&self, config: &Value, discovery: SocketAddr) -> (Command, PathBuf) {
        let (mut command, path) = command(&config.to_string(), discovery);
        command.env("RELAY_LISTEN", self.listen.to_string()).env("TMPDIR", &self.folder);
        (command, path)
    }
}

/// The program, and the file of its configuration.
pub fn command(config: &str, discovery: SocketAddr) -> (Command, PathBuf) {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("{}-{}.json", std::process::id(), number);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_balancer-proxy"));
    command.env("RELAY_CONFIG", &path).env("RELAY_LISTEN", "127.0.0.1:0");
    command.env("RELAY_DISCOVERY", discovery.to_string());
    command.env("TMPDIR", folder(number));
    (command, path)
}

pub fn ask(stream: &mut BufReader<TcpStream>, text: &str) -> Message {
    stream.get_mut().write_all(text.as_bytes()).unwrap();
    read(stream).expect("an answer")
}

/// A request of a class, with some milliseconds left.
pub fn request(class: &str, left: u64) -> String {
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let (method, key) = match class {
        "look" => ("GET", ""),
        "save" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         {key}Cookie: sid=7f3a9c21e0b4d655\r\nX-Remaining-Ms: {left}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// A request of a class with another body, the framing of which is given.
pub fn with_body(class: &str, framing: &str) -> String {
    request(class, 9000).replace("Content-Length: 4\r\n\r\nbody", framing)
}

pub fn wait_for(what: &str, mut seen: impl FnMut() -> bool) {
    let start = Instant::now();
    while !seen() {
        assert!(start.elapsed() < LONG, "no {what} in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn heard(ended: &Receiver<()>) {
    ended.recv_timeout(LONG).expect("the connection is ended");
}

/// A backend whose connections come up only once it accepts: there is room for one that waits, and
/// that one has come.
pub struct Late {
    listener: TcpListener,
    pub address: SocketAddr,
    first: Option<TcpStream>,
}

impl Late {
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        let mut late = Self::not_yet();
        late.fill();
        late
    }

    /// One whose connections come up until it is filled.
    pub fn not_yet() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        Self { listener, address, first: None }
    }

    /// From now on they don't.
    pub fn fill(&mut self) {
        self.first = Some(TcpStream::connect(self.address).unwrap());
    }

    /// The next connection that has come up.
    pub fn accept(&self) -> BufReader<TcpStream> {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        BufReader::new(stream)
    }

    /// Someone is connecting to it.
    pub fn called(&self) -> bool {
        sockets_in(self.address.port(), SYN_SENT) > 0
    }

    /// Accepts all that come while someone is connecting, and returns what they write.
    pub fn texts(&self) -> Vec<String> {
        let mut texts = Vec::new();
        self.listener.set_nonblocking(true).unwrap();
        wait_for("no one connecting", || {
            let called = self.called();
            while let Ok((mut stream, _)) = self.listener.accept() {
                let mut text = [0; 4096];
                stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
                stream.set_nonblocking(false).unwrap();
                let length = stream.read(&mut text).unwrap_or(0);
                texts.extend(
                    Some(String::from_utf8_lossy(&text[..length]).into_owned()).filter(|t| !t.is_empty()),
                );
            }
            !called
        });
        texts
    }
}

pub const ESTABLISHED: &str = "01";
pub const SYN_SENT: &str = "02";
pub const CLOSE_WAIT: &str = "08";

/// Sockets in this state whose other side is at this port.
pub fn sockets_in(port: u16, state: &str) -> usize {
    sockets_by(2, port, state)
}

/// Sockets in this state at this port.
pub fn sockets_at(port: u16, state: &str) -> usize {
    sockets_by(1, port, state)
}

/// Sockets in this state from the first of these ports to the second: one side of a connection,
/// whatever other connections the machine has.
pub fn sockets_between(ports: [u16; 2], state: &str) -> usize {
    sockets(state, |ends| ends == ports)
}

fn sockets_by(column: usize, port: u16, state: &str) -> usize {
    sockets(state, |ends| ends[column - 1] == port)
}

/// Sockets in this state whose ports, this side's and the other's, are wanted.
fn sockets(state: &str, wanted: impl Fn([u16; 2]) -> bool) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).map(|row| row.split_whitespace().collect::<Vec<_>>());
    let port = |end: &str| u16::from_str_radix(end.rsplit(':').next().unwrap(), 16).unwrap();
    rows.filter(|row| row[3] == state && wanted([port(row[1]), port(row[2])])).count()
}
