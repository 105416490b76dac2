//! The crate's own state machines under every order of events within bounds: messages lost, repeated, late; a process
//! that loses its memory, one that pauses between its check and its action. `MODEL_STATES` sets how many states are
//! looked at (default: what CI has time for).
#![allow(missing_docs)]

use brackenledge_leases::{
    Command, Epoch, FencingGuard, LeaseManager, Message, ProcessId, RoleGrant, Settings, Term, View,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

/// Also the step of time.
const HEARTBEAT_INTERVAL: u64 = 1_000;
const ROLE: u8 = 0;

#[derive(Clone, Debug)]
struct Cluster {
    nodes: u16,
    voters: u16,
    ticks: u64,
    duplicates: u8,
    delays: u8,
    crashes: u8,
    pauses: u8,
    /// Actions of holders that are possible yet.
    actions_left: u8,
    /// One link that is cut both ways for the whole run.
    cut: Option<(u16, u16)>,
    sabotage: Option<Sabotage>,
}

/// Faults of a program that the model must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sabotage {
    /// A process that has lost its memory votes as the same process.
    VotesAfterRestart,
    /// Voters grant the lease again before it is over.
    LeaseNotWaitedOut,
    /// Receivers do not check terms.
    NoFencing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    nodes: Vec<LeaseManager>,
    paused: Vec<bool>,
    /// Messages in flight from one node to another, in order.
    in_flight: BTreeMap<(u16, u16), Vec<Message>>,
    /// Which nodes have checked their lease, and not yet acted.
    checked: Vec<Option<Term>>,
    /// Receivers, one for each node, and the actions that they accepted.
    guards: Vec<FencingGuard>,
    accepted: Vec<Vec<(Term, ProcessId)>>,
    duplicates: u8,
    delays: u8,
    crashes: u8,
    pauses: u8,
    actions_left: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(u16, u16),
    Duplicate(u16, u16),
    /// Time goes on. What is in flight is lost, except between these two nodes.
    Tick(Option<(u16, u16)>),
    Crash(u16),
    Pause(u16),
    Resume(u16),
    Check(u16),
    Act(u16, u16),
}

impl Cluster {
    fn settings(&self, node: u16) -> Settings {
        let short = self.sabotage == Some(Sabotage::LeaseNotWaitedOut) && node != 0;
        Settings {
            cluster_size: self.nodes,
            voters: usize::from(self.voters),
            lease_duration: if short { HEARTBEAT_INTERVAL } else { 3 * HEARTBEAT_INTERVAL },
            heartbeat_interval: HEARTBEAT_INTERVAL,
            // All clocks agree here; the drift is a matter of arithmetic, tested by itself.
            clock_drift_divisor: u64::MAX,
            bootstrap_timeout: 100 * HEARTBEAT_INTERVAL,
            view_abandon_timeout: 100 * HEARTBEAT_INTERVAL,
            roles: 1,
            member_lease_duration: 0,
        }
    }

    fn process(node: u16) -> ProcessId {
        ProcessId { ordinal: node, incarnation: 1 }
    }

    fn view(&self) -> View {
        View { epoch: Epoch { era: 1, number: 1 }, voters: (0..self.voters).map(Cluster::process).collect() }
    }

    /// Puts the messages of a node in flight.
    fn carry_out(&self, state: &mut State, node: u16) {
        while let Some(command) = state.nodes[usize::from(node)].poll_command() {
            let (receivers, message) = match command {
                Command::Send { to, message } => (vec![to], message),
                Command::Broadcast(message) => {
                    ((0..self.nodes).filter(|&other| other != node).collect(), message)
                }
                _ => continue,
            };
            // Every message must survive its encoding.
            assert_eq!(Message::decode(&message.encode()).as_ref(), Ok(&message));
            for to in receivers {
                if self.cut.is_some_and(|(a, b)| (a, b) == (node, to) || (b, a) == (node, to)) {
                    continue;
                }
                let queue = state.in_flight.entry((node, to)).or_default();
                // Member lists are sent again and again, and mean nothing here.
                if !matches!(message, Message::MemberListPart { .. }) && !queue.contains(&message) {
                    queue.push(message.clone());
                }
            }
        }
    }

    fn deliver(&self, state: &mut State, from: u16, to: u16, message: Message) {
        // Receivers know terms from the leader's updates.
        if let Message::ViewUpdate { role_grants, .. } = &message {
            for &RoleGrant { role, term, holder } in role_grants {
                state.guards[usize::from(to)].observe(role, term, holder);
            }
        }
        let now = state.now;
        state.nodes[usize::from(to)].handle_message(now, from, message);
        self.carry_out(state, to);
    }

