//! What a proxy is told, at its start and whenever it changes: environment and JSON, turned into the
//! module's settings.

use super::endpoint_list::{RawEndpointList, zone_index};
use crate::proxy::limits::ProcessLimits;
use crate::proxy::settings::{ProxySettings, SettingsSnapshot};
use crate::{Effect, IdempotencyGroup, RequestClass, Settings, Tenant, Time};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::HashSet;
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::time::Duration;
use thiserror::Error;

/// Why the configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// An environment variable that is absent or not text.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file that can't be read.
    #[error("cannot read {path}: {error}")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        error: io::Error,
    },
    /// JSON that is malformed or lacks a value.
    #[error("{path}: {field}: {error}")]
    Json {
        /// The file.
        path: String,
        /// The field, by its path in the file.
        field: String,
        /// What is wrong, and where.
        error: serde_json::Error,
    },
    /// A value that makes no sense.
    #[error("{name}: expected {expected}, got '{got}'")]
    Value {
        /// Its name, by its path in the file.
        name: String,
        /// What it should have been.
        expected: String,
        /// What it was.
        got: String,
    },
}

/// What tells a file from the one that was there before: its number, size and time of change.
pub type FileStamp = (u64, u64, i64, i64);

/// Everything that a proxy is told.
#[derive(Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where those who run the proxy call it, if anywhere.
    pub management: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For the module's random numbers.
    pub seed: u64,
    /// What the process may hold and use.
    pub limits: ProcessLimits,
    /// The list of backends as last had; none where the file is read again.
    pub cached_endpoints: RawEndpointList,
    /// The settings.
    pub snapshot: SettingsSnapshot,
    /// Of the file's text: the same in all processes that have read the same.
    pub digest: u64,
}

impl SettingsSnapshot {
    /// May these follow upon `old` ones? Files can come late or again: the order is theirs to tell,
    /// by their versions, where they have any.
    pub fn check_follows(&self, old: &Self) -> Result<(), ConfigError> {
        let Some(had) = old.proxy.version else {
            return Ok(());
        };
        let expected = match self.proxy.version {
            Some(version) if version > had || version == had && self == old => return Ok(()),
            Some(version) if version == had => format!("more than {had}, as other settings differ from it"),
            _ => format!("{had} or more, which is in force"),
        };
        let got = self.proxy.version.map_or("none".to_string(), |version| version.to_string());
        Err(bad("settings.version", expected, got))
    }
}

#[derive(Deserialize)]
struct RawConfig {
    listen: Option<String>,
    management: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: RawLimits,
    settings: RawSettings,
}

/// By far the longest part of a file, and of no use but at a start.
#[derive(Deserialize)]
struct RawKnown {
    #[serde(default)]
    known: RawEndpointList,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// The settings as they are written. Without classes nothing could be asked for; what else is
/// absent has a default, and what is unknown is skipped.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawSettings {
    #[serde(default)]
    caps: Caps,
    classes: Vec<RawClass>,
    #[serde(default)]
    costs: Costs,
    #[serde(default)]
    me: usize,
    n_instances: Option<usize>,
    over_share_worth: Option<f64>,
    #[serde(default)]
    projects: Vec<Project>,
    quantum: Option<f64>,
    #[serde(default)]
    registry_mode: RegistryMode,
    #[serde(default)]
    rules: Rules,
    #[serde(default)]
    stats: Stats,
    #[serde(default)]
    tier: usize,
    /// What is no version says nothing at a start, and is an error later.
    #[serde(default)]
    version: serde_json::Value,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
}

/// What is not said to be allowed is not.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Caps {
    cancel: bool,
    connect_timeout: Option<f64>,
    idle_close: Option<f64>,
    max_attempts: Option<usize>,
    max_open: Option<usize>,
    max_retry_after: f64,
    probing: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawClass {
    name: String,
    on_time: Option<f64>,
    hard_limit: Option<f64>,
    late_worth: Option<f64>,
    worth: Option<f64>,
    #[serde(default)]
    effect: RawEffect,
    #[serde(default)]
    group: RawGroup,
    window: Option<f64>,
    #[serde(default)]
    fifo_by_key: bool,
}

/// Where nothing is said, or nothing that is known here, a repeat is taken for harmful.
#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum RawEffect {
    Free,
    Guarded,
    #[default]
    #[serde(other)]
    SingleShot,
}

