//! Water-filling: demand flows into capacity over allowed routes, each origin in proportion to the capacity that it
//! reaches, so that a small change of the load is a small change of the flow.

/// Work and capacity below this, in slots, are taken for none.
pub(crate) const EPSILON: f64 = 1e-6;
/// Upper bound of the rounds of one filling. Demand that is left then is a rounding error, or reaches no free capacity.
const MAX_ROUNDS: usize = 24;

/// The state of one filling, in slots.
pub(crate) struct WaterFill {
    /// Demand not yet placed, by origin.
    unplaced: Vec<f64>,
    /// Capacity not yet used, by target.
    free: Vec<f64>,
    /// Demand placed, by origin and target.
    flow: Vec<Vec<f64>>,
}

impl WaterFill {
    /// All demand is unplaced, and there is no capacity yet.
    pub fn new(demand: &[f64]) -> WaterFill {
        let zone_count = demand.len();
        WaterFill {
            unplaced: demand.to_vec(),
            free: vec![0.0; zone_count],
            flow: vec![vec![0.0; zone_count]; zone_count],
        }
    }

    /// The demand placed, by origin and target.
    pub fn flow(&self) -> &[Vec<f64>] {
        &self.flow
    }

    /// Sets the total capacity of each target. Demand placed there before counts against it.
    pub fn set_capacity(&mut self, capacity: impl Fn(usize) -> f64) {
        for target in 0..self.free.len() {
            let used = self.flow.iter().map(|row| row[target]).sum::<f64>();
            self.free[target] = (capacity(target) - used).max(0.0);
        }
    }

    /// Places unplaced demand over the allowed routes until none moves any more.
    pub fn fill(&mut self, is_allowed: impl Fn(usize, usize) -> bool) {
        for _ in 0..MAX_ROUNDS {
            if self.fill_round(&is_allowed) <= EPSILON {
                return;
            }
        }
    }

    /// One round; how much demand was placed in it.
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

    /// What each origin would send to each target: its unplaced demand, in proportion to the free capacity that it
    /// reaches.
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
