//! Errors in the configuration and in the operators' file.

use std::path::PathBuf;

/// An error in the configuration or in the operators' file. Its text is one line that names the file and what
/// is wrong or expected; for the operators' file also the line and the key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The configuration is invalid JSON, or has a missing field or a field of the wrong type.
    #[error(
        "{}: not a configuration: the JSON is invalid, `settings` or a field in it is missing, or a field \
         has the wrong type",
        .file.display()
    )]
    InvalidDocument {
        /// The configuration.
        file: PathBuf,
    },
    /// The configuration's settings define no class of jobs.
    #[error("{}: settings.classes is empty", .file.display())]
    NoClasses {
        /// The configuration.
        file: PathBuf,
    },
    /// The limit of file descriptors is too low.
    #[error("{}: limits.sockets is {value}, must be at least {min} (file descriptors)", .file.display())]
    SocketLimitTooLow {
        /// The configuration.
        file: PathBuf,
        /// The limit in the configuration.
        value: usize,
        /// The lowest limit accepted.
        min: usize,
    },
    /// The memory limit is too low.
    #[error("{}: limits.memory_mb must be at least {min} (megabytes)", .file.display())]
    MemoryLimitTooLow {
        /// The configuration.
        file: PathBuf,
        /// The lowest limit accepted, in whole megabytes.
        min: u32,
    },
    /// A field that has no default is missing.
    #[error("{}: required field `{field}` is missing", .file.display())]
    MissingField {
        /// The configuration.
        file: PathBuf,
        /// The field.
        field: &'static str,
    },
    /// A field does not hold a socket address.
    #[error("{}: {field} {value:?} is not an address with a port, such as 10.0.0.1:7100", .file.display())]
    InvalidAddress {
        /// The configuration.
        file: PathBuf,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("{}: seed {value:?} is not a hexadecimal number of at most 64 bits", .file.display())]
    InvalidSeed {
        /// The configuration.
        file: PathBuf,
        /// The seed's text.
        value: String,
    },
    /// The operators' file is not valid TOML.
    #[error("{}:{line}: invalid TOML: {message}", .file.display())]
    InvalidToml {
        /// The operators' file.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// The TOML parser's message.
        message: String,
    },
    /// A key at the top level holds a value instead of a table.
    #[error(
        "{}:{line}: `{key}` must be a table, not a value: the tables are [control], [drain], [tier], [zones] \
         and [handover]",
        .file.display()
    )]
    NotATable {
        /// The operators' file.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// The key.
        key: String,
    },
    /// The file has a table that does not exist.
    #[error(
        "{}:{line}: unknown table [{table}]: the tables are [control], [drain], [tier], [zones] and \
         [handover]",
        .file.display()
    )]
    UnknownTable {
        /// The operators' file.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// The table.
        table: String,
    },
    /// A table has a key that does not exist.
    #[error("{}:{line}: unknown key {table}.{key}: the keys are {}", .file.display(), .known.join(", "))]
    UnknownKey {
        /// The operators' file.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// The table.
        table: String,
        /// The key.
        key: String,
        /// All keys of the table.
        known: Vec<&'static str>,
    },
    /// A value has the wrong type or is out of range.
    #[error("{}:{line}: {table}.{key} must be {expected}", .file.display())]
    InvalidValue {
        /// The operators' file.
        file: PathBuf,
        /// Line of the value, from 1.
        line: usize,
        /// The table.
        table: String,
        /// The key.
        key: &'static str,
        /// Type and range of a valid value.
        expected: &'static str,
    },
    /// A feature that requires the cluster is enabled, but the cluster is disabled.
    #[error("{}:{line}: {table}.on needs tier.on = true: {reason}", .file.display())]
    ClusterRequired {
        /// The operators' file.
        file: PathBuf,
        /// Line of the table, from 1.
        line: usize,
        /// The feature's table.
        table: &'static str,
        /// Why the feature requires the cluster.
        reason: &'static str,
    },
    /// A region names a zone that is not in the configuration.
    #[error(
        "{}:{line}: zones.regions names {zone:?}, which is not a zone: the configuration's zones are {}",
        .file.display(),
        .known.join(", ")
    )]
    UnknownZone {
        /// The operators' file.
        file: PathBuf,
        /// Line of the regions, from 1.
        line: usize,
        /// The unknown name.
        zone: String,
        /// The configuration's zones.
        known: Vec<String>,
    },
    /// The regions name a zone more than once.
    #[error("{}:{line}: zones.regions names {zone:?} twice: a zone belongs to one region", .file.display())]
    DuplicateZone {
        /// The operators' file.
        file: PathBuf,
        /// Line of the regions, from 1.
        line: usize,
        /// The zone.
        zone: String,
    },
    /// The number of link addresses differs from the number of schedulers.
    #[error(
        "{}:{line}: handover.links has {links} addresses for {schedulers} schedulers: give one address for \
         each scheduler, in the order of their ordinals",
        .file.display()
    )]
    LinkCount {
        /// The operators' file.
        file: PathBuf,
        /// Line of the addresses, from 1.
        line: usize,
        /// Number of addresses.
        links: usize,
        /// Number of schedulers in the configuration.
        schedulers: usize,
    },
    /// A list names a class that is not in the configuration.
    #[error(
        "{}:{line}: handover.{key} names {class:?}, which is not a class: the configuration's classes are {}",
        .file.display(),
        .known.join(", ")
    )]
    UnknownClass {
        /// The operators' file.
        file: PathBuf,
        /// Line of the list, from 1.
        line: usize,
        /// The list's key.
        key: &'static str,
        /// The unknown name.
        class: String,
        /// The configuration's classes.
        known: Vec<String>,
    },
    /// A class whose jobs must not run without replicas is not replicated.
    #[error(
        "{}:{line}: handover.refused names {class:?}, which is missing in handover.covered: add it there",
        .file.display()
    )]
    ClassNotReplicated {
        /// The operators' file.
        file: PathBuf,
        /// Line of the list, from 1.
        line: usize,
        /// The class.
        class: String,
    },
}
