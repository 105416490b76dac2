//! Occupied and free slots of the workers, from their load reports and from the load messages of other
//! schedulers.

use super::*;

/// Interval between two health checks of the same worker.
const HEALTH_CHECK_INTERVAL: Millis = 2_000.0;
/// Load reports older than this are ignored.
const REPORT_TTL: Millis = 3_000.0;
/// Loads received from another scheduler expire after this time.
const PEER_LOAD_TTL: Millis = 1_500.0;
/// Age that aggregated loads reach before the next ones arrive. They do not contain the attempts that other
/// schedulers started in this time.
const AGGREGATED_LOAD_AGE: Millis = 300.0;

impl Dispatcher {
    pub(super) fn on_peer_message(&mut self, now: Millis, from: u32, text: &str) {
        let own = |id: WorkerId| self.workers[id].advertised_slots(now).slots;
        self.peer_loads.handle_message(now, from, text, own);
    }

    /// Discards the expired loads of other schedulers. Then, in a small cluster, broadcasts the own loads if
    /// schedulers exchange messages; in a large one, updates the expected load level of the ready workers.
    pub(super) fn exchange_loads(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.peer_loads.expire(now - PEER_LOAD_TTL);
        if !self.peer_loads.is_direct() {
            let load = |&id: &WorkerId| {
                let worker = &self.workers[id];
                let occupied = self.peer_loads.remote_slots(id) + worker.in_flight_slots;
                WorkerLoad { occupied, slots: self.known_slots(worker) }
            };
            let loads: Vec<WorkerLoad> = self.ready.ids.iter().map(load).collect();
            let run_times = AGGREGATED_LOAD_AGE / self.overall_run_time.typical;
            self.peer_loads.update_expected_level(&loads, run_times);
        } else if self.settings.peer_messages {
            self.broadcast_loads(actions);
        }
    }

    /// In a small cluster: sends the slots in flight to all other schedulers, once the attempts started since
    /// the last broadcast have earned enough message credit.
    fn broadcast_loads(&mut self, actions: &mut Vec<Action>) {
        let ready = self.ready.ids.iter().map(|&id| &self.workers[id]);
        let in_use = ready.filter(|worker| worker.in_flight_slots > 0.0);
        let own = in_use.map(|w| SlotsByHash { name_hash: w.name_hash, slots: w.in_flight_slots });
        let texts = PeerLoads::direct_messages(own);
        let cost = texts.len() as f64 * f64::from(self.settings.schedulers - 1);
        if cost > 0.0 && self.message_credit >= cost {
            self.message_credit = 0.0;
            actions.extend(texts.into_iter().map(|text| Action::SendMessage { to: None, text }));
        }
    }

    /// In a large cluster: reports the slots in flight to the aggregator or, if this scheduler is the
    /// aggregator, broadcasts the sums.
    pub(super) fn send_aggregation_messages(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let changed = std::mem::take(&mut self.slots_changed);
        if self.settings.peer_messages {
            let ready = self.ready.ids.iter().map(|&id| &self.workers[id]);
            let own = ready.map(|worker| worker.advertised_slots(now));
            let messages = self.peer_loads.poll_messages(now, changed, own).into_iter();
            actions.extend(messages.map(|OutgoingMessage { to, text }| Action::SendMessage { to, text }));
        }
    }

    /// Free slots of a worker, from the load messages of the other schedulers or else from a fresh load
    /// report; negative if jobs are queued there, `None` if unknown. If schedulers send no messages and the
    /// worker's reports do not contain the requests in flight, each other scheduler is assumed to occupy as
    /// many slots as this one.
    pub(super) fn free_slots(&self, now: Millis, id: WorkerId, worker: &Worker) -> Option<f64> {
        // The loads that all other schedulers sent are newer than a load report, and exact.
        let is_complete = self.peer_loads.is_complete(now, self.settings.schedulers);
        let in_flight = worker.in_flight_slots;
        let sent_by_peers = || self.peer_loads.expected_remote_slots(now, id, worker.name_hash, in_flight);
        let peers = f64::from(self.settings.schedulers) - 1.0;
        let is_fresh = now - worker.reported_at < REPORT_TTL;
        let remote = match worker.reported_remote_slots {
            _ if is_complete => sent_by_peers(),
            Some(remote) if is_fresh => remote,
            None if !self.settings.peer_messages => in_flight * peers,
            _ => return None,
        };
        let slots = self.known_slots(worker);
        (slots > 0.0).then_some(slots - remote - in_flight)
    }

    /// A worker's slots as reported or, in a large cluster, else those of its machine kind; 0 if unknown.
    pub(super) fn known_slots(&self, worker: &Worker) -> f64 {
        let is_reported = worker.reported_slots.0 > 0.0 || self.peer_loads.is_direct();
        if is_reported { worker.reported_slots.0 } else { self.machine_kind(worker.kind).slots.0 }
    }

    pub(super) fn machine_kind(&self, kind: u32) -> MachineKind {
        self.machine_kinds.get(&kind).copied().unwrap_or_default()
    }

    /// Requests load reports by health checks, unless they come with responses.
    pub(super) fn check_health(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_needed = self.settings.report_source == ReportSource::HealthChecks;
        let ready = self.ready.ids.iter().filter(|_| self.settings.health_checks && is_needed);
        for &id in ready {
            let worker = &mut self.workers[id];
            if now - worker.health_checked_at >= HEALTH_CHECK_INTERVAL {
                worker.health_checked_at = now;
                actions.push(Action::HealthCheck { worker: id });
            }
        }
    }

    pub(super) fn on_load_report(&mut self, now: Millis, id: WorkerId, report: Option<LoadReport>) {
        let (Some(worker), Some(report)) = (self.workers.get_mut(id), report) else { return };
        let Some(free) = report.free_slots.filter(|free| free.is_finite()) else { return };
        let kind = self.machine_kinds.entry(worker.kind).or_default();
        if let Some(in_flight) = report.in_flight.filter(|in_flight| in_flight.is_finite()) {
            if free >= 0.5 {
                worker.reported_slots.observe(free, in_flight);
                kind.slots.observe(free, in_flight);
            }
            let occupied = in_flight.max(worker.reported_slots.0 - free);
            worker.reported_remote_slots = Some((occupied - worker.in_flight_slots).max(0.0));
        } else {
            kind.slots.observe_free(free);
            worker.reported_slots = kind.slots;
        }
        worker.reported_at = now;
    }
}
