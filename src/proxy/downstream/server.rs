//! The clients' side: the listener, requests and their answers, readiness and the graceful stop.

use super::connections::{self, ClientConnection, ClientConnections, ClientSocket, ConnectionSlot};
use super::request::{self, RequestError};
use super::response::ResponseBody;
use crate::RequestId;
use crate::log;
use crate::proxy::control::instance_lock::InstanceLock;
use crate::proxy::engine::{Engine, FinalResponse};
use crate::proxy::limits::{Budget, Capacities, MAX_HEAD_BYTES};
use crate::proxy::upstream::response_body::ResponseContent;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// SIGKILL follows SIGTERM after the longest deadline, or this if that is less,
const LONGEST: Duration = Duration::from_secs(3);
/// and so much more.
const MORE: Duration = Duration::from_millis(700);
/// What is taken after SIGTERM is answered so long before SIGKILL.
const SPARE: Duration = Duration::from_millis(200);
/// Part of the time from SIGTERM to SIGKILL in which clients are served as ever, on connections
/// that they have and on new ones. Guards against a time with no proxy at all: in a rolling
/// restart with 3.7 s to SIGKILL, the front took in the proxy stopped before only 2.2 s after the
/// next one's signal, and until then connections that clients have are all that serves them. It
/// could do harm where the time to SIGKILL is much shorter than the operators state, as what is
/// taken late is then lost.
const LINGER: f64 = 0.65;
/// The same where another process takes the new connections: only those that clients have are left,
/// and each carries one more request at most. A close could cross a request, so that they stay open
/// for use, but not so long that what comes last has no time left, nor longer than they would else.
const RELIEVED_LINGER: Duration = Duration::from_secs(1);
/// So many steps with nothing under way, after that, and connections are no longer waited for.
const IDLE_STEPS: usize = 10;
const STEP: Duration = Duration::from_millis(50);
/// How long a connection without a request may take to end once it is to be closed.
const CLOSE_WITHIN: Duration = Duration::from_millis(200);

/// A client whose connection broke sends its request again over another one, perhaps before the
/// end of the first has been read here. For so long that is waited for; then its name is in use.
const CROSSED_WITHIN: Duration = Duration::from_millis(50);
const CROSSED_STEP: Duration = Duration::from_millis(5);

type Answered = Response<ResponseBody>;

/// Answers clients.
pub struct Server {
    engine: Rc<Engine>,
    /// It takes connections.
    listening: Cell<bool>,
    /// The planned stop, if SIGTERM has come.
    stop: Cell<Option<Stop>>,
    /// Idle connections are to be closed.
    closing: watch::Sender<bool>,
    /// The place beside another process, if there may be one.
    seat: Option<Rc<InstanceLock>>,
    /// That process takes the new connections since SIGTERM.
    relieved: Cell<bool>,
    clients: Rc<ClientConnections>,
    /// Accepted, and waiting for a place: a stop must not lose it.
    in_hand: Cell<Option<TcpStream>>,
    /// Room for the bodies of requests.
    bodies: Rc<Budget>,
}

/// A planned stop.
#[derive(Clone, Copy)]
struct Stop {
    /// All answers are out by then.
    last: Instant,
    /// From SIGTERM to SIGKILL.
    notice: Duration,
}

/// Tells the engine that the client has left, if it is dropped before the answer.
struct DisconnectGuard<'a>(&'a Engine, RequestId);

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.0.client_disconnected(self.1);
    }
}

fn plain(status: StatusCode, text: String, client: &Rc<ClientConnection>) -> Answered {
    let mut reply =
        Response::new(ResponseBody::new(ResponseContent::Buffered(text.into()), None, client.clone()));
    *reply.status_mut() = status;
    reply
}

impl Server {
    /// A server that keeps to these caps.
    pub fn new(engine: Rc<Engine>, caps: Capacities, seat: Option<Rc<InstanceLock>>) -> Rc<Self> {
        Rc::new(Self {
            engine,
            listening: Cell::new(false),
            stop: Cell::new(None),
            closing: watch::Sender::new(false),
            seat,
            relieved: Cell::new(false),
            clients: ClientConnections::new(caps.client_connections),
            in_hand: Cell::new(None),
            bodies: Budget::new(caps.request_body_bytes),
        })
    }

    /// It takes requests, and has backends to send them to.
    pub fn is_ready(&self) -> bool {
        self.engine.has_endpoints() && self.listening.get() && self.stop.get().is_none()
    }

    /// What it has counted, as a line of JSON.
    pub fn metrics_json(&self) -> serde_json::Result<String> {
        self.engine.metrics_json()
    }

