//! A fluid model of zones and the work that flows between them. It compares routing strategies at cluster
//! sizes that are too large for tests with real sockets. In a run, a zone and then a region lose their
//! workers, which come back and warm up.
//!
//! Limits: single jobs and workers are not modelled. A zone serves as much work as it has slots for. Work
//! beyond that is queued, and is lost when it has waited until its deadline. A long queue slows the zone
//! down, as overloaded workers slow down.

mod queues;
mod strategies;

use self::queues::Queues;
use self::strategies::Router;

/// A strategy for routing work to other zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each zone decides by itself: work beyond its capacity goes to the zones that had spare capacity when
    /// the zone last learned of their load.
    Uncoordinated,
    /// All work of a zone without workers goes to the next zone with workers, in a fixed order.
    FixedOrder,
    /// Each zone follows the planner's plans.
    Planned,
    /// The planner's ideal shares for the true load and capacity, without delay.
    Oracle,
}

impl Strategy {
    /// All strategies, in the order of the rows in tables.
    pub const ALL: [Strategy; 4] =
        [Strategy::Uncoordinated, Strategy::FixedOrder, Strategy::Planned, Strategy::Oracle];

    /// The strategy's name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Strategy::Uncoordinated => "uncoordinated",
            Strategy::FixedOrder => "fixed order",
            Strategy::Planned => "plan",
            Strategy::Oracle => "oracle",
        }
    }
}

/// The time in which a zone has no workers. Times are in milliseconds since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct ZoneOutage {
    /// Index of the zone.
    pub zone: usize,
    /// When the zone loses its workers.
    pub from: u64,
    /// When the workers are back and start to warm up.
    pub until: u64,
}

/// The input of a run: the cluster, its load and the outages.
#[derive(Clone, Debug)]
pub struct FlowScenario {
    /// Number of schedulers. Affects only the contents of load reports.
    pub scheduler_count: u32,
    /// Number of slots of all workers.
    pub slots: f64,
    /// The region of each zone.
    pub regions: Vec<usize>,
    /// Offered load, as a fraction of the capacity of all zones.
    pub load: f64,
    /// Outages of zones.
    pub outages: Vec<ZoneOutage>,
    /// Length of the run in milliseconds.
    pub length: u64,
}

/// What was measured in a run. Fractions are from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowResult {
    /// Fraction of the work that was served.
    pub served: f64,
    /// Fraction of the work that was served in a zone other than its origin.
    pub served_elsewhere: f64,
    /// The lowest fraction served of the work that originates in any one zone.
    pub min_served_per_origin: f64,
    /// The lowest fraction served of the work that originates in any one zone that had no outage.
    pub min_served_per_origin_without_outage: f64,
    /// Number of times that a zone at full capacity received more than 1.1 times its capacity for 3 s,
    /// although the capacity of all zones together was sufficient.
    pub cascades: usize,
    /// Number of times that a zone received more than four times its current capacity for 3 s.
    pub severe_overloads: usize,
    /// Number of plans made. Only with [`Strategy::Planned`].
    pub plans: usize,
}

/// Length of a simulation step in milliseconds.
const STEP: u64 = 100;
/// Time in milliseconds until schedulers detect that the capacity of a zone has changed.
const DETECTION_DELAY: u64 = 2_000;
/// Workers that have just started have this fraction of their capacity. It rises linearly to the full
/// capacity over the warm-up time, which is in milliseconds.
const INITIAL_CAPACITY_FRACTION: f64 = 0.3;
const WARM_UP_TIME: f64 = 8_600.0;

impl FlowScenario {
    /// Six zones in three regions, with 300 schedulers and 1,000 workers of four slots each. One zone has an
    /// outage of 30 s, and later both zones of another region one of 15 s.
    pub fn six_zones(load: f64) -> FlowScenario {
        FlowScenario {
            scheduler_count: 300,
            slots: 4_000.0,
            regions: vec![0, 0, 1, 1, 2, 2],
            load,
            outages: vec![
                ZoneOutage { zone: 0, from: 20_000, until: 50_000 },
                ZoneOutage { zone: 2, from: 80_000, until: 95_000 },
                ZoneOutage { zone: 3, from: 80_000, until: 95_000 },
            ],
            length: 130_000,
        }
    }

    /// Runs the scenario under one strategy.
    pub fn run(&self, strategy: Strategy) -> FlowResult {
        let demand: Vec<f64> = (0..self.zone_count()).map(|zone| self.demand(zone)).collect();
        let mut router = Router::new(self, strategy, demand.clone());
        let mut queues = Queues::new(demand, self.zone_slots());
        for now in (0..self.length).step_by(STEP as usize) {
            let capacity = self.capacities(now);
            let detected = self.capacities(now.saturating_sub(DETECTION_DELAY));
            let shares = router.shares(now, &capacity, &detected);
            let arrivals = queues.step(&shares, &capacity);
            router.on_step_end(arrivals);
        }
        let mut result =
            queues.result(self.length, |zone| self.outages.iter().any(|outage| outage.zone == zone));
        result.plans = router.plans_made();
        result
    }

    fn zone_count(&self) -> usize {
        self.regions.len()
    }

    /// Number of slots of one zone.
    fn zone_slots(&self) -> f64 {
        self.slots / self.zone_count() as f64
    }

    fn capacities(&self, now: u64) -> Vec<f64> {
        (0..self.zone_count()).map(|zone| self.capacity(zone, now)).collect()
    }

    /// The capacity of a zone at a time, in slots.
    fn capacity(&self, zone: usize, now: u64) -> f64 {
        let outages = || self.outages.iter().filter(|outage| outage.zone == zone);
        if outages().any(|outage| (outage.from..outage.until).contains(&now)) {
            return 0.0;
        }
        let restarted_at = outages().map(|outage| outage.until).filter(|&until| until <= now).max();
        let warm_up_progress = restarted_at.map_or(1.0, |at| ((now - at) as f64 / WARM_UP_TIME).min(1.0));
        self.zone_slots() * (INITIAL_CAPACITY_FRACTION + (1.0 - INITIAL_CAPACITY_FRACTION) * warm_up_progress)
    }

    /// The work that a zone's clients offer, in slots. Some zones have more clients than others.
    fn demand(&self, zone: usize) -> f64 {
        const SKEW: [f64; 6] = [1.15, 0.9, 1.05, 0.95, 1.1, 0.85];
        self.load * self.slots / self.zone_count() as f64 * SKEW[zone % SKEW.len()]
    }
}
