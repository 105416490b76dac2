//! Runs several processes of the program in a test cluster and injects faults. Each scenario in `scenarios/`
//! runs once and must meet its expectations. `docs/measurements/test-cluster.md` has the results of several
//! runs of each.
#![allow(missing_docs)]

use brackenledge_test_cluster::cluster::AdminReply;
use brackenledge_test_cluster::history::HistoryEvent;
use brackenledge_test_cluster::{Options, Outcome, Report, Scenario, check, report, run};
use std::path::{Path, PathBuf};

/// More jobs of each class than this must have been served, or a run without violations proves nothing.
const MIN_SERVED: usize = 10;
/// More messages between schedulers than this must have been observed, for the same reason.
const MIN_MESSAGES: usize = 10;
/// More late fenced messages than this must have been observed in the scenario that delays them.
const MIN_LATE_FENCED_MESSAGES: usize = 10;

fn scenarios_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn options() -> Options {
    Options { program: env!("CARGO_BIN_EXE_brackenledge").into(), stop: None }
}

/// Whether a process with this id is running the program.
fn is_running(id: &u32) -> bool {
    std::fs::read_to_string(format!("/proc/{id}/cmdline")).is_ok_and(|line| line.contains("brackenledge"))
}

/// The number after `prefix` in the reply of an admin endpoint; 0 if there is none.
fn figure(reply: &AdminReply, prefix: &str) -> usize {
    let value = reply.text.split_whitespace().find_map(|field| field.strip_prefix(prefix));
    value.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

/// Runs a scenario, and panics if the test cluster can't run it.
fn run_scenario(scenario: &Scenario) -> Outcome {
    // Formatted with `Display`, so that the first lines of the panic message state the cause.
    run(scenario, &options()).unwrap_or_else(|error| panic!("{} did not run: {error}", scenario.name))
}

/// Runs the scenario of this name and checks that its expectations are met.
fn run_and_check(name: &str) {
    let scenario = Scenario::load(&scenarios_directory().join(format!("{name}.toml"))).expect("a scenario");
    let outcome = run_scenario(&scenario);
    let checked = check(&outcome.history, &scenario);
    let verdict = checked.verdict(&scenario);
    let summary = report::summary(&scenario, &checked, &verdict);
    assert!(
        verdict.passed(),
        "{summary}\n{} event loop iterations of the test cluster were slow",
        outcome.slow_iterations
    );
    assert_eq!(outcome.crashed, [""; 0], "{summary}");
    // The checker must have observed a working cluster, or the absence of violations proves nothing.
    assert!(checked.served.iter().all(|&served| served > MIN_SERVED), "{summary}");
    assert!(checked.messages > MIN_MESSAGES, "no messages between schedulers were observed: {summary}");
    assert!(outcome.process_ids.len() >= scenario.schedulers);
    if scenario.operations.is_some() {
        check_leases(&checked, &outcome, &summary);
    }
    if scenario.failover.is_some() {
        check_failover(&scenario, &checked, &outcome, &summary);
    }
    check_fencing(name, &checked, &outcome, &summary);
    assert_eq!(
        outcome.process_ids.iter().filter(|id| is_running(id)).count(),
        0,
        "processes were still running after the end of the run"
    );
}

/// Checks that role holders were announced, and that each process still running knows a holder of the first
/// role.
fn check_leases(checked: &Report, outcome: &Outcome, summary: &str) {
    assert!(!checked.role_holders.is_empty(), "no role holder was ever announced: {summary}");
    let known = |reply: &AdminReply| reply.text.starts_with("done\nduty=relay owner=");
    assert!(outcome.role_replies.iter().all(known), "{:?}", outcome.role_replies);
}

/// Checks that jobs were replicated, and that the processes' own counters cover the takeovers that the
/// checker observed.
fn check_failover(scenario: &Scenario, checked: &Report, outcome: &Outcome, summary: &str) {
    let sums = report::sum_figures(&outcome.info_replies, "handover.");
    let sum = |name: &str| sums.get(&format!("handover.{name}")).copied().unwrap_or(0);
    assert_eq!(sum("nonsense"), 0, "{sums:?}\n{summary}");
    // The process that was superseded by its duplicate must have rejoined by the end.
    let all_have_rejoined =
        scenario.name != "failover-duplicate-process" || sum("settled") == scenario.schedulers as u64;
    assert!(all_have_rejoined && sum("settled") > 0, "{sums:?}\n{summary}");
    assert!(sum("kept_ended.market-sale") + sum("refused") > 0, "no job was replicated: {sums:?}");
    // If all processes are still running, they have counted at least the observed takeovers. They also count
    // takeovers of jobs of which no further attempt was sent, which the checker does not observe.
    let takeovers = checked.takeovers.iter().sum::<usize>() as u64;
    let some_have_ended = outcome.info_replies.len() < scenario.schedulers;
    assert!(some_have_ended || sum("adopted") >= takeovers, "{sums:?}\n{summary}");
}

/// Checks that receivers rejected the fenced messages that arrived after one of a newer term.
fn check_fencing(name: &str, checked: &Report, outcome: &Outcome, summary: &str) {
    let late = checked.late_fenced_messages;
    // In the scenario that delays fenced messages, some must have arrived late, or the next check proves
    // nothing.
    assert!(name != "late-fenced-messages" || late > MIN_LATE_FENCED_MESSAGES, "{summary}");
    let rejected: usize = outcome.role_replies.iter().map(|reply| figure(reply, "deeds_refused=")).sum();
    assert!(rejected >= late, "{rejected} rejected of {late} late fenced messages: {summary}");
}

macro_rules! scenarios {
    ($($test:ident $file:literal)*) => {
        $(#[test]
        fn $test() {
            run_and_check($file);
        })*

        #[test]
        fn every_file_is_played() {
            let mut files: Vec<String> = std::fs::read_dir(scenarios_directory())
                .expect("a directory")
                .map(|entry| entry.expect("an entry").path().file_stem().expect("a name").to_string_lossy().into())
                .collect();
            files.sort();
            let mut tested = vec![$($file),*];
            tested.sort_unstable();
            assert_eq!(files, tested);
        }
    };
}

scenarios! {
    aggregator_killed "aggregator-killed"
    aggregator_lease_holder_killed "aggregator-lease-holder-killed"
    aggregator_paused "aggregator-paused"
    broken_connections "broken-connections"
    calm "calm"
    crash_in_flight "crash-in-flight"
    discovery_outage_with_crash "discovery-outage-with-crash"
    duplicate_lease_holders "duplicate-lease-holders"
    drain_with_silent_watches "drain-with-silent-watches"
    duplicate_process "duplicate-process"
    failover_capacity_exceeded "failover-capacity-exceeded"
    failover_clients_reset "failover-clients-reset"
    failover_crash "failover-crash"
    failover_crash_in_rolling_restart "failover-crash-in-rolling-restart"
    failover_crash_then_replica "failover-crash-then-replica"
    failover_duplicate_process "failover-duplicate-process"
    failover_leader_killed "failover-leader-killed"
    failover_links_reset "failover-links-reset"
    failover_loss_and_delay "failover-loss-and-delay"
    failover_partition_from_replicas "failover-partition-from-replicas"
    failover_partition_from_workers "failover-partition-from-workers"
    failover_pause_10s "failover-pause-10s"
    failover_pause_1s "failover-pause-1s"
    failover_pause_4s "failover-pause-4s"
    failover_resumed_rejects "failover-resumed-rejects"
    failover_slow_replicas "failover-slow-replicas"
    failover_split_3_3 "failover-split-3-3"
    failover_two_at_once "failover-two-at-once"
    few_descriptors "few-descriptors"
    late_fenced_messages "late-fenced-messages"
    lease_holder_killed "lease-holder-killed"
    lease_holder_killed_loss_30 "lease-holder-killed-loss-30"
    lease_holder_one_way_partition "lease-holder-one-way-partition"
    lease_holder_paused "lease-holder-paused"
    lease_holder_terminated "lease-holder-terminated"
    loss_10 "loss-10"
    loss_30 "loss-30"
    loss_50 "loss-50"
    no_quorum "no-quorum"
    partition_bidirectional "partition-bidirectional"
    partition_inbound "partition-inbound"
    partition_outbound "partition-outbound"
    pause_10s "pause-10s"
    pause_1s "pause-1s"
    pause_4s "pause-4s"
    rolling_restart "rolling-restart"
    split_3_2 "split-3-2"
    split_4_4 "split-4-4"
    stale_endpoint_list "stale-endpoint-list"
    voters_lose_state "voters-lose-state"
    warm_up_after_restart "warm-up-after-restart"
    zone_lost "zone-lost"
    zone_routing_flapping "zone-routing-flapping"
    zone_routing_partition "zone-routing-partition"
    zone_routing_planner_killed "zone-routing-planner-killed"
    zone_routing_workers_lost "zone-routing-workers-lost"
}

/// Runs a scenario. Returns the number of active schedulers that each process still running at its end
/// reports.
fn reported_active_members(text: &str) -> Vec<String> {
    let scenario = Scenario::parse(Path::new("active.toml"), text).expect("a scenario");
    let outcome = run_scenario(&scenario);
    let active = |reply: &AdminReply| {
        let mut fields = reply.text.split_whitespace();
        let value = fields.find_map(|field| field.strip_prefix("living="));
        value.unwrap_or_else(|| panic!("no count of active schedulers in {}", reply.text)).to_owned()
    };
    outcome.member_replies.iter().map(active).collect()
}

const FIVE_SCHEDULERS: &str = "name = \"active\"\nwhy = \"x\"\n[cluster]\nschedulers = 5\noperations = \"[tier]\\non = true\\n\"\n\
                    [traffic]\nseconds = 24\n";

#[test]
fn remaining_members_report_the_active_ones() {
    let kill = "[[fault]]\nkind = \"kill\"\nat = 5.0\ntargets = [\"scheduler 1\", \"scheduler 4\"]\n";
    assert_eq!(reported_active_members(&format!("{FIVE_SCHEDULERS}{kill}")), ["3", "3", "3"]);
}

#[test]
fn a_side_without_a_majority_reports_every_member() {
    let kill = "[[fault]]\nkind = \"kill\"\nat = 5.0\ntargets = [\"scheduler 0\", \"scheduler 1\", \"scheduler 4\"]\n";
    assert_eq!(reported_active_members(&format!("{FIVE_SCHEDULERS}{kill}")), ["5", "5"]);
}

/// A restarted worker keeps its address, and must get jobs at that address again.
#[test]
fn a_worker_that_comes_back_is_sent_work_again() {
    /// When the worker is back, in milliseconds of the run.
    const BACK_AT: f64 = 2_000.0;
    let text = "name = \"back\"\nwhy = \"x\"\n[cluster]\nschedulers = 2\n[workers]\ncount = 2\n[traffic]\nseconds = 8\n\
                per-second = 20\n[[fault]]\nkind = \"kill\"\nat = 1.0\nuntil = 2.0\ntargets = [\"worker 0\"]\n";
    let scenario = Scenario::parse(Path::new("back.toml"), text).expect("a scenario");
    let outcome = run_scenario(&scenario);
    let is_sent = |event: &&HistoryEvent| matches!(event, HistoryEvent::AttemptReceived { at, worker: 0, .. } if *at > BACK_AT);
    let attempts = outcome.history.iter().filter(is_sent).count();
    assert!(attempts > 10, "only {attempts} attempts in the 6 s after the worker was back");
}

/// Errors that prevent or end a run are reported.
mod errors {
    use super::*;
    use std::sync::Arc;
    use std::sync::atomic::AtomicBool;

    fn short() -> Scenario {
        let text = "name = \"short\"\nwhy = \"x\"\n[cluster]\nschedulers = 2\n[traffic]\nseconds = 1\n";
        Scenario::parse(Path::new("short.toml"), text).expect("a scenario")
    }

    fn error(scenario: &Scenario, options: &Options) -> String {
        run(scenario, options).expect_err("the run fails").to_string()
    }

    #[test]
    fn a_program_that_is_missing_is_named_with_the_remedy() {
        let options = Options { program: "/nowhere/brackenledge".into(), stop: None };
        let error = error(&short(), &options);
        assert!(error.contains("/nowhere/brackenledge"), "{error}");
    }

    #[test]
    fn a_process_that_dies_before_it_is_ready_ends_the_run_with_the_end_of_its_log() {
        let mut scenario = short();
        scenario.operations = Some("[doors]\n".into());
        let error = error(&scenario, &options());
        assert!(error.contains("before it was ready") && error.contains("unknown table [doors]"), "{error}");
    }

    #[test]
    fn a_run_that_is_interrupted_ends_its_processes() {
        let stop = Arc::new(AtomicBool::new(true));
        let error = error(&short(), &Options { stop: Some(stop), ..options() });
        assert!(error.contains("interrupted"), "{error}");
    }

    #[test]
    fn too_few_descriptors_are_reported_before_anything_starts() {
        let mut scenario = short();
        (scenario.schedulers, scenario.workers) = (32, 200);
        scenario.slots = 64;
        scenario.per_second = 2_000.0;
        let error = error(&scenario, &options());
        assert!(error.contains("raise `ulimit -n`"), "{error}");
    }
}
