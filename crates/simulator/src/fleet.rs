//! Schedulers, workers that queue, and messages between the schedulers that take their time or are lost.
//!
//! Left out so far: discovery (a change of the list reaches all at once), connections, cancelling, and clients that
//! try again.

use crate::textbook::{Rule, Textbook};
use brackenledge_policy::{
    Action, AttemptResult, Class, Dispatcher, Effect, Event, JobId, ListKind, LoadReport, Millis, NewJob,
    Outcome, Settings, Tenant, WorkerEntry, WorkerId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;

/// In which a worker that fails everything fails a job.
const FAILS_IN: Millis = 3.0;
/// Part of the load reports that are taken before the next job starts, and tell of its slot as free.
const ODD: f64 = 0.1;
/// A job must be answered this long after its deadline.
const SLACK: Millis = 50.0;
/// Keys whose data a worker keeps.
const KEPT: usize = 3;
/// Part of the keys' order: the cube puts 15% of the jobs on the first of 300.
const SKEW: i32 = 3;

/// What schedulers are told here: one class, which may run twice, two tenants, and cold workers that can be pushed over.
pub fn settings() -> Settings {
    let class = Class { latency_objective: 300.0, stretch: 2.0, deadline: 5_000.0, ..Class::default() };
    Settings {
        classes: vec![Class { effect: Effect::Repeatable, ..class }],
        tenants: [(0.6, 60.0), (0.4, 40.0)]
            .map(|(quota_fraction, quota_per_second)| Tenant { quota_fraction, quota_per_second })
            .to_vec(),
        peer_messages: true,
        reports_job_start: true,
        starts_in_order: true,
        max_attempts: 4,
        initial_capacity_fraction: 0.25,
        warm_up_duration: 8_000.0,
        overload_multiple: 3.0,
        overload_duration: 1_000.0,
        ..Settings::default()
    }
}

/// An attempt: its scheduler, job and number.
type Sent = (usize, JobId, usize);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrive,
    Wake(usize),
    Message { to: usize, from: u32, text: String },
    End { at: WorkerId, sent: Sent },
}

#[derive(Default)]
struct Worker {
    running: usize,
    /// Keys whose data is here, the latest first.
    kept: VecDeque<u32>,
    queue: VecDeque<(Millis, Sent)>,
}

enum Scheduler {
    Ours(Box<Dispatcher>),
    Textbook(Textbook),
}

/// What was counted since it was last set back.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Jobs that came.
    pub jobs: usize,
    /// Attempts sent, and those that failed.
    pub sends: usize,
    /// Attempts that failed.
    pub failed_attempts: usize,
    /// Jobs served, and those of them within the aim and a running time's stretch.
    pub served: usize,
    /// Jobs served in time.
    pub in_time: usize,
    /// Jobs refused, failed, and lost with their scheduler.
    pub refused: usize,
    /// Jobs failed.
    pub failed: usize,
    /// Jobs lost with a scheduler that was killed.
    pub lost: usize,
    /// Time that attempts waited at workers, in all.
    pub waited: Millis,
    /// Messages between schedulers, by receiver.
    pub messages: usize,
    /// When who told all the others something.
    pub told_all: Vec<(Millis, usize)>,
}

/// Schedulers and workers, and what happens to them.
pub struct Fleet {
    /// What every scheduler is told.
    pub settings: Settings,
    /// Jobs a second, of the whole tier.
    pub rate: f64,
    /// Part of the messages that is lost.
    pub loss: f64,
    /// One way between any two schedulers.
    pub one_way: Millis,
    /// Running times more that a job takes where its key's data is not kept.
    pub fetch: f64,
    /// Workers from this number on fail whatever they are sent, at once.
    pub failing_from: WorkerId,
    /// What was counted.
    pub tally: Tally,
    /// Rules that were broken: which, when, by what.
    pub broken: Vec<String>,
    schedulers: Vec<Option<Scheduler>>,
    rule: Option<Rule>,
    workers: Vec<Worker>,
    slots: usize,
    run: Millis,
    keys: u32,
    next: BinaryHeap<Reverse<(u64, u64, Next)>>,
    now: Millis,
    serial: u64,
    rng: fastrand::Rng,
    jobs: usize,
    /// Jobs without an answer: when they came, and to whom.
    open: BTreeMap<JobId, (Millis, usize)>,
    /// The keys of the jobs that came.
    key_of: BTreeMap<JobId, u32>,
    /// Attempts that failed, of jobs that did.
    attempts: BTreeMap<(usize, JobId), usize>,
    /// Workers that started last, and when.
    cold: (Range<WorkerId>, Millis),
    /// When cold workers were sent a job.
    sent_cold: Vec<(Millis, WorkerId)>,
}

