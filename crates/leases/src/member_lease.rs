//! Member leases: until when a member may count on being in the list of every leader.
//!
//! A new leader does not know what the one before it granted, so it treats all members of the last list as if they held
//! a lease from now on, except for the previous leader, whose member lease is its leader's lease.

use crate::{Ballot, LeaseManager, Members, Message, Micros, ProcessId};
use std::collections::BTreeMap;

/// Requests of a member in one heartbeat interval: at 30% loss one lease in 10^8 passes without one that arrives.
const REQUESTS_PER_HEARTBEAT: Micros = 2;

/// A member's lease on its place in the member list, as the leader counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct MemberLease {
    member: ProcessId,
    expires_at: Micros,
}

/// Member leases that the leader has granted, and those that were not renewed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MemberLeases {
    /// By the member's ordinal.
    leases: BTreeMap<u16, MemberLease>,
    /// Members that did not renew in time. They are left out of the member list until they ask again, even if membership
    /// believes them alive.
    expired: Members,
}

impl MemberLeases {
    /// When the first lease is over.
    pub(crate) fn next_expiry(&self) -> Option<Micros> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// A member leaves and gives its lease back.
    pub(crate) fn release(&mut self, member: ProcessId) {
        if self.leases.get(&member.ordinal).is_some_and(|lease| lease.member == member) {
            self.leases.remove(&member.ordinal);
        }
    }

    fn grant(&mut self, member: ProcessId, expires_at: Micros) {
        self.leases.insert(member.ordinal, MemberLease { member, expires_at });
    }

    /// Grants a lease to a member whose ordinal has none.
    fn grant_first(&mut self, member: ProcessId, expires_at: Micros) {
        self.leases.entry(member.ordinal).or_insert(MemberLease { member, expires_at });
    }

    /// Ends the leases that were not renewed in time.
    fn expire(&mut self, now: Micros) {
        let expired = self.leases.values().filter(|lease| now >= lease.expires_at);
        self.expired.extend(expired.map(|lease| lease.member));
        self.leases.retain(|_, lease| now < lease.expires_at);
    }

    /// Of these live processes all whose lease has not expired, and all that hold a lease.
    fn listed_members(&self, alive: &Members) -> Members {
        let mut members = alive.clone();
        members.retain(|process| !self.expired.contains(process));
        members.extend(self.leases.values().map(|lease| lease.member));
        members
    }
}

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
        self.leadership.member_leases = MemberLeases::default();
        if !self.member_leases_enabled() {
            return;
        }
        // A leader between the last known one and this process would have had a ballot between theirs.
        let directly_before =
            self.known_leader.filter(|leader| leader.ballot.counter.checked_add(1) == Some(ballot.counter));
        let previous_leader = directly_before.map(|leader| leader.process);
        let expires_at = self.member_lease_end(now);
        let member_leases = &mut self.leadership.member_leases;
        for member in self.member_list.members.iter().filter(|member| member.ordinal != self.me.ordinal) {
            if previous_leader == Some(member) {
                member_leases.expired.insert(member);
            } else {
                member_leases.grant(member, expires_at);
            }
        }
    }

    pub(crate) fn handle_member_lease_request(&mut self, now: Micros, from: ProcessId, requested_at: Micros) {
        let epoch = self.leadership.lease(now).map(|lease| lease.epoch);
        if epoch != Some(self.view.epoch) || !self.member_leases_enabled() {
            return;
        }
        self.leadership.member_leases.expired.remove(from);
        if !self.member_list.members.contains(from) {
            return;
        }
        let expires_at = self.member_lease_end(now);
        self.leadership.member_leases.grant(from, expires_at);
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
    pub(crate) fn target_members(&mut self, now: Micros) -> Members {
        let expires_at = self.member_lease_end(now);
        let enabled = self.member_leases_enabled();
        let member_leases = &mut self.leadership.member_leases;
        member_leases.expire(now);
        let members = member_leases.listed_members(&self.alive_members);
        if enabled {
            // A new member has as long to ask as one that has asked.
            let others = members.iter().filter(|member| member.ordinal != self.me.ordinal);
            others.for_each(|member| member_leases.grant_first(member, expires_at));
        }
        members
    }
}
