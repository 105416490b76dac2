//! Membership and leases on sockets: the driver of the crates `membership` and `leases`. It executes their commands, and
//! hands them their datagrams.
//!
//! **Invariants.** A message in a role is sent only under a role lease that is held at that moment, and accepted only if
//! no later term of the role is known. A later epoch is stored before the next message of `leases` is sent.
//!
//! The clock is CLOCK_BOOTTIME, which counts the time that the process was stopped and that the machine slept. A pause
//! between the check of a lease and an action makes the action late; receivers reject it by its term.

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

/// A newer process of the same ordinal is taken for gone if no datagram addressed to it has arrived for so long. Longer
/// than membership takes to declare it down.
const SUPERSEDED_TIMEOUT: Micros = 15_000_000;

/// Upper limit of the time until [`Cluster::handle_timeout`] is to be called again, in milliseconds.
const MAX_TIMEOUT: Millis = 1_000.0;
/// Lower limit of that time. Nothing else is due at once, since one call does all that is due.
const MIN_TIMEOUT: Millis = 1.0;

/// Microseconds on a clock that goes on while the process is stopped or the machine sleeps.
pub fn micros() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000
}

fn millis(micros: Micros) -> Millis {
    micros as Millis / 1_000.0
}

/// Why a process can't take part in its cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The state directory can't be used.
    #[error("tier.state_dir: {0}")]
    StateDirectory(#[from] EpochStoreError),
}

/// One process's membership and leases.
pub struct Cluster {
    membership: Membership,
    leases: LeaseManager,
    fencing_guard: FencingGuard,
    active_members: ActiveMemberEstimate,
    /// The estimate that [`Cluster::take_active_member_change`] returned last.
    reported_active_members: usize,
    epoch_store: Option<EpochStore>,
    /// The last write to the store failed, and the failure is in the log.
    epoch_store_failing: bool,
    /// Aggregated loads that were computed here and not sent, since another process is the aggregator.
    withheld_aggregates: u64,
    malformed_datagrams: u64,
    /// Where a newer process has this one's ordinal: when a datagram addressed to it last arrived here.
    superseded_at: Option<Micros>,
    leaving: bool,
    ordinal: u16,
    cluster_size: usize,
    operations: Operations,
    seed: u64,
}

impl Cluster {
    /// A process that has just started. `seed`: for membership's random choices.
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
        // Within this time each process has received the latest member list, which is sent with heartbeats, or has heard
        // from no leader for so long that it counts the whole cluster.
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
            superseded_at: None,
            leaving: false,
            ordinal,
            cluster_size,
            operations: operations.clone(),
            seed,
        }
    }

    /// Takes part again, as a process that has just started, once the newer one of the same ordinal is gone.
    fn rejoin(&mut self, log: &Logger) {
        let store = self.epoch_store.take();
        let fresh =
            Cluster::with_epoch_store(store, self.ordinal, self.cluster_size, &self.operations, self.seed);
        *self = Cluster {
            withheld_aggregates: self.withheld_aggregates,
            malformed_datagrams: self.malformed_datagrams,
            fencing_guard: std::mem::take(&mut self.fencing_guard),
            // What the engine uses until the next change is reported.
            reported_active_members: self.reported_active_members,
            ..fresh
        };
        events::process_rejoined(log);
    }

    /// Handles a datagram of the scheduler `from`. `None`: its kind is not one of [`DatagramKind`].
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
        if self.superseded_at.is_none() {
            self.membership.handle_message(millis(now), bytes);
        } else if self.membership.is_for_newer_incarnation(bytes) {
            self.superseded_at = Some(now);
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

    /// Does what is due. Returns the time until something is due again.
    pub fn handle_timeout(&mut self, socket: &PeerSocket, log: &Logger) -> Millis {
        let now = micros();
        if let Some(last) = self.superseded_at {
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

    /// Executes the commands of membership and leases.
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
                self.superseded_at = Some(micros());
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

    /// Stores the latest epoch if there is a state directory. Returns whether lease messages may be sent: a process that
    /// can't store its epoch takes no part in leases, and goes on serving jobs.
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

    /// Updates the number of schedulers that share the workers. Returns it if it differs from the one returned last.
    pub fn take_active_member_change(&mut self) -> Option<u32> {
        let now = micros();
        let listed = if self.superseded_at.is_some() { None } else { self.leases.active_member_count(now) };
        let count = self.active_members.update(now, listed);
        let previous = std::mem::replace(&mut self.reported_active_members, count);
        (previous != count).then_some(count as u32)
    }

    /// Leaves the cluster at a graceful shutdown: gives all leases but the member lease back, and announces to the others
    /// that this process leaves.
    pub fn leave(&mut self, socket: &PeerSocket, log: &Logger) {
        let now = micros();
        self.leaving = true;
        self.leases.leave(now);
        self.membership.leave(millis(now));
        self.execute_commands(socket, log);
    }

    /// Gives the member lease back, once this process starts no attempts any more.
    pub fn release_member_lease(&mut self, socket: &PeerSocket, log: &Logger) {
        self.leases.release_member_lease();
        self.execute_commands(socket, log);
    }

    /// This process.
    pub fn me(&self) -> ProcessId {
        self.membership.me()
    }

    /// The leader's last member list.
    pub fn member_list(&self) -> &MemberList {
        self.leases.member_list()
    }

    /// When this process's member lease expires: until then it may count on being in the member list.
    pub fn member_lease(&self) -> Option<Micros> {
        self.leases.member_lease(micros())
    }

    /// The term under which this process holds a role at this moment.
    pub fn holds_lease(&self, role: Role) -> Option<Term> {
        self.leases.holds_lease(micros(), role)
    }

    /// The holder of a role as far as this process knows.
    pub fn role_holder(&self, role: Role) -> Option<ProcessId> {
        let own = self.holds_lease(role).map(|_| self.me());
        own.or_else(|| self.leases.role_holder(role).map(|known| known.holder))
    }

    /// Sends the aggregated loads to all other schedulers, if this process is the aggregator at this moment.
    pub fn broadcast_aggregated_loads(&mut self, socket: &PeerSocket, text: &str) {
        let Some(term) = self.holds_lease(roles::AGGREGATOR) else {
            self.withheld_aggregates += 1;
            return;
        };
        // One byte of the datagram states its kind.
        let max_length = MAX_DATAGRAM_LENGTH - 1 - FencingToken::MAX_ENCODED_LENGTH;
        for part in split_aggregated_loads(text, max_length) {
            self.broadcast_fenced(socket, roles::AGGREGATOR, term, part.as_bytes());
        }
    }

    /// Sends a message in a role to all other schedulers. `term`: what [`Cluster::holds_lease`] has just returned.
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
