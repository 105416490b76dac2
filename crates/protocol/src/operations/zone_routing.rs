//! `[zones]`: routing of traffic between zones.

use super::reader::{Key, Source};
use crate::ConfigError;
use std::path::Path;

/// Settings of zone routing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneOptions {
    /// Whether the scheduler that holds the planning role plans which zones each zone's traffic goes to.
    pub enabled: bool,
    /// The regions, each with the names of zones that are near one another. All other zones form one more
    /// region.
    pub regions: Vec<Vec<String>>,
    /// Line number of `regions` in the file, from 1; 0 if it is not in the file.
    pub regions_line: usize,
}

pub(super) const KEYS: &[Key<ZoneOptions>] = &[
    Key {
        name: "on",
        expected: "true or false",
        set: |options, entry| {
            options.enabled = entry.boolean()?;
            Some(())
        },
    },
    Key {
        name: "regions",
        expected: "a list of regions, each the names of its zones, such as [\"north-a north-b\", \"south\"]",
        set: |options, entry| {
            let zone_names = |region: &String| region.split_whitespace().map(str::to_owned).collect();
            options.regions = entry.strings()?.iter().map(zone_names).collect();
            options.regions_line = entry.line();
            Some(())
        },
    },
];

impl ZoneOptions {
    /// Checks that zone routing is enabled only if the cluster is.
    pub(super) fn check_cluster(&self, cluster_enabled: bool, source: &Source) -> Result<(), ConfigError> {
        if !self.enabled || cluster_enabled {
            return Ok(());
        }
        Err(ConfigError::ClusterRequired {
            file: source.path.to_owned(),
            line: source.line_of_table("zones"),
            table: "zones",
            reason: "the plan is made by the scheduler that holds the planning role, a lease of the cluster",
        })
    }

    /// Checks that the regions name zones of the configuration, each once.
    pub(super) fn validate(&self, path: &Path, zones: &[String]) -> Result<(), ConfigError> {
        let line = self.regions_line.max(1);
        let named: Vec<&String> = self.regions.iter().flatten().collect();
        if let Some(unknown) = named.iter().find(|name| !zones.contains(name)) {
            return Err(ConfigError::UnknownZone {
                file: path.to_owned(),
                line,
                zone: unknown.to_string(),
                known: zones.to_vec(),
            });
        }
        let is_duplicate = |(position, name): &(usize, &&String)| named[..*position].contains(name);
        if let Some((_, duplicate)) = named.iter().enumerate().find(is_duplicate) {
            return Err(ConfigError::DuplicateZone {
                file: path.to_owned(),
                line,
                zone: duplicate.to_string(),
            });
        }
        Ok(())
    }
}
