//! The configuration, from a JSON file and the environment. Each error names the key that it concerns.

use crate::discovery::catalog::ServerList;
use crate::network::descriptors::MIN_SOCKETS;
use pondgw::HostSettings;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// The memory limit divided by this is for clients' requests and the input behind them. A list of servers may take half of
/// the limit for a moment, see `discovery/follower.rs`.
const REQUEST_MEMORY_DIVISOR: f64 = 4.0;
/// Least memory for requests, in megabytes: room for several of the largest.
const MIN_REQUEST_MEMORY_MB: f64 = 1.0;
/// The memory limit divided by this is for responses of servers and of the counter.
const RESPONSE_MEMORY_DIVISOR: f64 = 8.0;
/// Least memory for responses, in megabytes: room for more than the largest.
const MIN_RESPONSE_MEMORY_MB: f64 = 2.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// An error in the configuration.
#[derive(Debug)]
pub struct ConfigError {
    key: String,
    reason: String,
}

impl ConfigError {
    fn new(key: &str, reason: impl fmt::Display) -> Self {
        // A library's message may span several lines; an error is always one line.
        ConfigError { key: key.to_owned(), reason: reason.to_string().replace('\n', " ") }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for ConfigError {}

/// Contents of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    counter: Option<String>,
    known: Option<ServerList>,
    settings: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, memory_mb: 64.0 }
    }
}

/// Addresses of services, which may change while the program runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Address of discovery in the file, which the environment may have overridden.
    discovery_in_file: Option<SocketAddr>,
}

impl ServiceAddresses {
    /// Reads the configuration again. An address of discovery that has changed in the file overrides the environment,
    /// which cannot change while the program runs; an unchanged one does not.
    pub fn reload(self, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let new = Config::load(env)?.service_addresses;
        let discovery = match new.discovery_in_file {
            Some(address) if new.discovery_in_file != self.discovery_in_file => address,
            _ => self.discovery,
        };
        Ok(ServiceAddresses { discovery, ..new })
    }
}

/// The parsed and validated configuration.
pub struct Config {
    /// Name of this limiter.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Addresses of discovery and the counter.
    pub service_addresses: ServiceAddresses,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of descriptors that the process may have open.
    pub sockets: usize,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: f64,
    /// Own address for datagrams between limiters, and the address of each limiter; only if the settings permit them.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    /// Servers to start with, until discovery answers.
    pub known_servers: Option<ServerList>,
    /// The settings object.
    pub host_settings: HostSettings,
}

fn parse_address(key: &str, text: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(|| ConfigError::new(key, "is missing"))?;
    text.parse().map_err(|_| ConfigError::new(key, format!("is not an address and port: {text}")))
}

impl Config {
    /// Memory for clients' requests, in bytes.
    pub fn request_memory_bytes(&self) -> usize {
        self.memory_share(REQUEST_MEMORY_DIVISOR, MIN_REQUEST_MEMORY_MB)
    }

    /// Memory for responses, in bytes.
    pub fn response_memory_bytes(&self) -> usize {
        self.memory_share(RESPONSE_MEMORY_DIVISOR, MIN_RESPONSE_MEMORY_MB)
    }

    /// The memory limit divided by `divisor`, but no less than `min_mb` megabytes, in bytes.
    fn memory_share(&self, divisor: f64, min_mb: f64) -> usize {
        let megabytes = (self.memory_mb / divisor).max(min_mb);
        // The cast saturates above the largest `usize`.
        (megabytes * BYTES_PER_MB) as usize
    }

    /// Reads the environment and the file that it names.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = env("ROUTER_CONFIG").ok_or_else(|| ConfigError::new("ROUTER_CONFIG", "is not set"))?;
        let text = std::fs::read_to_string(&path)
            .map_err(|e| ConfigError::new("ROUTER_CONFIG", format!("cannot read {path}: {e}")))?;
        Self::parse(&text, env)
    }

    /// Parses the text of the file. Environment variables override it.
    fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: ConfigFile =
            serde_json::from_str(text).map_err(|e| ConfigError::new("ROUTER_CONFIG", e))?;
        let env_or_file = |variable: &str, key: &str, value: &Option<String>| match env(variable) {
            Some(text) => parse_address(variable, Some(&text)),
            None => parse_address(key, value.as_deref()),
        };
        let listen = env_or_file("ROUTER_LISTEN", "listen", &file.listen)?;
        let discovery = env_or_file("ROUTER_DISCOVERY", "discovery", &file.discovery)?;
        let discovery_in_file =
            file.discovery.as_deref().map(|text| parse_address("discovery", Some(text))).transpose()?;
        let seed = file.seed.ok_or_else(|| ConfigError::new("seed", "is missing"))?;
        let seed = u64::from_str_radix(&seed, 16)
            .map_err(|_| ConfigError::new("seed", "is not a hexadecimal number"))?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::new("limits.sockets", format!("is below {MIN_SOCKETS}")));
        }
        let settings = file.settings.ok_or_else(|| ConfigError::new("settings", "is missing"))?;
        let host_settings = HostSettings::from_json(&settings)
            .map_err(|e| ConfigError::new(&format!("settings.{}", e.key), e.reason))?;
        validate(&host_settings)?;
        let peers = if host_settings.settings.permissions.peer_messages {
            let listen = parse_address("peer_listen", file.peer_listen.as_deref())?;
            let peers: Result<Vec<_>, _> =
                file.peers.iter().map(|p| parse_address("peers", Some(p))).collect();
            Some((listen, peers?))
        } else {
            None
        };
        let counter = match host_settings.settings.counter {
            Some(_) => Some(parse_address("counter", file.counter.as_deref())?),
            None => None,
        };
        Ok(Config {
            name: env("ROUTER_NAME").or(file.name).unwrap_or_default(),
            listen,
            service_addresses: ServiceAddresses { discovery, counter, discovery_in_file },
            seed,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            peers,
            known_servers: file.known,
            host_settings,
        })
    }
}

/// Checks for settings that the simulator's adapter (`pondgw-simhost`) may omit but a limiter needs.
fn validate(host_settings: &HostSettings) -> Result<(), ConfigError> {
    let settings = &host_settings.settings;
    let error = |key: &str, reason: &str| Err(ConfigError::new(key, reason));
    if settings.classes.is_empty() || host_settings.classes.iter().any(String::is_empty) {
        return error("settings.profiles", "is missing, empty or has a class without a name");
    }
    if settings.plans.is_empty() || host_settings.plans.iter().any(String::is_empty) {
        return error("settings.plans", "is missing, empty or has a plan without a name");
    }
    if settings.gateway_index >= settings.gateways {
        return error("settings.me", "is not below settings.balancers");
    }
    if settings.permissions.max_attempts == 0 {
        return error("settings.permissions.max-attempts", "is missing or zero");
    }
    if host_settings.connect_timeout == 0 {
        return error("settings.permissions.dial-timeout", "is missing or zero");
    }
    if host_settings.server_idle_timeout == 0 {
        return error("settings.permissions.keepalive", "is missing or zero");
    }
    if settings.max_units <= 0.0 {
        return error("settings.family-info.max-units", "is missing or zero");
    }
    if settings.counter.as_ref().is_some_and(|c| c.call_timeout == 0) {
        return error("settings.family-info.count-limit", "is missing or zero");
    }
    Ok(())
}
