//! Simulated fleets on a virtual clock, with messages between schedulers and queues at workers. The tests
//! check the joint behaviour of all schedulers by the fleet's statistics.
#![allow(missing_docs)]

use brackenledge_policy::{Millis, Settings};
use brackenledge_simulator::{Fleet, FleetConfig, settings};

const SLOTS: usize = 3;
const MEAN_RUN_TIME: Millis = 300.0;

fn fleet(schedulers: usize, workers: usize, overload_duration: Millis, seed: u64) -> Fleet {
    let settings = Settings { schedulers: schedulers as u32, overload_duration, ..settings() };
    let config = FleetConfig {
        worker_count: workers,
        slots: SLOTS,
        mean_run_time: MEAN_RUN_TIME,
        key_count: 300,
        seed,
    };
    Fleet::new(settings, config)
}

/// Mean time that an attempt waits in a worker's queue, in units of the mean running time.
fn mean_queue_time(fleet: &Fleet) -> f64 {
    let statistics = fleet.statistics();
    statistics.queue_time / statistics.attempts as f64 / MEAN_RUN_TIME
}

/// As the number of schedulers grows, what each of them knows of the workers' load must not get worse, which
/// shows as longer queues, and must not cost more messages per job.
#[test]
fn queue_time_and_messages_per_job_stay_low_for_any_number_of_schedulers() {
    println!("schedulers x workers, loss | queue time / running time | messages per job, by receiver");
    for (schedulers, workers, loss) in
        [(4, 12, 0.02), (40, 24, 0.02), (100, 60, 0.02), (200, 60, 0.02), (100, 60, 0.3)]
    {
        let mut fleet = fleet(schedulers, workers, 1_000.0, 7);
        fleet.message_loss = loss;
        fleet.run_for(4_000.0);
        fleet.take_statistics();
        fleet.run_for(10_000.0);
        let queue_time = mean_queue_time(&fleet);
        let messages = fleet.statistics().messages as f64 / fleet.statistics().attempts as f64;
        println!("{schedulers} x {workers}, {loss} | {queue_time:.2} | {messages:.2}");
        assert!(queue_time < 1.0, "{schedulers} schedulers: jobs waited {queue_time} running times");
        // Two per job, a periodic one from each scheduler, and the aggregated loads.
        assert!(messages < 4.0 + schedulers as f64 / 100.0, "{schedulers} schedulers: {messages} per job");
    }
}

#[test]
fn a_killed_aggregator_is_replaced_by_exactly_one_other() {
    let mut fleet = fleet(100, 60, 1_000.0, 9);
    fleet.run_for(4_000.0);
    let aggregator = fleet.statistics().broadcasts.last().expect("an aggregator").scheduler;
    // Most of the others are killed with it, as in a rollout.
    for scheduler in 0..100 {
        if scheduler == aggregator || scheduler % 3 != 1 {
            fleet.kill(scheduler);
        }
    }
    let killed_at = fleet.now();
    fleet.take_statistics();
    fleet.run_for(2_000.0);
    let takeover_time = fleet.statistics().broadcasts.first().expect("another aggregator").at - killed_at;
    assert!(takeover_time < 1_500.0, "first broadcast of another aggregator after {takeover_time} ms");
    fleet.restart_killed();
    fleet.run_for(2_000.0);
    fleet.take_statistics();
    fleet.run_for(2_000.0);
    let mut aggregators: Vec<usize> =
        fleet.statistics().broadcasts.iter().map(|broadcast| broadcast.scheduler).collect();
    aggregators.sort_unstable();
    aggregators.dedup();
    assert_eq!(aggregators.len(), 1, "more than one aggregator: {aggregators:?}");
}