/// Likewise the narrowest.
#[derive(Deserialize, Clone, Copy, Default)]
#[serde(rename_all = "snake_case")]
enum RawGroup {
    All,
    Zone,
    #[default]
    #[serde(other)]
    Cell,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Costs {
    connection: f64,
    cross_zone: f64,
    handshake: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Project {
    name: String,
    quota_per_s: Option<f64>,
}

#[derive(Deserialize, PartialEq, Default)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    #[default]
    Automatic,
    Subscribe,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Rules {
    ask_within: Option<f64>,
    cold: Option<f64>,
    cold_share: Option<f64>,
    drain_grace: Option<f64>,
    fall_multiple: Option<f64>,
    tip_after: Option<f64>,
    settle_after_doubt: Option<f64>,
    release_within: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Stats {
    how: String,
}

/// What is planned with where no limit is told.
const MEMORY_MB: f64 = 192.0;
const SOCKETS: usize = 1024;
/// Where nothing is said of connections to backends: a second is long for a machine that is near,
/// and what is idle is given up before most would close it.
const CONNECT_TIMEOUT: f64 = 1.0;
const IDLE_CLOSE: f64 = 5.0;
/// Where no grace is told: the one of the protocol's example.
const DRAIN_GRACE: f64 = 1.0;

/// Longest file that is taken over while requests wait.
const MOST_BYTES: u64 = 16 << 20;

fn bad(name: impl ToString, expected: impl ToString, got: impl ToString) -> ConfigError {
    ConfigError::Value { name: name.to_string(), expected: expected.to_string(), got: got.to_string() }
}

/// A span of time that fits a `Duration`.
fn span(name: &str, seconds: f64) -> Result<Duration, ConfigError> {
    Duration::try_from_secs_f64(seconds).map_err(|_| bad(name, "seconds, not below 0", seconds))
}

fn not_negative(name: impl Fn() -> String, value: f64) -> Result<f64, ConfigError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err(bad(name(), "a number not below 0", value)),
    }
}

/// Which word on where discovery is holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressSource {
    /// The environment's, as at the start.
    Environment,
    /// The file's: it may have been replaced since, and the environment cannot.
    File,
}

fn variable(name: &'static str) -> Result<String, ConfigError> {
    std::env::var(name).map_err(|_| ConfigError::Unset(name))
}

/// The stamp of the file that is there now, if one is.
pub fn file_stamp() -> Option<FileStamp> {
    let m = std::fs::metadata(variable("RELAY_CONFIG").ok()?).ok()?;
    Some((m.ino(), m.size(), m.mtime(), m.mtime_nsec()))
}

/// The text of the file. One that is read while requests wait must be a plain one, which never keeps
/// its reader waiting, of a bounded length.
fn text(path: &str, wins: AddressSource) -> Result<String, ConfigError> {
    let unread = |error| ConfigError::Read { path: path.to_string(), error };
    if wins == AddressSource::Environment {
        return std::fs::read_to_string(path).map_err(unread);
    }
    if !std::fs::metadata(path).map_err(unread)?.is_file() {
        return Err(bad(path, "a plain file", "something else"));
    }
    let mut text = String::new();
    let file = File::open(path).map_err(unread)?;
    let length = file.take(MOST_BYTES + 1).read_to_string(&mut text).map_err(unread)?;
    match length as u64 <= MOST_BYTES {
        true => Ok(text),
        false => Err(bad(path, format!("at most {MOST_BYTES} bytes"), "more")),
    }
}

fn parse<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, ConfigError> {
    // To keep track of where it is takes longer: that is done when something is wrong.
    if let Ok(parsed) = serde_json::from_str(text) {
        return Ok(parsed);
    }
    let wrong = |field: String, error| {
        let field = if field == "." { "the whole".to_string() } else { field };
        ConfigError::Json { path: path.to_string(), field, error }
    };
    let mut json = serde_json::Deserializer::from_str(text);
    let parsed = serde_path_to_error::deserialize(&mut json);
    let parsed = parsed.map_err(|error| wrong(error.path().to_string(), error.into_inner()))?;
    json.end().map_err(|error| wrong("the whole".to_string(), error))?;
    Ok(parsed)
}

