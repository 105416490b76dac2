//! A voter of a view: an acceptor of Paxos for the next view, and the grantor of the leader's lease.

use crate::{AcceptedView, Ballot, Epoch, Message, Micros, ProcessId, Settings, View};

/// A voter's answer to a candidate or leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// To `Prepare`: the lease is free, and lower ballots are rejected from now on.
    Promise {
        ballot: Ballot,
        /// The next view that the voter has accepted, if any.
        accepted: Option<AcceptedView>,
    },
    /// To `LeaseRequest`: the lease is granted.
    LeaseGrant { ballot: Ballot, requested_at: Micros },
    /// To `Accept`: the next view is accepted.
    Accepted { ballot: Ballot },
    /// To any of them: the lease is taken for so long, or a later ballot has been promised.
    Reject { promised: Ballot, lease_remaining: Micros },
}

impl Vote {
    /// The vote as a message from a voter of the view of this epoch.
    pub(crate) fn into_message(self, from: ProcessId, epoch: Epoch) -> Message {
        match self {
            Vote::Promise { ballot, accepted } => Message::Promise { from, epoch, ballot, accepted },
            Vote::LeaseGrant { ballot, requested_at } => {
                Message::LeaseGrant { from, epoch, ballot, requested_at }
            }
            Vote::Accepted { ballot } => Message::Accepted { from, epoch, ballot },
            Vote::Reject { promised, lease_remaining } => {
                Message::Reject { from, epoch, promised, lease_remaining }
            }
        }
    }
}

/// A voter's memory in one view: what it has promised, accepted and granted. It ends with the process and with the view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    /// Messages of lower ballots are rejected.
    promised: Ballot,
    /// The next view that was accepted last.
    accepted: Option<AcceptedView>,
    /// The leader's lease.
    grant: Option<LeaseGrant>,
}

/// A lease granted to a leader, as its grantor knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseGrant {
    /// `None`: a process that is not known may hold a lease.
    holder: Option<ProcessId>,
    ballot: Ballot,
    /// By this voter's clock.
    expires_at: Micros,
}

impl Voter {
    /// Time until the lease is free for a candidate.
    fn lease_remaining(&self, now: Micros, candidate: ProcessId) -> Micros {
        match &self.grant {
            Some(grant) if grant.holder != Some(candidate) => grant.expires_at.saturating_sub(now),
            _ => 0,
        }
    }

    /// Refuses to grant a lease until then, except to `holder`, which may hold one from the view before.
    pub(crate) fn refuse_grants_until(&mut self, expires_at: Micros, holder: Option<ProcessId>) {
        self.grant = Some(LeaseGrant { holder, ballot: Ballot::default(), expires_at });
    }

    /// The holder gives its lease back. Returns whether it was the holder.
    pub(crate) fn release_lease(&mut self, from: ProcessId, ballot: Ballot) -> bool {
        let held =
            (self.grant.as_ref()).is_some_and(|grant| grant.holder == Some(from) && grant.ballot == ballot);
        if held {
            self.grant = None;
        }
        held
    }

    /// Whether a message of this ballot must be rejected, whatever it asks for.
    fn must_reject(&self, from: ProcessId, ballot: Ballot) -> bool {
        ballot < self.promised || ballot.proposer != from.ordinal
    }

    fn reject(&self, lease_remaining: Micros) -> Vote {
        Vote::Reject { promised: self.promised, lease_remaining }
    }

    /// Answers a candidate that asks for a promise.
    pub(crate) fn vote_on_prepare(&mut self, now: Micros, from: ProcessId, ballot: Ballot) -> Vote {
        let lease_remaining = self.lease_remaining(now, from);
        if self.must_reject(from, ballot) || lease_remaining > 0 {
            return self.reject(lease_remaining);
        }
        self.promised = ballot;
        Vote::Promise { ballot, accepted: self.accepted.clone() }
    }

    /// Answers a candidate or leader that asks for the lease.
    pub(crate) fn vote_on_lease(
        &mut self,
        now: Micros,
        from: ProcessId,
        ballot: Ballot,
        requested_at: Micros,
        settings: &Settings,
    ) -> Vote {
        let lease_remaining = self.lease_remaining(now, from);
        if self.must_reject(from, ballot) || lease_remaining > 0 {
            return self.reject(lease_remaining);
        }
        let expires_at = now + settings.grantor_duration(settings.lease_duration);
        self.promised = ballot;
        self.grant = Some(LeaseGrant { holder: Some(from), ballot, expires_at });
        Vote::LeaseGrant { ballot, requested_at }
    }

    /// Answers a leader that proposes the next view.
    pub(crate) fn vote_on_view(&mut self, from: ProcessId, ballot: Ballot, view: View) -> Vote {
        if self.must_reject(from, ballot) {
            return self.reject(0);
        }
        self.promised = ballot;
        self.accepted = Some(AcceptedView { ballot, view });
        Vote::Accepted { ballot }
    }
}
