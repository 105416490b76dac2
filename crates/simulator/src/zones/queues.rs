//! The zones' queues: what arrives is served, waits, or is lost past its deadline.

use super::{FlowResult, STEP};

/// A job waits for so long at most, in seconds.
const DEADLINE: f64 = 5.0;
/// A queue as long as the deadline costs a zone this part of its capacity.
const CROWDING_LOSS: f64 = 0.3;
/// Arrivals over this multiple of the capacity are a cascade, over the other a severe overload, if they last.
const OVERLOAD_FACTOR: f64 = 1.1;
const SEVERE_OVERLOAD_FACTOR: f64 = 4.0;
/// For so long, in milliseconds.
const OVERLOAD_PERIOD: u64 = 3_000;

const STEP_SECONDS: f64 = STEP as f64 / 1_000.0;

/// For how long a condition has held, in milliseconds.
#[derive(Clone, Copy, Default)]
struct Streak(u64);

impl Streak {
    /// Counts a step; whether the condition has now held for the overload period.
    fn reaches_period(&mut self, holds: bool) -> bool {
        self.0 = if holds { self.0 + STEP } else { 0 };
        self.0 == OVERLOAD_PERIOD
    }
}

/// All queues, and what came of the work so far.
pub(super) struct Queues {
    demand: Vec<f64>,
    /// What a zone can do with all workers warm.
    full_capacity: f64,
    /// Work that waits, by target and origin.
    queued: Vec<Vec<f64>>,
    /// Work served, by origin.
    served: Vec<f64>,
    crossed: f64,
    overloaded: Vec<Streak>,
    severely_overloaded: Vec<Streak>,
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
            crossed: 0.0,
            overloaded: vec![Streak::default(); zone_count],
            severely_overloaded: vec![Streak::default(); zone_count],
            cascades: 0,
            severe_overloads: 0,
        }
    }

    /// Advances by one step; the work that arrived at each zone, in slots.
    pub fn step(&mut self, shares: &[Vec<f64>], capacity: &[f64]) -> Vec<f64> {
        let zone_count = self.demand.len();
        let arrivals_at =
            |target: usize| (0..zone_count).map(|origin| self.demand[origin] * shares[origin][target]).sum();
        let arrivals: Vec<f64> = (0..zone_count).map(arrivals_at).collect();
        let is_sufficient = self.demand.iter().sum::<f64>() <= capacity.iter().sum::<f64>();
        for target in 0..zone_count {
            for (origin, queued) in self.queued[target].iter_mut().enumerate() {
                *queued += self.demand[origin] * shares[origin][target] * STEP_SECONDS;
            }
            self.serve(target, capacity[target]);
            self.count_overload(target, arrivals[target], capacity[target], is_sufficient);
        }
        arrivals
    }

    /// Serves a zone's queue for one step; what has waited beyond the deadline is lost.
    fn serve(&mut self, target: usize, capacity: f64) {
        let waiting: f64 = self.queued[target].iter().sum();
        let max_queue = capacity * DEADLINE;
        let crowding = if max_queue > 0.0 { (waiting / max_queue).min(1.0) } else { 1.0 };
        let done = (capacity * (1.0 - CROWDING_LOSS * crowding) * STEP_SECONDS).min(waiting);
        for (origin, queued) in self.queued[target].iter_mut().enumerate() {
            let part = if waiting > 0.0 { *queued / waiting } else { 0.0 };
            self.served[origin] += part * done;
            self.crossed += if origin == target { 0.0 } else { part * done };
            *queued = part * (waiting - done).min(max_queue);
        }
    }

    fn count_overload(&mut self, target: usize, arrivals: f64, capacity: f64, is_sufficient: bool) {
        let is_warm = capacity >= self.full_capacity - 1e-9;
        let cascades = is_warm && is_sufficient && arrivals > OVERLOAD_FACTOR * capacity;
        self.cascades += usize::from(self.overloaded[target].reaches_period(cascades));
        let is_severe = capacity > 0.0 && arrivals > SEVERE_OVERLOAD_FACTOR * capacity;
        self.severe_overloads += usize::from(self.severely_overloaded[target].reaches_period(is_severe));
    }

    /// What came of it after a run of this length in milliseconds.
    pub fn result(&self, length: u64, had_outage: impl Fn(usize) -> bool) -> FlowResult {
        let seconds = length as f64 / 1_000.0;
        let served_part = |zone: usize| self.served[zone] / (self.demand[zone] * seconds);
        let offered: f64 = self.demand.iter().sum::<f64>() * seconds;
        let zones = 0..self.demand.len();
        FlowResult {
            served: self.served.iter().sum::<f64>() / offered,
            crossed: self.crossed / offered,
            worst_zone: zones.clone().map(served_part).fold(1.0, f64::min),
            untouched_zones: zones.filter(|&zone| !had_outage(zone)).map(served_part).fold(1.0, f64::min),
            cascades: self.cascades,
            severe_overloads: self.severe_overloads,
            plans: 0,
        }
    }
}
