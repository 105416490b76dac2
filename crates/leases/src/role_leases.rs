//! Role leases: members request a role in an order that all agree on, the leader grants it to one of them.

use crate::{
    Command, Event, LeaseManager, Message, Micros, ProcessId, Role, RoleGrant, RoleHolder, RoleStatus, Term,
};
use std::collections::BTreeMap;

/// Requests for a role that nobody holds in one heartbeat interval, and turns of members that wait for one.
const REQUESTS_PER_HEARTBEAT: Micros = 3;

/// A role lease of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    term: Term,
    /// As the holder counts it.
    expires_at: Micros,
}

/// A role lease that this process has granted as the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    holder: ProcessId,
    term: Term,
    /// As the grantor counts it: until then the role is granted to no other process.
    expires_at: Micros,
}

/// The leader's answer to a request for a role lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoleLeaseGrant {
    pub(crate) role: Role,
    pub(crate) term: Term,
    /// When it was requested, by the holder's clock.
    pub(crate) requested_at: Micros,
    /// From the request on.
    pub(crate) duration: Micros,
}

/// The holder of a role by the leader's last update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ObservedHolder {
    holder: RoleHolder,
    observed_at: Micros,
}

/// Role leases of this process, and what it knows of those of others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RoleLeases {
    role_count: Role,
    held: BTreeMap<Role, HeldLease>,
    observed: BTreeMap<Role, ObservedHolder>,
    /// As the leader.
    granted: BTreeMap<Role, GrantedLease>,
    /// Grants of requests before this are ignored.
    started_at: Micros,
    next_request_at: Micros,
    /// When each role was last requested.
    requested_at: BTreeMap<Role, Micros>,
}

impl RoleLeases {
    pub(crate) fn new(now: Micros, role_count: Role) -> RoleLeases {
        RoleLeases {
            role_count,
            held: BTreeMap::new(),
            observed: BTreeMap::new(),
            granted: BTreeMap::new(),
            started_at: now,
            next_request_at: now,
            requested_at: BTreeMap::new(),
        }
    }

    /// The term under which this process holds a role at this moment.
    pub(crate) fn held_term(&self, now: Micros, role: Role) -> Option<Term> {
        self.held.get(&role).filter(|lease| now < lease.expires_at).map(|lease| lease.term)
    }

    pub(crate) fn next_timeout(&self) -> Micros {
        self.next_request_at
    }

    /// Forgets what was granted as the leader.
    pub(crate) fn clear_grants(&mut self) {
        self.granted.clear();
    }

    /// Ends all leases of this process, and returns them.
    pub(crate) fn release_all(&mut self) -> Vec<(Role, Term)> {
        std::mem::take(&mut self.held).into_iter().map(|(role, lease)| (role, lease.term)).collect()
    }

    /// Leases that this process, as the leader, has granted and that last.
    pub(crate) fn grants(&self, now: Micros) -> impl Iterator<Item = RoleGrant> {
        let live = self.granted.iter().filter(move |(_, lease)| now < lease.expires_at);
        live.map(|(&role, lease)| RoleGrant { role, term: lease.term, holder: lease.holder })
    }

    /// Takes note of the holders by an update of the leader's.
    pub(crate) fn observe(&mut self, now: Micros, grants: Vec<RoleGrant>) {
        for RoleGrant { role, term, holder } in grants {
            if role >= self.role_count {
                continue;
            }
            let seen = ObservedHolder { holder: RoleHolder { term, holder }, observed_at: now };
            let observed = self.observed.entry(role).or_insert(seen);
            if term >= observed.holder.term {
                *observed = seen;
            }
        }
    }

    pub(crate) fn status(&self, now: Micros) -> BTreeMap<Role, RoleStatus> {
        let status = |(&role, observed): (&Role, &ObservedHolder)| {
            let RoleHolder { term, holder } = observed.holder;
            let own = self.held.get(&role).filter(|lease| now < lease.expires_at && lease.term == term);
            let own_lease_remaining = own.map(|lease| lease.expires_at - now);
            (role, RoleStatus { term, holder, own_lease_remaining })
        };
        self.observed.iter().map(status).collect()
    }
}

