//! The crate's own state machines under every order of events within bounds: one job that must never run twice, its
//! client that comes again elsewhere, processes that crash, one that is left out of a roll while it stands still and
//! wakes up late, rolls that reach each process at its own time. `MODEL_STATES` sets how many states are looked at
//! (default: what CI has time for).
#![allow(missing_docs)]

use brackenledge_failover::{
    Brought, Command, Fate, Handover, Key, Message, ProcessId, Settings, Term, Waiter,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const NOW: u64 = 1_000_000;
const NEVER: u64 = 1_000_000_000_000;

#[derive(Clone, Debug)]
struct Tier {
    nodes: u16,
    copies: usize,
    /// Nodes that may crash, be left out while they live, and come back.
    crashes: u8,
    expelled: u8,
    returns: u8,
    /// How often the client may come again.
    tries: u8,
    /// Attempts that find no worker: they never ran.
    refusals: u8,
    sabotage: Option<Sabotage>,
}

/// What a wrong program would do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sabotage {
    /// Attempts leave before their note is acknowledged.
    SentBeforeKept,
    /// Homes don't wait for what the others have to report.
    NoReports,
    /// What another's attempt may have done is not looked at.
    RiskIgnored,
}

/// What a process has decided to do and not done yet: a pause between check and deed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Deed {
    Attempt(u32),
    Answer(Vec<Waiter>, Fate),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Caller {
    /// It runs the job, and so many attempts have been made under this start.
    running: Option<u32>,
    deeds: VecDeque<Deed>,
    /// Attempts at the worker: the run's number.
    out: Vec<(u32, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Option<Handover>>,
    callers: Vec<Caller>,
    way: BTreeMap<(u16, u16), VecDeque<Message>>,
    rolls: Vec<BTreeSet<u16>>,
    /// The roll that each node has heard of last.
    told: Vec<usize>,
    /// Nodes that may not act any more: their stay is over.
    over: BTreeSet<u16>,
    crashes: u8,
    expelled: u8,
    returns: u8,
    tries: u8,
    refusals: u8,
    runs: u8,
    /// Where the client waits now.
    client: Option<(u16, Waiter)>,
    next_waiter: Waiter,
    goodbyes: Vec<(u16, Waiter)>,
    heard: Vec<Fate>,
    /// Starts that were of another's job.
    adopted: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(u16, u16),
    Deed(u16),
    /// The attempt finds no worker.
    Refusal(u16),
    /// A run ends: with a result, or its connection breaks.
    Result(u16, usize, bool),
    Crash(u16),
    StayOver(u16),
    NewRoll,
    Return(u16),
    Tell(u16),
    ComeAgain(u16),
    Goodbye(usize),
}

fn key() -> Key {
    Key { class: 1, tenant: 0, name: Arc::from("order-7") }
}

fn process(node: u16) -> ProcessId {
    ProcessId { ordinal: node, incarnation: 1 }
}

fn term(roll: usize) -> Term {
    Term { step: roll as u32 + 1, ..Term::default() }
}

fn members(roll: &BTreeSet<u16>) -> BTreeMap<u16, u64> {
    roll.iter().map(|&node| (node, 1)).collect()
}

impl Tier {
    fn bring(&self, state: &mut State, node: u16) {
        let waiter = state.next_waiter;
        state.next_waiter += 1;
        state.client = Some((node, waiter));
        let brought = Brought { what: Arc::from(&b"sell"[..]), gated: true, must: true, until: NEVER };
        if let Some(one) = &mut state.nodes[usize::from(node)] {
            one.arrived(NOW, waiter, key(), brought);
        }
        self.carry_out(state, node);
    }

    fn carry_out(&self, state: &mut State, node: u16) {
        let at = usize::from(node);
        while let Some(order) = state.nodes[at].as_mut().and_then(Handover::poll_command) {
            match order {
                Command::Send { to, message, .. } => {
                    if state.nodes[usize::from(to.ordinal)].is_some() {
                        state.way.entry((node, to.ordinal)).or_default().push_back(message);
                    }
                }
                Command::Start { ran, adopted, .. } => {
                    state.adopted += u8::from(adopted);
                    state.callers[at].running = Some(0);
                    if ran.is_some() && self.sabotage != Some(Sabotage::RiskIgnored) {
                        self.end(state, node, Fate::Failed);
                    } else {
                        self.dispatch(state, node);
                    }
                }
                Command::Go(_, attempt) => state.callers[at].deeds.push_back(Deed::Attempt(attempt)),
                Command::Moot(_, attempt) => {
                    state.callers[at].deeds.retain(|deed| *deed != Deed::Attempt(attempt));
                    if state.callers[at].running.is_some() {
                        self.end(state, node, Fate::Denied(None));
                    }
                }
                Command::Answer(waiters, fate) => {
                    state.callers[at].deeds.push_back(Deed::Answer(waiters, fate));
                }
                Command::Close(_) => {
                    let caller = &mut state.callers[at];
                    caller.running = None;
                    caller.deeds.retain(|deed| matches!(deed, Deed::Answer(..)));
                    caller.out.clear();
                }
                Command::Log(_) => {}
            }
        }
    }

    fn dispatch(&self, state: &mut State, node: u16) {
        let at = usize::from(node);
        let Some(attempt) = state.callers[at].running else { return };
        state.callers[at].running = Some(attempt + 1);
        let Some(one) = &mut state.nodes[at] else { return };
        let now = one.dispatch(NOW, &key(), attempt, "w", NEVER);
        if now || self.sabotage == Some(Sabotage::SentBeforeKept) {
            state.callers[at].deeds.push_back(Deed::Attempt(attempt));
        }
    }

    fn end(&self, state: &mut State, node: u16, fate: Fate) {
        let at = usize::from(node);
        state.callers[at].running = None;
        if let Some(one) = &mut state.nodes[at] {
            one.ended(NOW, &key(), fate);
        }
    }

    /// The newest roll is not what it should be: one on it has crashed, or has been told to go.
    fn stale_roll(&self, state: &State) -> bool {
        let roll = state.rolls.last().expect("a roll");
        roll.iter().any(|&node| state.nodes[usize::from(node)].is_none() || state.over.contains(&node))
    }
}

impl Model for Tier {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let number = usize::from(self.nodes);
        let all: BTreeSet<u16> = (0..self.nodes).collect();
        let settings = Settings { copies: self.copies, ..Settings::default() };
        let mut state = State {
            nodes: (0..self.nodes).map(|node| Some(Handover::new(process(node), 0, settings))).collect(),
            callers: vec![Caller::default(); number],
            way: BTreeMap::new(),
            rolls: vec![all.clone()],
            told: vec![0; number],
            over: BTreeSet::new(),
            crashes: self.crashes,
            expelled: self.expelled,
            returns: self.returns,
            tries: self.tries,
            refusals: self.refusals,
            runs: 0,
            client: None,
            next_waiter: 1,
            goodbyes: Vec::new(),
            heard: Vec::new(),
            adopted: 0,
        };
        for node in 0..self.nodes {
            let one = state.nodes[usize::from(node)].as_mut().expect("a node");
            one.stays(NOW, NEVER);
            one.roll(NOW, term(0), &members(&all));
            for other in (0..self.nodes).filter(|&other| other != node) {
                one.handle_message(NOW, process(other), Message::Reported { roll: term(0) });
            }
            while one.poll_command().is_some() {}
            assert!(one.settled(NOW));
        }
        // Wherever it is brought, some node is the key's home, and some are not.
        (0..self.nodes)
            .map(|node| {
                let mut state = state.clone();
                self.bring(&mut state, node);
                state
            })
            .collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let lives = |node: u16| state.nodes[usize::from(node)].is_some();
        for (&(from, to), way) in &state.way {
            if !way.is_empty() && lives(to) {
                actions.push(Action::Deliver(from, to));
            }
        }
        let newest = state.rolls.last().expect("a roll");
        for node in (0..self.nodes).filter(|&node| lives(node)) {
            let at = usize::from(node);
            if let Some(deed) = state.callers[at].deeds.front() {
                actions.push(Action::Deed(node));
                if matches!(deed, Deed::Attempt(_)) && state.refusals > 0 {
                    actions.push(Action::Refusal(node));
                }
            }
            for run in 0..state.callers[at].out.len() {
                actions.extend([Action::Result(node, run, true), Action::Result(node, run, false)]);
            }
            if state.crashes > 0 {
                actions.push(Action::Crash(node));
            }
            if state.expelled > 0 && newest.contains(&node) && newest.len() > 1 {
                actions.push(Action::StayOver(node));
            }
            if state.returns > 0 && !newest.contains(&node) && !self.stale_roll(state) {
                actions.push(Action::Return(node));
            }
            if state.told[at] + 1 < state.rolls.len() {
                actions.push(Action::Tell(node));
            }
            if state.tries > 0 && state.heard.is_empty() {
                actions.push(Action::ComeAgain(node));
            }
        }
        if self.stale_roll(state) {
            actions.push(Action::NewRoll);
        }
        actions.extend((0..state.goodbyes.len()).map(Action::Goodbye));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(from, to) => {
                let message = state.way.get_mut(&(from, to))?.pop_front()?;
                if state.way[&(from, to)].is_empty() {
                    state.way.remove(&(from, to));
                }
                state.nodes[usize::from(to)].as_mut()?.handle_message(NOW, process(from), message);
                self.carry_out(&mut state, to);
            }
            Action::Deed(node) => match state.callers[usize::from(node)].deeds.pop_front()? {
                Deed::Attempt(attempt) => {
                    state.runs += 1;
                    let run = state.runs;
                    state.callers[usize::from(node)].out.push((attempt, run));
                }
                Deed::Answer(waiters, fate) => {
                    if let Some((at, waiter)) = state.client
                        && at == node
                        && waiters.contains(&waiter)
                    {
                        state.client = None;
                        if !matches!(fate, Fate::Denied(_)) {
                            state.heard.push(fate);
                        }
                    }
                }
            },
            Action::Refusal(node) => {
                let at = usize::from(node);
                let Deed::Attempt(attempt) = state.callers[at].deeds.pop_front()? else { return None };
                state.refusals -= 1;
                state.nodes[at].as_mut()?.never_ran(NOW, &key(), attempt);
                self.carry_out(&mut state, node);
                self.dispatch(&mut state, node);
                self.carry_out(&mut state, node);
            }
            Action::Result(node, at, whole) => {
                let (_, run) = state.callers[usize::from(node)].out.remove(at);
                let fate = if whole { Fate::Served(Arc::from([run])) } else { Fate::Failed };
                if state.callers[usize::from(node)].running.is_some() {
                    self.end(&mut state, node, fate);
                    self.carry_out(&mut state, node);
                }
            }
            Action::Crash(node) => {
                state.crashes -= 1;
                state.nodes[usize::from(node)] = None;
                state.callers[usize::from(node)] = Caller::default();
                // What it had said may still arrive, or some of it.
                state.way.retain(|ends, _| ends.1 != node);
                state.client = state.client.filter(|client| client.0 != node);
                state.over.insert(node);
            }
            Action::StayOver(node) => {
                state.expelled -= 1;
                state.over.insert(node);
                state.nodes[usize::from(node)].as_mut()?.stays(NOW, 0);
                self.carry_out(&mut state, node);
            }
            Action::NewRoll => {
                let roll = state.rolls.last()?.difference(&state.over).copied().collect::<BTreeSet<u16>>();
                if roll.is_empty() {
                    return None;
                }
                state.rolls.push(roll);
            }
            Action::Return(node) => {
                state.returns -= 1;
                let mut roll = state.rolls.last()?.clone();
                roll.insert(node);
                state.over.remove(&node);
                state.rolls.push(roll);
            }
            Action::Tell(node) => {
                let newest = state.rolls.len() - 1;
                state.told[usize::from(node)] = newest;
                let roll = state.rolls[newest].clone();
                let stay = if state.over.contains(&node) { 0 } else { NEVER };
                let one = state.nodes[usize::from(node)].as_mut()?;
                one.roll(NOW, term(newest), &members(&roll));
                if roll.contains(&node) {
                    one.stays(NOW, stay);
                }
                if self.sabotage == Some(Sabotage::NoReports) {
                    for &other in roll.iter().filter(|&&other| other != node) {
                        one.handle_message(NOW, process(other), Message::Reported { roll: term(newest) });
                    }
                }
                self.carry_out(&mut state, node);
            }
            Action::ComeAgain(node) => {
                state.tries -= 1;
                state.goodbyes.extend(state.client.take());
                self.bring(&mut state, node);
            }
            Action::Goodbye(at) => {
                let (node, waiter) = state.goodbyes.remove(at);
                state.nodes[usize::from(node)].as_mut()?.gone(NOW, waiter);
                self.carry_out(&mut state, node);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("it never runs twice", |_, state: &State| state.runs <= 1),
            Property::always("its client hears one end", |_, state: &State| state.heard.len() <= 1),
            Property::always("nobody hears of a run that was not", |_, state: &State| {
                state.heard.iter().all(|fate| match fate {
                    Fate::Served(run) => run[0] <= state.runs,
                    _ => true,
                })
            }),
            Property::always("one attempt at most has been allowed", |_, state: &State| {
                let attempts = state.callers.iter().flat_map(|caller| &caller.deeds);
                let allowed = attempts.filter(|deed| matches!(deed, Deed::Attempt(_))).count();
                allowed + usize::from(state.runs) <= 1
            }),
            Property::always("who waits has its answer once all is quiet", |model: &Tier, state: &State| {
                let Some((node, _)) = state.client else { return true };
                let quiet = state.way.is_empty()
                    && state.goodbyes.is_empty()
                    && state.callers.iter().all(|caller| caller.deeds.is_empty() && caller.out.is_empty())
                    && !model.stale_roll(state)
                    && (0..model.nodes).all(|node| {
                        let at = usize::from(node);
                        state.nodes[at].is_none() || state.told[at] + 1 == state.rolls.len()
                    });
                !quiet || !state.rolls.last().is_some_and(|roll| roll.contains(&node))
            }),
            Property::sometimes("it is served", |_, state: &State| {
                state.heard.iter().any(|fate| matches!(fate, Fate::Served(_)))
            }),
            Property::sometimes("another takes it over and it is served", |_, state: &State| {
                state.adopted > 0 && state.heard.iter().any(|fate| matches!(fate, Fate::Served(_)))
            }),
        ]
    }
}

