//! Incoming messages: the checks common to all of them, and the dispatch to their handlers.

use crate::heartbeat::ViewUpdate;
use crate::role_leases::RoleLeaseGrant;
use crate::voter::Vote;
use crate::{Ballot, Epoch, KnownLeader, LeaseManager, Message, Micros, ProcessId, View};

/// After the leader has released its lease, the voters' campaigns are staggered in steps of the heartbeat
/// interval divided by this number.
const RELEASE_STAGGER_STEPS_PER_HEARTBEAT: Micros = 8;

impl LeaseManager {
    /// Handles a message. `from` is the ordinal of the scheduler from whose address it was received; the
    /// message is dropped if it names another sender.
    pub fn handle_message(&mut self, now: Micros, from: u16, message: Message) {
        if self.leaving && !self.needed_while_leaving(&message) {
            return;
        }
        if message.from().ordinal != from || from == self.me.ordinal {
            self.dropped_messages += 1;
            return;
        }
        self.dispatch(now, message);
    }

    fn dispatch(&mut self, now: Micros, message: Message) {
        match message {
            Message::JoinRequest { from, latest_epoch } => self.handle_join_request(now, from, latest_epoch),
            Message::Prepare { from, epoch, ballot } => self.handle_prepare(now, from, epoch, ballot),
            Message::LeaseRequest { from, epoch, ballot, requested_at } => {
                self.handle_lease_request(now, from, epoch, ballot, requested_at);
            }
            Message::Accept { from, epoch, ballot, next_view } => {
                self.handle_accept(now, from, epoch, ballot, next_view);
            }
            Message::LeaseRelease { from, epoch, ballot } => {
                self.handle_lease_release(now, from, epoch, ballot);
            }
            Message::Promise { from, epoch, ballot, accepted } => {
                self.handle_vote(now, from, epoch, Vote::Promise { ballot, accepted });
            }
            Message::Reject { from, epoch, promised, lease_remaining } => {
                self.handle_vote(now, from, epoch, Vote::Reject { promised, lease_remaining });
            }
            Message::LeaseGrant { from, epoch, ballot, requested_at } => {
                self.handle_vote(now, from, epoch, Vote::LeaseGrant { ballot, requested_at });
            }
            Message::Accepted { from, epoch, ballot } => {
                self.handle_vote(now, from, epoch, Vote::Accepted { ballot });
            }
            Message::ViewUpdate { from, view, leader, ballot, role_grants } => {
                let leader = leader.map(|process| KnownLeader { process, ballot });
                self.handle_view_update(now, from, ViewUpdate { view, leader, role_grants });
            }
            Message::MemberListPart { from, term, part, parts, members } => {
                self.handle_member_list_part(from, term, part, parts, members);
            }
            Message::RoleLeaseRequest { from, role, requested_at } => {
                self.handle_role_lease_request(now, from, role, requested_at);
            }
            Message::RoleLeaseGrant { from, role, term, requested_at, duration } => {
                let grant = RoleLeaseGrant { role, term, requested_at, duration };
                self.handle_role_lease_grant(now, from, grant);
            }
            Message::RoleLeaseRelease { from, role, term } => {
                self.handle_role_lease_release(now, from, role, term);
            }
            Message::MemberLeaseRequest { from, requested_at } => {
                self.handle_member_lease_request(now, from, requested_at);
            }
            Message::MemberLeaseGrant { from, requested_at, duration } => {
                self.handle_member_lease_grant(now, from, requested_at, duration);
            }
            Message::MemberLeaseRelease { from } => self.leadership.member_leases.release(from),
        }
    }

    /// Whether a process that shuts down still handles the message. It no longer votes, grants or requests
    /// anything, but it may still hold a member lease, and then must follow the changes of the member list.
    fn needed_while_leaving(&self, message: &Message) -> bool {
        let lists = matches!(message, Message::ViewUpdate { .. } | Message::MemberListPart { .. });
        lists && self.settings.member_lease_duration > 0
    }

    fn handle_join_request(&mut self, now: Micros, from: ProcessId, latest_epoch: Epoch) {
        self.latest_epoch = self.latest_epoch.max(latest_epoch);
        if !self.view.is_bootstrap() && (self.is_voter(self.me) || self.is_leader(now)) {
            self.send_view(from);
        }
    }

    /// As a voter: answers `Prepare`.
    fn handle_prepare(&mut self, now: Micros, from: ProcessId, epoch: Epoch, ballot: Ballot) {
        if !self.may_vote(now, from, epoch) {
            return;
        }
        let vote = self.voter.vote_on_prepare(now, from, ballot);
        if matches!(vote, Vote::Promise { .. }) {
            self.defer_to_candidate(now);
        }
        self.send_vote(from, vote);
    }

    /// As a voter: answers `LeaseRequest`.
    fn handle_lease_request(
        &mut self,
        now: Micros,
        from: ProcessId,
        epoch: Epoch,
        ballot: Ballot,
        requested_at: Micros,
    ) {
        if self.may_vote(now, from, epoch) {
            let vote = self.voter.vote_on_lease(now, from, ballot, requested_at, &self.settings);
            self.send_vote(from, vote);
        }
    }

    /// As a voter: answers `Accept`.
    fn handle_accept(&mut self, now: Micros, from: ProcessId, epoch: Epoch, ballot: Ballot, next_view: View) {
        if self.may_vote(now, from, epoch) {
            let vote = self.voter.vote_on_view(from, ballot, next_view);
            self.send_vote(from, vote);
        }
    }

    fn send_vote(&mut self, to: ProcessId, vote: Vote) {
        self.send(to, vote.into_message(self.me, self.view.epoch));
    }

    /// Whether this process votes on a request of the view of `epoch`. If the sender's view is outdated,
    /// sends it the current view; if this process's own view is outdated, asks the sender for the later one.
    fn may_vote(&mut self, now: Micros, from: ProcessId, epoch: Epoch) -> bool {
        if epoch < self.view.epoch {
            self.send_view(from);
            return false;
        }
        if epoch != self.view.epoch {
            let latest_epoch = self.latest_epoch;
            self.send(from, Message::JoinRequest { from: self.me, latest_epoch });
            return false;
        }
        // In the bootstrap view, a process that has just started does not vote yet: it may have voted before
        // a restart.
        let ready = !self.view.is_bootstrap() || now >= self.started_at + self.settings.bootstrap_timeout;
        ready && self.is_voter(self.me) && self.is_voter(from)
    }

    fn handle_lease_release(&mut self, now: Micros, from: ProcessId, epoch: Epoch, ballot: Ballot) {
        if epoch == self.view.epoch && self.voter.release_lease(from, ballot) {
            let delay = self.rank() * self.settings.heartbeat_interval / RELEASE_STAGGER_STEPS_PER_HEARTBEAT;
            self.candidate.schedule_campaign(now, delay);
        }
    }

    /// As a candidate or leader: counts a vote from a voter of the current view, and ignores any other.
    fn handle_vote(&mut self, now: Micros, from: ProcessId, epoch: Epoch, vote: Vote) {
        if epoch == self.view.epoch && self.is_voter(from) {
            self.count_vote(now, from, vote);
        }
    }
}