    /// SIGTERM has come. What the settings say of the time that is left is settled with that.
    fn begin_stop(&self) -> Stop {
        let longest = Duration::try_from_secs_f64(self.engine.longest_deadline());
        let notice = longest.map_or(LONGEST, |longest| longest.min(LONGEST)) + MORE;
        let stop = Stop { last: Instant::now() + notice - SPARE, notice };
        self.stop.set(Some(stop));
        self.engine.finish_by(stop.last.into_std());
        stop
    }

    /// Serves until `stop`, then goes on for a while, answers all that was taken, and returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        self.listening.set(true);
        let accepting = self.clone().accept(&listener);
        let stopped = async {
            stop.await;
            let stop = self.begin_stop();
            log!("balancer-proxy: stopping");
            self.relieved.set(self.seat.as_ref().is_some_and(|seat| seat.other_is_listening()));
            if !self.relieved.get() {
                tokio::time::sleep(stop.notice.mul_f64(LINGER)).await;
            }
        };
        tokio::select! {
            () = accepting => {}
            () = self.sweep() => {}
            () = stopped => {}
        }
        // What the system has accepted for us is ours to answer too.
        if let Some(stream) = self.in_hand.take() {
            self.clone().serve(stream, self.clients.admit());
        }
        if let Err(error) = self.take_rest(listener) {
            log!("accept: {error}");
        }
        if let Some(stop) = self.stop.get().filter(|_| self.relieved.get()) {
            tokio::select! {
                () = self.sweep() => {}
                () = self.deserted() => {}
                () = tokio::time::sleep(RELIEVED_LINGER.min(stop.notice.mul_f64(LINGER))) => {}
            }
        }
        self.closing.send_replace(true);
        // What has begun to come is waited for as ever: it is owed an answer once it has come whole,
        // and what never does is swept away. Who asks for nothing and stays must not keep us.
        let ended = async {
            let mut idle = 0;
            while !self.clients.is_empty() && idle < IDLE_STEPS {
                self.clients.one_closed(STEP).await;
                idle = if self.clients.busy() { 0 } else { idle + 1 };
            }
        };
        tokio::select! {
            () = ended => {}
            () = self.sweep() => {}
        }
    }

    /// Empties the listener and closes it, with nothing in between: what comes in after the last
    /// look would be reset.
    fn take_rest(self: &Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let listener = listener.into_std()?;
        let mut rest = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            rest.push(stream);
        }
        drop(listener);
        for stream in rest {
            stream.set_nonblocking(true)?;
            self.clone().serve(TcpStream::from_std(stream)?, self.clients.admit());
        }
        Ok(())
    }

    /// Returns once no client is left.
    async fn deserted(&self) {
        while !self.clients.is_empty() {
            self.clients.one_closed(STEP).await;
        }
    }

    /// From now on it keeps to these caps.
    pub fn set_capacities(&self, caps: Capacities) {
        self.clients.set_limit(caps.client_connections);
        self.bodies.set_limit(caps.request_body_bytes);
        self.engine.set_connection_limit(caps.backend_connections);
    }

    async fn sweep(&self) {
        loop {
            tokio::time::sleep(connections::STEP).await;
            self.clients.sweep();
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log!("accept: {error}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            // Waits with one in hand: nobody has to go before another has come. Who has to go has a
            // descriptor until then, and what is not for clients must stay free: discovery could
            // not be called.
            self.in_hand.set(Some(stream));
            self.clients.make_room();
            while self.clients.is_over_limit() {
                self.clients.one_closed(STEP).await;
                self.clients.make_room();
            }
            if let Some(stream) = self.in_hand.take() {
                self.clone().serve(stream, self.clients.admit());
            }
        }
    }

    fn serve(self: Rc<Self>, stream: TcpStream, place: ConnectionSlot) {
        let _ = stream.set_nodelay(true); // it still works if not
        let stream = Rc::new(stream);
        let full = self.clients.is_full();
        tokio::task::spawn_local(async move {
            let (server, client) = (&self, place.client());
            let mut closing = server.closing.subscribe();
            let service = service_fn(|request| async move {
                let mut reply = server.reply(request, client, full).await;
                // What is wrong once is not given another try on the same connection: the rest of
                // it may be anything, and each try has its price.
                let wrong = reply.status().is_client_error();
                let ending = server.relieved.get() || *server.closing.borrow();
                if full || wrong || ending || server.clients.is_half_full() {
                    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(reply)
            });
            let socket = ClientSocket::new(stream.clone(), client.clone());
            let connection = http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(socket), service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                biased; // a request that has come is read before the connection is closed
                () = client.serve_until_disconnect(connection.as_mut(), &stream) => return,
                () = client.closing() => {
                    connection.as_mut().graceful_shutdown();
                    // A request may come whole at the last moment: it is taken then, and answered.
                    while tokio::time::timeout(CLOSE_WITHIN, client.serve_until_disconnect(connection.as_mut(), &stream))
                        .await
                        .is_err()
                        && client.is_busy()
                    {}
                    return;
                }
                () = async {
                    let _ = closing.wait_for(|closing| *closing).await;
                    client.between_requests().await;
                } => {}
            }
            connection.as_mut().graceful_shutdown();
            client.serve_until_disconnect(connection, &stream).await;
        });
    }

    async fn reply(
        &self,
        request: hyper::Request<Incoming>,
        client: &Rc<ClientConnection>,
        full: bool,
    ) -> Answered {
        let head = client.head_received();
        let head_only = request.method() == Method::HEAD;
        let plain = |status, text: &str| plain(status, text.to_string(), client);
        if request.uri().path() == "/-/ready" {
            return match self.is_ready() {
                true => plain(StatusCode::OK, "ready\n"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
        }
        let refusal = |unfit: &RequestError| plain(unfit.status(), &format!("{unfit}\n"));
        let mut asked = match request::read(request, head, self.engine.settings(), &self.bodies).await {
            Ok(asked) => asked,
            Err(unfit) => {
                if let RequestError::NoRoom { class } = &unfit {
                    self.engine.metrics().for_class(class).request_started().finish(unfit.status());
                }
                return refusal(&unfit);
            }
        };
        let tally = self.engine.metrics().for_class(asked.class());
        let (txn, coming) = (asked.txn, asked.coming.clone());
        // One that is coming has not been taken yet.
        let mut taken = coming.is_none().then(|| tally.request_started());
        if coming.is_none() {
            client.request_received();
        }
        let begun = Instant::now();
        while self.engine.client_id_in_use(txn) && begun.elapsed() < CROSSED_WITHIN {
            tokio::time::sleep(CROSSED_STEP).await;
        }
        // From here to the engine nothing is waited for: these are the settings that the module has.
        if let Err(unfit) = asked.keep_to(self.engine.settings()) {
            return refusal(&unfit);
        }
        let (mut request, payload, _room) = asked.into_parts();
        request.timeout -= begun.elapsed().as_secs_f64();
        if let Some(stop) = self.stop.get() {
            // The module is told of the time that the engine keeps to.
            let left = stop.last.saturating_duration_since(Instant::now());
            request.timeout = request.timeout.min(left.as_secs_f64());
        }
        let answer = if full {
            Ok(FinalResponse::Rejected(None))
        } else {
            let Some((id, mut answer)) = self.engine.submit(txn, request, payload) else {
                return plain(StatusCode::BAD_REQUEST, "X-Txn is in use\n");
            };
            let leaving = DisconnectGuard(&self.engine, id);
            let ended = match &coming {
                Some(source) => tokio::select! {
                    biased;
                    answer = &mut answer => Ok(answer),
                    ended = source.finished() => Err(ended),
                },
                None => Err(Ok(())),
            };
            let answer = match ended {
                // Before its body had come whole.
                Ok(answer) => answer,
                Err(Ok(())) => {
                    if coming.is_some() {
                        self.engine.body_received(id);
                        client.request_received();
                        taken = Some(tally.request_started());
                    }
                    answer.await
                }
                Err(Err(cut)) => {
                    drop(leaving);
                    return refusal(&cut.into());
                }
            };
            drop(leaving); // it has had its answer: nothing is told
            answer
        };
        let mut reply = match answer {
            Ok(FinalResponse::Success(served)) => {
                let mut reply =
                    Response::new(ResponseBody::new(served.content, served.length, client.clone()));
                // For HEAD it tells the length of what GET would bring.
                let length = served.headers.get(CONTENT_LENGTH).filter(|_| head_only).cloned();
                *reply.headers_mut() = request::forwardable_headers(served.headers);
                reply.headers_mut().remove("x-pressure");
                length.into_iter().for_each(|l| drop(reply.headers_mut().insert(CONTENT_LENGTH, l)));
                reply
            }
            Ok(FinalResponse::Rejected(wait)) => {
                let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused, try again\n");
                if let Some(wait) = wait.and_then(|w| HeaderValue::from_str(&format!("{w:.3}")).ok()) {
                    reply.headers_mut().insert(RETRY_AFTER, wait);
                }
                reply
            }
            Ok(FinalResponse::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        };
        let status = reply.status();
        let taken = taken.unwrap_or_else(|| tally.request_started());
        reply.body_mut().counts(taken, status);
        reply
    }
}

/// Binds the listener. It is `shared` where another process may listen there too.
pub fn bind(address: std::net::SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => tokio::net::TcpSocket::new_v4()?,
        false => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(1024)
}
