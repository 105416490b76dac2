//! Why a configuration or an operators' file can't be used.

use std::path::PathBuf;

/// What is wrong with the configuration or with the operators' file. The text is one line that names the file, in the
/// operators' file the line and the key too, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The configuration is not the JSON document that is expected.
    #[error(
        "{}: not a configuration: broken JSON, or `settings` lacks a field or has a wrong type",
        .file.display()
    )]
    InvalidDocument {
        /// The configuration.
        file: PathBuf,
    },
    /// The configuration's settings name no class of jobs.
    #[error("{}: settings.classes is empty", .file.display())]
    NoClasses {
        /// The configuration.
        file: PathBuf,
    },
    /// The process may hold too few file descriptors.
    #[error("{}: limits.sockets is {value}; {min} at least", .file.display())]
    SocketLimitTooLow {
        /// The configuration.
        file: PathBuf,
        /// The limit that it states.
        value: usize,
        /// The lowest limit accepted.
        min: usize,
    },
    /// The process may use too little memory.
    #[error("{}: limits.memory_mb is under {min}", .file.display())]
    MemoryLimitTooLow {
        /// The configuration.
        file: PathBuf,
        /// The lowest limit accepted, in whole megabytes.
        min: u32,
    },
    /// A field that has no default is missing.
    #[error("{}: `{field}` is missing", .file.display())]
    MissingField {
        /// The configuration.
        file: PathBuf,
        /// The field.
        field: &'static str,
    },
    /// A field does not hold a socket address.
    #[error("{}: {field} {value:?} is not an address with a port", .file.display())]
    InvalidAddress {
        /// The configuration.
        file: PathBuf,
        /// The field.
        field: &'static str,
        /// What it holds.
        value: String,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("{}: seed {value:?} is not hexadecimal", .file.display())]
    InvalidSeed {
        /// The configuration.
        file: PathBuf,
        /// The seed as stated.
        value: String,
    },
    /// The operators' file is not TOML.
    #[error("{}:{line}: not TOML: {message}", .file.display())]
    InvalidToml {
        /// The operators' file.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// What the TOML parser says.
        message: String,
    },
    /// A key stands outside all tables.
    #[error(
        "{}:{line}: `{key}` must be a table: [control], [drain], [tier], [zones] or [handover]",
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
    /// A table that is not known.
    #[error(
        "{}:{line}: unknown table [{table}]: [control], [drain], [tier], [zones] and [handover] are known",
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
    /// A key that its table does not know.
    #[error("{}:{line}: unknown key {table}.{key}: known are {}", .file.display(), .known.join(", "))]
    UnknownKey {
        /// The operators' file.
        file: PathBuf,
        /// Line, from 1.
        line: usize,
        /// The table.
        table: String,
        /// The key.
        key: String,
        /// The keys that the table knows.
        known: Vec<&'static str>,
    },
    /// A value of the wrong type or out of range.
    #[error("{}:{line}: {table}.{key} must be {remedy}", .file.display())]
    InvalidValue {
        /// The operators' file.
        file: PathBuf,
        /// Line of the value, from 1.
        line: usize,
        /// The table.
        table: String,
        /// The key.
        key: &'static str,
        /// What would be right.
        remedy: &'static str,
    },
    /// A part that needs the cluster is on, and the cluster is off.
    #[error("{}:{line}: {table}.on needs tier.on = true: {reason}", .file.display())]
    ClusterRequired {
        /// The operators' file.
        file: PathBuf,
        /// Line of the table, from 1.
        line: usize,
        /// The table of the part.
        table: &'static str,
        /// What it needs the cluster for.
        reason: &'static str,
    },
    /// A region names a zone that the configuration does not have.
    #[error("{}:{line}: zones.regions names {zone:?}, which is no zone: known are {}", .file.display(), .known.join(", "))]
    UnknownZone {
        /// The operators' file.
        file: PathBuf,
        /// Line of the regions, from 1.
        line: usize,
        /// The name.
        zone: String,
        /// The configuration's zones.
        known: Vec<String>,
    },
    /// A zone is named more than once.
    #[error("{}:{line}: zones.regions names {zone:?} twice: a zone is in one region", .file.display())]
    DuplicateZone {
        /// The operators' file.
        file: PathBuf,
        /// Line of the regions, from 1.
        line: usize,
        /// The zone.
        zone: String,
    },
    /// There is not one link address for each scheduler.
    #[error(
        "{}:{line}: handover.links has {links} addresses and there are {schedulers} schedulers: give one for each, in the order of their ordinals",
        .file.display()
    )]
    LinkCount {
        /// The operators' file.
        file: PathBuf,
        /// Line of the addresses, from 1.
        line: usize,
        /// How many there are.
        links: usize,
        /// How many schedulers there are.
        schedulers: usize,
    },
    /// A list names a class that the configuration does not have.
    #[error("{}:{line}: handover.{key} names {class:?}, which is no class: known are {}", .file.display(), .known.join(", "))]
    UnknownClass {
        /// The operators' file.
        file: PathBuf,
        /// Line of the list, from 1.
        line: usize,
        /// The list's key.
        key: &'static str,
        /// The name.
        class: String,
        /// The configuration's classes.
        known: Vec<String>,
    },
    /// A class whose jobs need replicas is not among those that are replicated.
    #[error(
        "{}:{line}: handover.refused names {class:?}, which handover.covered does not: add it there",
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
