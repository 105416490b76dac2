//! Computes a plan from the observed load, and decides when the plan is replaced.
//!
//! Shares come from water-filling (`water_fill`) over the capacity model (`capacity`). A linear program would
//! serve as much work, but its solution jumps between corners of the feasible region when the load changes
//! slightly: see the design page.

use crate::capacity::CapacityModel;
use crate::change_budget::ChangeBudget;
use crate::plan::ShareMatrix;
use crate::suspect_routes::SuspectRoutes;
use crate::{ClusterLoad, Millis, Plan, PlanVersion, PlannerTerm, Settings};

/// Why a plan was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplanReason {
    /// There was no plan before.
    Initial,
    /// The previous plan sends work over an unusable route, or more work to a zone than it has capacity for.
    Urgent,
    /// With the current load, work can stay more local or be spread more evenly.
    Improvement,
}

impl ReplanReason {
    /// The number of changes that the budget must allow. An improvement leaves one for an urgent change.
    fn required_budget(self) -> u64 {
        if self == ReplanReason::Improvement { 2 } else { 1 }
    }
}

/// A new plan and why it was made.
#[derive(Clone, Debug, PartialEq)]
pub struct Replan {
    /// The new plan.
    pub plan: Plan,
    /// Why the previous plan was replaced.
    pub reason: ReplanReason,
}

/// Computes the plans of one leader under one term.
///
/// An infeasible plan is replaced at once; an improvement must remain possible for the stabilization period.
/// Both are limited by the change budget, and a plan is never replaced by one whose shares all differ by no
/// more than the minimum share change.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    term: PlannerTerm,
    sequence: u32,
    plan: Option<Plan>,
    change_budget: ChangeBudget,
    /// Start of the current uninterrupted period in which an improvement is possible; `None` outside of one.
    improvable_since: Option<Millis>,
    suspect_routes: SuspectRoutes,
}

impl Planner {
    /// The planner of a leader under a new term. `current_plan` is the plan to start from, if the leader
    /// knows one.
    pub fn new(now: Millis, settings: Settings, term: PlannerTerm, current_plan: Option<Plan>) -> Planner {
        Planner {
            change_budget: ChangeBudget::new(now, settings.max_changes_per_minute),
            settings,
            term,
            sequence: 0,
            plan: current_plan,
            improvable_since: None,
            suspect_routes: SuspectRoutes::default(),
        }
    }

    /// The leader's term, under which all plans of this planner are published.
    pub fn term(&self) -> PlannerTerm {
        self.term
    }

    /// The newest plan, which is in effect or about to take effect.
    pub fn plan(&self) -> Option<&Plan> {
        self.plan.as_ref()
    }

    /// The best shares for this load, regardless of the plan in effect.
    pub fn ideal_shares(&self, now: Millis, load: &ClusterLoad) -> ShareMatrix {
        let zone_count = self.zone_count(load);
        let mut suspect_routes = self.suspect_routes.clone();
        suspect_routes.update(now, &self.settings, load, zone_count);
        CapacityModel::new(now, &self.settings, load, zone_count, &suspect_routes).ideal_shares()
    }

    /// Returns a new plan for this load. `None` if the current one needs no replacement, or the change budget
    /// does not allow one yet.
    pub fn replan(&mut self, now: Millis, load: &ClusterLoad) -> Option<Replan> {
        let zone_count = self.zone_count(load);
        if zone_count == 0 {
            return None;
        }
        self.suspect_routes.update(now, &self.settings, load, zone_count);
        self.change_budget.refill(now);
        let model = CapacityModel::new(now, &self.settings, load, zone_count, &self.suspect_routes);
        let shares = model.ideal_shares();
        let is_infeasible = self.plan.as_ref().is_some_and(|plan| model.is_infeasible(plan));
        let reason = self.replan_reason(now, &shares, is_infeasible)?;
        if !self.differs(&shares) || !self.change_budget.allows(reason.required_budget()) {
            return None;
        }
        Some(Replan { plan: self.publish(now, &shares), reason })
    }

    fn zone_count(&self, load: &ClusterLoad) -> usize {
        load.zone_count().min(self.settings.crossing_cost.len())
    }

    /// Why the plan should be replaced now; `None` if it should not be.
    fn replan_reason(
        &mut self,
        now: Millis,
        shares: &[Vec<f64>],
        is_infeasible: bool,
    ) -> Option<ReplanReason> {
        if self.plan.is_none() {
            return Some(ReplanReason::Initial);
        }
        if is_infeasible {
            return Some(ReplanReason::Urgent);
        }
        if !self.differs(shares) {
            self.improvable_since = None;
            return None;
        }
        let since = *self.improvable_since.get_or_insert(now);
        (now >= since + self.settings.stabilization_period).then_some(ReplanReason::Improvement)
    }

    /// Whether any share differs from the plan's share by more than the minimum share change.
    fn differs(&self, shares: &[Vec<f64>]) -> bool {
        let Some(plan) = &self.plan else { return true };
        let min_share_change = self.settings.min_share_change;
        let changes = |origin: usize, target: usize, share: f64| {
            (plan.share(origin, target) - share).abs() > min_share_change
        };
        let row_changes = |(origin, row): (usize, &Vec<f64>)| {
            row.iter().enumerate().any(|(target, &share)| changes(origin, target, share))
        };
        plan.zone_count() != shares.len() || shares.iter().enumerate().any(row_changes)
    }

    fn publish(&mut self, now: Millis, shares: &[Vec<f64>]) -> Plan {
        self.change_budget.spend();
        self.improvable_since = None;
        self.sequence += 1;
        let version = PlanVersion { term: self.term, sequence: self.sequence };
        let plan = Plan::new(version, now + self.settings.activation_lead, shares);
        self.plan = Some(plan.clone());
        plan
    }
}
