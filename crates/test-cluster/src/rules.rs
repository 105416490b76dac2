//! The names of the rules that a history is checked against, and that a scenario may expect to be violated.

/// One answer to each request, in time, with a result that a worker made for it.
pub const ANSWERS: &str = "answers";
/// No retry that the job's class forbids.
pub const RETRIES: &str = "retries";
/// No new attempt on a worker that is known to drain.
pub const DRAINS: &str = "drains";
/// No worker overloaded while it warms up.
pub const SLOW_START: &str = "slow-start";
/// No datagram longer than the limit.
pub const MESSAGES: &str = "messages";
/// Nothing that needs a lease done by two processes under one term, and no term that decreases.
pub const FENCING: &str = "fencing";

/// All rules, in the order in which they are checked.
pub const RULES: [&str; 6] = [ANSWERS, RETRIES, DRAINS, SLOW_START, MESSAGES, FENCING];

/// Names that scenario files up to 365a0cf use, and the names of today.
const FORMER_NAMES: [(&str, &str); 3] = [("repeats", RETRIES), ("cold", SLOW_START), ("claims", FENCING)];

/// The rule of this name or former name.
pub fn find(name: &str) -> Option<&'static str> {
    let former = FORMER_NAMES.iter().find(|(former, _)| *former == name).map(|names| names.1);
    former.or_else(|| RULES.into_iter().find(|rule| *rule == name))
}
