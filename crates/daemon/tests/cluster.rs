//! Several processes of the program on the rig, faults between them: each file in `scenarios/` is played once, and
//! must come to what it expects. What several runs of it show stands in `docs/measurements/tier.md`.
#![allow(missing_docs)]

use brackenledge_test_cluster::checker::audit;
use brackenledge_test_cluster::cluster::Options;
use brackenledge_test_cluster::{Scenario, report, run};
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn options() -> Options {
    Options { program: env!("CARGO_BIN_EXE_brackenledge").into(), stop: None }
}

/// Whether a process of this id is one of the program's.
fn runs(id: &u32) -> bool {
    std::fs::read_to_string(format!("/proc/{id}/cmdline")).is_ok_and(|line| line.contains("brackenledge"))
}

/// A figure in the reply of a door.
fn figure(reply: &str, name: &str) -> usize {
    let word = reply.split_whitespace().find_map(|word| word.strip_prefix(name));
    word.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

fn plays(name: &str) {
    let scenario = Scenario::load(&folder().join(format!("{name}.toml"))).expect("a scenario");
    let outcome = run(&scenario, &options()).expect("the tier runs");
    let audit = audit(&outcome.history, &scenario);
    let verdict = audit.verdict(&scenario);
    let shown = report::summary(&scenario, &audit, &verdict);
    assert!(verdict.short.is_empty(), "{shown}\nthe rig was late {} times", outcome.rig_late);
    assert_eq!(outcome.crashed, [""; 0], "{shown}");
    // The ledger must have seen the tier at work, or its silence says nothing.
    assert!(audit.served.iter().all(|&served| served > 10), "{shown}");
    assert!(audit.messages > 10, "schedulers told one another nothing: {shown}");
    assert!(outcome.processes.len() >= scenario.schedulers);
    if scenario.operations.is_some() {
        assert!(!audit.owners.is_empty(), "nobody was ever named an owner: {shown}");
        assert!(
            outcome.doors.iter().all(|door| door.1.starts_with("done\nduty=relay owner=")),
            "{:?}",
            outcome.doors
        );
    }
    if scenario.handover.is_some() {
        let sums = report::figures(&outcome.figures, "handover.");
        let sum = |name: &str| sums.get(&format!("handover.{name}")).copied().unwrap_or(0);
        assert_eq!(sum("nonsense"), 0, "{sums:?}\n{shown}");
        // The one that was replaced must be back by then.
        let all = name != "handover-twin" || sum("settled") == scenario.schedulers as u64;
        assert!(all && sum("settled") > 0, "{sums:?}\n{shown}");
        assert!(sum("kept_ended.market-sale") + sum("refused") > 0, "no order was covered: {sums:?}");
        // What the ledger saw taken over, the processes that still run have counted, and more: what was not sent again.
        let adopted = audit.adopted.iter().sum::<usize>() as u64;
        assert!(
            outcome.figures.len() < scenario.schedulers || sum("adopted") >= adopted,
            "{sums:?}\n{shown}"
        );
    }
    // Where messages are held back for it, some must have come late, or the next check shows nothing.
    assert!(name != "late-deeds" || audit.late_deeds > 10, "{shown}");
    // Whatever came after a newer term was refused by whoever got it.
    let refused: usize = outcome.doors.iter().map(|door| figure(&door.1, "deeds_refused=")).sum();
    assert!(refused >= audit.late_deeds, "{refused} refused of {} late deeds: {shown}", audit.late_deeds);
    assert_eq!(outcome.processes.iter().filter(|id| runs(id)).count(), 0, "processes were left behind");
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
    handover_clients_reset "handover-clients-reset"
    handover_crash "handover-crash"
    handover_crash_in_rolling_restart "handover-crash-in-rolling-restart"
    handover_crash_then_keeper "handover-crash-then-keeper"
    handover_cut_from_keepers "handover-cut-from-keepers"
    handover_cut_from_workers "handover-cut-from-workers"
    handover_full "handover-full"
    handover_links_reset "handover-links-reset"
    handover_loss_and_delay "handover-loss-and-delay"
    handover_pause_10s "handover-pause-10s"
    handover_pause_1s "handover-pause-1s"
    handover_pause_4s "handover-pause-4s"
    handover_slow_keepers "handover-slow-keepers"
    handover_split_3_3 "handover-split-3-3"
    handover_steward_killed "handover-steward-killed"
    handover_twin "handover-twin"
    handover_woken_refuses "handover-woken-refuses"
    handover_two_at_once "handover-two-at-once"
    broken_links "broken-links"
    calm "calm"
    cold_return "cold-return"
    crash_in_hand "crash-in-hand"
    cut_both "cut-both"
    cut_in "cut-in"
    cut_out "cut-out"
    deaf_one_way "deaf-one-way"
    few_descriptors "few-descriptors"
    late_deeds "late-deeds"
    loss_10 "loss-10"
    loss_30 "loss-30"
    loss_50 "loss-50"
    no_agreement "no-agreement"
    outage_with_crash "outage-with-crash"
    owner_killed "owner-killed"
    owner_killed_loss_30 "owner-killed-loss-30"
    owner_leaves "owner-leaves"
    owner_stopped "owner-stopped"
    pause_1s "pause-1s"
    pause_4s "pause-4s"
    pause_10s "pause-10s"
    relay_killed "relay-killed"
    relay_owned "relay-owned"
    relay_paused "relay-paused"
    rolling_restart "rolling-restart"
    split_3_2 "split-3-2"
    split_4_4 "split-4-4"
    stale_list "stale-list"
    twin "twin"
    twins_of_owners "twins-of-owners"
    voters_forget "voters-forget"
    zone_gone "zone-gone"
    zones_cut_off "zones-cut-off"
    zones_flapping "zones-flapping"
    zones_owner_killed "zones-owner-killed"
    zones_workers_gone "zones-workers-gone"
}

/// What each process that is left says at its door of how many schedulers it reckons with.
fn reckoned(text: &str) -> Vec<String> {
    let scenario = Scenario::parse(Path::new("living.toml"), text).expect("a scenario");
    let outcome = run(&scenario, &options()).expect("the tier runs");
    let living = |reply: &String| {
        let word = reply.split_whitespace().find_map(|word| word.strip_prefix("living="));
        word.unwrap_or_else(|| panic!("no count in {reply}")).to_owned()
    };
    outcome.members.iter().map(|(_, reply)| living(reply)).collect()
}

const FIVE: &str = "name = \"living\"\nwhy = \"x\"\n[tier]\nschedulers = 5\noperations = \"[tier]\\non = true\\n\"\n\
                    [traffic]\nseconds = 24\n";

#[test]
fn those_who_are_left_reckon_with_the_living() {
    let kill = "[[fault]]\nkind = \"kill\"\nat = 5.0\nwho = [\"scheduler 1\", \"scheduler 4\"]\n";
    assert_eq!(reckoned(&format!("{FIVE}{kill}")), ["3", "3", "3"]);
}

#[test]
fn a_side_without_a_majority_reckons_with_every_seat() {
    let kill =
        "[[fault]]\nkind = \"kill\"\nat = 5.0\nwho = [\"scheduler 0\", \"scheduler 1\", \"scheduler 4\"]\n";
    assert_eq!(reckoned(&format!("{FIVE}{kill}")), ["5", "5"]);
}

/// The rig's own hard cases: what goes wrong before or beside a run is said, and leaves nothing.
mod rig_itself {
    use super::*;
    use std::sync::Arc;
    use std::sync::atomic::AtomicBool;

    fn short() -> Scenario {
        let text = "name = \"short\"\nwhy = \"x\"\n[tier]\nschedulers = 2\n[traffic]\nseconds = 1\n";
        Scenario::parse(Path::new("short.toml"), text).expect("a scenario")
    }

    #[test]
    fn a_program_that_is_missing_is_named_with_the_remedy() {
        let options = Options { program: "/nowhere/brackenledge".into(), stop: None };
        let error = run(&short(), &options).expect_err("no program");
        assert!(error.contains("/nowhere/brackenledge"), "{error}");
    }

    #[test]
    fn a_process_that_dies_before_it_is_ready_ends_the_run_with_its_last_words() {
        let mut scenario = short();
        scenario.operations = Some("[doors]\n".into());
        let error = run(&scenario, &options()).expect_err("no tier");
        assert!(error.contains("before it was ready") && error.contains("unknown table [doors]"), "{error}");
    }

    #[test]
    fn a_run_that_is_interrupted_ends_its_processes() {
        let stop = Arc::new(AtomicBool::new(true));
        let error = run(&short(), &Options { stop: Some(stop), ..options() }).expect_err("interrupted");
        assert!(error.contains("interrupted"), "{error}");
    }

    #[test]
    fn too_few_descriptors_are_said_before_anything_starts() {
        let mut scenario = short();
        (scenario.schedulers, scenario.workers) = (32, 200);
        scenario.slots = 64;
        scenario.per_second = 2_000.0;
        let error = run(&scenario, &options()).expect_err("too many");
        assert!(error.contains("raise `ulimit -n`"), "{error}");
    }
}
