//! Leader election: a candidate collects promises from a majority of the view's voters (Paxos phase 1), then
//! asks them for the leader's lease, and renews it for as long as it runs.

use crate::candidate::{Campaign, Proposal};
use crate::leader::LeaderLease;
use crate::voter::Vote;
use crate::{AcceptedView, Ballot, Event, LeadershipLoss, LeaseManager, Message, Micros, ProcessId, View};

/// A candidate repeats its requests this many times per heartbeat interval: at 30% message loss, about half
/// of the round trips fail.
const REQUESTS_PER_HEARTBEAT: Micros = 6;
/// Campaigns are staggered, and retries delayed, in steps of the heartbeat interval divided by this number.
const STAGGER_STEPS_PER_HEARTBEAT: Micros = 4;
/// Length of a campaign in heartbeat intervals, in addition to the stagger delay. A round trip may take
/// longer than one interval.
const HEARTBEATS_PER_CAMPAIGN: Micros = 2;
/// Heartbeat intervals without a message from the leader after which a voter begins a campaign.
pub(crate) const MISSED_HEARTBEATS: Micros = 2;

impl LeaseManager {
    /// Begins or continues a campaign, or renews the lease as the leader, if any of these is due.
    pub(crate) fn campaign(&mut self, now: Micros) {
        let leading = self.is_leader(now);
        if !leading && self.leadership.lease.take().is_some() {
            self.lose_leadership(now);
        }
        if leading && self.leadership.member_leases.next_expiry().is_some_and(|at| now >= at) {
            self.heartbeat(now);
        }
        if now < self.candidate.next_step_at || !self.is_voter(self.me) || self.too_early_to_bootstrap(now) {
            return;
        }
        if !leading && self.defer_to_leader(now) {
            return;
        }
        match &self.candidate.campaign {
            Some(campaign) if campaign.elected => self.continue_leadership(now, leading),
            // Requests or votes may have been lost.
            Some(campaign) if now < campaign.deadline => self.repeat_prepare(now, campaign.ballot),
            // Other candidates may compete for the same votes, so each retries after its own delay, with a
            // higher ballot.
            _ => self.begin_campaign(now),
        }
    }

    fn lose_leadership(&mut self, now: Micros) {
        self.role_leases.clear_grants();
        self.candidate.campaign = None;
        self.candidate.next_step_at = now + self.settings.heartbeat_interval;
        self.emit(Event::LeadershipLost(LeadershipLoss::LeaseExpired));
    }

    fn too_early_to_bootstrap(&self, now: Micros) -> bool {
        let waiting = now < self.started_at + self.settings.bootstrap_timeout;
        self.view.is_bootstrap() && (waiting || self.alive_members.len() < self.quorum())
    }

    /// Postpones the campaign while messages from the leader keep arriving. Returns whether it did.
    fn defer_to_leader(&mut self, now: Micros) -> bool {
        let interval = self.settings.heartbeat_interval;
        let leader_timeout_at = self.last_leader_contact + MISSED_HEARTBEATS * interval;
        if self.view.is_bootstrap() || self.known_leader.is_none() || now >= leader_timeout_at {
            return false;
        }
        self.candidate.next_step_at = leader_timeout_at + self.stagger_delay();
        true
    }

    /// A voter that has promised another candidate postpones its own campaign, so that the candidate has time
    /// to be elected and to request the lease. Does so only once between two campaigns of its own, since that
    /// candidate may be one that does not receive any answers.
    pub(crate) fn defer_to_candidate(&mut self, now: Micros) {
        if self.is_leader(now) || std::mem::replace(&mut self.candidate.deferred, true) {
            return;
        }
        self.candidate.campaign = None;
        let delay = MISSED_HEARTBEATS * self.settings.heartbeat_interval + self.stagger_delay();
        self.candidate.next_step_at = self.candidate.next_step_at.max(now + delay);
    }

    /// Delay of this voter's campaigns. It differs between voters, because candidates that begin at the same
    /// time split the votes.
    fn stagger_delay(&self) -> Micros {
        self.rank() * self.settings.heartbeat_interval / STAGGER_STEPS_PER_HEARTBEAT
    }

    /// When to repeat a request that has not been answered.
    fn retry_at(&self, now: Micros) -> Micros {
        now + self.settings.heartbeat_interval / REQUESTS_PER_HEARTBEAT
    }

    fn repeat_prepare(&mut self, now: Micros, ballot: Ballot) {
        self.candidate.next_step_at = self.retry_at(now);
        self.send_prepare(now, ballot);
    }

