//! The operators' own file: settings of the door and the drain, apart from the site's configuration, which the
//! operators do not change. Every key is optional; what is missing keeps its default. Every error names the file,
//! the line, the key and what would be right.

use brackenledge_policy::Millis;
use std::path::Path;
use toml::de::{DeTable, DeValue};

/// What the operators' file sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Operations {
    /// Callers the door holds at once; a newer one pushes out the one that came first.
    pub callers_most: usize,
    /// Time a caller has for its line, in milliseconds.
    pub line_time: Millis,
    /// How long after LAMEDUCK jobs are still taken, in milliseconds.
    pub takes_work_for: Millis,
}

impl Default for Operations {
    fn default() -> Self {
        // Reasons with the constants where they are used: the door's module and engine::drain.
        Operations { callers_most: 16, line_time: 8_000.0, takes_work_for: 1_500.0 }
    }
}

/// A key, the table it stands in, and the range it must keep: (table, key, least, most, remedy).
type Known = (&'static str, &'static str, f64, f64, &'static str);

const KEYS: [Known; 3] = [
    ("control", "callers_most", 1.0, 256.0, "a whole number of callers, 1 to 256"),
    // Longer than the 4 s that slow callers take, and no more than a minute of a descriptor held.
    ("control", "line_time_ms", 4_500.0, 60_000.0, "milliseconds, 4500 to 60000"),
    // 4 s after the call no job younger than 2 s may be held.
    ("drain", "takes_work_for_ms", 0.0, 1_900.0, "milliseconds, 0 to 1900"),
];

impl Operations {
    /// Reads the file's text.
    pub fn parse(path: &Path, text: &str) -> Result<Operations, String> {
        let line_of = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let bad = |at: usize, what: String| format!("{}:{}: {what}", path.display(), line_of(at));
        let document = DeTable::parse(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            bad(at, format!("not TOML: {}", error.message()))
        })?;
        let mut operations = Operations::default();
        for (table, value) in document.get_ref() {
            let (name, at) = (table.get_ref().as_ref(), table.span().start);
            let DeValue::Table(entries) = value.get_ref() else {
                return Err(bad(at, format!("`{name}` must be a table: [control] or [drain]")));
            };
            if !KEYS.iter().any(|known| known.0 == name) {
                return Err(bad(at, format!("unknown table [{name}]: [control] and [drain] are known")));
            }
            for (key, value) in entries {
                let (key_name, at) = (key.get_ref().as_ref(), key.span().start);
                let Some(&(_, _, least, most, remedy)) =
                    KEYS.iter().find(|known| known.0 == name && known.1 == key_name)
                else {
                    let known: Vec<&str> = KEYS.iter().filter(|k| k.0 == name).map(|k| k.1).collect();
                    return Err(bad(
                        at,
                        format!("unknown key {name}.{key_name}: known are {}", known.join(", ")),
                    ));
                };
                let number = match value.get_ref() {
                    DeValue::Integer(integer) => integer.as_str().replace('_', "").parse::<f64>().ok(),
                    _ => None,
                };
                let number = number
                    .filter(|n| (least..=most).contains(n))
                    .ok_or_else(|| bad(value.span().start, format!("{name}.{key_name} must be {remedy}")))?;
                match key_name {
                    "callers_most" => operations.callers_most = number as usize,
                    "line_time_ms" => operations.line_time = number,
                    _ => operations.takes_work_for = number,
                }
            }
        }
        Ok(operations)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Operations, String> {
        Operations::parse(Path::new("deploy/operations.toml"), text)
    }

    #[test]
    fn the_file_as_shipped_and_an_empty_one_read_as_the_defaults() {
        let shipped = include_str!("../../../deploy/operations.toml");
        assert_eq!(read(shipped), Ok(Operations::default()));
        assert_eq!(read(""), Ok(Operations::default()));
        let set =
            read("[control]\ncallers_most = 32\nline_time_ms = 10_000\n[drain]\ntakes_work_for_ms = 0\n");
        assert_eq!(set, Ok(Operations { callers_most: 32, line_time: 10_000.0, takes_work_for: 0.0 }));
    }

    #[test]
    fn each_error_names_the_file_the_line_the_key_and_the_remedy() {
        let cases = [
            (
                "[control]\ncallers_most = 0\n",
                "deploy/operations.toml:2: control.callers_most must be a whole number",
            ),
            (
                "[control]\n\nline_time_ms = \"8s\"\n",
                "deploy/operations.toml:3: control.line_time_ms must be milliseconds",
            ),
            (
                "[drain]\ntakes_work_for_ms = 2500\n",
                "deploy/operations.toml:2: drain.takes_work_for_ms must be milliseconds, 0 to 1900",
            ),
            (
                "[drain]\nlinger = 3\n",
                "deploy/operations.toml:2: unknown key drain.linger: known are takes_work_for_ms",
            ),
            ("[doors]\n", "deploy/operations.toml:1: unknown table [doors]"),
            ("callers_most = 3\n", "deploy/operations.toml:1: `callers_most` must be a table"),
            ("[control]\ncallers_most = \n", "deploy/operations.toml:2: not TOML"),
        ];
        for (text, start) in cases {
            let error = read(text).expect_err(text);
            assert!(error.starts_with(start), "{text:?}: {error}");
        }
    }
}