impl Config {
    /// Reads the environment and the file that it names. Where the file's word holds, it comes while
    /// requests are served, and is held to more than at a start.
    pub fn from_env(wins: AddressSource) -> Result<Self, ConfigError> {
        let path = variable("RELAY_CONFIG")?;
        let text = text(&path, wins)?;
        let file: RawConfig = parse(&path, &text)?;
        let known = match wins {
            AddressSource::Environment => parse::<RawKnown>(&path, &text)?.known,
            AddressSource::File => file.check().map(|()| RawEndpointList::default())?,
        };
        let mut digest = DefaultHasher::new();
        text.hash(&mut digest);
        let address = |name: &'static str, in_file: &Option<String>| {
            let text = variable(name).or_else(|unset| in_file.clone().ok_or(unset))?;
            text.parse::<SocketAddr>().map_err(|_| bad(name, "address:port", text))
        };
        let listen = address("RELAY_LISTEN", &file.listen)?;
        let discovery = match (wins, &file.discovery) {
            (AddressSource::File, Some(text)) => {
                text.parse().map_err(|_| bad("discovery", "address:port", text.as_str()))?
            }
            _ => address("RELAY_DISCOVERY", &file.discovery)?,
        };
        let named = |text: &String| !text.is_empty();
        let management = std::env::var("RELAY_MANAGEMENT").ok().filter(named);
        let management = management.or_else(|| file.management.clone().filter(named));
        let parsed = management.map(|m| m.parse().map_err(|_| bad("management", "address:port", m)));
        let (management, digest) = (parsed.transpose()?, digest.finish());
        Ok(Self { management, cached_endpoints: known, digest, ..Self::from_file(file, listen, discovery)? })
    }

    fn from_file(file: RawConfig, listen: SocketAddr, discovery: SocketAddr) -> Result<Self, ConfigError> {
        let seed = file.seed.as_deref().unwrap_or("0");
        let seed = u64::from_str_radix(seed, 16).map_err(|_| bad("seed", "hex digits", seed))?;
        let (raw, plain) = (file.settings, Settings::default());
        let mut zones = raw.zones;
        let zone = zone_index(&mut zones, &raw.zone);
        let wire = ProxySettings {
            version: raw.version.as_u64(),
            classes: raw.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: raw.projects.iter().map(|p| p.name.clone()).collect(),
            zones,
            zone: raw.zone,
            connect_timeout: span(
                "settings.caps.connect-timeout",
                raw.caps.connect_timeout.unwrap_or(CONNECT_TIMEOUT),
            )?,
            idle_close: span("settings.caps.idle-close", raw.caps.idle_close.unwrap_or(IDLE_CLOSE))?,
            drain_grace: span("settings.rules.drain-grace", raw.rules.drain_grace.unwrap_or(DRAIN_GRACE))?,
            max_open: raw.caps.max_open.unwrap_or(usize::MAX),
        };
        let settings = Settings {
            classes: raw.classes.into_iter().enumerate().map(class).collect::<Result<_, _>>()?,
            tenants: raw.projects.into_iter().map(tenant).collect(),
            over_quota_weight: raw.over_share_worth.unwrap_or(plain.over_quota_weight),
            instance_count: raw.n_instances.unwrap_or(plain.instance_count),
            instance_index: raw.me,
            tier: raw.tier,
            zone,
            cross_zone_cost: raw.costs.cross_zone,
            connections_have_cost: raw.costs.connection + raw.costs.handshake > 0.0,
            health_checks_for_load_reports: raw.stats.how == "on_probe" && raw.caps.probing,
            cancellation_allowed: raw.caps.cancel,
            hedging_allowed: raw.caps.second_copies,
            max_attempts: raw.caps.max_attempts.unwrap_or(plain.max_attempts),
            max_retry_after: if raw.caps.retry_after { raw.caps.max_retry_after } else { 0.0 },
            must_poll_endpoints: raw.registry_mode == RegistryMode::Subscribe,
            endpoint_poll_limit: raw.rules.ask_within.unwrap_or(plain.endpoint_poll_limit),
            slow_start_initial_capacity: raw.rules.cold_share.unwrap_or(plain.slow_start_initial_capacity),
            slow_start_duration: raw.rules.cold.unwrap_or(plain.slow_start_duration),
            slow_start_overload_multiple: raw
                .rules
                .fall_multiple
                .unwrap_or(plain.slow_start_overload_multiple),
            slow_start_overload_window: raw.rules.tip_after.unwrap_or(plain.slow_start_overload_window),
            key_rest_duration: raw.rules.settle_after_doubt.unwrap_or(0.0),
            idle_close_limit: raw.rules.release_within,
            quantum: raw.quantum.unwrap_or(plain.quantum),
        };
        let memory = (file.limits.memory_mb.unwrap_or(MEMORY_MB) * f64::from(1 << 20)) as usize;
        let limits =
            ProcessLimits { file_descriptors: file.limits.sockets.unwrap_or(SOCKETS), memory_bytes: memory };
        let (management, known, digest) = (None, RawEndpointList::default(), 0);
        let terms = SettingsSnapshot { settings, proxy: wire };
        Ok(Self {
            listen,
            management,
            discovery,
            seed,
            limits,
            cached_endpoints: known,
            snapshot: terms,
            digest,
        })
    }
}

