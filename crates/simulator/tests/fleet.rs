//! Whole fleets of dispatchers on a virtual clock, with messages between them and workers that queue: what all of
//! them do together, counted.
#![allow(missing_docs)]

use brackenledge_policy::{Millis, Settings};
use brackenledge_simulator::{Fleet, Tally, settings};

const SLOTS: usize = 3;
const RUN: Millis = 300.0;

fn fleet(schedulers: usize, workers: usize, span: Millis, seed: u64) -> Fleet {
    let settings = Settings { schedulers: schedulers as u32, overload_duration: span, ..settings() };
    Fleet::new(settings, workers, SLOTS, RUN, 300, seed)
}

/// What one dispatcher knows of the workers must not get worse, nor dearer by the job, as their number grows.
#[test]
fn what_all_hold_is_known_to_all_whatever_their_number() {
    println!("dispatchers x workers, lost | wait at workers, running times | messages by receiver, a job");
    for (dispatchers, workers, lost) in
        [(4, 12, 0.02), (40, 24, 0.02), (100, 60, 0.02), (200, 60, 0.02), (100, 60, 0.3)]
    {
        let mut fleet = fleet(dispatchers, workers, 1_000.0, 7);
        fleet.loss = lost;
        fleet.play(4_000.0);
        fleet.tally = Tally::default();
        fleet.play(10_000.0);
        let waited = fleet.tally.waited / fleet.tally.sends as f64 / RUN;
        let messages = fleet.tally.messages as f64 / fleet.tally.sends as f64;
        println!("{dispatchers} x {workers}, {lost} | {waited:.2} | {messages:.2}");
        assert!(waited < 1.0, "{dispatchers} dispatchers: jobs waited {waited} running times");
        // Two of a job's own, one a while of each dispatcher, and the sums.
        assert!(messages < 4.0 + dispatchers as f64 / 100.0, "{dispatchers} dispatchers: {messages} a job");
    }
}

#[test]
fn a_relay_that_dies_is_followed_by_one_other_within_two_seconds() {
    let mut fleet = fleet(100, 60, 1_000.0, 9);
    fleet.play(4_000.0);
    let relay = fleet.tally.told_all.last().expect("sums were told").1;
    // Most of the others go with it, as in a release.
    for number in 0..100 {
        if number == relay || number % 3 != 1 {
            fleet.kill(number);
        }
    }
    let died = fleet.now();
    fleet.tally = Tally::default();
    fleet.play(2_000.0);
    let first = fleet.tally.told_all.first().expect("another one tells sums").0 - died;
    assert!(first < 1_500.0, "after {first} ms");
    fleet.down().into_iter().for_each(|number| fleet.boot(number));
    fleet.play(2_000.0);
    fleet.tally = Tally::default();
    fleet.play(2_000.0);
    let mut relays: Vec<usize> = fleet.tally.told_all.iter().map(|relay| relay.1).collect();
    relays.sort_unstable();
    relays.dedup();
    assert_eq!(relays.len(), 1, "one relay is enough: {relays:?}");
}

/// More comes than can be done, for a while. What is taken must not all be late for it, and what can be done is done.
#[test]
fn a_burst_makes_no_queue_that_outlives_it() {
    for (dispatchers, workers) in [(40, 24), (100, 60)] {
        let mut fleet = fleet(dispatchers, workers, 1_000.0, 5);
        fleet.play(4_000.0);
        let calm = fleet.rate;
        fleet.rate = 2.2 * calm;
        fleet.tally = Tally::default();
        let since = fleet.now();
        fleet.play(6_000.0);
        let waited = fleet.tally.waited / fleet.tally.sends as f64 / RUN;
        let sent = fleet.tally.sends as f64 / fleet.tally.jobs as f64;
        let can = (workers * SLOTS) as f64 * (fleet.now() - since) / RUN;
        let done = fleet.tally.sends as f64 / can;
        println!("{dispatchers} x {workers} | {waited:.2} | {sent:.2} | {done:.2}");
        assert!(waited < 2.0, "{dispatchers}: jobs waited {waited} running times");
        assert!(done > 0.9, "{dispatchers}: {done} of what the workers can do");
        fleet.rate = calm;
        fleet.play(1_500.0);
        fleet.tally = Tally::default();
        fleet.play(2_000.0);
        let waited = fleet.tally.waited / fleet.tally.sends as f64 / RUN;
        assert!(waited < 1.0, "{dispatchers}: {waited} running times, long after the burst");
    }
}

/// A worker that fails at once is idle at once. Among many, each has to try it before it knows.
#[test]
fn a_worker_that_fails_everything_is_found_out_once_and_not_by_each() {
    for (dispatchers, workers, bad) in [(4, 12, 1), (40, 24, 2), (100, 60, 6)] {
        let mut fleet = fleet(dispatchers, workers, 1_000.0, 3);
        fleet.play(4_000.0);
        fleet.failing_from = workers - bad;
        fleet.tally = Tally::default();
        fleet.play(10_000.0);
        let failed = fleet.tally.failed_attempts as f64 / fleet.tally.sends as f64;
        println!("{dispatchers} x {workers}, {bad} bad | {failed:.3} of the attempts");
        assert!(failed < 0.03, "{dispatchers}: {failed} of the attempts failed");
    }
}

/// Six in ten workers start anew at once. All together must not push one of them over, and must use them all the same:
/// the more the longer the span is in which they may be sent so much.
#[test]
fn workers_that_start_together_are_used_and_none_is_pushed_over() {
    for (dispatchers, workers, load, span, least) in [
        (4, 12, 1.0, 1_000.0, 0.0),
        (40, 24, 1.0, 1_000.0, 0.13),
        (100, 60, 1.0, 1_000.0, 0.1),
        (40, 24, 1.0, 3_000.0, 0.2),
        (100, 60, 1.0, 3_000.0, 0.15),
        (40, 24, 1.6, 3_000.0, 0.315),
        (100, 60, 1.6, 3_000.0, 0.295),
    ] {
        let mut fleet = fleet(dispatchers, workers, span, 11);
        fleet.play(4_000.0);
        let cold = workers * 6 / 10;
        fleet.restart_workers(cold);
        fleet.rate *= load;
        fleet.tally = Tally::default();
        fleet.play(2_000.0);
        let part = fleet.sent_cold() as f64 / fleet.tally.sends as f64;
        fleet.play(4_000.0);
        let (worst, used) = fleet.cold_most();
        println!(
            "{dispatchers} x {workers}, load {load}, span {span} | {worst:.2} times what it can do in a span | {part:.2} | {used} of {cold} used"
        );
        assert!(worst < fleet.settings.overload_multiple, "{dispatchers}: {worst} times what it can do");
        // Split by each one's own work, the allowance kept all of a large tier's work from them for seconds.
        assert!(part >= least, "{dispatchers}: {part} of the work in the first 2 s");
        assert!(used * 10 >= cold * 9, "{dispatchers}: {used} of {cold} used");
        assert_eq!(fleet.broken, Vec::<String>::new());
    }
}