fn states() -> usize {
    std::env::var("MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(60_000)
}

const PLAIN: Tier =
    Tier { nodes: 3, copies: 1, crashes: 0, expelled: 0, returns: 0, tries: 1, refusals: 0, sabotage: None };

fn broken(model: &Tier, seed: u64, states: usize) -> (usize, Vec<&'static str>, Vec<&'static str>) {
    let checker = model
        .clone()
        .checker()
        .target_state_count(states)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(seed, stateright::UniformChooser)
        .join();
    let of = |always: bool| {
        let kind = move |p: &Property<Tier>| (p.expectation == stateright::Expectation::Always) == always;
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
fn holds(name: &str, model: Tier, adopted: bool) {
    let mut seen = BTreeSet::new();
    for seed in 0..3 {
        let (states, wrong, sometimes) = broken(&model, seed, states());
        println!("{name}, random runs from seed {seed}: {states} states");
        assert_eq!(wrong, [""; 0], "{name}");
        seen.extend(sometimes);
    }
    assert!(seen.contains("it is served"), "{name}: {seen:?}");
    assert!(!adopted || seen.len() == 2, "{name}: {seen:?}");
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
fn a_client_that_comes_again_is_joined_to_its_job() {
    holds("calm", Tier { tries: 2, refusals: 1, ..PLAIN }, false);
}

#[test]
fn one_of_three_crashes() {
    holds("crash", Tier { crashes: 1, tries: 2, ..PLAIN }, true);
}

#[test]
fn one_of_three_is_left_out_while_it_stands_still_and_wakes_up() {
    holds("left out", Tier { expelled: 1, tries: 1, ..PLAIN }, true);
}

#[test]
fn one_comes_back_to_a_roll_after_it_was_left_out() {
    holds("back", Tier { expelled: 1, returns: 1, tries: 2, ..PLAIN }, true);
}

#[test]
fn two_of_four_crash_with_two_keepers() {
    holds("two crashes", Tier { nodes: 4, copies: 2, crashes: 2, tries: 2, refusals: 1, ..PLAIN }, true);
}

#[test]
fn a_crash_while_another_is_left_out_and_comes_back() {
    holds("both", Tier { nodes: 4, copies: 2, crashes: 1, expelled: 1, returns: 1, tries: 2, ..PLAIN }, true);
}

/// A wrong program is caught, or the model shows nothing.
#[test]
fn each_sabotage_is_caught() {
    let table = [
        (Sabotage::SentBeforeKept, Tier { crashes: 1, tries: 2, ..PLAIN }),
        (Sabotage::NoReports, Tier { nodes: 4, copies: 2, crashes: 2, tries: 2, ..PLAIN }),
        (Sabotage::RiskIgnored, Tier { crashes: 1, tries: 2, ..PLAIN }),
    ];
    for (sabotage, model) in table {
        let model = Tier { sabotage: Some(sabotage), ..model };
        let caught =
            (1..=20).map(|seed| broken(&model, seed, 20 * states()).1).find(|wrong| !wrong.is_empty());
        println!("{sabotage:?}: caught by {caught:?}");
        assert!(caught.is_some(), "{sabotage:?}");
    }
}
