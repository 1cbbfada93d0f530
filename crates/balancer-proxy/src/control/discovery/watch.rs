//! The watch: the sequence of calls that keeps the endpoint list up to date.

use super::Discovery;
use super::client::{CallError, DiscoveryClient, ListRequest};
use super::timing::{Backoff, LastCall, REPEATED_POLL_RESPONSE_TIMEOUT};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Discovery {
    /// Calls discovery without a pause while calls succeed, as discovery would end the watch during a pause.
    /// After a failed call, the next call follows after a backoff. If the decision module schedules the
    /// calls, a failed call ends the watch instead, and the module starts the next watch.
    pub(super) async fn watch(self: Rc<Self>) {
        let mut client = self.new_client();
        let mut backoff = Backoff::new();
        loop {
            let call_start = Instant::now();
            match self.watch_call(client).await {
                Ok(reusable_client) => {
                    client = reusable_client;
                    if !self.list_order.borrow().needs_full_list() {
                        backoff.reset();
                        continue;
                    }
                }
                Err(error) if self.must_poll() => {
                    // The task is cleared before the decision module is notified, as the module may start
                    // the next watch immediately, and `start_watch` does nothing while a task is set.
                    *self.watch_task.borrow_mut() = None;
                    self.report_failure(&error);
                    return;
                }
                Err(error) => {
                    self.report_failure(&error);
                    client = self.new_client();
                }
            }
            tokio::time::sleep_until(backoff.next_call_at(call_start, &self.jitter)).await;
        }
    }

    /// Makes one call of the watch, for changes or for the full list, and returns the client for the next
    /// call. The outcome decides the timing of the next call.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if no valid list arrives before the timeout.
    async fn watch_call(self: &Rc<Self>, client: DiscoveryClient) -> Result<DiscoveryClient, CallError> {
        let request = self.next_request();
        let response_timeout = self.response_timeout(request);
        let outcome = self.call(client, request, response_timeout).await;
        let last_call = if outcome.is_ok() { LastCall::Succeeded } else { LastCall::Failed };
        self.last_call.set(last_call);
        outcome
    }

    /// Returns the next request of the watch.
    fn next_request(&self) -> ListRequest {
        let Some(generation) = self.list_order.borrow().changes_since() else {
            return ListRequest::Full;
        };
        let max_change_wait = self.last_call.get().next_timing().max_change_wait;
        ListRequest::ChangesSince { generation, max_wait: max_change_wait.min(self.max_poll_interval()) }
    }

    /// Returns the response timeout of the next call of the watch. The call that follows a call for the full
    /// list starts sooner than after a repeated poll, as a new address has to be in effect within 4 s.
    fn response_timeout(&self, request: ListRequest) -> Duration {
        let last_call = self.last_call.get();
        let with_jitter = self.jitter.apply(last_call.next_timing().response_timeout);
        let is_repeated_poll = self.must_poll() && last_call == LastCall::Failed;
        match request {
            ListRequest::ChangesSince { .. } if is_repeated_poll => REPEATED_POLL_RESPONSE_TIMEOUT,
            _ => with_jitter,
        }
    }

    /// Returns the longest interval between two polls that the settings allow, which bounds the wait for
    /// a change. After a longer interval the proxy counts as not notified.
    fn max_poll_interval(&self) -> Duration {
        let limit_seconds = self.listener.settings().balancer.endpoint_poll_limit;
        Duration::try_from_secs_f64(limit_seconds).unwrap_or(Duration::MAX)
    }
}
