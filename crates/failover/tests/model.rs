//! The crate's own state machines under every order of events within bounds: one job that must never run twice, its
//! client that comes again elsewhere, processes that crash, one that is excluded from the member list while it is
//! paused and resumes late, member lists that reach each process at its own time. `MODEL_STATES` sets how many states are looked at
//! (default: what CI has time for).
#![allow(missing_docs)]

use brackenledge_failover::{
    Command, Failover, JobKey, JobOutcome, JobSubmission, Message, ProcessId, Settings, Term, Waiter,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const NOW: u64 = 1_000_000;
const NEVER: u64 = 1_000_000_000_000;

#[derive(Clone, Debug)]
struct Cluster {
    nodes: u16,
    replication_factor: usize,
    /// Nodes that may crash, be excluded while they live, and come back.
    crashes: u8,
    exclusions: u8,
    returns: u8,
    /// How often the client may come again.
    resubmissions: u8,
    /// Attempts that find no worker: they never ran.
    refusals: u8,
    /// How often a scheduler rejects a job that has not been sent.
    rejections: u8,
    sabotage: Option<Sabotage>,
}

/// What a wrong program would do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sabotage {
    /// Attempts leave before their record is acknowledged.
    SentBeforeAcked,
    /// Coordinators don't wait for the others' reports.
    NoReports,
    /// What another's attempt may have done is not looked at.
    RiskIgnored,
}

