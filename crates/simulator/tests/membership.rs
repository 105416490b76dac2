//! Membership on a virtual clock: what a run counts.
#![allow(missing_docs)]

use brackenledge_simulator::membership::{MembershipScenario, quantile};

const SCENARIO: MembershipScenario =
    MembershipScenario { scheduler_count: 8, loss: 0.0, minutes: 3.0, seed: 1 };

#[test]
fn every_crash_is_noticed_by_each_other_process_and_none_is_declared_down_falsely() {
    let result = SCENARIO.run();
    // Six kills in three minutes; the last ones may not be noticed yet.
    assert!((5..=6).contains(&result.first_detections.len()), "{result:?}");
    assert!(result.detections.len() >= 5 * 7, "{result:?}");
    assert_eq!((result.false_deaths, result.false_death_views), (0, 0));
    assert!(result.messages > 0 && result.bytes > result.messages);
}

#[test]
fn equal_scenarios_give_equal_runs_and_other_seeds_others() {
    let counted = |seed| {
        let result = MembershipScenario { seed, loss: 0.3, ..SCENARIO }.run();
        (result.first_detections, result.detections, result.false_death_views, result.bytes, result.messages)
    };
    assert_eq!(counted(1), counted(1));
    assert_ne!(counted(1), counted(2));
}

#[test]
fn a_quantile_is_one_of_the_values() {
    let mut values = [4.0, 1.0, 3.0, 2.0];
    assert_eq!([0.0, 0.5, 0.99, 1.0].map(|fraction| quantile(&mut values, fraction)), [1.0, 3.0, 4.0, 4.0]);
    assert!(quantile(&mut [], 0.5).is_nan());
}
