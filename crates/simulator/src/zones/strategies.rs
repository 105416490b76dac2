//! How each strategy divides the work of each zone among all zones.

use super::{FlowScenario, STEP, Strategy};
use brackenledge_zone_routing::{
    ClusterLoad, PlanFollower, Planner, PlannerTerm, RouteStats, RoutingMode, Settings, ShareMatrix,
    ZoneLoadReport,
};

/// Age of the loads of other zones that uncoordinated schedulers know, in milliseconds.
const LOAD_STALENESS: u64 = 1_000;
/// Time between two load reports of a zone, in milliseconds.
const REPORT_INTERVAL: u64 = 1_000;
/// Time that a load report takes to reach the planner, in milliseconds.
const REPORT_LATENCY: u64 = 300;
/// Time between two runs of the planner, in milliseconds.
const PLAN_INTERVAL: u64 = 250;
/// Time for which a plan stays in effect unless it is received again, in milliseconds.
const PLAN_TTL: u64 = 15_000;

/// A load report on its way to the planner.
struct ReportInFlight {
    arrives_at: u64,
    zone: usize,
    report: ZoneLoadReport,
}

/// Routes the work of all zones by one strategy.
pub(super) struct Router {
    strategy: Strategy,
    /// Work that the clients of each zone offer, in slots.
    demand: Vec<f64>,
    schedulers_per_zone: u32,
    planner: Planner,
    /// One for each zone.
    followers: Vec<PlanFollower>,
    in_flight: Vec<ReportInFlight>,
    /// The load that the planner knows from reports.
    reported_load: ClusterLoad,
    /// Work that arrived at each zone, in slots, for each step so far.
    arrivals: Vec<Vec<f64>>,
    plans_made: usize,
}

impl Router {
    pub fn new(scenario: &FlowScenario, strategy: Strategy, demand: Vec<f64>) -> Router {
        let zone_count = demand.len();
        let settings = Settings::of_regions(&scenario.regions);
        Router {
            strategy,
            demand,
            schedulers_per_zone: scenario.scheduler_count / zone_count as u32,
            planner: Planner::new(0, settings, PlannerTerm::from([1; 5]), None),
            followers: (0..zone_count).map(|zone| PlanFollower::new(zone, PLAN_TTL)).collect(),
            in_flight: Vec::new(),
            reported_load: ClusterLoad::new(zone_count),
            arrivals: Vec::new(),
            plans_made: 0,
        }
    }

    /// The shares of work by zone of origin and target zone. `capacity` is the true capacity of each zone and
    /// `detected` the capacity that schedulers know of, both in slots.
    pub fn shares(&mut self, now: u64, capacity: &[f64], detected: &[f64]) -> ShareMatrix {
        match self.strategy {
            Strategy::Oracle => self.planner.ideal_shares(now, &self.true_load(now, capacity)),
            Strategy::Planned => self.planned_shares(now, detected),
            Strategy::FixedOrder => fixed_order_shares(detected),
            Strategy::Uncoordinated => self.uncoordinated_shares(detected),
        }
    }

    /// Records the work that arrived at each zone in this step, in slots.
    pub fn on_step_end(&mut self, arrivals: Vec<f64>) {
        self.arrivals.push(arrivals);
    }

    /// The number of plans made so far.
    pub fn plans_made(&self) -> usize {
        self.plans_made
    }

    /// The current load, without the delays of reports.
    fn true_load(&self, now: u64, capacity: &[f64]) -> ClusterLoad {
        let mut load = ClusterLoad::new(self.demand.len());
        for (zone, &demand) in self.demand.iter().enumerate() {
            load.handle_report(now, zone, self.report(demand, capacity));
        }
        load
    }

