//! The rule on drains: a scheduler sends no new attempt to a worker that it knows, or must know, to be
//! draining or gone.

use super::Violation;
use super::fault_windows::FaultWindow;
use super::observations::Observations;
use crate::Millis;
use crate::history::HistoryEvent;
use crate::rules::DRAINS;
use std::collections::HashMap;

/// How long after it knows of a drain a scheduler may still send new attempts: 250 ms, the platform's 50 ms,
/// and 200 ms because one machine runs all processes.
const DRAIN_TOLERANCE: Millis = 250.0 + 50.0 + 200.0;
/// A change of discovery's list counts as known to a scheduler that can reach discovery after this time,
/// whether or not it has arrived.
const MAX_DISCOVERY_DELAY: Millis = 6_000.0;

/// A time span in which a scheduler could not reach discovery.
#[derive(Clone, Copy)]
struct UnreachableWindow {
    from: Millis,
    until: Millis,
}

/// What the history has stated about drains up to the current event.
struct KnownDrains {
    /// By scheduler and worker: when discovery first wrote the drain to the scheduler.
    announced: HashMap<(usize, usize), Millis>,
    /// By worker: since when discovery's list states the drain.
    listed: HashMap<usize, Millis>,
    /// By scheduler.
    unreachable: Vec<Vec<UnreachableWindow>>,
}

/// Finds attempts on workers that the sending scheduler knew, or must have known, to accept no new work.
pub fn drains(history: &[HistoryEvent], observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let schedulers = observations.fault_windows.len();
    let mut known = KnownDrains {
        announced: HashMap::new(),
        listed: HashMap::new(),
        unreachable: vec![Vec::new(); schedulers],
    };
    for event in history {
        match event {
            HistoryEvent::DrainAnnounced { at, scheduler, worker } => {
                known.announced.entry((*scheduler, *worker)).or_insert(*at);
            }
            HistoryEvent::DrainListed { at, worker } => {
                known.listed.entry(*worker).or_insert(*at);
            }
            HistoryEvent::DiscoveryUnreachable { at, until, scheduler } => {
                known.unreachable[*scheduler].push(UnreachableWindow { from: *at, until: *until });
            }
            HistoryEvent::WorkerReady { worker, .. } | HistoryEvent::WorkerStarted { worker, .. } => {
                known.announced.retain(|key, _| key.1 != *worker);
                known.listed.remove(worker);
            }
            HistoryEvent::AttemptReceived { at, sent_at, request, scheduler, worker, .. } => {
                let windows = &observations.fault_windows[*scheduler];
                let Some(since) = known.known_since(windows, *scheduler, *worker, *sent_at) else { continue };
                if *sent_at > since + DRAIN_TOLERANCE {
                    let description = format!(
                        "scheduler {scheduler} sent {request} to worker {worker} \
                         {:.0} ms after it must have known of the drain",
                        sent_at - since
                    );
                    violations.push(Violation { rule: DRAINS, at: *at, description });
                }
            }
            _ => {}
        }
    }
    violations
}

impl KnownDrains {
    /// Since when a scheduler knows, or must know, that a worker accepts no new work; `None` if it need not
    /// know.
    fn known_since(
        &self,
        windows: &[FaultWindow],
        scheduler: usize,
        worker: usize,
        now: Millis,
    ) -> Option<Millis> {
        let announced = self.announced.get(&(scheduler, worker));
        let announced = announced.map(|&at| after_faults(windows, at, now));
        let listed = self.listed.get(&worker).map(|&at| {
            let reachable = self.reachable_since(scheduler, at, now);
            after_faults(windows, reachable, now) + MAX_DISCOVERY_DELAY
        });
        announced.into_iter().chain(listed).min_by(f64::total_cmp)
    }

    /// Since when a scheduler could have got from discovery what its list has stated since `listed`.
    fn reachable_since(&self, scheduler: usize, listed: Millis, now: Millis) -> Millis {
        let overlapping =
            self.unreachable[scheduler].iter().filter(|window| window.from <= now && listed <= window.until);
        overlapping.map(|window| window.until).fold(listed, f64::max)
    }
}

/// Since when a scheduler can know what it was sent at `at`: a process that was paused or down then or later
/// counts as learning of it when it returns.
fn after_faults(windows: &[FaultWindow], at: Millis, now: Millis) -> Millis {
    let overlapping =
        windows.iter().filter(|window| window.is_process_fault() && window.from <= now && at <= window.until);
    overlapping.map(|window| window.until).fold(at, f64::max)
}
