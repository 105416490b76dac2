//! Changes of the view: bootstrap of the first view, choice of the next view by Paxos, and abandonment of a
//! view.

use crate::candidate::Proposal;
use crate::heartbeat::ViewUpdate;
use crate::voter::{Vote, Voter};
use crate::{Ballot, Epoch, Event, KnownLeader, LeaseManager, Message, Micros, ProcessId, View};

/// A view that has at least this many voters is not replaced by one that has fewer than this many.
const MIN_VOTERS: usize = 3;

/// The largest odd number up to `count`; 0 if `count` is 0.
fn largest_odd_up_to(count: usize) -> usize {
    count - usize::from(count.is_multiple_of(2) && count > 1)
}

impl LeaseManager {
    /// Abandons a view that has no leader and no majority of live voters: it can no longer elect a leader or
    /// choose a next view.
    pub(crate) fn abandon_dead_view(&mut self, now: Micros) {
        let abandon_at = self.last_leader_contact + self.settings.view_abandon_timeout;
        if self.view.is_bootstrap() || now < abandon_at || self.is_leader(now) {
            return;
        }
        let live_voters =
            self.view.voters.iter().filter(|voter| self.alive_members.contains(**voter)).count();
        if live_voters >= self.quorum() {
            return;
        }
        let epoch = self.view.epoch;
        self.emit(Event::ViewAbandoned { epoch, live_voters });
        self.abandoned_epoch = self.abandoned_epoch.max(epoch);
        self.enter_view(now, View::default());
        // Like a process that has just started, this one waits for messages of others before it votes.
        self.started_at = now;
        self.next_join_request_at = now;
    }

    /// Enters a view with a new voter state: nothing is promised, accepted or granted in it yet.
    fn enter_view(&mut self, now: Micros, view: View) {
        self.view = view;
        self.voter = Voter::default();
        self.last_leader_contact = now;
        self.latest_epoch = self.latest_epoch.max(self.view.epoch);
        self.known_leader = None;
        // The leader campaigns in the new view at once: its lease of the previous view stays valid until it
        // expires, and only the voters of the new view can renew it. Any other process waits first.
        let pause = if self.is_leader(now) { 0 } else { self.settings.heartbeat_interval };
        self.candidate.enter_view(now + pause);
    }

    /// Enters a view that another process has announced, if it is later than the current view and has not
    /// been abandoned.
    pub(crate) fn follow_view(&mut self, now: Micros, view: View, leader: Option<ProcessId>) {
        if view.epoch <= self.view.epoch || view.epoch <= self.abandoned_epoch {
            return;
        }
        self.emit(Event::ViewEntered(view.clone()));
        let first = self.view.is_bootstrap() && view.epoch.number == 1;
        self.enter_view(now, view);
        if !first {
            // The view's leader may still hold a lease that was granted in the previous view.
            self.refuse_lease_grants(now, leader);
        }
    }

    /// Refuses to grant the leader's lease, except to `holder`, until a lease granted in the previous view
    /// must have expired.
    fn refuse_lease_grants(&mut self, now: Micros, holder: Option<ProcessId>) {
        let until = now + self.settings.grantor_duration(self.settings.lease_duration);
        self.voter.refuse_grants_until(until, holder);
    }

    /// The first view of a bootstrap. Its voters are chosen from the processes that promised.
    pub(crate) fn first_view(&self, mut voters: Vec<ProcessId>) -> View {
        let count = largest_odd_up_to(self.settings.voters.min(voters.len()));
        voters.sort_by_key(|voter| (voter.ordinal != self.me.ordinal, voter.ordinal));
        voters.truncate(count);
        voters.sort();
        let era = self.started_unix_seconds.max(self.latest_epoch.era.saturating_add(1));
        View { epoch: Epoch { era, number: 1 }, voters }
    }

