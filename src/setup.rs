//! Parses the JSON settings object that a gateway is configured with. Both hosts, the limiter and the
//! simulator's adapter, use it. Without I/O or decisions.

use crate::interface::*;
use serde_json::Value;
use std::fmt;

/// Why a settings object cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Key of the invalid value.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// The parsed settings object: the gateway's settings, the names behind their indices, and time-outs of the
/// host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// The gateway's settings.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Time limit for opening a connection to a server.
    pub connect_timeout: Micros,
    /// Time after which a server closes an idle connection, at the latest.
    pub server_idle_timeout: Micros,
    /// Time within which a draining server must get no more requests; 0 if not given.
    pub drain_grace: Micros,
    /// Longest deadline of a client of any class.
    pub max_deadline: Micros,
}

fn number(object: &Value, key: &str) -> f64 {
    object.get(key).and_then(Value::as_f64).unwrap_or_default()
}

fn micros(object: &Value, key: &str) -> Micros {
    number(object, key).max(0.0) as Micros
}

fn boolean(object: &Value, key: &str) -> bool {
    object.get(key).and_then(Value::as_bool).unwrap_or_default()
}

fn string<'a>(object: &'a Value, key: &str) -> &'a str {
    object.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn array<'a>(object: &'a Value, key: &str) -> &'a [Value] {
    object.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn names(object: &Value, key: &str) -> Vec<String> {
    array(object, key).iter().map(|item| string(item, "name").to_owned()).collect()
}

fn parse_class(profile: &Value) -> Result<Class, SettingsError> {
    let idempotency = match string(profile, "effect") {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Keyed,
        "side_effect" => Idempotency::NonIdempotent,
        other => {
            let reason = format!("unknown effect: {other}");
            return Err(SettingsError { key: "profiles[].effect".into(), reason });
        }
    };
    let key_scope = match string(profile, "key-scope") {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => KeyScope::All,
    };
    Ok(Class {
        slo: micros(profile, "goal-time"),
        idempotency,
        key_scope,
        dedup_window: micros(profile, "window"),
        value: number(profile, "worth"),
    })
}

fn parse_plan(plan: &Value) -> Plan {
    Plan {
        rate: number(plan, "per-second"),
        burst: number(plan, "store-size"),
        max_concurrent: number(plan, "at-once"),
        value_factor: number(plan, "pays"),
        ceiling_rate: number(plan, "cap-rate"),
        ceiling_burst: number(plan, "hard-burst"),
    }
}

impl HostSettings {
    /// Parses the object. Missing keys count as zero, false or empty; unknown keys are ignored.
    pub fn from_json(object: &Value) -> Result<Self, SettingsError> {
        let zones: Vec<String> =
            array(object, "failure-domains").iter().filter_map(Value::as_str).map(str::to_owned).collect();
        let (permissions, rules, info) = (&object["permissions"], &object["rules"], &object["family-info"]);
        let settings = Settings {
            gateways: number(object, "balancers").max(1.0) as u32,
            gateway_index: number(object, "me") as u32,
            zone: zones.iter().position(|z| z == string(object, "zone")).unwrap_or_default(),
            tick: micros(object, "round"),
            watch_discovery: string(object, "discovery") == "ask",
            classes: array(object, "profiles").iter().map(parse_class).collect::<Result<_, _>>()?,
            plans: array(object, "plans").iter().map(parse_plan).collect(),
            max_units: number(info, "max-units"),
            permissions: Permissions {
                cancel: boolean(permissions, "cancel"),
                parallel_attempts: boolean(permissions, "may-duplicate"),
                max_attempts: number(permissions, "max-attempts") as u32,
                max_retry_after: micros(permissions, "max-retry-after"),
                send_retry_after: boolean(permissions, "retry-after"),
                peer_messages: boolean(permissions, "may-tell"),
                connect_timeout: micros(permissions, "dial-timeout"),
            },
            counter: boolean(info, "may-count")
                .then(|| CounterSettings { call_timeout: micros(info, "count-limit") }),
            server_rules: ServerRules {
                slow_start_duration: micros(rules, "cold"),
                initial_capacity: number(rules, "cold-from"),
                overload_duration: micros(rules, "fall"),
                overload_factor: number(rules, "fall-multiple"),
                max_watch_interval: micros(rules, "must-ask-in"),
            },
        };
        Ok(HostSettings {
            settings,
            classes: names(object, "profiles"),
            plans: names(object, "plans"),
            zones,
            connect_timeout: micros(permissions, "dial-timeout"),
            server_idle_timeout: micros(permissions, "keepalive"),
            drain_grace: micros(rules, "drain-grace"),
            max_deadline: array(object, "profiles")
                .iter()
                .map(|profile| micros(profile, "deadline"))
                .max()
                .unwrap_or_default(),
        })
    }
}
