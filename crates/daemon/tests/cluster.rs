//! Several processes of the program in a test cluster, with faults between them: each file in `scenarios/` is played once
//! and must come to what it expects. `docs/measurements/test-cluster.md` has what several runs of each show.
#![allow(missing_docs)]

use brackenledge_test_cluster::cluster::AdminReply;
use brackenledge_test_cluster::history::HistoryEvent;
use brackenledge_test_cluster::{Options, Outcome, Report, Scenario, check, report, run};
use std::path::{Path, PathBuf};

/// Jobs of each class that must have been served, or a run without violations shows nothing.
const MIN_SERVED: usize = 10;
/// The same for datagrams between schedulers.
const MIN_MESSAGES: usize = 10;
/// Late fenced messages that the scenario which delays them must have.
const MIN_LATE_FENCED_MESSAGES: usize = 10;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn options() -> Options {
    Options { program: env!("CARGO_BIN_EXE_brackenledge").into(), stop: None }
}

/// Whether a process of this id is one of the program's.
fn is_running(id: &u32) -> bool {
    std::fs::read_to_string(format!("/proc/{id}/cmdline")).is_ok_and(|line| line.contains("brackenledge"))
}

/// A figure in the reply of an admin endpoint.
fn figure(reply: &AdminReply, prefix: &str) -> usize {
    let value = reply.text.split_whitespace().find_map(|field| field.strip_prefix(prefix));
    value.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

/// Plays a scenario, which the test cluster must be able to.
fn outcome_of(scenario: &Scenario) -> Outcome {
    // As text, whose first lines say what is wrong.
    run(scenario, &options()).unwrap_or_else(|error| panic!("{} did not run: {error}", scenario.name))
}

/// Plays a scenario's file and requires what it expects.
fn plays(name: &str) {
    let scenario = Scenario::load(&folder().join(format!("{name}.toml"))).expect("a scenario");
    let outcome = outcome_of(&scenario);
    let checked = check(&outcome.history, &scenario);
    let verdict = checked.verdict(&scenario);
    let summary = report::summary(&scenario, &checked, &verdict);
    assert!(verdict.passed(), "{summary}\n{} turns of the test cluster were late", outcome.slow_iterations);
    assert_eq!(outcome.crashed, [""; 0], "{summary}");
    // The checker must have observed the cluster at work, or its silence says nothing.
    assert!(checked.served.iter().all(|&served| served > MIN_SERVED), "{summary}");
    assert!(checked.messages > MIN_MESSAGES, "schedulers sent one another nothing: {summary}");
    assert!(outcome.process_ids.len() >= scenario.schedulers);
    if scenario.operations.is_some() {
        requires_leases(&checked, &outcome, &summary);
    }
    if scenario.failover.is_some() {
        requires_failover(&scenario, &checked, &outcome, &summary);
    }
    requires_fencing(name, &checked, &outcome, &summary);
    assert_eq!(
        outcome.process_ids.iter().filter(|id| is_running(id)).count(),
        0,
        "processes were left behind"
    );
}

/// Lease holders were named, and each process that still runs knows one of the first role.
fn requires_leases(checked: &Report, outcome: &Outcome, summary: &str) {
    assert!(!checked.role_holders.is_empty(), "no lease holder was ever named: {summary}");
    let known = |reply: &AdminReply| reply.text.starts_with("done\nduty=relay owner=");
    assert!(outcome.role_replies.iter().all(known), "{:?}", outcome.role_replies);
}

/// Jobs were replicated, and takeovers are counted by the processes too.
fn requires_failover(scenario: &Scenario, checked: &Report, outcome: &Outcome, summary: &str) {
    let sums = report::sum_figures(&outcome.info_replies, "handover.");
    let sum = |name: &str| sums.get(&format!("handover.{name}")).copied().unwrap_or(0);
    assert_eq!(sum("nonsense"), 0, "{sums:?}\n{summary}");
    // The process whose duplicate replaced it must be back by then.
    let all_are_back =
        scenario.name != "failover-duplicate-process" || sum("settled") == scenario.schedulers as u64;
    assert!(all_are_back && sum("settled") > 0, "{sums:?}\n{summary}");
    assert!(sum("kept_ended.market-sale") + sum("refused") > 0, "no job was replicated: {sums:?}");
    // The processes that still run have counted the takeovers observed, and more: jobs that were not sent again.
    let takeovers = checked.takeovers.iter().sum::<usize>() as u64;
    let some_are_gone = outcome.info_replies.len() < scenario.schedulers;
    assert!(some_are_gone || sum("adopted") >= takeovers, "{sums:?}\n{summary}");
}

/// Fenced messages that arrived after one of a newer term were rejected by their receivers.
fn requires_fencing(name: &str, checked: &Report, outcome: &Outcome, summary: &str) {
    let late = checked.late_fenced_messages;
    // Where messages are delayed for it, some must have come late, or the next check shows nothing.
    assert!(name != "late-fenced-messages" || late > MIN_LATE_FENCED_MESSAGES, "{summary}");
    let rejected: usize = outcome.role_replies.iter().map(|reply| figure(reply, "deeds_refused=")).sum();
    assert!(rejected >= late, "{rejected} rejected of {late} late fenced messages: {summary}");
}

macro_rules! scenarios {
    ($($test:ident $file:literal)*) => {
        $(#[test]
        fn $test() {
            plays($file);
        })*

        #[test]
        fn every_file_is_played() {
            let mut files: Vec<String> = std::fs::read_dir(folder())
                .expect("a folder")
                .map(|entry| entry.expect("an entry").path().file_stem().expect("a name").to_string_lossy().into())
                .collect();
            files.sort();
            let mut played = vec![$($file),*];
            played.sort_unstable();
            assert_eq!(files, played);
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

/// The number of active schedulers that each process still running at the end reports.
fn reported_active_members(text: &str) -> Vec<String> {
    let scenario = Scenario::parse(Path::new("active.toml"), text).expect("a scenario");
    let outcome = outcome_of(&scenario);
    let active = |reply: &AdminReply| {
        let mut fields = reply.text.split_whitespace();
        let value = fields.find_map(|field| field.strip_prefix("living="));
        value.unwrap_or_else(|| panic!("no count in {}", reply.text)).to_owned()
    };
    outcome.member_replies.iter().map(active).collect()
}

const FIVE: &str = "name = \"active\"\nwhy = \"x\"\n[cluster]\nschedulers = 5\noperations = \"[tier]\\non = true\\n\"\n\
                    [traffic]\nseconds = 24\n";

#[test]
fn remaining_members_report_the_active_ones() {
    let kill = "[[fault]]\nkind = \"kill\"\nat = 5.0\ntargets = [\"scheduler 1\", \"scheduler 4\"]\n";
    assert_eq!(reported_active_members(&format!("{FIVE}{kill}")), ["3", "3", "3"]);
}

#[test]
fn a_side_without_a_majority_reports_every_member() {
    let kill = "[[fault]]\nkind = \"kill\"\nat = 5.0\ntargets = [\"scheduler 0\", \"scheduler 1\", \"scheduler 4\"]\n";
    assert_eq!(reported_active_members(&format!("{FIVE}{kill}")), ["5", "5"]);
}

/// What a scheduler was told is a worker's address must be that again once the worker is back.
#[test]
fn a_worker_that_comes_back_is_sent_work_again() {
    const BACK_AT: f64 = 2_000.0;
    let text = "name = \"back\"\nwhy = \"x\"\n[cluster]\nschedulers = 2\n[workers]\ncount = 2\n[traffic]\nseconds = 8\n\
                per-second = 20\n[[fault]]\nkind = \"kill\"\nat = 1.0\nuntil = 2.0\ntargets = [\"worker 0\"]\n";
    let scenario = Scenario::parse(Path::new("back.toml"), text).expect("a scenario");
    let outcome = outcome_of(&scenario);
    let is_sent = |event: &&HistoryEvent| matches!(event, HistoryEvent::AttemptReceived { at, worker: 0, .. } if *at > BACK_AT);
    let attempts = outcome.history.iter().filter(is_sent).count();
    assert!(attempts > 10, "{attempts} attempts in 6 s");
}

/// What goes wrong before or beside a run is reported, and leaves nothing behind.
mod errors {
    use super::*;
    use std::sync::Arc;
    use std::sync::atomic::AtomicBool;

    fn short() -> Scenario {
        let text = "name = \"short\"\nwhy = \"x\"\n[cluster]\nschedulers = 2\n[traffic]\nseconds = 1\n";
        Scenario::parse(Path::new("short.toml"), text).expect("a scenario")
    }

    fn error(scenario: &Scenario, options: &Options) -> String {
        run(scenario, options).expect_err("no run").to_string()
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
