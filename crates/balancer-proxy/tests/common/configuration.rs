//! Configuration files, endpoint lists and requests that use the same classes and tenant.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::stub_server::StubServer;
use super::waiting::next_unique_number;

/// Returns settings with one class of each effect: `look` is safe, `save` idempotent, `order` unsafe.
pub fn default_settings() -> Value {
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

/// Returns a configuration file with these settings and this cached endpoint list.
pub fn configuration(settings: &Value, cached_endpoints: &Value) -> Value {
    json!({"name": "n0", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192,
           "sockets": 1024}, "known": cached_endpoints, "settings": settings})
}

/// Returns a configuration file with [`default_settings`] and these backends in its cached endpoint list.
pub fn default_configuration(backends: &[&StubServer]) -> Value {
    configuration(&default_settings(), &serving_list(backends))
}

/// Returns a file like that of [`configuration`], with a management address whose port the system chooses.
pub fn configuration_with_management(settings: &Value, cached_endpoints: &Value) -> Value {
    let mut configuration = configuration(settings, cached_endpoints);
    configuration["management"] = json!("127.0.0.1:0");
    configuration
}

/// Returns an endpoint as discovery lists it; `lifecycle` is `SERVING`, `DRAINING` or `DELETED`.
pub fn listed_endpoint(id: &str, address: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m",
           "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// Returns an endpoint list as discovery sends it: the full list if `reset` is set, else changes.
pub fn endpoint_list(generation: u64, reset: bool, endpoints: &[Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": endpoints})
}

/// Returns a full list of generation 1 with these backends as `s-0`, `s-1` and so on, all `SERVING`.
pub fn serving_list(backends: &[&StubServer]) -> Value {
    let listed = |(index, backend): (usize, &&StubServer)| {
        listed_endpoint(&format!("s-{index}"), backend.address, "SERVING")
    };
    endpoint_list(1, true, &backends.iter().enumerate().map(listed).collect::<Vec<_>>())
}

/// A readiness check. The proxy itself responds with 200 if it is ready, else with 503.
pub const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: p\r\n\r\n";

/// Returns a request of a class of [`default_settings`], with a body of 4 bytes.
pub fn request(class: &str, remaining_ms: u64) -> String {
    let id = next_unique_number();
    let (method, key) = match class {
        "look" => ("GET", ""),
        "save" => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", ""),
    };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         {key}Cookie: sid=7f3a9c21e0b4d655\r\nX-Remaining-Ms: {remaining_ms}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Returns a request like [`request`] with its `Content-Length` header and body replaced by `framing`.
pub fn request_with_framing(class: &str, framing: &str) -> String {
    request(class, 9000).replace("Content-Length: 4\r\n\r\nbody", framing)
}
