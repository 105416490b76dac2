//! Random orders of everything that can end: each job gets exactly one end, and nothing of it leaves after that.
#![allow(missing_docs)]

use brackenledge_engine::{Answer, Arrival, Command, Core, DispatchId, Request, Times};
use brackenledge_policy::{
    Class, Effect, JobId, ListKind, NewJob, Outcome, Readiness, Settings, WorkerEntry,
};
use std::collections::{BTreeMap, BTreeSet};

const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Unsafe, Effect::Keyed];
const WORKERS: usize = 4;
/// How long repeats of a keyed job are dropped.
const WINDOW: f64 = 400.0;

/// A dispatch that is out, as whoever carries it out sees it.
#[derive(Clone, Copy)]
struct Out {
    times: Times,
    written: bool,
}

struct World {
    core: Core,
    seed: u64,
    now: f64,
    wake_at: f64,
    class: BTreeMap<JobId, usize>,
    /// Jobs that are owed an answer.
    owed: BTreeSet<JobId>,
    out: BTreeMap<DispatchId, Out>,
    /// Attempts of each job that may have run or may yet.
    risky: BTreeMap<JobId, usize>,
    /// When the first of those left.
    risky_since: BTreeMap<JobId, f64>,
    /// Dispatches that were not written in time.
    too_late: usize,
    answers: usize,
    left: usize,
    taken_back: usize,
}

impl World {
    fn new(seed: u64, cancelling: bool) -> World {
        let class = |effect| Class { effect, deadline: 3_000.0, window: WINDOW, ..Class::default() };
        let settings = Settings {
            classes: EFFECTS.map(class).to_vec(),
            max_attempts: 4,
            cancelling,
            tells_start: true,
            starts_in_order: true,
            ..Settings::default()
        };
        let mut core = Core::new(0.0, settings, seed);
        let worker = |id: usize| WorkerEntry {
            id,
            name: format!("w{id}"),
            readiness: Readiness::Ready,
            weight: 1.0,
            ..WorkerEntry::default()
        };
        core.servers(ListKind::Full, (0..WORKERS).map(worker).collect());
        World {
            core,
            seed,
            now: 0.0,
            wake_at: f64::INFINITY,
            class: BTreeMap::new(),
            owed: BTreeSet::new(),
            out: BTreeMap::new(),
            risky: BTreeMap::new(),
            risky_since: BTreeMap::new(),
            too_late: 0,
            answers: 0,
            left: 0,
            taken_back: 0,
        }
    }

    fn arrive(&mut self, serial: usize, class: usize, time_left: f64) {
        let arrival = Arrival {
            client: serial,
            job: NewJob {
                id: 0,
                class,
                tenant: 0,
                key: None,
                time_left,
                effort: None,
                slots: 1.0,
                memory: 0.0,
                is_retry: false,
                ran: None,
            },
            request: Request {
                id: format!("t{serial}"),
                target: "/x".into(),
                idempotency_key: None,
                content_type: None,
                body: Vec::new(),
                effect: EFFECTS[class],
                watched: false,
            },
        };
        let job = self.core.job_arrived(self.now, arrival).expect("ids are new");
        self.class.insert(job, class);
        self.owed.insert(job);
    }

    /// Ends a dispatch with this outcome, or as one that never left if it has not.
    fn end(&mut self, id: DispatchId, outcome: Outcome) {
        let Some(out) = self.out.remove(&id) else { return };
        let outcome = if out.written { outcome } else { Outcome::Moot };
        if out.written && outcome.never_ran() {
            let risky = self.risky.entry(id.0).or_default();
            *risky -= 1;
            if *risky == 0 {
                self.risky_since.remove(&id.0);
            }
        }
        match outcome {
            Outcome::Ok => self.core.dispatch_served(id, "ok".into(), None),
            other => self.core.dispatch_ended(id, other, None),
        }
    }

    /// The last byte of a dispatch leaves, unless its time for that is over.
    fn write(&mut self, id: DispatchId) {
        let seed = self.seed;
        if self.now >= self.out[&id].times.leave_by {
            self.too_late += 1;
            return self.end(id, Outcome::Moot);
        }
        assert!(self.owed.contains(&id.0), "seed {seed}: {id:?} leaves for a job that is owed nothing");
        let risky = self.risky.entry(id.0).or_default();
        *risky += 1;
        assert!(
            *risky == 1 || EFFECTS[self.class[&id.0]] != Effect::Unsafe,
            "seed {seed}: {id:?} is a second run of what must not be repeated"
        );
        let since = *self.risky_since.entry(id.0).or_insert(self.now);
        assert!(
            EFFECTS[self.class[&id.0]] != Effect::Keyed || self.now < since + WINDOW,
            "seed {seed}: {id:?} leaves behind its window"
        );
        self.out.get_mut(&id).expect("it is out").written = true;
        self.core.dispatch_written(id);
    }

