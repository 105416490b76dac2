//! The rule on drains: nothing new to a worker that a scheduler knows, or has to know, to be draining or gone.

use super::Violation;
use super::fault_windows::FaultWindow;
use super::observations::Observations;
use crate::Millis;
use crate::history::HistoryEvent;
use crate::rules::DRAINS;
use std::collections::HashMap;

/// Time until a drain must be respected: 250 ms, the platform's 50 ms, and 200 ms for the machine.
const DRAIN_TOLERANCE: Millis = 250.0 + 50.0 + 200.0;
/// What discovery lists counts as received after this at the latest, whether it has arrived or not, once the scheduler can
/// reach discovery.
const RECEIVED_AFTER: Millis = 6_000.0;

/// A time in which a scheduler could not reach discovery.
#[derive(Clone, Copy)]
struct UnreachableWindow {
    from: Millis,
    until: Millis,
}

/// What is known of drains up to a time.
struct KnownDrains {
    /// By scheduler and worker: when discovery wrote it to the scheduler.
    announced: HashMap<(usize, usize), Millis>,
    /// By worker: since when discovery's list says so.
    listed: HashMap<usize, Millis>,
    /// By scheduler.
    unreachable: Vec<Vec<UnreachableWindow>>,
}

/// No scheduler sends anything new to a worker that it knows, or has to know, to accept nothing new.
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
                        "scheduler {scheduler} sent {request} to worker {worker} {:.0} ms after it had to know of its drain",
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
    /// Since when a scheduler knows, or has to know, that a worker accepts nothing new.
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
            after_faults(windows, reachable, now) + RECEIVED_AFTER
        });
        announced.into_iter().chain(listed).min_by(f64::total_cmp)
    }

    /// Since when a scheduler could have learned from discovery what that has listed since `listed`.
    fn reachable_since(&self, scheduler: usize, listed: Millis, now: Millis) -> Millis {
        let missed =
            self.unreachable[scheduler].iter().filter(|window| window.from <= now && listed <= window.until);
        missed.map(|window| window.until).fold(listed, f64::max)
    }
}

/// Since when a scheduler can know of what it is told at `at`: one that was paused or down then learns of it on its return.
fn after_faults(windows: &[FaultWindow], at: Millis, now: Millis) -> Millis {
    let missed =
        windows.iter().filter(|window| window.is_process_fault() && window.from <= now && at <= window.until);
    missed.map(|window| window.until).fold(at, f64::max)
}
