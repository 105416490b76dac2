//! Failover of jobs: when a scheduler is lost, one other scheduler takes over each job that it owned.
//!
//! **Invariant.** For each job at most one scheduler may start attempts in any [`OwnershipEpoch`],
//! and no scheduler starts an attempt that the job's class forbids, given all attempts of earlier epochs.
//!
//! # Roles
//!
//! A job is identified by its tenant, class and `Idempotency-Key` ([`JobKey`]). The *coordinator*
//! of a key is the member that ranks first by rendezvous hashing, so all processes with the same
//! member list agree on it. A process that receives a job from a client asks the coordinator for it
//! ([`Message::ClaimRequest`]). The coordinator grants the job to one *owner* at a time, or replies
//! that another process owns it, or replies with its outcome. The coordinator and further *replicas*
//! (in another zone where there is one) hold the job's record: its payload, attempts and outcome. If
//! the job's class forbids some repeats, an attempt is sent only after the replicas have acknowledged
//! its record. A process that takes the job over can therefore tell "never sent" from "may have run"
//! without relying on clocks.
//!
//! # Member lists
//!
//! A new member list invalidates all messages of the previous one. Owners report their jobs and their
//! discarded claims to the new coordinators, replicas report the jobs that have ended and those whose
//! owners are gone, and each member then sends [`Message::ReportComplete`]. Until all members of its
//! list have sent that, a coordinator grants nothing, acknowledges nothing and takes nothing over;
//! once they have, it has received everything that was acknowledged under an older list. It then takes
//! over the jobs without an owner, and each of them starts once its replicas have acknowledged the
//! takeover. A former owner that resumes is rejected, because the record has a newer ownership epoch.
//!
//! Member lists and member leases are those of `brackenledge-leases`. While an owner's lease lasts, every
//! member list includes it, so no other process has taken its jobs over: it may start the attempts that
//! were acknowledged, and answer clients. A pause between the lease check and the action does no harm:
//! the attempt is on record, so a process that takes the job over counts it as one that may have run;
//! and a client that has submitted the job elsewhere in the meantime does not receive the late answer.
//!
//! # Messages
//!
//! Links between processes are sessions ([`Session`]), which deliver each message once and in order. A
//! message is lost only if its sender or its receiver ends; a new member list without that process
//! follows. A message of an older term than the receiver's is dropped, and one of a newer term is
//! deferred until the receiver has applied that list.
//!
//! | message | lost with | consequence | if late |
//! | --- | --- | --- | --- |
//! | `ClaimRequest` | coordinator | claimed again under the new list | discarded if no client waits |
//! | `ClaimGranted`, `OwnedElsewhere` | coordinator | claimed again under the new list | dropped |
//! | `CapacityExceeded`, `Ack` | coordinator | claimed again under the new list | dropped |
//! | `OutcomeNotice` | coordinator | claimed again under the new list | valid: an outcome is final |
//! | `ReportOwned`, `ReportOrphaned` | sender | the new list excludes it | dropped, and sent again |
//! | `ReportComplete` | sender | the new list excludes it | dropped, and sent again |
//! | `Replicate` | replica | another under the new list or after [`Settings::replica_timeout`] | dropped |
//! | `AttemptStarted` | owner | unacknowledged, so the attempt was not sent | dropped, and reported again |
//! | `JobFinished` | owner | taken over with its other jobs | dropped, and reported again |
//! | `Discard` | owner | taken over with its other jobs | dropped, and sent again |
//! | `Discard` | coordinator | sent again under each new list until the deadline | dropped, and sent again |
//! | `TransferOwnership` | owner | taken over with its other jobs | dropped |
//! | `OwnershipRevoked` | coordinator | the next coordinator revokes again | dropped |
//!
//! # Limits
//!
//! A record is lost when its owner and all replicas that had acknowledged it are lost between two
//! member lists; if its client submits the job again, it runs as a new job. A job without a key has
//! no record. Records outlive the job's deadline, but no job is taken over after its deadline. The
//! caller's clock must advance while the process is stopped. The age of an attempt known from another
//! process's snapshot is an upper bound. This crate does no I/O, reads no clock and uses no randomness.

mod client_job;
mod command;
mod coordinator;
mod counters;
mod discarded_claims;
mod frame;
mod job_key;
mod job_owner;
mod job_record;
mod member_list;
mod message;
mod replica;
mod session;
mod settings;

