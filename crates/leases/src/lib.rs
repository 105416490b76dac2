//! Leader election and role leases: at most one holder of each role of a cluster at any time.
//!
//! **The invariant.** No two processes act in a role under the same term. Whoever has accepted a fenced message of a term
//! accepts none of an older one. And while no clock drifts by more than [`Settings::clock_drift_divisor`] allows, no two
//! processes believe at the same time that they hold the same role.
//!
//! A *view* names three or five voters. A voter is a process (ordinal and incarnation), so one that has lost its memory is
//! no voter. The next view is chosen by Paxos among the voters of the last one (L. Lamport, "Paxos made simple", 2001), so
//! there is at most one for each epoch. In a view one process, the *leader*, holds a lease of a majority of the voters and
//! renews it while it lives (after M. Trencseni, A. Gazso, H. Reinhardt, "PaxosLease: diskless Paxos for leases", 2012): a
//! voter that has granted the lease grants it to no other process until it is over by the voter's own clock. The leader
//! grants each role to one holder, for no longer than its own lease lasts. A term is (epoch, ballot, step): a new leader
//! has a higher ballot, since its majority shares a voter with the last one, and each grant to another holder has a
//! higher step.
//!
//! Times are the caller's, in microseconds on a clock that goes on while the process is stopped. A holder counts its lease
//! from its *request*; a grantor counts it from the *grant*, and longer by the drift allowed. So a late answer only
//! shortens a lease. [`LeaseManager::holds_lease`] is to be checked at the moment of each action. A pause between the
//! check and the action makes the action late; receivers reject it by its term ([`FencingGuard`]) once they know of a
//! newer one.
//!
//! | message | lost | repeated | late |
//! | --- | --- | --- | --- |
//! | `Prepare`, `LeaseRequest`, `Accept` | sent again after [`Settings::heartbeat_interval`] or earlier | granted again to the same process | rejected by its ballot or epoch, or blocks others for one lease, as one granted now would |
//! | `Promise`, `LeaseGrant`, `Accepted` | like a rejection | counted once for each voter | not counted: its ballot is over, or its lease counts from the request |
//! | `ViewUpdate`, `MemberListPart` | sent again with a later heartbeat | no change | older terms are ignored |
//! | `RoleLeaseRequest`, `RoleLeaseGrant` | sent again each heartbeat | no change | counted from the request |
//! | `LeaseRelease`, `RoleLeaseRelease` | the lease expires | no change | ignored: its ballot or term is over |
//! | `JoinRequest` | repeated | answered again | answered |
//! | `MemberLeaseRequest` | sent again each heartbeat | granted again | granted from now on: its sender is left out of the list so much later |
//! | `MemberLeaseGrant` | requested again each heartbeat | no change | ignored, or counted from the request |
//! | `MemberLeaseRelease` | the lease expires | no change | no change: a process that leaves requests no more |
//!
//! A member may also hold a *member lease*. If it does not renew it, the leader leaves it out of the member list until it
//! asks again. While the lease lasts by the member's own clock, no leader has made a list without it. So whatever others
//! do because of a list without that member comes after it has stopped by itself. A new leader does not know what the last
//! one granted. It leaves no member of the last list out for the length of one member lease, except the last leader,
//! whose member lease is its leader's lease. A process that joined so shortly before that the new leader did not know of
//! it is not covered by this.
//!
//! **Limits.** If a majority of all schedulers lose their memory at once, and only then, the cluster bootstraps again
//! ([`Settings::view_abandon_timeout`]). If all of these are cut off at that time from live voters, there are two leaders
//! under different epochs until the two sides meet, and terms decide. Processes are trusted, and known by nothing but
//! their addresses. No I/O, no clock, no randomness.

mod active_members;
mod candidate;
mod command;
mod dispatch;
mod election;
mod fencing;
mod heartbeat;
mod leader;
mod member_lease;
mod member_list;
mod members;
mod message;
mod role_leases;
mod settings;
mod status;
mod view;
mod view_change;
mod voter;

pub use active_members::ActiveMemberEstimate;
pub use brackenledge_membership::ProcessId;
pub use command::{Command, Event, LeadershipLoss};
pub use fencing::{FencingError, FencingGuard, FencingToken, RoleHolder};
pub use member_list::MemberList;
pub use members::Members;
pub use message::{AcceptedView, DecodeError, MAX_MESSAGE_LENGTH, Message, RoleGrant};
pub use settings::Settings;
pub use status::{RoleStatus, Status, ViewStatus};
pub use view::{Ballot, Epoch, Term, View};

use candidate::Candidate;
use leader::Leader;
use member_list::PartialMemberList;
use role_leases::RoleLeases;
use std::collections::VecDeque;
use voter::Voter;

