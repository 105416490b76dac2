//! A scheduler's configuration: a JSON file, and what the command line and the environment override in it.

use crate::ConfigError;
use brackenledge_policy::Millis;
use brackenledge_policy::settings::SettingsDocument;
use std::net::SocketAddr;
use std::path::Path;

/// An entry of discovery's endpoint list, as JSON has it.
#[derive(Clone, Debug, miniserde::Deserialize)]
pub struct Endpoint {
    /// The worker's name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its zone's name.
    pub zone: Option<String>,
    /// Its machine kind's name.
    #[serde(rename = "type")]
    pub kind: Option<String>,
    /// Its cell.
    pub group: Option<u32>,
    /// `ready`, `draining` or `gone`.
    pub status: Option<String>,
    /// A figure for comparing it with others.
    pub weight: Option<f64>,
    /// Its last start, in milliseconds of Unix time; 0: long ago.
    pub since_ms: Option<f64>,
}

/// A cached endpoint list.
#[derive(Clone, Debug, miniserde::Deserialize)]
pub struct EndpointList {
    /// Its revision.
    pub index: u64,
    /// Its entries.
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

/// What the command line and the environment override in the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// The scheduler's name.
    pub name: Option<String>,
    /// Where clients connect.
    pub listen: Option<String>,
    /// Where discovery is.
    pub discovery: Option<String>,
    /// Where the admin endpoint listens.
    pub control: Option<String>,
}

/// How schedulers reach one another.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// Where datagrams arrive.
    pub listen: SocketAddr,
    /// The schedulers' addresses, by their ordinals in the settings.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches every scheduler, if there is one.
    pub broadcast: Option<SocketAddr>,
}

/// The whole configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The scheduler's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Discovery's address in the file itself. On a reload a new one takes precedence over what the program was started
    /// with: the environment can't change in a running process.
    pub discovery_in_file: Option<SocketAddr>,
    /// Where the admin endpoint listens, if there is one.
    pub control: Option<SocketAddr>,
    /// Seed of random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// How other schedulers are reached, where they are.
    pub peer: Option<PeerConfig>,
    /// The endpoint list as it was before the start.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings document.
    pub settings: SettingsDocument,
}

/// Descriptors assumed where no limit is stated.
const DEFAULT_SOCKETS: usize = 1_024;
/// Fewer descriptors than this leave no room for clients and workers.
const MIN_SOCKETS: usize = 64;
/// Memory, in megabytes, below which no scheduler runs; stated limits are checked for sense only.
const MIN_MEMORY_MB: u32 = 16;
/// Time after which idle connections to workers are closed where the settings state no limit, in milliseconds.
pub const DEFAULT_IDLE_TIMEOUT: Millis = 10_000.0;
const DEFAULT_NAME: &str = "scheduler";
const DEFAULT_SEED: &str = "0";
const SEED_RADIX: u32 = 16;

impl Config {
    /// Parses the text of the file at `path` and applies the overrides. Every error is one line that names the file
    /// and what is wrong.
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
    /// Checks the limits; returns how many descriptors the process may hold.
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