    /// Asks all voters for promises. A leader that has just entered another view requests the lease at the
    /// same time: the rest of its lease may be shorter than two round trips, and until it expires the
    /// voters grant the lease to no other process anyway.
    fn send_prepare(&mut self, now: Micros, ballot: Ballot) {
        self.send_to_voters(Message::Prepare { from: self.me, epoch: self.view.epoch, ballot });
        if self.is_leader(now) {
            self.send_lease_request(now, ballot);
        }
    }

    fn send_lease_request(&mut self, now: Micros, ballot: Ballot) {
        let epoch = self.view.epoch;
        self.send_to_voters(Message::LeaseRequest { from: self.me, epoch, ballot, requested_at: now });
    }

    fn begin_campaign(&mut self, now: Micros) {
        // The highest counter is taken from messages of other processes. If it is the maximum, no campaign is
        // possible until the view changes.
        let Some(counter) = self.candidate.highest_counter.checked_add(1) else {
            self.candidate.next_step_at = now + self.settings.heartbeat_interval;
            return;
        };
        self.candidate.highest_counter = counter;
        let ballot = Ballot { counter, proposer: self.me.ordinal };
        let deadline =
            now + HEARTBEATS_PER_CAMPAIGN * self.settings.heartbeat_interval + self.stagger_delay();
        self.candidate.campaign = Some(Campaign::new(ballot, deadline));
        self.candidate.deferred = false;
        self.candidate.next_step_at = self.retry_at(now);
        let own_vote = self.voter.vote_on_prepare(now, self.me, ballot);
        self.send_prepare(now, ballot);
        self.count_vote(now, self.me, own_vote);
    }

    /// Requests or renews the lease and, as the leader, proposes the next view and sends the heartbeat.
    fn continue_leadership(&mut self, now: Micros, leading: bool) {
        if leading && now < self.leadership.next_heartbeat_at {
            self.renew_short_lease(now);
            return;
        }
        self.leadership.next_heartbeat_at = now + self.settings.heartbeat_interval;
        // Until it holds the lease, an elected candidate requests it as often as it requested promises.
        self.candidate.next_step_at = if leading { self.next_leader_step(now) } else { self.retry_at(now) };
        self.renew_lease(now);
        self.propose_next_view(now);
        if self.is_leader(now) {
            self.heartbeat(now);
        }
    }

    /// Between two heartbeats: if grants were lost or are slow, requests the lease as often as a candidate
    /// does.
    fn renew_short_lease(&mut self, now: Micros) {
        if now >= self.lease_is_short_at() {
            self.renew_lease(now);
        }
        self.candidate.next_step_at = self.next_leader_step(now);
    }

    /// When the leader's next step is due: its next heartbeat, or a repeated lease request if its lease is
    /// short before then.
    fn next_leader_step(&self, now: Micros) -> Micros {
        self.leadership.next_heartbeat_at.min(self.retry_at(now).max(self.lease_is_short_at()))
    }

    /// When half of the lease duration is left.
    fn lease_is_short_at(&self) -> Micros {
        let expires_at = self.leadership.lease.map_or(0, |lease| lease.expires_at);
        expires_at.saturating_sub(self.settings.lease_duration / 2)
    }

    /// As a candidate or leader: counts a vote of another voter or of this process itself.
    pub(crate) fn count_vote(&mut self, now: Micros, from: ProcessId, vote: Vote) {
        match vote {
            Vote::Promise { ballot, accepted } => self.handle_promise(now, from, ballot, accepted),
            Vote::LeaseGrant { ballot, requested_at } => {
                self.handle_lease_grant(now, from, ballot, requested_at);
            }
            Vote::Accepted { ballot } => self.handle_accepted(now, from, ballot),
            Vote::Reject { promised, lease_remaining } => {
                self.handle_reject(now, promised, lease_remaining);
            }
        }
    }

    fn handle_promise(
        &mut self,
        now: Micros,
        from: ProcessId,
        ballot: Ballot,
        accepted: Option<AcceptedView>,
    ) {
        let quorum = self.quorum();
        let campaign = self.candidate.campaign.as_mut().filter(|campaign| campaign.ballot == ballot);
        let Some(campaign) = campaign else { return };
        // Each ordinal has one vote: a restarted process replaces its predecessor.
        campaign.promises.retain(|voter, _| voter.ordinal != from.ordinal || *voter == from);
        campaign.promises.insert(from, accepted);
        if campaign.elected || campaign.promises.len() < quorum {
            return;
        }
        campaign.elected = true;
        let voters: Vec<ProcessId> = campaign.promises.keys().copied().collect();
        let accepted = campaign.promises.values().flatten().max_by_key(|accepted| accepted.ballot);
        let view = accepted.map(|accepted| accepted.view.clone());
        self.begin_phase_two(now, voters, view);
    }

