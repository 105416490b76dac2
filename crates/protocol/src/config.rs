//! A scheduler's configuration: a JSON file, with overrides from the command line and the environment.

use crate::ConfigError;
use brackenledge_policy::Millis;
use brackenledge_policy::settings::SettingsDocument;
use std::net::SocketAddr;
use std::path::Path;

/// An entry of discovery's endpoint list, as JSON.
#[derive(Clone, Debug, miniserde::Deserialize)]
pub struct Endpoint {
    /// The worker's name.
    pub name: String,
    /// The address where the worker accepts jobs.
    pub address: String,
    /// Name of the worker's zone.
    pub zone: Option<String>,
    /// Name of the kind of machine that the worker runs on.
    #[serde(rename = "type")]
    pub kind: Option<String>,
    /// Number of the worker's cell.
    pub group: Option<u32>,
    /// `ready`, `draining` or `gone`.
    pub status: Option<String>,
    /// The worker's size relative to other workers.
    pub weight: Option<f64>,
    /// When the worker last started, in milliseconds of Unix time; 0 if that was long ago.
    pub since_ms: Option<f64>,
}

/// A cached endpoint list.
#[derive(Clone, Debug, miniserde::Deserialize)]
pub struct EndpointList {
    /// The list's revision.
    pub index: u64,
    /// The list's entries.
    pub endpoints: Vec<Endpoint>,
}

#[derive(Default, miniserde::Deserialize)]
struct LimitsDocument {
    memory_mb: Option<f64>,
    sockets: Option<usize>,
}

#[derive(miniserde::Deserialize)]
struct Document {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    seed: Option<String>,
    limits: Option<LimitsDocument>,
    peer_listen: Option<String>,
    peers: Option<Vec<String>>,
    peers_all: Option<String>,
    known: Option<EndpointList>,
    settings: SettingsDocument,
}

/// Values from the command line and the environment that override those of the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// The scheduler's name.
    pub name: Option<String>,
    /// Listening address for clients.
    pub listen: Option<String>,
    /// Discovery's address.
    pub discovery: Option<String>,
    /// Listening address of the admin endpoint.
    pub control: Option<String>,
}

/// Addresses for datagrams between schedulers.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// The address that this scheduler receives datagrams on.
    pub listen: SocketAddr,
    /// The schedulers' addresses, in the order of their ordinals in the settings.
    pub peers: Vec<SocketAddr>,
    /// An address that delivers to all schedulers, if there is one.
    pub broadcast: Option<SocketAddr>,
}

/// The configuration after parsing and overrides.
#[derive(Clone, Debug)]
pub struct Config {
    /// The scheduler's name.
    pub name: String,
    /// Listening address for clients.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Discovery's address in the file, without the override. If it changes on a reload, it takes precedence
    /// over the override, because the environment of a running process can't be changed.
    pub discovery_in_file: Option<SocketAddr>,
    /// Listening address of the admin endpoint; without it there is none.
    pub control: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Greatest number of file descriptors that the process may hold.
    pub sockets: usize,
    /// Addresses for datagrams between schedulers, if there are other schedulers.
    pub peer: Option<PeerConfig>,
    /// The endpoint list that was known before the start.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings document.
    pub settings: SettingsDocument,
}

/// Limit of file descriptors if the file states none.
const DEFAULT_SOCKETS: usize = 1_024;
/// With fewer descriptors than this there is no room for clients and workers.
const MIN_SOCKETS: usize = 64;
/// Least memory that a scheduler needs, in megabytes. The limit in the file is only checked for plausibility.
const MIN_MEMORY_MB: u32 = 16;
/// Time after which idle connections to workers are closed if the settings state none, in milliseconds.
pub const DEFAULT_IDLE_TIMEOUT: Millis = 10_000.0;
const DEFAULT_NAME: &str = "scheduler";
const DEFAULT_SEED: &str = "0";
const SEED_RADIX: u32 = 16;

