//! I/O driver for the state machines of the crates `membership` and `leases`: passes received datagrams to
//! them and executes their commands.
//!
//! **Invariants.** A role's message is sent only while this process holds the role's lease, and is accepted
//! only if the receiver knows no later term of that role. A later epoch is stored before the next lease
//! message is sent.
//!
//! The clock is CLOCK_BOOTTIME, which also advances while the process is stopped or the machine is suspended.
//! If the process is paused between a lease check and the action that depends on it, the action may come
//! after the lease has expired; receivers that know a later term reject it.

mod admin;
mod datagram;
mod events;
pub mod roles;
mod settings;

pub use self::datagram::Received;

use self::datagram::{DatagramKind, decode_fenced};
use super::epoch_store::{EpochStore, EpochStoreError};
use super::event_loop::Millis;
use super::peer_socket::{MAX_DATAGRAM_LENGTH, PeerSocket};
use brackenledge_leases::{
    ActiveMemberEstimate, Command, FencingGuard, FencingToken, LeaseManager, MemberList, Message, Micros,
    Role, RoleGrant, Term,
};
use brackenledge_membership::{Command as MembershipCommand, Membership, ProcessId, SwimConfig};
use brackenledge_policy::split_aggregated_loads;
use brackenledge_protocol::operations::Operations;
use slog::Logger;
use std::time::{SystemTime, UNIX_EPOCH};

/// A process that superseded this one counts as gone once no datagram addressed to it has arrived here for
/// this long, in microseconds. Longer than membership takes to declare a member down.
const SUPERSEDED_TIMEOUT: Micros = 15_000_000;

/// Upper limit of the delay that [`Cluster::handle_timeout`] returns, in milliseconds.
const MAX_TIMEOUT: Millis = 1_000.0;
/// Lower limit of that delay, in milliseconds. Nothing is due sooner, since each call handles everything that
/// is due.
const MIN_TIMEOUT: Millis = 1.0;

/// Current time in microseconds of CLOCK_BOOTTIME, which includes time stopped or suspended.
pub fn micros() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000
}

fn millis(micros: Micros) -> Millis {
    micros as Millis / 1_000.0
}

/// Why a process can't participate in its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The epoch store in the state directory can't be opened.
    #[error("tier.state_dir: {0}")]
    StateDirectory(#[from] EpochStoreError),
}

/// Membership and leases of this process, with the state that their driver needs.
pub struct Cluster {
    membership: Membership,
    leases: LeaseManager,
    fencing_guard: FencingGuard,
    active_members: ActiveMemberEstimate,
    /// The last estimate returned by [`Cluster::take_active_member_change`]; the size of the cluster before
    /// that.
    reported_active_members: usize,
    /// Absent if operators configured no state directory.
    epoch_store: Option<EpochStore>,
    /// Whether the last write to the store failed. A failure is logged only when this changes to `true`.
    epoch_store_failing: bool,
    /// Aggregated loads that were computed here but not sent, since this process did not hold the
    /// aggregator's lease.
    withheld_aggregates: u64,
    malformed_datagrams: u64,
    /// When a datagram addressed to the successor (the process that superseded this one) last arrived here
    /// or, before the first, when the successor was detected; `None` while this process is not superseded.
    successor_seen_at: Option<Micros>,
    leaving: bool,
    ordinal: u16,
    cluster_size: usize,
    operations: Operations,
    seed: u64,
}

impl Cluster {
    /// Creates the state of a process that has just started. `seed` is for the random choices of membership.
    pub fn new(
        ordinal: u16,
        cluster_size: usize,
        operations: &Operations,
        seed: u64,
    ) -> Result<Cluster, ClusterError> {
        let directory = operations.cluster.state_dir.as_deref();
        let epoch_store = directory.map(|directory| EpochStore::open(directory, ordinal)).transpose()?;
        Ok(Cluster::with_epoch_store(epoch_store, ordinal, cluster_size, operations, seed))
    }

    fn with_epoch_store(
        epoch_store: Option<EpochStore>,
        ordinal: u16,
        cluster_size: usize,
        operations: &Operations,
        seed: u64,
    ) -> Cluster {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let me = ProcessId { ordinal, incarnation: unix.as_millis() as u64 };
        let others = (0..cluster_size as u16).filter(|&other| other != me.ordinal).collect();
        let swim_config = SwimConfig::for_cluster_size(cluster_size);
        let now = micros();
        let settings = settings::lease_settings(cluster_size as u16, operations);
        let mut leases = LeaseManager::new(now, me, unix.as_secs() as u32, settings);
        if let Some(store) = &epoch_store {
            leases.restore_epoch(store.stored());
        }
        // Within this time each process has either received the latest member list, which is sent with
        // heartbeats, or heard from no leader for so long that it assumes the whole cluster to be active.
        let settle_time = settings.bootstrap_timeout + settings.heartbeat_interval;
        Cluster {
            membership: Membership::new(millis(now), me, others, &swim_config, seed),
            leases,
            fencing_guard: FencingGuard::default(),
            active_members: ActiveMemberEstimate::new(cluster_size, settle_time),
            reported_active_members: cluster_size,
            epoch_store,
            epoch_store_failing: false,
            withheld_aggregates: 0,
            malformed_datagrams: 0,
            successor_seen_at: None,
            leaving: false,
            ordinal,
            cluster_size,
            operations: operations.clone(),
            seed,
        }
    }

