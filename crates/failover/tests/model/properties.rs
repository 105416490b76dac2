//! The properties that must hold in every state, and those that must hold in some state.

use crate::cluster::{Cluster, PendingAction, State};
use brackenledge_failover::JobOutcome;
use stateright::Property;

/// A property that must be observed in every check of a model.
pub const THE_JOB_IS_SERVED: &str = "the job is served";

pub fn properties() -> Vec<Property<Cluster>> {
    vec![
        Property::always("the job is not executed twice", |_, state: &State| state.executions <= 1),
        Property::always("the client gets at most one outcome", |_, state: &State| {
            state.client_outcomes.len() <= 1
        }),
        Property::always(
            "no client gets the result of an execution that did not take place",
            |_, state: &State| {
                state.client_outcomes.iter().all(|outcome| match outcome {
                    JobOutcome::Served(execution) => execution[0] <= state.executions,
                    _ => true,
                })
            },
        ),
        Property::always("at most one attempt is permitted", |_, state: &State| {
            let attempts = state.drivers.iter().flat_map(|driver| &driver.actions);
            let permitted = attempts.filter(|action| matches!(action, PendingAction::Attempt(_))).count();
            permitted + usize::from(state.executions) <= 1
        }),
        Property::always(
            "a waiting client is answered once nothing is pending",
            |model: &Cluster, state: &State| {
                let Some((node, _)) = state.client else { return true };
                let idle = state.in_transit.is_empty()
                    && state.disconnects.is_empty()
                    && state
                        .drivers
                        .iter()
                        .all(|driver| driver.actions.is_empty() && driver.running_attempts.is_empty())
                    && !model.member_list_is_stale(state)
                    && (0..model.node_count).all(|node| {
                        let at = usize::from(node);
                        state.nodes[at].is_none() || state.applied[at] + 1 == state.member_lists.len()
                    });
                !idle || !state.member_lists.last().is_some_and(|member_list| member_list.contains(&node))
            },
        ),
        Property::always("a job that was rejected to its client is not taken over", |_, state: &State| {
            let rejected = state.last_answer_rejected && state.rejected_by.is_some();
            !rejected || state.taken_over == 0 && state.executions == 0
        }),
        Property::sometimes(THE_JOB_IS_SERVED, |_, state: &State| {
            state.client_outcomes.iter().any(|outcome| matches!(outcome, JobOutcome::Served(_)))
        }),
        Property::sometimes("the job is taken over and served", |_, state: &State| {
            state.taken_over > 0
                && state.client_outcomes.iter().any(|outcome| matches!(outcome, JobOutcome::Served(_)))
        }),
    ]
}
