//! State of the leader: its lease, and what it counts under it.

use crate::member_lease::MemberLeases;
use crate::member_list::MemberListBroadcast;
use crate::{Ballot, Epoch, LeaseManager, Micros, Term};

/// The leader's lease, as its holder counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderLease {
    /// Epoch of the view whose voters granted it.
    pub(crate) epoch: Epoch,
    pub(crate) ballot: Ballot,
    pub(crate) expires_at: Micros,
}

/// State of the leader. Default in a process that has never been one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Leader {
    /// May have expired: [`Leader::lease`] checks.
    pub(crate) lease: Option<LeaderLease>,
    /// Before the next heartbeat, only a lease that is short is renewed.
    pub(crate) next_heartbeat_at: Micros,
    /// Step of the last term given, under any ballot.
    last_step: u32,
    pub(crate) member_list_broadcast: MemberListBroadcast,
    pub(crate) member_leases: MemberLeases,
}

impl Leader {
    /// The lease, while it lasts.
    pub(crate) fn lease(&self, now: Micros) -> Option<LeaderLease> {
        self.lease.filter(|lease| now < lease.expires_at)
    }

    /// The next term under a lease of this process.
    pub(crate) fn next_term(&mut self, lease: LeaderLease) -> Term {
        self.last_step += 1;
        Term { epoch: lease.epoch, ballot: lease.ballot, step: self.last_step }
    }
}

impl LeaseManager {
    /// When a campaign, a heartbeat or the end of a member lease is due next.
    pub(crate) fn next_election_timeout(&self) -> Micros {
        let next_step_at = self.candidate.next_step_at;
        self.leadership.member_leases.next_expiry().map_or(next_step_at, |at| at.min(next_step_at))
    }

    /// Ends the campaign and the lease. Returns the ballot of a lease that can be given back.
    pub(crate) fn resign(&mut self, now: Micros) -> Option<Ballot> {
        self.candidate.campaign = None;
        self.leadership.lease.take().filter(|lease| now < lease.expires_at).map(|lease| lease.ballot)
    }
}
