//! The crate's own state machines under every order of events within bounds: one job that must never run twice, its
//! client that comes again elsewhere, processes that crash, one that is excluded from the member list while it is
//! paused and resumes late, member lists that reach each process at its own time. `MODEL_STATES` sets how many states are looked at
//! (default: what CI has time for).
#![allow(missing_docs)]

mod cluster;
mod properties;
mod transitions;

use brackenledge_failover::{Failover, Message, Settings};
use brackenledge_test_support::model_check::{
    assert_no_violation, bounded_checker, first_violation, max_states, random_runs,
};
use cluster::{Action, Cluster, Driver, NEVER, NOW, PendingAction, Sabotage, State, members, process, term};
use properties::{THE_JOB_IS_SERVED, properties};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const DEFAULT_MAX_STATES: usize = 60_000;

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let number = usize::from(self.nodes);
        let all: BTreeSet<u16> = (0..self.nodes).collect();
        let settings = Settings { replication_factor: self.replication_factor, ..Settings::default() };
        let mut state = State {
            nodes: (0..self.nodes).map(|node| Some(Failover::new(process(node), 0, settings))).collect(),
            drivers: vec![Driver::default(); number],
            in_transit: BTreeMap::new(),
            member_lists: vec![all.clone()],
            applied: vec![0; number],
            without_lease: BTreeSet::new(),
            crashes: self.crashes,
            exclusions: self.exclusions,
            returns: self.returns,
            resubmissions: self.resubmissions,
            unavailable_workers: self.unavailable_workers,
            rejections: self.rejections,
            rejected_by: None,
            client_rejected: false,
            runs: 0,
            client: None,
            next_waiter: 1,
            disconnects: Vec::new(),
            client_outcomes: Vec::new(),
            taken_over: 0,
        };
        for node in 0..self.nodes {
            let failover = state.nodes[usize::from(node)].as_mut().expect("a node");
            failover.set_member_lease(NOW, NEVER);
            failover.apply_member_list(NOW, term(0), &members(&all));
            for other in (0..self.nodes).filter(|&other| other != node) {
                failover.handle_message(NOW, process(other), Message::ReportComplete { term: term(0) });
            }
            while failover.poll_command().is_some() {}
            assert!(failover.is_settled(NOW));
        }
        // Wherever it is submitted, some node is the key's coordinator, and some are not.
        (0..self.nodes)
            .map(|node| {
                let mut state = state.clone();
                self.submit(&mut state, node);
                state
            })
            .collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let lives = |node: u16| state.nodes[usize::from(node)].is_some();
        for (&(from, to), in_transit) in &state.in_transit {
            if !in_transit.is_empty() && lives(to) {
                actions.push(Action::Deliver(from, to));
            }
        }
        let newest = state.member_lists.last().expect("a member list");
        for node in (0..self.nodes).filter(|&node| lives(node)) {
            let at = usize::from(node);
            if let Some(action) = state.drivers[at].actions.front() {
                actions.push(Action::PerformPending(node));
                if matches!(action, PendingAction::Attempt(_)) && state.unavailable_workers > 0 {
                    actions.push(Action::WorkerUnavailable(node));
                }
            }
            let driver = &state.drivers[at];
            let unsent = driver.actions.is_empty() && driver.running_attempts.is_empty();
            if state.rejections > 0 && driver.running.is_some() && unsent && state.runs == 0 {
                actions.push(Action::Reject(node));
            }
            for run in 0..state.drivers[at].running_attempts.len() {
                actions.extend([Action::EndAttempt(node, run, true), Action::EndAttempt(node, run, false)]);
            }
            if state.crashes > 0 {
                actions.push(Action::Crash(node));
            }
            if state.exclusions > 0 && newest.contains(&node) && newest.len() > 1 {
                actions.push(Action::LeaseExpires(node));
            }
            if state.returns > 0 && !newest.contains(&node) && !self.member_list_is_stale(state) {
                actions.push(Action::Return(node));
            }
            if state.applied[at] + 1 < state.member_lists.len() {
                actions.push(Action::ApplyMemberList(node));
            }
            if state.resubmissions > 0 && state.client_outcomes.is_empty() {
                actions.push(Action::Resubmit(node));
            }
        }
        if self.member_list_is_stale(state) {
            actions.push(Action::NewMemberList);
        }
        actions.extend((0..state.disconnects.len()).map(Action::Disconnect));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        self.apply(&mut state, action)?;
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties()
    }
}

