//! The operators' own file (TOML): settings that operators change, apart from the site's configuration, which they do
//! not. Every key is optional; what is missing keeps its default. Every error names the file, the line, the key and
//! what would be right.
//!
//! | table | module | what it sets |
//! | --- | --- | --- |
//! | `[control]` | `control` | the admin endpoint |
//! | `[drain]` | `drain` | the drain (lame duck) |
//! | `[tier]` | `cluster` | the cluster of schedulers and its leases |
//! | `[zones]` | `zone_routing` | routing of traffic between zones |
//! | `[handover]` | `failover` | failover of jobs |

mod cluster;
mod control;
mod drain;
mod failover;
mod reader;
mod zone_routing;

pub use self::cluster::ClusterOptions;
pub use self::control::ControlOptions;
pub use self::drain::DrainOptions;
pub use self::failover::{FailoverLines, FailoverOptions};
pub use self::zone_routing::ZoneOptions;

use self::reader::{Entry, Source, set_field};
use crate::ConfigError;
use std::path::Path;
use toml::de::DeValue;

/// The settings of the operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operations {
    /// The admin endpoint.
    pub control: ControlOptions,
    /// The drain.
    pub drain: DrainOptions,
    /// The cluster of schedulers.
    pub cluster: ClusterOptions,
    /// Failover of jobs.
    pub failover: FailoverOptions,
    /// Routing of traffic between zones.
    pub zones: ZoneOptions,
}

/// What the operators' file must agree with in the configuration.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Names of the classes of jobs.
    pub classes: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of schedulers.
    pub schedulers: usize,
}

/// A table of the file.
#[derive(Clone, Copy)]
enum Table {
    Control,
    Drain,
    /// The cluster.
    Tier,
    /// Zone routing.
    Zones,
    /// Failover.
    Handover,
}

impl Table {
    fn from_name(name: &str) -> Option<Table> {
        match name {
            "control" => Some(Table::Control),
            "drain" => Some(Table::Drain),
            "tier" => Some(Table::Tier),
            "zones" => Some(Table::Zones),
            "handover" => Some(Table::Handover),
            _ => None,
        }
    }
}

impl Operations {
    /// Parses the text of the file at `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Operations, ConfigError> {
        let source = Source { path, text };
        let document = source.parse()?;
        let mut operations = Operations::default();
        for (name, value) in document.get_ref() {
            let (table, offset) = (name.get_ref().as_ref(), name.span().start);
            let (file, line) = (path.to_owned(), source.line_at(offset));
            let DeValue::Table(entries) = value.get_ref() else {
                return Err(ConfigError::NotATable { file, line, key: table.to_owned() });
            };
            let Some(section) = Table::from_name(table) else {
                return Err(ConfigError::UnknownTable { file, line, table: table.to_owned() });
            };
            for (key, value) in entries {
                let (key, key_offset) = (key.get_ref().as_ref(), key.span().start);
                operations.set(section, &Entry { source, table, key, key_offset, value })?;
            }
        }
        let cluster_enabled = operations.cluster.enabled;
        operations.zones.check_cluster(cluster_enabled, &source)?;
        operations.failover.check_cluster(cluster_enabled, &source)?;
        Ok(operations)
    }

    /// Sets the field of an entry of this table.
    fn set(&mut self, table: Table, entry: &Entry) -> Result<(), ConfigError> {
        match table {
            Table::Control => set_field(&mut self.control, control::KEYS, entry),
            Table::Drain => set_field(&mut self.drain, drain::KEYS, entry),
            Table::Tier => set_field(&mut self.cluster, cluster::KEYS, entry),
            Table::Zones => set_field(&mut self.zones, zone_routing::KEYS, entry),
            Table::Handover => set_field(&mut self.failover, failover::KEYS, entry),
        }
    }

    /// Checks the settings of the file at `path` against the configuration.
    pub fn validate(&self, path: &Path, deployment: &Deployment) -> Result<(), ConfigError> {
        self.zones.validate(path, &deployment.zones)?;
        self.failover.validate(path, &deployment.classes, deployment.schedulers)
    }
}