/// What a process has decided to do and not done yet: a pause between check and deed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingAction {
    Attempt(u32),
    Answer(Vec<Waiter>, JobOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Caller {
    /// It runs the job, and so many attempts have been made under this start.
    running: Option<u32>,
    actions: VecDeque<PendingAction>,
    /// Attempts at the worker: the run's number.
    running_attempts: Vec<(u32, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Option<Failover>>,
    callers: Vec<Caller>,
    in_transit: BTreeMap<(u16, u16), VecDeque<Message>>,
    member_lists: Vec<BTreeSet<u16>>,
    /// The member list that each node has applied last.
    applied: Vec<usize>,
    /// Nodes whose member lease has expired.
    without_lease: BTreeSet<u16>,
    crashes: u8,
    exclusions: u8,
    returns: u8,
    resubmissions: u8,
    refusals: u8,
    rejections: u8,
    /// The process whose scheduler rejected the job last, while it lives and has its lease.
    rejected_by: Option<u16>,
    /// The client was told so, and has not come again.
    client_rejected: bool,
    runs: u8,
    /// Where the client waits now.
    client: Option<(u16, Waiter)>,
    next_waiter: Waiter,
    goodbyes: Vec<(u16, Waiter)>,
    client_outcomes: Vec<JobOutcome>,
    /// Jobs of other owners that were started.
    taken_over: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(u16, u16),
    PerformPending(u16),
    /// The attempt finds no worker.
    Refusal(u16),
    /// The scheduler rejects the job, none of whose attempts has left there.
    Reject(u16),
    /// A run ends: with a result, or its connection breaks.
    Result(u16, usize, bool),
    Crash(u16),
    LeaseExpires(u16),
    NewMemberList,
    Return(u16),
    ApplyMemberList(u16),
    ComeAgain(u16),
    Goodbye(usize),
}

fn key() -> JobKey {
    JobKey { class: 1, tenant: 0, idempotency_key: Arc::from("order-7") }
}

fn process(node: u16) -> ProcessId {
    ProcessId { ordinal: node, incarnation: 1 }
}

fn term(member_list: usize) -> Term {
    Term { step: member_list as u32 + 1, ..Term::default() }
}

fn members(member_list: &BTreeSet<u16>) -> BTreeMap<u16, u64> {
    member_list.iter().map(|&node| (node, 1)).collect()
}

impl Cluster {
    fn submit(&self, state: &mut State, node: u16) {
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
        if let Some(one) = &mut state.nodes[usize::from(node)] {
            one.submit(NOW, waiter, key(), submission);
        }
        self.carry_out(state, node);
    }

    fn carry_out(&self, state: &mut State, node: u16) {
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
                    state.callers[at].running = Some(0);
                    if prior_execution.is_some() && self.sabotage != Some(Sabotage::RiskIgnored) {
                        self.end(state, node, JobOutcome::Failed);
                    } else {
                        self.dispatch(state, node);
                    }
                }
                Command::PermitAttempt { attempt, .. } => {
                    state.callers[at].actions.push_back(PendingAction::Attempt(attempt))
                }
                Command::AttemptExpired { attempt, .. } => {
                    state.callers[at].actions.retain(|action| *action != PendingAction::Attempt(attempt));
                    if state.callers[at].running.is_some() {
                        self.end(state, node, JobOutcome::Rejected(None));
                    }
                }
                Command::Answer { waiters, outcome } => {
                    state.callers[at].actions.push_back(PendingAction::Answer(waiters, outcome));
                }
                Command::Revoke { .. } => {
                    let caller = &mut state.callers[at];
                    caller.running = None;
                    caller.actions.retain(|action| matches!(action, PendingAction::Answer(..)));
                    caller.running_attempts.clear();
                }
                Command::Event(_) => {}
            }
        }
    }

    fn dispatch(&self, state: &mut State, node: u16) {
        let at = usize::from(node);
        let Some(attempt) = state.callers[at].running else { return };
        state.callers[at].running = Some(attempt + 1);
        let Some(one) = &mut state.nodes[at] else { return };
        let now = one.request_attempt(NOW, &key(), attempt, "w", NEVER);
        if now || self.sabotage == Some(Sabotage::SentBeforeAcked) {
            state.callers[at].actions.push_back(PendingAction::Attempt(attempt));
        }
    }

    fn end(&self, state: &mut State, node: u16, outcome: JobOutcome) {
        let at = usize::from(node);
        state.callers[at].running = None;
        if let Some(one) = &mut state.nodes[at] {
            one.job_finished(NOW, &key(), outcome);
        }
    }

    /// A member of the newest list has crashed or lost its lease.
    fn member_list_is_stale(&self, state: &State) -> bool {
        let member_list = state.member_lists.last().expect("a member list");
        member_list
            .iter()
            .any(|&node| state.nodes[usize::from(node)].is_none() || state.without_lease.contains(&node))
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let number = usize::from(self.nodes);
        let all: BTreeSet<u16> = (0..self.nodes).collect();
        let settings = Settings { replication_factor: self.replication_factor, ..Settings::default() };
        let mut state = State {
            nodes: (0..self.nodes).map(|node| Some(Failover::new(process(node), 0, settings))).collect(),
            callers: vec![Caller::default(); number],
            in_transit: BTreeMap::new(),
            member_lists: vec![all.clone()],
            applied: vec![0; number],
            without_lease: BTreeSet::new(),
            crashes: self.crashes,
            exclusions: self.exclusions,
            returns: self.returns,
            resubmissions: self.resubmissions,
            refusals: self.refusals,
            rejections: self.rejections,
            rejected_by: None,
            client_rejected: false,
            runs: 0,
            client: None,
            next_waiter: 1,
            goodbyes: Vec::new(),
            client_outcomes: Vec::new(),
            taken_over: 0,
        };
        for node in 0..self.nodes {
            let one = state.nodes[usize::from(node)].as_mut().expect("a node");
            one.set_member_lease(NOW, NEVER);
            one.apply_member_list(NOW, term(0), &members(&all));
            for other in (0..self.nodes).filter(|&other| other != node) {
                one.handle_message(NOW, process(other), Message::ReportComplete { term: term(0) });
            }
            while one.poll_command().is_some() {}
            assert!(one.is_settled(NOW));
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
            if let Some(action) = state.callers[at].actions.front() {
                actions.push(Action::PerformPending(node));
                if matches!(action, PendingAction::Attempt(_)) && state.refusals > 0 {
                    actions.push(Action::Refusal(node));
                }
            }
            let caller = &state.callers[at];
            let unsent = caller.actions.is_empty() && caller.running_attempts.is_empty();
            if state.rejections > 0 && caller.running.is_some() && unsent && state.runs == 0 {
                actions.push(Action::Reject(node));
            }
            for run in 0..state.callers[at].running_attempts.len() {
                actions.extend([Action::Result(node, run, true), Action::Result(node, run, false)]);
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
                actions.push(Action::ComeAgain(node));
            }
        }
        if self.member_list_is_stale(state) {
            actions.push(Action::NewMemberList);
        }
        actions.extend((0..state.goodbyes.len()).map(Action::Goodbye));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(from, to) => {
                let message = state.in_transit.get_mut(&(from, to))?.pop_front()?;
                if state.in_transit[&(from, to)].is_empty() {
                    state.in_transit.remove(&(from, to));
                }
                state.nodes[usize::from(to)].as_mut()?.handle_message(NOW, process(from), message);
                self.carry_out(&mut state, to);
            }
            Action::PerformPending(node) => match state.callers[usize::from(node)].actions.pop_front()? {
                PendingAction::Attempt(attempt) => {
                    state.runs += 1;
                    let run = state.runs;
                    state.callers[usize::from(node)].running_attempts.push((attempt, run));
                }
                PendingAction::Answer(waiters, outcome) => {
                    if let Some((at, waiter)) = state.client
                        && at == node
                        && waiters.contains(&waiter)
                    {
                        state.client = None;
                        if matches!(outcome, JobOutcome::Rejected(_)) {
                            state.client_rejected = true;
                        } else {
                            state.client_outcomes.push(outcome);
                        }
                    }
                }
            },
            Action::Refusal(node) => {
                let at = usize::from(node);
                let PendingAction::Attempt(attempt) = state.callers[at].actions.pop_front()? else {
                    return None;
                };
                state.refusals -= 1;
                state.nodes[at].as_mut()?.attempt_never_ran(NOW, &key(), attempt);
                self.carry_out(&mut state, node);
                self.dispatch(&mut state, node);
                self.carry_out(&mut state, node);
            }
            Action::Reject(node) => {
                state.rejections -= 1;
                state.rejected_by = Some(node);
                self.end(&mut state, node, JobOutcome::Rejected(None));
                self.carry_out(&mut state, node);
            }
            Action::Result(node, at, whole) => {
                let (_, run) = state.callers[usize::from(node)].running_attempts.remove(at);
                let outcome = if whole { JobOutcome::Served(Arc::from([run])) } else { JobOutcome::Failed };
                if state.callers[usize::from(node)].running.is_some() {
                    self.end(&mut state, node, outcome);
                    self.carry_out(&mut state, node);
                }
            }
            Action::Crash(node) => {
                state.crashes -= 1;
                state.nodes[usize::from(node)] = None;
                state.callers[usize::from(node)] = Caller::default();
                // What it had sent may still arrive, or some of it.
                state.in_transit.retain(|ends, _| ends.1 != node);
                state.client = state.client.filter(|client| client.0 != node);
                state.without_lease.insert(node);
                // Its discard may be lost with it, and the job is taken over.
                state.rejected_by = state.rejected_by.filter(|&by| by != node);
            }
            Action::LeaseExpires(node) => {
                state.exclusions -= 1;
                state.without_lease.insert(node);
                state.rejected_by = state.rejected_by.filter(|&by| by != node);
                state.nodes[usize::from(node)].as_mut()?.set_member_lease(NOW, 0);
                self.carry_out(&mut state, node);
            }
            Action::NewMemberList => {
                let member_list = state
                    .member_lists
                    .last()?
                    .difference(&state.without_lease)
                    .copied()
                    .collect::<BTreeSet<u16>>();
                if member_list.is_empty() {
                    return None;
                }
                state.member_lists.push(member_list);
            }
            Action::Return(node) => {
                state.returns -= 1;
                let mut member_list = state.member_lists.last()?.clone();
                member_list.insert(node);
                state.without_lease.remove(&node);
                state.member_lists.push(member_list);
            }
            Action::ApplyMemberList(node) => {
                let newest = state.member_lists.len() - 1;
                state.applied[usize::from(node)] = newest;
                let member_list = state.member_lists[newest].clone();
                let expiry = if state.without_lease.contains(&node) { 0 } else { NEVER };
                let one = state.nodes[usize::from(node)].as_mut()?;
                one.apply_member_list(NOW, term(newest), &members(&member_list));
                if member_list.contains(&node) {
                    one.set_member_lease(NOW, expiry);
                }
                if self.sabotage == Some(Sabotage::NoReports) {
                    for &other in member_list.iter().filter(|&&other| other != node) {
                        one.handle_message(
                            NOW,
                            process(other),
                            Message::ReportComplete { term: term(newest) },
                        );
                    }
                }
                self.carry_out(&mut state, node);
            }
            Action::ComeAgain(node) => {
                state.resubmissions -= 1;
                state.goodbyes.extend(state.client.take());
                self.submit(&mut state, node);
            }
            Action::Goodbye(at) => {
                let (node, waiter) = state.goodbyes.remove(at);
                state.nodes[usize::from(node)].as_mut()?.client_disconnected(NOW, waiter);
                self.carry_out(&mut state, node);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("it never runs twice", |_, state: &State| state.runs <= 1),
            Property::always("its client hears one end", |_, state: &State| state.client_outcomes.len() <= 1),
            Property::always("nobody hears of a run that was not", |_, state: &State| {
                state.client_outcomes.iter().all(|outcome| match outcome {
                    JobOutcome::Served(run) => run[0] <= state.runs,
                    _ => true,
                })
            }),
            Property::always("one attempt at most has been allowed", |_, state: &State| {
                let attempts = state.callers.iter().flat_map(|caller| &caller.actions);
                let allowed = attempts.filter(|action| matches!(action, PendingAction::Attempt(_))).count();
                allowed + usize::from(state.runs) <= 1
            }),
            Property::always(
                "who waits has its answer once all is quiet",
                |model: &Cluster, state: &State| {
                    let Some((node, _)) = state.client else { return true };
                    let quiet = state.in_transit.is_empty()
                        && state.goodbyes.is_empty()
                        && state
                            .callers
                            .iter()
                            .all(|caller| caller.actions.is_empty() && caller.running_attempts.is_empty())
                        && !model.member_list_is_stale(state)
                        && (0..model.nodes).all(|node| {
                            let at = usize::from(node);
                            state.nodes[at].is_none() || state.applied[at] + 1 == state.member_lists.len()
                        });
                    !quiet
                        || !state.member_lists.last().is_some_and(|member_list| member_list.contains(&node))
                },
            ),
            Property::always("nobody takes over what its client was told has not run", |_, state: &State| {
                let rejected = state.client_rejected && state.rejected_by.is_some();
                !rejected || state.taken_over == 0 && state.runs == 0
            }),
            Property::sometimes("it is served", |_, state: &State| {
                state.client_outcomes.iter().any(|outcome| matches!(outcome, JobOutcome::Served(_)))
            }),
            Property::sometimes("another takes it over and it is served", |_, state: &State| {
                state.taken_over > 0
                    && state.client_outcomes.iter().any(|outcome| matches!(outcome, JobOutcome::Served(_)))
            }),
        ]
    }
}

