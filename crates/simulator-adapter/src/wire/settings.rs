//! The settings of an instance, given as `path=value` pairs.
//!
//! Unknown paths are skipped. As with the real proxy, absent ones have defaults, and a class counts
//! as unsafe to retry unless the settings say otherwise.

use super::error::{Result, WireError};
use super::names::{InstanceNames, NameIndex};
use super::values;
use balancer::{Effect, IdempotencyGroup, RequestClass, Settings, Tenant};
use std::collections::HashMap;

/// The pairs, by path.
struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    /// Reads the pairs; of several with one path the last one counts.
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
        self.get(path).map(|value| values::non_negative(path, value)).transpose()
    }

    fn number_or(&self, path: &str, default: f64) -> Result<f64> {
        Ok(self.number(path)?.unwrap_or(default))
    }

    fn count(&self, path: &str) -> Result<usize> {
        values::integer(path, self.required(path)?)
    }

    fn count_or(&self, path: &str, default: usize) -> Result<usize> {
        self.get(path).map_or(Ok(default), |value| values::integer(path, value))
    }

    /// Whether something is so; what is absent is not.
    fn flag(&self, path: &str) -> Result<bool> {
        match self.get(path) {
            Some("true" | "1") => Ok(true),
            Some("false" | "0") | None => Ok(false),
            Some(other) => Err(WireError::invalid_value(path, "true or false", other)),
        }
    }
}

/// Reads settings, and the names that events of the instance will use. `zones` gets its zone.
pub(super) fn parse(text: &str, zones: &mut NameIndex) -> Result<(Settings, InstanceNames)> {
    let pairs = Pairs::parse(text)?;
    let classes = classes(&pairs)?;
    let tenants = tenants(&pairs)?;
    let max_retry_after = max_retry_after(&pairs)?;
    let names = InstanceNames {
        classes: classes.iter().map(|class| class.name.clone()).collect(),
        tenants: tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        load_report_fields: load_report_fields(&pairs),
    };
    let default = Settings::default();
    let settings = Settings {
        classes,
        tenants,
        over_quota_weight: pairs.number_or("over-share-worth", 1.0)?,
        instance_count: pairs.count_or("n-instances", default.instance_count)?,
        instance_index: pairs.count_or("me", default.instance_index)?,
        tier: pairs.count_or("tier", default.tier)?,
        zone: zones.index(pairs.get("zone").unwrap_or("")),
        cross_zone_cost: pairs.number_or("costs.cross-zone", 0.0)?,
        connections_have_cost: connections_have_cost(&pairs)?,
        health_checks_for_load_reports: health_checks_for_load_reports(&pairs)?,
        cancellation_allowed: pairs.flag("caps.cancel")?,
        hedging_allowed: pairs.flag("caps.second-copies")?,
        max_attempts: pairs.count_or("caps.max-attempts", default.max_attempts)?,
        max_retry_after,
        must_poll_endpoints: must_poll_endpoints(&pairs)?,
        endpoint_poll_limit: pairs.number_or("rules.ask-within", default.endpoint_poll_limit)?,
        slow_start_initial_capacity: pairs
            .number_or("rules.cold-share", default.slow_start_initial_capacity)?,
        slow_start_duration: pairs.number_or("rules.cold", default.slow_start_duration)?,
        slow_start_overload_multiple: pairs
            .number_or("rules.fall-multiple", default.slow_start_overload_multiple)?,
        slow_start_overload_window: pairs.number_or("rules.tip-after", default.slow_start_overload_window)?,
        key_rest_duration: pairs.number_or("rules.settle-after-doubt", 0.0)?,
        idle_close_limit: pairs.number("rules.release-within")?,
        quantum: pairs.number_or("quantum", default.quantum)?,
    };
    Ok((settings, names))
}

fn classes(pairs: &Pairs<'_>) -> Result<Vec<RequestClass>> {
    (0..pairs.count("classes.count")?).map(|index| class(pairs, index)).collect()
}

fn class(pairs: &Pairs<'_>, index: usize) -> Result<RequestClass> {
    let path = |key: &str| format!("classes.{index}.{key}");
    let default = RequestClass::default();
    let effect = effect(pairs, index)?;
    let latency_objective = pairs.number(&path("on-time"))?;
    let max_timeout =
        pairs.number_or(&path("hard-limit"), latency_objective.unwrap_or(default.max_timeout))?;
    Ok(RequestClass {
        name: pairs.required(&path("name"))?.to_string(),
        latency_objective: latency_objective.unwrap_or(max_timeout),
        max_timeout,
        late_priority_weight: pairs.number_or(&path("late-worth"), default.late_priority_weight)?,
        priority_weight: pairs.number_or(&path("worth"), default.priority_weight)?,
        effect,
        ordered_by_key: pairs.flag(&path("fifo-by-key"))?,
    })
}

fn effect(pairs: &Pairs<'_>, class: usize) -> Result<Effect> {
    let path = |key: &str| format!("classes.{class}.{key}");
    match pairs.get(&path("effect")) {
        Some("free") => Ok(Effect::Safe),
        Some("guarded") => Ok(Effect::Idempotent {
            group: match pairs.get(&path("group")) {
                Some("all") => IdempotencyGroup::All,
                Some("zone") => IdempotencyGroup::Zone,
                _ => IdempotencyGroup::Cell,
            },
            window: pairs.number_or(&path("window"), 0.0)?,
        }),
        _ => Ok(Effect::Unsafe),
    }
}

fn tenants(pairs: &Pairs<'_>) -> Result<Vec<Tenant>> {
    let tenant = |index| {
        let name = pairs.required(&format!("projects.{index}.name"))?.to_string();
        let quota_per_second = pairs.number_or(&format!("projects.{index}.quota-per-s"), f64::MAX)?;
        Ok(Tenant { name, quota_per_second })
    };
    (0..pairs.count_or("projects.count", 0)?).map(tenant).collect()
}

/// The longest `Retry-After`, in seconds; 0 where clients do not heed it.
fn max_retry_after(pairs: &Pairs<'_>) -> Result<f64> {
    if pairs.flag("caps.retry-after")? { pairs.number_or("caps.max-retry-after", 0.0) } else { Ok(0.0) }
}

fn load_report_fields(pairs: &Pairs<'_>) -> Vec<String> {
    let fields = pairs.get("stats.fields");
    fields.map(|fields| fields.split(',').map(str::to_string).collect()).unwrap_or_default()
}

fn connections_have_cost(pairs: &Pairs<'_>) -> Result<bool> {
    let open = pairs.number_or("costs.connection", 0.0)?;
    let handshake = pairs.number_or("costs.handshake", 0.0)?;
    Ok(open + handshake > 0.0)
}

fn health_checks_for_load_reports(pairs: &Pairs<'_>) -> Result<bool> {
    Ok(pairs.get("stats.how") == Some("on_probe") && pairs.flag("caps.probing")?)
}

fn must_poll_endpoints(pairs: &Pairs<'_>) -> Result<bool> {
    match pairs.get("registry-mode") {
        Some("automatic") | None => Ok(false),
        Some("subscribe") => Ok(true),
        Some(other) => Err(WireError::invalid_value("registry-mode", "automatic or subscribe", other)),
    }
}
