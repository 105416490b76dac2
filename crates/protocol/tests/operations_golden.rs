//! Golden tests of the operators' file: one literal text that sets every key to a value other than its
//! default.
//!
//! Operators' files outlive the build that they were written for, so the meaning of a key must not change
//! when identifiers in the source do. The text has all keys of commit 72e1d57, with the values that were read
//! then. A failure means that a valid file is now rejected or read differently.
#![allow(missing_docs)]

use brackenledge_protocol::operations::{
    ClusterOptions, ControlOptions, DrainOptions, FailoverLines, FailoverOptions, Operations, ZoneOptions,
};
use std::path::{Path, PathBuf};

const TEXT: &str = r#"[control]
callers_most = 33
line_time_ms = 9_001

[drain]
takes_work_for_ms = 1202

[tier]
on = true
lease_ms = 2303
voters = 3
state_dir = "/var/lib/brackenledge-golden"

[zones]
on = true
regions = ["north-a north-b", "south"]

[handover]
on = true
links = ["10.0.0.1:7100", "[::1]:7101"]
covered = ["market-sale", "farm-view"]
refused = ["market-sale"]
copies = 3
records_most = 12_345
megabytes_most = 17
keep_ms = 11_006
patience_ms = 5007
"#;

fn path() -> &'static Path {
    Path::new("deploy/operations.toml")
}

#[test]
fn every_key_sets_its_value() {
    let wanted = Operations {
        control: ControlOptions { max_clients: 33, line_timeout: 9_001.0 },
        drain: DrainOptions { admission_grace: 1_202.0 },
        cluster: ClusterOptions {
            enabled: true,
            lease_duration: 2_303.0,
            voters: 3,
            state_dir: Some(PathBuf::from("/var/lib/brackenledge-golden")),
        },
        failover: FailoverOptions {
            enabled: true,
            links: vec![
                "10.0.0.1:7100".parse().expect("an address"),
                "[::1]:7101".parse().expect("an address"),
            ],
            replicated_classes: vec!["market-sale".into(), "farm-view".into()],
            replication_required: vec!["market-sale".into()],
            replication_factor: 3,
            max_records: 12_345,
            max_bytes: 17 << 20,
            retention: 11_006.0,
            claim_timeout: 5_007.0,
            lines: FailoverLines { links: 20, replicated_classes: 21, replication_required: 22 },
        },
        zones: ZoneOptions {
            enabled: true,
            regions: vec![vec!["north-a".into(), "north-b".into()], vec!["south".into()]],
            regions_line: 16,
        },
    };
    assert_eq!(Operations::parse(path(), TEXT), Ok(wanted));
}

#[test]
fn an_empty_file_gives_these_defaults() {
    let wanted = Operations {
        control: ControlOptions { max_clients: 16, line_timeout: 8_000.0 },
        drain: DrainOptions { admission_grace: 1_500.0 },
        cluster: ClusterOptions { enabled: false, lease_duration: 1_500.0, voters: 5, state_dir: None },
        failover: FailoverOptions {
            enabled: false,
            links: Vec::new(),
            replicated_classes: Vec::new(),
            replication_required: Vec::new(),
            replication_factor: 2,
            max_records: 20_000,
            max_bytes: 67_108_864,
            retention: 10_000.0,
            claim_timeout: 4_000.0,
            lines: FailoverLines { links: 0, replicated_classes: 0, replication_required: 0 },
        },
        zones: ZoneOptions { enabled: false, regions: Vec::new(), regions_line: 0 },
    };
    assert_eq!(Operations::parse(path(), ""), Ok(wanted));
}

#[test]
fn the_shipped_file_has_exactly_the_keys_of_the_golden_text() {
    let keys = |text: &str| {
        let (mut table, mut keys) = (String::new(), Vec::new());
        for line in text.lines() {
            // The only key without a default is commented out in the file.
            let line = if line.starts_with("# state_dir = ") { &line[2..] } else { line };
            if let Some(name) = line.strip_prefix('[') {
                table = name.trim_end_matches(']').to_owned();
            } else if let Some((key, _)) = line.split_once(" = ").filter(|_| !line.starts_with('#')) {
                keys.push(format!("{table}.{key}"));
            }
        }
        keys.sort();
        keys
    };
    let shipped = include_str!("../../../deploy/operations.toml");
    assert_eq!(keys(shipped), keys(TEXT));
    assert_eq!(keys(TEXT).len(), 18);
}
