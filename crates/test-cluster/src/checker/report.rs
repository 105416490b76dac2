//! What a check comes to: violations and statistics. Written as JSON by the simulator.

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
    /// When.
    pub at: Millis,
    /// Who did what.
    pub description: String,
}

/// Time from a job's creation until it was served, over one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Median.
    pub median: Millis,
    /// 99th percentile.
    pub p99: Millis,
    /// Maximum.
    pub max: Millis,
}

/// A lease holder that a leader named.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoleHolder {
    /// When it was named first.
    pub at: Millis,
    /// Of which role.
    pub role: Role,
    /// Its number.
    pub holder: usize,
}

/// What a history comes to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Violations, in order of time.
    pub violations: Vec<Violation>,
    /// Jobs that were created.
    pub jobs: ByClass<usize>,
    /// Jobs that were served before their deadline.
    pub served: ByClass<usize>,
    /// Requests sent.
    pub requests: ByClass<usize>,
    /// Requests without any answer, exempted since their scheduler was killed.
    pub lost: ByClass<usize>,
    /// Requests answered late or not at all, exempted since their scheduler was paused or cut off from its clients.
    pub late: ByClass<usize>,
    /// Requests rejected.
    pub rejected: ByClass<usize>,
    /// Requests that failed.
    pub failed: ByClass<usize>,
    /// Jobs executed more than once although the client used one idempotency key: wasted capacity for `farm-view`,
    /// harmful for the other classes.
    pub duplicate_executions: ByClass<usize>,
    /// Executions beyond the first of each job.
    pub wasted_executions: ByClass<usize>,
    /// Attempts that workers dropped by their idempotency key.
    pub deduplicated: usize,
    /// Time until jobs were served.
    pub latency: ByClass<Latency>,
    /// Datagrams between schedulers.
    pub messages: usize,
    /// Bytes of these datagrams.
    pub message_bytes: usize,
    /// Requests of which another scheduler than the one asked sent an attempt.
    pub takeovers: ByClass<usize>,
    /// Requests of which two or more other schedulers sent an attempt.
    pub repeated_takeovers: usize,
    /// The longest time from the loss of the scheduler that was asked until another one sent an attempt.
    pub max_takeover_delay: Millis,
    /// Jobs in flight at a scheduler when it was killed, paused or terminated, with 2 s or more until their deadline.
    pub in_flight_at_fault: ByClass<usize>,
    /// Jobs of `in_flight_at_fault` whose clients got an answer in time.
    pub answered: ByClass<usize>,
    /// Fenced messages that lease holders sent.
    pub fenced_messages: usize,
    /// Fenced messages that reached a receiver after one of a newer term: the receiver must reject them.
    pub late_fenced_messages: usize,
    /// Lease holders in the order in which leaders named them.
    pub role_holders: Vec<RoleHolder>,
    /// The longest time from the loss of a lease holder until the next one was named; `None`: one never was.
    pub max_vacancy: Option<Millis>,
    /// Fraction of the jobs served, by the client's zone and by [`INTERVAL`](crate::checker::INTERVAL).
    pub served_by_zone: Vec<Vec<f64>>,
    /// Requests in flight, by scheduler and interval.
    pub in_flight: Vec<Vec<usize>>,
    /// Time from the start of the last fault until service is back at 95% of what it was before the first one; `None`:
    /// not within the run.
    pub recovery_time: Option<Millis>,
}

impl Report {
    /// The sum over all classes.
    pub fn sum(of: &ByClass<usize>) -> usize {
        of.iter().sum()
    }

    /// Fraction of the jobs that were served.
    pub fn served_fraction(&self) -> f64 {
        Report::sum(&self.served) as f64 / Report::sum(&self.jobs).max(1) as f64
    }

    /// Jobs executed more than once whose class forbids it.
    pub fn harmful_duplicates(&self) -> usize {
        self.duplicate_executions[1] + self.duplicate_executions[2]
    }
}
