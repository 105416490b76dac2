//! Leader election and role leases: each role of a cluster has at most one holder at any time.
//!
//! **Invariants.** No two processes act in a role under the same term. A receiver that has accepted a fenced
//! message of a term rejects messages of older terms. While no clock drifts by more than
//! [`Settings::clock_drift_divisor`] allows, no two processes consider themselves the holder of the same role
//! at the same time.
//!
//! A *view* names three or five voters. A voter is identified by ordinal and incarnation, so a process that
//! has restarted, and thereby lost its state, is no longer a voter. The voters of a view choose the next view
//! by Paxos (L. Lamport, "Paxos made simple", 2001), so there is at most one view for each epoch. In each
//! view one process, the *leader*, holds a lease granted by a majority of the voters and renews it while it
//! runs (after M. Trencseni, A. Gazso, H. Reinhardt, "PaxosLease: diskless Paxos for leases", 2012): a voter
//! that has granted the lease grants it to no other process until it has expired by the voter's own clock.
//! The leader grants each role to one holder, for no longer than its own lease lasts. A term is (epoch,
//! ballot, step): a new leader has a higher ballot, since its majority shares a voter with that of the
//! previous leader, and each grant to another holder has a higher step.
//!
//! Times are passed in by the caller, in microseconds on a clock that keeps running while the process is
//! stopped. A holder counts its lease from its *request*; a grantor counts it from the *grant*, and longer by
//! the allowed drift. A late answer therefore only shortens a lease. Check [`LeaseManager::holds_lease`]
//! immediately before each action. A pause between the check and the action makes the action late; receivers
//! reject it by its term ([`FencingGuard`]) once they know of a newer one.
//!
//! | message | if lost | if repeated | if late |
//! | --- | --- | --- | --- |
//! | `Prepare`, `LeaseRequest`, `Accept` | resent after [`Settings::heartbeat_interval`] or earlier | granted again to the same process | rejected by its ballot or epoch; otherwise blocks other candidates for one lease duration, like a lease granted on time |
//! | `Promise`, `LeaseGrant`, `Accepted` | same effect as a rejection | counted once for each voter | not counted: its ballot is outdated, or its lease, counted from the request, has expired |
//! | `ViewUpdate`, `MemberListPart` | resent with a later heartbeat | no effect | older terms are ignored |
//! | `RoleLeaseRequest`, `RoleLeaseGrant` | resent with each heartbeat | no effect | the lease counts from the request |
//! | `LeaseRelease`, `RoleLeaseRelease` | the lease expires | no effect | ignored: its ballot or term is outdated |
//! | `JoinRequest` | repeated | answered again | answered |
//! | `MemberLeaseRequest` | resent with each heartbeat | granted again | granted from its arrival: the sender stays in the list that much longer |
//! | `MemberLeaseGrant` | requested again with each heartbeat | no effect | ignored, or the lease counts from the request |
//! | `MemberLeaseRelease` | the lease expires | no effect | no effect: a process that leaves sends no further requests |
//!
//! A member may also hold a *member lease*. If the member does not renew it, the leader removes it from the
//! member list until it requests a lease again. While the lease lasts by the member's own clock, no leader
//! has published a list without it. Actions that others take because a list lacks that member therefore happen
//! after the member has stopped by itself. A new leader does not know which leases its predecessor granted,
//! so it keeps every member of the last list for the length of one member lease, except the previous leader,
//! whose member lease is its leader's lease. This does not cover a process that joined so recently that the
//! new leader does not know of it.
//!
//! **Limits.** The cluster bootstraps again if, and only if, a majority of all schedulers lose their state at
//! once ([`Settings::view_abandon_timeout`]). If all of these are cut off from the live voters at that time,
//! there are two leaders under different epochs until the partition heals; the terms then decide between
//! them. Processes are trusted, and identified only by their addresses. The crate uses no I/O, no clock and
//! no randomness.

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

/// Microseconds on the caller's clock, which keeps running while the process is stopped.
pub type Micros = u64;

/// Number of a role. The caller defines what each role does.
pub type Role = u8;

/// A leader and the ballot under which it was elected. The ballot is the default one if the leader has
/// entered the view but has not been elected in it yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KnownLeader {
    process: ProcessId,
    ballot: Ballot,
}

/// State machine of one process for views, leader election and role leases. It does no I/O: messages and time
/// are passed to [`LeaseManager::handle_message`] and [`LeaseManager::handle_timeout`], and
/// [`LeaseManager::poll_command`] returns the commands to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    me: ProcessId,
    settings: Settings,
    /// Unix time of the start in seconds. A bootstrap uses it as the era, or the latest known era plus
    /// 1 if that is higher.
    started_unix_seconds: u32,
    started_at: Micros,
    /// Processes that membership reports as alive, including this one.
    alive_members: Members,
    view: View,
    /// The latest epoch known. A bootstrap starts a later one.
    latest_epoch: Epoch,
    /// Views up to this epoch were abandoned: this process no longer votes in them.
    abandoned_epoch: Epoch,
    /// When this process last received an update from the view's leader or, as the leader, sent one. Before
    /// that: when it started or entered the view.
    last_leader_contact: Micros,
    /// Leader of the current view by its own announcement, or this process once it holds the lease. `None` if
    /// none is known in this view yet. Kept after the leader's lease has expired.
    known_leader: Option<KnownLeader>,
    voter: Voter,
    candidate: Candidate,
    leadership: Leader,
    role_leases: RoleLeases,
    member_list: MemberList,
    partial_member_list: PartialMemberList,
    next_join_request_at: Micros,
    /// When the member lease granted to this process expires. 0 if it holds none.
    member_lease_expires_at: Micros,
    member_lease_requested_at: Micros,
    leaving: bool,
    commands: VecDeque<Command>,
    /// Number of messages dropped because their sender or their content was invalid.
    pub dropped_messages: u64,
}

