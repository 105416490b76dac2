//! Tests of error texts. Reports of failed tests may be truncated, so the first lines must state the cause.
#![allow(missing_docs)]

use brackenledge_test_cluster::{Error, StartState};

/// The state of a scheduler that is up, apart from replication.
fn state(scheduler: usize, is_replicating: bool) -> StartState {
    let failover = Some("handover.figure=1 ".repeat(50));
    StartState { scheduler, is_serving: true, is_up: true, is_replicating, failover }
}

#[test]
fn the_start_timeout_error_states_what_each_scheduler_lacks_before_figures_and_logs() {
    let schedulers = (0..6).map(|number| state(number, number != 4)).collect();
    let log = vec!["-1 scheduler 0: a line of its log".to_owned()];
    let text = Error::StartTimeout { timeout_ms: 20_000.0, schedulers, log }.to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "the cluster is not up after 20000 ms:");
    assert_eq!(
        lines[5],
        "scheduler 4: serving true, up at the front proxy true, answers INFO true, replicating false"
    );
    assert!(lines[6].ends_with("replicating true"), "{text}");
    assert!(lines[7].starts_with("scheduler 0: handover.figure=1 "), "{text}");
    assert_eq!(lines[13], "-1 scheduler 0: a line of its log");
}
