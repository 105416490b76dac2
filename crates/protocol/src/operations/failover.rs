//! `[handover]`: failover of jobs.

use super::reader::{Entry, Key, Source};
use crate::ConfigError;
use brackenledge_policy::Millis;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of failover.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverOptions {
    /// Whether records of jobs are replicated to other schedulers.
    pub enabled: bool,
    /// Where each scheduler accepts links from the others, by its number; our own entry is where we listen.
    pub links: Vec<SocketAddr>,
    /// Classes whose jobs are replicated, by name.
    pub replicated_classes: Vec<String>,
    /// Of these, the ones whose jobs are rejected rather than run without replicas.
    pub replication_required: Vec<String>,
    /// Replicas of each record beside its owner's.
    pub replication_factor: usize,
    /// Greatest number of records held.
    pub max_records: usize,
    /// Greatest total size of replicated records, in bytes.
    pub max_bytes: usize,
    /// How long a record outlives its job, in milliseconds.
    pub retention: Millis,
    /// How long a job waits for its claim to be granted, in milliseconds.
    pub claim_timeout: Millis,
    /// Where the lists stand in the file.
    pub lines: FailoverLines,
}

/// Lines of the lists of `[handover]` in the operators' file, from 1; 0 where a list is not in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverLines {
    /// Of `links`.
    pub links: usize,
    /// Of `covered`.
    pub replicated_classes: usize,
    /// Of `refused`.
    pub replication_required: usize,
}

impl Default for FailoverOptions {
    fn default() -> Self {
        FailoverOptions {
            enabled: false,
            links: Vec::new(),
            replicated_classes: Vec::new(),
            replication_required: Vec::new(),
            replication_factor: 2,
            max_records: 20_000,
            max_bytes: 64 * MEGABYTE,
            retention: 10_000.0,
            claim_timeout: 4_000.0,
            lines: FailoverLines::default(),
        }
    }
}

/// In bytes.
const MEGABYTE: usize = 1 << 20;

pub(super) const KEYS: &[Key<FailoverOptions>] = &[
    Key {
        name: "on",
        remedy: "true or false",
        set: |options, entry| {
            options.enabled = entry.boolean()?;
            Some(())
        },
    },
    // A scheduler and all its replicas must be lost at once for a job to be; more than four only cost.
    Key {
        name: "copies",
        remedy: "a whole number of replicas, 1 to 4",
        set: |options, entry| {
            options.replication_factor = entry.number(1.0..=4.0)? as usize;
            Some(())
        },
    },
    Key {
        name: "records_most",
        remedy: "a whole number of records, 100 to 1000000",
        set: |options, entry| {
            options.max_records = entry.number(100.0..=1e6)? as usize;
            Some(())
        },
    },
    Key {
        name: "megabytes_most",
        remedy: "megabytes, 1 to 4096",
        set: |options, entry| {
            options.max_bytes = entry.number(1.0..=4_096.0)? as usize * MEGABYTE;
            Some(())
        },
    },
    // Clients that lost their connection come again within seconds.
    Key {
        name: "keep_ms",
        remedy: "milliseconds, 1000 to 600000",
        set: |options, entry| {
            options.retention = entry.number(1_000.0..=600_000.0)?;
            Some(())
        },
    },
    Key {
        name: "patience_ms",
        remedy: "milliseconds, 100 to 60000",
        set: |options, entry| {
            options.claim_timeout = entry.number(100.0..=60_000.0)?;
            Some(())
        },
    },
    Key {
        name: "links",
        remedy: "a list of addresses with ports, one for each scheduler, such as [\"10.0.0.1:7100\"]",
        set: set_links,
    },
    Key {
        name: "covered",
        remedy: "a list of classes, such as [\"market-sale\"]",
        set: |options, entry| {
            options.replicated_classes = entry.strings()?;
            options.lines.replicated_classes = entry.line();
            Some(())
        },
    },
    Key {
        name: "refused",
        remedy: "a list of classes, such as [\"market-sale\"]",
        set: |options, entry| {
            options.replication_required = entry.strings()?;
            options.lines.replication_required = entry.line();
            Some(())
        },
    },
];

fn set_links(options: &mut FailoverOptions, entry: &Entry) -> Option<()> {
    options.links = entry.strings()?.iter().map(|address| address.parse().ok()).collect::<Option<_>>()?;
    options.lines.links = entry.line();
    Some(())
}

impl FailoverOptions {
    /// Checks that failover is on only where there is a cluster.
    pub(super) fn check_cluster(&self, cluster_enabled: bool, source: &Source) -> Result<(), ConfigError> {
        if !self.enabled || cluster_enabled {
            return Ok(());
        }
        Err(ConfigError::ClusterRequired {
            file: source.path.to_owned(),
            line: source.line_of_table("handover"),
            table: "handover",
            reason: "replicas are chosen from the cluster's member list",
        })
    }

    /// Checks, where failover is on, that each scheduler has a link address and that the lists name classes of the
    /// configuration.
    pub(super) fn validate(
        &self,
        path: &Path,
        classes: &[String],
        schedulers: usize,
    ) -> Result<(), ConfigError> {
        if !self.enabled {
            return Ok(());
        }
        if self.links.len() != schedulers {
            return Err(ConfigError::LinkCount {
                file: path.to_owned(),
                line: self.lines.links.max(1),
                links: self.links.len(),
                schedulers,
            });
        }
        let lines = self.lines;
        check_classes(path, lines.replicated_classes, "covered", &self.replicated_classes, classes)?;
        check_classes(path, lines.replication_required, "refused", &self.replication_required, classes)?;
        let not_replicated = |name: &&String| !self.replicated_classes.contains(name);
        match self.replication_required.iter().find(not_replicated) {
            None => Ok(()),
            Some(class) => Err(ConfigError::ClassNotReplicated {
                file: path.to_owned(),
                line: lines.replication_required.max(1),
                class: class.clone(),
            }),
        }
    }
}

/// Checks that a list names only classes of the configuration.
fn check_classes(
    path: &Path,
    line: usize,
    key: &'static str,
    names: &[String],
    classes: &[String],
) -> Result<(), ConfigError> {
    match names.iter().find(|name| !classes.contains(name)) {
        None => Ok(()),
        Some(unknown) => Err(ConfigError::UnknownClass {
            file: path.to_owned(),
            line: line.max(1),
            key,
            class: unknown.clone(),
            known: classes.to_vec(),
        }),
    }
}
