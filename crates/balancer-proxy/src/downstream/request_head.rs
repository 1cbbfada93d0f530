//! Parses the method and headers of a client's request into the request that the decision module sees.

use super::request_error::RequestError;
use crate::settings::{ProxySettings, SettingsSnapshot};
use balancer::{ClassIndex, Effect, Request, RequestId, TenantIndex, Time};
use hyper::Method;
use hyper::header::HeaderMap;

/// Number of hexadecimal digits of a client request id.
const CLIENT_REQUEST_ID_DIGITS: usize = 16;
/// Unit of the `X-Remaining-Ms` header.
const MILLISECONDS_PER_SECOND: Time = 1000.0;
/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The content of the method and headers of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ParsedHead {
    /// The id that the client gave the request, unique among its requests in flight.
    pub(super) client_request_id: u64,
    /// The request as the decision module sees it. Its id is a default value, as the engine assigns the id,
    /// and `streaming_body` is not set, as this flag depends on the body.
    pub(super) request: Request,
}

impl ParsedHead {
    /// Parses the method and headers of a request according to `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error if a required header is missing, a header is repeated or malformed, or the method
    /// or the idempotency key does not fit the class.
    pub(super) fn parse(
        method: &Method,
        headers: &HeaderMap,
        settings: &SettingsSnapshot,
    ) -> Result<Self, RequestError> {
        single_value(headers, "host")?;
        let client_request_id = parse_client_request_id(headers)?;
        let class_index = parse_class_index(headers, &settings.proxy)?;
        let tenant = parse_tenant_index(headers, &settings.proxy)?;
        let class = settings.balancer.class(class_index);
        let timeout = parse_timeout(headers, class.max_timeout)?;
        let idempotency_key = single_value(headers, "idempotency-key")?;
        check_method(method, class.effect)?;
        check_idempotency_key(idempotency_key, class.effect)?;
        let request = Request {
            id: RequestId::default(),
            class: class_index,
            tenant,
            key: parse_ordering_key(headers),
            timeout,
            streaming_body: false,
        };
        Ok(Self { client_request_id, request })
    }
}

fn invalid_header(name: &'static str, expected: &'static str) -> RequestError {
    RequestError::InvalidHeader { name, expected }
}

/// Returns the value of a header, or `None` if the header is absent. A repeated header is rejected, because
/// it is ambiguous which of its values applies.
fn single_value<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let invalid = || invalid_header(name, "one value, of plain text");
    let mut values = headers.get_all(name).into_iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid());
    }
    let text = value.to_str().map_err(|_| invalid())?;
    Ok(Some(text.trim()))
}

/// Returns the id that the client gave the request.
fn parse_client_request_id(headers: &HeaderMap) -> Result<u64, RequestError> {
    let is_well_formed =
        |id: &&str| id.len() == CLIENT_REQUEST_ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    single_value(headers, "x-txn")?
        .filter(is_well_formed)
        .and_then(|id| u64::from_str_radix(id, 16).ok())
        .ok_or(invalid_header("X-Txn", "16 hex digits"))
}

/// Returns the index of the request's class.
fn parse_class_index(headers: &HeaderMap, settings: &ProxySettings) -> Result<ClassIndex, RequestError> {
    single_value(headers, "x-lane")?
        .and_then(|name| settings.class_index(name))
        .ok_or(invalid_header("X-Lane", "a known class"))
}

/// Returns the index of the request's tenant. The header is ignored if the settings name no tenants.
fn parse_tenant_index(
    headers: &HeaderMap,
    settings: &ProxySettings,
) -> Result<Option<TenantIndex>, RequestError> {
    match single_value(headers, "x-org")? {
        Some(name) if !settings.tenants.is_empty() => {
            let index = settings.tenant_index(name).ok_or(invalid_header("X-Org", "a known tenant"))?;
            Ok(Some(index))
        }
        _ => Ok(None),
    }
}

/// Returns the time in seconds for which the client waits for its response, at most the deadline of the
/// class. Without this bound, a large header value could keep timers for weeks.
fn parse_timeout(headers: &HeaderMap, class_deadline: Time) -> Result<Time, RequestError> {
    let Some(text) = single_value(headers, "x-remaining-ms")? else {
        return Ok(class_deadline);
    };
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let milliseconds = is_digits.then(|| text.parse::<u32>().ok()).flatten();
    let milliseconds = milliseconds.ok_or(invalid_header("X-Remaining-Ms", "whole milliseconds"))?;
    Ok((Time::from(milliseconds) / MILLISECONDS_PER_SECOND).min(class_deadline))
}

/// Checks that requests of this effect may use the method.
fn check_method(method: &Method, effect: Effect) -> Result<(), RequestError> {
    let is_allowed = match effect {
        Effect::Safe => method == Method::GET || method == Method::HEAD,
        Effect::Idempotent { .. } | Effect::Unsafe => method == Method::POST,
    };
    if is_allowed { Ok(()) } else { Err(RequestError::MethodNotAllowed) }
}

/// Checks that an idempotent request has an idempotency key and that an unsafe request has none.
fn check_idempotency_key(key: Option<&str>, effect: Effect) -> Result<(), RequestError> {
    match effect {
        Effect::Idempotent { .. } if key.is_none_or(str::is_empty) => {
            Err(invalid_header("Idempotency-Key", "a value, for this class"))
        }
        Effect::Unsafe if key.is_some() => Err(invalid_header("Idempotency-Key", "none, for this class")),
        _ => Ok(()),
    }
}

/// Returns the ordering key of a request: the value of its cookie `sid` if that value is a hexadecimal
/// number, and otherwise the hash of the value.
fn parse_ordering_key(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all("cookie").into_iter().filter_map(|value| value.to_str().ok());
    let cookies = values.flat_map(|value| value.split(';'));
    let mut pairs = cookies.filter_map(|cookie| cookie.trim().split_once('='));
    let (_, session_id) = pairs.find(|(name, _)| *name == "sid")?;
    Some(u64::from_str_radix(session_id, 16).unwrap_or_else(|_| fnv1a(session_id)))
}

/// Computes the 64-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
