//! The configuration, the operators' file and the command line: valid ones are accepted, errors reported.
#![allow(missing_docs)]

mod support;

use serde_json::{Value, json};
use support::{
    RESPONSE_HEAD, accept, bind_loopback, job_request, line_chunk, read_message, reset_connection, run, send,
    settings, start_scheduler,
};

/// A configuration with only the required fields.
fn minimal_config() -> Value {
    json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()})
}

#[test]
fn an_invalid_configuration_or_command_line_is_reported_in_one_line() {
    let valid = minimal_config();
    let with = |field: &str, value: Value| {
        let mut config = valid.clone();
        config[field] = value;
        config
    };
    let cases = [
        (json!("text"), "not a configuration"),
        (with("listen", json!("nowhere")), "nowhere"),
        (with("seed", json!("xyz")), "xyz"),
        (with("limits", json!({"sockets": 3})), "limits.sockets"),
        (with("settings", json!({"classes": []})), "classes"),
        (with("listen", json!(null)), "listen"),
    ];
    for (config, expected) in cases {
        let output = run(&["serve"], Some(&config));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && message.contains(expected), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
    assert!(!run(&["serve"], None).status.success() && !run(&["dig"], None).status.success());
    assert!(run(&["version"], None).status.success() && run(&["check"], Some(&valid)).status.success());
}

#[test]
fn an_invalid_admin_address_or_operations_file_fails_the_start_with_one_line_that_names_it() {
    let valid = minimal_config();
    let mut invalid_address = valid.clone();
    invalid_address["control"] = json!("localhost");
    let output = run(&["serve"], Some(&invalid_address));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && message.contains("control \"localhost\" is not an address"),
        "{message}"
    );
    let file = std::env::temp_dir().join(format!("operations-{}.toml", std::process::id()));
    std::fs::write(&file, "[control]\ncallers_most = 0\n").expect("the file is written");
    let path = file.to_str().expect("a path");
    let output = run(&["serve", "--operations", path], Some(&valid));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    let expected = format!("{path}:2: control.callers_most must be");
    assert!(!output.status.success() && message.contains(&expected), "{message}");
    assert_eq!(message.lines().count(), 1, "{message}");
    // The file that is shipped with the program is valid.
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operations.toml");
    assert!(run(&["check", "--operations", shipped], Some(&valid)).status.success());
}

/// Operators' scripts use the names of the commands, so they must not change with names in the code.
#[test]
fn the_programs_commands_keep_their_names() {
    let help = run(&["--help"], None);
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    let commands =
        text.split("Commands:").nth(1).and_then(|rest| rest.split("Options:").next()).unwrap_or("");
    let names: Vec<&str> = commands.lines().filter_map(|line| line.split_whitespace().next()).collect();
    assert_eq!(names, ["serve", "check", "members", "duties", "zones", "version", "help"]);
}

/// Paths of the settings that may be absent.
const OPTIONAL_SETTINGS: [&[&str]; 17] = [
    &["limits", "cancelling"],
    &["limits", "peer-messages"],
    &["limits", "retry-after"],
    &["limits", "max-retry-after"],
    &["limits", "max-attempts"],
    &["limits", "connect-timeout"],
    &["limits", "conn-idle"],
    &["limits", "second-copies"],
    &["limits"],
    &["specifics", "tells-start"],
    &["specifics"],
    &["report"],
    &["obligations"],
    &["zones"],
    &["shapes"],
    &["tenants"],
    &["discovery"],
];

const CLASSES: [&str; 3] = ["view", "sale", "buy"];

/// The effects as the settings name them. Jobs of the second one must not be executed twice.
const EFFECTS: [&str; 3] = ["pure", "side_effect", "token"];
const NOT_IDEMPOTENT: &str = "side_effect";

fn settings_without(path: &[&str]) -> Value {
    let mut settings = settings();
    let (last, parents) = path.split_last().expect("a key");
    let parent = parents.iter().fold(&mut settings, |value, key| &mut value[*key]);
    parent.as_object_mut().expect("an object").remove(*last);
    settings
}

/// Gives each class the effect that is `shift` places after the one at its index, and removes its group.
fn shift_effects(settings: &mut Value, shift: usize) {
    for (at, class) in settings["classes"].as_array_mut().expect("classes").iter_mut().enumerate() {
        class["effect"] = json!(EFFECTS[(at + shift) % EFFECTS.len()]);
        class.as_object_mut().expect("an object").remove("group");
    }
}

/// Asserts that a job of each class is served or, if the effect of its class is `side_effect`, fails after a
/// reset. `what`: the case, for failure messages.
fn assert_every_class_is_served(what: &str, settings: Value) {
    let effects: Vec<Value> = settings["classes"]
        .as_array()
        .expect("classes")
        .iter()
        .map(|class| class["effect"].clone())
        .collect();
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings, &worker);
    for (at, class) in CLASSES.into_iter().enumerate() {
        let id = format!("o{at}");
        let mut client = scheduler.send_request(&job_request(class, &id, "x"));
        let mut attempt = accept(&worker);
        assert!(read_message(&mut attempt).contains(&format!("X-Trace-Id: {id}\r\n")), "{what}");
        // A job that may have run is retried only if the effect of its class allows that.
        if effects[at] == NOT_IDEMPOTENT {
            reset_connection(attempt);
            let answer = read_message(&mut client);
            assert!(answer.starts_with("HTTP/1.1 502 "), "without {what}, {class}: {answer}");
            continue;
        }
        let line = json!({"id": id, "state": "done", "result": "yes"});
        let response = format!("{RESPONSE_HEAD}{}0\r\n\r\n", line_chunk(&line));
        send(&mut attempt, &response.replace("chunked\r\n", "chunked\r\nConnection: close\r\n"));
        let answer = read_message(&mut client);
        assert!(answer.ends_with("\r\n\r\nyes"), "without {what}, {class}: {answer}");
    }
}

#[test]
fn every_class_is_served_without_each_optional_setting_and_effects_do_not_depend_on_class_names() {
    let mut cases: Vec<(String, Value)> =
        OPTIONAL_SETTINGS.into_iter().map(|path| (path.join("."), settings_without(path))).collect();
    let mut pushed = settings();
    pushed["discovery"] = json!("pushed");
    cases.push(("pushed".into(), pushed));
    for (what, settings) in cases {
        // Shifted effects show that the effect of a class does not follow from its name.
        let shifts = if what == "limits" { 0..3 } else { 0..1 };
        for shift in shifts {
            let mut settings = settings.clone();
            shift_effects(&mut settings, shift);
            assert_every_class_is_served(&what, settings);
        }
    }
}
