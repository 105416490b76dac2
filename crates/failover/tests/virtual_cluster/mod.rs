//! Processes on a virtual clock, with messages delivered at once or dropped.
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
    /// Processes whose messages are dropped in both directions.
    pub silent: BTreeSet<u16>,
    /// Processes that receive nothing, while their own messages arrive.
    pub deaf: BTreeSet<u16>,
    pub list_number: u32,
    /// The commands of each node beside messages, in order.
    pub commands: Vec<Vec<Command>>,
    pub sent: Vec<SentMessage>,
    pub waiter: u64,
    /// Incarnations of nodes that continue under another than the first.
    pub incarnations: BTreeMap<u16, u64>,
}

/// A message that a node has sent, whether it arrived or not.
#[derive(Debug)]
pub struct SentMessage {
    pub from: u16,
    pub to: u16,
    pub message: Message,
}

/// How a job was started.
#[derive(Debug, PartialEq)]
pub struct StartedJob {
    /// The greatest age of an attempt of an earlier owner that may have run.
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
    pub fn new(number: u16, settings: Settings) -> Cluster {
        let mut cluster = Cluster {
            now: 100_000 * MS,
            nodes: Vec::new(),
            silent: BTreeSet::new(),
            deaf: BTreeSet::new(),
            list_number: 0,
            commands: vec![Vec::new(); usize::from(number)],
            sent: Vec::new(),
            waiter: 0,
            incarnations: BTreeMap::new(),
        };
        for node in 0..number {
            let mut one = Failover::new(process(node), u32::from(node % 2), settings);
            (0..number).for_each(|other| one.set_zone(other, u32::from(other % 2)));
            cluster.nodes.push(Some(one));
        }
        cluster.apply_member_list((0..number).collect());
        cluster
    }

    pub fn incarnation(&self, node: u16) -> u64 {
        self.incarnations.get(&node).copied().unwrap_or(1)
    }

    pub fn apply_member_list(&mut self, members: Vec<u16>) {
        self.list_number += 1;
        let term = Term { step: self.list_number, ..Term::default() };
        let process = |&ordinal: &u16| ProcessId { ordinal, incarnation: self.incarnation(ordinal) };
        let all: Members = members.iter().map(process).collect();
        for node in members {
            let one = self.nodes[usize::from(node)].as_mut().expect("it lives");
            one.set_member_lease(self.now, u64::MAX);
            one.apply_member_list(self.now, term, &all);
        }
        self.execute_commands();
    }

    pub fn execute_commands(&mut self) {
        loop {
            let mut quiet = true;
            for node in 0..self.nodes.len() {
                while let Some(command) = self.nodes[node].as_mut().and_then(Failover::poll_command) {
                    quiet = false;
                    let Command::Send { to, message, .. } = command else {
                        self.commands[node].push(command);
                        continue;
                    };
                    let from = node as u16;
                    self.sent.push(SentMessage { from, to: to.ordinal, message: message.clone() });
                    let (sender, meant) = (
                        ProcessId { ordinal: from, incarnation: self.incarnation(from) },
                        self.incarnation(to.ordinal) == to.incarnation,
                    );
                    let received = meant
                        && !self.silent.contains(&from)
                        && !self.silent.contains(&to.ordinal)
                        && !self.deaf.contains(&to.ordinal);
                    if let Some(other) = self.nodes[usize::from(to.ordinal)].as_mut().filter(|_| received) {
                        other.handle_message(self.now, sender, message);
                    }
                }
            }
            if quiet {
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
        let one = self.nodes[usize::from(node)].as_mut().expect("it lives");
        one.submit(self.now, self.waiter, key(name), submission);
        self.execute_commands();
        self.waiter
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now += 20 * MS;
            for one in self.nodes.iter_mut().flatten() {
                one.handle_timeout(self.now);
            }
            self.execute_commands();
        }
    }

    /// Requests the first attempt of a job; whether it is permitted, at once or by an acknowledgement.
    pub fn request_attempt(&mut self, node: u16, name: &str) -> bool {
        let deadline = self.now + 5_000 * MS;
        let one = self.nodes[usize::from(node)].as_mut().expect("it lives");
        let at_once = one.request_attempt(self.now, &key(name), 0, "w1", deadline);
        self.execute_commands();
        at_once
            || self.commands[usize::from(node)]
                .contains(&Command::PermitAttempt { key: key(name), attempt: 0 })
    }

    pub fn finish_job(&mut self, node: u16, name: &str, outcome: JobOutcome) {
        let one = self.nodes[usize::from(node)].as_mut().expect("it lives");
        one.job_finished(self.now, &key(name), outcome);
        self.execute_commands();
    }

    /// What this waiter has been answered.
    pub fn answer(&self, node: u16, waiter: u64) -> Option<JobOutcome> {
        self.commands[usize::from(node)].iter().find_map(|command| match command {
            Command::Answer { waiters, outcome } if waiters.contains(&waiter) => Some(outcome.clone()),
            _ => None,
        })
    }

    /// How a node has started this job last.
    pub fn started(&self, node: u16, name: &str) -> Option<StartedJob> {
        self.commands[usize::from(node)].iter().rev().find_map(|command| match command {
            Command::StartJob { key: of, prior_execution, taken_over, .. } if *of == key(name) => {
                Some(StartedJob {
                    prior_execution_age: prior_execution.as_ref().map(|prior| prior.max_age),
                    taken_over: *taken_over,
                })
            }
            _ => None,
        })
    }

    /// The coordinator of a key, by where the claim of this process goes.
    pub fn coordinator(&mut self, name: &str, claimant: u16) -> u16 {
        let found = self.sent.iter().find_map(|SentMessage { from, to, message }| match message {
            Message::ClaimRequest { record, .. } if record.key == key(name) && *from == claimant => Some(*to),
            _ => None,
        });
        found.unwrap_or(claimant)
    }

    /// A name whose coordinator is none of these.
    pub fn name_away_from(&mut self, number: u16, others: &[u16]) -> String {
        for at in 0..1_000 {
            let name = format!("probe-{at}");
            let mut probe = Cluster::new(number, Settings::default());
            probe.submit(others[0], &name, true, true);
            if !others.contains(&probe.coordinator(&name, others[0])) {
                return name;
            }
        }
        unreachable!("some key has another coordinator")
    }
}
