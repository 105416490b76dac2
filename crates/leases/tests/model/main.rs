//! Model checks of the crate's state machines under all orders of events within bounds: lost, repeated and
//! late messages, processes that restart without their state, and processes that pause between the check of a
//! lease and the action. The environment variable `MODEL_STATES` limits the number of states visited; the
//! default fits into the time of a CI run.
#![allow(missing_docs)]

mod cluster;
mod properties;

use brackenledge_test_support::model_check::{
    assert_no_violation, bounded_checker, first_violation, max_states, random_runs,
};
use cluster::{Cluster, InjectedBug, State};
use properties::A_PROCESS_HOLDS_THE_ROLE;
use stateright::Checker;

const DEFAULT_MAX_STATES: usize = 30_000;

const BASE: Cluster = Cluster {
    nodes: 3,
    voters: 3,
    ticks: 7,
    duplicates: 1,
    delays: 1,
    crashes: 0,
    pauses: 0,
    actions_left: 2,
    cut: None,
    injected_bug: None,
};

/// Text for a state on the path to a violation.
fn describe(state: &State) -> String {
    format!("time {}, checked {:?}, accepted {:?}", state.now, state.checked, state.accepted)
}

/// Runs the model at random from several seeds, then depth first, each up to the limit on the number of
/// states.
fn check_model(name: &str, model: Cluster) {
    let max_states = max_states(DEFAULT_MAX_STATES);
    for seed in 0..2 {
        let findings = random_runs(&model, seed, max_states, describe);
        println!("{name}, random runs from seed {seed}: {} states", findings.state_count);
        assert_eq!(findings.violated, [""; 0], "{name}");
        assert!(findings.observed.contains(&A_PROCESS_HOLDS_THE_ROLE), "{name}: {:?}", findings.observed);
    }
    let checker = bounded_checker(&model, max_states).threads(4).spawn_dfs().join();
    println!(
        "{name}, depth first: {} states, {} of them unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    assert_no_violation(&model, &checker);
}

#[test]
fn three_voters_under_loss_duplication_and_delay() {
    check_model("base", BASE);
}

#[test]
fn three_voters_one_of_which_restarts_without_its_state() {
    check_model("crash", Cluster { crashes: 1, ..BASE });
}

#[test]
fn three_voters_one_of_which_pauses_longer_than_its_lease() {
    check_model("pause", Cluster { pauses: 1, ticks: 9, ..BASE });
}

#[test]
fn three_voters_two_of_which_are_cut_off_from_one_another() {
    check_model("cut", Cluster { cut: Some((0, 1)), ..BASE });
}

#[test]
fn five_voters_with_a_crash_and_a_pause() {
    check_model("five", Cluster { nodes: 5, voters: 5, crashes: 1, pauses: 1, ticks: 9, ..BASE });
}

/// Guards against a model that is too weak: each injected bug must violate a property.
#[test]
fn each_injected_bug_is_found() {
    let table = [
        (InjectedBug::VotesAfterRestart, Cluster { crashes: 2, ..BASE }),
        (InjectedBug::LeaseGrantedTooEarly, BASE),
        (InjectedBug::NoFencing, Cluster { ticks: 14, actions_left: 3, duplicates: 0, delays: 0, ..BASE }),
    ];
    for (injected_bug, model) in table {
        let model = Cluster { injected_bug: Some(injected_bug), ..model };
        let violation = first_violation(&model, 1..=20, 40 * max_states(DEFAULT_MAX_STATES), describe);
        println!("{injected_bug:?}: found as a violation of {violation:?}");
        assert!(violation.is_some(), "no violation found for {injected_bug:?}");
    }
}
