//! The operators' file (TOML): settings that operators may change, separate from the site's configuration,
//! which they don't change. Every key is optional and has a default. Every error names the file, the line,
//! the key and what is expected.
//!
//! | table | module | what it sets |
//! | --- | --- | --- |
//! | `[control]` | `control` | the admin endpoint |
//! | `[drain]` | `drain` | draining with `LAMEDUCK` |
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
    /// `[control]`: the admin endpoint.
    pub control: ControlOptions,
    /// `[drain]`: draining with `LAMEDUCK`.
    pub drain: DrainOptions,
    /// `[tier]`: the cluster of schedulers.
    pub cluster: ClusterOptions,
    /// `[handover]`: failover of jobs.
    pub failover: FailoverOptions,
    /// `[zones]`: routing of traffic between zones.
    pub zones: ZoneOptions,
}

/// The parts of the configuration that the operators' file refers to.
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
    Cluster,
    ZoneRouting,
    Failover,
}

impl Table {
    fn from_name(name: &str) -> Option<Table> {
        match name {
            "control" => Some(Table::Control),
            "drain" => Some(Table::Drain),
            "tier" => Some(Table::Cluster),
            "zones" => Some(Table::ZoneRouting),
            "handover" => Some(Table::Failover),
            _ => None,
        }
    }
}

impl Operations {
    /// Parses the text of the file at `path`, and checks that features that require the cluster are enabled
    /// only with it.
    pub fn parse(path: &Path, text: &str) -> Result<Operations, ConfigError> {
        let source = Source { path, text };
        let document = source.parse()?;
        let mut operations = Operations::default();
        for (name, value) in document.get_ref() {
            let (table_name, offset) = (name.get_ref().as_ref(), name.span().start);
            let (file, line) = (path.to_owned(), source.line_at(offset));
            let DeValue::Table(entries) = value.get_ref() else {
                return Err(ConfigError::NotATable { file, line, key: table_name.to_owned() });
            };
            let Some(table) = Table::from_name(table_name) else {
                return Err(ConfigError::UnknownTable { file, line, table: table_name.to_owned() });
            };
            for (key, value) in entries {
                let (key, key_offset) = (key.get_ref().as_ref(), key.span().start);
                operations.set(table, &Entry { source, table_name, key, key_offset, value })?;
            }
        }
        let cluster_enabled = operations.cluster.enabled;
        operations.zones.check_cluster(cluster_enabled, &source)?;
        operations.failover.check_cluster(cluster_enabled, &source)?;
        Ok(operations)
    }

    /// Sets the option that an entry of this table is for.
    fn set(&mut self, table: Table, entry: &Entry) -> Result<(), ConfigError> {
        match table {
            Table::Control => set_field(&mut self.control, control::KEYS, entry),
            Table::Drain => set_field(&mut self.drain, drain::KEYS, entry),
            Table::Cluster => set_field(&mut self.cluster, cluster::KEYS, entry),
            Table::ZoneRouting => set_field(&mut self.zones, zone_routing::KEYS, entry),
            Table::Failover => set_field(&mut self.failover, failover::KEYS, entry),
        }
    }

    /// Checks the settings of the file at `path` against the configuration.
    pub fn validate(&self, path: &Path, deployment: &Deployment) -> Result<(), ConfigError> {
        self.zones.validate(path, &deployment.zones)?;
        self.failover.validate(path, &deployment.classes, deployment.schedulers)
    }
}
