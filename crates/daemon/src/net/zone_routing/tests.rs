//! The bytes of a scheduler's report of zones, pinned: the owner that it goes to may be of another build. The expected
//! bytes were written by the build of commit 72e1d57.

use super::*;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

#[test]
fn a_report_has_these_bytes() {
    let bytes = "01b96002ac02290207f0a2048407";
    let ways = vec![Way { slots: 300, came: 41, failed: 2 }, Way { slots: 7, came: 70_000, failed: 900 }];
    let seen = Seen { offered: 12_345, ways };
    let report = Report { zone: 1, seen: seen.clone() };
    assert_eq!(hex(&postcard::to_allocvec(&report).expect("bytes")), bytes);
    let read: Report = postcard::from_bytes(&unhex(bytes)).expect("a report");
    assert_eq!((read.zone, read.seen), (1, seen));
}
