//! The outcome of a request, with exemptions due to fault windows of its scheduler.

use super::ANSWER_TOLERANCE;
use super::exemption::exemption;
use super::observations::{Observations, Request};
use crate::Millis;
use crate::history::RequestEnd;
use std::collections::BTreeSet;

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    Served,
    Rejected,
    Failed,
    /// It got no answer, and is exempted because its scheduler was killed.
    Lost,
    /// It got a late answer or none, and is exempted because its scheduler was paused or cut off from its
    /// clients.
    Late,
    /// It violates the rule on answers.
    Violation {
        at: Millis,
        description: String,
    },
}

/// Classifies a request by its first end. `results` are those that workers produced for its job.
pub fn request_outcome(
    request: &Request,
    results: &BTreeSet<&str>,
    observations: &Observations,
) -> RequestOutcome {
    let last_end = request.ends.last().map_or(request.deadline + ANSWER_TOLERANCE, |end| end.at);
    let exempt = exemption(&observations.fault_windows[request.scheduler], request, last_end);
    let violation = |at, description: String| RequestOutcome::Violation { at, description };
    let Some(first) = request.ends.first() else {
        return violation(request.deadline, "neither answered, nor disconnected, nor timed out".into());
    };
    let at = first.at;
    match &first.end {
        RequestEnd::Served(result) if !results.contains(result.as_str()) => {
            violation(at, format!("served with the result {result:?}, which no worker produced for its job"))
        }
        RequestEnd::Served(_) if at > request.deadline + ANSWER_TOLERANCE && !exempt.may_be_late => {
            violation(at, format!("served {:.0} ms after its deadline", at - request.deadline))
        }
        RequestEnd::Served(_) => RequestOutcome::Served,
        RequestEnd::Rejected => RequestOutcome::Rejected,
        RequestEnd::Failed => RequestOutcome::Failed,
        RequestEnd::ConnectionLost if exempt.may_be_lost => RequestOutcome::Lost,
        RequestEnd::ConnectionLost | RequestEnd::TimedOut if exempt.may_be_late => RequestOutcome::Late,
        RequestEnd::ConnectionLost => violation(at, "its connection ended without an answer".into()),
        RequestEnd::TimedOut => violation(at, "no answer by its deadline".into()),
    }
}
