//! The capacity model: demand, ready slots and usable routes of all zones, derived from the load reports.

use crate::plan::local_row;
use crate::suspect_routes::SuspectRoutes;
use crate::water_fill::{EPSILON, WaterFill};
use crate::{ClusterLoad, Millis, Plan, Settings, ShareMatrix};

/// Demand and capacity of all zones at one point in time.
pub(crate) struct CapacityModel<'a> {
    settings: &'a Settings,
    /// Slots that the work of each zone's clients needs.
    demand: Vec<f64>,
    /// Ready slots of each zone.
    slots: Vec<f64>,
    /// Whether work can be sent from one zone to another, by origin, then by target.
    usable: Vec<Vec<bool>>,
    /// Whether a route would be usable if it were not suspect, by origin, then by target.
    suspect: Vec<Vec<bool>>,
}

impl<'a> CapacityModel<'a> {
    /// The model of `zone_count` zones, from the reports that are fresh at `now`.
    pub fn new(
        now: Millis,
        settings: &'a Settings,
        load: &ClusterLoad,
        zone_count: usize,
        suspect_routes: &SuspectRoutes,
    ) -> CapacityModel<'a> {
        let oldest = now.saturating_sub(settings.report_ttl);
        let slots: Vec<f64> = (0..zone_count).map(|zone| load.ready_slots(zone, oldest)).collect();
        let demand = (0..zone_count)
            .map(|zone| load.fresh_report(zone, oldest).map_or(0.0, |report| report.offered_slots()))
            .collect();
        let has_capacity = |origin: usize, target: usize| {
            settings.crossing_cost[origin][target].is_finite() && slots[target] > 0.0
        };
        let is_suspect = |origin: usize, target: usize| suspect_routes.contains(origin, target);
        let usable = route_table(zone_count, |origin, target| {
            has_capacity(origin, target) && !is_suspect(origin, target)
        });
        let suspect = route_table(zone_count, |origin, target| {
            has_capacity(origin, target) && is_suspect(origin, target)
        });
        CapacityModel { settings, demand, slots, usable, suspect }
    }

    /// The best shares for this load, regardless of the plan in effect.
    ///
    /// Work is placed locally first, then over the cheapest routes. The first pass fills each zone to its
    /// target utilization; the second pass, in the same order, to the maximum utilization. Work that is still
    /// unplaced then is rejected.
    pub fn ideal_shares(&self) -> ShareMatrix {
        let settings = self.settings;
        let mut water_fill = WaterFill::new(&self.demand);
        let target = |zone: usize| settings.target_utilization_for(self.slots[zone]);
        let maximum = |_: usize| settings.max_utilization;
        self.fill_to(&mut water_fill, target);
        self.fill_to(&mut water_fill, maximum);
        (water_fill.flow().iter().enumerate()).map(|(origin, flow)| self.shares_of(origin, flow)).collect()
    }

    /// Fills all zones up to a utilization, over the cheapest routes first.
    fn fill_to(&self, water_fill: &mut WaterFill, utilization: impl Fn(usize) -> f64) {
        water_fill.set_capacity(|zone| self.slots[zone] * utilization(zone));
        for cost in self.crossing_costs() {
            water_fill.fill(|origin, target| {
                self.usable[origin][target] && self.settings.crossing_cost[origin][target] == cost
            });
        }
    }

    /// All distinct finite route costs, in ascending order. The local routes have the lowest cost.
    fn crossing_costs(&self) -> Vec<f64> {
        let zone_count = self.demand.len();
        let rows = self.settings.crossing_cost.iter().take(zone_count);
        let mut costs: Vec<f64> = rows.flat_map(|row| row.iter().take(zone_count).copied()).collect();
        costs.retain(|cost| cost.is_finite());
        costs.sort_by(f64::total_cmp);
        costs.dedup();
        costs
    }

    /// One zone's shares. A zone without demand keeps everything local; a suspect local route gets at least
    /// the probe fraction.
    fn shares_of(&self, origin: usize, flow: &[f64]) -> Vec<f64> {
        let mut shares: Vec<f64> = if self.demand[origin] > EPSILON {
            flow.iter().map(|part| part / self.demand[origin]).collect()
        } else if self.usable[origin][origin] {
            local_row(origin, flow.len())
        } else {
            vec![0.0; flow.len()]
        };
        // Only the local route is probed with jobs. Other routes are probed by the schedulers that need them.
        let probe_fraction = self.settings.probe_fraction;
        if self.suspect[origin][origin] && shares[origin] < probe_fraction {
            let sum: f64 = shares.iter().sum();
            shares.iter_mut().for_each(|share| *share *= (1.0 - probe_fraction) / sum.max(1.0));
            shares[origin] = probe_fraction;
        }
        shares
    }

    /// Whether a plan is infeasible under this load: it sends work over an unusable route, or overloads a
    /// zone although the zones together have capacity for all demand.
    pub fn is_infeasible(&self, plan: &Plan) -> bool {
        let zone_count = self.demand.len();
        if plan.zone_count() != zone_count {
            return true;
        }
        let demand: f64 = self.demand.iter().sum();
        let capacity: f64 = self.slots.iter().sum::<f64>() * self.settings.max_utilization;
        let overloads = |zone: usize| {
            let planned: f64 =
                (0..zone_count).map(|origin| self.demand[origin] * plan.share(origin, zone)).sum();
            planned > self.slots[zone] + EPSILON && demand < capacity
        };
        (0..zone_count).any(|target| {
            overloads(target) || (0..zone_count).any(|origin| self.is_blocked(plan, origin, target))
        })
    }

    /// Whether a plan's share over an unusable route exceeds the probe fraction by more than the minimum
    /// share change.
    fn is_blocked(&self, plan: &Plan, origin: usize, target: usize) -> bool {
        let tolerated = self.settings.probe_fraction + self.settings.min_share_change;
        !self.usable[origin][target]
            && self.demand[origin] > EPSILON
            && plan.share(origin, target) > tolerated
    }
}

fn route_table(zone_count: usize, value: impl Fn(usize, usize) -> bool) -> Vec<Vec<bool>> {
    (0..zone_count).map(|origin| (0..zone_count).map(|target| value(origin, target)).collect()).collect()
}
