//! The configuration of a proxy, with settings like those of a small deployment.

use std::net::SocketAddr;

/// What differs between the configurations of the cases.
pub struct Config<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub management: Option<SocketAddr>,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The list that the proxy last had, as JSON.
    pub known: String,
    pub name: &'a str,
}

impl Config<'_> {
    /// Returns the text of the file.
    pub fn json(&self) -> String {
        let Self { listen, discovery, memory_mb, sockets, known, name, .. } = self;
        let management =
            self.management.map_or(String::new(), |address| format!("\"management\":\"{address}\",\n "));
        let settings = SETTINGS;
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\n {management}\
             \"seed\":\"8c1f30d27a5be964\",\n \
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\n \
             \"known\":{known},\n \"settings\":{settings}}}\n"
        )
    }
}

/// Settings with the names and units of the operators' pages.
const SETTINGS: &str = r#"{
  "caps": {"cancel": true, "connect-timeout": 0.15, "idle-close": 30.0, "max-attempts": 6, "max-open": 20000,
           "max-retry-after": 2.0, "max-streams": 1, "peer-messages": false, "probing": false,
           "retry-after": true, "second-copies": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 15000},
  "classes": [
    {"name": "quote", "effect": "free", "group": "all", "on-time": 1.5, "hard-limit": 4.0, "late-worth": 0.25,
     "window": 5.0, "worth": 1.0, "stream": false},
    {"name": "save-file", "effect": "guarded", "group": "cell", "on-time": 2.5, "hard-limit": 6.0,
     "late-worth": 0.5, "window": 10.0, "worth": 8.0, "stream": false},
    {"name": "lodge", "effect": "single_shot", "group": "all", "on-time": 2.5, "hard-limit": 6.0,
     "late-worth": 0.2, "window": 5.0, "worth": 10.0, "stream": false}],
  "clients": {"marks-retry": true},
  "costs": {"connection": 0.0, "cross-zone": 0.0, "handshake": 0.02},
  "family": "chain", "family-info": {"passes-deadline": true},
  "kinds": ["m1"], "me": 0, "n-instances": 1, "over-share-worth": 0.1, "projects": [], "quantum": 0.005,
  "registry-mode": "automatic",
  "rules": {"answer-slack": 0.02, "ask-within": 10.0, "cold": 8.8, "cold-share": 0.31, "drain-grace": 1.0,
            "fall-multiple": 3.0, "tip-after": 2.0},
  "stats": {"fields": ["cpu", "rps"], "how": "inline"},
  "tier": 0, "tiers": ["front"], "weights": "off", "worth-by": "request", "zone": "a", "zones": ["a"]}"#;
