//! Placement of jobs: idle workers first, loads of other schedulers, and key affinity.
#![allow(missing_docs)]

mod common;

use brackenledge_policy::{Event, ListKind, LoadReport, Outcome, Readiness, Settings, WorkerEntry};
use common::{Driver, settings, worker};

const REPEATABLE: usize = 0;

#[test]
fn an_idle_worker_comes_first() {
    let mut driver = Driver::new(settings(), 6, 3);
    let ids = [driver.job(REPEATABLE), driver.job(REPEATABLE), driver.job(REPEATABLE)];
    let mut used: Vec<usize> = ids.iter().flat_map(|&id| driver.workers_of(id)).collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 3, "three jobs on three workers");
}

/// Whether the load message of one other scheduler takes precedence over an older load report. `schedulers`:
/// the configured number; `active`: the number of active ones, if an event reports it.
fn loads_of_one_peer_override_report(schedulers: u32, active: Option<u32>) -> bool {
    let mut driver = Driver::new(Settings { schedulers, peer_messages: true, ..settings() }, 2, 2);
    let report = |worker, free, in_flight| Event::HealthChecked {
        worker,
        outcome: Outcome::Served,
        report: Some(LoadReport {
            free_slots: Some(free),
            in_flight: Some(in_flight),
            ..LoadReport::default()
        }),
    };
    active.into_iter().for_each(|schedulers| driver.event(Event::ActiveSchedulers { schedulers }));
    (0..2).for_each(|id| driver.event(report(id, 3.0, 0.0)));
    let first = driver.job(REPEATABLE);
    let used = driver.workers_of(first)[0];
    let other = 1 - used;
    driver.event(report(other, 0.0, 3.0));
    // By the report the other scheduler occupies all slots of this worker; by its own message, none.
    driver.event(Event::PeerMessage { from: 1, text: "0".into() });
    let second = driver.job(REPEATABLE);
    driver.workers_of(second) == [other]
}

#[test]
fn the_loads_of_all_peers_take_precedence_over_an_old_report() {
    assert!(loads_of_one_peer_override_report(2, None));
}

#[test]
fn only_active_schedulers_need_to_have_sent_their_loads() {
    // One of three schedulers has stopped and sends no more messages.
    assert!(!loads_of_one_peer_override_report(3, None));
    assert!(loads_of_one_peer_override_report(3, Some(2)));
    // A third scheduler is active again and has not sent its loads yet.
    assert!(!loads_of_one_peer_override_report(2, Some(3)));
}

#[test]
fn jobs_of_one_key_go_to_one_worker() {
    let mut driver = Driver::new(settings(), 6, 2);
    let mut preferred: Vec<usize> = Vec::new();
    for _ in 0..20 {
        let id = driver.job_with_key(REPEATABLE, "a-key");
        preferred.extend(driver.workers_of(id));
        driver.advance(100.0);
        driver.end_attempt(id, 0, Outcome::Served);
        driver.advance(100.0);
    }
    assert!(preferred.windows(2).all(|pair| pair[0] == pair[1]), "{preferred:?}");
}

#[test]
fn a_worker_that_has_cached_a_key_is_preferred_to_one_nearer_to_it() {
    let mut driver = Driver::new(settings(), 2, 2);
    let run_one = |driver: &mut Driver| {
        let id = driver.job_with_key(REPEATABLE, "a-key");
        let to = driver.workers_of(id)[0];
        driver.advance(100.0);
        driver.end_attempt(id, 0, Outcome::Served);
        to
    };
    let first = run_one(&mut driver);
    let update = |readiness| vec![WorkerEntry { readiness, ..worker(first) }];
    driver.list(ListKind::Delta, update(Readiness::Draining));
    let second = run_one(&mut driver);
    assert_ne!(first, second);
    // The restarted worker has lost its cache; the other one still has the key's data.
    let started_at = Some(driver.now - 60_000.0);
    driver.list(ListKind::Delta, vec![WorkerEntry { started_at, ..worker(first) }]);
    assert_eq!(run_one(&mut driver), second);
}

/// Four of ten jobs at each scheduler have the same key. If all of forty schedulers sent them to the same
/// worker, it would be overloaded.
#[test]
fn a_popular_key_has_many_preferred_workers_and_a_rare_one_has_few() {
    // There are as many workers as schedulers, and each scheduler has 60 jobs, one at a time. A scheduler
    // that sees all jobs needs no more preferred workers than it has jobs, and a few schedulers may still
    // share one idle preferred worker.
    for (schedulers, min, max) in [(4, 1, 4), (40, 4, 12), (100, 8, 30)] {
        let fleet = Settings { schedulers, ..settings() };
        let workers = schedulers as usize;
        let (mut hot, mut rare) = (vec![0; workers], vec![0; workers]);
        for seed in 0..workers {
            let mut driver = Driver::new(fleet.clone(), workers, seed as u64);
            for n in 0..60 {
                let key = if n % 10 < 4 { "hot".to_owned() } else { format!("rare-{}", n % 10) };
                let id = driver.job_with_key(REPEATABLE, &key);
                let to = driver.workers_of(id)[0];
                let counts = if n % 10 < 4 { &mut hot } else { &mut rare };
                // The popularity of the key is measured during the first 30 jobs.
                counts[to] += usize::from(n >= 30 && (n % 10 < 4 || n % 10 == 9));
                driver.advance(300.0);
                driver.end_attempt(id, 0, Outcome::Served);
                driver.advance(300.0);
            }
        }
        // Guards against all jobs of a hot key going to one worker. Among equal workers the last one that
        // served the key is preferred.
        let used = |counts: &[usize]| counts.iter().filter(|&&count| count > 0).count();
        println!("{schedulers}: {} workers of the hot key, {} of a rare one", used(&hot), used(&rare));
        assert!(used(&hot) >= min, "{hot:?}");
        assert!(min == 1 || hot.iter().all(|&count| count < workers * 12 * 2 / 3), "{hot:?}");
        assert!(used(&rare) <= max, "{rare:?}");
    }
}