impl Fleet {
    /// A fleet that all schedulers know, each worker with that many slots and that mean running time, at a load of 0.6.
    pub fn new(settings: Settings, workers: usize, slots: usize, run: Millis, keys: u32, seed: u64) -> Fleet {
        let schedulers = settings.schedulers as usize;
        let mut fleet = Fleet {
            settings,
            rate: 0.6 * (workers * slots) as f64 * 1_000.0 / run,
            loss: 0.02,
            one_way: 10.0,
            fetch: 0.0,
            failing_from: workers,
            tally: Tally::default(),
            broken: Vec::new(),
            schedulers: (0..schedulers).map(|_| None).collect(),
            rule: None,
            workers: (0..workers).map(|_| Worker::default()).collect(),
            slots,
            run,
            keys,
            next: BinaryHeap::new(),
            now: 1_000_000.0,
            serial: 0,
            rng: fastrand::Rng::with_seed(seed),
            jobs: 0,
            open: BTreeMap::new(),
            key_of: BTreeMap::new(),
            attempts: BTreeMap::new(),
            cold: (0..0, 0.0),
            sent_cold: Vec::new(),
        };
        (0..schedulers).for_each(|number| fleet.boot(number));
        fleet.after(0.0, Next::Arrive);
        fleet
    }

    /// The virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }

    fn entry(id: WorkerId) -> WorkerEntry {
        let (zone, cell) = ((id % 2) as u32, (id / 2) as u32);
        WorkerEntry { id, name: format!("w{id}"), zone, cell, weight: 1.0, ..WorkerEntry::default() }
    }

    /// A scheduler starts, and knows nothing but the list.
    pub fn boot(&mut self, number: usize) {
        let settings = Settings { ordinal: number as u32, ..self.settings.clone() };
        let seed = self.rng.u64(..);
        self.schedulers[number] = Some(match self.rule {
            None => Scheduler::Ours(Box::new(Dispatcher::new(self.now, settings, seed))),
            Some(rule) => Scheduler::Textbook(Textbook::new(rule, seed)),
        });
        let entries = (0..self.workers.len()).map(Self::entry).collect();
        self.event(number, Event::Workers { kind: ListKind::Full, entries });
    }

    /// All schedulers start anew and go by a textbook's rule.
    pub fn go_by(&mut self, rule: Rule) {
        self.rule = Some(rule);
        (0..self.schedulers.len()).for_each(|number| self.boot(number));
    }

    /// A scheduler is killed; its jobs are lost.
    pub fn kill(&mut self, number: usize) {
        self.schedulers[number] = None;
        let before = self.open.len();
        self.open.retain(|_, open| open.1 != number);
        self.tally.lost += before - self.open.len();
    }

    /// The schedulers that are down.
    pub fn down(&self) -> Vec<usize> {
        (0..self.schedulers.len()).filter(|&number| self.schedulers[number].is_none()).collect()
    }

    /// That many workers start anew, and are cold.
    pub fn restart_workers(&mut self, count: usize) {
        self.cold = (0..count, self.now);
        self.sent_cold.clear();
        for number in 0..self.schedulers.len() {
            let start = |id| WorkerEntry { started_at: Some(self.now), ..Self::entry(id) };
            let entries = (0..count).map(start).collect();
            self.event(number, Event::Workers { kind: ListKind::Delta, entries });
        }
    }

    fn after(&mut self, wait: Millis, next: Next) {
        self.serial += 1;
        self.next.push(Reverse((((self.now + wait) * 1_000.0).ceil() as u64, self.serial, next)));
    }

    /// One answer for each job, and in time.
    fn answered(&mut self, job: JobId) -> Option<Millis> {
        let Some((came, _)) = self.open.remove(&job) else {
            self.broken.push(format!("{:.0} ms: job {job} was answered twice", self.now));
            return None;
        };
        let deadline = self.settings.classes[0].deadline;
        if self.now > came + deadline + SLACK {
            self.broken.push(format!("{:.0} ms: job {job} was answered too late", self.now));
        }
        Some(self.now - came)
    }

