//! How many schedulers share the workers, for budgets and allowances of which each takes its part.
//!
//! **The invariant.** The live schedulers that are on one member list never take more than the whole together, however
//! they differ in which list they know: a larger count applies at once, a smaller one once every member must know of
//! it, and a scheduler that hears from no leader, or is not on the list, counts the whole cluster. So beyond the whole
//! there is at most one part, of the cluster's size, for each live scheduler that the list does not count: one that has
//! just joined, or one that is cut off.

use crate::Micros;

/// Number of schedulers that share the workers, as one of them estimates it. Between 1 and the cluster's size.
#[derive(Clone, Debug)]
pub struct ActiveMemberEstimate {
    cluster_size: usize,
    /// A smaller count applies after so long.
    settle_time: Micros,
    count: usize,
    pending_decrease: Option<PendingDecrease>,
}

/// Smaller counts that do not apply yet.
#[derive(Clone, Copy, Debug)]
struct PendingDecrease {
    /// The largest count since then.
    largest: usize,
    since: Micros,
}

impl ActiveMemberEstimate {
    /// An estimate that begins with the whole cluster. `settle_time`: within so long each member of a list knows of it,
    /// or counts the whole cluster.
    pub fn new(cluster_size: usize, settle_time: Micros) -> ActiveMemberEstimate {
        let cluster_size = cluster_size.max(1);
        ActiveMemberEstimate { cluster_size, settle_time, count: cluster_size, pending_decrease: None }
    }

    /// Updates the estimate and returns it. `member_count`: the length of the member list, if this scheduler is on it
    /// and hears from its leader.
    pub fn update(&mut self, now: Micros, member_count: Option<usize>) -> usize {
        let current = member_count.map_or(self.cluster_size, |count| count.clamp(1, self.cluster_size));
        if current >= self.count {
            self.count = current;
            self.pending_decrease = None;
            return self.count;
        }
        let pending = match self.pending_decrease {
            Some(PendingDecrease { largest, since }) => {
                PendingDecrease { largest: largest.max(current), since }
            }
            None => PendingDecrease { largest: current, since: now },
        };
        self.pending_decrease = Some(pending);
        if now >= pending.since.saturating_add(self.settle_time) {
            self.count = pending.largest;
            // A still smaller count settles from now on.
            self.pending_decrease =
                (current < pending.largest).then_some(PendingDecrease { largest: current, since: now });
        }
        self.count
    }
}

#[cfg(test)]
mod tests;
