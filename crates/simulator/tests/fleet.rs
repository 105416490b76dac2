//! Whole fleets of schedulers on a virtual clock, with messages between them and workers that queue: what all of them do
//! together, counted.
#![allow(missing_docs)]

use brackenledge_policy::{Millis, Settings};
use brackenledge_simulator::{Fleet, FleetConfig, settings};

const SLOTS: usize = 3;
const MEAN_RUN_TIME: Millis = 300.0;

fn fleet(schedulers: usize, workers: usize, span: Millis, seed: u64) -> Fleet {
    let settings = Settings { schedulers: schedulers as u32, overload_duration: span, ..settings() };
    let config = FleetConfig {
        worker_count: workers,
        slots: SLOTS,
        mean_run_time: MEAN_RUN_TIME,
        key_count: 300,
        seed,
    };
    Fleet::new(settings, config)
}

/// Mean time of an attempt in a worker's queue.
fn queue_time_in_run_times(fleet: &Fleet) -> f64 {
    let statistics = fleet.statistics();
    statistics.queue_time / statistics.attempts as f64 / MEAN_RUN_TIME
}

/// What one scheduler knows of the workers must not get worse as the number of schedulers grows, nor cost more messages
/// a job.
#[test]
fn schedulers_know_the_load_of_all_whatever_their_number() {
    println!("schedulers x workers, loss | wait at workers, running times | messages by receiver, a job");
    for (schedulers, workers, loss) in
        [(4, 12, 0.02), (40, 24, 0.02), (100, 60, 0.02), (200, 60, 0.02), (100, 60, 0.3)]
    {
        let mut fleet = fleet(schedulers, workers, 1_000.0, 7);
        fleet.message_loss = loss;
        fleet.run_for(4_000.0);
        fleet.take_statistics();
        fleet.run_for(10_000.0);
        let queue_time = queue_time_in_run_times(&fleet);
        let messages = fleet.statistics().messages as f64 / fleet.statistics().attempts as f64;
        println!("{schedulers} x {workers}, {loss} | {queue_time:.2} | {messages:.2}");
        assert!(queue_time < 1.0, "{schedulers} schedulers: jobs waited {queue_time} running times");
        // Two for a job, one of each scheduler from time to time, and the aggregated loads.
        assert!(messages < 4.0 + schedulers as f64 / 100.0, "{schedulers} schedulers: {messages} a job");
    }
}

#[test]
fn a_killed_aggregator_is_replaced_by_one_other_within_two_seconds() {
    let mut fleet = fleet(100, 60, 1_000.0, 9);
    fleet.run_for(4_000.0);
    let aggregator = fleet.statistics().broadcasts.last().expect("an aggregator").scheduler;
    // Most of the others are killed with it, as in a release.
    for number in 0..100 {
        if number == aggregator || number % 3 != 1 {
            fleet.kill(number);
        }
    }
    let killed_at = fleet.now();
    fleet.take_statistics();
    fleet.run_for(2_000.0);
    let first = fleet.statistics().broadcasts.first().expect("another aggregator").at - killed_at;
    assert!(first < 1_500.0, "after {first} ms");
    fleet.restart_killed();
    fleet.run_for(2_000.0);
    fleet.take_statistics();
    fleet.run_for(2_000.0);
    let mut aggregators: Vec<usize> =
        fleet.statistics().broadcasts.iter().map(|broadcast| broadcast.scheduler).collect();
    aggregators.sort_unstable();
    aggregators.dedup();
    assert_eq!(aggregators.len(), 1, "one aggregator is enough: {aggregators:?}");
}

