//! The state that stand-ins and faults work on.

use super::connection::WriteMark;
use super::datagrams::DatagramProxy;
use super::network::Network;
use super::role_monitor::RoleMonitor;
use super::runtime::Runtime;
use super::supervisor::ProcessSupervisor;
use crate::ConnectionId;
use crate::history::HistoryEvent;
use crate::scenario::Scenario;
use crate::stand_ins::clients::ClientPopulation;
use crate::stand_ins::front_proxy::FrontProxy;

/// The state of the cluster except the stand-ins' connections and the faults in effect.
pub struct Context<'a> {
    pub scenario: &'a Scenario,
    pub runtime: Runtime,
    pub network: Network,
    pub datagrams: DatagramProxy,
    pub roles: RoleMonitor,
    pub supervisor: ProcessSupervisor,
    pub clients: ClientPopulation,
    pub front_proxy: FrontProxy,
}

impl Context<'_> {
    /// Sends bytes from a stand-in to the scheduler.
    pub fn send(&mut self, id: ConnectionId, bytes: impl Into<Vec<u8>>) {
        self.network.send(&mut self.runtime, id, bytes.into(), None);
    }

    /// Sends bytes from a stand-in to the scheduler, and reports `mark` once they have been written to the
    /// socket.
    pub fn send_marked(&mut self, id: ConnectionId, bytes: Vec<u8>, mark: WriteMark) {
        self.network.send(&mut self.runtime, id, bytes, Some(mark));
    }

    /// Records the history events for a mark that has been written. `connected_at` is when its connection was
    /// opened.
    pub fn record_written(&mut self, scheduler: usize, connected_at: f64, mark: WriteMark) {
        let at = self.runtime.clock.since_traffic_start();
        match mark {
            WriteMark::Request { job, request } => {
                let deadline = self.clients.jobs[job].deadline;
                let sent = HistoryEvent::RequestSent { at, connected_at, job, request, scheduler, deadline };
                self.runtime.record(sent);
            }
            WriteMark::NotReadyWorkers(workers) => {
                for worker in workers {
                    self.runtime.record(HistoryEvent::DrainAnnounced { at, scheduler, worker });
                }
            }
        }
    }
}
