//! The configuration file of a measured proxy.

use crate::error::Error;
use crate::instance::InstanceList;
use serde::Serialize;
use serde_json::{Value, json};

/// Mode in which a proxy obtains its endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryMode {
    /// The proxy is started with the list, and watches discovery for changes.
    Automatic,
    /// The proxy polls discovery for the list.
    Subscribe,
}

impl RegistryMode {
    /// Returns the name of the mode in the settings and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Automatic => "automatic",
            Self::Subscribe => "subscribe",
        }
    }
}

/// Parameters of the configuration file of one proxy.
pub struct ProxyConfig<'a> {
    /// Index of the proxy among the proxies of the run.
    pub index: usize,
    /// Number of proxies in the tier, including proxies that do not run. The proxy computes its subset of the
    /// list from this number.
    pub tier_size: usize,
    /// Seed of the proxy's random number generator.
    pub seed: u64,
    /// Mode in which the proxy obtains its endpoint list.
    pub registry_mode: RegistryMode,
    /// The list with which the proxy is started.
    pub instances: &'a InstanceList<'a>,
}

/// The content of the configuration file.
#[derive(Serialize)]
struct ConfigFile<'a> {
    name: String,
    seed: String,
    limits: Value,
    known: &'a InstanceList<'a>,
    settings: Value,
}

impl ProxyConfig<'_> {
    /// Returns the name of the proxy.
    #[must_use]
    pub fn name(&self) -> String {
        format!("n{}", self.index)
    }

    /// Returns the content of the configuration file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Json`] if the content cannot be serialized.
    pub fn to_json(&self) -> Result<Vec<u8>, Error> {
        let file = ConfigFile {
            name: self.name(),
            seed: format!("{:016x}", self.seed),
            limits: json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024}),
            known: self.instances,
            settings: self.settings(),
        };
        serde_json::to_vec(&file).map_err(|error| Error::Json { what: "configuration", error })
    }

    /// Returns the settings of a proxy that is not in the entry tier. Each caller has its own proxy there.
    fn settings(&self) -> Value {
        let class = |name: &str, effect: &str| {
            json!({"name": name, "effect": effect, "group": "all", "window": 5.0, "on-time": 0.5,
                   "hard-limit": 1.0, "late-worth": 0.2, "worth": 1.0, "stream": false})
        };
        json!({
            "caps": {"cancel": true, "connect-timeout": 1.0, "idle-close": 30.0, "max-attempts": 4,
                     "max-open": 1000, "max-retry-after": 1.0, "probing": true, "retry-after": true,
                     "second-copies": true},
            "classes": [class("look", "free"), class("save", "guarded"), class("order", "single_shot")],
            "me": self.index, "n-instances": self.tier_size, "quantum": 0.001,
            "registry-mode": self.registry_mode.name(),
            "rules": {"ask-within": 10.0, "cold": 5.0, "cold-share": 0.2, "drain-grace": 1.0,
                      "fall-multiple": 3.0, "tip-after": 1.0},
            "stats": {"fields": [], "how": "off"}, "tier": 1, "zone": "a", "zones": ["a", "b", "c"]
        })
    }
}
