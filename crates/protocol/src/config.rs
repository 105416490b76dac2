//! What a scheduler is told: environment and command line first, then the JSON file.

use brackenledge_policy::Millis;
use brackenledge_policy::settings::SettingsDocument;
use std::net::SocketAddr;
use std::path::Path;

/// One line of discovery's list, as JSON has it.
#[derive(Clone, Debug, miniserde::Deserialize)]
pub struct Endpoint {
    /// The server's name.
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

/// Discovery's list as it was last.
#[derive(Clone, Debug, miniserde::Deserialize)]
pub struct ServerList {
    /// Its version.
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
    known: Option<ServerList>,
    settings: SettingsDocument,
}

/// What the command line and the environment say over the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// The scheduler's name.
    pub name: Option<String>,
    /// Where clients connect.
    pub listen: Option<String>,
    /// Where discovery is.
    pub discovery: Option<String>,
    /// Where the operators' door listens.
    pub control: Option<String>,
}

/// How schedulers reach one another.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// Where messages arrive.
    pub listen: SocketAddr,
    /// By their numbers in the settings.
    pub peers: Vec<SocketAddr>,
    /// Reaches every scheduler.
    pub all: Option<SocketAddr>,
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
    /// What the file itself says of discovery. A new figure there goes before what the program was started
    /// with: the environment can't change in a running process.
    pub discovery_in_file: Option<SocketAddr>,
    /// Where the operators' door listens, if there is one.
    pub control: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// How other schedulers are reached, where they are.
    pub peer: Option<PeerConfig>,
    /// The list as it was before the start.
    pub known: Option<ServerList>,
    /// The settings document.
    pub settings: SettingsDocument,
}

/// Descriptors assumed where no limit is stated.
const SOCKETS: usize = 1_024;
/// Fewer descriptors than this leave no room for clients and backend servers.
const SOCKETS_LEAST: usize = 64;
/// Memory, in megabytes, below which no scheduler runs; stated limits are checked for sense only.
const MEMORY_LEAST: f64 = 16.0;
/// Time after which idle connections to backend servers are closed where the settings state no limit.
pub const IDLE_LIMIT: Millis = 10_000.0;

impl Config {
    /// Reads the text of the file at `path` and lays the overrides over it. Every error is one line that names the
    /// file and what is wrong.
    pub fn parse(path: &Path, text: &str, over: Overrides) -> Result<Config, String> {
        let bad = |what: &str| format!("{}: {what}", path.display());
        let document: Document = miniserde::json::from_str(text).map_err(|_| {
            bad("not a configuration: broken JSON, or `settings` lacks a field or has a wrong type")
        })?;
        let settings = document.settings;
        if settings.class_names().is_empty() {
            return Err(bad("settings.classes is empty"));
        }
        let limits = document.limits.unwrap_or_default();
        let sockets = limits.sockets.unwrap_or(SOCKETS);
        if sockets < SOCKETS_LEAST {
            return Err(bad(&format!("limits.sockets is {sockets}; {SOCKETS_LEAST} at least")));
        }
        if limits.memory_mb.is_some_and(|memory| memory < MEMORY_LEAST) {
            return Err(bad(&format!("limits.memory_mb is under {MEMORY_LEAST}")));
        }
        let seed = document.seed.unwrap_or_else(|| "0".into());
        let peers = document.peers.unwrap_or_default();
        let peer = match document.peer_listen {
            None => None,
            Some(listen) => Some(PeerConfig {
                listen: address(&listen, "peer_listen").map_err(|e| bad(&e))?,
                peers: peers
                    .iter()
                    .map(|p| address(p, "peers"))
                    .collect::<Result<_, _>>()
                    .map_err(|e| bad(&e))?,
                all: (document.peers_all.as_deref().map(|all| address(all, "peers_all")).transpose())
                    .map_err(|e| bad(&e))?,
            }),
        };
        let listen = over.listen.or(document.listen).ok_or_else(|| bad("`listen` is missing"))?;
        let in_file = document.discovery.as_deref().map(|at| address(at, "discovery")).transpose();
        let discovery_in_file = in_file.map_err(|e| bad(&e))?;
        let discovery = match over.discovery {
            Some(at) => address(&at, "discovery").map_err(|e| bad(&e))?,
            None => discovery_in_file.ok_or_else(|| bad("`discovery` is missing"))?,
        };
        let control = over.control.or(document.control);
        let control = control.map(|at| address(&at, "control")).transpose().map_err(|e| bad(&e))?;
        Ok(Config {
            control,
            name: over.name.or(document.name).unwrap_or_else(|| "scheduler".into()),
            listen: address(&listen, "listen").map_err(|e| bad(&e))?,
            discovery,
            discovery_in_file,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| bad(&format!("seed {seed:?} is not hexadecimal")))?,
            sockets,
            peer,
            known: document.known,
            settings,
        })
    }
}

fn address(text: &str, field: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{field} {text:?} is not an address with a port"))
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
