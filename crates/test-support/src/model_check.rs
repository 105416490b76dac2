//! Bounded checking of `stateright` models: seeded random simulation, and search of the states near the
//! initial states.

use stateright::{Checker, CheckerBuilder, Expectation, HasDiscoveries, Model, UniformChooser};
use std::fmt::Debug;
use std::hash::Hash;
use std::ops::RangeInclusive;

/// A model that the functions of this module can check. Implemented for every model that meets the bounds.
pub trait CheckedModel:
    Model<State: Clone + Debug + Hash + PartialEq + Send + Sync, Action: Clone + Debug + PartialEq>
    + Clone
    + Send
    + Sync
    + 'static
{
}

impl<M> CheckedModel for M
where
    M: Model + Clone + Send + Sync + 'static,
    M::State: Clone + Debug + Hash + PartialEq + Send + Sync,
    M::Action: Clone + Debug + PartialEq,
{
}

/// The result of a random simulation.
#[derive(Debug)]
pub struct Findings {
    /// Number of states visited.
    pub state_count: usize,
    /// Names of the properties that must always hold and were violated.
    pub violated: Vec<&'static str>,
    /// Names of the properties that must hold sometimes and were observed to hold.
    pub observed: Vec<&'static str>,
}

/// Number of states that a check visits: the environment variable `MODEL_STATES`, or `default` if it is not
/// set to a number.
pub fn max_states(default: usize) -> usize {
    std::env::var("MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A checker that visits at least `max_states` states, unless it stops earlier at the first violation or runs
/// out of states.
pub fn bounded_checker<M: CheckedModel>(model: &M, max_states: usize) -> CheckerBuilder<M> {
    model.clone().checker().target_state_count(max_states).finish_when(HasDiscoveries::AnyFailures)
}

/// Simulates random runs from this seed, each to its end. Prints the path to each violation, with its states
/// formatted by `describe`.
pub fn random_runs<M: CheckedModel>(
    model: &M,
    seed: u64,
    max_states: usize,
    describe: impl Fn(&M::State) -> String,
) -> Findings {
    let checker = bounded_checker(model, max_states).spawn_simulation(seed, UniformChooser).join();
    let found = |expectation| {
        let names = property_names(model, expectation).into_iter();
        names.filter(|name| checker.discovery(name).is_some()).collect::<Vec<_>>()
    };
    let (violated, observed) = (found(Expectation::Always), found(Expectation::Sometimes));
    for name in &violated {
        println!("{name}:");
        for (state, action) in checker.discovery(name).into_iter().flat_map(|path| path.into_vec()) {
            println!("  {}\n  {action:?}", describe(&state));
        }
    }
    Findings { state_count: checker.state_count(), violated, observed }
}

/// Simulates random runs from one seed after another until one finds a violation. Returns the names of the
/// violated properties, or `None` if no seed finds a violation.
pub fn first_violation<M: CheckedModel>(
    model: &M,
    seeds: RangeInclusive<u64>,
    max_states: usize,
    describe: impl Fn(&M::State) -> String,
) -> Option<Vec<&'static str>> {
    seeds.map(|seed| random_runs(model, seed, max_states, &describe).violated).find(|names| !names.is_empty())
}

/// Asserts that a check has found no violation of a property that must always hold.
///
/// # Panics
///
/// Panics if a violation was found, and prints the path to it.
pub fn assert_no_violation<M: CheckedModel>(model: &M, checker: &impl Checker<M>) {
    for name in property_names(model, Expectation::Always) {
        checker.assert_no_discovery(name);
    }
}

fn property_names<M: CheckedModel>(model: &M, expectation: Expectation) -> Vec<&'static str> {
    let properties = model.properties().into_iter();
    properties.filter(|property| property.expectation == expectation).map(|property| property.name).collect()
}
