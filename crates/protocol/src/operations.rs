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
    /// Whether schedulers agree on members, and on one owner for each duty on behalf of the tier.
    pub tier: bool,
    /// An owner's lease, in milliseconds.
    pub lease: Millis,
    /// How many vote on it.
    pub voters: usize,
}

impl Default for Operations {
    fn default() -> Self {
        // Reasons with the constants where they are used: the door's module and engine::drain.
        Operations {
            callers_most: 16,
            line_time: 8_000.0,
            takes_work_for: 1_500.0,
            tier: false,
            lease: 1_500.0,
            voters: 5,
        }
    }
}

/// A key, the table it stands in, and the range it must keep: (table, key, least, most, remedy).
type Known = (&'static str, &'static str, f64, f64, &'static str);

const KEYS: [Known; 6] = [
    ("control", "callers_most", 1.0, 256.0, "a whole number of callers, 1 to 256"),
    // Longer than the 4 s that slow callers take, and no more than a minute of a descriptor held.
    ("control", "line_time_ms", 4_500.0, 60_000.0, "milliseconds, 4500 to 60000"),
    // 4 s after the call no job younger than 2 s may be held.
    ("drain", "takes_work_for_ms", 0.0, 1_900.0, "milliseconds, 0 to 1900"),
    // Yes or no, as 1 or 0 to the range.
    ("tier", "on", 0.0, 1.0, "true or false"),
    // A fifth of it is the time between two renewals; half a minute without an owner is more than anybody wants.
    ("tier", "lease_ms", 500.0, 30_000.0, "milliseconds, 500 to 30000"),
    ("tier", "voters", 3.0, 5.0, "3 or 5"),
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
                return Err(bad(at, format!("`{name}` must be a table: [control], [drain] or [tier]")));
            };
            if !KEYS.iter().any(|known| known.0 == name) {
                return Err(bad(
                    at,
                    format!("unknown table [{name}]: [control], [drain] and [tier] are known"),
                ));
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
                    DeValue::Integer(integer) if key_name != "on" => {
                        integer.as_str().replace('_', "").parse::<f64>().ok()
                    }
                    DeValue::Boolean(yes) if key_name == "on" => Some(f64::from(u8::from(*yes))),
                    _ => None,
                };
                let number = number
                    .filter(|n| (least..=most).contains(n) && !(key_name == "voters" && *n == 4.0))
                    .ok_or_else(|| bad(value.span().start, format!("{name}.{key_name} must be {remedy}")))?;
                match key_name {
                    "callers_most" => operations.callers_most = number as usize,
                    "line_time_ms" => operations.line_time = number,
                    "on" => operations.tier = number > 0.0,
                    "lease_ms" => operations.lease = number,
                    "voters" => operations.voters = number as usize,
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
        let wanted = Operations {
            callers_most: 32,
            line_time: 10_000.0,
            takes_work_for: 0.0,
            ..Operations::default()
        };
        assert_eq!(set, Ok(wanted));
        let set = read("[tier]\non = true\nlease_ms = 2_000\nvoters = 3\n");
        assert_eq!(set, Ok(Operations { tier: true, lease: 2_000.0, voters: 3, ..Operations::default() }));
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
            ("[tier]\non = 1\n", "deploy/operations.toml:2: tier.on must be true or false"),
            ("[tier]\nvoters = 4\n", "deploy/operations.toml:2: tier.voters must be 3 or 5"),
            ("[tier]\nlease_ms = 100\n", "deploy/operations.toml:2: tier.lease_ms must be milliseconds, 500"),
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
