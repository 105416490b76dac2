//! The crate's own state machines under every order of events within bounds: messages lost, repeated, late; a process
//! that loses its memory, one that pauses between its check and its deed. `MODEL_STATES` sets how many states are
//! looked at (default: what CI has time for).
#![allow(missing_docs)]

use brackenledge_leases::{Command, Epoch, Fence, Message, Ownership, ProcessId, Settings, Term, View};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

/// A beat, and the step of time.
const BEAT: u64 = 1_000;
const DUTY: u8 = 0;

#[derive(Clone, Debug)]
struct Tier {
    nodes: u16,
    voters: u16,
    ticks: u64,
    duplicates: u8,
    delays: u8,
    crashes: u8,
    pauses: u8,
    /// Deeds that may be on the way.
    deeds: u8,
    /// One link that is cut both ways for the whole run.
    cut: Option<(u16, u16)>,
    sabotage: Option<Sabotage>,
}

/// What a wrong program would do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sabotage {
    /// A process that has lost its memory votes on under its old name.
    VotesAgain,
    /// Voters grant the lease anew before it is over.
    NotWaitedOut,
    /// Receivers don't look at terms.
    NoFence,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    nodes: Vec<Ownership>,
    paused: Vec<bool>,
    /// What is on the way, with whether it has outlived a step of time already; each way in order.
    way: BTreeMap<(u16, u16), Vec<Message>>,
    /// Who has checked its lease, and not yet done its deed.
    checked: Vec<Option<Term>>,
    /// Receivers, one for each node, and what they accepted last.
    fences: Vec<Fence>,
    accepted: Vec<Vec<(Term, ProcessId)>>,
    duplicates: u8,
    delays: u8,
    crashes: u8,
    pauses: u8,
    deeds: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(u16, u16),
    Duplicate(u16, u16),
    /// Time goes on; what is on the way is lost, but for what travels this way.
    Tick(Option<(u16, u16)>),
    Crash(u16),
    Pause(u16),
    Resume(u16),
    Check(u16),
    Deed(u16, u16),
}

impl Tier {
    fn settings(&self, node: u16) -> Settings {
        let short = self.sabotage == Some(Sabotage::NotWaitedOut) && node != 0;
        Settings {
            seats: self.nodes,
            voters: usize::from(self.voters),
            lease: if short { BEAT } else { 3 * BEAT },
            beat: BEAT,
            // All clocks agree here; the drift is a matter of arithmetic, tested by itself.
            drift: u64::MAX,
            wait: 100 * BEAT,
            dead: 100 * BEAT,
            duties: 1,
            stay: 0,
        }
    }

    fn process(node: u16) -> ProcessId {
        ProcessId { ordinal: node, incarnation: 1 }
    }

    fn view(&self) -> View {
        View { epoch: Epoch { era: 1, number: 1 }, voters: (0..self.voters).map(Tier::process).collect() }
    }

    /// Puts what a node has to say on its way.
    fn carry_out(&self, state: &mut State, node: u16) {
        while let Some(order) = state.nodes[usize::from(node)].poll_command() {
            let Command::Send(to, message) = order else { continue };
            // Every message must survive its bytes.
            assert_eq!(Message::read(&message.write()).as_ref(), Some(&message));
            let all = (0..self.nodes).filter(|&other| other != node);
            for to in to.map_or(all.collect(), |to| vec![to]) {
                if self.cut.is_some_and(|(a, b)| (a, b) == (node, to) || (b, a) == (node, to)) {
                    continue;
                }
                let way = state.way.entry((node, to)).or_default();
                // Rolls are told again and again, and say nothing here.
                if !matches!(message, Message::Roll { .. }) && !way.contains(&message) {
                    way.push(message.clone());
                }
            }
        }
    }

    fn deliver(&self, state: &mut State, from: u16, to: u16, message: Message) {
        // The steward's news are what receivers know terms by.
        if let Message::News { duties, .. } = &message {
            for &(duty, term, owner) in duties {
                state.fences[usize::from(to)].heard(duty, term, owner);
            }
        }
        let now = state.now;
        state.nodes[usize::from(to)].handle_message(now, from, message);
        self.carry_out(state, to);
    }
}

