//! A test cluster that is killed itself, with no time to clean up, leaves no process behind.
#![allow(missing_docs)]

use brackenledge_test_cluster::{Options, Scenario, run};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(15);
/// Where the processes that stand in for schedulers write their ids.
const FOLDER: &str = "TEST_CLUSTER_FOLDER";

/// The test cluster that is to be killed: it is run by the test below, as a process, and would wait for its schedulers
/// for 20 s.
#[test]
#[ignore = "run by the test below as a process of its own"]
fn a_test_cluster_that_waits() {
    let Some(folder) = std::env::var_os(FOLDER).map(PathBuf::from) else { return };
    let text = "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 3\n";
    let scenario = Scenario::parse(Path::new("a.toml"), text).expect("a scenario");
    let _ = run(&scenario, &Options { program: folder.join("program"), stop: None });
}

/// Whether a process still runs; one that has ended and was not waited for does not.
fn runs(id: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(')').next().is_some_and(|rest| !rest.trim().is_empty() && !rest.trim().starts_with('Z'))
}

fn until(what: &str, done: impl Fn() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_test_cluster_that_is_killed_takes_its_processes_with_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let program = folder.path().join("program");
    // A process that never serves, in the scheduler's place.
    std::fs::write(&program, "#!/bin/sh\n: > \"$TEST_CLUSTER_FOLDER/id-$$\"\nexec sleep 600\n")
        .expect("written");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).expect("it can be run");
    let mut test_cluster = Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", "a_test_cluster_that_waits", "--ignored"])
        .env(FOLDER, folder.path())
        .env("TMPDIR", folder.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the test cluster starts");
    let ids = || -> Vec<String> {
        let entries = std::fs::read_dir(folder.path()).expect("a folder");
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        names.filter_map(|name| name.strip_prefix("id-").map(str::to_owned)).collect()
    };
    until("three processes start", || ids().len() == 3);
    assert!(ids().iter().all(|id| runs(id)));
    test_cluster.kill().expect("killed");
    test_cluster.wait().expect("waited for");
    until("they end with the test cluster", || !ids().iter().any(|id| runs(id)));
}
