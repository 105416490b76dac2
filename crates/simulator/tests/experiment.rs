//! Experiment files: what is wrong in them is named, and what is right plays the same each time.
#![allow(missing_docs)]

use brackenledge_simulator::{Experiment, Rule, run};

const QUICK: &str = include_str!("../../../experiments/quick.toml");

#[test]
fn what_is_wrong_is_named() {
    for (was, is, named) in [
        ("schedulers = 100", "schedulers = 0", "fleet.schedulers = 0: give a number from 1 to 1000"),
        ("workers = 60", "workers = 20000", "fleet.workers = 20000"),
        ("workers = 60", "", "missing field `workers`"),
        ("workers = 60", "workers = 60\nslots = 65", "fleet.slots = 65"),
        ("load = 0.45", "load = 0", "traffic.load = 0"),
        ("load = 0.45", "load = \"high\"", "line 10"),
        ("load = 0.45", "run-ms = 0", "traffic.run-ms = 0"),
        ("load = 0.45", "fetch = -1", "traffic.fetch = -1"),
        ("load = 0.45", "keys = 0", "traffic.keys = 0"),
        ("seconds = 40", "seconds = 0", "traffic.seconds = 0"),
        ("seconds = 40", "second = 40", "unknown field `second`"),
        ("[traffic]", "[network]\nloss = 1.5\n[traffic]", "network.loss = 1.5"),
        ("[traffic]", "[network]\none-way-ms = -1\n[traffic]", "network.one-way-ms = -1"),
        ("kind = \"burst\"", "kind = \"rain\"", "unknown variant `rain`"),
        ("\"random\"", "\"fastest\"", "unknown variant `fastest`"),
        ("times = 2.2", "times = -1", "fault 1 (burst): size = -1"),
        ("part = 0.7", "part = 1.1", "fault 3 (kill-schedulers): size = 1.1"),
        ("at = 30", "at = 40", "fault 4 (restart-workers): at = 40"),
        (
            "[[fault]]",
            "[[fault]]\nkind = \"burst\"\nat = 8\nuntil = 12\ntimes = 2\n[[fault]]",
            "faults 1 and 2 (burst) overlap",
        ),
        ("until = 24", "until = 22", "fault 3 (kill-schedulers): until = 22: give a number from 23 to 40"),
    ] {
        let text = QUICK.replacen(was, is, 1);
        assert_ne!(text, QUICK, "{was}");
        let error = Experiment::read(&text).expect_err(is);
        assert!(error.contains(named), "{is}: {error}");
    }
}

#[test]
fn a_day_of_troubles_breaks_no_rule_and_is_the_same_each_time() {
    let mut experiment = Experiment::read(QUICK).expect("an experiment");
    (experiment.fleet.schedulers, experiment.fleet.workers) = (40, 24);
    let (windows, broken) = run(&experiment, None);
    assert_eq!(broken, Vec::<String>::new());
    assert_eq!(run(&experiment, None).0, windows);
    experiment.seed += 1;
    assert_ne!(run(&experiment, None).0, windows);
    // A burst is over 3 s after its end, and so is a kill; what failed at once is found out within the second.
    let good = |second: usize| {
        let w = &windows[second];
        w.in_time as f64 / (w.in_time + w.late + w.refused + w.failed + w.lost) as f64
    };
    for second in [4, 12, 21, 27] {
        assert!(good(second) > 0.9, "{second}: {:?}", windows[second]);
    }
    assert!(windows[16].failed_attempts * 50 < windows[16].jobs);
}

/// What a policy that sees all is worth more than, and one that sees nothing less.
#[test]
fn textbook_policies_rank_as_they_should() {
    let calm = QUICK.split("[[fault]]").next().expect("a day without faults");
    let mut experiment = Experiment::read(calm).expect("an experiment");
    (experiment.fleet.schedulers, experiment.fleet.workers, experiment.traffic.seconds) = (40, 24, 15);
    let worth = |rule| {
        let windows = run(&experiment, rule).0;
        let part = windows.iter().map(|w| w.in_time).sum::<usize>() as f64;
        part / windows.iter().map(|w| w.jobs).sum::<usize>() as f64
    };
    let worths = [Rule::Random, Rule::TwoChoices, Rule::Oracle].map(|rule| worth(Some(rule)));
    println!("{worths:?}, ours {}", worth(None));
    assert!(worths[0] < worths[1] && worths[1] < worths[2], "{worths:?}");
    assert!((worths[1]..=worths[2]).contains(&worth(None)), "{worths:?} and {}", worth(None));
}
