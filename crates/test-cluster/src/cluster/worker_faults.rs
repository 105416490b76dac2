//! Applies faults to workers: kill, restart, drain, slowdown and failures.

use super::event_loop::Cluster;
use super::fault_injector::Phase;
use crate::Millis;
use crate::history::HistoryEvent;
use crate::scenario::{FaultAction, Node};
use crate::stand_ins::discovery::EndpointStatus;
use std::time::{SystemTime, UNIX_EPOCH};

impl Cluster<'_> {
    /// Begins or ends a fault on some workers.
    pub fn apply_to_workers(&mut self, action: &FaultAction, nodes: &[Node], phase: Phase) {
        for node in nodes {
            let Node::Worker(worker) = *node else { continue };
            match action {
                FaultAction::Drain(_) => self.set_draining(worker, phase == Phase::Begin),
                FaultAction::Restart(_) if phase == Phase::Begin => self.start_worker(worker),
                FaultAction::Slow(_, factor) => {
                    self.workers.pool.set_slowness(worker, phase.select(*factor, 1.0));
                }
                FaultAction::Failing(_, fraction) => {
                    self.workers.pool.set_failing(worker, phase.select(*fraction, 0.0));
                }
                _ => {}
            }
        }
    }

    fn set_draining(&mut self, worker: usize, is_draining: bool) {
        self.workers.pool.set_draining(worker, is_draining);
        let status = if is_draining { EndpointStatus::Draining } else { EndpointStatus::Ready };
        self.discovery.change(&mut self.context, worker, status, None);
        if !is_draining {
            let at = self.context.runtime.clock.since_traffic_start();
            self.context.runtime.record(HistoryEvent::WorkerReady { at, worker });
        }
    }

    /// Kills a worker: its connections are reset, new ones are refused, and discovery is told that it is
    /// gone.
    pub fn kill_worker(&mut self, worker: usize) {
        self.workers.pool.kill(worker);
        self.update_listeners();
        self.reset_connections_of(Node::Worker(worker));
        self.discovery.change(&mut self.context, worker, EndpointStatus::Gone, None);
    }

    /// Starts a worker, or restarts it if it is alive.
    pub fn start_worker(&mut self, worker: usize) {
        if self.workers.pool.is_alive(worker) {
            self.reset_connections_of(Node::Worker(worker));
            // The stand-in must process the ends of the old connections before the new worker's state
            // replaces the old.
            self.dispatch_network_events();
        }
        let at = self.context.runtime.clock.since_traffic_start();
        self.workers.pool.start(at, worker);
        self.update_listeners();
        let started_at = Some(unix_time().floor());
        self.discovery.change(&mut self.context, worker, EndpointStatus::Ready, started_at);
        self.workers.apply_progress(&mut self.context);
    }
}

fn unix_time() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}
