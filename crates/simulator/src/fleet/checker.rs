//! The checker's rules for schedulers: one answer for each job, by its deadline and a tolerance, and no message over the
//! size that fits a datagram's part. It counts by itself, and not by what the schedulers say.

use brackenledge_policy::{JobId, Millis};
use std::collections::BTreeMap;
use std::fmt;

/// A job must be answered this long after its deadline.
pub(super) const DEADLINE_TOLERANCE: Millis = 50.0;
const MAX_MESSAGE_BYTES: usize = 256;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A job was answered a second time.
    AnsweredTwice {
        /// When.
        at: Millis,
        /// Which job.
        job: JobId,
    },
    /// A job was answered after its deadline.
    AnsweredLate {
        /// When.
        at: Millis,
        /// Which job.
        job: JobId,
    },
    /// A job had no answer at its deadline.
    NeverAnswered {
        /// When that was noticed.
        at: Millis,
        /// Which job.
        job: JobId,
    },
    /// A message between schedulers was too long.
    MessageTooLong {
        /// When.
        at: Millis,
        /// Its length.
        bytes: usize,
    },
    /// A worker that was warming up was sent too much.
    WarmingWorkerOverloaded {
        /// The work in the span of [`overload_duration`](brackenledge_policy::Settings::overload_duration), as a multiple of what
        /// the worker could do in it.
        load: f64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, text: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::AnsweredTwice { at, job } => write!(text, "{at:.0} ms: job {job} was answered twice"),
            Violation::AnsweredLate { at, job } => {
                write!(text, "{at:.0} ms: job {job} was answered too late")
            }
            Violation::NeverAnswered { at, job } => write!(text, "{at:.0} ms: job {job} was never answered"),
            Violation::MessageTooLong { at, bytes } => write!(text, "{at:.0} ms: a message of {bytes} bytes"),
            Violation::WarmingWorkerOverloaded { load } => {
                write!(
                    text,
                    "a worker that was warming up was sent {load:.2} times what it could do in a span"
                )
            }
        }
    }
}

struct PendingJob {
    arrived_at: Millis,
    scheduler: usize,
}

/// The jobs that have no answer yet, and the rules broken so far.
pub(super) struct Checker {
    deadline: Millis,
    pending: BTreeMap<JobId, PendingJob>,
    pub violations: Vec<Violation>,
}

impl Checker {
    /// A checker of jobs that must be answered within a time of their arrival.
    pub fn new(deadline: Millis) -> Checker {
        Checker { deadline, pending: BTreeMap::new(), violations: Vec::new() }
    }

    pub fn job_arrived(&mut self, now: Millis, job: JobId, scheduler: usize) {
        self.pending.insert(job, PendingJob { arrived_at: now, scheduler });
    }

    /// Whether a scheduler still has to answer a job.
    pub fn is_pending(&self, job: JobId, scheduler: usize) -> bool {
        self.pending.get(&job).is_some_and(|pending| pending.scheduler == scheduler)
    }

    /// Takes in the answer of a job; the time since its arrival, if it is the first answer.
    pub fn job_answered(&mut self, now: Millis, job: JobId) -> Option<Millis> {
        let Some(pending) = self.pending.remove(&job) else {
            self.violations.push(Violation::AnsweredTwice { at: now, job });
            return None;
        };
        if now > pending.arrived_at + self.deadline + DEADLINE_TOLERANCE {
            self.violations.push(Violation::AnsweredLate { at: now, job });
        }
        Some(now - pending.arrived_at)
    }

    /// Takes in that a scheduler was killed; the number of its jobs, which need no answer any more.
    pub fn scheduler_killed(&mut self, scheduler: usize) -> usize {
        let before = self.pending.len();
        self.pending.retain(|_, pending| pending.scheduler != scheduler);
        before - self.pending.len()
    }

    pub fn message_sent(&mut self, now: Millis, bytes: usize) {
        if bytes > MAX_MESSAGE_BYTES {
            self.violations.push(Violation::MessageTooLong { at: now, bytes });
        }
    }

    /// Finds the jobs whose deadline has passed, each once.
    pub fn check_deadlines(&mut self, now: Millis) {
        let latest_arrival = now - self.deadline - DEADLINE_TOLERANCE;
        let Checker { pending, violations, .. } = self;
        pending.retain(|&job, pending| {
            let is_overdue = pending.arrived_at < latest_arrival;
            if is_overdue {
                violations.push(Violation::NeverAnswered { at: now, job });
            }
            !is_overdue
        });
    }
}
