//! Runs the adapter on hand-written batches.
#![allow(missing_docs)]

use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_brackenledge-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

fn replies(batches: &[Value]) -> Vec<Value> {
    let input: String = batches.iter().map(|batch| format!("{batch}\n")).collect();
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

/// A boot event; the adapter ignores `unknown-setting`.
fn boot(dispatcher: &str) -> Value {
    json!({"Boot": {"dispatcher": dispatcher, "rng-seed": 7, "settings": {
        "balancers": 1, "unknown-setting": {"a": 1},
        "classes": [{"effect": "side_effect", "goal-time": 300.0, "hard-limit": 5000.0, "name": "c"}],
        "limits": {"max-attempts": 3}}}})
}

fn directory(slot: u32, runner: &str) -> Value {
    json!({"Directory": {"slot": slot, "members-list":
        [{"runner": runner, "area": 0, "kind": 0, "pack": 0, "readiness": "active", "weight": 1}]}})
}

fn list_update(dispatcher: &str, kind: &str, slot: u32) -> Value {
    json!({"BackendsChanged": {"dispatcher": dispatcher, "kind": kind, "stamp": 1, "slot": slot}})
}

/// An event that submits a job; the adapter ignores `unknown-field`.
fn ask(dispatcher: &str, id: u32) -> Value {
    json!({"Ask": {"dispatcher": dispatcher, "op-id": id, "category": 0, "left": 5000.0,
        "unknown-field": []}})
}

fn actions_named<'a>(reply: &'a Value, name: &str) -> Vec<&'a Value> {
    let outbox = reply["outbox"].as_array().expect("an outbox");
    outbox.iter().filter_map(|action| action.get(name)).collect()
}

#[test]
fn an_empty_batch_is_answered_with_its_round_number() {
    let reply = replies(&[json!({"sim-time": 1.5, "round": 12, "happened": []})]);
    assert_eq!(reply, [json!({"round": 12, "outbox": []})]);
}

#[test]
fn a_job_is_placed_on_the_worker_in_the_list() {
    let happened =
        json!([boot("d/0"), directory(0, "r.a"), list_update("d/0", "cached", 0), ask("d/0", 4_000_000_000)]);
    let reply = replies(&[json!({"sim-time": 1.0, "round": 1, "happened": happened})]);
    let placed = actions_named(&reply[0], "Place");
    assert_eq!(placed, [&json!({"dispatcher": "d/0", "op-id": 4_000_000_000u32, "runner": "r.a"})]);
}

#[test]
fn a_list_update_uses_the_directory_last_stored_in_its_slot() {
    let happened = json!([
        boot("d/0"),
        directory(3, "r.a"),
        list_update("d/0", "cached", 3),
        boot("d/1"),
        directory(3, "r.b"),
        list_update("d/1", "cached", 3),
        ask("d/0", 1),
        ask("d/1", 2)
    ]);
    let reply = replies(&[json!({"sim-time": 1.0, "round": 1, "happened": happened})]);
    let placed: Vec<&str> =
        actions_named(&reply[0], "Place").iter().filter_map(|action| action["runner"].as_str()).collect();
    assert_eq!(placed, ["r.a", "r.b"]);
}

#[test]
fn a_kill_and_boot_in_one_batch_discard_the_actions_of_the_killed_instance() {
    let setup_events = json!([boot("d/0"), directory(0, "r.a"), list_update("d/0", "cached", 0)]);
    let kill = json!({"Kill": {"dispatcher": "d/0"}});
    let restart_events =
        json!([ask("d/0", 1), kill, boot("d/0"), list_update("d/0", "cached", 0), ask("d/0", 2)]);
    let reply = replies(&[
        json!({"sim-time": 1.0, "round": 1, "happened": setup_events}),
        json!({"sim-time": 2.0, "round": 2, "happened": restart_events}),
    ]);
    let placed: Vec<u64> =
        actions_named(&reply[1], "Place").iter().filter_map(|action| action["op-id"].as_u64()).collect();
    assert_eq!(placed, [2]);
}

#[test]
fn no_outcome_or_repeated_response_is_fatal() {
    for code in [200, 502, 429, 408, 521, 520, 444, 409] {
        let response = json!({"Response": {"dispatcher": "d/0", "op-id": 1, "runner": "r.a", "code": code,
            "leg": 0, "settled": code == 200, "took": 3.0,
            "telemetry": {"x0": -1, "load_share": null, "q": 1}}});
        let happened = json!([
            boot("d/0"), directory(0, "r.a"), list_update("d/0", "full", 0), ask("d/0", 1),
            response, response,
            {"TimedOutClient": {"dispatcher": "d/0", "op-id": 99}},
            {"Change": {"dispatcher": "d/0", "op-id": 1, "leg": 0, "runner": "r.a", "sort": 9}},
            {"BackendsChanged": {"dispatcher": "d/0", "kind": "failed", "stamp": 1}},
            {"Timer": {"dispatcher": "d/0", "label": "sweep"}},
            {"Inbox": {"dispatcher": "d/0", "from": 1, "data": "x"}}
        ]);
        let reply = replies(&[json!({"sim-time": 1.0, "round": 1, "happened": happened})]);
        assert!(actions_named(&reply[0], "Fatal").is_empty());
    }
}

#[test]
fn malformed_input_ends_the_adapter_with_an_error_message() {
    let head = "{\"sim-time\":1,\"round\":1,\"happened\":[";
    let batch = |events: &[Value]| json!({"sim-time": 1.0, "round": 1, "happened": events}).to_string();
    let without_slot = json!({"BackendsChanged": {"dispatcher": "d/0", "kind": "full", "stamp": 1}});
    let unknown_code = json!({"StatusBack": {"dispatcher": "d/0", "runner": "r.a", "code": 418}});
    let cases = [
        ("no json".to_owned(), "line 1"),
        (format!("{head}{{\"Surprise\":{{}}}}]}}"), "Surprise"),
        (format!("{head}{{\"Ask\":{{\"dispatcher\":\"d/0\",\"category\":0,\"left\":1}}}}]}}"), "op-id"),
        (format!("{head}{{\"Timer\":{{\"dispatcher\":\"d/9\",\"label\":\"x\"}}}}]}}"), "d/9"),
        (
            batch(&[json!({"Kill": {"dispatcher": "d/9"}})]),
            "line 1: event for instance \"d/9\", which is not booted\n",
        ),
        (batch(&[directory(16, "r.a")]), "line 1: directory slot 16 out of range\n"),
        (batch(&[boot("d/0"), list_update("d/0", "full", 3)]), "line 1: directory slot 3 is empty\n"),
        (batch(&[boot("d/0"), without_slot]), "line 1: BackendsChanged event without a directory slot\n"),
        (batch(&[boot("d/0"), unknown_code]), "line 1: unknown outcome code 418\n"),
    ];
    for (input, expected) in cases {
        let output = run(&format!("{input}\n"));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && output.stdout.is_empty(), "{input}");
        assert!(message.contains(expected) && !message.contains("panicked"), "{message}");
    }
}