/// During a burst, more jobs arrive than the workers can serve. Queues at the workers must stay so short that
/// admitted jobs are not all late, and must empty after the burst, but the workers must be kept busy.
#[test]
fn queues_stay_short_during_a_burst_and_empty_after_it() {
    for (schedulers, workers) in [(40, 24), (100, 60)] {
        let mut fleet = fleet(schedulers, workers, 1_000.0, 5);
        fleet.run_for(4_000.0);
        let base_rate = fleet.arrival_rate;
        fleet.arrival_rate = 2.2 * base_rate;
        fleet.take_statistics();
        let burst_start = fleet.now();
        fleet.run_for(6_000.0);
        let queue_time = mean_queue_time(&fleet);
        let attempts_per_job = fleet.statistics().attempts as f64 / fleet.statistics().jobs as f64;
        let capacity = (workers * SLOTS) as f64 * (fleet.now() - burst_start) / MEAN_RUN_TIME;
        let utilization = fleet.statistics().attempts as f64 / capacity;
        println!("{schedulers} x {workers} | {queue_time:.2} | {attempts_per_job:.2} | {utilization:.2}");
        assert!(queue_time < 2.0, "{schedulers}: jobs waited {queue_time} running times");
        assert!(utilization > 0.9, "{schedulers}: {utilization} of the workers' capacity used");
        fleet.arrival_rate = base_rate;
        fleet.run_for(1_500.0);
        fleet.take_statistics();
        fleet.run_for(2_000.0);
        let queue_time = mean_queue_time(&fleet);
        assert!(queue_time < 1.0, "{schedulers}: jobs waited {queue_time} running times after the burst");
    }
}

/// A worker that fails attempts at once is idle at once, and so attracts further attempts. Without messages,
/// each scheduler would have to try it.
#[test]
fn a_failing_worker_is_detected_once_for_all_schedulers() {
    for (schedulers, workers, failing) in [(4, 12, 1), (40, 24, 2), (100, 60, 6)] {
        let mut fleet = fleet(schedulers, workers, 1_000.0, 3);
        fleet.run_for(4_000.0);
        fleet.set_failing_workers(failing);
        fleet.take_statistics();
        fleet.run_for(10_000.0);
        let failed = fleet.statistics().failed_attempts as f64 / fleet.statistics().attempts as f64;
        println!("{schedulers} x {workers}, {failing} failing | {failed:.3} of the attempts failed");
        assert!(failed < 0.03, "{schedulers}: {failed} of the attempts failed");
    }
}

/// 60% of the workers restart at once. All schedulers together must not overload any of them while it warms
/// up, but must still use them. The longer the overload window, the more of the work they must get.
#[test]
fn workers_that_restart_together_are_used_and_none_is_overloaded() {
    for (schedulers, workers, load_factor, overload_duration, min_fraction) in [
        (4, 12, 1.0, 1_000.0, 0.0),
        (40, 24, 1.0, 1_000.0, 0.13),
        (100, 60, 1.0, 1_000.0, 0.1),
        (40, 24, 1.0, 3_000.0, 0.2),
        (100, 60, 1.0, 3_000.0, 0.15),
        (40, 24, 1.6, 3_000.0, 0.315),
        (100, 60, 1.6, 3_000.0, 0.295),
    ] {
        let mut fleet = fleet(schedulers, workers, overload_duration, 11);
        fleet.run_for(4_000.0);
        let restarted = workers * 6 / 10;
        fleet.restart_workers(restarted);
        fleet.arrival_rate *= load_factor;
        fleet.take_statistics();
        fleet.run_for(2_000.0);
        let fraction = fleet.warming_worker_attempts() as f64 / fleet.statistics().attempts as f64;
        fleet.run_for(4_000.0);
        let warming_load = fleet.warming_worker_load();
        let (max_load, used) = (warming_load.max_load, warming_load.workers_used);
        println!(
            "{schedulers} x {workers}, load factor {load_factor}, overload window {overload_duration} ms | \
             at most {max_load:.2} times a worker's capacity | {fraction:.2} of the work in the first 2 s | \
             {used} of {restarted} used"
        );
        assert!(max_load < fleet.settings.overload_multiple, "{schedulers}: {max_load} times its capacity");
        // A limit by each scheduler's share of the work made a large fleet send them nothing for seconds.
        assert!(fraction >= min_fraction, "{schedulers}: {fraction} of the work in the first 2 s");
        assert!(used * 10 >= restarted * 9, "{schedulers}: {used} of {restarted} used");
        assert_eq!(fleet.violations(), []);
    }
}
