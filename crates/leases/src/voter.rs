//! A voter of a view: the Paxos acceptor for the next view, and a grantor of the leader's lease.

use crate::{AcceptedView, Ballot, Epoch, Message, Micros, ProcessId, Settings, View};

/// A voter's answer to a candidate or leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// Answer to `Prepare`: the lease is free, and the voter will reject lower ballots.
    Promise {
        ballot: Ballot,
        /// The next view that the voter has accepted, if any.
        accepted: Option<AcceptedView>,
    },
    /// Answer to `LeaseRequest`: the lease is granted.
    LeaseGrant { ballot: Ballot, requested_at: Micros },
    /// Answer to `Accept`: the next view is accepted.
    Accepted { ballot: Ballot },
    /// Answer to any of them: another process holds the lease for `lease_remaining`, or a later ballot has
    /// been promised.
    Reject { promised: Ballot, lease_remaining: Micros },
}

impl Vote {
    /// Converts the vote to a message from a voter of the view of `epoch`.
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

/// Promises, acceptances and grants of a voter in one view. Not persisted, and reset when another view is
/// entered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    /// The highest ballot promised. Messages of lower ballots are rejected.
    promised: Ballot,
    /// The last proposal accepted for the next view.
    accepted: Option<AcceptedView>,
    /// The last grant of the leader's lease, or a lease of the previous view that must be respected. Either
    /// may have expired. `None` if there was none, or the holder has released it.
    grant: Option<LeaseGrant>,
}

/// A leader's lease, as its grantor counts it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseGrant {
    /// `None`: an unknown process may hold the lease.
    holder: Option<ProcessId>,
    /// The default ballot for a lease of the previous view.
    ballot: Ballot,
    /// By this voter's clock.
    expires_at: Micros,
}

impl Voter {
    /// Time until the lease can be granted to `candidate`; 0 if it can be granted now.
    fn lease_remaining(&self, now: Micros, candidate: ProcessId) -> Micros {
        match &self.grant {
            Some(grant) if grant.holder != Some(candidate) => grant.expires_at.saturating_sub(now),
            _ => 0,
        }
    }

    /// Refuses to grant the lease before `expires_at`, except to `holder`, which may hold a lease of the
    /// previous view.
    pub(crate) fn refuse_grants_until(&mut self, expires_at: Micros, holder: Option<ProcessId>) {
        self.grant = Some(LeaseGrant { holder, ballot: Ballot::default(), expires_at });
    }

    /// Frees the lease if `from` holds it under this ballot. Returns whether it did.
    pub(crate) fn release_lease(&mut self, from: ProcessId, ballot: Ballot) -> bool {
        let held =
            (self.grant.as_ref()).is_some_and(|grant| grant.holder == Some(from) && grant.ballot == ballot);
        if held {
            self.grant = None;
        }
        held
    }

    /// Whether any request under this ballot must be rejected: the ballot is lower than the promised one, or
    /// is not the sender's own.
    fn must_reject(&self, from: ProcessId, ballot: Ballot) -> bool {
        ballot < self.promised || ballot.proposer != from.ordinal
    }

    fn reject(&self, lease_remaining: Micros) -> Vote {
        Vote::Reject { promised: self.promised, lease_remaining }
    }

    /// Answers `Prepare`.
    pub(crate) fn vote_on_prepare(&mut self, now: Micros, from: ProcessId, ballot: Ballot) -> Vote {
        let lease_remaining = self.lease_remaining(now, from);
        if self.must_reject(from, ballot) || lease_remaining > 0 {
            return self.reject(lease_remaining);
        }
        self.promised = ballot;
        Vote::Promise { ballot, accepted: self.accepted.clone() }
    }

    /// Answers `LeaseRequest`.
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

    /// Answers `Accept`.
    pub(crate) fn vote_on_view(&mut self, from: ProcessId, ballot: Ballot, view: View) -> Vote {
        if self.must_reject(from, ballot) {
            return self.reject(0);
        }
        self.promised = ballot;
        self.accepted = Some(AcceptedView { ballot, view });
        Vote::Accepted { ballot }
    }
}
