//! The settings of an instance, given as `path=value` pairs.
//!
//! The pairs are read into the raw form of the crate `balancer-settings`, as the JSON of the configuration
//! file is, and translated there. The two syntaxes differ as follows. Each difference has a test in
//! `tests/settings_syntaxes`:
//!
//! - **Negative quantities.** Pairs with a negative number are rejected. Most quantities of the file are
//!   checked only at a reload, as a start has no earlier settings to fall back to.
//! - **Keys without effect.** A pair is read only where it has an effect: the window of an idempotent class,
//!   the longest `Retry-After` where clients honour it, health checks where load reports come with them.
//!   The file is deserialized as a whole, so that a value of the wrong type is an error in any case.
//! - **Flags.** Pairs have `true`, `false`, `1` or `0`; JSON has `true` or `false`.
//! - **Null.** An optional key of the file may be null, which counts as absent. Pairs have no null.
//! - **Repeated keys.** The last of several pairs with one path counts. In the file a repeated key is an
//!   error.
//! - **Zones.** All instances of the adapter share one numbering of zones, as they share endpoint lists. A
//!   proxy numbers zones by their positions in `zones`, which the adapter does not read.
//! - **Load reports.** The simulator sends the values of a report without names, in the order of
//!   `stats.fields`. Reports over HTTP have named values, so that the proxy does not read that key.
//! - **Keys of the proxy.** `version`, `caps.connect-timeout`, `caps.idle-close`, `caps.max-open` and
//!   `rules.drain-grace` concern sockets, which the simulator simulates. Their pairs are skipped.

use super::error::{Result, WireError};
use super::names::{InstanceNames, ZoneIds};
use super::values;
use balancer::Settings;
use balancer_settings::{
    RawCapabilities, RawClass, RawCosts, RawEffect, RawGroup, RawRegistryMode, RawRules, RawSettings,
    RawStats, RawTenant, VALID_QUANTITY,
};
use std::collections::HashMap;

/// The values of the pairs by their paths.
struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    /// Splits the text into pairs. The last of several pairs with one path counts.
    fn parse(text: &'a str) -> Result<Self> {
        let mut values = HashMap::new();
        for pair in text.split(' ').filter(|pair| !pair.is_empty()) {
            let invalid = || WireError::invalid_value("a setting", "path=value", pair);
            let (path, value) = pair.split_once('=').ok_or_else(invalid)?;
            values.insert(path, value);
        }
        Ok(Self(values))
    }

    fn get(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied()
    }

    fn required(&self, path: &str) -> Result<&'a str> {
        self.get(path).ok_or_else(|| WireError::MissingSetting(path.to_string()))
    }

    fn number(&self, path: &str) -> Result<Option<f64>> {
        self.get(path).map(|value| values::parse_non_negative(path, value)).transpose()
    }

    fn number_or_zero(&self, path: &str) -> Result<f64> {
        Ok(self.number(path)?.unwrap_or(0.0))
    }

    fn count(&self, path: &str) -> Result<Option<usize>> {
        self.get(path).map(|value| values::parse_integer(path, value)).transpose()
    }

    fn required_count(&self, path: &str) -> Result<usize> {
        values::parse_integer(path, self.required(path)?)
    }

    fn count_or_zero(&self, path: &str) -> Result<usize> {
        Ok(self.count(path)?.unwrap_or(0))
    }

    /// Reads a flag, which is not set if the pair is absent.
    fn flag(&self, path: &str) -> Result<bool> {
        match self.get(path) {
            Some("true" | "1") => Ok(true),
            Some("false" | "0") | None => Ok(false),
            Some(other) => Err(WireError::invalid_value(path, "true or false", other)),
        }
    }
}

/// Reads the settings of an instance, and the names that events of the instance will use. The zone of the
/// instance is added to `zones`.
///
/// # Errors
///
/// Returns [`WireError`] if a part of the text is not a pair, a required pair is absent, or a value is
/// invalid.
pub(super) fn parse_settings(text: &str, zones: &mut ZoneIds) -> Result<(Settings, InstanceNames)> {
    let pairs = Pairs::parse(text)?;
    let raw = parse_raw_settings(&pairs)?;
    let names = InstanceNames {
        classes: raw.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: raw.projects.iter().map(|tenant| tenant.name.clone()).collect(),
        load_report_fields: parse_load_report_fields(&pairs),
    };
    let zone = zones.assign(&raw.zone);
    let settings = raw.into_settings(zone).map_err(|invalid| {
        WireError::invalid_value(&invalid.path, VALID_QUANTITY, &invalid.value.to_string())
    })?;
    Ok((settings, names))
}

