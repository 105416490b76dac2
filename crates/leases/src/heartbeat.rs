//! The leader's heartbeat: view updates with the holders of roles, and what other processes learn from them.

use crate::election::MISSED_HEARTBEATS;
use crate::message::MAX_ROLE_GRANTS;
use crate::{
    Ballot, Event, KnownLeader, LeadershipLoss, LeaseManager, Message, Micros, ProcessId, RoleGrant, View,
};

impl LeaseManager {
    /// Sends all that the view has a leader, who holds which role, and now and then who is a member.
    pub(crate) fn heartbeat(&mut self, now: Micros) {
        let Some(lease) = self.leadership.lease(now) else { return };
        if lease.epoch != self.view.epoch {
            return;
        }
        self.last_leader_contact = now;
        self.broadcast(Message::ViewUpdate {
            from: self.me,
            view: self.view.clone(),
            leader: Some(self.me),
            ballot: lease.ballot,
            role_grants: self.role_leases.grants(now).take(MAX_ROLE_GRANTS).collect(),
        });
        self.update_member_list(now, lease);
    }

    /// Tells a process that is behind of the view.
    pub(crate) fn send_view(&mut self, to: ProcessId) {
        let update = Message::ViewUpdate {
            from: self.me,
            view: self.view.clone(),
            leader: self.known_leader.map(|leader| leader.process),
            ballot: self.known_leader.map(|leader| leader.ballot).unwrap_or_default(),
            role_grants: Vec::new(),
        };
        self.send(to, update);
    }

    pub(crate) fn handle_view_update(
        &mut self,
        now: Micros,
        from: ProcessId,
        view: View,
        leader: Option<ProcessId>,
        ballot: Ballot,
        role_grants: Vec<RoleGrant>,
    ) {
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
        self.follow_view(now, view, leader);
        // Only the leader itself says that it is one.
        let by_leader = epoch == self.view.epoch && leader == Some(from);
        if !by_leader || self.known_leader.is_some_and(|known| ballot < known.ballot) {
            return;
        }
        self.follow_leader(now, KnownLeader { process: from, ballot });
        self.role_leases.observe(now, role_grants);
    }

    fn follow_leader(&mut self, now: Micros, leader: KnownLeader) {
        // Two hold the lease only if a clock has gone wrong. The majority of the later ballot is the later one.
        let lease = self.leadership.lease(now);
        if lease.is_some_and(|lease| lease.epoch == self.view.epoch && lease.ballot < leader.ballot) {
            self.leadership.resign(now);
            self.emit(Event::LeadershipLost(LeadershipLoss::LaterBallot(leader.process)));
        }
        if self.known_leader.is_none_or(|known| known.process != leader.process) {
            self.emit(Event::LeaderChanged(leader.process));
        }
        self.known_leader = Some(leader);
        self.last_leader_contact = now;
        if !self.is_leader(now) {
            let patience = MISSED_HEARTBEATS * self.settings.heartbeat_interval;
            self.leadership.schedule_campaign(now, patience);
        }
    }
}
