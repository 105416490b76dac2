use super::checker::DEADLINE_TOLERANCE;
use super::*;

/// Guards against a checker that never reports a violation: the test breaks its rules without a scheduler.
#[test]
fn late_missing_and_duplicate_answers_are_violations() {
    let config = FleetConfig { worker_count: 4, slots: 3, mean_run_time: 300.0, key_count: 10, seed: 1 };
    let mut fleet = Fleet::new(Settings { schedulers: 2, ..settings() }, config);
    fleet.arrival_rate = 1e-6;
    fleet.run_for(10_000.0);
    assert_eq!(fleet.violations(), []);
    let deadline = fleet.settings.classes[0].deadline;
    let overdue = deadline + 2.0 * DEADLINE_TOLERANCE;
    let now = fleet.now;
    for (job, age) in [(901, 0.0), (902, overdue), (903, overdue)] {
        fleet.checker.record_arrival(now - age, job, 0);
    }
    assert_eq!(fleet.checker.record_answer(now, 901), Some(0.0));
    fleet.checker.record_answer(now, 901);
    fleet.checker.record_answer(now, 902);
    fleet.run_for(1.0);
    let violations: Vec<String> = fleet.violations().iter().map(ToString::to_string).collect();
    let expected = ["901 was answered twice", "902 was answered too late", "903 was never answered"];
    assert_eq!(violations.len(), expected.len(), "{violations:?}");
    assert!(violations.iter().zip(expected).all(|(violation, text)| violation.ends_with(text)));
    // Forty jobs at once are more than a worker that has just started may be sent in an overload window.
    fleet.restart_workers(1);
    (0..40).for_each(|_| fleet.warming_workers.record_attempt(fleet.now, 0));
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
    (0..40).for_each(|_| fleet.warming_workers.record_attempt(now, 0));
    fleet.check_warming_workers();
    let [message, warming_worker] = fleet.violations() else { panic!("{:?}", fleet.violations()) };
    assert_eq!(*message, Violation::MessageTooLong { at: now, bytes: 257 });
    assert!(
        matches!(*warming_worker, Violation::WarmingWorkerOverloaded { load } if load > 3.0),
        "{warming_worker}"
    );
}
