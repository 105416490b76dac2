//! Stand-in workers, from the protocol page: slots and a waiting room, a cold start, drains, restarts, slowness and
//! failures; repeats of a keyed job are dropped by all workers of a zone within its window. No I/O, no clock.

use crate::Millis;
use crate::checker::Event;
use crate::scenario::{KEYED_WINDOW, Scenario};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};

/// A request as it reached a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where its answer goes.
    pub connection: usize,
    /// `X-Trace-Id`.
    pub id: String,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// Whether its class is keyed.
    pub keyed: bool,
    /// Its running time on a warm worker.
    pub work: Millis,
}

/// What a worker says on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// A line of the answer; the first one brings the answer's head.
    Line(Value),
    /// The last line.
    Last(Value),
    /// 503 with `X-Never-Ran`.
    Returned,
    /// 500.
    Failed,
    /// The connection is gone.
    Reset,
}

#[derive(Debug)]
struct Running {
    attempt: Attempt,
    until: Millis,
    fails: bool,
    /// A repeat that waits for the first one's result; it holds no slot.
    repeat: bool,
}

#[derive(Debug, Default)]
struct Worker {
    running: Vec<Running>,
    waiting: VecDeque<Attempt>,
    cold_since: Option<Millis>,
    slow: f64,
    failing: f64,
    draining: bool,
    dead: bool,
}

/// All of them.
#[derive(Debug)]
pub struct Fleet {
    workers: Vec<Worker>,
    /// First runs by zone and key: when, and until when.
    keys: HashMap<(usize, String), (Millis, Millis)>,
    zones: usize,
    slots: usize,
    room: usize,
    cold: Millis,
    cold_share: f64,
    said: Vec<(usize, Said)>,
    events: Vec<Event>,
}

impl Fleet {
    /// Warm, idle workers.
    pub fn new(scenario: &Scenario) -> Fleet {
        let worker = || Worker { slow: 1.0, ..Worker::default() };
        Fleet {
            workers: (0..scenario.workers).map(|_| worker()).collect(),
            keys: HashMap::new(),
            zones: scenario.zones.len(),
            slots: scenario.slots,
            room: scenario.room,
            cold: scenario.cold,
            cold_share: scenario.cold_share,
            said: Vec::new(),
            events: Vec::new(),
        }
    }

    /// What was said and seen since the last call.
    pub fn drain(&mut self) -> (Vec<(usize, Said)>, Vec<Event>) {
        (std::mem::take(&mut self.said), std::mem::take(&mut self.events))
    }

    /// When something happens next by itself.
    pub fn next(&self) -> Option<Millis> {
        let ends = self.workers.iter().flat_map(|w| w.running.iter().map(|running| running.until));
        ends.min_by(f64::total_cmp)
    }

    /// Whether it lives.
    pub fn alive(&self, worker: usize) -> bool {
        !self.workers[worker].dead
    }

    /// A request has arrived whole.
    pub fn arrive(&mut self, now: Millis, worker: usize, attempt: Attempt, rng: &mut ChaCha8Rng) {
        let one = &mut self.workers[worker];
        let free = one.running.iter().filter(|running| !running.repeat).count() < self.slots;
        if one.dead {
            self.said.push((attempt.connection, Said::Reset));
        } else if one.draining || (!free && one.waiting.len() >= self.room) {
            self.events.push(Event::Returned { at: now, id: attempt.id.clone(), worker });
            self.said.push((attempt.connection, Said::Returned));
        } else {
            one.waiting.push_back(attempt);
            self.begin(now, worker, rng);
        }
    }

    fn begin(&mut self, now: Millis, worker: usize, rng: &mut ChaCha8Rng) {
        let zone = worker % self.zones;
        loop {
            let one = &mut self.workers[worker];
            let busy = one.running.iter().filter(|running| !running.repeat).count();
            if busy >= self.slots {
                return;
            }
            let Some(attempt) = one.waiting.pop_front() else { return };
            let place = attempt.key.clone().filter(|_| attempt.keyed).map(|key| (zone, key));
            let first = place.as_ref().and_then(|place| self.keys.get(place).copied());
            if let Some((_, until)) = first.filter(|(since, _)| now < since + KEYED_WINDOW) {
                self.events.push(Event::Dropped { at: now, id: attempt.id.clone(), worker });
                one.running.push(Running { attempt, until: until.max(now), fails: false, repeat: true });
                continue;
            }
            let share = match one.cold_since {
                Some(since) if now < since + self.cold => {
                    self.cold_share + (1.0 - self.cold_share) * (now - since) / self.cold
                }
                _ => 1.0,
            };
            let fails = rng.random::<f64>() < one.failing;
            let until = now + if fails { 3.0 } else { attempt.work * one.slow / share };
            if !fails {
                self.events.push(Event::Ran { at: now, id: attempt.id.clone(), worker });
                self.keys.extend(place.map(|place| (place, (now, until))));
            }
            let started = json!({"id": attempt.id, "from": format!("w{worker}"), "state": "started"});
            self.said.push((attempt.connection, Said::Line(started)));
            one.running.push(Running { attempt, until, fails, repeat: false });
        }
    }

