//! Parsing of the operators' file, its errors, and its validation against the configuration.
#![allow(missing_docs)]

use brackenledge_protocol::ConfigError;
use brackenledge_protocol::operations::{
    ClusterOptions, ControlOptions, Deployment, DrainOptions, FailoverLines, Operations,
};
use std::path::Path;

fn path() -> &'static Path {
    Path::new("deploy/operations.toml")
}

fn parse(text: &str) -> Result<Operations, ConfigError> {
    Operations::parse(path(), text)
}

/// A deployment of two schedulers, two classes and two zones.
fn deployment() -> Deployment {
    Deployment {
        classes: vec!["farm-view".into(), "market-sale".into()],
        zones: vec!["north".into(), "south".into()],
        schedulers: 2,
    }
}

#[test]
fn regions_name_existing_zones_at_most_once() {
    let validate = |regions: &str| {
        let text = format!("[tier]\non = true\n[zones]\non = true\nregions = {regions}\n");
        let deployment = Deployment { classes: Vec::new(), ..deployment() };
        parse(&text).expect("a valid file").validate(path(), &deployment)
    };
    assert_eq!(validate("[\"north south\"]"), Ok(()));
    assert_eq!(validate("[]"), Ok(()));
    let unknown = validate("[\"nort\"]").expect_err("no such zone").to_string();
    assert!(unknown.starts_with("deploy/operations.toml:5: zones.regions names \"nort\""), "{unknown}");
    let twice = validate("[\"north\", \"south north\"]").expect_err("twice").to_string();
    assert!(twice.starts_with("deploy/operations.toml:5: zones.regions names \"north\" twice"), "{twice}");
}

#[test]
fn the_shipped_file_and_an_empty_one_give_the_defaults() {
    let shipped = include_str!("../../../deploy/operations.toml");
    let mut shipped_operations = parse(shipped).expect("the file as shipped");
    (shipped_operations.failover.lines, shipped_operations.zones.regions_line) =
        (FailoverLines::default(), 0);
    assert_eq!(shipped_operations, Operations::default());
    assert_eq!(parse(""), Ok(Operations::default()));
    let set = parse("[control]\ncallers_most = 32\nline_time_ms = 10_000\n[drain]\ntakes_work_for_ms = 0\n");
    let wanted = Operations {
        control: ControlOptions { max_clients: 32, line_timeout: 10_000.0 },
        drain: DrainOptions { admission_grace: 0.0 },
        ..Operations::default()
    };
    assert_eq!(set, Ok(wanted));
    let set = parse("[tier]\non = true\nlease_ms = 2_000\nvoters = 3\n");
    let cluster =
        ClusterOptions { enabled: true, lease_duration: 2_000.0, voters: 3, ..ClusterOptions::default() };
    assert_eq!(set, Ok(Operations { cluster, ..Operations::default() }));
}

#[test]
fn contradictions_to_the_configuration_are_reported_with_line_and_key() {
    let validate = |text: &str| {
        let text = format!("[tier]\non = true\n[handover]\non = true\n{text}");
        parse(&text)?.validate(path(), &deployment())
    };
    let links = "links = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n";
    assert_eq!(
        validate(&format!("{links}covered = [\"market-sale\"]\nrefused = [\"market-sale\"]\n")),
        Ok(())
    );
    let cases = [
        ("links = [\"127.0.0.1:1\"]\n".to_owned(), ":5: handover.links has 1 addresses for 2 schedulers"),
        (format!("{links}covered = [\"x\"]\n"), ":6: handover.covered names \"x\", which is not a class"),
        (
            format!("{links}refused = [\"farm-view\"]\n"),
            ":6: handover.refused names \"farm-view\", which is missing in handover.c",
        ),
    ];
    for (text, wanted) in cases {
        let error = validate(&text).expect_err(&text).to_string();
        assert!(error.starts_with(&format!("deploy/operations.toml{wanted}")), "{error}");
    }
}

#[test]
fn each_error_names_file_line_key_and_what_is_expected() {
    let cases = [
        (
            "[control]\ncallers_most = 0\n",
            "deploy/operations.toml:2: control.callers_most must be a whole number",
        ),
        (
            "[control]\n\nline_time_ms = \"8s\"\n",
            "deploy/operations.toml:3: control.line_time_ms must be a whole number of milliseconds",
        ),
        (
            "[drain]\ntakes_work_for_ms = 2500\n",
            "deploy/operations.toml:2: drain.takes_work_for_ms must be a whole number of milliseconds, \
             0 to 1900",
        ),
        (
            "[drain]\nlinger = 3\n",
            "deploy/operations.toml:2: unknown key drain.linger: the keys are takes_work_for_ms",
        ),
        ("[tier]\non = 1\n", "deploy/operations.toml:2: tier.on must be true or false"),
        ("[tier]\nstate_dir = 1\n", "deploy/operations.toml:2: tier.state_dir must be a directory's path"),
        ("[tier]\nstate_dir = \"\"\n", "deploy/operations.toml:2: tier.state_dir must be a directory's path"),
        ("[tier]\nvoters = 4\n", "deploy/operations.toml:2: tier.voters must be 3 or 5"),
        (
            "[tier]\nlease_ms = 100\n",
            "deploy/operations.toml:2: tier.lease_ms must be a whole number of milliseconds, 500",
        ),
        ("[zones]\non = true\n", "deploy/operations.toml:1: zones.on needs tier.on = true"),
        ("[zones]\nregions = [1]\n", "deploy/operations.toml:2: zones.regions must be a list of regions"),
        ("[handover]\non = true\n", "deploy/operations.toml:1: handover.on needs tier.on = true"),
        (
            "[handover]\nlinks = [\"here\"]\n",
            "deploy/operations.toml:2: handover.links must be a list of addresses",
        ),
        (
            "[handover]\ncovered = \"all\"\n",
            "deploy/operations.toml:2: handover.covered must be a list of classes",
        ),
        (
            "[handover]\ncopies = 0\n",
            "deploy/operations.toml:2: handover.copies must be a whole number of replicas",
        ),
        ("[doors]\n", "deploy/operations.toml:1: unknown table [doors]"),
        ("callers_most = 3\n", "deploy/operations.toml:1: `callers_most` must be a table"),
        ("[control]\ncallers_most = \n", "deploy/operations.toml:2: invalid TOML"),
    ];
    for (text, start) in cases {
        let error = parse(text).expect_err(text).to_string();
        assert!(error.starts_with(start), "{text:?}: {error}");
    }
}
