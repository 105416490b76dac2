//! Estimate of how many schedulers share the workers. Each scheduler divides cluster-wide budgets and limits
//! by it.
//!
//! **Invariant.** The shares of the live schedulers on the current member list never add up to more than the
//! whole budget, even if they know different lists. A larger count applies at once; a smaller count applies
//! only when every member must know of it; a scheduler that hears from no leader, or is not on the list, uses
//! the size of the whole cluster. The budget can therefore be exceeded by at most one share (1 / cluster
//! size) for each live scheduler that is not counted in the list: one that has just joined, or one that is
//! cut off.

use crate::Micros;

/// One scheduler's estimate of the number of schedulers that share the workers, from 1 to the cluster size.
#[derive(Clone, Debug)]
pub struct ActiveMemberEstimate {
    cluster_size: usize,
    /// How long a smaller count is pending before it applies.
    settle_time: Micros,
    count: usize,
    pending_decrease: Option<PendingDecrease>,
}

/// A decrease of the count that does not apply yet.
#[derive(Clone, Copy, Debug)]
struct PendingDecrease {
    /// The largest count reported since `since`.
    largest: usize,
    since: Micros,
}

impl ActiveMemberEstimate {
    /// Creates an estimate that starts with the cluster size. `settle_time` is the time within which each
    /// member of a list has either received it or fallen back to the cluster size.
    pub fn new(cluster_size: usize, settle_time: Micros) -> ActiveMemberEstimate {
        let cluster_size = cluster_size.max(1);
        ActiveMemberEstimate { cluster_size, settle_time, count: cluster_size, pending_decrease: None }
    }

    /// Updates the estimate and returns it. `member_count` is the length of the member list; `None` if this
    /// scheduler is not on it or does not hear from the leader.
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
            // If the current count is even smaller, that further decrease has to settle too, from now on.
            self.pending_decrease =
                (current < pending.largest).then_some(PendingDecrease { largest: current, since: now });
        }
        self.count
    }
}

#[cfg(test)]
mod tests;