pub use brackenledge_leases::{Members, Micros, ProcessId, Term};
pub use command::{Command, Event, JobSubmission, Waiter};
pub use counters::{Counters, RecordCounts};
pub use frame::{Frame, FrameError, MAX_FRAME_LEN};
pub use job_key::JobKey;
pub use job_record::{
    AttemptRecord, AttemptSnapshot, Execution, JobOutcome, JobRecord, OwnershipEpoch, PriorExecution,
    RecordSnapshot,
};
pub use message::Message;
pub use session::{Session, SessionError};
pub use settings::Settings;

use client_job::ClientJob;
use coordinator::{DeferredClaim, ReportedJob};
use discarded_claims::DiscardedClaims;
use replica::ReplicaRecord;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The interval between scans for timeouts while jobs or unacknowledged records are held, and while there are
/// none.
const BUSY_SCAN_INTERVAL: Micros = 20_000;
const IDLE_SCAN_INTERVAL: Micros = 250_000;
/// `Retry-After`, in milliseconds, for a job that could not be replicated or that its owner rejected.
const RETRY_AFTER_MS: u32 = 500;
/// Maximum number of deferred messages of newer terms; only a faulty process sends more.
const MAX_DEFERRED_MESSAGES: usize = 65_536;

/// A message of a newer term, kept until the member list of that term is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DeferredMessage {
    from: ProcessId,
    message: Message,
}

/// The failover state of one process: owner of its clients' jobs, coordinator of some keys, replica of other
/// jobs.
///
/// The driver passes in submissions, attempts, outcomes, messages, member lists and the time, and executes
/// the commands that [`Failover::poll_command`] returns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Failover {
    local: ProcessId,
    settings: Settings,
    /// The schedulers' zones, by ordinal.
    zones: BTreeMap<u16, u32>,
    /// The term of the member list in force.
    term: Term,
    /// The members on that list.
    members: Members,
    /// Ordinals of the members whose reports under this list are complete.
    reported: BTreeSet<u16>,
    /// Whether the reports of all members are complete.
    all_reported: bool,
    /// When the local member lease expires; 0 if this process holds none.
    lease_expiry: Micros,
    /// The latest expiry of any member lease that this process has held.
    latest_lease_expiry: Micros,
    /// Jobs that local clients wait for, and jobs that this process owns.
    jobs: BTreeMap<JobKey, ClientJob>,
    /// Records held as coordinator or replica.
    replicas: BTreeMap<JobKey, ReplicaRecord>,
    replica_bytes: usize,
    /// Keys of the coordinated records that some replicas have not acknowledged yet.
    awaiting_replicas: BTreeSet<JobKey>,
    /// Number of ownerships granted as coordinator under this list.
    grant_count: u32,
    /// The number of the last local claim.
    last_claim_id: u64,
    /// Claims received before all reports were complete.
    deferred_claims: VecDeque<DeferredClaim>,
    /// Jobs that members have reported as their own under this list.
    reported_jobs: Vec<ReportedJob>,
    deferred_messages: VecDeque<DeferredMessage>,
    /// Discarded local claims of which replicas may still hold a record.
    discarded_claims: DiscardedClaims,
    /// Ordinals of peers that read too slowly to coordinate further jobs.
    lagging_peers: BTreeSet<u16>,
    /// Messages from this process to itself, handled within the same call.
    loopback: VecDeque<Message>,
    commands: VecDeque<Command>,
    last_scan: Micros,
    last_sweep: Micros,
    counters: Counters,
}

impl Failover {
    /// Creates the state of a process that holds no jobs and is not a member yet.
    pub fn new(local: ProcessId, zone: u32, settings: Settings) -> Failover {
        Failover {
            local,
            settings,
            zones: BTreeMap::from([(local.ordinal, zone)]),
            term: Term::default(),
            members: Members::default(),
            reported: BTreeSet::new(),
            all_reported: false,
            lease_expiry: 0,
            latest_lease_expiry: 0,
            jobs: BTreeMap::new(),
            replicas: BTreeMap::new(),
            replica_bytes: 0,
            awaiting_replicas: BTreeSet::new(),
            grant_count: 0,
            last_claim_id: 0,
            deferred_claims: VecDeque::new(),
            reported_jobs: Vec::new(),
            deferred_messages: VecDeque::new(),
            discarded_claims: DiscardedClaims::default(),
            lagging_peers: BTreeSet::new(),
            loopback: VecDeque::new(),
            commands: VecDeque::new(),
            last_scan: 0,
            last_sweep: 0,
            counters: Counters::default(),
        }
    }

    /// Sets the zone of another scheduler; replicas are placed across zones.
    pub fn set_zone(&mut self, ordinal: u16, zone: u32) {
        self.zones.insert(ordinal, zone);
    }

