//! Member leases: while a member holds one, every leader's member list includes it.
//!
//! A new leader does not know which leases its predecessor granted, so it treats all members of the last list
//! as if they had just been granted one. The exception is the previous leader, whose member lease is its
//! leader's lease.

use crate::{Ballot, LeaseManager, Members, Message, Micros, ProcessId};
use std::collections::BTreeMap;

/// Requests of a member per heartbeat interval: at 30% message loss, the probability that no request arrives
/// during a lease is 10^-8.
const REQUESTS_PER_HEARTBEAT: Micros = 2;

/// A member lease, as the leader counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct MemberLease {
    member: ProcessId,
    expires_at: Micros,
}

/// Member leases that the leader has granted, and members whose leases have expired.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MemberLeases {
    /// By the member's ordinal.
    leases: BTreeMap<u16, MemberLease>,
    /// Members that did not renew in time and, for a new leader, the previous leader. They are excluded from
    /// the member list until they request a lease again, even if membership reports them as alive.
    expired: Members,
}

impl MemberLeases {
    /// When the next lease expires.
    pub(crate) fn next_expiry(&self) -> Option<Micros> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Removes the lease of a member that gives it back.
    pub(crate) fn release(&mut self, member: ProcessId) {
        if self.leases.get(&member.ordinal).is_some_and(|lease| lease.member == member) {
            self.leases.remove(&member.ordinal);
        }
    }

    fn grant(&mut self, member: ProcessId, expires_at: Micros) {
        self.leases.insert(member.ordinal, MemberLease { member, expires_at });
    }

    /// Grants a lease to a member, unless its ordinal already has one.
    fn grant_if_absent(&mut self, member: ProcessId, expires_at: Micros) {
        self.leases.entry(member.ordinal).or_insert(MemberLease { member, expires_at });
    }

    /// Removes the leases that were not renewed in time, and marks their members as expired.
    fn expire(&mut self, now: Micros) {
        let expired = self.leases.values().filter(|lease| now >= lease.expires_at);
        self.expired.extend(expired.map(|lease| lease.member));
        self.leases.retain(|_, lease| now < lease.expires_at);
    }

    /// The processes of `alive` that are not marked as expired, and all processes that hold a lease.
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

    /// When a member lease that is granted at `now` expires, by the leader's clock.
    fn member_lease_end(&self, now: Micros) -> Micros {
        now + self.settings.grantor_duration(self.settings.member_lease_duration)
    }

    /// As a new leader: assumes that all members of the last list, except the previous leader, have just been
    /// granted a lease.
    pub(crate) fn inherit_member_leases(&mut self, now: Micros, ballot: Ballot) {
        self.leadership.member_leases = MemberLeases::default();
        if !self.member_leases_enabled() {
            return;
        }
        // If there was another leader between the last known one and this process, its ballot lies between
        // theirs. So the last known leader is the direct predecessor only if no counter lies between.
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

    /// Requests a member lease from the leader, if that is due. A process that is not in the list requests
    /// one too, so that the leader adds it again.
    pub(crate) fn request_member_lease(&mut self, now: Micros) {
        let Some(leader) = self.known_leader.filter(|leader| leader.process != self.me) else { return };
        let interval = self.settings.heartbeat_interval / REQUESTS_PER_HEARTBEAT;
        if !self.member_leases_enabled() || now < self.member_lease_requested_at + interval {
            return;
        }
        self.member_lease_requested_at = now;
        self.send(leader.process, Message::MemberLeaseRequest { from: self.me, requested_at: now });
    }

    /// As the leader: the members of the next list. These are all live processes that are not marked as
    /// expired, and all processes that hold a lease.
    pub(crate) fn target_members(&mut self, now: Micros) -> Members {
        let expires_at = self.member_lease_end(now);
        let enabled = self.member_leases_enabled();
        let member_leases = &mut self.leadership.member_leases;
        member_leases.expire(now);
        let members = member_leases.listed_members(&self.alive_members);
        if enabled {
            // A new member has the length of one lease to send its first request.
            let others = members.iter().filter(|member| member.ordinal != self.me.ordinal);
            others.for_each(|member| member_leases.grant_if_absent(member, expires_at));
        }
        members
    }
}
