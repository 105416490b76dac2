//! Checks the rules that schedulers must keep: exactly one final answer for each job, no later than its
//! deadline plus a tolerance, and no peer message over the maximum length. The checker tracks the jobs
//! independently of the schedulers' own state.

use brackenledge_policy::{JobId, Millis};
use std::collections::BTreeMap;
use std::fmt;

/// An answer is late if it comes more than this after the job's deadline.
pub(super) const DEADLINE_TOLERANCE: Millis = 50.0;
/// Maximum length of a message between schedulers, which must fit into its part of a datagram.
const MAX_MESSAGE_BYTES: usize = 256;

/// A broken rule. Times are virtual.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A job was given a second final answer.
    AnsweredTwice {
        /// Time of the second answer.
        at: Millis,
        /// The job.
        job: JobId,
    },
    /// A job was answered after its deadline and the tolerance.
    AnsweredLate {
        /// Time of the answer.
        at: Millis,
        /// The job.
        job: JobId,
    },
    /// A job had no answer after its deadline and the tolerance.
    NeverAnswered {
        /// Time of detection.
        at: Millis,
        /// The job.
        job: JobId,
    },
    /// A message between schedulers was longer than 256 bytes.
    MessageTooLong {
        /// Time of sending.
        at: Millis,
        /// Length of the message.
        bytes: usize,
    },
    /// A worker that was warming up was sent too many attempts.
    WarmingWorkerOverloaded {
        /// Work sent to the worker within one overload window
        /// ([`overload_duration`](brackenledge_policy::Settings::overload_duration)), as a multiple of its
        /// capacity in that window.
        load: f64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::AnsweredTwice { at, job } => write!(f, "{at:.0} ms: job {job} was answered twice"),
            Violation::AnsweredLate { at, job } => {
                write!(f, "{at:.0} ms: job {job} was answered too late")
            }
            Violation::NeverAnswered { at, job } => write!(f, "{at:.0} ms: job {job} was never answered"),
            Violation::MessageTooLong { at, bytes } => {
                write!(
                    f,
                    "{at:.0} ms: a message of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
                )
            }
            Violation::WarmingWorkerOverloaded { load } => {
                write!(
                    f,
                    "a worker that was warming up was sent {load:.2} times its capacity in an overload window"
                )
            }
        }
    }
}

struct PendingJob {
    arrived_at: Millis,
    scheduler: usize,
}

/// The jobs without a final answer, and the rules broken so far.
pub(super) struct Checker {
    deadline: Millis,
    pending: BTreeMap<JobId, PendingJob>,
    pub violations: Vec<Violation>,
}

impl Checker {
    /// Creates a checker for jobs that must be answered within `deadline` of their arrival.
    pub fn new(deadline: Millis) -> Checker {
        Checker { deadline, pending: BTreeMap::new(), violations: Vec::new() }
    }

    pub fn record_arrival(&mut self, now: Millis, job: JobId, scheduler: usize) {
        self.pending.insert(job, PendingJob { arrived_at: now, scheduler });
    }

    /// Whether this scheduler still has to answer this job.
    pub fn is_pending(&self, job: JobId, scheduler: usize) -> bool {
        self.pending.get(&job).is_some_and(|pending| pending.scheduler == scheduler)
    }

    /// Records a final answer. Returns the time since the job's arrival, or `None` if the job was answered
    /// before.
    pub fn record_answer(&mut self, now: Millis, job: JobId) -> Option<Millis> {
        let Some(pending) = self.pending.remove(&job) else {
            self.violations.push(Violation::AnsweredTwice { at: now, job });
            return None;
        };
        if now > pending.arrived_at + self.deadline + DEADLINE_TOLERANCE {
            self.violations.push(Violation::AnsweredLate { at: now, job });
        }
        Some(now - pending.arrived_at)
    }

    /// Removes the pending jobs of a killed scheduler, which need no answer any more. Returns their number.
    pub fn remove_jobs_of(&mut self, scheduler: usize) -> usize {
        let before = self.pending.len();
        self.pending.retain(|_, pending| pending.scheduler != scheduler);
        before - self.pending.len()
    }

    pub fn check_message_length(&mut self, now: Millis, bytes: usize) {
        if bytes > MAX_MESSAGE_BYTES {
            self.violations.push(Violation::MessageTooLong { at: now, bytes });
        }
    }

    /// Records a violation for each pending job whose deadline and tolerance have passed, once per job.
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