    fn settle(&mut self) {
        if self.now >= self.wake_at {
            self.wake_at = f64::INFINITY;
            self.core.wake();
        }
        let seed = self.seed;
        while let Some(order) = self.core.poll_command(self.now) {
            match order {
                Command::Answer { job, answer, .. } => {
                    self.answers += 1;
                    let untouched = self.risky.get(&job).is_none_or(|&risky| risky == 0);
                    assert!(
                        !untouched || !matches!(answer, Answer::Failed),
                        "seed {seed}: {job} never ran, and is not refused but failed"
                    );
                    assert!(self.owed.remove(&job), "seed {seed}: {job} had its end before");
                }
                Command::Dispatch { id, times, .. } => {
                    assert!(self.owed.contains(&id.0), "seed {seed}: {id:?} starts though nothing is owed");
                    assert!(self.out.insert(id, Out { times, written: false }).is_none());
                }
                Command::Cancel { id } => self.end(id, Outcome::Cancelled),
                Command::TakeBack { id } if self.out.get(&id).is_some_and(|out| !out.written) => {
                    self.taken_back += 1;
                    self.end(id, Outcome::Moot);
                }
                Command::Wake { after } => self.wake_at = self.wake_at.min(self.now + after),
                _ => {}
            }
        }
        assert_eq!(self.core.owed(), self.owed.len(), "seed {seed}");
    }
}

fn play(seed: u64) -> (usize, usize, usize, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = World::new(seed, seed.is_multiple_of(2));
    for serial in 0..2_000 {
        world.now += rng.f64() * 15.0;
        let now = world.now;
        let overdue: Vec<DispatchId> =
            world.out.iter().filter(|(_, out)| now >= out.times.until).map(|(&id, _)| id).collect();
        overdue.into_iter().for_each(|id| world.end(id, Outcome::Timeout));
        let out: Vec<DispatchId> = world.out.keys().copied().collect();
        match rng.u32(0..12) {
            0..=3 => world.arrive(serial, rng.usize(0..3), 50.0 + rng.f64() * 2_000.0),
            4 if !world.owed.is_empty() => {
                let job = *world.owed.iter().nth(rng.usize(0..world.owed.len())).expect("one of them");
                world.owed.remove(&job);
                world.left += 1;
                world.core.client_gone(job);
            }
            5..=7 if !out.is_empty() => {
                let id = out[rng.usize(0..out.len())];
                if !world.out[&id].written {
                    world.write(id);
                }
            }
            8 if !out.is_empty() => world.core.dispatch_started(out[rng.usize(0..out.len())]),
            9.. if !out.is_empty() => {
                let ends = [Outcome::Ok, Outcome::Ok, Outcome::Full, Outcome::Error, Outcome::Reset];
                let id = out[rng.usize(0..out.len())];
                world.end(id, ends[rng.usize(0..ends.len())]);
            }
            _ => {}
        }
        world.settle();
    }
    // The program ends: everything owed is answered at once, and what is out comes back in any order.
    world.core.give_up_all(None);
    world.settle();
    assert!(world.owed.is_empty(), "seed {seed}: {:?} are owed an answer still", world.owed);
    while let Some(&id) = world.out.keys().next() {
        world.end(id, Outcome::Ok);
        world.settle();
    }
    assert_eq!((world.core.owed(), world.core.open()), (0, 0), "seed {seed}");
    let ended = world.answers + world.left;
    assert_eq!(ended, world.class.len(), "seed {seed}: one end for each");
    (world.answers, world.left, world.taken_back, world.too_late)
}

#[test]
fn each_job_has_one_end_and_nothing_of_it_leaves_after_that() {
    let mut sums = (0, 0, 0, 0);
    for seed in 1..=60 {
        let (answers, left, taken_back, too_late) = play(seed);
        sums = (sums.0 + answers, sums.1 + left, sums.2 + taken_back, sums.3 + too_late);
    }
    // All of it has come up.
    assert!(sums.0 > 1_000 && sums.1 > 1_000 && sums.2 > 100 && sums.3 > 50, "{sums:?}");
}
