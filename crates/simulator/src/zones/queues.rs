//! The queues of the zones: work that arrives is served, waits, or is lost at its deadline.

use super::{FlowResult, STEP};

/// Maximum time that work waits, in seconds.
const DEADLINE: f64 = 5.0;
/// Fraction of its capacity that a zone loses when its queue is as long as the deadline permits.
const MAX_QUEUE_SLOWDOWN: f64 = 0.3;
/// Arriving work beyond this multiple of the capacity of a zone counts as a cascade if it lasts.
const OVERLOAD_FACTOR: f64 = 1.1;
/// Arriving work beyond this multiple of the capacity of a zone counts as a severe overload if it lasts.
const SEVERE_OVERLOAD_FACTOR: f64 = 4.0;
/// An overload is counted once it has lasted for this time, in milliseconds.
const OVERLOAD_PERIOD: u64 = 3_000;

const STEP_SECONDS: f64 = STEP as f64 / 1_000.0;

/// Time for which a zone has been overloaded without interruption, in milliseconds.
#[derive(Clone, Copy, Default)]
struct OverloadTimer(u64);

impl OverloadTimer {
    /// Advances by one step. Returns whether the overload has now lasted for the overload period, which is
    /// true in only one step of each overload.
    fn reaches_period(&mut self, is_overloaded: bool) -> bool {
        self.0 = if is_overloaded { self.0 + STEP } else { 0 };
        self.0 == OVERLOAD_PERIOD
    }
}

/// The queues of all zones, and totals of the work so far. Amounts of work are in slot-seconds, rates of work
/// in slots.
pub(super) struct Queues {
    /// Rate at which the clients of each zone offer work.
    demand: Vec<f64>,
    /// Capacity of a zone whose workers are all warm.
    full_capacity: f64,
    /// Work that waits, by target zone and zone of origin.
    queued: Vec<Vec<f64>>,
    /// Work served, by zone of origin.
    served: Vec<f64>,
    /// Work served in a zone other than its origin.
    served_elsewhere: f64,
    overload_timers: Vec<OverloadTimer>,
    severe_overload_timers: Vec<OverloadTimer>,
    cascades: usize,
    severe_overloads: usize,
}

impl Queues {
    pub fn new(demand: Vec<f64>, full_capacity: f64) -> Queues {
        let zone_count = demand.len();
        Queues {
            demand,
            full_capacity,
            queued: vec![vec![0.0; zone_count]; zone_count],
            served: vec![0.0; zone_count],
            served_elsewhere: 0.0,
            overload_timers: vec![OverloadTimer::default(); zone_count],
            severe_overload_timers: vec![OverloadTimer::default(); zone_count],
            cascades: 0,
            severe_overloads: 0,
        }
    }

    /// Advances by one step. Returns the rate at which work arrived at each zone, in slots.
    pub fn step(&mut self, shares: &[Vec<f64>], capacity: &[f64]) -> Vec<f64> {
        let zone_count = self.demand.len();
        let arrivals_at =
            |target: usize| (0..zone_count).map(|origin| self.demand[origin] * shares[origin][target]).sum();
        let arrivals: Vec<f64> = (0..zone_count).map(arrivals_at).collect();
        let is_total_sufficient = self.demand.iter().sum::<f64>() <= capacity.iter().sum::<f64>();
        for target in 0..zone_count {
            for (origin, queued) in self.queued[target].iter_mut().enumerate() {
                *queued += self.demand[origin] * shares[origin][target] * STEP_SECONDS;
            }
            self.serve(target, capacity[target]);
            self.count_overload(target, arrivals[target], capacity[target], is_total_sufficient);
        }
        arrivals
    }

    /// Serves a zone's queue for one step. Work that could not be served before its deadline is lost.
    fn serve(&mut self, target: usize, capacity: f64) {
        let waiting: f64 = self.queued[target].iter().sum();
        let max_queue = capacity * DEADLINE;
        let fullness = if max_queue > 0.0 { (waiting / max_queue).min(1.0) } else { 1.0 };
        let done = (capacity * (1.0 - MAX_QUEUE_SLOWDOWN * fullness) * STEP_SECONDS).min(waiting);
        for (origin, queued) in self.queued[target].iter_mut().enumerate() {
            let fraction = if waiting > 0.0 { *queued / waiting } else { 0.0 };
            self.served[origin] += fraction * done;
            self.served_elsewhere += if origin == target { 0.0 } else { fraction * done };
            *queued = fraction * (waiting - done).min(max_queue);
        }
    }

    fn count_overload(&mut self, target: usize, arrivals: f64, capacity: f64, is_total_sufficient: bool) {
        let has_full_capacity = capacity >= self.full_capacity - 1e-9;
        let is_cascade = has_full_capacity && is_total_sufficient && arrivals > OVERLOAD_FACTOR * capacity;
        self.cascades += usize::from(self.overload_timers[target].reaches_period(is_cascade));
        let is_severe = capacity > 0.0 && arrivals > SEVERE_OVERLOAD_FACTOR * capacity;
        self.severe_overloads += usize::from(self.severe_overload_timers[target].reaches_period(is_severe));
    }

    /// The result after a run of this length in milliseconds. The number of plans is left at 0.
    pub fn result(&self, length: u64, had_outage: impl Fn(usize) -> bool) -> FlowResult {
        let seconds = length as f64 / 1_000.0;
        let served_fraction = |zone: usize| self.served[zone] / (self.demand[zone] * seconds);
        let offered: f64 = self.demand.iter().sum::<f64>() * seconds;
        let zones = 0..self.demand.len();
        FlowResult {
            served: self.served.iter().sum::<f64>() / offered,
            served_elsewhere: self.served_elsewhere / offered,
            min_served_per_origin: zones.clone().map(served_fraction).fold(1.0, f64::min),
            min_served_per_origin_without_outage: zones
                .filter(|&zone| !had_outage(zone))
                .map(served_fraction)
                .fold(1.0, f64::min),
            cascades: self.cascades,
            severe_overloads: self.severe_overloads,
            plans: 0,
        }
    }
}
