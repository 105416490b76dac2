//! Lists cut into pieces of any length, and what is no list.

use super::*;

fn read(text: &[u8], framing: ListFraming, step: usize) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let mut reader = ListReader::new(framing);
    let mut pieces = Vec::new();
    for part in text.chunks(step) {
        reader.feed(part, |piece| {
            pieces.push(match piece {
                ListItem::Entry(entry) => entry.name,
                ListItem::List { index, snapshot } => format!("{index} {snapshot}"),
                ListItem::KeepAlive => "beat".into(),
            });
        })?;
    }
    if reader.is_mid_list() { Err("midway".into()) } else { Ok(pieces) }
}

const TWO: &str = r#"{"index":4,"note":{"a":[1,{"b":"}]"}]},"snapshot":true,"endpoints" : [
        {"name":"a\"{","address":"10.1.0.1:1","x":{"y":[{}]}}, {"name":"b","address":"z"}], "more":[{"name":"no"}]}"#;

#[test]
fn entries_and_lists_come_out_however_the_text_is_cut() {
    for step in [1, 2, 3, 7, 1_000] {
        assert_eq!(
            read(TWO.as_bytes(), ListFraming::SingleList, step).expect("a list"),
            ["a\"{", "b", "4 true"]
        );
        let line = TWO.replace('\n', " ");
        let lines = format!("\n{line}\n\r\n{{\"index\":5,\"snapshot\":false,\"endpoints\":[]}}\n");
        let read = read(lines.as_bytes(), ListFraming::ListPerLine, step).expect("lines");
        assert_eq!(read, ["beat", "a\"{", "b", "4 true", "beat", "5 false"]);
    }
}

#[test]
fn what_makes_no_sense_is_an_error_that_says_so() {
    let cases = [
        ("hello", "where a list"),
        ("{\"index\":1,\n", "in the middle"),
        ("{\"index\":1}", "without index"),
        ("{\"index\":1,\"snapshot\":false,\"endpoints\":[{\"name\":3}]}", "an entry that is none"),
        ("{\"index\":1,\"snapshot\":false,\"endpoints\":[7]}", "without index"),
        ("{\"index\":1,\"snapshot\":false,\"endpoints\":[]} {}", "where a list"),
    ];
    for (text, why) in cases {
        let error = read(text.as_bytes(), ListFraming::ListPerLine, 5).expect_err(text).to_string();
        assert!(error.contains(why), "{text}: {error}");
    }
    let long = format!("{{\"index\":1,\"endpoints\":[{{\"name\":\"{}", "x".repeat(MAX_ENTRY_BYTES));
    assert!(
        read(long.as_bytes(), ListFraming::ListPerLine, 512)
            .expect_err("long")
            .to_string()
            .contains("more than")
    );
    for deep in ["[".repeat(50), "{".repeat(50)] {
        assert!(read(deep.as_bytes(), ListFraming::SingleList, 9).is_err());
    }
}