    fn event(&mut self, number: usize, event: Event) {
        let Some(scheduler) = &mut self.schedulers[number] else { return };
        let mut actions = Vec::new();
        match scheduler {
            Scheduler::Ours(dispatcher) => dispatcher.handle(self.now, event, &mut actions),
            Scheduler::Textbook(textbook) => {
                let held = |worker: &Worker| worker.running + worker.queue.len();
                let held: Vec<usize> = self.workers.iter().map(held).collect();
                textbook.handle(self.now, event, &held, &mut actions);
            }
        }
        for action in actions {
            match action {
                Action::SetTimer { after } => self.after(after, Next::Wake(number)),
                Action::StartAttempt { job, worker, .. } => {
                    self.tally.sends += 1;
                    if self.cold.0.contains(&worker) {
                        self.sent_cold.push((self.now, worker));
                    }
                    let attempt = self.attempts.get(&(number, job)).copied().unwrap_or(0);
                    self.place(worker, (number, job, attempt));
                }
                Action::SendMessage { to, text } => {
                    if text.len() > 256 {
                        self.broken.push(format!("{:.0} ms: a message of {} bytes", self.now, text.len()));
                    }
                    let all: Vec<usize> = match to {
                        Some(to) => vec![to as usize],
                        None => (0..self.schedulers.len()).filter(|&other| other != number).collect(),
                    };
                    if to.is_none() {
                        self.tally.told_all.push((self.now, number));
                    }
                    self.tally.messages += all.len();
                    for to in all {
                        if self.rng.f64() >= self.loss {
                            let message = Next::Message { to, from: number as u32, text: text.clone() };
                            self.after(self.one_way, message);
                        }
                    }
                }
                Action::Reject { job, .. } => {
                    self.tally.refused += usize::from(self.answered(job).is_some());
                }
                Action::Fail { job } => {
                    self.tally.failed += usize::from(self.answered(job).is_some());
                }
                _ => {}
            }
        }
    }

    fn place(&mut self, at: WorkerId, sent: Sent) {
        if self.workers[at].running < self.slots {
            self.workers[at].running += 1;
            self.start(at, sent);
        } else {
            self.workers[at].queue.push_back((self.now, sent));
        }
    }

    /// The part of its capacity that a worker has.
    pub fn warmth(&self, now: Millis, at: WorkerId) -> f64 {
        let (share, age) =
            (self.settings.initial_capacity_fraction, (now - self.cold.1) / self.settings.warm_up_duration);
        if self.cold.0.contains(&at) { (share + (1.0 - share) * age).min(1.0) } else { 1.0 }
    }

    /// Whether the data that a job needs was at a worker; now it is.
    fn keeps(&mut self, at: WorkerId, job: JobId) -> bool {
        let Some(key) = self.key_of.get(&job).copied() else { return true };
        let kept = &mut self.workers[at].kept;
        let had = kept.contains(&key);
        kept.retain(|&other| other != key);
        kept.push_front(key);
        kept.truncate(KEPT);
        had
    }

    fn start(&mut self, at: WorkerId, sent: Sent) {
        let took = if at >= self.failing_from {
            FAILS_IN
        } else {
            let fetch = if self.keeps(at, sent.1) { 0.0 } else { self.fetch };
            self.run * (0.5 + self.rng.f64() + fetch) / self.warmth(self.now, at)
        };
        self.after(took, Next::End { at, sent });
        self.event(sent.0, Event::JobStarted { job: sent.1, attempt: sent.2 });
    }

    /// Lets time pass.
    pub fn play(&mut self, span: Millis) {
        let until = self.now + span;
        while let Some(Reverse((at, _, _))) = self.next.peek()
            && *at as f64 / 1_000.0 <= until
        {
            let Some(Reverse((at, _, next))) = self.next.pop() else { break };
            self.now = self.now.max(at as f64 / 1_000.0);
            match next {
                Next::Wake(number) => self.event(number, Event::Timer),
                Next::Message { to, from, text } => self.event(to, Event::PeerMessage { from, text }),
                Next::Arrive => self.arrive(),
                Next::End { at, sent } => self.end(at, sent),
            }
        }
        self.now = until;
        let late = self.now - self.settings.classes[0].deadline - SLACK;
        let Fleet { open, broken, .. } = self;
        open.retain(|job, (came, _)| {
            if *came < late {
                broken.push(format!("{until:.0} ms: job {job} was never answered"));
            }
            *came >= late
        });
    }

