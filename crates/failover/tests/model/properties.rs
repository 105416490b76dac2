//! What must hold in every state, and what must occur in some.

use crate::cluster::{Cluster, PendingAction, State};
use brackenledge_failover::JobOutcome;
use stateright::Property;

/// This one is observed in every set of random runs.
pub const THE_JOB_IS_SERVED: &str = "the job is served";

pub fn properties() -> Vec<Property<Cluster>> {
    vec![
        Property::always("the job is not executed twice", |_, state: &State| state.runs <= 1),
        Property::always("its client gets one outcome at most", |_, state: &State| {
            state.client_outcomes.len() <= 1
        }),
        Property::always(
            "no client gets the result of an execution that did not occur",
            |_, state: &State| {
                state.client_outcomes.iter().all(|outcome| match outcome {
                    JobOutcome::Served(run) => run[0] <= state.runs,
                    _ => true,
                })
            },
        ),
        Property::always("one attempt at most is permitted", |_, state: &State| {
            let attempts = state.drivers.iter().flat_map(|driver| &driver.actions);
            let allowed = attempts.filter(|action| matches!(action, PendingAction::Attempt(_))).count();
            allowed + usize::from(state.runs) <= 1
        }),
        Property::always(
            "a waiting client is answered once nothing is pending",
            |model: &Cluster, state: &State| {
                let Some((node, _)) = state.client else { return true };
                let quiet = state.in_transit.is_empty()
                    && state.disconnects.is_empty()
                    && state
                        .drivers
                        .iter()
                        .all(|driver| driver.actions.is_empty() && driver.running_attempts.is_empty())
                    && !model.member_list_is_stale(state)
                    && (0..model.nodes).all(|node| {
                        let at = usize::from(node);
                        state.nodes[at].is_none() || state.applied[at] + 1 == state.member_lists.len()
                    });
                !quiet || !state.member_lists.last().is_some_and(|member_list| member_list.contains(&node))
            },
        ),
        Property::always("a job that was rejected to its client is not taken over", |_, state: &State| {
            let rejected = state.client_rejected && state.rejected_by.is_some();
            !rejected || state.taken_over == 0 && state.runs == 0
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
