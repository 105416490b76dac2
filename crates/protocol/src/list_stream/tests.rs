//! Lists that arrive in pieces of various lengths, and invalid lists.

use super::*;

/// Reads the text in chunks of this length; returns the items as text.
fn read(
    text: &[u8],
    framing: ListFraming,
    chunk_length: usize,
) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let mut reader = ListReader::new(framing);
    let mut items = Vec::new();
    for chunk in text.chunks(chunk_length) {
        reader.feed(chunk, |item| {
            items.push(match item {
                ListItem::Entry(entry) => entry.name,
                ListItem::List { index, snapshot } => format!("{index} {snapshot}"),
                ListItem::KeepAlive => "keep-alive".into(),
            });
        })?;
    }
    if reader.is_mid_list() { Err("the text ends within a list".into()) } else { Ok(items) }
}

/// A list of two entries, with brackets in strings, escapes, unknown fields and another array of objects.
const TWO_ENTRIES: &str = r#"{"index":4,"note":{"a":[1,{"b":"}]"}]},"snapshot":true,"endpoints" : [
        {"name":"a\"{","address":"10.1.0.1:1","x":{"y":[{}]}}, {"name":"b","address":"z"}], "more":[{"name":"no"}]}"#;

#[test]
fn chunk_length_does_not_affect_the_items() {
    for chunk_length in [1, 2, 3, 7, 1_000] {
        assert_eq!(
            read(TWO_ENTRIES.as_bytes(), ListFraming::SingleList, chunk_length).expect("a list"),
            ["a\"{", "b", "4 true"]
        );
        let line = TWO_ENTRIES.replace('\n', " ");
        let lines = format!("\n{line}\n\r\n{{\"index\":5,\"snapshot\":false,\"endpoints\":[]}}\n");
        let read = read(lines.as_bytes(), ListFraming::ListPerLine, chunk_length).expect("lines");
        assert_eq!(read, ["keep-alive", "a\"{", "b", "4 true", "keep-alive", "5 false"]);
    }
}

#[test]
fn invalid_lists_give_an_error_that_names_the_cause() {
    let cases = [
        ("hello", "where a list"),
        ("{\"index\":1,\n", "in the middle"),
        ("{\"index\":1}", "no valid index"),
        ("{\"index\":1,\"snapshot\":false,\"endpoints\":[{\"name\":3}]}", "an entry is invalid JSON"),
        ("{\"index\":1,\"snapshot\":false,\"endpoints\":[7]}", "no valid index"),
        ("{\"index\":1,\"snapshot\":false,\"endpoints\":[]} {}", "where a list"),
    ];
    for (text, cause) in cases {
        let error = read(text.as_bytes(), ListFraming::ListPerLine, 5).expect_err(text).to_string();
        assert!(error.contains(cause), "{text}: {error}");
    }
    let long = format!("{{\"index\":1,\"endpoints\":[{{\"name\":\"{}", "x".repeat(MAX_ENTRY_BYTES));
    assert!(
        read(long.as_bytes(), ListFraming::ListPerLine, 512)
            .expect_err("long")
            .to_string()
            .contains("an entry is longer than")
    );
    for deep in ["[".repeat(50), "{".repeat(50)] {
        assert!(read(deep.as_bytes(), ListFraming::SingleList, 9).is_err());
    }
}
