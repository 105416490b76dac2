//! The leader's state: aggregates the schedulers' reports, makes plans, and decides when a plan is published.

use super::report::ZoneReport;
use super::whole_millis;
use crate::net::event_loop::Millis;
use brackenledge_zone_routing::{
    ClusterLoad, Millis as WholeMillis, Plan, PlanFollower, Planner, PlannerTerm, Replan, Settings,
    ZoneLoadReport,
};
use std::collections::BTreeMap;

/// How long a scheduler's last report counts. Several report intervals, so that the loss of a datagram is not
/// taken for the loss of its scheduler.
const REPORT_TTL: Millis = 3_500.0;
/// Interval between two publications of the same plan.
const PUBLISH_INTERVAL: Millis = 500.0;

/// A scheduler's latest report, with the time of its arrival.
struct ReceivedReport {
    received_at: Millis,
    report: ZoneReport,
}

/// Makes plans while this scheduler is the leader. Reports that arrived before the lease was acquired are
/// used too.
#[derive(Default)]
pub(super) struct PlanLeader {
    /// The latest reports, by ordinal of the scheduler.
    reports: BTreeMap<u16, ReceivedReport>,
    /// Present while the role lease is held.
    planner: Option<Planner>,
    published_at: Millis,
}

impl PlanLeader {
    pub fn handle_report(&mut self, now: Millis, from: u16, report: ZoneReport) {
        self.reports.insert(from, ReceivedReport { received_at: now, report });
    }

    /// The role lease is not held, so there is nothing to plan.
    pub fn step_down(&mut self) {
        self.planner = None;
    }

    /// The role lease is held under this term. If it is a new term, a new planner is created that continues
    /// from the plan in effect.
    pub fn ensure_planner(
        &mut self,
        now: WholeMillis,
        settings: &Settings,
        term: PlannerTerm,
        follower: &mut PlanFollower,
    ) {
        if self.planner.as_ref().is_none_or(|planner| planner.term() != term) {
            let known_plan = follower.active_plan(now).cloned();
            self.planner = Some(Planner::new(now, settings.clone(), term, known_plan));
        }
    }

    /// Makes a new plan if there is a reason for one.
    pub fn replan(&mut self, now: Millis, zone_count: usize) -> Option<Replan> {
        self.reports.retain(|_, report| now < report.received_at + REPORT_TTL);
        let now = whole_millis(now);
        let load = self.cluster_load(now, zone_count);
        // Without any report the load is unknown, so no plan can be made.
        if self.reports.is_empty() { None } else { self.planner.as_mut()?.replan(now, &load) }
    }

    fn cluster_load(&self, now: WholeMillis, zone_count: usize) -> ClusterLoad {
        let mut zones = vec![ZoneLoadReport::default(); zone_count];
        for ReceivedReport { report, .. } in self.reports.values() {
            zones[usize::from(report.zone)].add(&report.observed);
        }
        let mut load = ClusterLoad::new(zone_count);
        for (zone, report) in zones.into_iter().enumerate().filter(|(_, report)| report.scheduler_count > 0) {
            load.handle_report(now, zone, report);
        }
        load
    }

    /// The planner's latest plan, which is in effect or about to be.
    pub fn plan(&self) -> Option<&Plan> {
        self.planner.as_ref()?.plan()
    }

    /// Returns whether the plan is due for publication, and records it as published if so. `is_new`: it was
    /// just made.
    pub fn take_due_publication(&mut self, now: Millis, is_new: bool) -> bool {
        let is_due = is_new || now >= self.published_at + PUBLISH_INTERVAL;
        if is_due {
            self.published_at = now;
        }
        is_due
    }
}
