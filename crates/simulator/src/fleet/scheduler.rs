//! A simulated scheduler, which runs either the production policy or a baseline.

use super::workers::WorkerPool;
use crate::baselines::{Baseline, BaselineScheduler};
use brackenledge_policy::{Action, Dispatcher, Event, Millis, Settings};

/// The policy of one scheduler, with its state.
pub(super) enum Scheduler {
    Dispatcher(Box<Dispatcher>),
    Baseline(BaselineScheduler),
}

impl Scheduler {
    pub fn new(now: Millis, settings: Settings, baseline: Option<Baseline>, seed: u64) -> Scheduler {
        match baseline {
            None => Scheduler::Dispatcher(Box::new(Dispatcher::new(now, settings, seed))),
            Some(baseline) => Scheduler::Baseline(BaselineScheduler::new(baseline, seed)),
        }
    }

    /// Handles an event and returns the actions to execute. Only baselines get the true load of the workers.
    pub fn handle(&mut self, now: Millis, event: Event, workers: &WorkerPool) -> Vec<Action> {
        let mut actions = Vec::new();
        match self {
            Scheduler::Dispatcher(dispatcher) => dispatcher.handle(now, event, &mut actions),
            Scheduler::Baseline(baseline) => {
                baseline.handle(now, event, &workers.attempt_counts(), &mut actions);
            }
        }
        actions
    }
}
