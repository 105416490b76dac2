//! Role leases: members request a free role in an order that is the same for all of them, and the leader
//! grants it to one of them.

use crate::{
    Command, Event, LeaseManager, Message, Micros, ProcessId, Role, RoleGrant, RoleHolder, RoleStatus, Term,
};
use std::collections::BTreeMap;

/// A free role is requested this many times per heartbeat interval. The members' first requests are staggered
/// in steps of the interval divided by this number.
const REQUESTS_PER_HEARTBEAT: Micros = 3;

/// A role lease that this process holds.
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
    /// As the grantor counts it. The role is granted to no other process before.
    expires_at: Micros,
}

/// Content of [`Message::RoleLeaseGrant`], the leader's answer to a request for a role lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoleLeaseGrant {
    pub(crate) role: Role,
    pub(crate) term: Term,
    /// Time of the request, by the holder's clock.
    pub(crate) requested_at: Micros,
    /// Counted from `requested_at`.
    pub(crate) duration: Micros,
}

/// The holder of a role according to the leader's last update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ObservedHolder {
    holder: RoleHolder,
    observed_at: Micros,
}

/// Role leases that this process holds, has observed, or has granted as the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RoleLeases {
    role_count: Role,
    held: BTreeMap<Role, HeldLease>,
    observed: BTreeMap<Role, ObservedHolder>,
    /// Leases granted as the leader. They may have expired.
    granted: BTreeMap<Role, GrantedLease>,
    /// Start of the process. Grants of earlier requests are ignored.
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

    /// The term under which this process holds a role at `now`.
    pub(crate) fn held_term(&self, now: Micros, role: Role) -> Option<Term> {
        self.held.get(&role).filter(|lease| now < lease.expires_at).map(|lease| lease.term)
    }

    pub(crate) fn next_timeout(&self) -> Micros {
        self.next_request_at
    }

    /// Removes all leases granted as the leader.
    pub(crate) fn clear_grants(&mut self) {
        self.granted.clear();
    }

    /// Drops all leases that this process holds, and returns their roles and terms.
    pub(crate) fn release_all(&mut self) -> Vec<(Role, Term)> {
        std::mem::take(&mut self.held).into_iter().map(|(role, lease)| (role, lease.term)).collect()
    }

    /// Leases that this process has granted as the leader and that have not expired.
    pub(crate) fn grants(&self, now: Micros) -> impl Iterator<Item = RoleGrant> {
        let live = self.granted.iter().filter(move |(_, lease)| now < lease.expires_at);
        live.map(|(&role, lease)| RoleGrant { role, term: lease.term, holder: lease.holder })
    }

    /// Records the holders announced by an update of the leader.
    pub(crate) fn observe(&mut self, now: Micros, grants: Vec<RoleGrant>) {
        for RoleGrant { role, term, holder } in grants {
            if role >= self.role_count {
                continue;
            }
            let update = ObservedHolder { holder: RoleHolder { term, holder }, observed_at: now };
            let observed = self.observed.entry(role).or_insert(update);
            if term >= observed.holder.term {
                *observed = update;
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

/// Rank of a process for a role; the lowest rank requests the role first (rendezvous hashing; D. Thaler, C.
/// Ravishankar, 1998). The hash is the mixing function of SplitMix64 over plain integers, so equal member
/// lists give the same order in all processes.
fn rendezvous_rank(role: Role, ordinal: u16) -> u64 {
    let mut x = (u64::from(role) << 32 | u64::from(ordinal)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl LeaseManager {
    /// Drops role leases of this process that have expired, and reports them to the caller.
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

    /// Number of members in the list that may request a role before this process.
    fn members_before(&self, role: Role) -> u64 {
        let own = rendezvous_rank(role, self.me.ordinal);
        let members = self.member_list.members.ordinals();
        members.filter(|&ordinal| rendezvous_rank(role, ordinal) < own).count() as u64
    }

    /// Requests the renewal of roles that this process holds, and free roles once this process's
    /// stagger delay for the role is over.
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
        // Counted from the leader's last announcement of a holder, each member waits one step longer than the
        // member ranked before it.
        let unclaimed_since =
            leases.observed.get(&role).map_or(self.started_at, |observed| observed.observed_at);
        let stagger_delay = (1 + self.members_before(role)) * interval / REQUESTS_PER_HEARTBEAT;
        let may_claim = now >= unclaimed_since + interval + stagger_delay;
        // A held role is renewed each heartbeat. A free role is requested more often, since the request or
        // its answer may be lost.
        let pause = if held { interval } else { interval / REQUESTS_PER_HEARTBEAT };
        let pause_over = leases.requested_at.get(&role).is_none_or(|&last| now >= last + pause);
        (held || may_claim) && pause_over
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

    /// As the leader: grants a role lease if the role is free or already held by `to`.
    fn grant_role_lease(&mut self, now: Micros, to: ProcessId, role: Role, requested_at: Micros) {
        let Some(leader_lease) = self.leadership.lease(now) else { return };
        let current = self.role_leases.granted.get(&role).copied();
        let current = current.filter(|lease| now < lease.expires_at);
        if current.is_some_and(|lease| lease.holder != to) {
            return;
        }
        let term = current.map_or_else(|| self.leadership.next_term(leader_lease), |lease| lease.term);
        // A role lease must not outlast the leader's own lease.
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
            // The other members learn of the release when heartbeats no longer announce the holder. The next
            // heartbeat is not brought forward: `schedule_campaign` has no effect while the leader's own
            // campaign lasts.
            self.role_leases.observed.remove(&role);
            self.candidate.schedule_campaign(now, 0);
        }
    }

    /// The last known holder of a role, from the leader's updates. Its lease may have expired.
    pub fn role_holder(&self, role: Role) -> Option<RoleHolder> {
        self.role_leases.observed.get(&role).map(|observed| observed.holder)
    }
}