    fn handle_timeout(&self, state: &mut State, node: u16) {
        let now = state.now;
        state.nodes[usize::from(node)].handle_timeout(now);
        self.carry_out(state, node);
    }

    fn tick(&self, state: &mut State, delayed: Option<(u16, u16)>) {
        let late = delayed.and_then(|link| state.in_flight.remove(&link).map(|messages| (link, messages)));
        state.delays -= u8::from(late.is_some());
        state.in_flight = late.into_iter().collect();
        state.now += HEARTBEAT_INTERVAL;
        for node in 0..self.nodes {
            if !state.paused[usize::from(node)] {
                self.handle_timeout(state, node);
            }
        }
    }

    fn crash(&self, state: &mut State, node: u16) {
        state.crashes -= 1;
        let at = usize::from(node);
        let settings = self.settings(node);
        let mut restarted = if self.sabotage == Some(Sabotage::VotesAfterRestart) {
            LeaseManager::in_view(state.now, Cluster::process(node), settings, self.view())
        } else {
            LeaseManager::new(state.now, ProcessId { ordinal: node, incarnation: 2 }, 2, settings)
        };
        restarted.set_alive_members((0..self.nodes).map(Cluster::process));
        (state.nodes[at], state.checked[at]) = (restarted, None);
        state.guards[at] = FencingGuard::default();
        state.accepted[at].clear();
    }

