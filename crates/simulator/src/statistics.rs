//! Counters of a simulated fleet, and the statistics of one second of a run.

use brackenledge_policy::Millis;
use serde::Serialize;

/// A message that one scheduler sent to all others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Broadcast {
    /// Virtual time at which it was sent.
    pub at: Millis,
    /// Ordinal of the sender.
    pub scheduler: usize,
}

/// Counters of a fleet since the last [`Fleet::take_statistics`](crate::Fleet::take_statistics).
#[derive(Clone, Debug, Default)]
pub struct FleetStatistics {
    /// Jobs that arrived.
    pub jobs: usize,
    /// Attempts that schedulers sent to workers.
    pub attempts: usize,
    /// Attempts that a failing worker answered with an error.
    pub failed_attempts: usize,
    /// Jobs served, in time or late.
    pub served: usize,
    /// Jobs served within their class's latency objective plus its stretch times the mean running time.
    pub in_time: usize,
    /// Jobs rejected by a scheduler.
    pub rejected: usize,
    /// Jobs failed by a scheduler.
    pub failed: usize,
    /// Jobs that were pending at a scheduler when it was killed, or that arrived at a killed one.
    pub lost: usize,
    /// Total time that attempts waited in workers' queues.
    pub queue_time: Millis,
    /// Messages between schedulers, lost ones included; a broadcast counts once per receiver.
    pub messages: usize,
    /// Broadcasts in the order in which they were sent.
    pub broadcasts: Vec<Broadcast>,
}

/// Statistics of one second of a run. A job's answer counts in the second in which it is given.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Window {
    /// Start of this second, in seconds from the start of the run.
    pub second: u32,
    /// Jobs that arrived.
    pub jobs: usize,
    /// Jobs served in time, see [`FleetStatistics::in_time`].
    pub in_time: usize,
    /// Jobs served, but not in time.
    pub late: usize,
    /// Jobs rejected by a scheduler.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Jobs failed by a scheduler.
    pub failed: usize,
    /// Jobs lost with a killed scheduler.
    pub lost: usize,
    /// Attempts that a failing worker answered with an error.
    pub failed_attempts: usize,
    /// Mean time that an attempt waited in a worker's queue, in units of the mean running time, rounded to
    /// two decimals.
    #[serde(rename = "wait")]
    pub mean_queue_time: f64,
    /// Messages between schedulers; a broadcast counts once per receiver.
    pub messages: usize,
}

impl Window {
    pub(crate) fn new(second: u32, statistics: &FleetStatistics, mean_run_time: Millis) -> Window {
        let mean_queue_time = statistics.queue_time / statistics.attempts.max(1) as f64;
        let relative_queue_time = mean_queue_time / mean_run_time;
        Window {
            second,
            jobs: statistics.jobs,
            in_time: statistics.in_time,
            late: statistics.served - statistics.in_time,
            rejected: statistics.rejected,
            failed: statistics.failed,
            lost: statistics.lost,
            failed_attempts: statistics.failed_attempts,
            mean_queue_time: (relative_queue_time * 100.0).round() / 100.0,
            messages: statistics.messages,
        }
    }
}