fn states() -> usize {
    std::env::var("MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(60_000)
}

const PLAIN: Cluster = Cluster {
    nodes: 3,
    replication_factor: 1,
    crashes: 0,
    exclusions: 0,
    returns: 0,
    resubmissions: 1,
    refusals: 0,
    rejections: 0,
    sabotage: None,
};

fn broken(model: &Cluster, seed: u64, states: usize) -> (usize, Vec<&'static str>, Vec<&'static str>) {
    let checker = model
        .clone()
        .checker()
        .target_state_count(states)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(seed, stateright::UniformChooser)
        .join();
    let of = |always: bool| {
        let kind = move |p: &Property<Cluster>| (p.expectation == stateright::Expectation::Always) == always;
        let names = model.properties().into_iter().filter(kind).map(|property| property.name);
        names.filter(|name| checker.discovery(name).is_some()).collect::<Vec<_>>()
    };
    let (wrong, seen) = (of(true), of(false));
    for name in &wrong {
        if let Some(path) = checker.discovery(name) {
            println!("{name}:");
            for (state, action) in path.into_vec() {
                let running: Vec<_> = state.callers.iter().map(|caller| caller.running).collect();
                println!("  {:?}, runs {}, running {running:?}", state.client, state.runs);
                println!("  {action:?}");
            }
        }
    }
    (checker.state_count(), wrong, seen)
}

/// Random runs to their ends from several seeds, then all states near the start.
fn holds(name: &str, model: Cluster, taken_over: bool) {
    let mut seen = BTreeSet::new();
    for seed in 0..3 {
        let (states, wrong, sometimes) = broken(&model, seed, states());
        println!("{name}, random runs from seed {seed}: {states} states");
        assert_eq!(wrong, [""; 0], "{name}");
        seen.extend(sometimes);
    }
    assert!(seen.contains("it is served"), "{name}: {seen:?}");
    assert!(!taken_over || seen.len() == 2, "{name}: {seen:?}");
    let checker = model
        .clone()
        .checker()
        .threads(4)
        .target_state_count(states())
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!(
        "{name}, breadth first: {} states, {} unlike",
        checker.state_count(),
        checker.unique_state_count()
    );
    for property in model.properties().iter().filter(|p| p.expectation == stateright::Expectation::Always) {
        checker.assert_no_discovery(property.name);
    }
}

#[test]
fn a_client_that_submits_again_is_attached_to_its_job() {
    holds("calm", Cluster { resubmissions: 2, refusals: 1, ..PLAIN }, false);
}

#[test]
fn one_of_three_crashes() {
    holds("crash", Cluster { crashes: 1, resubmissions: 2, ..PLAIN }, true);
}

#[test]
fn one_of_three_is_excluded_while_it_is_paused_and_resumes() {
    holds("left out", Cluster { exclusions: 1, resubmissions: 1, ..PLAIN }, true);
}

#[test]
fn one_returns_to_the_member_list_after_it_was_excluded() {
    holds("back", Cluster { exclusions: 1, returns: 1, resubmissions: 2, ..PLAIN }, true);
}

#[test]
fn two_of_four_crash_with_two_replicas() {
    holds(
        "two crashes",
        Cluster { nodes: 4, replication_factor: 2, crashes: 2, resubmissions: 2, refusals: 1, ..PLAIN },
        true,
    );
}

#[test]
fn a_crash_while_another_is_excluded_and_returns() {
    holds(
        "both",
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
    holds("rejected", Cluster { crashes: 1, resubmissions: 0, rejections: 1, ..PLAIN }, false);
}

#[test]
fn a_job_is_rejected_while_two_of_four_crash() {
    let base = Cluster { nodes: 4, replication_factor: 2, resubmissions: 0, ..PLAIN };
    holds("rejected, two crashes", Cluster { crashes: 2, rejections: 1, ..base }, false);
}

/// A wrong program is caught, or the model shows nothing.
#[test]
fn each_sabotage_is_caught() {
    let table = [
        (Sabotage::SentBeforeAcked, Cluster { crashes: 1, resubmissions: 2, ..PLAIN }),
        (
            Sabotage::NoReports,
            Cluster { nodes: 4, replication_factor: 2, crashes: 2, resubmissions: 2, ..PLAIN },
        ),
        (Sabotage::RiskIgnored, Cluster { crashes: 1, resubmissions: 2, ..PLAIN }),
    ];
    for (sabotage, model) in table {
        let model = Cluster { sabotage: Some(sabotage), ..model };
        let caught =
            (1..=20).map(|seed| broken(&model, seed, 20 * states()).1).find(|wrong| !wrong.is_empty());
        println!("{sabotage:?}: caught by {caught:?}");
        assert!(caught.is_some(), "{sabotage:?}");
    }
}
