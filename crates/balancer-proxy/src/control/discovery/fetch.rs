//! One call to discovery: its task, its timeout, and the use of the list in its response.

use super::Discovery;
use super::client::{CallError, DiscoveryClient, ListRequest};
use super::list_order::{CallStart, ListAge, ListExtent};
use super::timing::SINGLE_CALL_TIMEOUT;
use crate::control::endpoint_list::RawEndpointList;
use crate::log;
use crate::watch_event::WatchEvent;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

impl Discovery {
    /// Starts a task that fetches the full list once, independently of the watch.
    pub fn fetch_full_list(self: &Rc<Self>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let address = this.address.get();
            let response_timeout = this.jitter.apply(SINGLE_CALL_TIMEOUT);
            let outcome = this.call(this.new_client(), ListRequest::Full, response_timeout).await;
            if let Err(error) = outcome
                && this.address.get() == address
            {
                this.report_failure(&error);
            }
        });
    }

    /// Creates a client without a connection.
    pub(super) fn new_client(&self) -> DiscoveryClient {
        DiscoveryClient::new(self.address.get(), self.list_budget.clone())
    }

    /// Makes a call, and waits until the list in the response has been applied. Returns the client for the
    /// next call.
    ///
    /// A call that exceeds the timeout goes on for as long as a sound discovery may take, and its list is applied
    /// when the list arrives. A failure after the timeout is not reported again.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no valid list has arrived before the timeout, which is the sum of
    /// `response_timeout` and the longest wait for a change that the request allows.
    pub(super) async fn call(
        self: &Rc<Self>,
        client: DiscoveryClient,
        request: ListRequest,
        response_timeout: Duration,
    ) -> Result<DiscoveryClient, CallError> {
        let this = self.clone();
        let call_start = self.list_order.borrow().begin_call();
        let (outcome_sender, outcome) = oneshot::channel();
        self.calls.start(async move {
            let response = client.fetch(request).await;
            let result = response.map(|(client, list)| {
                if outcome_sender.is_closed() {
                    this.apply_late_list(list, call_start);
                } else {
                    this.apply_list(list, call_start);
                }
                client
            });
            // Fails if the caller no longer waits.
            let _ = outcome_sender.send(result);
        });
        let timeout = request.max_wait() + response_timeout;
        match tokio::time::timeout(timeout, outcome).await {
            Ok(Ok(result)) => result,
            // The sender is dropped only if the call was ended: for another call, or for a new address.
            Ok(Err(_)) | Err(_) => Err(CallError::Timeout),
        }
    }

    /// Applies a list that has arrived after the timeout of its call. If the list is the first to show that the
    /// full list has to be requested, the watch starts again to request it now, as its call in progress asks for
    /// changes.
    fn apply_late_list(self: &Rc<Self>, list: RawEndpointList, call_start: CallStart) {
        log!("discovery: a response from {} came late", self.address.get());
        let needed_full_list = self.list_order.borrow().needs_full_list();
        self.apply_list(list, call_start);
        if !needed_full_list && self.list_order.borrow().needs_full_list() {
            self.stop_watch();
            self.start_watch();
        }
    }

    /// Passes the list in the response to the call with this start on to the listener, unless the list is
    /// older than the current one.
    fn apply_list(&self, list: RawEndpointList, call_start: CallStart) {
        self.has_responded.send_replace(true);
        let extent = if list.reset { ListExtent::Full } else { ListExtent::Changes };
        let age = self.list_order.borrow_mut().accept(list.generation, extent, call_start);
        if age == ListAge::Outdated {
            log!(
                "discovery: dropped a list of generation {}, which is older than the current list",
                list.generation
            );
            return;
        }

        let endpoints = self.translate(list.instances);
        let event = match extent {
            ListExtent::Full => WatchEvent::Full(endpoints),
            ListExtent::Changes => WatchEvent::Changes(endpoints),
        };
        self.listener.on_watch_event(event);
        self.names.borrow_mut().retain_backends(|id| self.listener.is_backend_in_use(id));
    }
}
