//! Turns a zone's shares into a cost for each target zone, which the policy adds to the cost of the workers there. A
//! target that has got more than its share of the jobs sent recently costs more until the excess is gone.

use crate::Millis;

/// The cost of a zone whose share is zero, in latency objectives: a worker there is used only where no other is left.
const MAX_COST: f64 = 4.0;
/// Cost of an excess, in latency objectives, where it is as large as the share.
const EXCESS_COST: f64 = 3.0;
/// Cost of a route to any other zone, in latency objectives: between zones that are within their shares, the local one is
/// preferred.
const CROSSING_COST: f64 = 0.05;
/// Time constant of the decay of the jobs sent.
const SENT_DECAY_TIME: Millis = 3_000;
/// A share below this is taken for zero.
const MIN_SHARE: f64 = 0.002;
/// Lower bound of the share that an excess is divided by, so that a small share does not make every excess expensive.
const MIN_EXCESS_DIVISOR: f64 = 0.1;
/// Lower bound of the jobs that an excess is divided by, so that one job of a few is not a large excess.
const MIN_JOBS: f64 = 10.0;

/// The cost model of one scheduler: counts the jobs that it has sent recently to each zone.
#[derive(Clone, Debug)]
pub struct RouteCostModel {
    local_zone: usize,
    /// Jobs sent to each zone, as an exponentially decaying count.
    sent: Vec<f64>,
    decayed_at: Millis,
}

impl RouteCostModel {
    /// For a scheduler in `local_zone`.
    pub fn new(local_zone: usize, zone_count: usize) -> RouteCostModel {
        RouteCostModel { local_zone, sent: vec![0.0; zone_count], decayed_at: 0 }
    }

    /// A job was sent to a zone. A zone index out of range is ignored.
    pub fn on_job_sent(&mut self, target: usize) {
        if let Some(sent) = self.sent.get_mut(target) {
            *sent += 1.0;
        }
    }

    /// The cost of each zone now, in latency objectives, that keeps these shares.
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
        // As a fraction of all jobs sent. The first job to a zone is never an excess.
        let excess = (sent - (share * sent_total).max(1.0)) / sent_total.max(MIN_JOBS);
        (crossing + EXCESS_COST * excess.max(0.0) / share.max(MIN_EXCESS_DIVISOR)).min(MAX_COST)
    }
}

#[cfg(test)]
mod tests;
