//! Creates the responses to clients, from responses of backends and from results of the proxy itself.

use super::client_connection::ClientConnection;
use super::forwarded_headers::remove_hop_by_hop_headers;
use super::request_error::RequestError;
use super::response_body::ResponseBody;
use crate::engine::FinalResponse;
use crate::upstream::attempt::LOAD_REPORT_HEADER;
use crate::upstream::response_body::{BackendResponse, ResponseContent};
use balancer::Time;
use hyper::header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};
use std::rc::Rc;

/// A response to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

/// Creates a response with `text` as its body.
pub(super) fn from_text(
    status: StatusCode,
    text: impl Into<String>,
    client: &Rc<ClientConnection>,
) -> ClientResponse {
    let content = ResponseContent::Buffered(text.into().into());
    let mut response = Response::new(ResponseBody::new(content, None, client.clone()));
    *response.status_mut() = status;
    response
}

/// Creates the response to a request that is rejected because of `error`.
pub(super) fn from_error(error: &RequestError, client: &Rc<ClientConnection>) -> ClientResponse {
    from_text(error.status(), format!("{error}\n"), client)
}

/// Creates the HTTP response to a request with this method from the final response of the engine.
pub(super) fn from_final_response(
    final_response: FinalResponse,
    method: &Method,
    client: &Rc<ClientConnection>,
) -> ClientResponse {
    match final_response {
        FinalResponse::Success(response) => from_backend(response, method, client),
        FinalResponse::Rejected(retry_after) => from_rejection(retry_after, client),
        FinalResponse::Failed => from_text(StatusCode::BAD_GATEWAY, "failed\n", client),
    }
}

/// Creates the HTTP response to a request with this method from the response of a backend.
fn from_backend(
    backend_response: BackendResponse,
    method: &Method,
    client: &Rc<ClientConnection>,
) -> ClientResponse {
    let BackendResponse { content, length, headers } = backend_response;
    let mut response = Response::new(ResponseBody::new(content, length, client.clone()));
    // For HEAD, the header states the length of the body that GET would return.
    let content_length = headers.get(CONTENT_LENGTH).filter(|_| method == Method::HEAD).cloned();
    *response.headers_mut() = remove_hop_by_hop_headers(headers);
    // Load reports are intended only for the proxy.
    response.headers_mut().remove(LOAD_REPORT_HEADER);
    if let Some(content_length) = content_length {
        response.headers_mut().insert(CONTENT_LENGTH, content_length);
    }
    response
}

/// Creates the response to a request that the engine rejected; `retry_after` is in seconds.
fn from_rejection(retry_after: Option<Time>, client: &Rc<ClientConnection>) -> ClientResponse {
    let mut response = from_text(StatusCode::SERVICE_UNAVAILABLE, "refused, try again\n", client);
    let retry_after = retry_after.and_then(|seconds| HeaderValue::from_str(&format!("{seconds:.3}")).ok());
    if let Some(retry_after) = retry_after {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}
