//! The leader's heartbeat: view updates with the holders of roles, and what other processes learn from them.

use crate::election::MISSED_HEARTBEATS;
use crate::message::MAX_ROLE_GRANTS;
use crate::{Event, KnownLeader, LeadershipLoss, LeaseManager, Message, Micros, ProcessId, RoleGrant, View};

/// What a process tells of its view.
pub(crate) struct ViewUpdate {
    pub(crate) view: View,
    /// The view's leader, if the sender knows one.
    pub(crate) leader: Option<KnownLeader>,
    /// By the leader itself: who holds which role.
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
    /// Sends all that the view has a leader, who holds which role, and now and then who is a member.
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

    /// Tells a process that is behind of the view.
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
        // Only the leader itself says that it is one.
        let sender = leader.filter(|leader| leader.process == from && epoch == self.view.epoch);
        let Some(leader) = sender else { return };
        if self.known_leader.is_some_and(|known| leader.ballot < known.ballot) {
            return;
        }
        self.follow_leader(now, leader);
        self.role_leases.observe(now, role_grants);
    }

    fn follow_leader(&mut self, now: Micros, leader: KnownLeader) {
        // Two hold the lease only if a clock has gone wrong. The majority of the later ballot is the later one.
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
            let patience = MISSED_HEARTBEATS * self.settings.heartbeat_interval;
            self.candidate.schedule_campaign(now, patience);
        }
    }
}