fn parse_raw_settings(pairs: &Pairs<'_>) -> Result<RawSettings> {
    let stats = RawStats { how: pairs.get("stats.how").unwrap_or_default().to_string() };
    Ok(RawSettings {
        classes: parse_classes(pairs)?,
        projects: parse_tenants(pairs)?,
        over_share_worth: pairs.number("over-share-worth")?,
        n_instances: pairs.count("n-instances")?,
        me: pairs.count_or_zero("me")?,
        tier: pairs.count_or_zero("tier")?,
        zone: pairs.get("zone").unwrap_or_default().to_string(),
        costs: parse_costs(pairs)?,
        caps: parse_capabilities(pairs, &stats)?,
        registry_mode: parse_registry_mode(pairs)?,
        rules: parse_rules(pairs)?,
        quantum: pairs.number("quantum")?,
        stats,
        ..RawSettings::default()
    })
}

fn parse_classes(pairs: &Pairs<'_>) -> Result<Vec<RawClass>> {
    (0..pairs.required_count("classes.count")?).map(|index| parse_class(pairs, index)).collect()
}

fn parse_class(pairs: &Pairs<'_>, index: usize) -> Result<RawClass> {
    let path = |key: &str| format!("classes.{index}.{key}");
    let effect = match pairs.get(&path("effect")) {
        Some("free") => RawEffect::Free,
        Some("guarded") => RawEffect::Guarded,
        _ => RawEffect::SingleShot,
    };
    let group = match pairs.get(&path("group")) {
        Some("all") => RawGroup::All,
        Some("zone") => RawGroup::Zone,
        _ => RawGroup::Cell,
    };
    let window = if effect == RawEffect::Guarded { pairs.number(&path("window"))? } else { None };
    Ok(RawClass {
        name: pairs.required(&path("name"))?.to_string(),
        on_time: pairs.number(&path("on-time"))?,
        hard_limit: pairs.number(&path("hard-limit"))?,
        late_worth: pairs.number(&path("late-worth"))?,
        worth: pairs.number(&path("worth"))?,
        effect,
        group,
        window,
        fifo_by_key: pairs.flag(&path("fifo-by-key"))?,
    })
}

fn parse_tenants(pairs: &Pairs<'_>) -> Result<Vec<RawTenant>> {
    let tenant = |index| {
        let name = pairs.required(&format!("projects.{index}.name"))?.to_string();
        let quota_per_s = pairs.number(&format!("projects.{index}.quota-per-s"))?;
        Ok(RawTenant { name, quota_per_s })
    };
    (0..pairs.count_or_zero("projects.count")?).map(tenant).collect()
}

/// Reads the capabilities. The limits of sockets are left out, as the simulator enforces them.
fn parse_capabilities(pairs: &Pairs<'_>, stats: &RawStats) -> Result<RawCapabilities> {
    let retry_after = pairs.flag("caps.retry-after")?;
    let max_retry_after = if retry_after { pairs.number_or_zero("caps.max-retry-after")? } else { 0.0 };
    Ok(RawCapabilities {
        probing: stats.reports_on_health_checks_only() && pairs.flag("caps.probing")?,
        cancel: pairs.flag("caps.cancel")?,
        second_copies: pairs.flag("caps.second-copies")?,
        max_attempts: pairs.count("caps.max-attempts")?,
        retry_after,
        max_retry_after,
        ..RawCapabilities::default()
    })
}

fn parse_costs(pairs: &Pairs<'_>) -> Result<RawCosts> {
    Ok(RawCosts {
        cross_zone: pairs.number_or_zero("costs.cross-zone")?,
        connection: pairs.number_or_zero("costs.connection")?,
        handshake: pairs.number_or_zero("costs.handshake")?,
    })
}

/// Reads the rules. The grace period of draining backends is left out, as the simulator has no connections
/// on which a request may be in transfer.
fn parse_rules(pairs: &Pairs<'_>) -> Result<RawRules> {
    Ok(RawRules {
        ask_within: pairs.number("rules.ask-within")?,
        cold: pairs.number("rules.cold")?,
        cold_share: pairs.number("rules.cold-share")?,
        fall_multiple: pairs.number("rules.fall-multiple")?,
        tip_after: pairs.number("rules.tip-after")?,
        settle_after_doubt: pairs.number("rules.settle-after-doubt")?,
        release_within: pairs.number("rules.release-within")?,
        ..RawRules::default()
    })
}

fn parse_registry_mode(pairs: &Pairs<'_>) -> Result<RawRegistryMode> {
    match pairs.get("registry-mode") {
        Some("automatic") | None => Ok(RawRegistryMode::Automatic),
        Some("subscribe") => Ok(RawRegistryMode::Subscribe),
        Some(other) => Err(WireError::invalid_value("registry-mode", "automatic or subscribe", other)),
    }
}

fn parse_load_report_fields(pairs: &Pairs<'_>) -> Vec<String> {
    let fields = pairs.get("stats.fields");
    fields.map(|fields| fields.split(',').map(str::to_string).collect()).unwrap_or_default()
}