/// Microseconds on the caller's clock, which goes on while the process is stopped.
pub type Micros = u64;

/// A role's number. What the roles are is the caller's concern.
pub type Role = u8;

/// The leader of the view, by its own last update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KnownLeader {
    process: ProcessId,
    ballot: Ballot,
}

/// One process's part in views, leader election and role leases: a state machine without I/O. Messages and time go in by
/// [`LeaseManager::handle_message`] and [`LeaseManager::handle_timeout`], commands come out by
/// [`LeaseManager::poll_command`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    me: ProcessId,
    settings: Settings,
    /// For the era of a cluster that bootstraps.
    started_unix_seconds: u32,
    started_at: Micros,
    /// Live members by membership, this process included.
    alive_members: Members,
    view: View,
    /// The latest epoch known. A cluster that bootstraps begins a later one.
    latest_epoch: Epoch,
    /// Views up to this one were abandoned: this process votes in them no more.
    abandoned_epoch: Epoch,
    last_leader_contact: Micros,
    known_leader: Option<KnownLeader>,
    voter: Voter,
    candidate: Candidate,
    leadership: Leader,
    role_leases: RoleLeases,
    member_list: MemberList,
    partial_member_list: PartialMemberList,
    next_join_request_at: Micros,
    /// Until when this process may count on being in the member list, if it is not the leader.
    member_lease_expires_at: Micros,
    member_lease_requested_at: Micros,
    leaving: bool,
    commands: VecDeque<Command>,
    /// Number of messages dropped, since their sender, epoch or ballot was impossible.
    pub dropped_messages: u64,
}

impl LeaseManager {
    /// A process that has just started and remembers nothing. `unix_seconds`: the time by the wall clock.
    pub fn new(now: Micros, me: ProcessId, unix_seconds: u32, settings: Settings) -> LeaseManager {
        LeaseManager {
            me,
            settings,
            started_unix_seconds: unix_seconds,
            started_at: now,
            alive_members: Members::default(),
            view: View::default(),
            latest_epoch: Epoch::default(),
            abandoned_epoch: Epoch::default(),
            last_leader_contact: now,
            known_leader: None,
            voter: Voter::default(),
            candidate: Candidate::default(),
            leadership: Leader::default(),
            role_leases: RoleLeases::new(now, settings.roles),
            member_list: MemberList::default(),
            partial_member_list: PartialMemberList::default(),
            next_join_request_at: now,
            member_lease_expires_at: 0,
            member_lease_requested_at: 0,
            leaving: false,
            commands: VecDeque::new(),
            dropped_messages: 0,
        }
    }

    /// A process that has just started in a view that others are in too. For models and tests, which need no bootstrap.
    pub fn in_view(now: Micros, me: ProcessId, settings: Settings, view: View) -> LeaseManager {
        let mut manager = LeaseManager::new(now, me, 1, settings);
        manager.latest_epoch = view.epoch;
        manager.view = view;
        manager
    }

    /// The latest epoch known. A caller that stores it must do so before it carries out any command that was given since
    /// it changed.
    pub fn latest_epoch(&self) -> Epoch {
        self.latest_epoch
    }

    /// Restores an epoch that an earlier process of this ordinal knew of: whatever this one bootstraps is later.
    pub fn restore_epoch(&mut self, epoch: Epoch) {
        self.latest_epoch = self.latest_epoch.max(epoch);
    }

    /// This process.
    pub fn me(&self) -> ProcessId {
        self.me
    }

    /// Sets the live members, as membership knows them.
    pub fn set_alive_members(&mut self, members: impl IntoIterator<Item = ProcessId>) {
        self.alive_members = members.into_iter().collect();
        self.alive_members.insert(self.me);
    }

    /// The term under which this process holds a role at this moment, if it does. To be checked before each action.
    pub fn holds_lease(&self, now: Micros, role: Role) -> Option<Term> {
        self.role_leases.held_term(now, role)
    }

    /// The leader's last member list: all processes that have received it agree on it.
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// Until when, by its own clock, this process may count on being in the member list: no leader has made one without
    /// it before that. `None`: no longer.
    pub fn member_lease(&self, now: Micros) -> Option<Micros> {
        let as_leader = self.leadership.lease(now).map(|lease| lease.expires_at);
        as_leader.max(Some(self.member_lease_expires_at)).filter(|&expires_at| now < expires_at)
    }

    /// Length of the member list, if this process is on it and heard from its leader lately.
    pub fn active_member_count(&self, now: Micros) -> Option<usize> {
        let recent = now < self.last_leader_contact + self.settings.bootstrap_timeout;
        let listed = self.member_list.members.contains(self.me) && !self.view.is_bootstrap();
        let leader_known = recent || self.is_leader(now);
        (leader_known && listed).then_some(self.member_list.members.len())
    }

