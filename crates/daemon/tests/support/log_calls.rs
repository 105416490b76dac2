//! The calls in the program's source that write to the log. Tests check these calls, since most events can't
//! be provoked in a test.

use std::path::Path;

/// The macros and functions whose calls are collected. `o!` writes nothing: it gives a logger fields for all
/// its events. It has no event, so the key of its first field stands in the event's place.
const CALL_NAMES: [&str; 9] =
    ["crit!", "error!", "warn!", "info!", "debug!", "trace!", "log!", "o!", "log_counters"];

/// The calls in the source, sorted, such as `info leadership_lost: reason 'later_ballot' leader`: the macro
/// or function, the event, and its fields in source order. A field's value follows it, in quotes, if the
/// value is a literal.
pub fn log_calls() -> Vec<String> {
    let mut calls = Vec::new();
    collect_in(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut calls);
    calls.sort();
    calls.dedup();
    calls
}

fn collect_in(folder: &Path, calls: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_in(&path, calls);
        } else if !path.ends_with("tests.rs") {
            collect(&std::fs::read_to_string(&path).expect("a source file"), calls);
        }
    }
}

fn collect(source: &str, calls: &mut Vec<String>) {
    for name in CALL_NAMES {
        let open = format!("{name}(");
        for (at, _) in source.match_indices(&open) {
            // Leaves out matches at the end of a longer name.
            if source[..at].ends_with(|before: char| before.is_alphanumeric() || before == '_') {
                continue;
            }
            let call = name.trim_end_matches('!').to_owned() + &literals(&source[at + open.len()..]);
            // Leaves out what has no event: the definition of `log_counters`, and a logger without fields.
            if call.contains(':') {
                calls.push(call);
            }
        }
    }
}

/// The literals in a call; `rest` begins after the call's opening parenthesis. Splitting at quotes gives code
/// and literals in turn, since no literal in these calls has an escaped quote.
fn literals(rest: &str) -> String {
    let (mut text, mut depth) = (String::new(), 1);
    let mut pieces = rest.split('"').peekable();
    while let (Some(code), Some(literal)) = (pieces.next(), pieces.next()) {
        let ends_call = code.chars().any(|symbol| {
            depth += i32::from(symbol == '(') - i32::from(symbol == ')');
            depth == 0
        });
        if ends_call {
            break;
        }
        let is_field = pieces.peek().is_some_and(|code| code.trim_start().starts_with("=>"));
        text += &match (text.is_empty(), is_field) {
            (true, _) => format!(" {literal}:"),
            (false, true) => format!(" {literal}"),
            (false, false) => format!(" '{literal}'"),
        };
    }
    text
}
