//! Textbook policies to compare with: each sends a job at once, tries again after an error, and fails it at its deadline.

use brackenledge_policy::{Action, Event, JobId, Millis, Outcome, WorkerId};
use fastrand::Rng;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Attempts that a job gets.
const ATTEMPTS: usize = 4;
/// Timers may be rounded by as much.
const CLOCK_STEP: Millis = 0.01;

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Any.
    Random,
    /// The next.
    RoundRobin,
    /// The one with the fewest of the scheduler's own jobs.
    LeastOutstanding,
    /// Of two at random the one with fewer of the scheduler's own jobs.
    TwoChoices,
    /// The one with the fewest jobs of all, as it is: no real scheduler can know.
    Oracle,
}

impl Rule {
    /// Its name in files.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Random => "random",
            Rule::RoundRobin => "round-robin",
            Rule::LeastOutstanding => "least-outstanding",
            Rule::TwoChoices => "two-choices",
            Rule::Oracle => "oracle",
        }
    }
}

/// A scheduler that goes by one of these rules.
pub(crate) struct Textbook {
    rule: Rule,
    rng: Rng,
    /// Jobs out at each worker, from here.
    own: Vec<usize>,
    turn: usize,
    /// Jobs without an answer: their deadlines, and the attempts made.
    jobs: BTreeMap<JobId, (Millis, usize)>,
    out: BTreeMap<(JobId, usize), WorkerId>,
}

impl Textbook {
    pub(crate) fn new(rule: Rule, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let turn = rng.usize(..1_000);
        Textbook { rule, rng, own: Vec::new(), turn, jobs: BTreeMap::new(), out: BTreeMap::new() }
    }

    /// Takes an event in. `held`: the jobs at each worker, as they are.
    pub(crate) fn handle(&mut self, now: Millis, event: Event, held: &[usize], actions: &mut Vec<Action>) {
        match event {
            Event::Workers { entries, .. } => {
                let count = entries.iter().map(|entry| entry.id + 1).max().unwrap_or(0);
                self.own.resize(self.own.len().max(count), 0);
            }
            Event::Job(job) => {
                self.jobs.insert(job.id, (now + job.time_left, 0));
                actions.push(Action::SetTimer { after: job.time_left });
                self.send(job.id, held, actions);
            }
            Event::AttemptEnded(end) => {
                if let Some(worker) = self.out.remove(&(end.job, end.attempt)) {
                    self.own[worker] -= 1;
                }
                match (end.outcome, self.jobs.get(&end.job)) {
                    (_, None) => {}
                    (Outcome::Served, _) => {
                        self.jobs.remove(&end.job);
                    }
                    (_, Some((_, attempts))) if *attempts < ATTEMPTS => self.send(end.job, held, actions),
                    _ => {
                        self.jobs.remove(&end.job);
                        actions.push(Action::Fail { job: end.job });
                    }
                }
            }
            Event::Timer => {
                let late = |&(_, &(deadline, _)): &(&JobId, &(Millis, usize))| now + CLOCK_STEP >= deadline;
                let due: Vec<JobId> = self.jobs.iter().filter(late).map(|(&job, _)| job).collect();
                for job in due {
                    self.jobs.remove(&job);
                    actions.push(Action::Fail { job });
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, job: JobId, held: &[usize], actions: &mut Vec<Action>) {
        let count = self.own.len();
        let least = |of: &[usize], from: usize| {
            (0..count).map(|step| (from + step) % count).min_by_key(|&id| of[id]).unwrap_or(0)
        };
        let mut any = || self.rng.usize(..count);
        let worker = match self.rule {
            Rule::Random => any(),
            Rule::RoundRobin => self.turn % count,
            Rule::LeastOutstanding => least(&self.own, any()),
            Rule::TwoChoices => {
                let (one, other) = (any(), any());
                if self.own[one] <= self.own[other] { one } else { other }
            }
            Rule::Oracle => least(held, any()),
        };
        self.turn += 1;
        if let Some((_, attempts)) = self.jobs.get_mut(&job) {
            self.out.insert((job, *attempts), worker);
            *attempts += 1;
        }
        self.own[worker] += 1;
        actions.push(Action::StartAttempt { job, worker, timeout: None });
    }
}