    /// Called when a majority, `voters`, has promised. `accepted` is the next view that any of them accepted
    /// under the highest ballot: it may already have been chosen, so no other view may be proposed.
    fn begin_phase_two(&mut self, now: Micros, voters: Vec<ProcessId>, accepted: Option<View>) {
        if self.view.is_bootstrap() {
            let view = accepted.unwrap_or_else(|| self.first_view(voters));
            self.propose(now, view);
            return;
        }
        if let (Some(view), Some(campaign)) = (accepted, &mut self.candidate.campaign) {
            campaign.proposal = Some(Proposal { view, accepted_by: Vec::new() });
        }
        // The proposal follows once the lease is held.
        self.renew_lease(now);
    }

    fn handle_reject(&mut self, now: Micros, promised: Ballot, lease_remaining: Micros) {
        let leading = self.is_leader(now);
        let stagger_delay = self.stagger_delay();
        let (settings, candidate) = (&self.settings, &mut self.candidate);
        candidate.highest_counter = candidate.highest_counter.max(promised.counter);
        let Some(campaign) = &candidate.campaign else { return };
        if promised > campaign.ballot {
            // Retries with a higher ballot. The leader does so at once, since it must renew its lease.
            let pause = settings.heartbeat_interval / STAGGER_STEPS_PER_HEARTBEAT;
            let delay = if leading { 0 } else { lease_remaining.min(settings.lease_duration) + pause };
            candidate.campaign = None;
            candidate.next_step_at = now + delay;
        } else if !campaign.elected && lease_remaining > 0 {
            // Staggered, since all voters learn at about the same time that the lease is free.
            candidate.campaign = None;
            candidate.next_step_at = now + lease_remaining.min(2 * settings.lease_duration) + stagger_delay;
        }
    }

    /// Requests the lease from all voters, starting at `now`.
    fn renew_lease(&mut self, now: Micros) {
        let Some(ballot) = self.candidate.elected_campaign().map(|campaign| campaign.ballot) else { return };
        if self.view.is_bootstrap() {
            return;
        }
        self.send_lease_request(now, ballot);
        let own_vote = self.voter.vote_on_lease(now, self.me, ballot, now, &self.settings);
        // A rejection by this process itself is ignored: the other voters may still form a majority.
        if matches!(own_vote, Vote::LeaseGrant { .. }) {
            self.count_vote(now, self.me, own_vote);
        }
    }

    fn handle_lease_grant(&mut self, now: Micros, from: ProcessId, ballot: Ballot, requested_at: Micros) {
        let (quorum, epoch) = (self.quorum(), self.view.epoch);
        let previous = self.leadership.lease(now);
        let campaign = self.candidate.campaign.as_mut().filter(|campaign| campaign.ballot == ballot);
        let Some(campaign) = campaign else { return };
        // The grant is invalid: this process cannot have sent a request later than now.
        if requested_at > now {
            return;
        }
        let last = campaign.lease_grants.entry(from).or_insert(requested_at);
        *last = requested_at.max(*last);
        if !campaign.elected {
            return;
        }
        let mut requests: Vec<Micros> = campaign.lease_grants.values().copied().collect();
        requests.sort_unstable_by(|a, b| b.cmp(a));
        // A majority has granted the lease from this request or a later one.
        let Some(granted_from) = requests.get(quorum - 1) else { return };
        let expires_at = granted_from + self.settings.holder_duration(self.settings.lease_duration);
        if expires_at <= now {
            return;
        }
        self.leadership.lease = Some(LeaderLease { epoch, ballot, expires_at });
        if previous.map(|lease| (lease.epoch, lease.ballot)) != Some((epoch, ballot)) {
            self.become_leader(now, ballot, previous.is_some());
        }
    }

    /// Called when this process obtains the lease under a new ballot or epoch.
    fn become_leader(&mut self, now: Micros, ballot: Ballot, led_before: bool) {
        if !led_before {
            // Role leases never outlast the lease of the leader that granted them, so all earlier grants have
            // expired.
            self.role_leases.clear_grants();
            self.inherit_member_leases(now, ballot);
            self.emit(Event::LeadershipAcquired(self.view.epoch));
        }
        self.known_leader = Some(crate::KnownLeader { process: self.me, ballot });
        self.last_leader_contact = now;
        self.leadership.member_list_broadcast.restart(now);
        self.propose_next_view(now);
        self.heartbeat(now);
        self.request_role_leases(now);
    }
}