    fn arrive(&mut self) {
        let number = self.rng.usize(..self.schedulers.len());
        self.jobs += 1;
        self.tally.jobs += 1;
        let key = (self.rng.f64().powi(SKEW) * f64::from(self.keys)) as u32;
        self.key_of.insert(self.jobs as JobId, key);
        let job = NewJob {
            affinity_key: Some(format!("k{key}")),
            id: self.jobs as JobId,
            tenant: self.rng.usize(..2),
            time_left: self.settings.classes[0].deadline,
            slots: 1.0,
            ..NewJob::default()
        };
        if self.schedulers[number].is_some() {
            self.open.insert(job.id, (self.now, number));
        } else {
            self.tally.lost += 1;
        }
        self.event(number, Event::Job(job));
        let wait = -(1.0 - self.rng.f64()).ln() * 1_000.0 / self.rate;
        self.after(wait, Next::Arrive);
    }

    fn end(&mut self, at: WorkerId, (number, job, attempt): Sent) {
        self.workers[at].running -= 1;
        if let Some((since, sent)) = self.workers[at].queue.pop_front() {
            self.tally.waited += self.now - since;
            self.workers[at].running += 1;
            self.start(at, sent);
        }
        let held = self.workers[at].running + self.workers[at].queue.len();
        let odd = f64::from(self.rng.f64() < ODD);
        let report = LoadReport {
            free_slots: Some((self.slots - self.workers[at].running) as f64 + odd),
            in_flight: Some(held as f64),
            ..LoadReport::default()
        };
        let fails = at >= self.failing_from;
        if fails {
            self.tally.failed_attempts += 1;
            self.attempts.insert((number, job), attempt + 1);
        } else if self.open.get(&job).is_some_and(|open| open.1 == number)
            && let Some(took) = self.answered(job)
        {
            let class = &self.settings.classes[0];
            self.tally.served += 1;
            self.tally.in_time += usize::from(took <= class.latency_objective + class.stretch * self.run);
        }
        let outcome = if fails { Outcome::WorkerError } else { Outcome::Served };
        let response = AttemptResult { job, attempt, outcome, job_answered: !fails, report: Some(report) };
        self.event(number, Event::AttemptEnded(response));
    }

    /// The most work that a worker of those that started last was sent within a span, in times of what it could do then,
    /// and how many of them were sent any.
    pub fn cold_most(&self) -> (f64, usize) {
        let (mut most, mut used): (f64, usize) = (0.0, 0);
        for id in self.cold.0.clone() {
            let sent = self.sent_cold.iter().filter(|sent| sent.1 == id);
            let times: Vec<Millis> = sent.map(|sent| sent.0).collect();
            used += usize::from(!times.is_empty());
            for (first, &since) in times.iter().enumerate() {
                let span = self.settings.overload_duration;
                let within = times[first..].iter().take_while(|&&at| at < since + span).count();
                let can = self.slots as f64 * self.warmth(since, id) * span;
                most = most.max(within as f64 * self.run / can);
            }
        }
        (most, used)
    }

    /// Jobs sent to those workers since they started.
    pub fn sent_cold(&self) -> usize {
        self.sent_cold.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The ledger must be able to fail: each of its rules is broken once, by hand.
    #[test]
    fn each_rule_of_the_ledger_can_be_broken() {
        let mut fleet = Fleet::new(Settings { schedulers: 2, ..settings() }, 4, 3, 300.0, 10, 1);
        fleet.rate = 1e-6;
        fleet.play(10_000.0);
        assert_eq!(fleet.broken, Vec::<String>::new());
        let deadline = fleet.settings.classes[0].deadline;
        for (job, came) in [(901, 0.0), (902, deadline + 2.0 * SLACK), (903, deadline + 2.0 * SLACK)] {
            fleet.open.insert(job, (fleet.now - came, 0));
        }
        assert_eq!(fleet.answered(901), Some(0.0));
        fleet.answered(901);
        fleet.answered(902);
        fleet.play(1.0);
        let rules = ["901 was answered twice", "902 was answered too late", "903 was never answered"];
        assert_eq!(fleet.broken.len(), rules.len(), "{:?}", fleet.broken);
        assert!(fleet.broken.iter().zip(rules).all(|(broken, rule)| broken.ends_with(rule)));
        // Forty jobs at once are more than a worker that has just started may get in a span.
        fleet.restart_workers(1);
        fleet.sent_cold = vec![(fleet.now, 0); 40];
        assert!(fleet.cold_most().0 > fleet.settings.overload_multiple);
    }
}
