//! Range-checks the values of a scenario file and collects the errors, each with its line.

use super::Scenario;
use super::errors::{Problem, ScenarioError, ScenarioErrors};
use super::nodes::Node;
use std::path::Path;
use toml::Spanned;

/// Reads values and collects errors instead of stopping at the first one.
pub struct Reader<'a> {
    path: &'a Path,
    text: &'a str,
    errors: Vec<ScenarioError>,
}

impl<'a> Reader<'a> {
    /// A reader of `text`; `path` is used in error messages only.
    pub fn new(path: &'a Path, text: &'a str) -> Reader<'a> {
        Reader { path, text, errors: Vec::new() }
    }

    /// All errors reported so far, in the order in which the values were read.
    pub fn into_errors(self) -> ScenarioErrors {
        ScenarioErrors(self.errors)
    }

    /// Adds a problem at a byte offset of the text.
    pub fn report(&mut self, position: usize, problem: Problem) {
        let line = self.text[..position.min(self.text.len())].matches('\n').count() + 1;
        self.errors.push(ScenarioError { path: self.path.to_owned(), line, problem });
    }

    /// A number from `min` to `max`; `default` if the file does not set it.
    pub fn number(
        &mut self,
        key: &str,
        value: &Option<Spanned<f64>>,
        default: f64,
        min: f64,
        max: f64,
    ) -> f64 {
        self.optional_number(key, value, min, max).unwrap_or(default)
    }

    /// A number from `min` to `max`; `None` if the file does not set it.
    pub fn optional_number(
        &mut self,
        key: &str,
        value: &Option<Spanned<f64>>,
        min: f64,
        max: f64,
    ) -> Option<f64> {
        let value = value.as_ref()?;
        let number = *value.get_ref();
        if !(min..=max).contains(&number) {
            let problem = Problem::NumberOutOfRange { key: key.into(), value: number, min, max };
            self.report(value.span().start, problem);
        }
        Some(number)
    }

    /// An integer from `min` to `max`; `default` if the file does not set it.
    pub fn count(
        &mut self,
        key: &str,
        value: &Option<Spanned<usize>>,
        default: usize,
        min: usize,
        max: usize,
    ) -> usize {
        let Some(value) = value else { return default };
        let number = *value.get_ref();
        if !(min..=max).contains(&number) {
            let problem = Problem::CountOutOfRange { key: key.into(), value: number, min, max };
            self.report(value.span().start, problem);
        }
        number
    }

    /// The nodes that the names stand for, sorted and without duplicates.
    pub fn nodes(&mut self, key: &str, names: &[Spanned<String>], scenario: &Scenario) -> Vec<Node> {
        let mut nodes = Vec::new();
        for name in names {
            match scenario.nodes_named(name.get_ref()) {
                Some(named) => nodes.extend(named),
                None => self.report(name.span().start, unknown_node(key, name.get_ref(), scenario)),
            }
        }
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }
}

fn unknown_node(key: &str, name: &str, scenario: &Scenario) -> Problem {
    Problem::UnknownNode {
        key: key.into(),
        name: name.into(),
        last_scheduler: scenario.schedulers.saturating_sub(1),
        last_worker: scenario.workers.saturating_sub(1),
        zones: scenario.zones.join(", "),
        regions: scenario.regions.keys().cloned().collect::<Vec<_>>().join(", "),
    }
}
