//! A scheduler: the policy as it is in service, or a baseline.

use super::workers::WorkerPool;
use crate::baselines::{Baseline, BaselineScheduler};
use brackenledge_policy::{Action, Dispatcher, Event, Millis, Settings};

/// The decisions of one scheduler.
pub(super) enum Scheduler {
    Brackenledge(Box<Dispatcher>),
    Baseline(BaselineScheduler),
}

impl Scheduler {
    pub fn new(now: Millis, settings: Settings, baseline: Option<Baseline>, seed: u64) -> Scheduler {
        match baseline {
            None => Scheduler::Brackenledge(Box::new(Dispatcher::new(now, settings, seed))),
            Some(baseline) => Scheduler::Baseline(BaselineScheduler::new(baseline, seed)),
        }
    }

    /// Handles an event. The true load of the workers is for baselines only.
    pub fn handle(&mut self, now: Millis, event: Event, workers: &WorkerPool) -> Vec<Action> {
        let mut actions = Vec::new();
        match self {
            Scheduler::Brackenledge(dispatcher) => dispatcher.handle(now, event, &mut actions),
            Scheduler::Baseline(baseline) => {
                baseline.handle(now, event, &workers.attempt_counts(), &mut actions);
            }
        }
        actions
    }
}