impl LeaseManager {
    /// A process that has just started, without any state of an earlier run. `unix_seconds` is the wall-clock
    /// time.
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

    /// A process that starts in a given view, for models and tests that skip the bootstrap.
    pub fn in_view(now: Micros, me: ProcessId, settings: Settings, view: View) -> LeaseManager {
        let mut manager = LeaseManager::new(now, me, 1, settings);
        manager.latest_epoch = view.epoch;
        manager.view = view;
        manager
    }

    /// The latest epoch known. A caller that persists it must do so before it carries out any command
    /// returned after it changed.
    pub fn latest_epoch(&self) -> Epoch {
        self.latest_epoch
    }

    /// Restores an epoch that an earlier process of this ordinal has persisted, so that a bootstrap by this
    /// process starts a later one.
    pub fn restore_epoch(&mut self, epoch: Epoch) {
        self.latest_epoch = self.latest_epoch.max(epoch);
    }

    /// This process.
    pub fn me(&self) -> ProcessId {
        self.me
    }

    /// Sets the processes that membership reports as alive. This process is always included.
    pub fn set_alive_members(&mut self, members: impl IntoIterator<Item = ProcessId>) {
        self.alive_members = members.into_iter().collect();
        self.alive_members.insert(self.me);
    }

    /// The term under which this process holds a role at `now`, if it does. Check it before each action.
    pub fn holds_lease(&self, now: Micros, role: Role) -> Option<Term> {
        self.role_leases.held_term(now, role)
    }

    /// The last member list received, or made by this process as the leader. Lists of the same term are equal
    /// in all processes.
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// When this process's member lease expires, by its own clock: before that, no leader publishes a member
    /// list without it. `None` if it holds none. The leader's own lease counts as its member lease.
    pub fn member_lease(&self, now: Micros) -> Option<Micros> {
        let as_leader = self.leadership.lease(now).map(|lease| lease.expires_at);
        as_leader.max(Some(self.member_lease_expires_at)).filter(|&expires_at| now < expires_at)
    }

    /// Length of the member list. `None` if this process is not on it, or has had no update from the leader
    /// within [`Settings::bootstrap_timeout`].
    pub fn active_member_count(&self, now: Micros) -> Option<usize> {
        let recent = now < self.last_leader_contact + self.settings.bootstrap_timeout;
        let listed = self.member_list.members.contains(self.me) && !self.view.is_bootstrap();
        let leader_known = recent || self.is_leader(now);
        (leader_known && listed).then_some(self.member_list.members.len())
    }

    /// The current view. `None` if this process is in no view: it has not joined one or has abandoned it.
    pub fn view(&self) -> Option<&View> {
        (!self.view.is_bootstrap()).then_some(&self.view)
    }

    /// Whether this process holds the leader's lease at `now`.
    pub fn is_leader(&self, now: Micros) -> bool {
        self.leadership.lease(now).is_some()
    }

    /// Returns the next command for the caller to carry out, in order.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When to call [`LeaseManager::handle_timeout`] next: at most one heartbeat interval after `now`.
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

    /// Expires leases, and starts or repeats every request that is due at `now`.
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

    /// Gives the member lease back. Call it once this process has stopped all actions that the lease
    /// protects.
    pub fn release_member_lease(&mut self) {
        self.member_lease_expires_at = 0;
        // Sent twice: if the release is lost, the others have to wait until the lease expires.
        self.broadcast(Message::MemberLeaseRelease { from: self.me });
        self.broadcast(Message::MemberLeaseRelease { from: self.me });
    }

    /// Shuts down in an orderly way. Releases all leases except the member lease at once, so that the others
    /// need not wait until they expire.
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
            // Sent twice: if the release is lost, the others have to wait until the lease expires.
            self.broadcast(Message::LeaseRelease { from: self.me, epoch, ballot });
            self.broadcast(Message::LeaseRelease { from: self.me, epoch, ballot });
        }
    }

    /// Asks the other processes for the current view, if this one knows none and a request is due.
    fn request_to_join(&mut self, now: Micros) {
        if self.view.is_bootstrap() && now >= self.next_join_request_at {
            self.next_join_request_at = now + self.settings.heartbeat_interval;
            self.broadcast(Message::JoinRequest { from: self.me, latest_epoch: self.latest_epoch });
        }
    }

    /// In the bootstrap view, every scheduler of the cluster is a voter.
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

    /// Number of voters, or of live members in the bootstrap view, with lower ordinals. Staggers the
    /// candidates.
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
            // This process counts its own votes directly, without a message.
            debug_assert!(false, "message addressed to its own sender: {message:?}");
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