    fn planned_shares(&mut self, now: u64, detected: &[f64]) -> ShareMatrix {
        if now.is_multiple_of(REPORT_INTERVAL) {
            self.send_reports(now, detected);
        }
        for arrived in self.in_flight.extract_if(.., |report| report.arrives_at <= now) {
            self.reported_load.handle_report(now, arrived.zone, arrived.report);
        }
        if now > REPORT_INTERVAL + REPORT_LATENCY && now.is_multiple_of(PLAN_INTERVAL) {
            self.plan(now);
        }
        let zone_count = self.demand.len();
        let planned_row = |(zone, follower): (usize, &mut PlanFollower)| match follower.routing_mode(now) {
            RoutingMode::Planned(shares) => shares,
            RoutingMode::LocalFallback { .. } => single_target_row(Some(zone), zone_count),
        };
        self.followers.iter_mut().enumerate().map(planned_row).collect()
    }

    fn send_reports(&mut self, now: u64, detected: &[f64]) {
        for (zone, &demand) in self.demand.iter().enumerate() {
            let report = self.report(demand, detected);
            self.in_flight.push(ReportInFlight { arrives_at: now + REPORT_LATENCY, zone, report });
        }
    }

    fn plan(&mut self, now: u64) {
        self.plans_made += usize::from(self.planner.replan(now, &self.reported_load).is_some());
        let Some(plan) = self.planner.plan() else { return };
        for follower in &mut self.followers {
            // Ignores the error for stale plans: all plans come from one planner, so none is stale.
            let _ = follower.handle_plan(now, plan.clone());
        }
    }

    fn uncoordinated_shares(&self, detected: &[f64]) -> ShareMatrix {
        let staleness_steps = (LOAD_STALENESS / STEP) as usize;
        let known_load = self.arrivals.len().checked_sub(staleness_steps).map(|step| &self.arrivals[step]);
        let known_load = known_load.unwrap_or(&self.demand);
        let spare: Vec<f64> =
            detected.iter().zip(known_load).map(|(capacity, load)| (capacity - load).max(0.0)).collect();
        (self.demand.iter().enumerate())
            .map(|(zone, &demand)| uncoordinated_row(zone, demand, detected, &spare))
            .collect()
    }

    fn report(&self, demand: f64, capacity: &[f64]) -> ZoneLoadReport {
        let scheduler_count = self.schedulers_per_zone;
        let route = |slots: &f64| RouteStats {
            ready_slots: (slots * f64::from(scheduler_count)) as u32,
            reached: 100,
            failed: 0,
        };
        ZoneLoadReport {
            scheduler_count,
            offered_centislots: (demand * 100.0) as u32,
            routes: capacity.iter().map(route).collect(),
        }
    }
}

/// A row of shares that sends all work to one zone, or no work anywhere if there is no target.
fn single_target_row(target: Option<usize>, zone_count: usize) -> Vec<f64> {
    (0..zone_count).map(|zone| f64::from(u8::from(Some(zone) == target))).collect()
}

/// Each zone sends all work to the first zone that is up, in the order of indices, starting with itself and
/// wrapping around.
fn fixed_order_shares(detected: &[f64]) -> ShareMatrix {
    let zone_count = detected.len();
    let first_up = |zone: usize| {
        (0..zone_count).map(|step| (zone + step) % zone_count).find(|&target| detected[target] > 0.0)
    };
    (0..zone_count).map(|zone| single_target_row(first_up(zone), zone_count)).collect()
}

/// The shares of one zone that decides by itself. It keeps as much work as it has capacity for, and divides
/// the remainder among the other zones in proportion to the spare capacity that it knows of.
fn uncoordinated_row(zone: usize, demand: f64, detected: &[f64], spare: &[f64]) -> Vec<f64> {
    let local = (detected[zone] / demand).min(1.0);
    let spare_elsewhere: f64 =
        spare.iter().enumerate().filter(|(target, _)| *target != zone).map(|(_, spare)| spare).sum();
    let others_up =
        detected.iter().enumerate().filter(|&(target, capacity)| target != zone && *capacity > 0.0).count();
    let share = |target: usize| {
        if target == zone {
            local
        } else if spare_elsewhere > 0.0 {
            (1.0 - local) * spare[target] / spare_elsewhere
        } else if detected[target] > 0.0 {
            // No other zone has spare capacity: the work is divided equally among those that are up.
            (1.0 - local) / others_up as f64
        } else {
            0.0
        }
    };
    (0..detected.len()).map(share).collect()
}