/// Names that two have can't tell them apart.
fn differ<'a>(list: &str, names: impl Iterator<Item = &'a String>) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    match names.enumerate().find(|(_, name)| !seen.insert(*name)) {
        None => Ok(()),
        Some((i, name)) => Err(bad(format!("settings.{list}[{i}].name"), "a name of its own", name)),
    }
}

impl RawConfig {
    /// What holds of one that is taken over while requests are served. A start takes more, as it has
    /// nothing better to go by.
    fn check(&self) -> Result<(), ConfigError> {
        let settings = &self.settings;
        let RawSettings { caps, costs, rules, .. } = settings;
        if !settings.version.is_null() && !settings.version.is_u64() {
            return Err(bad("settings.version", "a whole number", &settings.version));
        }
        differ("classes", settings.classes.iter().map(|c| &c.name))?;
        differ("projects", settings.projects.iter().map(|p| &p.name))?;
        let instances = settings.n_instances.unwrap_or(Settings::default().instance_count);
        if settings.me >= instances {
            return Err(bad("settings.me", format!("less than n-instances, {instances}"), settings.me));
        }
        let figures = [
            ("limits.memory_mb", self.limits.memory_mb),
            ("settings.over-share-worth", settings.over_share_worth),
            ("settings.quantum", settings.quantum),
            ("settings.caps.max-retry-after", Some(caps.max_retry_after)),
            ("settings.costs.connection", Some(costs.connection)),
            ("settings.costs.cross-zone", Some(costs.cross_zone)),
            ("settings.costs.handshake", Some(costs.handshake)),
            ("settings.rules.ask-within", rules.ask_within),
            ("settings.rules.cold", rules.cold),
            ("settings.rules.cold-share", rules.cold_share),
            ("settings.rules.fall-multiple", rules.fall_multiple),
            ("settings.rules.tip-after", rules.tip_after),
            ("settings.rules.settle-after-doubt", rules.settle_after_doubt),
            ("settings.rules.release-within", rules.release_within),
        ];
        for (name, value) in figures {
            not_negative(|| name.to_string(), value.unwrap_or(0.0))?;
        }
        for (i, class) in settings.classes.iter().enumerate() {
            let figures =
                [("late-worth", class.late_worth), ("worth", class.worth), ("window", class.window)];
            for (name, value) in figures {
                not_negative(|| format!("settings.classes[{i}].{name}"), value.unwrap_or(0.0))?;
            }
        }
        for (i, project) in settings.projects.iter().enumerate() {
            let name = || format!("settings.projects[{i}].quota-per-s");
            not_negative(name, project.quota_per_s.unwrap_or(0.0))?;
        }
        Ok(())
    }
}

fn tenant(raw: Project) -> Tenant {
    Tenant { name: raw.name, quota_per_second: raw.quota_per_s.unwrap_or(f64::MAX) }
}

fn class((i, raw): (usize, RawClass)) -> Result<RequestClass, ConfigError> {
    let time = |name: &str, value: Time| not_negative(|| format!("settings.classes[{i}].{name}"), value);
    let plain = RequestClass::default();
    // Each of the two stands in for the other.
    let deadline = raw.hard_limit.or(raw.on_time).unwrap_or(plain.deadline);
    Ok(RequestClass {
        name: raw.name.clone(),
        latency_objective: time("on-time", raw.on_time.unwrap_or(deadline))?,
        deadline: time("hard-limit", deadline)?,
        late_priority_weight: raw.late_worth.unwrap_or(plain.late_priority_weight),
        priority_weight: raw.worth.unwrap_or(plain.priority_weight),
        effect: match raw.effect {
            RawEffect::Free => Effect::Safe,
            RawEffect::SingleShot => Effect::Unsafe,
            RawEffect::Guarded => Effect::Idempotent {
                group: match raw.group {
                    RawGroup::All => IdempotencyGroup::All,
                    RawGroup::Zone => IdempotencyGroup::Zone,
                    RawGroup::Cell => IdempotencyGroup::Cell,
                },
                window: time("window", raw.window.unwrap_or(0.0))?,
            },
        },
        ordered_by_key: raw.fifo_by_key,
    })
}