/// A process's rank for a role: the smallest comes first (rendezvous hashing; D. Thaler, C. Ravishankar, 1998). Mixed as
/// in SplitMix64, from numbers only, so that equal member lists give equal orders everywhere.
fn rendezvous_rank(role: Role, ordinal: u16) -> u64 {
    let mut x = (u64::from(role) << 32 | u64::from(ordinal)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl LeaseManager {
    /// Ends role leases that have expired.
    pub(crate) fn expire_role_leases(&mut self, now: Micros) {
        let held = self.role_leases.held.iter();
        let expired: Vec<Role> =
            held.filter(|(_, lease)| now >= lease.expires_at).map(|(&role, _)| role).collect();
        for role in expired {
            self.role_leases.held.remove(&role);
            self.emit(Event::RoleLeaseExpired(role));
            self.commands.push_back(Command::RoleLeaseChanged { role, term: None });
        }
    }

    /// Members of the list that may request a role before this process.
    fn members_before(&self, role: Role) -> u64 {
        let own = rendezvous_rank(role, self.me.ordinal);
        let members = self.member_list.members.ordinals();
        members.filter(|&ordinal| rendezvous_rank(role, ordinal) < own).count() as u64
    }

    /// Requests roles that this process holds, to renew them, and those that nobody holds if it is its turn.
    pub(crate) fn request_role_leases(&mut self, now: Micros) {
        let Some(leader) = self.known_leader.map(|leader| leader.process) else { return };
        if now < self.role_leases.next_request_at && leader != self.me || self.leaving {
            return;
        }
        self.role_leases.next_request_at = now + self.settings.heartbeat_interval / REQUESTS_PER_HEARTBEAT;
        if now > self.last_leader_contact + self.settings.lease_duration {
            return;
        }
        for role in 0..self.role_leases.role_count {
            if !self.role_request_due(now, role) {
                continue;
            }
            self.role_leases.requested_at.insert(role, now);
            if leader == self.me {
                self.grant_role_lease(now, self.me, role, now);
            } else {
                self.send(leader, Message::RoleLeaseRequest { from: self.me, role, requested_at: now });
            }
        }
    }

    fn role_request_due(&self, now: Micros, role: Role) -> bool {
        let interval = self.settings.heartbeat_interval;
        let leases = &self.role_leases;
        let held = leases.held.contains_key(&role);
        // Each member waits a little longer than the one before it, from when the last holder was known.
        let unclaimed_since =
            leases.observed.get(&role).map_or(self.started_at, |observed| observed.observed_at);
        let turn = (1 + self.members_before(role)) * interval / REQUESTS_PER_HEARTBEAT;
        let our_turn = now >= unclaimed_since + interval + turn;
        // A held role is renewed each heartbeat, a free one requested more often: either message may be lost.
        let pause = if held { interval } else { interval / REQUESTS_PER_HEARTBEAT };
        let pause_over = leases.requested_at.get(&role).is_none_or(|&last| now >= last + pause);
        (held || our_turn) && pause_over
    }

    pub(crate) fn handle_role_lease_request(
        &mut self,
        now: Micros,
        from: ProcessId,
        role: Role,
        requested_at: Micros,
    ) {
        let replaced = self.alive_members.get(from.ordinal).is_some_and(|alive| alive != from);
        if role >= self.role_leases.role_count || replaced {
            self.dropped_messages += 1;
            return;
        }
        self.grant_role_lease(now, from, role, requested_at);
    }

    /// As the leader: grants a role lease if the role is free or held by who requests it.
    fn grant_role_lease(&mut self, now: Micros, to: ProcessId, role: Role, requested_at: Micros) {
        let Some(leader_lease) = self.leadership.lease(now) else { return };
        let current = self.role_leases.granted.get(&role).copied();
        let current = current.filter(|lease| now < lease.expires_at);
        if current.is_some_and(|lease| lease.holder != to) {
            return;
        }
        let term = current.map_or_else(|| self.leadership.next_term(leader_lease), |lease| lease.term);
        // No longer than the leader's own lease.
        let duration = (leader_lease.expires_at - now).min(self.settings.lease_duration);
        let expires_at = now + self.settings.grantor_duration(duration);
        self.role_leases.granted.insert(role, GrantedLease { holder: to, term, expires_at });
        if current.is_none() {
            self.emit(Event::RoleLeaseGranted { role, term, holder: to });
        }
        if to == self.me {
            let holder = RoleHolder { term, holder: to };
            self.role_leases.observed.insert(role, ObservedHolder { holder, observed_at: now });
            self.acquire_role_lease(now, RoleLeaseGrant { role, term, requested_at, duration });
        } else {
            self.send(to, Message::RoleLeaseGrant { from: self.me, role, term, requested_at, duration });
        }
    }

    fn acquire_role_lease(&mut self, now: Micros, grant: RoleLeaseGrant) {
        let RoleLeaseGrant { role, term, requested_at, duration } = grant;
        let duration = duration.min(self.settings.lease_duration);
        let mut expires_at = requested_at + self.settings.holder_duration(duration);
        let previous = self.role_leases.held.get(&role).copied();
        if expires_at <= now || previous.is_some_and(|lease| lease.term > term) {
            return;
        }
        let renewed = previous.filter(|lease| lease.term == term);
        if let Some(lease) = renewed {
            expires_at = expires_at.max(lease.expires_at);
        }
        self.role_leases.held.insert(role, HeldLease { term, expires_at });
        if renewed.is_none() {
            self.emit(Event::RoleLeaseAcquired { role, term });
            self.commands.push_back(Command::RoleLeaseChanged { role, term: Some(term) });
        }
    }

    pub(crate) fn handle_role_lease_grant(&mut self, now: Micros, from: ProcessId, grant: RoleLeaseGrant) {
        let by_leader = self.known_leader.is_some_and(|leader| leader.process == from);
        let requested = (self.role_leases.started_at..=now).contains(&grant.requested_at);
        let known_role = grant.role < self.role_leases.role_count;
        if !by_leader || !requested || !known_role || grant.term.epoch < self.abandoned_epoch {
            self.dropped_messages += 1;
            return;
        }
        self.acquire_role_lease(now, grant);
    }

    pub(crate) fn handle_role_lease_release(&mut self, now: Micros, from: ProcessId, role: Role, term: Term) {
        let granted = self.role_leases.granted.get(&role);
        if granted.is_some_and(|lease| lease.holder == from && lease.term == term) {
            self.role_leases.granted.remove(&role);
            self.emit(Event::RoleLeaseReleased { role, holder: from });
            // Others learn of it from the next heartbeat, which is due now.
            self.role_leases.observed.remove(&role);
            self.candidate.schedule_campaign(now, 0);
        }
    }

    /// The holder of a role by the leader's last update.
    pub fn role_holder(&self, role: Role) -> Option<RoleHolder> {
        self.role_leases.observed.get(&role).map(|observed| observed.holder)
    }
}
