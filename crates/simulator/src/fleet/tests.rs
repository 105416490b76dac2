use super::checker::DEADLINE_TOLERANCE;
use super::*;

/// The checker must be able to fail: each of its rules is broken once, by hand.
#[test]
fn each_rule_of_the_checker_can_be_broken() {
    let config = FleetConfig { worker_count: 4, slots: 3, mean_run_time: 300.0, key_count: 10, seed: 1 };
    let mut fleet = Fleet::new(Settings { schedulers: 2, ..settings() }, config);
    fleet.arrival_rate = 1e-6;
    fleet.run_for(10_000.0);
    assert_eq!(fleet.violations(), []);
    let deadline = fleet.settings.classes[0].deadline;
    let overdue = deadline + 2.0 * DEADLINE_TOLERANCE;
    let now = fleet.now;
    for (job, age) in [(901, 0.0), (902, overdue), (903, overdue)] {
        fleet.checker.job_arrived(now - age, job, 0);
    }
    assert_eq!(fleet.checker.job_answered(now, 901), Some(0.0));
    fleet.checker.job_answered(now, 901);
    fleet.checker.job_answered(now, 902);
    fleet.run_for(1.0);
    let violations: Vec<String> = fleet.violations().iter().map(ToString::to_string).collect();
    let rules = ["901 was answered twice", "902 was answered too late", "903 was never answered"];
    assert_eq!(violations.len(), rules.len(), "{violations:?}");
    assert!(violations.iter().zip(rules).all(|(violation, rule)| violation.ends_with(rule)));
    // Forty jobs at once are more than a worker that has just started may get in a span.
    fleet.restart_workers(1);
    (0..40).for_each(|_| fleet.warming_workers.attempt_sent(fleet.now, 0));
    assert!(fleet.warming_worker_load().max_load > fleet.settings.overload_multiple);
}

#[test]
fn a_message_over_the_limit_and_an_overloaded_warming_worker_are_violations() {
    let config = FleetConfig { worker_count: 4, slots: 3, mean_run_time: 300.0, key_count: 10, seed: 1 };
    let mut fleet = Fleet::new(Settings { schedulers: 2, ..settings() }, config);
    let now = fleet.now;
    fleet.send_message(0, Some(1), &"x".repeat(256));
    fleet.check_warming_workers();
    assert_eq!(fleet.violations(), []);
    fleet.send_message(0, Some(1), &"x".repeat(257));
    fleet.restart_workers(1);
    (0..40).for_each(|_| fleet.warming_workers.attempt_sent(now, 0));
    fleet.check_warming_workers();
    let [message, warming_worker] = fleet.violations() else { panic!("{:?}", fleet.violations()) };
    assert_eq!(*message, Violation::MessageTooLong { at: now, bytes: 257 });
    assert!(
        matches!(*warming_worker, Violation::WarmingWorkerOverloaded { load } if load > 3.0),
        "{warming_worker}"
    );
}
