//! The settings document: its keys, and the defaults for absent ones. Other programs write the document, so
//! no key may change.
#![allow(missing_docs)]

use brackenledge_policy::{DeduplicationScope, Effect, ReportSource, Settings, SettingsDocument, Weights};

/// All keys, each with a value other than its default.
const COMPLETE: &str = r#"{
    "ordinal": 3, "balancers": 7, "zone": 2, "discovery": "on_request", "weights": "live",
    "over-share-worth": 0.3, "zones": ["north", "south"], "shapes": ["small"], "report": {"source": "probe"},
    "classes": [
        {"name": "view", "effect": "pure", "goal-time": 300, "hard-limit": 5000, "group": "all", "window": 60,
         "aim-stretch": 1.5, "importance": 2, "late-value": 0.25, "streamed": true},
        {"effect": "token", "goal-time": 1, "hard-limit": 2, "group": "zone"},
        {"effect": "side_effect", "goal-time": 1, "hard-limit": 2, "group": "cell"}],
    "tenants": [{"name": "shop", "fraction": 0.6, "quota-per-s": 60}],
    "specifics": {"class-kind": [4, -1], "class-priority": [5], "class-stretch": [2.5], "progress": 20,
        "queue-order": "fifo", "tells-start": true},
    "limits": {"cancelling": true, "conn-idle": 900, "connect-timeout": 70, "max-attempts": 4,
        "max-retry-after": 2000, "most-held": 50, "peer-messages": true, "probes": true, "retry-after": true,
        "second-copies": true},
    "obligations": {"answer-slack": 8, "ask-within": 6000, "cold-share": 0.2, "drain-grace": 150,
        "fall-multiple": 2.5, "overload-for": 1100, "warm-within": 9000},
    "fees": {"cross-zone": 0.1, "connection": 0.2, "probe": 0.4}
}"#;

const MINIMAL: &str = r#"{"classes": [{"effect": "token", "goal-time": 300, "hard-limit": 5000}]}"#;

/// The document as parsed by each of the two parsers in use.
fn read(text: &str) -> [SettingsDocument; 2] {
    [
        miniserde::json::from_str(text).expect("valid document"),
        serde_json::from_str(text).expect("valid document"),
    ]
}

#[test]
fn every_key_is_read() {
    for document in read(COMPLETE) {
        assert_eq!(document.class_names(), ["view", "", ""]);
        assert_eq!(document.tenant_names(), ["shop"]);
        assert_eq!((document.zone_names().len(), document.kind_names()), (2, vec!["small".to_owned()]));
        assert_eq!((document.idle_timeout(), document.max_open_jobs()), (Some(900.0), Some(50)));
        let settings = Settings::from(&document);
        assert_eq!((settings.ordinal, settings.schedulers, settings.zone), (3, 7, 2));
        assert_eq!((settings.weights, settings.report_source), (Weights::Live, ReportSource::HealthChecks));
        assert!(settings.list_on_request && settings.reports_job_start && settings.starts_in_order);
        assert!(settings.cancellation && settings.health_checks && settings.peer_messages);
        assert!(settings.hedged_requests && settings.retry_after);
        let tenant = &settings.tenants[0];
        assert_eq!((tenant.quota_fraction, tenant.quota_per_second), (0.6, 60.0));
        assert_eq!((settings.progress_interval, settings.max_retry_after), (20.0, 2_000.0));
        assert_eq!((settings.max_attempts, settings.connect_timeout), (4, 70.0));
        assert_eq!((settings.answer_slack, settings.max_poll_interval), (8.0, 6_000.0));
        assert_eq!((settings.drain_grace, settings.initial_capacity_fraction), (150.0, 0.2));
        assert_eq!((settings.warm_up_duration, settings.over_quota_weight), (9_000.0, 0.3));
        assert_eq!((settings.overload_multiple, settings.overload_duration), (2.5, 1_100.0));
        let fees = [settings.cross_zone_fee, settings.connection_fee, settings.health_check_fee];
        assert_eq!(fees, [0.1, 0.2, 0.4]);
    }
}

#[test]
fn every_key_of_a_class_is_read() {
    for document in read(COMPLETE) {
        let classes = Settings::from(&document).classes;
        let view = &classes[0];
        assert_eq!((view.latency_objective, view.deadline, view.streamed), (300.0, 5_000.0, true));
        assert_eq!((view.priority_weight, view.late_weight), (2.0, 0.25));
        // A value that is given by class index takes precedence. A negative kind means no kind.
        assert_eq!((view.stretch, view.kind, view.priority), (2.5, Some(4), 5));
        assert_eq!((classes[1].stretch, classes[1].kind, classes[1].priority), (0.0, None, 0));
        assert_eq!(view.deduplication_window, 60.0);
        let effects = [Effect::Repeatable, Effect::Idempotent, Effect::NonIdempotent];
        let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
        assert!(classes.iter().map(|class| class.effect).eq(effects));
        assert!(classes.iter().map(|class| class.deduplication_scope).eq(scopes));
    }
}

#[test]
fn absent_keys_get_the_most_conservative_value() {
    for document in read(MINIMAL) {
        assert_eq!((document.idle_timeout(), document.max_open_jobs()), (None, None));
        let settings = Settings::from(&document);
        assert_eq!((settings.ordinal, settings.schedulers, settings.max_attempts), (0, 1, 1));
        assert_eq!((settings.weights, settings.report_source), (Weights::None, ReportSource::None));
        assert!(!settings.list_on_request && !settings.reports_job_start && !settings.starts_in_order);
        assert!(!settings.cancellation && !settings.health_checks && !settings.peer_messages);
        assert!(!settings.hedged_requests && !settings.retry_after);
        assert_eq!((settings.max_poll_interval, settings.connect_timeout), (10_000.0, 250.0));
        assert_eq!((settings.answer_slack, settings.drain_grace), (0.0, 0.0));
        assert_eq!((settings.initial_capacity_fraction, settings.warm_up_duration), (0.0, 30_000.0));
        assert_eq!((settings.overload_multiple, settings.overload_duration), (2.0, 1_000.0));
        let class = &settings.classes[0];
        assert_eq!((class.priority_weight, class.late_weight, class.stretch), (1.0, 0.0, 0.0));
        // Only workers of one cell are certain to recognise one another's idempotency keys.
        assert_eq!(class.deduplication_scope, DeduplicationScope::Cell);
        assert_eq!(class.deduplication_window, 0.0);
    }
}
