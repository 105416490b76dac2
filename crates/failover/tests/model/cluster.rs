//! The cluster as a model: processes with their records, what drives each, the network between them, and one client.

use brackenledge_failover::{
    Command, Failover, JobKey, JobOutcome, JobSubmission, Members, Message, ProcessId, Term, Waiter,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub const NOW: u64 = 1_000_000;
pub const NEVER: u64 = 1_000_000_000_000;

#[derive(Clone, Debug)]
pub struct Cluster {
    pub nodes: u16,
    pub replication_factor: usize,
    /// Nodes that may crash, be excluded while they live, and come back.
    pub crashes: u8,
    pub exclusions: u8,
    pub returns: u8,
    /// How often the client may submit the job again.
    pub resubmissions: u8,
    /// Attempts that reach no worker: they never ran.
    pub unavailable_workers: u8,
    /// How often a scheduler rejects a job that has not been sent.
    pub rejections: u8,
    pub sabotage: Option<Sabotage>,
}

/// Faults of a program that the model must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sabotage {
    /// Attempts are sent before their record is acknowledged.
    SendsBeforeAck,
    /// Coordinators don't wait for the others' reports.
    SkipsReports,
    /// That an earlier owner's attempt may have run is ignored.
    IgnoresPriorExecution,
}

/// What a process has decided to do and not done yet: a pause between check and action.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PendingAction {
    Attempt(u32),
    Answer(Vec<Waiter>, JobOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Driver {
    /// It runs the job, and has made so many attempts since it started that.
    pub running: Option<u32>,
    pub actions: VecDeque<PendingAction>,
    /// Attempts that run at the worker, each with its execution's number.
    pub running_attempts: Vec<(u32, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub nodes: Vec<Option<Failover>>,
    pub drivers: Vec<Driver>,
    pub in_transit: BTreeMap<(u16, u16), VecDeque<Message>>,
    pub member_lists: Vec<BTreeSet<u16>>,
    /// The member list that each node has applied last.
    pub applied: Vec<usize>,
    /// Nodes whose member lease has expired.
    pub without_lease: BTreeSet<u16>,
    pub crashes: u8,
    pub exclusions: u8,
    pub returns: u8,
    pub resubmissions: u8,
    pub unavailable_workers: u8,
    pub rejections: u8,
    /// The process whose scheduler rejected the job last, while it lives and has its lease.
    pub rejected_by: Option<u16>,
    /// The client was answered so, and has not submitted it again.
    pub client_rejected: bool,
    pub runs: u8,
    /// Where the client waits now.
    pub client: Option<(u16, Waiter)>,
    pub next_waiter: Waiter,
    pub disconnects: Vec<(u16, Waiter)>,
    pub client_outcomes: Vec<JobOutcome>,
    /// Jobs of other owners that were started.
    pub taken_over: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Deliver(u16, u16),
    PerformPending(u16),
    /// The attempt reaches no worker.
    WorkerUnavailable(u16),
    /// The scheduler rejects the job, none of whose attempts was sent there.
    Reject(u16),
    /// An execution ends: with a result, or its connection breaks.
    EndAttempt(u16, usize, bool),
    Crash(u16),
    LeaseExpires(u16),
    NewMemberList,
    Return(u16),
    ApplyMemberList(u16),
    Resubmit(u16),
    Disconnect(usize),
}

pub fn key() -> JobKey {
    JobKey { class: 1, tenant: 0, idempotency_key: Arc::from("order-7") }
}

pub fn process(node: u16) -> ProcessId {
    ProcessId { ordinal: node, incarnation: 1 }
}

pub fn term(member_list: usize) -> Term {
    Term { step: member_list as u32 + 1, ..Term::default() }
}

pub fn members(member_list: &BTreeSet<u16>) -> Members {
    member_list.iter().map(|&node| process(node)).collect()
}

impl Cluster {
    pub fn submit(&self, state: &mut State, node: u16) {
        let waiter = state.next_waiter;
        state.next_waiter += 1;
        state.client = Some((node, waiter));
        state.client_rejected = false;
        let submission = JobSubmission {
            payload: Arc::from(&b"sell"[..]),
            requires_ack: true,
            requires_replication: true,
            deadline: NEVER,
        };
        if let Some(failover) = &mut state.nodes[usize::from(node)] {
            failover.submit(NOW, waiter, key(), submission);
        }
        self.execute_commands(state, node);
    }

    pub fn execute_commands(&self, state: &mut State, node: u16) {
        let at = usize::from(node);
        while let Some(command) = state.nodes[at].as_mut().and_then(Failover::poll_command) {
            match command {
                Command::Send { to, message, .. } => {
                    if state.nodes[usize::from(to.ordinal)].is_some() {
                        state.in_transit.entry((node, to.ordinal)).or_default().push_back(message);
                    }
                }
                Command::StartJob { prior_execution, taken_over, .. } => {
                    state.taken_over += u8::from(taken_over);
                    state.drivers[at].running = Some(0);
                    if prior_execution.is_some() && self.sabotage != Some(Sabotage::IgnoresPriorExecution) {
                        self.finish_job(state, node, JobOutcome::Failed);
                    } else {
                        self.start_attempt(state, node);
                    }
                }
                Command::PermitAttempt { attempt, .. } => {
                    state.drivers[at].actions.push_back(PendingAction::Attempt(attempt))
                }
                Command::AttemptExpired { attempt, .. } => {
                    state.drivers[at].actions.retain(|action| *action != PendingAction::Attempt(attempt));
                    if state.drivers[at].running.is_some() {
                        self.finish_job(state, node, JobOutcome::Rejected(None));
                    }
                }
                Command::Answer { waiters, outcome } => {
                    state.drivers[at].actions.push_back(PendingAction::Answer(waiters, outcome));
                }
                Command::Revoke { .. } => {
                    let driver = &mut state.drivers[at];
                    driver.running = None;
                    driver.actions.retain(|action| matches!(action, PendingAction::Answer(..)));
                    driver.running_attempts.clear();
                }
                Command::Event(_) => {}
            }
        }
    }

    pub fn start_attempt(&self, state: &mut State, node: u16) {
        let at = usize::from(node);
        let Some(attempt) = state.drivers[at].running else { return };
        state.drivers[at].running = Some(attempt + 1);
        let Some(failover) = &mut state.nodes[at] else { return };
        let now = failover.request_attempt(NOW, &key(), attempt, "w", NEVER);
        if now || self.sabotage == Some(Sabotage::SendsBeforeAck) {
            state.drivers[at].actions.push_back(PendingAction::Attempt(attempt));
        }
    }

    pub fn finish_job(&self, state: &mut State, node: u16, outcome: JobOutcome) {
        let at = usize::from(node);
        state.drivers[at].running = None;
        if let Some(failover) = &mut state.nodes[at] {
            failover.job_finished(NOW, &key(), outcome);
        }
    }

    /// A member of the newest list has crashed or lost its lease.
    pub fn member_list_is_stale(&self, state: &State) -> bool {
        let member_list = state.member_lists.last().expect("a member list");
        member_list
            .iter()
            .any(|&node| state.nodes[usize::from(node)].is_none() || state.without_lease.contains(&node))
    }
}
