//! Experiment files: what is wrong in them is named, and what is right runs the same each time.
#![allow(missing_docs)]

use brackenledge_simulator::{Baseline, Experiment, run};
use std::path::Path;

const QUICK: &str = include_str!("../../../experiments/quick.toml");
const OLD_KEYS: &str = include_str!("data/experiment-old-keys.toml");

#[test]
fn an_error_names_the_invalid_key() {
    for (was, is, named) in [
        ("schedulers = 100", "schedulers = 0", "fleet.schedulers = 0: give a number from 1 to 1000"),
        ("workers = 60", "workers = 20000", "fleet.workers = 20000"),
        ("workers = 60", "", "missing field `workers`"),
        ("workers = 60", "workers = 60\nslots = 65", "fleet.slots = 65"),
        ("load = 0.45", "load = 0", "traffic.load = 0"),
        ("load = 0.45", "load = \"high\"", "line 10"),
        ("load = 0.45", "run-ms = 0", "traffic.run-ms = 0"),
        ("load = 0.45", "fetch-cost = -1", "traffic.fetch-cost = -1"),
        ("load = 0.45", "keys = 0", "traffic.keys = 0"),
        ("seconds = 40", "seconds = 0", "traffic.seconds = 0"),
        ("seconds = 40", "second = 40", "unknown field `second`"),
        ("[traffic]", "[network]\nloss = 1.5\n[traffic]", "network.loss = 1.5"),
        ("[traffic]", "[network]\nlatency-ms = -1\n[traffic]", "network.latency-ms = -1"),
        ("kind = \"burst\"", "kind = \"rain\"", "unknown variant `rain`"),
        ("\"random\"", "\"fastest\"", "unknown variant `fastest`"),
        ("load-factor = 2.2", "load-factor = -1", "fault 1 (burst): load-factor = -1"),
        ("fraction = 0.7", "fraction = 1.1", "fault 3 (kill-schedulers): fraction = 1.1"),
        ("at = 30", "at = 40", "fault 4 (restart-workers): at = 40"),
        (
            "[[fault]]",
            "[[fault]]\nkind = \"burst\"\nat = 8\nuntil = 12\nload-factor = 2\n[[fault]]",
            "faults 1 and 2 (burst) overlap",
        ),
        ("until = 24", "until = 22", "fault 3 (kill-schedulers): until = 22: give a number from 23 to 40"),
    ] {
        let text = QUICK.replacen(was, is, 1);
        assert_ne!(text, QUICK, "{was}");
        let error = Experiment::parse(&text).expect_err(is);
        assert!(error.to_string().contains(named), "{is}: {error}");
    }
}

#[test]
fn an_experiment_with_faults_breaks_no_rule_and_is_the_same_each_time() {
    let mut experiment = Experiment::parse(QUICK).expect("an experiment");
    (experiment.fleet.schedulers, experiment.fleet.workers) = (40, 24);
    let result = run(&experiment, None);
    assert_eq!(result.violations, []);
    let windows = result.windows;
    assert_eq!(run(&experiment, None).windows, windows);
    experiment.seed += 1;
    assert_ne!(run(&experiment, None).windows, windows);
    // A burst is over 3 s after its end, and so is a kill; what failed at once is found out within the second.
    let in_time_fraction = |second: usize| {
        let w = &windows[second];
        w.in_time as f64 / (w.in_time + w.late + w.rejected + w.failed + w.lost) as f64
    };
    for second in [4, 12, 21, 27] {
        assert!(in_time_fraction(second) > 0.9, "{second}: {:?}", windows[second]);
    }
    assert!(windows[16].failed_attempts * 50 < windows[16].jobs);
}

/// A policy that knows the true loads serves more in time than one that knows its own, and that more than one that knows
/// none.
#[test]
fn baselines_rank_as_they_should() {
    let without_faults = QUICK.split("[[fault]]").next().expect("an experiment without faults");
    let mut experiment = Experiment::parse(without_faults).expect("an experiment");
    (experiment.fleet.schedulers, experiment.fleet.workers, experiment.traffic.seconds) = (40, 24, 15);
    let in_time_fraction = |baseline| {
        let windows = run(&experiment, baseline).windows;
        let in_time = windows.iter().map(|w| w.in_time).sum::<usize>() as f64;
        in_time / windows.iter().map(|w| w.jobs).sum::<usize>() as f64
    };
    let own = in_time_fraction(None);
    let [random, two_choices, oracle] =
        [Baseline::Random, Baseline::TwoChoices, Baseline::Oracle].map(|it| in_time_fraction(Some(it)));
    println!("random {random}, two choices {two_choices}, oracle {oracle}, own {own}");
    assert!(random < two_choices && two_choices < oracle, "{random} {two_choices} {oracle}");
    assert!((two_choices..=oracle).contains(&own), "{two_choices} {oracle} {own}");
}

#[test]
fn a_file_with_the_old_keys_is_read_the_same() {
    assert_ne!(OLD_KEYS, QUICK);
    let old = Experiment::parse(OLD_KEYS).expect("an experiment");
    assert_eq!(old, Experiment::parse(QUICK).expect("an experiment"));
    for (was, is) in
        [("[traffic]", "[network]\none-way-ms = 35\n[traffic]"), ("load = 0.45", "load = 0.45\nfetch = 2")]
    {
        let old = Experiment::parse(&OLD_KEYS.replacen(was, is, 1)).expect("an experiment");
        let renamed = is.replace("one-way-ms", "latency-ms").replace("fetch", "fetch-cost");
        let new = Experiment::parse(&QUICK.replacen(was, &renamed, 1)).expect("an experiment");
        assert_eq!(old, new, "{is}");
        assert_ne!(old, Experiment::parse(QUICK).expect("an experiment"), "{is}");
    }
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let error = Experiment::load(Path::new("no/such/experiment.toml")).expect_err("there is none");
    assert!(error.to_string().starts_with("no/such/experiment.toml: "), "{error}");
}
