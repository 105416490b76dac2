//! Zones as fluid flows of work, to compare routing strategies at sizes that sockets don't reach: a zone and then a
//! region lose their workers and get them back warming up.
//!
//! What it leaves out: single jobs and workers. A zone does what its slots can; work beyond that is queued, is lost once
//! it has waited for its deadline, and a long queue makes the zone slower, as crowded workers are.

mod queues;
mod strategies;

use self::queues::Queues;
use self::strategies::Router;

/// How work is routed to other zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each zone by itself: its excess goes to the zones that had capacity when it last looked.
    Uncoordinated,
    /// All work of a lost zone goes to the next one that is up.
    FixedOrder,
    /// The planner's plans, followed by each zone.
    Planned,
    /// The planner's ideal shares of the true state, without delay.
    Oracle,
}

impl Strategy {
    /// All of them.
    pub const ALL: [Strategy; 4] =
        [Strategy::Uncoordinated, Strategy::FixedOrder, Strategy::Planned, Strategy::Oracle];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Strategy::Uncoordinated => "uncoordinated",
            Strategy::FixedOrder => "fixed order",
            Strategy::Planned => "plan",
            Strategy::Oracle => "oracle",
        }
    }
}

/// A zone loses its workers. Times are in milliseconds of the run.
#[derive(Clone, Copy, Debug)]
pub struct ZoneOutage {
    /// Which zone.
    pub zone: usize,
    /// When its workers are lost.
    pub from: u64,
    /// When they are back, warming up.
    pub until: u64,
}

/// The fleet, and what happens to it.
#[derive(Clone, Debug)]
pub struct FlowScenario {
    /// Schedulers, for the load reports; their number changes nothing else.
    pub scheduler_count: u32,
    /// Slots of all workers.
    pub slots: f64,
    /// Which region each zone is in.
    pub regions: Vec<usize>,
    /// Work offered, as a part of what all zones can do.
    pub load: f64,
    /// Zones that lose their workers.
    pub outages: Vec<ZoneOutage>,
    /// Length of the run in milliseconds.
    pub length: u64,
}

/// What a run shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowResult {
    /// Part of the work that was served.
    pub served: f64,
    /// Part that was served in another zone.
    pub crossed: f64,
    /// The least part served of a zone's own work.
    pub worst_zone: f64,
    /// The least part served, over the zones that never lost their workers.
    pub untouched_zones: f64,
    /// Times that a zone that had its workers was overloaded for 3 s, while all together had the capacity.
    pub cascades: usize,
    /// Times that a zone was sent over four times what it could do for 3 s.
    pub severe_overloads: usize,
    /// Plans made.
    pub plans: usize,
}

/// Length of a step in milliseconds.
const STEP: u64 = 100;
/// Delay until schedulers notice that a zone is lost, or back.
const DETECTION_DELAY: u64 = 2_000;
/// Workers that have just started have this part of their capacity, and all of it after the warm-up time in milliseconds.
const INITIAL_CAPACITY_FRACTION: f64 = 0.3;
const WARM_UP_TIME: f64 = 8_600.0;

impl FlowScenario {
    /// Six zones in three regions, 300 schedulers and 1,000 workers of four slots: a zone is lost for half a minute, then
    /// a region for a quarter of one.
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

    /// Runs it under one strategy.
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
        let mut result = queues.result(self.length, |zone| self.outages.iter().any(|o| o.zone == zone));
        result.plans = router.plans_made();
        result
    }

    fn zone_count(&self) -> usize {
        self.regions.len()
    }

    /// Slots of one zone.
    fn zone_slots(&self) -> f64 {
        self.slots / self.zone_count() as f64
    }

    fn capacities(&self, now: u64) -> Vec<f64> {
        (0..self.zone_count()).map(|zone| self.capacity(zone, now)).collect()
    }

    /// What a zone can do at a time, in slots.
    fn capacity(&self, zone: usize, now: u64) -> f64 {
        let outages = || self.outages.iter().filter(|outage| outage.zone == zone);
        if outages().any(|outage| (outage.from..outage.until).contains(&now)) {
            return 0.0;
        }
        let restarted = outages().map(|outage| outage.until).filter(|&until| until <= now).max();
        let warmth = restarted.map_or(1.0, |at| ((now - at) as f64 / WARM_UP_TIME).min(1.0));
        self.zone_slots() * (INITIAL_CAPACITY_FRACTION + (1.0 - INITIAL_CAPACITY_FRACTION) * warmth)
    }

    /// What a zone's clients ask for, in slots: some zones have more clients.
    fn demand(&self, zone: usize) -> f64 {
        const SKEW: [f64; 6] = [1.15, 0.9, 1.05, 0.95, 1.1, 0.85];
        self.load * self.slots / self.zone_count() as f64 * SKEW[zone % SKEW.len()]
    }
}