    /// The view, if the cluster has one.
    pub fn view(&self) -> Option<&View> {
        (!self.view.is_bootstrap()).then_some(&self.view)
    }

    /// Whether this process is the leader at this moment.
    pub fn is_leader(&self, now: Micros) -> bool {
        self.leadership.lease(now).is_some()
    }

    /// What the caller is to do next.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`LeaseManager::handle_timeout`] is to be called next.
    pub fn next_timeout(&self, now: Micros) -> Micros {
        let abandon_at = self.last_leader_contact + self.settings.view_abandon_timeout;
        let timeouts = [
            self.next_join_request_at,
            self.next_election_timeout(),
            self.role_leases.next_timeout(),
            abandon_at,
        ];
        let latest = now + self.settings.heartbeat_interval;
        timeouts.into_iter().filter(|&at| at > now).min().unwrap_or(latest).min(latest)
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.leaving {
            return;
        }
        self.abandon_dead_view(now);
        self.request_to_join(now);
        self.expire_role_leases(now);
        self.campaign(now);
        self.request_role_leases(now);
        self.request_member_lease(now);
    }

    /// Gives the member lease back: nothing that this process does has to be waited for any more.
    pub fn release_member_lease(&mut self) {
        self.member_lease_expires_at = 0;
        // Twice: a lost release costs the others a lease.
        self.broadcast(Message::MemberLeaseRelease { from: self.me });
        self.broadcast(Message::MemberLeaseRelease { from: self.me });
    }

    /// Stops on purpose. All leases but the member lease are given back at once, so that nobody has to wait for their
    /// end.
    pub fn leave(&mut self, now: Micros) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        for (role, term) in self.role_leases.release_all() {
            if let Some(leader) = self.known_leader.filter(|leader| leader.process != self.me) {
                self.send(leader.process, Message::RoleLeaseRelease { from: self.me, role, term });
            }
            self.commands.push_back(Command::RoleLeaseChanged { role, term: None });
        }
        if let Some(ballot) = self.resign(now) {
            let epoch = self.view.epoch;
            // Twice: a lost release costs the others a lease.
            self.broadcast(Message::LeaseRelease { from: self.me, epoch, ballot });
            self.broadcast(Message::LeaseRelease { from: self.me, epoch, ballot });
        }
    }

    /// Looks for a view, if that is due.
    fn request_to_join(&mut self, now: Micros) {
        if self.view.is_bootstrap() && now >= self.next_join_request_at {
            self.next_join_request_at = now + self.settings.heartbeat_interval;
            self.broadcast(Message::JoinRequest { from: self.me, latest_epoch: self.latest_epoch });
        }
    }

    /// Whether a process is a voter of the view.
    fn is_voter(&self, process: ProcessId) -> bool {
        if self.view.is_bootstrap() {
            process.ordinal < self.settings.cluster_size
        } else {
            self.view.voters.contains(&process)
        }
    }

    /// The size of a majority of the voters.
    fn quorum(&self) -> usize {
        let voters = if self.view.is_bootstrap() {
            usize::from(self.settings.cluster_size)
        } else {
            self.view.voters.len()
        };
        voters / 2 + 1
    }

    /// Number of voters, or of live members in the bootstrap view, with lower ordinals: for turns.
    fn rank(&self) -> u64 {
        let before = |ordinal: u16| ordinal < self.me.ordinal;
        let count = if self.view.is_bootstrap() {
            self.alive_members.ordinals().filter(|&ordinal| before(ordinal)).count()
        } else {
            self.view.voters.iter().filter(|voter| before(voter.ordinal)).count()
        };
        count as u64
    }

    fn send(&mut self, to: ProcessId, message: Message) {
        if to == self.me {
            // This process's own votes are counted in the same step, and never queued.
            debug_assert!(false, "message to itself: {message:?}");
            return;
        }
        self.commands.push_back(Command::Send { to: to.ordinal, message });
    }

    fn broadcast(&mut self, message: Message) {
        self.commands.push_back(Command::Broadcast(message));
    }

    fn send_to_voters(&mut self, message: Message) {
        if self.view.is_bootstrap() {
            self.broadcast(message);
            return;
        }
        let others: Vec<ProcessId> =
            self.view.voters.iter().copied().filter(|&voter| voter != self.me).collect();
        for voter in others {
            self.send(voter, message.clone());
        }
    }

    fn emit(&mut self, event: Event) {
        self.commands.push_back(Command::Event(event));
    }
}
