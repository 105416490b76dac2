//! Jobs survive the loss of the scheduler that owns them: another scheduler takes them over, once.
//!
//! **The invariant.** For each job at most one scheduler may start attempts in any [`OwnershipEpoch`], and none starts
//! one that the job's class forbids given all attempts of earlier epochs.
//!
//! # Roles
//!
//! A job is identified by its tenant, class and `Idempotency-Key` ([`JobKey`]). The *coordinator* of a key is the first
//! of the member list by rendezvous hashing, so that all who know the list agree on it. A process to which a client
//! submits a job asks its coordinator ([`Message::ClaimRequest`]). The coordinator grants the job to one *owner* at a
//! time, or replies that another process owns it, or what its outcome was. The coordinator and further *replicas* (in
//! another zone where there is one) hold the job's record: its payload, attempts and outcome. Before an attempt leaves
//! whose class forbids some repeats, replicas have acknowledged its record; so whoever takes the job over can tell
//! "never sent" from "may have run" without a clock.
//!
//! # Member lists
//!
//! A new member list invalidates all messages of the last one. Owners report their jobs and the claims that they have
//! discarded to the new coordinators, replicas report the jobs that have ended and those whose owners are gone, and each
//! member then sends [`Message::ReportComplete`]. A coordinator grants nothing, acknowledges nothing and takes nothing over before all
//! members of its list have sent that: by then it has received whatever was acknowledged under an older list. Then it
//! takes over the jobs without an owner; each starts once its replicas have acknowledged that. A former owner that
//! resumes is refused, for the record has a newer ownership epoch.
//!
//! Member lists and member leases are those of `brackenledge-leases`. While an owner's lease lasts there is no member
//! list without it, so nobody has taken its jobs over: it may start the attempts that were acknowledged, and answer
//! clients. A pause between that check and the action does no harm: the attempt has been recorded, so whoever takes over
//! counts it as one that may have run; and a client that went elsewhere meanwhile does not get the late answer.
//!
//! # Messages
//!
//! Links are sessions ([`Session`]): a message arrives once and in order, unless its receiver or sender has ended.
//!
//! | message | lost, repeated | late |
//! | --- | --- | --- |
//! | all below | only with a process: sessions deliver exactly once | of an older term: dropped; of a newer one than ours: deferred until we have that list |
//! | `ClaimRequest` | sent again under each new list | discarded for a client that has disconnected |
//! | `ClaimGranted`, `OwnedElsewhere`, `CapacityExceeded`, `Ack` | with the coordinator: a new list follows, under which all claims are sent again | dropped |
//! | `OutcomeNotice` | claimed again under each new list | the outcome of a job does not change |
//! | `ReportOwned`, `ReportOrphaned`, `ReportComplete` | with their sender: a new list follows without it | dropped, as they are sent again under the next list |
//! | `Replicate` | with the replica: another is chosen under the next list, or after [`Settings::replica_timeout`] | dropped |
//! | `AttemptStarted`, `JobFinished` | with the owner: what was not acknowledged to it has not been done | dropped; reported again under the new list |
//! | `Discard` | with the owner: taken over with the rest; with the coordinator: sent again under each new list until the deadline | dropped, as it is sent again |
//! | `TransferOwnership` | with the owner: taken over with the rest | dropped |
//! | `OwnershipRevoked` | with the coordinator: the next one revokes it again | dropped |
//!
//! # Limits
//!
//! A record is lost when its owner and all replicas that had acknowledged it are lost between two member lists; its
//! client's next submission then runs as a new job. A job without a key has no record. Records outlive the job's
//! deadline, and nothing is taken over after that. Clocks count stopped time. An attempt is taken to be older than it
//! may be where it is known from another process's snapshot. No I/O, no clock, no randomness.

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

/// The interval between scans for timeouts while jobs are held, and while there are none.
const BUSY_SCAN_INTERVAL: Micros = 20_000;
const IDLE_SCAN_INTERVAL: Micros = 250_000;
/// `Retry-After`, in milliseconds, of a job that could not be replicated or whose owner rejected it.
const RETRY_AFTER_MS: u32 = 500;
/// Most messages of future terms that are deferred; only a faulty process sends more.
const MAX_DEFERRED_MESSAGES: usize = 65_536;