const PLAIN: Cluster = Cluster {
    nodes: 3,
    replication_factor: 1,
    crashes: 0,
    exclusions: 0,
    returns: 0,
    resubmissions: 1,
    unavailable_workers: 0,
    rejections: 0,
    sabotage: None,
};

/// A state as the path to a violation prints it.
fn describe(state: &State) -> String {
    let running: Vec<_> = state.drivers.iter().map(|driver| driver.running).collect();
    format!("{:?}, runs {}, running {running:?}", state.client, state.runs)
}

/// Random runs to their ends from several seeds, then all states near the start.
fn check_model(name: &str, model: Cluster, taken_over: bool) {
    let max_states = max_states(DEFAULT_MAX_STATES);
    let mut observed = BTreeSet::new();
    for seed in 0..3 {
        let findings = random_runs(&model, seed, max_states, describe);
        println!("{name}, random runs from seed {seed}: {} states", findings.state_count);
        assert_eq!(findings.violated, [""; 0], "{name}");
        observed.extend(findings.observed);
    }
    assert!(observed.contains(THE_JOB_IS_SERVED), "{name}: {observed:?}");
    assert!(!taken_over || observed.len() == 2, "{name}: {observed:?}");
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
    check_model("no faults", Cluster { resubmissions: 2, unavailable_workers: 1, ..PLAIN }, false);
}

#[test]
fn one_of_three_crashes() {
    check_model("crash", Cluster { crashes: 1, resubmissions: 2, ..PLAIN }, true);
}

#[test]
fn one_of_three_is_excluded_while_it_is_paused_and_resumes() {
    check_model("excluded", Cluster { exclusions: 1, resubmissions: 1, ..PLAIN }, true);
}

#[test]
fn one_returns_to_the_member_list_after_it_was_excluded() {
    check_model("returned", Cluster { exclusions: 1, returns: 1, resubmissions: 2, ..PLAIN }, true);
}

#[test]
fn two_of_four_crash_with_two_replicas() {
    check_model(
        "two crashes",
        Cluster {
            nodes: 4,
            replication_factor: 2,
            crashes: 2,
            resubmissions: 2,
            unavailable_workers: 1,
            ..PLAIN
        },
        true,
    );
}

#[test]
fn a_crash_while_another_is_excluded_and_returns() {
    check_model(
        "crash and exclusion",
        Cluster {
            nodes: 4,
            replication_factor: 2,
            crashes: 1,
            exclusions: 1,
            returns: 1,
            resubmissions: 2,
            ..PLAIN
        },
        true,
    );
}

/// The client comes once: a rejection is of that submission, and says nothing of others.
#[test]
fn a_job_is_rejected_while_its_coordinator_crashes() {
    check_model("rejected", Cluster { crashes: 1, resubmissions: 0, rejections: 1, ..PLAIN }, false);
}

#[test]
fn a_job_is_rejected_while_two_of_four_crash() {
    let base = Cluster { nodes: 4, replication_factor: 2, resubmissions: 0, ..PLAIN };
    check_model("rejected, two crashes", Cluster { crashes: 2, rejections: 1, ..base }, false);
}

/// A model that does not find these faults shows nothing.
#[test]
fn each_sabotage_is_caught() {
    let table = [
        (Sabotage::SendsBeforeAck, Cluster { crashes: 1, resubmissions: 2, ..PLAIN }),
        (
            Sabotage::SkipsReports,
            Cluster { nodes: 4, replication_factor: 2, crashes: 2, resubmissions: 2, ..PLAIN },
        ),
        (Sabotage::IgnoresPriorExecution, Cluster { crashes: 1, resubmissions: 2, ..PLAIN }),
    ];
    for (sabotage, model) in table {
        let model = Cluster { sabotage: Some(sabotage), ..model };
        let caught = first_violation(&model, 1..=20, 20 * max_states(DEFAULT_MAX_STATES), describe);
        println!("{sabotage:?}: caught by {caught:?}");
        assert!(caught.is_some(), "{sabotage:?}");
    }
}
