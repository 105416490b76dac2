//! Incoming messages: what every one is checked for, and which handler takes it.

use crate::{Ballot, Epoch, LeaseManager, Message, Micros, ProcessId};

/// The previous leader's release lets voters begin campaigns in turn, by so many parts of a heartbeat interval.
const RELEASE_TURNS_PER_HEARTBEAT: Micros = 8;

impl LeaseManager {
    /// Handles a message. `from` is the ordinal of the scheduler whose address it came from.
    pub fn handle_message(&mut self, now: Micros, from: u16, message: Message) {
        if self.leaving && !self.needed_while_leaving(&message) {
            return;
        }
        if message.from().ordinal != from || from == self.me.ordinal {
            self.dropped_messages += 1;
            return;
        }
        match message {
            Message::JoinRequest { from, latest_epoch } => self.handle_join_request(now, from, latest_epoch),
            Message::Prepare { .. } | Message::LeaseRequest { .. } | Message::Accept { .. } => {
                self.handle_voter_request(now, message);
            }
            Message::LeaseRelease { from, epoch, ballot } => {
                self.handle_lease_release(now, from, epoch, ballot);
            }
            Message::Promise { .. }
            | Message::Reject { .. }
            | Message::LeaseGrant { .. }
            | Message::Accepted { .. } => self.handle_vote(now, message),
            Message::ViewUpdate { from, view, leader, ballot, role_grants } => {
                self.handle_view_update(now, from, view, leader, ballot, role_grants);
            }
            Message::MemberListPart { from, term, part, parts, members } => {
                self.handle_member_list_part(from, term, part, parts, members);
            }
            Message::RoleLeaseRequest { .. }
            | Message::RoleLeaseGrant { .. }
            | Message::RoleLeaseRelease { .. } => self.handle_role_lease_message(now, message),
            Message::MemberLeaseRequest { from, requested_at } => {
                self.handle_member_lease_request(now, from, requested_at);
            }
            Message::MemberLeaseGrant { from, requested_at, duration } => {
                self.handle_member_lease_grant(now, from, requested_at, duration);
            }
            Message::MemberLeaseRelease { from } => self.leadership.release_member(from),
        }
    }

    /// A process that leaves does nothing more for others, but may still be in the member list and must know in which
    /// one.
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

    /// As a voter: answers a candidate or a leader.
    fn handle_voter_request(&mut self, now: Micros, message: Message) {
        let from = message.from();
        let vote = match message {
            Message::Prepare { epoch, ballot, .. } if self.may_vote(now, from, epoch) => {
                let vote = self.vote_on_prepare(now, from, ballot);
                if matches!(vote, Message::Promise { .. }) {
                    self.defer_to_candidate(now);
                }
                vote
            }
            Message::LeaseRequest { epoch, ballot, requested_at, .. } if self.may_vote(now, from, epoch) => {
                self.vote_on_lease(now, from, ballot, requested_at)
            }
            Message::Accept { epoch, ballot, next_view, .. } if self.may_vote(now, from, epoch) => {
                self.vote_on_view(from, ballot, next_view)
            }
            _ => return,
        };
        self.send(from, vote);
    }

    /// Whether this process votes in the view in which another one asks. A process that is behind is told of the view,
    /// and asked for it if this one is behind.
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
        // In the bootstrap view a process that has just started listens first: it may have voted before its restart.
        let ready = !self.view.is_bootstrap() || now >= self.started_at + self.settings.bootstrap_timeout;
        ready && self.is_voter(self.me) && self.is_voter(from)
    }

    fn handle_lease_release(&mut self, now: Micros, from: ProcessId, epoch: Epoch, ballot: Ballot) {
        if epoch == self.view.epoch && self.voter.release_lease(from, ballot) {
            let delay = self.rank() * self.settings.heartbeat_interval / RELEASE_TURNS_PER_HEARTBEAT;
            self.leadership.schedule_campaign(now, delay);
        }
    }

    /// As a candidate or leader: counts a voter's answer.
    fn handle_vote(&mut self, now: Micros, message: Message) {
        match message {
            Message::Promise { from, epoch, ballot, accepted } if self.counts_vote(from, epoch) => {
                self.handle_promise(now, from, ballot, accepted);
            }
            Message::Reject { from, epoch, promised, lease_remaining } if self.counts_vote(from, epoch) => {
                self.handle_reject(now, promised, lease_remaining);
            }
            Message::LeaseGrant { from, epoch, ballot, requested_at } if self.counts_vote(from, epoch) => {
                self.handle_lease_grant(now, from, ballot, requested_at);
            }
            Message::Accepted { from, epoch, ballot } if self.counts_vote(from, epoch) => {
                self.handle_accepted(now, from, ballot);
            }
            _ => {}
        }
    }

    fn counts_vote(&self, from: ProcessId, epoch: Epoch) -> bool {
        epoch == self.view.epoch && self.is_voter(from)
    }

    fn handle_role_lease_message(&mut self, now: Micros, message: Message) {
        match message {
            Message::RoleLeaseRequest { from, role, requested_at } => {
                self.handle_role_lease_request(now, from, role, requested_at);
            }
            Message::RoleLeaseGrant { from, role, term, requested_at, duration } => {
                self.handle_role_lease_grant(now, from, role, term, requested_at, duration);
            }
            Message::RoleLeaseRelease { from, role, term } => {
                self.handle_role_lease_release(now, from, role, term);
            }
            _ => {}
        }
    }
}
