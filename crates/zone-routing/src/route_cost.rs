//! Turns a zone's shares into a cost for each target zone, which the policy crate adds to the cost of the
//! workers in that zone. A target zone that has recently received more than its share of the jobs costs more
//! until the excess has decayed.

use crate::Millis;

/// Cost of a zone whose share is zero, in latency objectives. Workers there are used only if no others are
/// left.
const MAX_COST: f64 = 4.0;
/// Cost of an excess that is as large as the share, in latency objectives.
const EXCESS_COST: f64 = 3.0;
/// Cost of a route to any other zone, in latency objectives. Among zones that are within their shares, the
/// local zone is preferred.
const CROSSING_COST: f64 = 0.05;
/// Time constant of the exponential decay of the counts of jobs sent.
const SENT_DECAY_TIME: Millis = 3_000;
/// Smaller shares are treated as zero.
const MIN_SHARE: f64 = 0.002;
/// Lower bound of the share by which an excess is divided, so that a small share does not make every excess
/// expensive.
const MIN_EXCESS_DIVISOR: f64 = 0.1;
/// Lower bound of the number of jobs by which an excess is divided, so that a single job out of a few does
/// not count as a large excess.
const MIN_JOBS: f64 = 10.0;

/// The cost model of one scheduler. It counts the jobs that the scheduler has recently sent to each zone.
#[derive(Clone, Debug)]
pub struct RouteCostModel {
    local_zone: usize,
    /// Jobs sent to each zone, as exponentially decaying counts.
    sent: Vec<f64>,
    decayed_at: Millis,
}

impl RouteCostModel {
    /// The cost model of a scheduler in `local_zone`, which has not sent any jobs yet.
    pub fn new(local_zone: usize, zone_count: usize) -> RouteCostModel {
        RouteCostModel { local_zone, sent: vec![0.0; zone_count], decayed_at: 0 }
    }

    /// Records that a job was sent to a zone. A zone index that is out of range is ignored.
    pub fn on_job_sent(&mut self, target: usize) {
        if let Some(sent) = self.sent.get_mut(target) {
            *sent += 1.0;
        }
    }

    /// The current cost of each zone, in latency objectives. Sending each job to the zone with the lowest
    /// cost keeps these shares.
    pub fn costs(&mut self, now: Millis, shares: &[f64]) -> Vec<f64> {
        self.decay(now);
        let sent_total = self.sent.iter().sum::<f64>();
        let share_total = shares.iter().sum::<f64>();
        (self.sent.iter().enumerate())
            .map(|(target, &sent)| {
                let share = shares.get(target).copied().unwrap_or(0.0) / share_total.max(MIN_SHARE);
                self.cost(target, share, sent, sent_total)
            })
            .collect()
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.decayed_at) as f64;
        let factor = (-elapsed / SENT_DECAY_TIME as f64).exp();
        self.decayed_at = now;
        self.sent.iter_mut().for_each(|sent| *sent *= factor);
    }

    fn cost(&self, target: usize, share: f64, sent: f64, sent_total: f64) -> f64 {
        if share < MIN_SHARE {
            return MAX_COST;
        }
        let crossing = if target == self.local_zone { 0.0 } else { CROSSING_COST };
        // The excess as a fraction of all jobs sent. The first job to a zone never counts as excess.
        let excess = (sent - (share * sent_total).max(1.0)) / sent_total.max(MIN_JOBS);
        (crossing + EXCESS_COST * excess.max(0.0) / share.max(MIN_EXCESS_DIVISOR)).min(MAX_COST)
    }
}

#[cfg(test)]
mod tests;