    /// Rejoins the cluster as a newly started process, after the process that superseded this one is gone.
    fn rejoin(&mut self, log: &Logger) {
        let store = self.epoch_store.take();
        let fresh =
            Cluster::with_epoch_store(store, self.ordinal, self.cluster_size, &self.operations, self.seed);
        *self = Cluster {
            withheld_aggregates: self.withheld_aggregates,
            malformed_datagrams: self.malformed_datagrams,
            fencing_guard: std::mem::take(&mut self.fencing_guard),
            // The engine keeps using this value until the next change is reported.
            reported_active_members: self.reported_active_members,
            ..fresh
        };
        events::process_rejoined(log);
    }

    /// Handles a datagram from the scheduler `from`. Returns `None` if its kind is not one of
    /// [`DatagramKind`].
    pub fn handle_message(&mut self, from: u16, datagram: &[u8]) -> Option<Received> {
        let (kind, payload) = DatagramKind::split(datagram)?;
        match kind {
            DatagramKind::Membership => self.handle_membership_message(payload),
            DatagramKind::Leases => self.handle_lease_message(from, payload),
            DatagramKind::Fenced => return Some(self.handle_fenced_message(from, payload)),
            DatagramKind::ZoneReport => return Some(Received::ZoneReport(payload.to_vec())),
        }
        Some(Received::Handled)
    }

    fn handle_membership_message(&mut self, bytes: &[u8]) {
        let now = micros();
        if self.successor_seen_at.is_none() {
            self.membership.handle_message(millis(now), bytes);
        } else if self.membership.is_for_newer_incarnation(bytes) {
            self.successor_seen_at = Some(now);
        }
    }

    fn handle_lease_message(&mut self, from: u16, bytes: &[u8]) {
        let Ok(message) = Message::decode(bytes) else {
            self.malformed_datagrams += 1;
            return;
        };
        if let Message::ViewUpdate { role_grants, leader, from, .. } = &message
            && *leader == Some(*from)
        {
            for &RoleGrant { role, term, holder } in role_grants {
                self.fencing_guard.observe(role, term, holder);
            }
        }
        self.leases.handle_message(micros(), from, message);
    }

    fn handle_fenced_message(&mut self, from: u16, bytes: &[u8]) -> Received {
        let Some((token, received)) = decode_fenced(from, bytes) else {
            self.malformed_datagrams += 1;
            return Received::Handled;
        };
        match self.fencing_guard.accept(token.role, token.term, token.holder) {
            Ok(()) => received,
            Err(_) => Received::Handled,
        }
    }

