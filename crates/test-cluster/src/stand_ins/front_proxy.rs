//! Stand-in for the front proxy: routes clients to the schedulers that its health checks show as up. A
//! scheduler that stops answering stays in use for the detection delay.

use crate::Millis;
use crate::scenario::Scenario;

#[cfg(test)]
mod tests;

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The scheduler accepts clients.
    Up,
    /// The scheduler answered that it accepts no clients.
    Down,
    /// The scheduler did not answer.
    NoAnswer,
}

/// Health and selection of schedulers.
#[derive(Debug)]
pub struct FrontProxy {
    is_up: Vec<bool>,
    /// When each scheduler first failed to answer, until it answers again.
    unanswered_since: Vec<Option<Millis>>,
    detection_delay: Millis,
    /// Zone index of each scheduler.
    zones: Vec<usize>,
    /// Round-robin counter.
    next: usize,
}

impl FrontProxy {
    /// A front proxy that considers all schedulers down until health checks show otherwise.
    pub fn new(scenario: &Scenario) -> FrontProxy {
        FrontProxy {
            is_up: vec![false; scenario.schedulers],
            unanswered_since: vec![None; scenario.schedulers],
            detection_delay: scenario.detection_delay,
            zones: (0..scenario.schedulers).map(|number| scenario.zone_of(number)).collect(),
            next: 0,
        }
    }

    /// Whether all schedulers are considered up.
    pub fn all_up(&self) -> bool {
        self.is_up.iter().all(|&up| up)
    }

    /// Whether a scheduler is considered up; false for numbers that do not exist.
    pub fn is_up(&self, scheduler: usize) -> bool {
        self.is_up.get(scheduler).is_some_and(|&up| up)
    }

    /// Processes the result of a health check. An answer counts at once, missing answers only after the
    /// detection delay.
    pub fn handle_health(&mut self, now: Millis, scheduler: usize, health: Health) {
        if health != Health::NoAnswer {
            self.is_up[scheduler] = health == Health::Up;
            self.unanswered_since[scheduler] = None;
            return;
        }
        let since = *self.unanswered_since[scheduler].get_or_insert(now);
        if now - since >= self.detection_delay {
            self.is_up[scheduler] = false;
        }
    }

    /// Selects a scheduler for a connection from a zone: round-robin among those of the zone that are up, or
    /// among all that are up if the zone has none. `None` if none is up.
    pub fn select(&mut self, zone: usize) -> Option<usize> {
        self.next += 1;
        let up = |local_only: bool| -> Vec<usize> {
            let schedulers = 0..self.is_up.len();
            schedulers.filter(|&at| self.is_up[at] && (!local_only || self.zones[at] == zone)).collect()
        };
        let candidates = [up(true), up(false)].into_iter().find(|candidates| !candidates.is_empty())?;
        Some(candidates[self.next % candidates.len()])
    }
}
