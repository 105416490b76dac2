//! The leader's heartbeat: view updates with the holders of roles, and their handling by other processes.

use crate::election::MISSED_HEARTBEATS;
use crate::message::MAX_ROLE_GRANTS;
use crate::{Event, KnownLeader, LeadershipLoss, LeaseManager, Message, Micros, ProcessId, RoleGrant, View};

/// Content of [`Message::ViewUpdate`].
pub(crate) struct ViewUpdate {
    pub(crate) view: View,
    /// The view's leader, if the sender knows one.
    pub(crate) leader: Option<KnownLeader>,
    /// Filled in by the leader only.
    pub(crate) role_grants: Vec<RoleGrant>,
}

impl ViewUpdate {
    pub(crate) fn into_message(self, from: ProcessId) -> Message {
        Message::ViewUpdate {
            from,
            view: self.view,
            leader: self.leader.map(|leader| leader.process),
            ballot: self.leader.map(|leader| leader.ballot).unwrap_or_default(),
            role_grants: self.role_grants,
        }
    }
}

impl LeaseManager {
    /// As the leader: broadcasts the view, its leader and the holders of roles, and the member list if it is
    /// due.
    pub(crate) fn heartbeat(&mut self, now: Micros) {
        let Some(lease) = self.leadership.lease(now) else { return };
        if lease.epoch != self.view.epoch {
            return;
        }
        self.last_leader_contact = now;
        let update = ViewUpdate {
            view: self.view.clone(),
            leader: Some(KnownLeader { process: self.me, ballot: lease.ballot }),
            role_grants: self.role_leases.grants(now).take(MAX_ROLE_GRANTS).collect(),
        };
        self.broadcast(update.into_message(self.me));
        self.update_member_list(now, lease);
    }

    /// Sends the current view to a process whose view is outdated.
    pub(crate) fn send_view(&mut self, to: ProcessId) {
        let update =
            ViewUpdate { view: self.view.clone(), leader: self.known_leader, role_grants: Vec::new() };
        self.send(to, update.into_message(self.me));
    }

    pub(crate) fn handle_view_update(&mut self, now: Micros, from: ProcessId, update: ViewUpdate) {
        let ViewUpdate { view, leader, role_grants } = update;
        if view.is_bootstrap() {
            self.dropped_messages += 1;
            return;
        }
        self.latest_epoch = self.latest_epoch.max(view.epoch);
        if view.epoch < self.view.epoch {
            self.send_view(from);
            return;
        }
        let epoch = view.epoch;
        self.follow_view(now, view, leader.map(|leader| leader.process));
        // An announcement of a leader counts only if the leader itself sent it.
        let sender = leader.filter(|leader| leader.process == from && epoch == self.view.epoch);
        let Some(leader) = sender else { return };
        if self.known_leader.is_some_and(|known| leader.ballot < known.ballot) {
            return;
        }
        self.follow_leader(now, leader);
        self.role_leases.observe(now, role_grants);
    }

    fn follow_leader(&mut self, now: Micros, leader: KnownLeader) {
        // Two processes can hold the lease at the same time only if a clock has drifted by more than
        // `Settings::clock_drift_divisor` allows. The lease of the higher ballot was granted later, so it
        // prevails.
        let lease = self.leadership.lease(now);
        if lease.is_some_and(|lease| lease.epoch == self.view.epoch && lease.ballot < leader.ballot) {
            self.resign(now);
            self.emit(Event::LeadershipLost(LeadershipLoss::LaterBallot(leader.process)));
        }
        if self.known_leader.is_none_or(|known| known.process != leader.process) {
            self.emit(Event::LeaderChanged(leader.process));
        }
        self.known_leader = Some(leader);
        self.last_leader_contact = now;
        if !self.is_leader(now) {
            let leader_timeout = MISSED_HEARTBEATS * self.settings.heartbeat_interval;
            self.candidate.schedule_campaign(now, leader_timeout);
        }
    }
}
