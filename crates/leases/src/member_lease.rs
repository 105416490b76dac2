//! Member leases: until when a member may count on being in the list of every leader.
//!
//! A new leader does not know what the one before it granted, so it treats all members of the last list as if they held
//! a lease from now on, except for the previous leader, whose member lease is its leader's lease.

use crate::leader::MemberLease;
use crate::{Ballot, LeaseManager, Message, Micros, ProcessId};
use std::collections::BTreeMap;

/// Requests of a member in one heartbeat interval: at 30% loss one lease in 10^8 passes without one that arrives.
const REQUESTS_PER_HEARTBEAT: Micros = 2;

impl LeaseManager {
    fn member_leases_enabled(&self) -> bool {
        self.settings.member_lease_duration > 0
    }

    /// When a member lease that is granted now is over, by the leader's clock.
    fn member_lease_end(&self, now: Micros) -> Micros {
        now + self.settings.grantor_duration(self.settings.member_lease_duration)
    }

    /// As a new leader: assumes that all members of the last list hold a lease.
    pub(crate) fn inherit_member_leases(&mut self, now: Micros, ballot: Ballot) {
        self.leadership.member_leases = BTreeMap::new();
        self.leadership.expired_members = BTreeMap::new();
        if !self.member_leases_enabled() {
            return;
        }
        // A leader between the last known one and this process would have had a ballot between theirs.
        let directly_before =
            self.known_leader.filter(|leader| leader.ballot.counter.checked_add(1) == Some(ballot.counter));
        let previous_leader = directly_before.map(|leader| leader.process);
        let expires_at = self.member_lease_end(now);
        for (&ordinal, &incarnation) in &self.member_list.members {
            if ordinal == self.me.ordinal {
                continue;
            }
            if previous_leader == Some(ProcessId { ordinal, incarnation }) {
                self.leadership.expired_members.insert(ordinal, incarnation);
            } else {
                self.leadership.member_leases.insert(ordinal, MemberLease { incarnation, expires_at });
            }
        }
    }

    pub(crate) fn handle_member_lease_request(&mut self, now: Micros, from: ProcessId, requested_at: Micros) {
        let epoch = self.leadership.lease(now).map(|lease| lease.epoch);
        if epoch != Some(self.view.epoch) || !self.member_leases_enabled() {
            return;
        }
        if self.leadership.expired_members.get(&from.ordinal) == Some(&from.incarnation) {
            self.leadership.expired_members.remove(&from.ordinal);
        }
        if !self.member_list.contains(from) {
            return;
        }
        let lease = MemberLease { incarnation: from.incarnation, expires_at: self.member_lease_end(now) };
        self.leadership.member_leases.insert(from.ordinal, lease);
        let duration = self.settings.member_lease_duration;
        self.send(from, Message::MemberLeaseGrant { from: self.me, requested_at, duration });
    }

    pub(crate) fn handle_member_lease_grant(
        &mut self,
        now: Micros,
        from: ProcessId,
        requested_at: Micros,
        duration: Micros,
    ) {
        let by_leader = self.known_leader.is_some_and(|leader| leader.process == from);
        if !by_leader || requested_at > now || requested_at < self.started_at || self.leaving {
            self.dropped_messages += 1;
            return;
        }
        let duration = duration.min(self.settings.member_lease_duration);
        let expires_at = requested_at + self.settings.holder_duration(duration);
        self.member_lease_expires_at = self.member_lease_expires_at.max(expires_at);
    }

    /// Asks the leader for a lease, if that is due. A process that is not in the list asks too: so it comes back.
    pub(crate) fn request_member_lease(&mut self, now: Micros) {
        let Some(leader) = self.known_leader.filter(|leader| leader.process != self.me) else { return };
        let interval = self.settings.heartbeat_interval / REQUESTS_PER_HEARTBEAT;
        if !self.member_leases_enabled() || now < self.member_lease_requested_at + interval {
            return;
        }
        self.member_lease_requested_at = now;
        self.send(leader.process, Message::MemberLeaseRequest { from: self.me, requested_at: now });
    }

    /// As the leader: who is to be in the list. All live processes except those whose lease expired, and all that hold a
    /// lease.
    pub(crate) fn target_members(&mut self, now: Micros) -> BTreeMap<u16, u64> {
        let expires_at = self.member_lease_end(now);
        let enabled = self.member_leases_enabled();
        let leader = &mut self.leadership;
        let expired = leader.member_leases.iter().filter(|(_, lease)| now >= lease.expires_at);
        leader.expired_members.extend(expired.map(|(&ordinal, lease)| (ordinal, lease.incarnation)));
        leader.member_leases.retain(|_, lease| now < lease.expires_at);
        let mut members = self.alive_members.clone();
        members.retain(|ordinal, incarnation| leader.expired_members.get(ordinal) != Some(incarnation));
        members.extend(leader.member_leases.iter().map(|(&ordinal, lease)| (ordinal, lease.incarnation)));
        if enabled {
            // A new member has as long to ask as one that has asked.
            let others = members.iter().filter(|(ordinal, _)| **ordinal != self.me.ordinal);
            for (&ordinal, &incarnation) in others {
                leader.member_leases.entry(ordinal).or_insert(MemberLease { incarnation, expires_at });
            }
        }
        members
    }
}
