//! Which plan a scheduler follows, and what it does when none arrives any more.

use crate::{Millis, Plan, PlanVersion};

/// A plan was ignored, since a newer version is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stale plan: version {}/{} is known", newest.term, newest.sequence)]
pub struct StalePlan {
    /// The newest version known.
    pub newest: PlanVersion,
}

/// How a scheduler routes its work.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingMode {
    /// By the plan: its own zone's shares, by target.
    Planned(Vec<f64>),
    /// There is no plan, or it has expired. Work stays in its zone, and what the zone has no capacity for goes elsewhere
    /// by this scheduler's own observations.
    LocalFallback {
        /// The share of the work that may leave the zone, at most.
        max_spill: f64,
    },
}

/// Follows the leader's plans for one scheduler.
///
/// A plan newer than the known ones takes effect at the time that it states; until then the one before it stays active.
/// Routing returns to local in two bounded steps where the plan is not received again: after its TTL half of each remote
/// share becomes local, after 1.5 TTL all of it.
#[derive(Clone, Debug)]
pub struct PlanFollower {
    local_zone: usize,
    plan_ttl: Millis,
    active: Option<Plan>,
    pending: Option<Plan>,
    newest: PlanVersion,
    received_at: Option<Millis>,
}

/// Upper bound of the share that may leave a zone without a plan, since all schedulers of the zone spill uncoordinated.
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

    /// A plan was received, for the first time or again.
    pub fn handle_plan(&mut self, now: Millis, plan: Plan) -> Result<(), StalePlan> {
        if plan.version < self.newest {
            return Err(StalePlan { newest: self.newest });
        }
        self.received_at = Some(now);
        if plan.version > self.newest {
            self.newest = plan.version;
            // A pending plan whose time has come takes effect before the newer one replaces it.
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

    /// The newest version received.
    pub fn newest_version(&self) -> PlanVersion {
        self.newest
    }

    /// The plan in effect.
    pub fn active_plan(&mut self, now: Millis) -> Option<&Plan> {
        self.activate_pending(now);
        self.active.as_ref()
    }

    /// How to route at this moment.
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
            // Half of the way back to local, so that the local zone does not get all of this work at once.
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