/// For a while more arrives than the workers can do. What is admitted must not all be late for it, and the workers must be
/// used.
#[test]
fn a_burst_leaves_no_queue_behind() {
    for (schedulers, workers) in [(40, 24), (100, 60)] {
        let mut fleet = fleet(schedulers, workers, 1_000.0, 5);
        fleet.run_for(4_000.0);
        let usual_rate = fleet.arrival_rate;
        fleet.arrival_rate = 2.2 * usual_rate;
        fleet.take_statistics();
        let since = fleet.now();
        fleet.run_for(6_000.0);
        let queue_time = queue_time_in_run_times(&fleet);
        let sent = fleet.statistics().attempts as f64 / fleet.statistics().jobs as f64;
        let can = (workers * SLOTS) as f64 * (fleet.now() - since) / MEAN_RUN_TIME;
        let done = fleet.statistics().attempts as f64 / can;
        println!("{schedulers} x {workers} | {queue_time:.2} | {sent:.2} | {done:.2}");
        assert!(queue_time < 2.0, "{schedulers}: jobs waited {queue_time} running times");
        assert!(done > 0.9, "{schedulers}: {done} of what the workers can do");
        fleet.arrival_rate = usual_rate;
        fleet.run_for(1_500.0);
        fleet.take_statistics();
        fleet.run_for(2_000.0);
        let queue_time = queue_time_in_run_times(&fleet);
        assert!(queue_time < 1.0, "{schedulers}: {queue_time} running times, long after the burst");
    }
}

/// A worker that fails at once is idle at once, and so attracts attempts; without messages each scheduler has to try it.
#[test]
fn a_worker_that_fails_everything_is_detected_once_and_not_by_each_scheduler() {
    for (schedulers, workers, bad) in [(4, 12, 1), (40, 24, 2), (100, 60, 6)] {
        let mut fleet = fleet(schedulers, workers, 1_000.0, 3);
        fleet.run_for(4_000.0);
        fleet.set_failing_workers(bad);
        fleet.take_statistics();
        fleet.run_for(10_000.0);
        let failed = fleet.statistics().failed_attempts as f64 / fleet.statistics().attempts as f64;
        println!("{schedulers} x {workers}, {bad} bad | {failed:.3} of the attempts");
        assert!(failed < 0.03, "{schedulers}: {failed} of the attempts failed");
    }
}

/// Six in ten workers restart at once. All schedulers together must not overload one of them, and must use them all the
/// same: the more, the longer the span in which overload is judged.
#[test]
fn workers_that_restart_together_are_used_and_none_is_overloaded() {
    for (schedulers, workers, load, span, least) in [
        (4, 12, 1.0, 1_000.0, 0.0),
        (40, 24, 1.0, 1_000.0, 0.13),
        (100, 60, 1.0, 1_000.0, 0.1),
        (40, 24, 1.0, 3_000.0, 0.2),
        (100, 60, 1.0, 3_000.0, 0.15),
        (40, 24, 1.6, 3_000.0, 0.315),
        (100, 60, 1.6, 3_000.0, 0.295),
    ] {
        let mut fleet = fleet(schedulers, workers, span, 11);
        fleet.run_for(4_000.0);
        let restarted = workers * 6 / 10;
        fleet.restart_workers(restarted);
        fleet.arrival_rate *= load;
        fleet.take_statistics();
        fleet.run_for(2_000.0);
        let part = fleet.warming_worker_attempts() as f64 / fleet.statistics().attempts as f64;
        fleet.run_for(4_000.0);
        let warming_load = fleet.warming_worker_load();
        let (worst, used) = (warming_load.max_load, warming_load.workers_used);
        println!(
            "{schedulers} x {workers}, load {load}, span {span} | {worst:.2} times what it can do in a span | {part:.2} | {used} of {restarted} used"
        );
        assert!(worst < fleet.settings.overload_multiple, "{schedulers}: {worst} times what it can do");
        // When each scheduler had a share by its own work, a large fleet sent them nothing for seconds.
        assert!(part >= least, "{schedulers}: {part} of the work in the first 2 s");
        assert!(used * 10 >= restarted * 9, "{schedulers}: {used} of {restarted} used");
        assert_eq!(fleet.violations(), []);
    }
}