    fn act(&self, state: &mut State, node: u16, to: u16, term: Term) {
        // A process that crashed has checked nothing since.
        let holder = Cluster::process(node);
        let guard = &mut state.guards[usize::from(to)];
        let accepted = match self.sabotage {
            Some(Sabotage::NoFencing) => true,
            _ => guard.accept(ROLE, term, holder).is_ok(),
        };
        if accepted {
            state.accepted[usize::from(to)].push((term, holder));
        }
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let number = usize::from(self.nodes);
        let mut nodes: Vec<LeaseManager> = (0..self.nodes)
            .map(|node| LeaseManager::in_view(0, Cluster::process(node), self.settings(node), self.view()))
            .collect();
        for node in &mut nodes {
            node.set_alive_members((0..self.nodes).map(Cluster::process));
        }
        vec![State {
            now: 0,
            nodes,
            paused: vec![false; number],
            in_flight: BTreeMap::new(),
            checked: vec![None; number],
            guards: vec![FencingGuard::default(); number],
            accepted: vec![Vec::new(); number],
            duplicates: self.duplicates,
            delays: self.delays,
            crashes: self.crashes,
            pauses: self.pauses,
            actions_left: self.actions_left,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (&(from, to), queue) in &state.in_flight {
            if !queue.is_empty() && !state.paused[usize::from(to)] {
                actions.push(Action::Deliver(from, to));
                if state.duplicates > 0 {
                    actions.push(Action::Duplicate(from, to));
                }
            }
        }
        if state.now < self.ticks * HEARTBEAT_INTERVAL {
            actions.push(Action::Tick(None));
            if state.delays > 0 {
                actions.extend(state.in_flight.keys().map(|&link| Action::Tick(Some(link))));
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
                None if state.actions_left > 0 && state.nodes[at].holds_lease(state.now, ROLE).is_some() => {
                    actions.push(Action::Check(node));
                }
                Some(_) if state.actions_left > 0 => {
                    let others = (0..self.nodes).filter(|&other| other != node);
                    actions.extend(others.map(|other| Action::Act(node, other)));
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(from, to) => {
                let queue = state.in_flight.get_mut(&(from, to))?;
                let message = queue.remove(0);
                if queue.is_empty() {
                    state.in_flight.remove(&(from, to));
                }
                self.deliver(&mut state, from, to, message);
            }
            Action::Duplicate(from, to) => {
                state.duplicates -= 1;
                let message = state.in_flight.get(&(from, to))?.first()?.clone();
                self.deliver(&mut state, from, to, message);
            }
            Action::Tick(delayed) => self.tick(&mut state, delayed),
            Action::Crash(node) => self.crash(&mut state, node),
            Action::Pause(node) => {
                state.pauses -= 1;
                state.paused[usize::from(node)] = true;
            }
            Action::Resume(node) => {
                state.paused[usize::from(node)] = false;
                // It may act on what it checked before it looks at the clock again.
                if state.checked[usize::from(node)].is_none() {
                    self.handle_timeout(&mut state, node);
                }
            }
            Action::Check(node) => {
                state.checked[usize::from(node)] =
                    state.nodes[usize::from(node)].holds_lease(state.now, ROLE);
            }
            Action::Act(node, to) => {
                state.actions_left -= 1;
                let term = state.checked[usize::from(node)].take()?;
                self.act(&mut state, node, to, term);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two processes hold the role at one time", |_, state: &State| {
                state.nodes.iter().filter(|node| node.holds_lease(state.now, ROLE).is_some()).count() <= 1
            }),
            Property::always("no two leaders at one time", |_, state: &State| {
                state.nodes.iter().filter(|node| node.is_leader(state.now)).count() <= 1
            }),
            Property::always("no actions of two holders are accepted under one term", |_, state: &State| {
                let mut holders: BTreeMap<Term, ProcessId> = BTreeMap::new();
                state
                    .accepted
                    .iter()
                    .flatten()
                    .all(|&(term, holder)| *holders.entry(term).or_insert(holder) == holder)
            }),
            Property::always(
                "no action of an old term is accepted after one of a newer",
                |_, state: &State| {
                    state
                        .accepted
                        .iter()
                        .all(|accepted| accepted.windows(2).all(|pair| pair[0].0 <= pair[1].0))
                },
            ),
            Property::sometimes("a process holds the role", |_, state: &State| {
                state.nodes.iter().any(|node| node.holds_lease(state.now, ROLE).is_some())
            }),
            Property::sometimes("another process holds it under a later term", |_, state: &State| {
                let known =
                    state.guards.iter().filter_map(|guard| guard.latest(ROLE)).map(|latest| latest.term);
                let first = known.min();
                state.nodes.iter().any(|node| {
                    node.holds_lease(state.now, ROLE)
                        .is_some_and(|term| first.is_some_and(|first| term > first))
                })
            }),
        ]
    }
}

fn states() -> usize {
    std::env::var("MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(30_000)
}

const PLAIN: Cluster = Cluster {
    nodes: 3,
    voters: 3,
    ticks: 7,
    duplicates: 1,
    delays: 1,
    crashes: 0,
    pauses: 0,
    actions_left: 2,
    cut: None,
    sabotage: None,
};

/// Looks at random runs to their ends, or at all states near the start, as many as asked for.
fn check_model(name: &str, model: Cluster) {
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
        checker.assert_any_discovery("a process holds the role");
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
        "{name}, depth first: {} states, {} of them unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    for property in model.properties().iter().filter(|p| p.expectation == stateright::Expectation::Always) {
        checker.assert_no_discovery(property.name);
    }
}

#[test]
fn three_voters_under_loss_duplication_and_delay() {
    check_model("plain", PLAIN);
}

#[test]
fn three_voters_one_of_which_loses_its_memory() {
    check_model("crash", Cluster { crashes: 1, ..PLAIN });
}

#[test]
fn three_voters_one_of_which_pauses_longer_than_its_lease() {
    check_model("pause", Cluster { pauses: 1, ticks: 9, ..PLAIN });
}

#[test]
fn three_voters_two_of_which_are_cut_off_from_one_another() {
    check_model("cut", Cluster { cut: Some((0, 1)), ..PLAIN });
}

#[test]
fn five_voters_with_a_crash_and_a_pause() {
    check_model("five", Cluster { nodes: 5, voters: 5, crashes: 1, pauses: 1, ticks: 9, ..PLAIN });
}

/// A model that does not find these faults shows nothing.
#[test]
fn each_sabotage_is_caught() {
    let table = [
        (Sabotage::VotesAfterRestart, Cluster { crashes: 2, ..PLAIN }),
        (Sabotage::LeaseNotWaitedOut, PLAIN),
        (Sabotage::NoFencing, Cluster { ticks: 14, actions_left: 3, duplicates: 0, delays: 0, ..PLAIN }),
    ];
    for (sabotage, model) in table {
        let model = Cluster { sabotage: Some(sabotage), ..model };
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
                let always = |p: &Property<Cluster>| p.expectation == stateright::Expectation::Always;
                let found = model.properties().into_iter().filter(always).map(|p| p.name);
                found.filter(|name| checker.discovery(name).is_some()).collect::<Vec<_>>()
            })
            .find(|found| !found.is_empty())
            .unwrap_or_default();
        println!("{sabotage:?}: caught by {caught:?}");
        assert!(!caught.is_empty(), "{sabotage:?}");
    }
}
