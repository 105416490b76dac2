//! Determines which plan a scheduler follows, and how it routes when plans stop arriving.

use crate::{Millis, Plan, PlanVersion};

/// A plan was ignored because a newer version has already been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stale plan: newer version {}/{} was already received", newest.term, newest.sequence)]
pub struct StalePlan {
    /// The newest version received so far.
    pub newest: PlanVersion,
}

/// How a scheduler routes the work of its clients.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingMode {
    /// According to a plan. Holds the shares of the scheduler's own zone, by target.
    Planned(Vec<f64>),
    /// There is no plan in effect, or it has expired. Work stays in its zone; the excess goes to other zones
    /// as this scheduler's own observations allow.
    LocalFallback {
        /// Upper bound of the share of the work that may leave the zone.
        max_spill: f64,
    },
}

/// Follows the leader's plans on behalf of one scheduler.
///
/// A newer plan takes effect at the time that it states; until then the previous plan stays active. If the
/// newest plan is not received again, routing returns to local in two bounded steps: after the plan's TTL,
/// half of each remote share and of the rejected share becomes local; after 1.5 times the TTL, the scheduler
/// changes to [`RoutingMode::LocalFallback`].
#[derive(Clone, Debug)]
pub struct PlanFollower {
    local_zone: usize,
    plan_ttl: Millis,
    active: Option<Plan>,
    pending: Option<Plan>,
    newest: PlanVersion,
    /// When a plan that was not stale last arrived; `None` before the first one.
    received_at: Option<Millis>,
}

/// Upper bound of the share of work that may leave a zone without a plan. It is low because all schedulers of
/// the zone spill without coordination.
const MAX_UNCOORDINATED_SPILL: f64 = 0.1;

impl PlanFollower {
    /// A follower without a plan, for a scheduler in `local_zone`.
    pub fn new(local_zone: usize, plan_ttl: Millis) -> PlanFollower {
        PlanFollower {
            local_zone,
            plan_ttl,
            active: None,
            pending: None,
            newest: PlanVersion::default(),
            received_at: None,
        }
    }

    /// Handles a plan that was received for the first time or again. Any plan that is not stale restarts the
    /// TTL.
    pub fn handle_plan(&mut self, now: Millis, plan: Plan) -> Result<(), StalePlan> {
        if plan.version < self.newest {
            return Err(StalePlan { newest: self.newest });
        }
        self.received_at = Some(now);
        if plan.version > self.newest {
            self.newest = plan.version;
            // A pending plan that is due takes effect before the newer plan replaces it.
            self.activate_pending(now);
            self.pending = Some(plan);
        }
        self.activate_pending(now);
        Ok(())
    }

    fn activate_pending(&mut self, now: Millis) {
        if self.pending.as_ref().is_some_and(|pending| pending.active_from <= now) {
            self.active = self.pending.take();
        }
    }

    /// The newest version received; the default version before the first plan.
    pub fn newest_version(&self) -> PlanVersion {
        self.newest
    }

    /// The plan in effect at `now`, even if its TTL has expired; `None` before the first plan takes effect.
    pub fn active_plan(&mut self, now: Millis) -> Option<&Plan> {
        self.activate_pending(now);
        self.active.as_ref()
    }

    /// How to route work at `now`.
    pub fn routing_mode(&mut self, now: Millis) -> RoutingMode {
        self.activate_pending(now);
        let (Some(plan), Some(received_at)) = (&self.active, self.received_at) else {
            return RoutingMode::LocalFallback { max_spill: MAX_UNCOORDINATED_SPILL };
        };
        let age = now.saturating_sub(received_at);
        if age >= self.plan_ttl + self.plan_ttl / 2 {
            return RoutingMode::LocalFallback { max_spill: MAX_UNCOORDINATED_SPILL };
        }
        let mut shares: Vec<f64> =
            (0..plan.zone_count()).map(|target| plan.share(self.local_zone, target)).collect();
        if age >= self.plan_ttl {
            // The intermediate step halves the remote shares, so that the local zone does not get all of this
            // work at once.
            shares.iter_mut().for_each(|share| *share *= 0.5);
            if let Some(local) = shares.get_mut(self.local_zone) {
                *local += 0.5;
            }
        }
        RoutingMode::Planned(shares)
    }
}

#[cfg(test)]
mod tests;
