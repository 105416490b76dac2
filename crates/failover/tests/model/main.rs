//! Model check of the crate's state machines under every order of events within bounds. One job must never
//! run twice, although its client submits it again at other processes, processes crash, a process is excluded
//! from the member list while it is paused and resumes late, and each process applies new member lists at a
//! different time. `MODEL_STATES` sets how many states are visited; the default is what CI has time for.
#![allow(missing_docs)]

mod cluster;
mod properties;
mod transitions;

use brackenledge_failover::{Failover, Message, Settings};
use brackenledge_test_support::model_check::{
    assert_no_violation, bounded_checker, first_violation, max_states, random_runs,
};
use cluster::{
    Action, Cluster, Driver, InjectedBug, NEVER, NOW, PendingAction, State, members, process, term,
};
use properties::{THE_JOB_IS_SERVED, properties};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const DEFAULT_MAX_STATES: usize = 60_000;

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let count = usize::from(self.node_count);
        let all: BTreeSet<u16> = (0..self.node_count).collect();
        let settings = Settings { replication_factor: self.replication_factor, ..Settings::default() };
        let mut state = State {
            nodes: (0..self.node_count).map(|node| Some(Failover::new(process(node), 0, settings))).collect(),
            drivers: vec![Driver::default(); count],
            in_transit: BTreeMap::new(),
            member_lists: vec![all.clone()],
            applied: vec![0; count],
            without_lease: BTreeSet::new(),
            crashes_left: self.crashes,
            exclusions_left: self.exclusions,
            rejoins_left: self.rejoins,
            resubmissions_left: self.resubmissions,
            unavailable_workers_left: self.unavailable_workers,
            rejections_left: self.rejections,
            rejected_by: None,
            last_answer_rejected: false,
            executions: 0,
            client: None,
            next_waiter: 1,
            disconnects: Vec::new(),
            client_outcomes: Vec::new(),
            taken_over: 0,
        };
        for node in 0..self.node_count {
            let failover = state.nodes[usize::from(node)].as_mut().expect("a node");
            failover.set_member_lease(NOW, NEVER);
            failover.apply_member_list(NOW, term(0), &members(&all));
            for other in (0..self.node_count).filter(|&other| other != node) {
                failover.handle_message(NOW, process(other), Message::ReportComplete { term: term(0) });
            }
            while failover.poll_command().is_some() {}
            assert!(failover.is_settled(NOW));
        }
        // One initial state for each node at which the job is submitted: one node is the key's coordinator.
        (0..self.node_count)
            .map(|node| {
                let mut state = state.clone();
                self.submit(&mut state, node);
                state
            })
            .collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let is_running = |node: u16| state.nodes[usize::from(node)].is_some();
        for (&(from, to), in_transit) in &state.in_transit {
            if !in_transit.is_empty() && is_running(to) {
                actions.push(Action::Deliver(from, to));
            }
        }
        let newest = state.member_lists.last().expect("a member list");
        for node in (0..self.node_count).filter(|&node| is_running(node)) {
            let at = usize::from(node);
            if let Some(action) = state.drivers[at].actions.front() {
                actions.push(Action::PerformPending(node));
                if matches!(action, PendingAction::Attempt(_)) && state.unavailable_workers_left > 0 {
                    actions.push(Action::WorkerUnavailable(node));
                }
            }
            let driver = &state.drivers[at];
            let unsent = driver.actions.is_empty() && driver.running_attempts.is_empty();
            if state.rejections_left > 0 && driver.running.is_some() && unsent && state.executions == 0 {
                actions.push(Action::Reject(node));
            }
            for index in 0..state.drivers[at].running_attempts.len() {
                actions
                    .extend([Action::EndAttempt(node, index, true), Action::EndAttempt(node, index, false)]);
            }
            if state.crashes_left > 0 {
                actions.push(Action::Crash(node));
            }
            if state.exclusions_left > 0 && newest.contains(&node) && newest.len() > 1 {
                actions.push(Action::LeaseExpires(node));
            }
            if state.rejoins_left > 0 && !newest.contains(&node) && !self.member_list_is_stale(state) {
                actions.push(Action::Rejoin(node));
            }
            if state.applied[at] + 1 < state.member_lists.len() {
                actions.push(Action::ApplyMemberList(node));
            }
            if state.resubmissions_left > 0 && state.client_outcomes.is_empty() {
                actions.push(Action::Resubmit(node));
            }
        }
        if self.member_list_is_stale(state) {
            actions.push(Action::NewMemberList);
        }
        actions.extend((0..state.disconnects.len()).map(Action::Disconnect));
    }

    fn next_state(&self, last_state: &State, action: Action) -> Option<State> {
        let mut state = last_state.clone();
        self.apply(&mut state, action)?;
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties()
    }
}