    /// Handles all due timeouts. Returns the delay until the next call, in milliseconds.
    pub fn handle_timeout(&mut self, socket: &PeerSocket, log: &Logger) -> Millis {
        let now = micros();
        if let Some(last) = self.successor_seen_at {
            if now < last + SUPERSEDED_TIMEOUT || self.leaving {
                return MAX_TIMEOUT;
            }
            self.rejoin(log);
        }
        self.membership.handle_timeout(millis(now));
        self.execute_commands(socket, log);
        self.leases.handle_timeout(now);
        self.execute_commands(socket, log);
        let next = self.membership.next_timeout().min(millis(self.leases.next_timeout(now)));
        (next - millis(now)).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Executes the pending commands of membership and leases.
    pub fn execute_commands(&mut self, socket: &PeerSocket, log: &Logger) {
        let mut members_changed = false;
        while let Some(command) = self.membership.poll_command() {
            members_changed |=
                matches!(command, MembershipCommand::MemberUp(_) | MembershipCommand::MemberDown(_));
            self.execute_membership_command(command, socket, log);
        }
        if members_changed {
            self.leases.set_alive_members(self.membership.active_members());
        }
        while let Some(command) = self.leases.poll_command() {
            self.execute_lease_command(command, socket, log);
        }
    }

    fn execute_membership_command(&mut self, command: MembershipCommand, socket: &PeerSocket, log: &Logger) {
        match command {
            MembershipCommand::Send { to, bytes } => {
                DatagramKind::Membership.send_to(socket, to, &bytes);
            }
            MembershipCommand::MemberUp(process) => events::member_up(log, process),
            MembershipCommand::MemberDown(process) => events::member_down(log, process),
            MembershipCommand::Superseded => {
                events::process_superseded(log);
                self.leases.leave(micros());
                self.successor_seen_at = Some(micros());
            }
        }
    }

    fn execute_lease_command(&mut self, command: Command, socket: &PeerSocket, log: &Logger) {
        match command {
            Command::Send { to, message } => {
                if self.store_epoch(log) {
                    DatagramKind::Leases.send_to(socket, to, &message.encode());
                }
            }
            Command::Broadcast(message) => {
                if self.store_epoch(log) {
                    DatagramKind::Leases.broadcast(socket, &message.encode());
                }
            }
            Command::RoleLeaseChanged { role, term } => {
                events::role_lease_changed(log, role, term);
                if let Some(known) = self.leases.role_holder(role) {
                    self.fencing_guard.observe(role, known.term, known.holder);
                }
            }
            Command::Event(event) => events::lease_event(log, event),
        }
    }

    /// Stores the latest epoch if there is a state directory. Returns whether lease messages may be sent: a
    /// process that can't store its epoch must not participate in leases, but continues to serve jobs.
    fn store_epoch(&mut self, log: &Logger) -> bool {
        let Some(store) = &mut self.epoch_store else { return true };
        let stored = store.store(self.leases.latest_epoch());
        let failed = stored.is_err();
        if let Err(error) = stored
            && !self.epoch_store_failing
        {
            events::epoch_store_failed(log, &error);
        }
        self.epoch_store_failing = failed;
        !failed
    }

    /// Updates the estimated number of schedulers that share the workers. Returns it if it has changed.
    pub fn take_active_member_change(&mut self) -> Option<u32> {
        let now = micros();
        let listed =
            if self.successor_seen_at.is_some() { None } else { self.leases.active_member_count(now) };
        let count = self.active_members.update(now, listed);
        let previous = std::mem::replace(&mut self.reported_active_members, count);
        (previous != count).then_some(count as u32)
    }

    /// Leaves the cluster at the start of a graceful shutdown: releases all leases except the member lease,
    /// and announces the departure to the other members.
    pub fn leave(&mut self, socket: &PeerSocket, log: &Logger) {
        let now = micros();
        self.leaving = true;
        self.leases.leave(now);
        self.membership.leave(millis(now));
        self.execute_commands(socket, log);
    }

    /// Releases the member lease. Called once this process starts no more attempts.
    pub fn release_member_lease(&mut self, socket: &PeerSocket, log: &Logger) {
        self.leases.release_member_lease();
        self.execute_commands(socket, log);
    }

    /// The identity of this process: its ordinal and its current incarnation.
    pub fn me(&self) -> ProcessId {
        self.membership.me()
    }

    /// The last member list received from a leader.
    pub fn member_list(&self) -> &MemberList {
        self.leases.member_list()
    }

    /// When this process's member lease expires; until then the process is guaranteed to be in the member
    /// list. `None` if this process holds no member lease.
    pub fn member_lease(&self) -> Option<Micros> {
        self.leases.member_lease(micros())
    }

    /// The term under which this process currently holds a role, if it does.
    pub fn holds_lease(&self, role: Role) -> Option<Term> {
        self.leases.holds_lease(micros(), role)
    }

    /// The holder of a role, to this process's knowledge; `None` if it knows of none.
    pub fn role_holder(&self, role: Role) -> Option<ProcessId> {
        let own = self.holds_lease(role).map(|_| self.me());
        own.or_else(|| self.leases.role_holder(role).map(|known| known.holder))
    }

    /// Sends aggregated loads to all other schedulers if this process currently holds the aggregator's lease.
    pub fn broadcast_aggregated_loads(&mut self, socket: &PeerSocket, text: &str) {
        let Some(term) = self.holds_lease(roles::AGGREGATOR) else {
            self.withheld_aggregates += 1;
            return;
        };
        // The first byte of the datagram is its kind.
        let max_length = MAX_DATAGRAM_LENGTH - 1 - FencingToken::MAX_ENCODED_LENGTH;
        for part in split_aggregated_loads(text, max_length) {
            self.broadcast_fenced(socket, roles::AGGREGATOR, term, part.as_bytes());
        }
    }

    /// Sends a message as the holder of `role` to all other schedulers. `term` must have just been returned
    /// by [`Cluster::holds_lease`].
    pub fn broadcast_fenced(&self, socket: &PeerSocket, role: Role, term: Term, payload: &[u8]) {
        let token = FencingToken { holder: self.me(), role, term };
        DatagramKind::Fenced.broadcast(socket, &token.encode_message(payload));
    }

    /// Sends a zone load report to the zone planner.
    pub fn send_zone_report(&self, socket: &PeerSocket, planner: ProcessId, report: &[u8]) {
        DatagramKind::ZoneReport.send_to(socket, planner.ordinal, report);
    }
}

#[cfg(test)]
mod tests;
