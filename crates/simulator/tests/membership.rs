//! The results of membership simulations.
#![allow(missing_docs)]

use brackenledge_simulator::membership::{MembershipScenario, quantile};

const SCENARIO: MembershipScenario =
    MembershipScenario { scheduler_count: 8, loss: 0.0, minutes: 3.0, seed: 1 };

#[test]
fn without_loss_all_others_detect_each_crash_and_there_are_no_false_positives() {
    let result = SCENARIO.run();
    // There are six kills in three minutes. The last one may not be detected before the end of the run.
    assert!((5..=6).contains(&result.first_detections.len()), "{result:?}");
    assert!(result.detections.len() >= 5 * 7, "{result:?}");
    assert_eq!((result.false_positives, result.false_positive_reports), (0, 0));
    assert!(result.messages > 0 && result.bytes > result.messages);
}

#[test]
fn equal_scenarios_give_equal_results_and_different_seeds_different_ones() {
    let counted = |seed| {
        let result = MembershipScenario { seed, loss: 0.3, ..SCENARIO }.run();
        (
            result.first_detections,
            result.detections,
            result.false_positive_reports,
            result.bytes,
            result.messages,
        )
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
