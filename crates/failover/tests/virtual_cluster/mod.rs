//! A cluster of processes on a virtual clock; messages are delivered at once or dropped.
#![allow(missing_docs, dead_code)]

use brackenledge_failover::{
    Command, Failover, JobKey, JobOutcome, JobSubmission, Members, Message, ProcessId, Settings, Term,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const MS: u64 = 1_000;

pub struct Cluster {
    pub now: u64,
    pub nodes: Vec<Option<Failover>>,
    /// Nodes cut off in both directions: messages from and to them are dropped.
    pub isolated: BTreeSet<u16>,
    /// Nodes cut off in one direction: messages to them are dropped, their own arrive.
    pub inbound_blocked: BTreeSet<u16>,
    /// How many member lists have been applied; the last one's term has this step.
    pub list_count: u32,
    /// The commands of each node other than `Send`, in order.
    pub commands: Vec<Vec<Command>>,
    pub sent: Vec<SentMessage>,
    /// The number of the last client that has submitted a job.
    pub waiter: u64,
    /// Incarnations of the nodes that run under another one than the first.
    pub incarnations: BTreeMap<u16, u64>,
}

/// A message that a node has sent, whether it arrived or not.
#[derive(Debug)]
pub struct SentMessage {
    pub from: u16,
    pub to: u16,
    pub message: Message,
}

/// How a node started a job.
#[derive(Debug, PartialEq)]
pub struct StartedJob {
    /// The maximum age of the attempt that may have run under an earlier owner, if there is one.
    pub prior_execution_age: Option<u64>,
    pub taken_over: bool,
}

pub fn process(node: u16) -> ProcessId {
    ProcessId { ordinal: node, incarnation: 1 }
}

pub fn key(name: &str) -> JobKey {
    JobKey { class: 1, tenant: 0, idempotency_key: Arc::from(name) }
}

impl Cluster {
    pub fn new(node_count: u16, settings: Settings) -> Cluster {
        let mut cluster = Cluster {
            now: 100_000 * MS,
            nodes: Vec::new(),
            isolated: BTreeSet::new(),
            inbound_blocked: BTreeSet::new(),
            list_count: 0,
            commands: vec![Vec::new(); usize::from(node_count)],
            sent: Vec::new(),
            waiter: 0,
            incarnations: BTreeMap::new(),
        };
        for node in 0..node_count {
            let mut failover = Failover::new(process(node), u32::from(node % 2), settings);
            (0..node_count).for_each(|other| failover.set_zone(other, u32::from(other % 2)));
            cluster.nodes.push(Some(failover));
        }
        cluster.apply_member_list((0..node_count).collect());
        cluster
    }

    pub fn incarnation(&self, node: u16) -> u64 {
        self.incarnations.get(&node).copied().unwrap_or(1)
    }

    pub fn apply_member_list(&mut self, members: Vec<u16>) {
        self.list_count += 1;
        let term = Term { step: self.list_count, ..Term::default() };
        let process = |&ordinal: &u16| ProcessId { ordinal, incarnation: self.incarnation(ordinal) };
        let all: Members = members.iter().map(process).collect();
        for node in members {
            let failover = self.nodes[usize::from(node)].as_mut().expect("the node runs");
            failover.set_member_lease(self.now, u64::MAX);
            failover.apply_member_list(self.now, term, &all);
        }
        self.execute_commands();
    }

    pub fn execute_commands(&mut self) {
        loop {
            let mut idle = true;
            for node in 0..self.nodes.len() {
                while let Some(command) = self.nodes[node].as_mut().and_then(Failover::poll_command) {
                    idle = false;
                    let Command::Send { to, message, .. } = command else {
                        self.commands[node].push(command);
                        continue;
                    };
                    let from = node as u16;
                    self.sent.push(SentMessage { from, to: to.ordinal, message: message.clone() });
                    let (sender, to_current_incarnation) = (
                        ProcessId { ordinal: from, incarnation: self.incarnation(from) },
                        self.incarnation(to.ordinal) == to.incarnation,
                    );
                    let received = to_current_incarnation
                        && !self.isolated.contains(&from)
                        && !self.isolated.contains(&to.ordinal)
                        && !self.inbound_blocked.contains(&to.ordinal);
                    if let Some(target) = self.nodes[usize::from(to.ordinal)].as_mut().filter(|_| received) {
                        target.handle_message(self.now, sender, message);
                    }
                }
            }
            if idle {
                return;
            }
        }
    }

    pub fn submit(&mut self, node: u16, name: &str, requires_ack: bool, requires_replication: bool) -> u64 {
        self.waiter += 1;
        let deadline = self.now + 5_000 * MS;
        let submission = JobSubmission {
            payload: Arc::from(name.as_bytes()),
            requires_ack,
            requires_replication,
            deadline,
        };
        let failover = self.nodes[usize::from(node)].as_mut().expect("the node runs");
        failover.submit(self.now, self.waiter, key(name), submission);
        self.execute_commands();
        self.waiter
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now += 20 * MS;
            for failover in self.nodes.iter_mut().flatten() {
                failover.handle_timeout(self.now);
            }
            self.execute_commands();
        }
    }

    /// Requests the first attempt of a job, and returns whether it is permitted, at once or by an
    /// acknowledgement.
    pub fn request_attempt(&mut self, node: u16, name: &str) -> bool {
        let deadline = self.now + 5_000 * MS;
        let failover = self.nodes[usize::from(node)].as_mut().expect("the node runs");
        let at_once = failover.request_attempt(self.now, &key(name), 0, "w1", deadline);
        self.execute_commands();
        at_once
            || self.commands[usize::from(node)]
                .contains(&Command::PermitAttempt { key: key(name), attempt: 0 })
    }

    pub fn finish_job(&mut self, node: u16, name: &str, outcome: JobOutcome) {
        let failover = self.nodes[usize::from(node)].as_mut().expect("the node runs");
        failover.job_finished(self.now, &key(name), outcome);
        self.execute_commands();
    }

    /// The outcome that this waiter was answered with, if it was.
    pub fn answer(&self, node: u16, waiter: u64) -> Option<JobOutcome> {
        self.commands[usize::from(node)].iter().find_map(|command| match command {
            Command::Answer { waiters, outcome } if waiters.contains(&waiter) => Some(outcome.clone()),
            _ => None,
        })
    }

    /// How a node last started this job, if it did.
    pub fn started(&self, node: u16, name: &str) -> Option<StartedJob> {
        self.commands[usize::from(node)].iter().rev().find_map(|command| match command {
            Command::StartJob { key: job, prior_execution, taken_over, .. } if *job == key(name) => {
                Some(StartedJob {
                    prior_execution_age: prior_execution.as_ref().map(|prior| prior.max_age),
                    taken_over: *taken_over,
                })
            }
            _ => None,
        })
    }

    /// The coordinator of a key: the node to which the claimant sent its claim, or the claimant itself.
    pub fn coordinator(&mut self, name: &str, claimant: u16) -> u16 {
        let found = self.sent.iter().find_map(|SentMessage { from, to, message }| match message {
            Message::ClaimRequest { record, .. } if record.key == key(name) && *from == claimant => Some(*to),
            _ => None,
        });
        found.unwrap_or(claimant)
    }

    /// A name whose coordinator, in a cluster of `node_count` nodes, is none of the excluded ones.
    pub fn name_coordinated_elsewhere(&mut self, node_count: u16, excluded: &[u16]) -> String {
        for index in 0..1_000 {
            let name = format!("probe-{index}");
            let mut probe = Cluster::new(node_count, Settings::default());
            probe.submit(excluded[0], &name, true, true);
            if !excluded.contains(&probe.coordinator(&name, excluded[0])) {
                return name;
            }
        }
        unreachable!("none of 1000 names has another coordinator")
    }
}
