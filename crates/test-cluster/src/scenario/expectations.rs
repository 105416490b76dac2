//! What a run must show, beside all rules kept.

use super::document::ExpectDocument;
use super::errors::Problem;
use super::reader::Reader;
use crate::{Millis, rules};
use toml::Spanned;

/// The longest time that can be expected, in milliseconds.
const MAX_TIME_MS: f64 = 600_000.0;

/// What a run must show, beside all rules kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectations {
    /// Rules that this scenario is known to violate.
    pub violations: Vec<&'static str>,
    /// Jobs executed twice whose class forbids it, at most.
    pub max_duplicate_executions: Option<usize>,
    /// Requests without an answer, at most.
    pub max_lost: Option<usize>,
    /// Fraction of the jobs served, at least.
    pub min_served: Option<f64>,
    /// Time from the start of the last fault until service is back at 95% of what it was, at most.
    pub max_recovery: Option<Millis>,
    /// Time from the loss of a role's lease holder until another is named, at most.
    pub max_vacancy: Option<Millis>,
    /// Jobs taken over, at least.
    pub min_takeovers: Option<usize>,
    /// Fraction of the jobs in flight at a fault, with 2 s left, whose clients were answered, at least.
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