    /// Proposes the next view if the voters are to change, or repeats the current proposal.
    pub(crate) fn propose_next_view(&mut self, now: Micros) {
        let proposal = self.candidate.campaign.as_ref().and_then(|campaign| campaign.proposal.as_ref());
        let proposed = proposal.map(|proposal| proposal.view.clone());
        if self.view.is_bootstrap() {
            if let Some(view) = proposed {
                self.propose(now, view);
            }
            return;
        }
        // Only the holder of the lease proposes: concurrent proposers would reject each other's ballots.
        if !self.is_leader(now) {
            return;
        }
        if let Some(view) = proposed.or_else(|| self.target_view()) {
            self.propose(now, view);
        }
    }

    /// The next view, if the voters are to change. Live members replace voters that are gone. The number of
    /// voters is odd and at most [`Settings::voters`](crate::Settings::voters). It does not drop below
    /// [`MIN_VOTERS`] if the current view has that many.
    fn target_view(&self) -> Option<View> {
        let current = &self.view.voters;
        let mut voters: Vec<ProcessId> =
            current.iter().copied().filter(|voter| self.alive_members.contains(*voter)).collect();
        let mut spare: Vec<ProcessId> =
            self.alive_members.iter().filter(|process| !voters.contains(process)).collect();
        let count = largest_odd_up_to(self.settings.voters.min(self.alive_members.len()));
        if count < current.len().min(MIN_VOTERS) {
            // There are too few live members to replace the voters that are gone, so these remain voters.
            return None;
        }
        spare.truncate(count.saturating_sub(voters.len()));
        voters.extend(spare);
        voters.sort_by_key(|voter| (*voter != self.me, voter.ordinal));
        voters.truncate(count);
        voters.sort();
        let same = voters.len() == current.len() && voters.iter().all(|voter| current.contains(voter));
        if same { None } else { Some(View { epoch: self.view.epoch.successor()?, voters }) }
    }

    pub(crate) fn propose(&mut self, now: Micros, view: View) {
        let Some(campaign) = self.candidate.elected_campaign() else { return };
        let ballot = campaign.ballot;
        if campaign.proposal.as_ref().is_none_or(|proposal| proposal.view != view) {
            campaign.proposal = Some(Proposal { view: view.clone(), accepted_by: Vec::new() });
        }
        let (from, epoch, next_view) = (self.me, self.view.epoch, view.clone());
        self.send_to_voters(Message::Accept { from, epoch, ballot, next_view });
        let own_vote = self.voter.vote_on_view(self.me, ballot, view);
        // A rejection by this process itself is ignored: the other voters may still form a majority.
        if matches!(own_vote, Vote::Accepted { .. }) {
            self.count_vote(now, self.me, own_vote);
        }
    }

    pub(crate) fn handle_accepted(&mut self, now: Micros, from: ProcessId, ballot: Ballot) {
        let quorum = self.quorum();
        let Some(campaign) = self.candidate.elected_campaign().filter(|campaign| campaign.ballot == ballot)
        else {
            return;
        };
        let Some(Proposal { view, accepted_by }) = &mut campaign.proposal else { return };
        if !accepted_by.iter().any(|voter| voter.ordinal == from.ordinal) {
            accepted_by.push(from);
        }
        if accepted_by.len() >= quorum {
            let view = view.clone();
            self.enter_chosen_view(now, view);
        }
    }

    fn enter_chosen_view(&mut self, now: Micros, view: View) {
        self.emit(Event::ViewChosen(view.clone()));
        self.enter_view(now, view);
        // This process's lease of the previous view is still valid, so only this process may be granted the
        // lease in the new view until the old one expires.
        if self.is_leader(now) {
            self.refuse_lease_grants(now, Some(self.me));
        }
        // This process has not been elected in the new view yet, so there is no ballot.
        let leader = KnownLeader { process: self.me, ballot: Ballot::default() };
        let update = ViewUpdate { view: self.view.clone(), leader: Some(leader), role_grants: Vec::new() };
        self.broadcast(update.into_message(self.me));
        // The next call of `handle_timeout` starts an election in the new view, after the update has been
        // sent to the others.
        self.candidate.next_step_at = now + 1;
    }
}
