//! What is counted of a fleet, and the figures of one second.

use brackenledge_policy::Millis;
use serde::Serialize;

/// A message that one scheduler sent to all the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Broadcast {
    /// When.
    pub at: Millis,
    /// Who sent it.
    pub scheduler: usize,
}

/// Counts since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct FleetStatistics {
    /// Jobs that arrived.
    pub jobs: usize,
    /// Attempts sent to workers.
    pub attempts: usize,
    /// Attempts that failed.
    pub failed_attempts: usize,
    /// Jobs served.
    pub served: usize,
    /// Jobs served within their latency objective and the stretch of a running time.
    pub in_time: usize,
    /// Jobs rejected.
    pub rejected: usize,
    /// Jobs failed.
    pub failed: usize,
    /// Jobs lost with a scheduler that was killed.
    pub lost: usize,
    /// Time that attempts spent in workers' queues, in all.
    pub queue_time: Millis,
    /// Messages between schedulers, by receiver.
    pub messages: usize,
    /// Messages to all schedulers.
    pub broadcasts: Vec<Broadcast>,
}

/// One second of a run. Jobs are counted in the second of their answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Seconds from the start.
    pub second: u32,
    /// Jobs that arrived.
    pub jobs: usize,
    /// Jobs served in time.
    pub in_time: usize,
    /// Jobs served late.
    pub late: usize,
    /// Jobs rejected.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Jobs failed.
    pub failed: usize,
    /// Jobs lost with a scheduler.
    pub lost: usize,
    /// Attempts that failed.
    pub failed_attempts: usize,
    /// Mean time in a worker's queue, in mean running times.
    #[serde(rename = "wait")]
    pub mean_queue_time: f64,
    /// Messages between schedulers, by receiver.
    pub messages: usize,
}

impl Window {
    pub(crate) fn new(second: u32, statistics: &FleetStatistics, mean_run_time: Millis) -> Window {
        let mean_queue_time = statistics.queue_time / statistics.attempts.max(1) as f64;
        let run_times = mean_queue_time / mean_run_time;
        Window {
            second,
            jobs: statistics.jobs,
            in_time: statistics.in_time,
            late: statistics.served - statistics.in_time,
            rejected: statistics.rejected,
            failed: statistics.failed,
            lost: statistics.lost,
            failed_attempts: statistics.failed_attempts,
            mean_queue_time: (run_times * 100.0).round() / 100.0,
            messages: statistics.messages,
        }
    }
}
