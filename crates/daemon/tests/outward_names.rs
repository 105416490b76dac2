//! Names that leave the program and that operators' tools match: log events with their fields, the words of
//! their values, and the options of the command line. They must not change with identifiers in the source.
//! The unit tests below `src/net` pin the names in the replies of the admin endpoint.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{
    FailureCause, Freshness, OpenReason, RequestKind, RequestPhase, StatusChangeSource, StatusSource,
    readiness_name,
};
use brackenledge_leases::{Ballot, Epoch, Term};
use brackenledge_policy::{Outcome, Readiness};
use brackenledge_zone_routing::ReplanReason;
use std::fmt::Display;
use support::{log_calls, run};

/// What to do if a comparison fails.
const ADVICE: &str = "operators' tools match these names: restore them, or change the table here and add an \
                      entry to CHANGELOG.md";

/// Each call that writes to the log, in the form of `support::log_calls`. The event `{}` stands for those that
/// are passed to `log_counters`.
const LOG_EVENTS: &[&str] = &[
    "debug attempt_ended: reused_connection outcome attempt endpoint request",
    "debug attempt_started: endpoint_ready attempt endpoint request",
    "info configuration_reloaded: discovery",
    "info configuration_reloaded: discovery 'unchanged'",
    "info discovery_freshness_changed: revision to from",
    "info discovery_outdated_list_ignored: revision",
    "info discovery_request_failed: retry_after_ms cause kind request",
    "info discovery_request_given_up: retry_after_ms phase request",
    "info discovery_request_late: phase request",
    "info discovery_request_opened: since_revision reason kind request",
    "info discovery_revision_missing: revision",
    "info discovery_revisions_restarted: revision",
    "info endpoint_status_changed: revision source to from endpoint",
    "info endpoint_status_changed_many: revision source 'mixed' to_gone to_draining to_ready",
    "info failover_excluded_from_members: term lost_jobs",
    "info failover_jobs_taken_over: term jobs may_have_run",
    "info failover_jobs_transferred: jobs",
    "info gossip_changes_learned: held_revision withdrawn changes revision peer",
    "info leader_changed: leader",
    "info leadership_acquired: epoch",
    "info leadership_lost: reason 'later_ballot' leader",
    "info leadership_lost: reason 'lease_expired'",
    "info member_down: ordinal incarnation",
    "info member_up: ordinal incarnation",
    "info policy: message",
    "info process_rejoined:",
    "info process_superseded:",
    "info role_lease_acquired: role term",
    "info role_lease_changed: role term",
    "info role_lease_expired: role",
    "info role_lease_granted: role holder term",
    "info role_lease_released: role holder",
    "info serving: version 'CARGO_PKG_VERSION' discovery peer_listen listen name control",
    "info shutdown_started: pending_jobs",
    "info view_abandoned: epoch live_voters",
    "info view_chosen: epoch voters",
    "info view_entered: epoch voters",
    "info zone_plan_made: shares reason",
    "info zone_routing_source_changed: source",
    "info {}: first_reported_by_peer gossip_messages_sent second_watches discovery_requests_failed \
     discovery_requests endpoints revision pending_jobs abandoned failed rejected served",
    "log_counters counters:",
    "log_counters shutdown_complete:",
    "warn accept_failed: error",
    "warn configuration_rejected: error",
    "warn discovery_response_invalid: error",
    "warn epoch_store_failed: setting 'tier.state_dir' error",
];

#[test]
fn log_events_and_their_fields_keep_their_names() {
    let calls = log_calls();
    let added: Vec<&String> = calls.iter().filter(|call| !LOG_EVENTS.contains(&call.as_str())).collect();
    let missing: Vec<&&str> =
        LOG_EVENTS.iter().filter(|&&event| !calls.iter().any(|it| it == event)).collect();
    assert!(calls == LOG_EVENTS, "{ADVICE}\nnot in the table: {added:#?}\nonly in the table: {missing:#?}");
}

fn words<T: Display, const N: usize>(values: [T; N]) -> String {
    values.map(|value| value.to_string()).join(" ")
}

