//! A test cluster that is killed, and so can't clean up, leaves no process behind.
#![allow(missing_docs)]

use brackenledge_test_cluster::{Options, Scenario, run};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(15);
/// Environment variable: the directory in which the scripts that replace the schedulers create a file per
/// process id.
const ID_DIRECTORY: &str = "TEST_CLUSTER_FOLDER";

/// The test cluster that gets killed. The test below runs it in a process of its own, where it waits up to 20
/// s for its schedulers to start.
#[test]
#[ignore = "run by the test below as a process of its own"]
fn a_test_cluster_waiting_for_its_schedulers() {
    let Some(directory) = std::env::var_os(ID_DIRECTORY).map(PathBuf::from) else { return };
    let text = "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 3\n";
    let scenario = Scenario::parse(Path::new("a.toml"), text).expect("a scenario");
    let _ = run(&scenario, &Options { program: directory.join("program"), stop: None });
}

/// Whether a process runs; a zombie does not.
fn is_running(id: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(')').next().is_some_and(|rest| !rest.trim().is_empty() && !rest.trim().starts_with('Z'))
}

fn wait_until(expected: &str, holds: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {expected}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn processes_of_a_killed_test_cluster_are_killed_too() {
    let directory = tempfile::tempdir().expect("a directory");
    let program = directory.path().join("program");
    // Replaces the scheduler: a process that never serves.
    std::fs::write(&program, "#!/bin/sh\n: > \"$TEST_CLUSTER_FOLDER/id-$$\"\nexec sleep 600\n")
        .expect("the script is written");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755))
        .expect("the script is made executable");
    let mut test_cluster = Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", "a_test_cluster_waiting_for_its_schedulers", "--ignored"])
        .env(ID_DIRECTORY, directory.path())
        .env("TMPDIR", directory.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the test cluster starts");
    let ids = || -> Vec<String> {
        let entries = std::fs::read_dir(directory.path()).expect("the directory is read");
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        names.filter_map(|name| name.strip_prefix("id-").map(str::to_owned)).collect()
    };
    wait_until("three processes start", || ids().len() == 3);
    assert!(ids().iter().all(|id| is_running(id)));
    test_cluster.kill().expect("killed");
    test_cluster.wait().expect("waited for");
    wait_until("the processes end", || !ids().iter().any(|id| is_running(id)));
}
