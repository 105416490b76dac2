//! Properties that must hold in every state, and properties that must hold in at least one state.

use crate::cluster::{Cluster, ROLE, State};
use brackenledge_leases::{ProcessId, Term};
use stateright::Property;
use std::collections::BTreeMap;

/// `check_model` requires that every set of random runs reaches a state with this property.
pub const A_PROCESS_HOLDS_THE_ROLE: &str = "a process holds the role";

pub fn properties() -> Vec<Property<Cluster>> {
    vec![
        Property::always("no two processes hold the role at the same time", |_, state: &State| {
            state.nodes.iter().filter(|node| node.holds_lease(state.now, ROLE).is_some()).count() <= 1
        }),
        Property::always("there are no two leaders at the same time", |_, state: &State| {
            state.nodes.iter().filter(|node| node.is_leader(state.now)).count() <= 1
        }),
        Property::always(
            "no actions of different holders are accepted under the same term",
            |_, state: &State| {
                let mut holders: BTreeMap<Term, ProcessId> = BTreeMap::new();
                state
                    .accepted
                    .iter()
                    .flatten()
                    .all(|&(term, holder)| *holders.entry(term).or_insert(holder) == holder)
            },
        ),
        Property::always(
            "no action of an older term is accepted after one of a newer term",
            |_, state: &State| {
                state.accepted.iter().all(|accepted| accepted.windows(2).all(|pair| pair[0].0 <= pair[1].0))
            },
        ),
        Property::sometimes(A_PROCESS_HOLDS_THE_ROLE, |_, state: &State| {
            state.nodes.iter().any(|node| node.holds_lease(state.now, ROLE).is_some())
        }),
        Property::sometimes("a process holds the role under a later term", |_, state: &State| {
            let known = state.guards.iter().filter_map(|guard| guard.latest(ROLE)).map(|latest| latest.term);
            let earliest = known.min();
            state.nodes.iter().any(|node| {
                node.holds_lease(state.now, ROLE)
                    .is_some_and(|term| earliest.is_some_and(|earliest| term > earliest))
            })
        }),
    ]
}
