//! Water-filling: demand is placed into capacity over allowed routes, by each origin in proportion to the
//! free capacity that it can reach. A small change of the load therefore causes only a small change of the
//! flow.

/// Amounts of work and capacity below this, in slots, are treated as zero.
pub(crate) const EPSILON: f64 = 1e-6;
/// Upper bound of the rounds of one fill. Demand that is still unplaced then is a rounding error, or reaches
/// no free capacity.
const MAX_ROUNDS: usize = 24;

/// The state of one water-filling; all amounts are in slots.
pub(crate) struct WaterFill {
    /// Demand that is not yet placed, by origin.
    unplaced: Vec<f64>,
    /// Capacity that is not yet used, by target.
    free: Vec<f64>,
    /// Placed demand, by origin, then by target.
    flow: Vec<Vec<f64>>,
}

impl WaterFill {
    /// Starts with all demand unplaced and without any capacity.
    pub fn new(demand: &[f64]) -> WaterFill {
        let zone_count = demand.len();
        WaterFill {
            unplaced: demand.to_vec(),
            free: vec![0.0; zone_count],
            flow: vec![vec![0.0; zone_count]; zone_count],
        }
    }

    /// The placed demand, by origin, then by target.
    pub fn flow(&self) -> &[Vec<f64>] {
        &self.flow
    }

    /// Sets the total capacity of each target. Demand that is already placed there counts against it.
    pub fn set_capacity(&mut self, capacity: impl Fn(usize) -> f64) {
        for target in 0..self.free.len() {
            let used = self.flow.iter().map(|row| row[target]).sum::<f64>();
            self.free[target] = (capacity(target) - used).max(0.0);
        }
    }

    /// Places unplaced demand over the allowed routes until a round places no more.
    pub fn fill(&mut self, is_allowed: impl Fn(usize, usize) -> bool) {
        for _ in 0..MAX_ROUNDS {
            if self.fill_round(&is_allowed) <= EPSILON {
                return;
            }
        }
    }

    /// Performs one round and returns how much demand it placed.
    fn fill_round(&mut self, is_allowed: &impl Fn(usize, usize) -> bool) -> f64 {
        let requests = self.requests(is_allowed);
        let mut placed = 0.0;
        for target in 0..self.free.len() {
            let requested: f64 = requests.iter().map(|row| row[target]).sum();
            if requested <= EPSILON {
                continue;
            }
            let accepted = (self.free[target] / requested).min(1.0);
            for (origin, row) in requests.iter().enumerate() {
                let part = row[target] * accepted;
                self.flow[origin][target] += part;
                self.unplaced[origin] = (self.unplaced[origin] - part).max(0.0);
                placed += part;
            }
            self.free[target] = (self.free[target] - requested * accepted).max(0.0);
        }
        placed
    }

    /// The amount that each origin requests from each target: its unplaced demand, split in proportion to the
    /// free capacity of the targets that it can reach.
    fn requests(&self, is_allowed: &impl Fn(usize, usize) -> bool) -> Vec<Vec<f64>> {
        let zone_count = self.free.len();
        let request_row = |origin: usize| {
            let reachable: f64 = (0..zone_count)
                .filter(|&target| is_allowed(origin, target))
                .map(|target| self.free[target])
                .sum();
            let request = |target: usize| {
                if reachable > EPSILON && is_allowed(origin, target) {
                    self.unplaced[origin] * self.free[target] / reachable
                } else {
                    0.0
                }
            };
            (0..zone_count).map(request).collect()
        };
        (0..zone_count).map(request_row).collect()
    }
}