#[test]
fn values_of_log_fields_keep_their_words() {
    use {FailureCause::*, OpenReason::*, Outcome::*, ReplanReason::*, RequestPhase::*, StatusSource::*};
    let statuses = [Readiness::Ready, Readiness::Draining, Readiness::Gone];
    let sources = [Cached, Watch, Poll, PartialUpdate, Peer(7), Signals].map(StatusChangeSource::Reported);
    let other_sources = [StatusChangeSource::OverrideExpired, StatusChangeSource::SignalsCleared];
    let reasons = [PollRequested, NoWatch, WatchesSuspected, Rotation, RevisionMissing, AddressChanged];
    let phases =
        [Connecting, AwaitingResponse, Streaming { mid_update: true }, Streaming { mid_update: false }];
    let causes = [NoConnection, Rejected, InvalidResponse, NoResponse, EndedMidUpdate, Ended];
    let outcomes =
        [Served, WorkerError, BadRequest, Full, Timeout, ConnectFailed, Reset, Cancelled, NeverSent];
    let epoch = Epoch { era: 17, number: 2 };
    let term = Term { epoch, ballot: Ballot { counter: 3, proposer: 4 }, step: 5 };
    let cases = [
        (words(statuses.map(readiness_name)), "ready draining gone"),
        (words(sources), "cached_list watch poll partial_update peer_7 signals"),
        (words(other_sources), "override_expired signals_cleared"),
        (words([Freshness::Fresh, Freshness::Late, Freshness::Stale]), "fresh late stale"),
        (words([RequestKind::Watch, RequestKind::Poll]), "watch poll"),
        (
            words(reasons),
            "poll_requested no_watch watches_suspected rotation revision_missing address_changed",
        ),
        (words(phases), "connecting awaiting_response within_update between_updates"),
        (words(causes), "no_connection rejected invalid_response no_response ended_mid_update ended"),
        (words([epoch]), "17.2"),
        (words([term]), "17.2/3.4/5"),
        // Logged by the names of their variants.
        (
            words(outcomes.map(|outcome| format!("{outcome:?}"))),
            "Served WorkerError BadRequest Full Timeout ConnectFailed Reset Cancelled NeverSent",
        ),
        (
            words([Initial, Urgent, Improvement].map(|reason| format!("{reason:?}"))),
            "Initial Urgent Improvement",
        ),
    ];
    for (words, expected) in cases {
        assert_eq!(words, expected, "{ADVICE}");
    }
}

/// The options of each command, with the environment variable and the default and possible values of each.
const OPTIONS: [(&str, &str); 6] = [
    ("serve", SERVE_OPTIONS),
    ("check", SERVE_OPTIONS),
    ("members", STATUS_OPTIONS),
    ("duties", STATUS_OPTIONS),
    ("zones", STATUS_OPTIONS),
    ("version", "-h, --help"),
];
const SERVE_OPTIONS: &str = "\
--config <FILE> [env: PROXY_CONFIG=]
--name <NAME> [env: PROXY_NAME=]
--listen <ADDRESS> [env: PROXY_LISTEN=]
--discovery <ADDRESS> [env: PROXY_DISCOVERY=]
--control <ADDRESS> [env: PROXY_CONTROL=]
--operations <FILE> [env: PROXY_OPERATIONS=]
--log-level <LEVEL> [env: PROXY_LOG_LEVEL=] [default: info] [possible values: warning, info, debug]
-h, --help";
const STATUS_OPTIONS: &str = "--control <ADDRESS> [env: PROXY_CONTROL=]\n--json\n-h, --help";

#[test]
fn options_and_environment_variables_keep_their_names() {
    for (command, expected) in OPTIONS {
        let help = run(&[command, "--help"], None);
        let text = String::from_utf8_lossy(&help.stdout).into_owned();
        let lines = text.lines().map(str::trim_start).filter(|line| line.starts_with('-'));
        let without_description = |line: &str| {
            let (option, description) = line.split_once("  ").unwrap_or((line, ""));
            let details = description.find(" [").map_or("", |at| &description[at..]);
            format!("{option}{details}")
        };
        let options: Vec<String> = lines.map(without_description).collect();
        assert_eq!(options.join("\n"), expected, "{command}: {ADVICE}");
    }
}
