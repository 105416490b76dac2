//! A voter of a view: an acceptor of Paxos for the next view, and the grantor of the leader's lease.

use crate::{Ballot, LeaseManager, Message, Micros, ProcessId, View, message::AcceptedView};

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
}

impl LeaseManager {
    fn reject(&self, lease_remaining: Micros) -> Message {
        let (epoch, promised) = (self.view.epoch, self.voter.promised);
        Message::Reject { from: self.me, epoch, promised, lease_remaining }
    }

    pub(crate) fn vote_on_prepare(&mut self, now: Micros, from: ProcessId, ballot: Ballot) -> Message {
        let remaining = self.voter.lease_remaining(now, from);
        if self.voter.must_reject(from, ballot) || remaining > 0 {
            return self.reject(remaining);
        }
        self.voter.promised = ballot;
        let accepted = self.voter.accepted.clone();
        Message::Promise { from: self.me, epoch: self.view.epoch, ballot, accepted }
    }

    pub(crate) fn vote_on_lease(
        &mut self,
        now: Micros,
        from: ProcessId,
        ballot: Ballot,
        requested_at: Micros,
    ) -> Message {
        let remaining = self.voter.lease_remaining(now, from);
        if self.voter.must_reject(from, ballot) || remaining > 0 {
            return self.reject(remaining);
        }
        let expires_at = now + self.settings.grantor_duration(self.settings.lease_duration);
        self.voter.promised = ballot;
        self.voter.grant = Some(LeaseGrant { holder: Some(from), ballot, expires_at });
        Message::LeaseGrant { from: self.me, epoch: self.view.epoch, ballot, requested_at }
    }

    pub(crate) fn vote_on_view(&mut self, from: ProcessId, ballot: Ballot, view: View) -> Message {
        if self.voter.must_reject(from, ballot) {
            return self.reject(0);
        }
        self.voter.promised = ballot;
        self.voter.accepted = Some(AcceptedView { ballot, view });
        Message::Accepted { from: self.me, epoch: self.view.epoch, ballot }
    }
}
