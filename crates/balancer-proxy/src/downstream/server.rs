//! The server for clients. The server accepts connections, starts a task for each of them, keeps the table of
//! connections, and shuts down gracefully after SIGTERM.

use super::client_listener::ClientListener;
use super::connection_table::ConnectionTable;
use super::connection_task::ConnectionTask;
use super::fair_task::FairTask;
use super::lifecycle::Lifecycle;
use super::request_handler::{Admission, RequestHandler};
use super::shutdown_schedule::ShutdownSchedule;
use crate::control::instance_lock::InstanceLock;
use crate::engine::Engine;
use crate::limits::{Budget, Capacities};
use crate::log;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Pause after a failed `accept`, as the next one may fail immediately, too.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Interval at which connections that have timed out are closed.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The server for clients.
pub struct Server {
    engine: Rc<Engine>,
    handler: Rc<RequestHandler>,
    lifecycle: Rc<Lifecycle>,
    connections: Rc<ConnectionTable>,
    /// The budget for the memory of request bodies that are buffered at the same time, and of long heads.
    request_budget: Rc<Budget>,
    /// The lock that shows whether a second process serves the same address, if the address is shared.
    instance_lock: Option<Rc<InstanceLock>>,
    /// An accepted connection that waits for a slot. The connection is stored here, because a shutdown
    /// cancels the task that accepts connections, and must still serve this one.
    pending: Cell<Option<TcpStream>>,
}

impl Server {
    /// Creates a server that has these capacities and submits requests to `engine`.
    #[must_use]
    pub fn new(
        engine: Rc<Engine>,
        capacities: Capacities,
        instance_lock: Option<Rc<InstanceLock>>,
    ) -> Rc<Self> {
        let lifecycle = Rc::new(Lifecycle::new());
        let request_budget = Budget::new(capacities.request_bytes);
        let handler = RequestHandler::new(engine.clone(), lifecycle.clone(), request_budget.clone());
        Rc::new(Self {
            engine,
            handler: Rc::new(handler),
            lifecycle,
            connections: ConnectionTable::new(capacities.client_connections),
            request_budget,
            instance_lock,
            pending: Cell::new(None),
        })
    }

    /// Returns whether the proxy accepts requests and a backend has been listed.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.handler.is_ready()
    }

    /// Returns the metrics as a line of JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be serialized.
    pub fn metrics_json(&self) -> serde_json::Result<String> {
        self.engine.metrics_json()
    }

    /// Changes the limits on connections and on buffered request bodies.
    pub fn set_capacities(&self, capacities: Capacities) {
        self.connections.set_limit(capacities.client_connections);
        self.request_budget.set_limit(capacities.request_bytes);
        self.engine.set_connection_limit(capacities.backend_connections);
    }

    /// Serves clients until `stop_signal` is ready, then shuts down gracefully: continues to serve clients
    /// for some time, responds to each request that has arrived, and returns.
    pub async fn run(self: Rc<Self>, listener: ClientListener, stop_signal: impl Future<Output = ()>) {
        self.lifecycle.start();
        tokio::select! {
            () = self.accept(&listener) => {}
            () = self.close_timed_out() => {}
            () = self.start_shutdown_on(stop_signal) => {}
        }
        self.serve_accepted(listener);
        self.serve_while_successor_accepts().await;
        self.lifecycle.close_connections();
        tokio::select! {
            () = self.connections.wait_until_empty_or_idle() => {}
            () = self.close_timed_out() => {}
        }
    }

    /// Accepts connections and serves them.
    async fn accept(&self, listener: &ClientListener) {
        loop {
            match listener.accept().await {
                Ok(stream) => self.serve_with_slot(stream).await,
                Err(error) => {
                    log!("accept: cannot accept a client connection: {error}; retrying");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Serves a connection once a slot is free. Other connections are evicted only when a new connection
    /// needs a slot. An evicted connection holds its descriptor until it has closed, and the new connection
    /// waits until then: the descriptors that are reserved for other uses, such as discovery, must stay free.
    async fn serve_with_slot(&self, stream: TcpStream) {
        self.pending.set(Some(stream));
        self.connections.evict_for_new_connection();
        while !self.connections.has_free_slot() {
            self.connections.wait_for_close().await;
            self.connections.evict_for_new_connection();
        }
        self.serve_pending();
    }

    /// Serves the connection that waits for a slot, if a connection waits.
    fn serve_pending(&self) {
        if let Some(stream) = self.pending.take() {
            self.serve(stream);
        }
    }

    /// Adds a connection to the table, and starts the task that serves it.
    fn serve(&self, stream: TcpStream) {
        let slot = self.connections.add();
        let _ = stream.set_nodelay(true); // without this option, responses are slower but correct
        let admission =
            if self.connections.is_served_limit_exceeded() { Admission::Reject } else { Admission::Serve };
        let task = ConnectionTask {
            handler: self.handler.clone(),
            lifecycle: self.lifecycle.clone(),
            connections: self.connections.clone(),
            admission,
            stream: Rc::new(stream),
            slot,
        };
        tokio::task::spawn_local(FairTask::new(task.run()));
    }

    /// Closes connections that time out. Never returns.
    async fn close_timed_out(&self) {
        loop {
            tokio::time::sleep(TIMEOUT_CHECK_INTERVAL).await;
            self.connections.close_timed_out();
        }
    }

    /// Waits for the signal and starts the shutdown. Returns when the server is to stop accepting
    /// connections.
    async fn start_shutdown_on(&self, stop_signal: impl Future<Output = ()>) {
        stop_signal.await;
        let schedule = ShutdownSchedule::new(self.engine.longest_deadline());
        self.lifecycle.start_shutdown(schedule);
        self.engine.set_shutdown_deadline(schedule.response_deadline.into_std());
        log!("balancer-proxy: stopping");
        let has_successor = self.instance_lock.as_ref().is_some_and(|lock| lock.other_is_listening());
        if has_successor {
            self.lifecycle.record_successor();
        } else {
            tokio::time::sleep(schedule.full_service_duration()).await;
        }
    }

    /// Closes the listener, and serves the connections that the proxy has accepted or that were waiting in
    /// the queue of the listener.
    fn serve_accepted(&self, listener: ClientListener) {
        self.serve_pending();
        match listener.close() {
            Ok(streams) => streams.into_iter().for_each(|stream| self.serve(stream)),
            Err(error) => {
                log!("accept: cannot empty the listener's queue, connections in it may be reset: {error}");
            }
        }
    }

    /// Serves the open connections for some time if another process accepts new connections.
    async fn serve_while_successor_accepts(&self) {
        let Some(schedule) = self.lifecycle.shutdown().filter(|_| self.lifecycle.has_successor()) else {
            return;
        };
        tokio::select! {
            () = self.close_timed_out() => {}
            () = self.connections.wait_until_empty() => {}
            () = tokio::time::sleep(schedule.service_duration_with_successor()) => {}
        }
    }
}
