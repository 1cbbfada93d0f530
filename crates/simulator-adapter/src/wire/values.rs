//! Parses the values of a line, and checks the range that the protocol defines for each value.

use super::error::{Result, WireError};
use balancer::{Outcome, RequestId};
use balancer_settings::VALID_QUANTITY;
use std::str::FromStr;

/// The text of an absent value.
pub(super) const ABSENT_VALUE: &str = "-";
/// The length of request ids and ordering keys, in hexadecimal digits.
const ID_HEX_DIGITS: usize = 16;

/// Splits the text of an event into its values. The text must have exactly `N` values.
pub(super) fn split<'a, const N: usize>(event: &'static str, text: &'a str) -> Result<[&'a str; N]> {
    let mut values = [""; N];
    let mut got = 0;
    if !text.is_empty() {
        for value in text.split(' ') {
            if let Some(slot) = values.get_mut(got) {
                *slot = value;
            }
            got += 1;
        }
    }
    if got == N { Ok(values) } else { Err(WireError::ValueCount { event, expected: N, got }) }
}

/// Parses a finite number.
pub(super) fn parse_number(field: &str, text: &str) -> Result<f64> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() => Ok(number),
        _ => Err(WireError::invalid_value(field, "a number", text)),
    }
}

/// Parses a finite number that is not negative.
pub(super) fn parse_non_negative(field: &str, text: &str) -> Result<f64> {
    match parse_number(field, text)? {
        number if number >= 0.0 => Ok(number),
        _ => Err(WireError::invalid_value(field, VALID_QUANTITY, text)),
    }
}

/// Parses an integer in the range of its type.
pub(super) fn parse_integer<T: FromStr>(field: &str, text: &str) -> Result<T> {
    text.parse().map_err(|_| WireError::invalid_value(field, "a whole number", text))
}

/// Parses a flag, which is `1` if set and `0` otherwise.
pub(super) fn parse_flag(field: &str, text: &str) -> Result<bool> {
    match text {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => Err(WireError::invalid_value(field, "1 or 0", text)),
    }
}

/// Parses the id of a request.
pub(super) fn parse_request_id(text: &str) -> Result<RequestId> {
    let id = parse_hex_id(text)
        .ok_or_else(|| WireError::invalid_value("the request id", "16 hex digits", text))?;
    Ok(RequestId(id))
}

/// Parses the ordering key of a request, which may be absent.
pub(super) fn parse_ordering_key(text: &str) -> Result<Option<u64>> {
    if text == ABSENT_VALUE {
        return Ok(None);
    }
    let key = parse_hex_id(text)
        .ok_or_else(|| WireError::invalid_value("the ordering key", "16 hex digits or -", text))?;
    Ok(Some(key))
}

fn parse_hex_id(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok().filter(|_| text.len() == ID_HEX_DIGITS)
}

/// Parses the completion code of an attempt or a health check.
pub(super) fn parse_outcome(text: &str) -> Result<Outcome> {
    match text {
        "S" => Ok(Outcome::Success),
        "E" => Ok(Outcome::Error),
        "F" => Ok(Outcome::Rejected),
        "T" => Ok(Outcome::Timeout),
        "C" => Ok(Outcome::NoConnection),
        "R" => Ok(Outcome::Reset),
        "X" => Ok(Outcome::Cancelled),
        "N" => Ok(Outcome::NotSent),
        _ => Err(WireError::invalid_value("the completion code", "one of S E F T C R X N", text)),
    }
}
