//! How a request ended, with the exemptions of its scheduler's fault windows taken into account.

use super::ANSWER_TOLERANCE;
use super::exemption::exemption;
use super::observations::{Observations, Request};
use crate::Millis;
use crate::history::RequestEnd;
use std::collections::BTreeSet;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    Served,
    Rejected,
    Failed,
    /// Without an answer, exempted since its scheduler was killed.
    Lost,
    /// Late or without an answer, exempted since its scheduler was paused or cut off.
    Late,
    /// Against the rule on answers.
    Violation {
        at: Millis,
        description: String,
    },
}

/// How a request ended by its first end. `results` are those that workers made for its job.
pub fn request_outcome(
    request: &Request,
    results: &BTreeSet<&str>,
    observations: &Observations,
) -> RequestOutcome {
    let last = request.ends.last().map_or(request.deadline + ANSWER_TOLERANCE, |end| end.at);
    let exempt = exemption(&observations.fault_windows[request.scheduler], request, last);
    let violation = |at, description: String| RequestOutcome::Violation { at, description };
    let Some(first) = request.ends.first() else {
        return violation(request.deadline, "neither answered nor ended".into());
    };
    let at = first.at;
    match &first.end {
        RequestEnd::Served(result) if !results.contains(result.as_str()) => {
            violation(at, format!("served with {result:?}, which no worker made for it"))
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
