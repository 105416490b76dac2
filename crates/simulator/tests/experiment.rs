//! Experiment files: errors name the invalid key, and valid experiments run deterministically.
#![allow(missing_docs)]

use brackenledge_simulator::{Baseline, Experiment, run};
use std::path::Path;

const QUICK: &str = include_str!("../../../experiments/quick.toml");
const OLD_KEYS: &str = include_str!("data/experiment-old-keys.toml");

#[test]
fn an_error_names_the_invalid_key() {
    for (original, replacement, message) in [
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
        let text = QUICK.replacen(original, replacement, 1);
        assert_ne!(text, QUICK, "{original}");
        let error = Experiment::parse(&text).expect_err(replacement);
        assert!(error.to_string().contains(message), "{replacement}: {error}");
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
    // The fleet has recovered 3 s after the end of a burst or a kill. Workers that fail at once are detected
    // within a second.
    let in_time_fraction = |second: usize| {
        let window = &windows[second];
        window.in_time as f64
            / (window.in_time + window.late + window.rejected + window.failed + window.lost) as f64
    };
    for second in [4, 12, 21, 27] {
        assert!(in_time_fraction(second) > 0.9, "{second}: {:?}", windows[second]);
    }
    assert!(windows[16].failed_attempts * 50 < windows[16].jobs);
}

/// The more a policy knows of the load, the more jobs it serves in time: random knows nothing, two choices
/// knows the scheduler's own attempts, and the oracle knows the true load. The production policy must lie
/// between two choices and the oracle.
#[test]
fn policies_that_know_more_of_the_load_serve_more_in_time() {
    let without_faults = QUICK.split("[[fault]]").next().expect("an experiment without faults");
    let mut experiment = Experiment::parse(without_faults).expect("an experiment");
    (experiment.fleet.schedulers, experiment.fleet.workers, experiment.traffic.seconds) = (40, 24, 15);
    let in_time_fraction = |baseline| {
        let windows = run(&experiment, baseline).windows;
        let in_time = windows.iter().map(|window| window.in_time).sum::<usize>() as f64;
        in_time / windows.iter().map(|window| window.jobs).sum::<usize>() as f64
    };
    let production = in_time_fraction(None);
    let [random, two_choices, oracle] =
        [Baseline::Random, Baseline::TwoChoices, Baseline::Oracle].map(|it| in_time_fraction(Some(it)));
    println!("random {random}, two choices {two_choices}, oracle {oracle}, production {production}");
    assert!(random < two_choices && two_choices < oracle, "{random} {two_choices} {oracle}");
    assert!((two_choices..=oracle).contains(&production), "{two_choices} {oracle} {production}");
}

#[test]
fn former_names_of_renamed_keys_are_accepted() {
    assert_ne!(OLD_KEYS, QUICK);
    let old = Experiment::parse(OLD_KEYS).expect("an experiment");
    assert_eq!(old, Experiment::parse(QUICK).expect("an experiment"));
    for (original, old_key) in
        [("[traffic]", "[network]\none-way-ms = 35\n[traffic]"), ("load = 0.45", "load = 0.45\nfetch = 2")]
    {
        let old = Experiment::parse(&OLD_KEYS.replacen(original, old_key, 1)).expect("an experiment");
        let new_key = old_key.replace("one-way-ms", "latency-ms").replace("fetch", "fetch-cost");
        let new = Experiment::parse(&QUICK.replacen(original, &new_key, 1)).expect("an experiment");
        assert_eq!(old, new, "{old_key}");
        assert_ne!(old, Experiment::parse(QUICK).expect("an experiment"), "{old_key}");
    }
}

#[test]
fn the_error_for_an_unreadable_file_starts_with_its_path() {
    let error = Experiment::load(Path::new("no/such/experiment.toml")).expect_err("the file is missing");
    assert!(error.to_string().starts_with("no/such/experiment.toml: "), "{error}");
}