/// A message of a term that has not been applied yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DeferredMessage {
    from: ProcessId,
    message: Message,
}

/// The state machine of one process: owner of its clients' jobs, coordinator of some keys, replica of other jobs.
///
/// The driver feeds it with submissions, attempts, outcomes, messages, member lists and the time, and carries out what
/// [`Failover::poll_command`] returns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Failover {
    local: ProcessId,
    settings: Settings,
    /// Zones of the schedulers, by ordinal.
    zones: BTreeMap<u16, u32>,
    /// The term of the member list in force.
    term: Term,
    /// Its members.
    members: Members,
    /// Members whose reports under this list are complete.
    reported: BTreeSet<u16>,
    /// All members' reports are complete.
    all_reported: bool,
    /// When our member lease expires.
    lease_expiry: Micros,
    /// The latest expiry of any lease that we have had.
    latest_lease_expiry: Micros,
    /// Jobs of our clients, and jobs that we own.
    jobs: BTreeMap<JobKey, ClientJob>,
    /// Records that we hold as coordinator or replica.
    replicas: BTreeMap<JobKey, ReplicaRecord>,
    replica_bytes: usize,
    /// Records of which replicas owe us an acknowledgement.
    awaiting_replicas: BTreeSet<JobKey>,
    /// Counts the jobs that we granted as coordinator under this list.
    grant_count: u32,
    /// The number of our last claim.
    last_claim_id: u64,
    /// Claims received before all reports were complete.
    deferred_claims: VecDeque<DeferredClaim>,
    /// Jobs that members have reported to own under this list.
    reported_jobs: Vec<ReportedJob>,
    deferred_messages: VecDeque<DeferredMessage>,
    /// Claims of ours of which replicas may still hold a record.
    discarded_claims: DiscardedClaims,
    /// Peers that read too slowly to be given more jobs.
    lagging_peers: BTreeSet<u16>,
    /// Messages from this process to itself, handled within the same call.
    loopback: VecDeque<Message>,
    commands: VecDeque<Command>,
    last_scan: Micros,
    last_sweep: Micros,
    counters: Counters,
}

impl Failover {
    /// A process that holds no jobs and is not a member yet.
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

    /// Sets the zone of another scheduler.
    pub fn set_zone(&mut self, ordinal: u16, zone: u32) {
        self.zones.insert(ordinal, zone);
    }

    /// Sets whether a peer reads more slowly than messages are sent to it: it then coordinates no further jobs of ours.
    pub fn set_peer_lagging(&mut self, ordinal: u16, lagging: bool) {
        if lagging {
            self.lagging_peers.insert(ordinal);
        } else {
            self.lagging_peers.remove(&ordinal);
        }
    }

    /// The next command for the driver.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`Failover::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Micros {
        let idle = self.jobs.is_empty() && self.awaiting_replicas.is_empty();
        self.last_scan + if idle { IDLE_SCAN_INTERVAL } else { BUSY_SCAN_INTERVAL }
    }

    /// Handles what is due by now.
    pub fn handle_timeout(&mut self, now: Micros) {
        if now < self.next_timeout() {
            return;
        }
        self.last_scan = now;
        self.handle_claim_timeouts(now);
        self.handle_replica_timeouts(now);
        self.deliver_loopback(now);
    }

    /// Handles a message from another process.
    pub fn handle_message(&mut self, now: Micros, from: ProcessId, message: Message) {
        self.receive(now, from, message);
        self.deliver_loopback(now);
    }

    /// Handles a message of the current term, defers one of a later term, and drops any other.
    fn receive(&mut self, now: Micros, from: ProcessId, message: Message) {
        match message.term() {
            Some(term) if term > self.term => {
                if self.deferred_messages.len() < MAX_DEFERRED_MESSAGES {
                    self.deferred_messages.push_back(DeferredMessage { from, message });
                }
            }
            Some(term) if term < self.term || !self.lists(from) || !self.is_member() => {
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

    /// Handles the messages that this process has sent to itself, and those that it sends in return.
    fn deliver_loopback(&mut self, now: Micros) {
        while let Some(message) = self.loopback.pop_front() {
            self.receive(now, self.local, message);
        }
    }

    fn send(&mut self, to: ProcessId, message: Message) {
        self.send_with(to, message, true);
    }

    /// Sends a message that may be batched.
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
