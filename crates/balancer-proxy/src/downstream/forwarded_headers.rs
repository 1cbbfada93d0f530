//! Selects the headers of a request or a response that are forwarded, which are the end-to-end headers.

use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName};
use hyper::header::{TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Removes the headers that concern only the connection on which they arrived: the hop-by-hop headers, the
/// headers that `Connection` names, and the length, which the HTTP library adds itself.
pub(super) fn remove_hop_by_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in named_by_connection(&headers) {
        headers.remove(name);
    }
    for name in [CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        headers.remove(name);
    }
    headers
}

/// Returns the headers that `Connection` names as hop-by-hop, except `Host`. `Host` is always forwarded, as a
/// request is not valid without this header.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    let names = names.filter_map(|name| name.trim().parse().ok());
    names.filter(|name| *name != HOST).collect()
}
