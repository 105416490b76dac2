//! Decoding of the lines of workers' responses, and of load reports.
#![allow(missing_docs)]

use brackenledge_policy::LoadReport;
use brackenledge_protocol::worker::{DecodeError, LineState, decode_line, decode_load, decode_load_header};

fn state(text: &str) -> Result<LineState, DecodeError> {
    decode_line(text.as_bytes()).map(|line| line.state)
}

#[test]
fn each_state_is_decoded_with_its_values() {
    let done = |result: Option<&str>| LineState::Done { result: result.map(str::to_owned) };
    let cases = [
        (r#"{"state":"started"}"#, LineState::Started),
        (r#"{"state":"running","share":0.4}"#, LineState::Running { share: 0.4 }),
        (r#"{"state":"running","share":null}"#, LineState::Running { share: 0.0 }),
        (r#"{"state":"running"}"#, LineState::Running { share: 0.0 }),
        (r#"{"state":"done","result":"say \"hi\"\u0021"}"#, done(Some("say \"hi\"!"))),
        (r#"{"state":"done","result":""}"#, done(Some(""))),
        (r#"{"state":"done"}"#, done(None)),
        (r#"{"state":"failed","result":"x"}"#, LineState::Failed),
        (r#"{"state":"returned"}"#, LineState::Returned),
        (r#"{"state":"lost"}"#, LineState::Lost),
        (r#"{"state":"paused","share":1}"#, LineState::Unknown),
        (r#"{"state":"DONE"}"#, LineState::Unknown),
        (r#" {"state":"lost","more":[{}]} "#, LineState::Lost),
    ];
    for (text, expected) in cases {
        assert_eq!(state(text), Ok(expected), "{text}");
    }
}

#[test]
fn a_line_names_its_job_and_may_carry_a_load_report() {
    let line = decode_line(br#"{"id":"t1","state":"started","load":{"inflight":2,"x0":3}}"#).expect("a line");
    assert_eq!(line.id.as_deref(), Some("t1"));
    let load = line.load.expect("a load report");
    assert_eq!((load.in_flight, load.free_slots, load.free_memory), (Some(2.0), Some(3.0), None));
    let line = decode_line(br#"{"state":"started"}"#).expect("a line");
    assert!(line.id.is_none() && line.load.is_none());
}

#[test]
fn invalid_lines_give_an_error_that_names_the_cause() {
    let cases: &[(&[u8], DecodeError)] = &[
        (b"\xff{}", DecodeError::NotUtf8),
        (b"", DecodeError::NotJson),
        (b"not a line", DecodeError::NotJson),
        (br#"{"state":"started""#, DecodeError::NotJson),
        (br#"{"state":"started"} {}"#, DecodeError::NotJson),
        (b"{}", DecodeError::InvalidFields),
        (b"[]", DecodeError::InvalidFields),
        (br#"{"state":null}"#, DecodeError::InvalidFields),
        (br#"{"state":7}"#, DecodeError::InvalidFields),
        (br#"{"state":"running","share":"half"}"#, DecodeError::InvalidFields),
        (br#"{"state":"started","load":3}"#, DecodeError::InvalidFields),
    ];
    for (bytes, expected) in cases {
        assert_eq!(decode_line(bytes).err(), Some(*expected), "{:?}", String::from_utf8_lossy(bytes));
    }
}

/// The values of a report, in the order in which the tests list them.
fn values(report: LoadReport) -> [Option<f64>; 6] {
    let LoadReport { in_flight, queued, utilization, free_slots, free_memory, errors_per_second } = report;
    [in_flight, queued, utilization, free_slots, free_memory, errors_per_second]
}

#[test]
fn a_load_report_accepts_both_names_of_each_value() {
    let texts = [
        r#"{"inflight":1,"queue":2,"util":0.5,"x0":3,"x1":4,"eps":5}"#,
        r#"{"concurrent":1,"depth":2,"load_share":0.5,"x0":3,"x1":4,"err_ps":5}"#,
    ];
    let expected = [1.0, 2.0, 0.5, 3.0, 4.0, 5.0].map(Some);
    for text in texts {
        assert_eq!(decode_load(text.as_bytes()).map(values), Ok(expected), "{text}");
    }
    let header = "TEXT inflight=1, queue=2, util=0.5, x0=3, x1=4, eps=5";
    assert_eq!(values(decode_load_header(header)), expected);
    assert_eq!(decode_load(b"{}").map(values), Ok([None; 6]));
    assert_eq!(decode_load(br#"{"util":"high"}"#).map(values), Err(DecodeError::InvalidFields));
    assert_eq!(decode_load(b"up").map(values), Err(DecodeError::NotJson));
}

#[test]
fn values_that_are_not_numbers_are_ignored_in_the_header_form() {
    let report = decode_load_header("TEXT x0=many, x1=2, colour=7, x0");
    assert_eq!(values(report), [None, None, None, None, Some(2.0), None]);
    assert_eq!(values(decode_load_header("")), [None; 6]);
}