/// Three nodes without faults; the tests add them.
const NO_FAULTS: Cluster = Cluster {
    node_count: 3,
    replication_factor: 1,
    crashes: 0,
    exclusions: 0,
    rejoins: 0,
    resubmissions: 1,
    unavailable_workers: 0,
    rejections: 0,
    injected_bug: None,
};

/// Formats a state for the path to a violation.
fn describe(state: &State) -> String {
    let running: Vec<_> = state.drivers.iter().map(|driver| driver.running).collect();
    format!("client {:?}, executions {}, running {running:?}", state.client, state.executions)
}

/// Checks a model: random runs to their ends from several seeds, then all states near the start.
fn check_model(name: &str, model: Cluster, expect_takeover: bool) {
    let max_states = max_states(DEFAULT_MAX_STATES);
    let mut observed = BTreeSet::new();
    for seed in 0..3 {
        let findings = random_runs(&model, seed, max_states, describe);
        println!("{name}, random runs from seed {seed}: {} states", findings.state_count);
        assert_eq!(findings.violated, [""; 0], "{name}");
        observed.extend(findings.observed);
    }
    assert!(observed.contains(THE_JOB_IS_SERVED), "{name}: {observed:?}");
    assert!(!expect_takeover || observed.len() == 2, "{name}: {observed:?}");
    let checker = bounded_checker(&model, max_states).threads(4).spawn_bfs().join();
    println!(
        "{name}, breadth first: {} states, {} of them unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    assert_no_violation(&model, &checker);
}

#[test]
fn a_client_that_submits_again_is_attached_to_its_job() {
    check_model("no faults", Cluster { resubmissions: 2, unavailable_workers: 1, ..NO_FAULTS }, false);
}

#[test]
fn one_of_three_crashes() {
    check_model("crash", Cluster { crashes: 1, resubmissions: 2, ..NO_FAULTS }, true);
}

#[test]
fn one_of_three_is_excluded_while_it_is_paused_and_resumes() {
    check_model("excluded", Cluster { exclusions: 1, resubmissions: 1, ..NO_FAULTS }, true);
}

#[test]
fn one_of_three_is_excluded_and_rejoins() {
    check_model("rejoined", Cluster { exclusions: 1, rejoins: 1, resubmissions: 2, ..NO_FAULTS }, true);
}

#[test]
fn two_of_four_crash_with_two_replicas() {
    check_model(
        "two crashes",
        Cluster {
            node_count: 4,
            replication_factor: 2,
            crashes: 2,
            resubmissions: 2,
            unavailable_workers: 1,
            ..NO_FAULTS
        },
        true,
    );
}

#[test]
fn one_of_four_crashes_while_another_is_excluded_and_rejoins() {
    check_model(
        "crash and exclusion",
        Cluster {
            node_count: 4,
            replication_factor: 2,
            crashes: 1,
            exclusions: 1,
            rejoins: 1,
            resubmissions: 2,
            ..NO_FAULTS
        },
        true,
    );
}

/// The client submits the job only once, because a rejection refers to one submission only.
#[test]
fn a_job_is_rejected_while_its_coordinator_crashes() {
    check_model("rejected", Cluster { crashes: 1, resubmissions: 0, rejections: 1, ..NO_FAULTS }, false);
}

#[test]
fn a_job_is_rejected_while_two_of_four_crash() {
    let four_nodes = Cluster { node_count: 4, replication_factor: 2, resubmissions: 0, ..NO_FAULTS };
    check_model("rejected, two crashes", Cluster { crashes: 2, rejections: 1, ..four_nodes }, false);
}

/// Guards against a model that is too weak: each injected bug must violate a property.
#[test]
fn each_injected_bug_is_found() {
    let table = [
        (InjectedBug::SendsBeforeAck, Cluster { crashes: 1, resubmissions: 2, ..NO_FAULTS }),
        (
            InjectedBug::SkipsReports,
            Cluster { node_count: 4, replication_factor: 2, crashes: 2, resubmissions: 2, ..NO_FAULTS },
        ),
        (InjectedBug::IgnoresPriorExecution, Cluster { crashes: 1, resubmissions: 2, ..NO_FAULTS }),
    ];
    for (injected_bug, model) in table {
        let model = Cluster { injected_bug: Some(injected_bug), ..model };
        let violated = first_violation(&model, 1..=20, 20 * max_states(DEFAULT_MAX_STATES), describe);
        println!("{injected_bug:?}: found as a violation of {violated:?}");
        assert!(violated.is_some(), "no violation found for {injected_bug:?}");
    }
}
