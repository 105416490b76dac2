//! The front proxy: sends connections to the schedulers that it believes to be up, and detects a death late.

use crate::Millis;
use crate::scenario::Scenario;

#[cfg(test)]
mod tests;

/// What a health check showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The scheduler answered that it is up.
    Up,
    /// The scheduler answered that it takes no more.
    Down,
    /// The scheduler did not answer.
    NoAnswer,
}

/// Which schedulers the front proxy believes to be up.
#[derive(Debug)]
pub struct FrontProxy {
    is_up: Vec<bool>,
    silent_since: Vec<Option<Millis>>,
    detection_delay: Millis,
    zones: Vec<usize>,
    next: usize,
}

impl FrontProxy {
    /// A proxy that believes no scheduler to be up.
    pub fn new(scenario: &Scenario) -> FrontProxy {
        FrontProxy {
            is_up: vec![false; scenario.schedulers],
            silent_since: vec![None; scenario.schedulers],
            detection_delay: scenario.detection_delay,
            zones: (0..scenario.schedulers).map(|number| scenario.zone_of(number)).collect(),
            next: 0,
        }
    }

    /// Whether it believes all schedulers to be up.
    pub fn all_up(&self) -> bool {
        self.is_up.iter().all(|&up| up)
    }

    /// Whether it believes a scheduler to be up.
    pub fn is_up(&self, scheduler: usize) -> bool {
        self.is_up.get(scheduler).is_some_and(|&up| up)
    }

    /// Takes in the result of a health check.
    pub fn handle_health(&mut self, now: Millis, scheduler: usize, health: Health) {
        if health != Health::NoAnswer {
            self.is_up[scheduler] = health == Health::Up;
            self.silent_since[scheduler] = None;
            return;
        }
        let since = *self.silent_since[scheduler].get_or_insert(now);
        if now - since >= self.detection_delay {
            self.is_up[scheduler] = false;
        }
    }

    /// The scheduler for a connection from a zone: those of the zone in turn, others where none is up there.
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
