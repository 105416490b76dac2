//! State of a candidate or leader: the campaign, the leader's lease, and what it has granted to members.

use crate::{AcceptedView, Ballot, Epoch, LeaseManager, Micros, ProcessId, Term, View};
use std::collections::BTreeMap;

/// An attempt to be elected, and the leadership that follows from it: it ends with the view or with a later ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Campaign {
    pub(crate) ballot: Ballot,
    /// Not elected by then, the candidate begins another campaign with a higher ballot.
    pub(crate) deadline: Micros,
    /// Voters that promised, and the next view that each has accepted.
    pub(crate) promises: BTreeMap<ProcessId, Option<AcceptedView>>,
    /// Voters that granted the lease, and when it was last requested from each of them.
    pub(crate) lease_grants: BTreeMap<ProcessId, Micros>,
    pub(crate) proposal: Option<Proposal>,
    /// Whether a majority has promised.
    pub(crate) elected: bool,
}

impl Campaign {
    pub(crate) fn new(ballot: Ballot, deadline: Micros) -> Campaign {
        Campaign {
            ballot,
            deadline,
            promises: BTreeMap::new(),
            lease_grants: BTreeMap::new(),
            proposal: None,
            elected: false,
        }
    }
}

/// The next view as this process proposes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposal {
    pub(crate) view: View,
    pub(crate) accepted_by: Vec<ProcessId>,
}

/// The leader's lease, as its holder counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderLease {
    /// Epoch of the view whose voters granted it.
    pub(crate) epoch: Epoch,
    pub(crate) ballot: Ballot,
    pub(crate) expires_at: Micros,
}

/// A member's lease on its place in the member list, as the leader counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct MemberLease {
    pub(crate) incarnation: u64,
    pub(crate) expires_at: Micros,
}

/// State of a candidate or leader. Default in a process that has never been one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Leader {
    pub(crate) campaign: Option<Campaign>,
    /// May have expired: [`Leader::lease`] checks.
    pub(crate) lease: Option<LeaderLease>,
    /// The highest ballot counter known in this view.
    pub(crate) highest_counter: u32,
    /// This process has given another candidate time since its own last campaign.
    pub(crate) deferred: bool,
    /// When the campaign or the heartbeat goes on.
    pub(crate) next_step_at: Micros,
    /// As the leader: the next heartbeat. Before it, only a lease that is short is renewed.
    pub(crate) next_heartbeat_at: Micros,
    /// Step of the last term given, under any ballot.
    pub(crate) last_step: u32,
    pub(crate) next_member_list_at: Micros,
    /// How many more heartbeats send the member list, since parts may be lost.
    pub(crate) member_list_repeats: u8,
    /// By ordinal.
    pub(crate) member_leases: BTreeMap<u16, MemberLease>,
    /// Incarnations, by ordinal, of members that did not renew in time. They are left out of the member list until they
    /// ask again, even if membership believes them alive.
    pub(crate) expired_members: BTreeMap<u16, u64>,
}

impl Leader {
    /// The lease, while it lasts.
    pub(crate) fn lease(&self, now: Micros) -> Option<LeaderLease> {
        self.lease.filter(|lease| now < lease.expires_at)
    }

    /// When something is due next.
    pub(crate) fn next_timeout(&self) -> Micros {
        self.member_leases.values().map(|lease| lease.expires_at).fold(self.next_step_at, Micros::min)
    }

    /// Another view begins: campaigns and ballots start over, a lease goes on for what is left of it.
    pub(crate) fn enter_view(&mut self, now: Micros, heartbeat_interval: Micros) {
        self.campaign = None;
        self.highest_counter = 0;
        self.next_step_at = if self.lease(now).is_some() { now } else { now + heartbeat_interval };
    }

    /// Lets a campaign begin after `delay`, if none is due earlier or has begun.
    pub(crate) fn schedule_campaign(&mut self, now: Micros, delay: Micros) {
        if self.campaign.is_none() {
            self.next_step_at = self.next_step_at.min(now + delay);
        }
    }

    /// A member leaves and gives its lease back.
    pub(crate) fn release_member(&mut self, member: ProcessId) {
        let lease = self.member_leases.get(&member.ordinal);
        if lease.is_some_and(|lease| lease.incarnation == member.incarnation) {
            self.member_leases.remove(&member.ordinal);
        }
    }

    /// Ends the campaign and the lease. Returns the ballot of a lease that can be given back.
    pub(crate) fn resign(&mut self, now: Micros) -> Option<Ballot> {
        self.campaign = None;
        self.lease.take().filter(|lease| now < lease.expires_at).map(|lease| lease.ballot)
    }

    /// A campaign that a majority has promised to support.
    pub(crate) fn elected_campaign(&mut self) -> Option<&mut Campaign> {
        self.campaign.as_mut().filter(|campaign| campaign.elected)
    }
}

impl LeaseManager {
    /// The next term that this process grants as the leader.
    pub(crate) fn next_term(&mut self, now: Micros) -> Option<Term> {
        let LeaderLease { epoch, ballot, .. } = self.leadership.lease(now)?;
        self.leadership.last_step += 1;
        Some(Term { epoch, ballot, step: self.leadership.last_step })
    }

    /// How long a role lease that is granted now may last: no longer than the leader's own.
    pub(crate) fn role_lease_duration(&self, now: Micros) -> Option<Micros> {
        let remaining = self.leadership.lease(now)?.expires_at - now;
        Some(remaining.min(self.settings.lease_duration))
    }
}
