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
    /// Listening address of each scheduler for connections from the others, in the order of the ordinals.
    pub links: Vec<SocketAddr>,
    /// Names of the classes whose jobs are replicated.
    pub replicated_classes: Vec<String>,
    /// Names of those replicated classes whose jobs are rejected if they can't be replicated.
    pub replication_required: Vec<String>,
    /// Number of replicas of each record, not counting the owner's.
    pub replication_factor: usize,
    /// Greatest number of records that a scheduler holds.
    pub max_records: usize,
    /// Greatest total size of replicated records, in bytes.
    pub max_bytes: usize,
    /// How long a record is kept after its job has ended, in milliseconds.
    pub retention: Millis,
    /// How long a job waits for its claim to be granted, in milliseconds.
    pub claim_timeout: Millis,
    /// Line numbers of the lists, for errors found when they are checked against the configuration.
    pub lines: FailoverLines,
}

/// Line numbers of the lists of `[handover]` in the operators' file, from 1; 0 for a list that is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverLines {
    /// Line of the key `links`.
    pub links: usize,
    /// Line of the key `covered`.
    pub replicated_classes: usize,
    /// Line of the key `refused`.
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

/// One megabyte (2^20) in bytes.
const MEGABYTE: usize = 1 << 20;

pub(super) const KEYS: &[Key<FailoverOptions>] = &[
    Key {
        name: "on",
        expected: "true or false",
        set: |options, entry| {
            options.enabled = entry.boolean()?;
            Some(())
        },
    },
    // A job is lost only if its owner and all replicas fail at once. More than four replicas only add cost.
    Key {
        name: "copies",
        expected: "a whole number of replicas, 1 to 4",
        set: |options, entry| {
            options.replication_factor = entry.number(1.0..=4.0)? as usize;
            Some(())
        },
    },
    Key {
        name: "records_most",
        expected: "a whole number of records, 100 to 1000000",
        set: |options, entry| {
            options.max_records = entry.number(100.0..=1e6)? as usize;
            Some(())
        },
    },
    Key {
        name: "megabytes_most",
        expected: "a whole number of megabytes, 1 to 4096",
        set: |options, entry| {
            options.max_bytes = entry.number(1.0..=4_096.0)? as usize * MEGABYTE;
            Some(())
        },
    },
    // Clients whose connection was lost resend their job within seconds, and must find its record.
    Key {
        name: "keep_ms",
        expected: "a whole number of milliseconds, 1000 to 600000",
        set: |options, entry| {
            options.retention = entry.number(1_000.0..=600_000.0)?;
            Some(())
        },
    },
    Key {
        name: "patience_ms",
        expected: "a whole number of milliseconds, 100 to 60000",
        set: |options, entry| {
            options.claim_timeout = entry.number(100.0..=60_000.0)?;
            Some(())
        },
    },
    Key {
        name: "links",
        expected: "a list of addresses with ports, one for each scheduler, such as [\"10.0.0.1:7100\"]",
        set: set_links,
    },
    Key {
        name: "covered",
        expected: "a list of classes, such as [\"market-sale\"]",
        set: |options, entry| {
            options.replicated_classes = entry.strings()?;
            options.lines.replicated_classes = entry.line();
            Some(())
        },
    },
    Key {
        name: "refused",
        expected: "a list of classes, such as [\"market-sale\"]",
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
    /// Checks that failover is enabled only if the cluster is.
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

    /// Checks, if failover is enabled, that each scheduler has a link address, that the lists name classes of
    /// the configuration, and that the classes which require replication are replicated.
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

/// Checks that the list of `key` names only classes of the configuration.
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