    /// Plays what is due.
    pub fn advance(&mut self, now: Millis, rng: &mut ChaCha8Rng) {
        for worker in 0..self.workers.len() {
            let one = &mut self.workers[worker];
            let (over, going): (Vec<Running>, Vec<Running>) =
                std::mem::take(&mut one.running).into_iter().partition(|running| running.until <= now);
            one.running = going;
            if over.is_empty() {
                continue;
            }
            let (busy, waiting) = (one.running.len(), one.waiting.len());
            for Running { attempt, fails, .. } in over {
                if fails {
                    self.said.push((attempt.connection, Said::Failed));
                    continue;
                }
                let result = format!("made-for-{}-by-{worker}", attempt.id);
                let (id, free) = (&attempt.id, self.slots.saturating_sub(busy + waiting));
                let last = json!({"id": id, "from": format!("w{worker}"), "state": "done", "result": result,
                    "load": {"x0": free, "x1": free, "concurrent": busy + waiting}});
                self.events.push(Event::Finished { at: now, id: id.clone(), worker, result });
                self.said.push((attempt.connection, Said::Last(last)));
            }
            self.begin(now, worker, rng);
        }
    }

    /// A connection has ended: what waits for it never runs, what runs is wasted.
    pub fn gone(&mut self, now: Millis, worker: usize, connection: usize, rng: &mut ChaCha8Rng) {
        let one = &mut self.workers[worker];
        one.waiting.retain(|attempt| attempt.connection != connection);
        one.running.retain(|running| running.attempt.connection != connection);
        self.begin(now, worker, rng);
    }

    /// It takes nothing new, or takes again.
    pub fn set_draining(&mut self, worker: usize, draining: bool) {
        self.workers[worker].draining = draining;
    }

    /// It takes so many times as long, from the next job on.
    pub fn set_slow(&mut self, worker: usize, times: f64) {
        self.workers[worker].slow = times;
    }

    /// It fails that part.
    pub fn set_failing(&mut self, worker: usize, part: f64) {
        self.workers[worker].failing = part;
    }

    /// It dies, and what it held with it.
    pub fn kill(&mut self, worker: usize) {
        let one = &mut self.workers[worker];
        (one.dead, one.draining) = (true, false);
        one.running.clear();
        one.waiting.clear();
    }

    /// It starts, cold.
    pub fn start(&mut self, now: Millis, worker: usize) {
        self.kill(worker);
        let one = &mut self.workers[worker];
        (one.dead, one.cold_since) = (false, Some(now));
        self.events.push(Event::Started { at: now, worker });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use std::path::Path;

    fn fleet(workers: &str) -> (Fleet, ChaCha8Rng) {
        let text = format!(
            "name = \"a\"\nwhy = \"b\"\n[tier]\nschedulers = 1\nzones = [\"n\", \"s\"]\n[workers]\n{workers}\n"
        );
        let scenario = Scenario::parse(Path::new("a.toml"), &text).expect("a scenario");
        (Fleet::new(&scenario), ChaCha8Rng::seed_from_u64(1))
    }

    fn attempt(connection: usize, id: &str, key: Option<&str>) -> Attempt {
        let (id, key) = (id.to_owned(), key.map(str::to_owned));
        Attempt { connection, id, keyed: key.is_some(), key, work: 100.0 }
    }

    fn ran(events: &[Event]) -> usize {
        events.iter().filter(|event| matches!(event, Event::Ran { .. })).count()
    }

    #[test]
    fn slots_run_the_room_waits_and_the_rest_is_handed_back_unstarted() {
        let (mut fleet, mut rng) = fleet("slots = 2\nroom = 1");
        (0..4).for_each(|n| fleet.arrive(0.0, 0, attempt(n, &n.to_string(), None), &mut rng));
        let (said, events) = fleet.drain();
        assert_eq!(ran(&events), 2);
        assert_eq!(said.last(), Some(&(3, Said::Returned)));
        assert_eq!(fleet.next(), Some(100.0));
        fleet.advance(100.0, &mut rng);
        let (said, events) = fleet.drain();
        assert_eq!(ran(&events), 1, "the one that waited");
        assert_eq!(said.iter().filter(|s| matches!(s.1, Said::Last(_))).count(), 2);
    }

    #[test]
    fn a_keyed_repeat_is_dropped_in_its_zone_and_window_and_runs_elsewhere_or_later() {
        let (mut fleet, mut rng) = fleet("slots = 3");
        let table = [(0, 0.0, 1), (2, 50.0, 0), (1, 60.0, 1), (0, 7_000.0, 0), (0, 7_600.0, 1)];
        for (number, (worker, at, runs)) in table.into_iter().enumerate() {
            fleet.advance(at, &mut rng);
            fleet.drain();
            fleet.arrive(at, worker, attempt(number, &number.to_string(), Some("k")), &mut rng);
            let (_, events) = fleet.drain();
            assert_eq!(ran(&events), runs, "worker {worker} at {at}");
        }
    }

    #[test]
    fn a_cold_worker_is_slow_a_dead_one_resets_and_a_failing_one_fails() {
        let (mut fleet, mut rng) = fleet("cold-ms = 1000\ncold-share = 0.5");
        fleet.start(0.0, 0);
        fleet.arrive(0.0, 0, attempt(0, "a", None), &mut rng);
        assert_eq!(fleet.next(), Some(200.0));
        fleet.kill(1);
        fleet.arrive(0.0, 1, attempt(1, "b", None), &mut rng);
        fleet.set_failing(2, 1.0);
        fleet.arrive(0.0, 2, attempt(2, "c", None), &mut rng);
        fleet.advance(3.0, &mut rng);
        let (said, events) = fleet.drain();
        assert!(said.contains(&(1, Said::Reset)) && said.contains(&(2, Said::Failed)), "{said:?}");
        assert_eq!(ran(&events), 1);
        fleet.gone(10.0, 0, 0, &mut rng);
        assert_eq!(fleet.next(), None, "its client left");
    }
}
