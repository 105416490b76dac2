//! The names of the rules that a history is checked against. A scenario may expect a rule to be violated.

/// Each request gets one answer, in time, with a result that a worker produced for its job.
pub const ANSWERS: &str = "answers";
/// A job is not retried where its class forbids it.
pub const RETRIES: &str = "retries";
/// A worker that is known to drain gets no new attempt.
pub const DRAINS: &str = "drains";
/// No worker is overloaded while it warms up.
pub const SLOW_START: &str = "slow-start";
/// No datagram between schedulers exceeds the length limit.
pub const MESSAGES: &str = "messages";
/// No two processes do what needs a lease under one term, and no term decreases.
pub const FENCING: &str = "fencing";

/// All rules, in the order in which they are checked.
pub const RULES: [&str; 6] = [ANSWERS, RETRIES, DRAINS, SLOW_START, MESSAGES, FENCING];

/// Former names of rules, which scenario files up to commit 365a0cf use, with the current names.
const FORMER_NAMES: [(&str, &str); 3] = [("repeats", RETRIES), ("cold", SLOW_START), ("claims", FENCING)];

/// Finds a rule by its current or former name.
pub fn find(name: &str) -> Option<&'static str> {
    let former = FORMER_NAMES.iter().find(|(former, _)| *former == name).map(|names| names.1);
    former.or_else(|| RULES.into_iter().find(|rule| *rule == name))
}
