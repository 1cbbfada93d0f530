//! One exchange of a request and its response on a connection, until the response is complete or must be
//! streamed.

use super::attempt_body::AttemptBody;
use super::body_buffer::BodyBuffer;
use super::body_chunks::BodyChunks;
use super::completion_flag::CompletionFlag;
use super::connection::{Connection, ConnectionOrigin};
use super::exchange_state::{EarlyInput, ExchangeContext};
use crate::limits::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, max_buffered_bytes};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;

/// Longest time for which a response of unknown length is buffered before it is streamed. The client of a
/// long and slow response gets the first bytes after this time.
const MAX_RESPONSE_BUFFERING_TIME: Duration = Duration::from_millis(250);

/// A function that builds the request of an exchange, once for each connection that the request is written
/// to. The function returns `None` if the body cannot be sent again. The request sets the flag once its body
/// has yielded its end.
pub(super) type BuildRequest<'a> = &'a dyn Fn(&CompletionFlag) -> Option<Request<AttemptBody>>;

/// A response with any status.
pub(super) struct ReceivedResponse {
    /// The status and headers.
    pub(super) head: Parts,
    /// The body, as far as it has been received.
    pub(super) body: ReceivedBody,
}

/// The body of a response, as far as it has been received.
pub(super) enum ReceivedBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is too long to be buffered.
    Streamed {
        /// The beginning of the body, as received so far.
        received: BodyChunks,
        /// The source of the rest of the body.
        incoming: Incoming,
    },
}

/// The reason why an exchange has no response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// The last byte of the request was not written: the backend never executes the request, which can be
    /// sent again.
    #[error("the connection ended before the request had been written completely")]
    NotSent,
    /// The backend never executes the request, but its body is consumed and cannot be sent again.
    #[error("the body of the request is consumed and cannot be sent again")]
    BodyConsumed,
    /// The backend may have executed the request.
    #[error("the response is missing, incomplete or invalid")]
    NoValidResponse,
}

/// Sends a request and waits for its response, which is received completely or up to the length that is
/// buffered. A response that stalls before its end, or that has an ambiguous length, is invalid. On a reused
/// connection, data that arrives before a buffered request has been written belongs to an earlier exchange.
///
/// # Errors
///
/// Returns an [`ExchangeError`] that states whether the backend may have executed the request. The connection
/// is unusable after an error.
pub(super) async fn exchange(
    connection: &mut Connection,
    origin: ConnectionOrigin,
    build_request: BuildRequest<'_>,
    context: &ExchangeContext,
) -> Result<ReceivedResponse, ExchangeError> {
    let activity = connection.activity().clone();
    activity.clear();
    let write_state = connection.write_state().clone();
    write_state.start_request(context);
    let mut request = build_request(write_state.end_of_body()).ok_or(ExchangeError::BodyConsumed)?;
    let is_buffered = matches!(request.body(), AttemptBody::Buffered { .. });
    let is_early_input_stale = origin == ConnectionOrigin::Reused && is_buffered;
    let early_input = if is_early_input_stale { EarlyInput::Stale } else { EarlyInput::PartOfResponse };
    write_state.set_early_input(early_input);
    // The final response may follow an informational (1xx) response after any time.
    let informational_activity = activity.clone();
    hyper::ext::on_informational(&mut request, move |_| informational_activity.clear());
    let result = tokio::select! {
        result = send_and_receive(connection, request, &context.request_written) => result,
        () = activity.wait_for_stall() => Err(ExchangeError::NoValidResponse),
    };
    match result {
        Err(ExchangeError::NotSent) if build_request(write_state.end_of_body()).is_none() => {
            Err(ExchangeError::BodyConsumed)
        }
        result => result,
    }
}

async fn send_and_receive(
    connection: &mut Connection,
    request: Request<AttemptBody>,
    request_written: &CompletionFlag,
) -> Result<ReceivedResponse, ExchangeError> {
    let response = match connection.send(request).await {
        Some(Ok(response)) => response,
        _ if request_written.is_set() => return Err(ExchangeError::NoValidResponse),
        _ => return Err(ExchangeError::NotSent),
    };
    if !is_valid(&response) {
        return Err(ExchangeError::NoValidResponse);
    }
    let (head, incoming) = response.into_parts();
    let body = receive_body(connection, incoming).await.ok_or(ExchangeError::NoValidResponse)?;
    Ok(ReceivedResponse { head, body })
}

/// Returns whether the response is final, and its length is unambiguous and within the limit.
fn is_valid(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let is_ambiguous = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    let is_too_long = response.body().size_hint().lower() > MAX_BODY_BYTES;
    !is_ambiguous && !is_too_long && !response.status().is_informational()
}

/// Receives a body, completely or up to the length that is buffered. Returns `None` if the body ends
/// early.
async fn receive_body(connection: &mut Connection, mut incoming: Incoming) -> Option<ReceivedBody> {
    let announced_bytes = incoming.size_hint().exact();
    if announced_bytes.is_some_and(|bytes| bytes > MAX_BUFFERED_BODY_BYTES as u64) {
        return Some(ReceivedBody::Streamed { received: BodyChunks::default(), incoming });
    }
    let mut buffer = BodyBuffer::new(max_buffered_bytes(announced_bytes));
    let mut buffering_timeout = pin!(tokio::time::sleep(MAX_RESPONSE_BUFFERING_TIME));
    let excess = loop {
        let frame = tokio::select! {
            biased;
            frame = connection.drive(incoming.frame()) => frame?,
            () = buffering_timeout.as_mut(), if announced_bytes.is_none() => break None,
        };
        let Some(frame) = frame else {
            return Some(ReceivedBody::Buffered(buffer.into_bytes()));
        };
        // Trailers need not be forwarded.
        let chunk = frame.ok()?.into_data().unwrap_or_default();
        if let Err(excess) = buffer.append(chunk) {
            break Some(excess);
        }
    };
    Some(ReceivedBody::Streamed { received: BodyChunks::new(buffer.into_bytes(), excess), incoming })
}
