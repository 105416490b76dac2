//! State of the leader: its lease, the terms that it issues, and the member list.

use crate::member_lease::MemberLeases;
use crate::member_list::MemberListBroadcast;
use crate::{Ballot, Epoch, LeaseManager, Micros, Term};

/// The leader's lease, as its holder counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderLease {
    /// Epoch of the view whose voters granted the lease.
    pub(crate) epoch: Epoch,
    pub(crate) ballot: Ballot,
    pub(crate) expires_at: Micros,
}

/// State of the leader. Has its default value in a process that has never been the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Leader {
    /// The last lease, which may have expired. [`Leader::lease`] checks that.
    pub(crate) lease: Option<LeaderLease>,
    /// When the next heartbeat is due. Before that, the lease is renewed only if less than half of the lease
    /// duration is left.
    pub(crate) next_heartbeat_at: Micros,
    /// Step of the last term issued by this process, under any ballot.
    last_step: u32,
    pub(crate) member_list_broadcast: MemberListBroadcast,
    pub(crate) member_leases: MemberLeases,
}

impl Leader {
    /// The lease, unless it has expired.
    pub(crate) fn lease(&self, now: Micros) -> Option<LeaderLease> {
        self.lease.filter(|lease| now < lease.expires_at)
    }

    /// Issues a new term under the given lease of this process.
    pub(crate) fn next_term(&mut self, lease: LeaderLease) -> Term {
        self.last_step += 1;
        Term { epoch: lease.epoch, ballot: lease.ballot, step: self.last_step }
    }
}

impl LeaseManager {
    /// When the next step of a campaign, the next heartbeat or the next expiry of a member lease is due.
    pub(crate) fn next_election_timeout(&self) -> Micros {
        let next_step_at = self.candidate.next_step_at;
        self.leadership.member_leases.next_expiry().map_or(next_step_at, |at| at.min(next_step_at))
    }

    /// Ends the campaign and drops the lease. Returns the lease's ballot if the lease had not expired, so
    /// that the caller can release it.
    pub(crate) fn resign(&mut self, now: Micros) -> Option<Ballot> {
        self.candidate.campaign = None;
        self.leadership.lease.take().filter(|lease| now < lease.expires_at).map(|lease| lease.ballot)
    }
}