impl Model for Tier {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let number = usize::from(self.nodes);
        let mut nodes: Vec<Ownership> = (0..self.nodes)
            .map(|node| Ownership::begun(0, Tier::process(node), self.settings(node), self.view()))
            .collect();
        for node in &mut nodes {
            node.alive((0..self.nodes).map(Tier::process));
        }
        vec![State {
            now: 0,
            nodes,
            paused: vec![false; number],
            way: BTreeMap::new(),
            checked: vec![None; number],
            fences: vec![Fence::default(); number],
            accepted: vec![Vec::new(); number],
            duplicates: self.duplicates,
            delays: self.delays,
            crashes: self.crashes,
            pauses: self.pauses,
            deeds: self.deeds,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (&(from, to), way) in &state.way {
            if !way.is_empty() && !state.paused[usize::from(to)] {
                actions.push(Action::Deliver(from, to));
                if state.duplicates > 0 {
                    actions.push(Action::Duplicate(from, to));
                }
            }
        }
        if state.now < self.ticks * BEAT {
            actions.push(Action::Tick(None));
            if state.delays > 0 {
                actions.extend(state.way.keys().map(|&way| Action::Tick(Some(way))));
            }
        }
        for node in 0..self.nodes {
            let at = usize::from(node);
            if state.paused[at] {
                actions.push(Action::Resume(node));
                continue;
            }
            if state.pauses > 0 {
                actions.push(Action::Pause(node));
            }
            if state.crashes > 0 {
                actions.push(Action::Crash(node));
            }
            match state.checked[at] {
                None if state.deeds > 0 && state.nodes[at].may(state.now, DUTY).is_some() => {
                    actions.push(Action::Check(node));
                }
                Some(_) if state.deeds > 0 => {
                    let others = (0..self.nodes).filter(|&other| other != node);
                    actions.extend(others.map(|other| Action::Deed(node, other)));
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(from, to) => {
                let way = state.way.get_mut(&(from, to))?;
                let message = way.remove(0);
                if way.is_empty() {
                    state.way.remove(&(from, to));
                }
                self.deliver(&mut state, from, to, message);
            }
            Action::Duplicate(from, to) => {
                state.duplicates -= 1;
                let message = state.way.get(&(from, to))?.first()?.clone();
                self.deliver(&mut state, from, to, message);
            }
            Action::Tick(kept) => {
                let late = kept.and_then(|way| state.way.remove(&way).map(|messages| (way, messages)));
                state.delays -= u8::from(late.is_some());
                state.way = late.into_iter().collect();
                state.now += BEAT;
                for node in 0..self.nodes {
                    if !state.paused[usize::from(node)] {
                        let now = state.now;
                        state.nodes[usize::from(node)].handle_timeout(now);
                        self.carry_out(&mut state, node);
                    }
                }
            }
            Action::Crash(node) => {
                state.crashes -= 1;
                let at = usize::from(node);
                let settings = self.settings(node);
                let mut again = if self.sabotage == Some(Sabotage::VotesAgain) {
                    Ownership::begun(state.now, Tier::process(node), settings, self.view())
                } else {
                    Ownership::new(state.now, ProcessId { ordinal: node, incarnation: 2 }, 2, settings)
                };
                again.alive((0..self.nodes).map(Tier::process));
                (state.nodes[at], state.checked[at]) = (again, None);
                state.fences[at] = Fence::default();
                state.accepted[at].clear();
            }
            Action::Pause(node) => {
                state.pauses -= 1;
                state.paused[usize::from(node)] = true;
            }
            Action::Resume(node) => {
                state.paused[usize::from(node)] = false;
                // What it had checked before may be done before it looks at the clock again.
                if state.checked[usize::from(node)].is_none() {
                    let now = state.now;
                    state.nodes[usize::from(node)].handle_timeout(now);
                    self.carry_out(&mut state, node);
                }
            }
            Action::Check(node) => {
                state.checked[usize::from(node)] = state.nodes[usize::from(node)].may(state.now, DUTY);
            }
            Action::Deed(node, to) => {
                state.deeds -= 1;
                let term = state.checked[usize::from(node)].take()?;
                // Whoever crashed has checked nothing since.
                let owner = Tier::process(node);
                let fence = &mut state.fences[usize::from(to)];
                let accepted = match self.sabotage {
                    Some(Sabotage::NoFence) => true,
                    _ => fence.accept(DUTY, term, owner).is_ok(),
                };
                if accepted {
                    state.accepted[usize::from(to)].push((term, owner));
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two believe at one time that they own it", |_, state: &State| {
                state.nodes.iter().filter(|node| node.may(state.now, DUTY).is_some()).count() <= 1
            }),
            Property::always("no two stewards at one time", |_, state: &State| {
                state.nodes.iter().filter(|node| node.is_steward(state.now)).count() <= 1
            }),
            Property::always("no two owners' deeds are accepted under one term", |_, state: &State| {
                let mut owners: BTreeMap<Term, ProcessId> = BTreeMap::new();
                state
                    .accepted
                    .iter()
                    .flatten()
                    .all(|&(term, owner)| *owners.entry(term).or_insert(owner) == owner)
            }),
            Property::always(
                "no deed of an old term is accepted after one of a newer",
                |_, state: &State| {
                    state.accepted.iter().all(|deeds| deeds.windows(2).all(|pair| pair[0].0 <= pair[1].0))
                },
            ),
            Property::sometimes("somebody owns it", |_, state: &State| {
                state.nodes.iter().any(|node| node.may(state.now, DUTY).is_some())
            }),
            Property::sometimes("another owns it under a later term", |_, state: &State| {
                let known = state.fences.iter().filter_map(|fence| fence.known(DUTY)).map(|known| known.term);
                let first = known.min();
                state.nodes.iter().any(|node| {
                    node.may(state.now, DUTY).is_some_and(|term| first.is_some_and(|first| term > first))
                })
            }),
        ]
    }
}

fn states() -> usize {
    std::env::var("MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(30_000)
}

const PLAIN: Tier = Tier {
    nodes: 3,
    voters: 3,
    ticks: 7,
    duplicates: 1,
    delays: 1,
    crashes: 0,
    pauses: 0,
    deeds: 2,
    cut: None,
    sabotage: None,
};

/// Looks at random runs to their ends, or at all states near the start, as many as asked for.
fn holds(name: &str, model: Tier) {
    for seed in 0..2 {
        let checker = model
            .clone()
            .checker()
            .target_state_count(states())
            .finish_when(HasDiscoveries::AnyFailures)
            .spawn_simulation(seed, stateright::UniformChooser)
            .join();
        println!("{name}, random runs from seed {seed}: {} states", checker.state_count());
        for property in model.properties().iter().filter(|p| p.expectation == stateright::Expectation::Always)
        {
            checker.assert_no_discovery(property.name);
        }
        checker.assert_any_discovery("somebody owns it");
    }
    let checker = model
        .clone()
        .checker()
        .threads(4)
        .target_state_count(states())
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_dfs()
        .join();
    println!(
        "{name}, depth first: {} states, {} of them unlike",
        checker.state_count(),
        checker.unique_state_count()
    );
    for property in model.properties().iter().filter(|p| p.expectation == stateright::Expectation::Always) {
        checker.assert_no_discovery(property.name);
    }
}

#[test]
fn three_voters_under_loss_repeats_and_delay() {
    holds("plain", PLAIN);
}

#[test]
fn three_voters_one_of_which_loses_its_memory() {
    holds("crash", Tier { crashes: 1, ..PLAIN });
}

#[test]
fn three_voters_one_of_which_pauses_longer_than_its_lease() {
    holds("pause", Tier { pauses: 1, ticks: 9, ..PLAIN });
}

#[test]
fn three_voters_two_of_which_cannot_hear_one_another() {
    holds("cut", Tier { cut: Some((0, 1)), ..PLAIN });
}

#[test]
fn five_voters_with_a_crash_and_a_pause() {
    holds("five", Tier { nodes: 5, voters: 5, crashes: 1, pauses: 1, ticks: 9, ..PLAIN });
}

/// A wrong program is caught, or the model shows nothing.
#[test]
fn each_sabotage_is_caught() {
    let table = [
        (Sabotage::VotesAgain, Tier { crashes: 2, ..PLAIN }),
        (Sabotage::NotWaitedOut, PLAIN),
        (Sabotage::NoFence, Tier { ticks: 14, deeds: 3, duplicates: 0, delays: 0, ..PLAIN }),
    ];
    for (sabotage, model) in table {
        let model = Tier { sabotage: Some(sabotage), ..model };
        // Random runs, from one seed after another.
        let caught: Vec<&str> = (1..=20)
            .map(|seed| {
                let checker = model
                    .clone()
                    .checker()
                    .target_state_count(40 * states())
                    .finish_when(HasDiscoveries::AnyFailures)
                    .spawn_simulation(seed, stateright::UniformChooser)
                    .join();
                println!("{sabotage:?}: seed {seed}, {} states", checker.state_count());
                let always = |p: &Property<Tier>| p.expectation == stateright::Expectation::Always;
                let found = model.properties().into_iter().filter(always).map(|p| p.name);
                found.filter(|name| checker.discovery(name).is_some()).collect::<Vec<_>>()
            })
            .find(|found| !found.is_empty())
            .unwrap_or_default();
        println!("{sabotage:?}: caught by {caught:?}");
        assert!(!caught.is_empty(), "{sabotage:?}");
    }
}
