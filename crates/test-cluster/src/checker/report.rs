//! The report of a check: violations and statistics. The simulator writes it as JSON.

use crate::Millis;
use brackenledge_leases::Role;
use serde::Serialize;

/// A value for each class, in the order of [`CLASSES`](crate::scenario::CLASSES).
pub type ByClass<T> = [T; 3];

/// A rule that was violated.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule, by its name in [`crate::rules`].
    pub rule: &'static str,
    /// When it was observed.
    pub at: Millis,
    /// The schedulers, workers and requests involved, and what they did.
    pub description: String,
}

/// Time from the creation of a job until it was served, over the served jobs of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// 50th percentile, to three significant digits.
    pub median: Millis,
    /// 99th percentile, to three significant digits.
    pub p99: Millis,
    /// The longest one; a minute if it was longer.
    pub max: Millis,
}

/// The holder of a role's lease, as a leader announced it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoleHolder {
    /// When a leader first announced this change of holder.
    pub at: Millis,
    /// The role of the lease.
    pub role: Role,
    /// Number of the scheduler that holds the lease.
    pub holder: usize,
}

/// Violations and statistics of a history.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Violations, in order of time.
    pub violations: Vec<Violation>,
    /// Jobs that clients created.
    pub jobs: ByClass<usize>,
    /// Jobs that were served before their deadline.
    pub served: ByClass<usize>,
    /// Requests that clients wrote completely.
    pub requests: ByClass<usize>,
    /// Requests without any answer, exempted because their scheduler was killed.
    pub lost: ByClass<usize>,
    /// Requests answered late or not at all, exempted because their scheduler was paused or cut off from its
    /// clients.
    pub late: ByClass<usize>,
    /// Requests answered with 429 or 503.
    pub rejected: ByClass<usize>,
    /// Requests answered with a status other than 200, 429 and 503.
    pub failed: ByClass<usize>,
    /// Jobs executed more than once, although all requests for a job carry the same idempotency key. This
    /// wastes capacity for `farm-view` and does harm for the other classes.
    pub duplicate_executions: ByClass<usize>,
    /// Executions beyond the first of each job.
    pub wasted_executions: ByClass<usize>,
    /// Attempts that workers did not execute because of their idempotency key.
    pub deduplicated: usize,
    /// Time from the creation of jobs until they were served.
    pub latency: ByClass<Latency>,
    /// Number of datagrams between schedulers.
    pub messages: usize,
    /// Total length of these datagrams in bytes.
    pub message_bytes: usize,
    /// Requests for which a scheduler other than the one asked sent an attempt.
    pub takeovers: ByClass<usize>,
    /// Requests for which two or more other schedulers sent an attempt.
    pub repeated_takeovers: usize,
    /// Maximum time from the loss of the scheduler that was asked until another one sent an attempt; 0
    /// without takeovers.
    pub max_takeover_delay: Millis,
    /// Jobs in flight at a scheduler when it was killed, paused or terminated, with at least 2 s left until
    /// their deadline.
    pub in_flight_at_fault: ByClass<usize>,
    /// Jobs of `in_flight_at_fault` whose clients got an answer in time.
    pub answered: ByClass<usize>,
    /// Number of fenced messages that lease holders sent.
    pub fenced_messages: usize,
    /// Fenced messages that reached a receiver after a newer term had: the receiver must reject them.
    pub late_fenced_messages: usize,
    /// Lease holders in the order in which leaders announced them.
    pub role_holders: Vec<RoleHolder>,
    /// Maximum time from the loss of a lease holder until the next one was announced; `None` if a lost holder
    /// had no successor.
    pub max_vacancy: Option<Millis>,
    /// Fraction of the jobs served, by the client's zone and by the [`INTERVAL`](crate::checker::INTERVAL) of
    /// their creation.
    pub served_by_zone: Vec<Vec<f64>>,
    /// Requests in flight, by scheduler and interval.
    pub in_flight: Vec<Vec<usize>>,
    /// Time from the start of the last fault until service is back at 95% of its level before the first
    /// fault; `None` if it is not by the end of the run.
    pub recovery_time: Option<Millis>,
}

impl Report {
    /// The sum over all classes.
    pub fn sum(counts: &ByClass<usize>) -> usize {
        counts.iter().sum()
    }

    /// Fraction of all jobs that were served; 0 if there were none.
    pub fn served_fraction(&self) -> f64 {
        Report::sum(&self.served) as f64 / Report::sum(&self.jobs).max(1) as f64
    }

    /// Jobs executed more than once whose class forbids it.
    pub fn harmful_duplicates(&self) -> usize {
        self.duplicate_executions[1] + self.duplicate_executions[2]
    }
}