    /// Sets whether a peer reads more slowly than messages are sent to it. No further jobs are claimed at a
    /// lagging peer.
    pub fn set_peer_lagging(&mut self, ordinal: u16, lagging: bool) {
        if lagging {
            self.lagging_peers.insert(ordinal);
        } else {
            self.lagging_peers.remove(&ordinal);
        }
    }

    /// Returns the next command for the driver, or `None` when there are no more.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// The time at which [`Failover::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Micros {
        let idle = self.jobs.is_empty() && self.awaiting_replicas.is_empty();
        self.last_scan + if idle { IDLE_SCAN_INTERVAL } else { BUSY_SCAN_INTERVAL }
    }

    /// Handles the timeouts that are due; does nothing before [`Failover::next_timeout`].
    pub fn handle_timeout(&mut self, now: Micros) {
        if now < self.next_timeout() {
            return;
        }
        self.last_scan = now;
        self.handle_job_timeouts(now);
        self.handle_replica_timeouts(now);
        self.deliver_loopback(now);
    }

    /// Handles a message from another process, as its session delivered it.
    pub fn handle_message(&mut self, now: Micros, from: ProcessId, message: Message) {
        self.receive(now, from, message);
        self.deliver_loopback(now);
    }

    /// Handles a message of the current term, defers one of a newer term, and drops any other.
    fn receive(&mut self, now: Micros, from: ProcessId, message: Message) {
        match message.term() {
            Some(term) if term > self.term => {
                if self.deferred_messages.len() < MAX_DEFERRED_MESSAGES {
                    self.deferred_messages.push_back(DeferredMessage { from, message });
                }
            }
            Some(term) if term < self.term || !self.is_listed(from) || !self.is_member() => {
                self.counters.stale_messages += 1;
            }
            _ => self.dispatch_message(now, from, message),
        }
    }

    fn dispatch_message(&mut self, now: Micros, from: ProcessId, message: Message) {
        match message {
            Message::ClaimRequest { record, .. } => self.handle_claim_request(now, from, record),
            Message::ClaimGranted { key, claim_id, ownership_epoch, version, .. } => {
                let grant = job_owner::Grant { claim_id, ownership_epoch, version };
                self.handle_claim_granted(now, from, key, grant);
            }
            Message::OwnedElsewhere { key, claim_id, .. } => {
                self.handle_owned_elsewhere(from, key, claim_id);
            }
            Message::OutcomeNotice { key, outcome } => self.handle_outcome_notice(key, outcome),
            Message::CapacityExceeded { key, claim_id, .. } => {
                self.handle_capacity_exceeded(from, key, claim_id);
            }
            Message::ReportOwned { record, .. } => self.handle_report_owned(now, from, record),
            Message::ReportOrphaned { record, .. } => self.handle_report_orphaned(now, record),
            Message::Replicate { record, .. } => self.handle_replicate(now, from, record),
            Message::AttemptStarted { .. } => self.handle_attempt_started(now, from, message),
            Message::JobFinished { .. } => self.handle_job_finished(now, from, message),
            Message::Discard { key, claim_id, .. } => self.handle_discard(from, key, claim_id),
            Message::TransferOwnership { key, claim_id, .. } => {
                self.handle_transfer_ownership(now, from, key, claim_id);
            }
            Message::Ack { key, claim_id, version, .. } => self.handle_ack(now, from, key, claim_id, version),
            Message::OwnershipRevoked { key, claim_id, .. } => {
                self.handle_ownership_revoked(now, from, key, claim_id);
            }
            Message::ReportComplete { .. } => self.handle_report_complete(now, from),
        }
    }

    /// Handles the messages that this process has sent to itself, and those that they cause it to send to
    /// itself.
    fn deliver_loopback(&mut self, now: Micros) {
        while let Some(message) = self.loopback.pop_front() {
            self.receive(now, self.local, message);
        }
    }

    fn send(&mut self, to: ProcessId, message: Message) {
        self.send_with(to, message, true);
    }

    /// Sends a message that may wait for a batch.
    fn send_batched(&mut self, to: ProcessId, message: Message) {
        self.send_with(to, message, false);
    }

    fn send_with(&mut self, to: ProcessId, message: Message, urgent: bool) {
        if to == self.local {
            self.loopback.push_back(message);
        } else {
            self.commands.push_back(Command::Send { to, message, urgent });
        }
    }

    fn emit(&mut self, event: Event) {
        self.commands.push_back(Command::Event(event));
    }
}
