//! Clients and the front: jobs in an open loop, tries and repeats with one `Idempotency-Key`, and a front that spreads
//! connections over the schedulers it believes in and notices a death late. No I/O, no clock.

use crate::Millis;
use crate::checker::How;
use crate::scenario::{CLASSES, Scenario};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The tenants of all scenarios.
pub const TENANTS: [&str; 2] = ["karoo-play", "vaal-games"];
/// Keys that jobs concern, a few of them often.
const KEYS: f64 = 200.0;

/// What a client wants done.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index in [`CLASSES`].
    pub class: usize,
    /// The client's zone.
    pub zone: usize,
    /// Index in [`TENANTS`].
    pub tenant: usize,
    /// What it concerns.
    pub concerns: usize,
    /// When the client gives up.
    pub deadline: Millis,
    /// Its running time on a warm worker.
    pub work: Millis,
    /// Tries made.
    pub tries: usize,
    /// The client is done with it.
    pub settled: bool,
}

impl Job {
    /// The request of a try, as the protocol page has it.
    pub fn request(&self, id: &str, key: &str, now: Millis, body: usize) -> Vec<u8> {
        let (class, _) = CLASSES[self.class];
        let left = (self.deadline - now).max(1.0);
        let mut text = format!(
            "POST /{class}/user-{} HTTP/1.1\r\nHost: tier\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
             X-Customer: {}\r\nX-Expires-In-Ms: {left:.0}\r\nIdempotency-Key: {key}\r\nContent-Length: {body}\r\n\r\n",
            self.concerns, TENANTS[self.tenant]
        )
        .into_bytes();
        text.resize(text.len() + body, b'x');
        text
    }
}

/// What a client does after a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// It is done, served or not.
    Settled(bool),
    /// It tries again then.
    Again(Millis),
}

/// All clients.
#[derive(Debug)]
pub struct Crowd {
    /// All jobs so far.
    pub jobs: Vec<Job>,
    /// Jobs a second, in times of what the file says.
    pub times: f64,
    per_second: f64,
    deadline: Millis,
    tries: usize,
    again: Millis,
    mix: [f64; 3],
    zones: usize,
    run: Millis,
}

impl Crowd {
    /// Nobody yet.
    pub fn new(scenario: &Scenario) -> Crowd {
        Crowd {
            jobs: Vec::new(),
            times: 1.0,
            per_second: scenario.per_second,
            deadline: scenario.deadline,
            tries: scenario.tries,
            again: scenario.again,
            mix: scenario.mix,
            zones: scenario.zones.len(),
            run: scenario.run,
        }
    }

    /// Time until the next job comes: even over its range, its mean the rate's.
    pub fn pause(&self, rng: &mut ChaCha8Rng) -> Millis {
        rng.random_range(0.0..2_000.0 / (self.per_second * self.times))
    }

    /// A job comes.
    pub fn arrive(&mut self, now: Millis, rng: &mut ChaCha8Rng) -> usize {
        let mut at = rng.random_range(0.0..self.mix.iter().sum::<f64>());
        let class = self.mix.iter().position(|part| {
            at -= part;
            at < 0.0
        });
        let job = Job {
            class: class.unwrap_or(0),
            zone: rng.random_range(0..self.zones),
            tenant: rng.random_range(0..TENANTS.len()),
            concerns: (KEYS * rng.random::<f64>().powi(2)) as usize,
            deadline: now + self.deadline,
            work: self.run * rng.random_range(0.5..1.5),
            tries: 0,
            settled: false,
        };
        self.jobs.push(job);
        self.jobs.len() - 1
    }

    /// A try has ended. Who was refused or lost its connection comes again, who was told that it failed does not.
    pub fn after(&mut self, now: Millis, job: usize, how: &How, retry_after: Option<Millis>) -> Next {
        let job = &mut self.jobs[job];
        let pause = match how {
            How::Served(_) => None,
            How::Failed | How::GaveUp => None,
            How::Refused => Some(retry_after.unwrap_or(self.again)),
            How::Lost => Some(self.again),
        };
        match pause.filter(|pause| job.tries < self.tries && now + pause < job.deadline - self.run) {
            Some(pause) => Next::Again(now + pause),
            None => {
                job.settled = true;
                Next::Settled(matches!(how, How::Served(_)))
            }
        }
    }
}

