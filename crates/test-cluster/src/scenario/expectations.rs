//! Limits on a run's results, checked in addition to the rules.

use super::document::ExpectDocument;
use super::errors::Problem;
use super::reader::Reader;
use crate::{Millis, rules};
use toml::Spanned;

/// Upper bound of the time limits, in milliseconds.
const MAX_TIME_MS: f64 = 600_000.0;

/// Limits on a run's results, checked in addition to the rules. `None`: not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectations {
    /// Rules that this scenario may violate; violations of all other rules fail the run.
    pub violations: Vec<&'static str>,
    /// Maximum number of jobs executed more than once although their class forbids it.
    pub max_duplicate_executions: Option<usize>,
    /// Maximum number of requests that get no answer.
    pub max_lost: Option<usize>,
    /// Minimum fraction of the jobs that are served.
    pub min_served: Option<f64>,
    /// Maximum time from the start of the last fault until the served fraction is back at 95% of its level
    /// before the faults.
    pub max_recovery: Option<Millis>,
    /// Maximum time from the loss of a role's lease holder until the role has a holder again.
    pub max_vacancy: Option<Millis>,
    /// Minimum number of jobs taken over by another scheduler.
    pub min_takeovers: Option<usize>,
    /// Minimum fraction answered in time of the jobs that were in flight at a fault of their scheduler's
    /// process with at least 2 s left until their deadline.
    pub min_answered: Option<f64>,
}

/// Reads `[expect]`.
pub fn read(reader: &mut Reader, document: &ExpectDocument) -> Expectations {
    let count = |value: &Option<Spanned<usize>>| value.as_ref().map(|value| *value.get_ref());
    let violations = expected_violations(reader, &document.violations);
    let fraction = |reader: &mut Reader, key: &str, value: &Option<Spanned<f64>>| {
        reader.optional_number(key, value, 0.0, 1.0)
    };
    let time = |reader: &mut Reader, key: &str, value: &Option<Spanned<f64>>| {
        reader.optional_number(key, value, 0.0, MAX_TIME_MS)
    };
    Expectations {
        violations,
        max_duplicate_executions: count(&document.max_duplicate_executions),
        max_lost: count(&document.max_lost),
        min_served: fraction(reader, "expect.min-served", &document.min_served),
        max_recovery: time(reader, "expect.max-recovery-ms", &document.max_recovery_ms),
        max_vacancy: time(reader, "expect.max-vacancy-ms", &document.max_vacancy_ms),
        min_takeovers: count(&document.min_takeovers),
        min_answered: fraction(reader, "expect.min-answered", &document.min_answered),
    }
}

fn expected_violations(reader: &mut Reader, names: &[Spanned<String>]) -> Vec<&'static str> {
    let mut found = Vec::new();
    for name in names {
        match rules::find(name.get_ref()) {
            Some(rule) => found.push(rule),
            None => {
                let problem = Problem::UnknownRule { name: name.get_ref().clone() };
                reader.report(name.span().start, problem);
            }
        }
    }
    found
}
