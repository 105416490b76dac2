//! The crate's own state machines under every order of events within bounds: messages lost, repeated, late; a process
//! that loses its memory, one that pauses between its check and its action. `MODEL_STATES` sets how many states are
//! looked at (default: what CI has time for).
#![allow(missing_docs)]

mod cluster;
mod properties;

use brackenledge_test_support::model_check::{
    assert_no_violation, bounded_checker, first_violation, max_states, random_runs,
};
use cluster::{Cluster, Sabotage, State};
use properties::A_PROCESS_HOLDS_THE_ROLE;
use stateright::Checker;

const DEFAULT_MAX_STATES: usize = 30_000;

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

/// A state as the path to a violation prints it.
fn describe(state: &State) -> String {
    format!("at {}, checked {:?}, accepted {:?}", state.now, state.checked, state.accepted)
}

/// Random runs to their ends from several seeds, then all states near the start, as many as asked for.
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
        let caught = first_violation(&model, 1..=20, 40 * max_states(DEFAULT_MAX_STATES), describe);
        println!("{sabotage:?}: caught by {caught:?}");
        assert!(caught.is_some(), "{sabotage:?}");
    }
}
