//! The slot budget, tuned by the delay until jobs start.
use super::*;

impl Dispatcher {
    pub(super) fn budget_has_room(&self, lane: usize, slots: f64) -> bool {
        let whole = self.budget.cap * self.ready.ids.len() as f64;
        let limit = if lane == 0 { whole.max(self.budget.floor) } else { self.budget.over * whole };
        self.budget.used == 0.0 && lane == 0 || self.budget.used + slots <= limit
    }

    pub(super) fn note_delay(&mut self, now: Millis, lane: usize, aims: f64) {
        if lane == 0 && aims.is_finite() {
            self.budget.delays.push_back((now, aims));
        }
    }

    pub(super) fn tick(&mut self, now: Millis) {
        let dispatchers = f64::from(self.settings.schedulers);
        let queued = self.tenants.iter().any(|t| t.lanes.iter().any(|lane| !lane.queue.is_empty()));
        let budget = &mut self.budget;
        while budget.delays.front().is_some_and(|&(at, _)| at < now - WINDOW) {
            budget.delays.pop_front();
        }
        let delays: Vec<f64> = budget.delays.iter().map(|&(_, delay)| delay).collect();
        let (seen, [delay, tail]) = (delays.len(), quantiles(delays, [QUANTILE, OVER_QUANTILE]));
        if tail > BAND.1 && seen >= EVIDENCE {
            budget.over *= OVER_STEPS.1;
        } else if tail < BAND.0 {
            budget.over = (budget.over + OVER_STEPS.0).min(OVER_MOST);
        }
        // Whoever is left carries the others' part too. In a large tier that is not known: none is held back.
        let live =
            if self.settings.peer_messages { self.peers.heard_directly() as f64 + 1.0 } else { dispatchers };
        let (least, most) = (CAP_FLOOR / dispatchers, CAP_CEILING / live.min(dispatchers));
        let bound = std::mem::take(&mut budget.bound);
        if delay > BAND.1 && budget.hold == 0 && seen >= EVIDENCE {
            budget.cap = (budget.cap * CUT).max(least);
            budget.hold = HOLD_TICKS;
        } else if delay < BAND.0 && (queued || budget.used > 0.0) {
            // A budget that held jobs back while workers had room is far off, and grows in proportion.
            let step = if bound { GROW_BOUND * budget.cap } else { 0.0 };
            budget.cap += step.max(GROW / dispatchers);
            budget.hold = budget.hold.saturating_sub(1);
        } else {
            budget.hold = budget.hold.saturating_sub(1);
        }
        budget.cap = budget.cap.min(most);
    }
}
