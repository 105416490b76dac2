use super::*;
use rand::SeedableRng;
use std::path::Path;

fn pool(workers: &str) -> (WorkerPool, ChaCha8Rng) {
    let text = format!(
        "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 1\nzones = [\"n\", \"s\"]\n[workers]\n{workers}\n"
    );
    let scenario = Scenario::parse(Path::new("a.toml"), &text).expect("a scenario");
    (WorkerPool::new(&scenario), ChaCha8Rng::seed_from_u64(1))
}

fn attempt(connection: ConnectionId, id: &str, key: Option<&str>) -> Attempt {
    let (id, idempotency_key) = (id.to_owned(), key.map(str::to_owned));
    let is_deduplicated = key.is_some();
    Attempt { connection, id, is_deduplicated, idempotency_key, run_time: 100.0 }
}

fn started(events: &[HistoryEvent]) -> usize {
    events.iter().filter(|event| matches!(event, HistoryEvent::AttemptStarted { .. })).count()
}

#[test]
fn attempts_beyond_the_slots_are_queued_and_those_beyond_the_queue_are_returned_unexecuted() {
    let (mut pool, mut rng) = pool("slots = 2\nqueue = 1");
    (0..4).for_each(|n| pool.handle_attempt(0.0, 0, attempt(n, &n.to_string(), None), &mut rng));
    let Progress { replies, events } = pool.take_progress();
    assert_eq!(started(&events), 2);
    assert_eq!(replies.last(), Some(&(3, Reply::Returned)));
    assert_eq!(pool.next_timeout(), Some(100.0));
    pool.handle_timeout(100.0, &mut rng);
    let Progress { replies, events } = pool.take_progress();
    assert_eq!(started(&events), 1, "the queued attempt");
    assert_eq!(replies.iter().filter(|reply| matches!(reply.1, Reply::LastLine(_))).count(), 2);
}

#[test]
fn a_duplicate_is_dropped_within_zone_and_window_and_runs_in_another_zone_or_later() {
    let (mut pool, mut rng) = pool("slots = 3");
    let table = [(0, 0.0, 1), (2, 50.0, 0), (1, 60.0, 1), (0, 7_000.0, 0), (0, 7_600.0, 1)];
    for (number, (worker, at, runs)) in table.into_iter().enumerate() {
        pool.handle_timeout(at, &mut rng);
        pool.take_progress();
        let duplicate = attempt(number as ConnectionId, &number.to_string(), Some("k"));
        pool.handle_attempt(at, worker, duplicate, &mut rng);
        let events = pool.take_progress().events;
        assert_eq!(started(&events), runs, "worker {worker} at {at}");
    }
}

#[test]
fn a_cold_worker_is_slow_a_dead_one_resets_connections_and_a_failing_one_fails_attempts() {
    let (mut pool, mut rng) = pool("warm-up-ms = 1000\ninitial-capacity = 0.5");
    pool.start(0.0, 0);
    pool.handle_attempt(0.0, 0, attempt(0, "a", None), &mut rng);
    assert_eq!(pool.next_timeout(), Some(200.0));
    pool.kill(1);
    pool.handle_attempt(0.0, 1, attempt(1, "b", None), &mut rng);
    pool.set_failing(2, 1.0);
    pool.handle_attempt(0.0, 2, attempt(2, "c", None), &mut rng);
    pool.handle_timeout(3.0, &mut rng);
    let Progress { replies, events } = pool.take_progress();
    assert!(replies.contains(&(1, Reply::Reset)) && replies.contains(&(2, Reply::Failed)), "{replies:?}");
    assert_eq!(started(&events), 1);
    pool.handle_connection_end(10.0, 0, 0, &mut rng);
    assert_eq!(pool.next_timeout(), None, "its connection has ended");
}