impl Config {
    /// Parses the text of the file at `path` and applies the overrides.
    pub fn parse(path: &Path, text: &str, overrides: Overrides) -> Result<Config, ConfigError> {
        let file = || path.to_owned();
        let document: Document =
            miniserde::json::from_str(text).map_err(|_| ConfigError::InvalidDocument { file: file() })?;
        if document.settings.class_names().is_empty() {
            return Err(ConfigError::NoClasses { file: file() });
        }
        let sockets = document.limits.unwrap_or_default().validate(path)?;
        let peer = match document.peer_listen {
            None => None,
            Some(listen) => {
                let peers = document.peers.unwrap_or_default();
                Some(PeerConfig::parse(path, &listen, &peers, document.peers_all.as_deref())?)
            }
        };
        let listen = overrides.listen.or(document.listen);
        let listen = listen.ok_or_else(|| ConfigError::MissingField { file: file(), field: "listen" })?;
        let discovery_in_file = parse_optional_address(path, document.discovery.as_deref(), "discovery")?;
        let discovery = parse_optional_address(path, overrides.discovery.as_deref(), "discovery")?
            .or(discovery_in_file)
            .ok_or_else(|| ConfigError::MissingField { file: file(), field: "discovery" })?;
        let control = overrides.control.or(document.control);
        Ok(Config {
            control: parse_optional_address(path, control.as_deref(), "control")?,
            name: overrides.name.or(document.name).unwrap_or_else(|| DEFAULT_NAME.into()),
            listen: parse_address(path, &listen, "listen")?,
            discovery,
            discovery_in_file,
            seed: parse_seed(path, document.seed.as_deref().unwrap_or(DEFAULT_SEED))?,
            sockets,
            peer,
            cached_endpoints: document.known,
            settings: document.settings,
        })
    }
}

impl LimitsDocument {
    /// Checks the limits; returns the limit of file descriptors.
    fn validate(&self, path: &Path) -> Result<usize, ConfigError> {
        let sockets = self.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            return Err(ConfigError::SocketLimitTooLow {
                file: path.to_owned(),
                value: sockets,
                min: MIN_SOCKETS,
            });
        }
        if self.memory_mb.is_some_and(|memory| memory < f64::from(MIN_MEMORY_MB)) {
            return Err(ConfigError::MemoryLimitTooLow { file: path.to_owned(), min: MIN_MEMORY_MB });
        }
        Ok(sockets)
    }
}

impl PeerConfig {
    fn parse(
        path: &Path,
        listen: &str,
        peers: &[String],
        broadcast: Option<&str>,
    ) -> Result<PeerConfig, ConfigError> {
        Ok(PeerConfig {
            listen: parse_address(path, listen, "peer_listen")?,
            peers: peers.iter().map(|peer| parse_address(path, peer, "peers")).collect::<Result<_, _>>()?,
            broadcast: parse_optional_address(path, broadcast, "peers_all")?,
        })
    }
}

fn parse_address(path: &Path, text: &str, field: &'static str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::InvalidAddress {
        file: path.to_owned(),
        field,
        value: text.to_owned(),
    })
}

fn parse_optional_address(
    path: &Path,
    text: Option<&str>,
    field: &'static str,
) -> Result<Option<SocketAddr>, ConfigError> {
    text.map(|text| parse_address(path, text, field)).transpose()
}

fn parse_seed(path: &Path, text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, SEED_RADIX)
        .map_err(|_| ConfigError::InvalidSeed { file: path.to_owned(), value: text.to_owned() })
}

impl std::fmt::Display for Config {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (classes, tenants) = (self.settings.class_names(), self.settings.tenant_names());
        write!(
            f,
            "{}: listens on {}, discovery at {}, {} peers, {} descriptors; classes {}; tenants {}",
            self.name,
            self.listen,
            self.discovery,
            self.peer.as_ref().map_or(0, |peer| peer.peers.len()),
            self.sockets,
            classes.join(", "),
            tenants.join(", ")
        )
    }
}
