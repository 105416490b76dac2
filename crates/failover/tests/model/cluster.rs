//! The model's state: the processes with their records, the driver of each, the network between them, and one
//! client with one job.

use brackenledge_failover::{
    Command, Failover, JobKey, JobOutcome, JobSubmission, Members, Message, ProcessId, Term, Waiter,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub const NOW: u64 = 1_000_000;
pub const NEVER: u64 = 1_000_000_000_000;

#[derive(Clone, Debug)]
pub struct Cluster {
    pub node_count: u16,
    pub replication_factor: usize,
    /// How many nodes may crash.
    pub crashes: u8,
    /// How many nodes may be excluded from the member list while they run.
    pub exclusions: u8,
    /// How many excluded nodes may become members again.
    pub rejoins: u8,
    /// How often the client may submit the job again.
    pub resubmissions: u8,
    /// How many attempts may reach no worker, and so never run.
    pub unavailable_workers: u8,
    /// How often a scheduler may reject a job of which no attempt was sent.
    pub rejections: u8,
    pub injected_bug: Option<InjectedBug>,
}

/// Bugs that the model checker must detect when they are added to the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    /// Attempts are sent before their record is acknowledged.
    SendsBeforeAck,
    /// Coordinators do not wait for the reports of the other members.
    SkipsReports,
    /// A driver runs a job again although an attempt of an earlier owner may have run.
    IgnoresPriorExecution,
}

/// What a process has decided to do but not done yet, which models a pause between check and action.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PendingAction {
    Attempt(u32),
    Answer(Vec<Waiter>, JobOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Driver {
    /// The number of attempts requested since the job was started here; `None` if the job does not run here.
    pub running: Option<u32>,
    pub actions: VecDeque<PendingAction>,
    /// Attempts that run at the worker, each with the number of its execution.
    pub running_attempts: Vec<(u32, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub nodes: Vec<Option<Failover>>,
    pub drivers: Vec<Driver>,
    pub in_transit: BTreeMap<(u16, u16), VecDeque<Message>>,
    pub member_lists: Vec<BTreeSet<u16>>,
    /// The index of the member list that each node has applied last.
    pub applied: Vec<usize>,
    /// Nodes whose member lease has expired.
    pub without_lease: BTreeSet<u16>,
    pub crashes_left: u8,
    pub exclusions_left: u8,
    pub rejoins_left: u8,
    pub resubmissions_left: u8,
    pub unavailable_workers_left: u8,
    pub rejections_left: u8,
    /// The node that rejected the job last, as long as it runs and has its member lease.
    pub rejected_by: Option<u16>,
    /// Whether the client was told that the job was rejected, and has not submitted it again.
    pub last_answer_rejected: bool,
    /// Number of executions of the job at the worker.
    pub executions: u8,
    /// The node at which the client waits, and its number there; `None` if it does not wait.
    pub client: Option<(u16, Waiter)>,
    pub next_waiter: Waiter,
    /// Clients that have disconnected but whose nodes have not been notified yet.
    pub disconnects: Vec<(u16, Waiter)>,
    pub client_outcomes: Vec<JobOutcome>,
    /// How often the job was started after a takeover.
    pub taken_over: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Deliver(u16, u16),
    PerformPending(u16),
    /// The node's next attempt reaches no worker.
    WorkerUnavailable(u16),
    /// The node's scheduler rejects the job, of which no attempt was sent from there.
    Reject(u16),
    /// An execution ends: with a result (`true`), or by the loss of its connection.
    EndAttempt(u16, usize, bool),
    Crash(u16),
    LeaseExpires(u16),
    NewMemberList,
    Rejoin(u16),
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
        state.last_answer_rejected = false;
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
                    if prior_execution.is_some()
                        && self.injected_bug != Some(InjectedBug::IgnoresPriorExecution)
                    {
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
        let permitted = failover.request_attempt(NOW, &key(), attempt, "w", NEVER);
        if permitted || self.injected_bug == Some(InjectedBug::SendsBeforeAck) {
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

    /// Whether a member on the newest list has crashed or lost its lease.
    pub fn member_list_is_stale(&self, state: &State) -> bool {
        let member_list = state.member_lists.last().expect("a member list");
        member_list
            .iter()
            .any(|&node| state.nodes[usize::from(node)].is_none() || state.without_lease.contains(&node))
    }
}