/// What the front believes.
#[derive(Debug)]
pub struct Front {
    up: Vec<bool>,
    failing_since: Vec<Option<Millis>>,
    notice: Millis,
    zones: Vec<usize>,
    turn: usize,
}

impl Front {
    /// It believes in nobody yet.
    pub fn new(scenario: &Scenario) -> Front {
        let zones = (0..scenario.schedulers).map(|number| scenario.zone_of(number)).collect();
        let (up, failing_since) = (vec![false; scenario.schedulers], vec![None; scenario.schedulers]);
        Front { up, failing_since, notice: scenario.notice, zones, turn: 0 }
    }

    /// Whether it sends clients to all.
    pub fn all_up(&self) -> bool {
        self.up.iter().all(|&up| up)
    }

    /// `GET /up` said yes, no (`Some(false)`), or nothing at all.
    pub fn checked(&mut self, now: Millis, scheduler: usize, says: Option<bool>) {
        match says {
            Some(yes) => (self.up[scheduler], self.failing_since[scheduler]) = (yes, None),
            None => {
                let since = *self.failing_since[scheduler].get_or_insert(now);
                if now - since >= self.notice {
                    self.up[scheduler] = false;
                }
            }
        }
    }

    /// Where a connection from that zone goes: one of the zone's in turn, another's where none is up there.
    pub fn choose(&mut self, zone: usize) -> Option<usize> {
        self.turn += 1;
        let up = |near: bool| {
            let all = (0..self.up.len()).filter(|&at| self.up[at] && (!near || self.zones[at] == zone));
            all.collect::<Vec<_>>()
        };
        let some = [up(true), up(false)].into_iter().find(|some| !some.is_empty())?;
        Some(some[self.turn % some.len()])
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::path::Path;

    fn scenario() -> Scenario {
        let text = "name = \"a\"\nwhy = \"b\"\n[tier]\nschedulers = 4\nzones = [\"n\", \"s\"]\n";
        Scenario::parse(Path::new("a.toml"), text).expect("a scenario")
    }

    #[test]
    fn the_front_keeps_to_a_zone_and_notices_a_death_late() {
        let mut front = Front::new(&scenario());
        assert_eq!(front.choose(0), None);
        (0..4).for_each(|at| front.checked(0.0, at, Some(true)));
        assert!(front.all_up());
        let chosen = |front: &mut Front| {
            let mut all: Vec<_> = (0..40).filter_map(|_| front.choose(0)).collect();
            all.sort_unstable();
            all.dedup();
            all
        };
        assert_eq!(chosen(&mut front), [0, 2]);
        front.checked(100.0, 0, None);
        front.checked(2_000.0, 0, None);
        assert_eq!(chosen(&mut front), [0, 2], "not noticed yet");
        front.checked(2_100.0, 0, None);
        assert_eq!(chosen(&mut front), [2]);
        front.checked(2_200.0, 2, Some(false));
        assert_eq!(chosen(&mut front), [1, 3], "a no is a no at once");
    }

    #[test]
    fn clients_come_again_after_a_loss_or_a_refusal_in_time_and_not_after_a_failure() {
        let mut crowd = Crowd::new(&scenario());
        let mut rng = rand::SeedableRng::seed_from_u64(1);
        let table = [
            (How::Lost, 0.0, 1, None, Next::Again(150.0)),
            (How::Refused, 0.0, 1, Some(900.0), Next::Again(900.0)),
            (How::Refused, 2_500.0, 1, Some(900.0), Next::Settled(false)),
            (How::Lost, 0.0, 3, None, Next::Settled(false)),
            (How::Failed, 0.0, 1, None, Next::Settled(false)),
            (How::Served("x".into()), 0.0, 1, None, Next::Settled(true)),
        ];
        for (how, now, tries, retry_after, next) in table {
            let job = crowd.arrive(0.0, &mut rng);
            crowd.jobs[job].tries = tries;
            assert_eq!(crowd.after(now, job, &how, retry_after), next, "{how:?} at {now}");
        }
    }
}
