//! The settings document that a dispatcher starts with, and its conversion to [`Settings`].
//!
//! The simulator's first message and a scheduler's configuration contain the same document, so one struct
//! serves both. It is read with miniserde and with serde. Both support `Option` for fields that may be absent
//! and a plain `rename` where a field's name differs from its key; nothing else is used. An absent field gets
//! the most conservative value.

use super::{Class, DeduplicationScope, Effect, ReportSource, Settings, Tenant, Weights};
use crate::units::Millis;

/// The document as it was read, before its conversion to [`Settings`].
#[derive(Clone, Debug, serde::Deserialize, miniserde::Deserialize)]
pub struct SettingsDocument {
    ordinal: Option<u32>,
    #[serde(rename = "balancers")]
    schedulers: Option<u32>,
    zone: Option<u32>,
    classes: Vec<ClassDocument>,
    tenants: Option<Vec<TenantDocument>>,
    discovery: Option<String>,
    weights: Option<String>,
    report: Option<ReportDocument>,
    #[serde(rename = "specifics")]
    worker_features: Option<WorkerFeatures>,
    limits: Option<Limits>,
    obligations: Option<Obligations>,
    #[serde(rename = "over-share-worth")]
    over_quota_weight: Option<f64>,
    fees: Option<Fees>,
    zones: Option<Vec<String>>,
    #[serde(rename = "shapes")]
    kinds: Option<Vec<String>>,
}

#[derive(Clone, Debug, serde::Deserialize, miniserde::Deserialize)]
struct ClassDocument {
    name: Option<String>,
    effect: EffectName,
    #[serde(rename = "group")]
    deduplication_scope: Option<ScopeName>,
    #[serde(rename = "window")]
    deduplication_window: Option<f64>,
    #[serde(rename = "goal-time")]
    latency_objective: f64,
    #[serde(rename = "hard-limit")]
    deadline: f64,
    #[serde(rename = "aim-stretch")]
    stretch: Option<f64>,
    #[serde(rename = "importance")]
    priority_weight: Option<f64>,
    #[serde(rename = "late-value")]
    late_weight: Option<f64>,
    streamed: Option<bool>,
}

#[derive(Clone, Copy, Debug, serde::Deserialize, miniserde::Deserialize)]
enum EffectName {
    #[serde(rename = "pure")]
    Pure,
    #[serde(rename = "token")]
    Token,
    #[serde(rename = "side_effect")]
    SideEffect,
}

#[derive(Clone, Copy, Debug, serde::Deserialize, miniserde::Deserialize)]
enum ScopeName {
    #[serde(rename = "all")]
    All,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "cell")]
    Cell,
}

#[derive(Clone, Debug, serde::Deserialize, miniserde::Deserialize)]
struct TenantDocument {
    name: Option<String>,
    #[serde(rename = "fraction")]
    quota_fraction: Option<f64>,
    #[serde(rename = "quota-per-s")]
    quota_per_second: Option<f64>,
}

#[derive(Clone, Debug, serde::Deserialize, miniserde::Deserialize)]
struct ReportDocument {
    source: Option<String>,
}

/// What the workers of this site support and require.
#[derive(Clone, Debug, Default, serde::Deserialize, miniserde::Deserialize)]
struct WorkerFeatures {
    #[serde(rename = "class-kind")]
    class_kinds: Option<Vec<i64>>,
    #[serde(rename = "class-priority")]
    class_priorities: Option<Vec<i64>>,
    #[serde(rename = "class-stretch")]
    class_stretches: Option<Vec<f64>>,
    #[serde(rename = "progress")]
    progress_interval: Option<f64>,
    #[serde(rename = "queue-order")]
    queue_order: Option<String>,
    #[serde(rename = "tells-start")]
    reports_job_start: Option<bool>,
}

#[derive(Clone, Debug, Default, serde::Deserialize, miniserde::Deserialize)]
struct Limits {
    #[serde(rename = "cancelling")]
    cancellation: Option<bool>,
    #[serde(rename = "conn-idle")]
    idle_timeout: Option<f64>,
    #[serde(rename = "connect-timeout")]
    connect_timeout: Option<f64>,
    #[serde(rename = "max-attempts")]
    max_attempts: Option<usize>,
    #[serde(rename = "max-retry-after")]
    max_retry_after: Option<f64>,
    #[serde(rename = "most-held")]
    max_open_jobs: Option<usize>,
    #[serde(rename = "peer-messages")]
    peer_messages: Option<bool>,
    #[serde(rename = "probes")]
    health_checks: Option<bool>,
    #[serde(rename = "retry-after")]
    retry_after: Option<bool>,
    #[serde(rename = "second-copies")]
    hedged_requests: Option<bool>,
}

/// What clients, discovery and workers require of a scheduler.
#[derive(Clone, Debug, Default, serde::Deserialize, miniserde::Deserialize)]
struct Obligations {
    #[serde(rename = "answer-slack")]
    answer_slack: Option<f64>,
    #[serde(rename = "ask-within")]
    max_poll_interval: Option<f64>,
    #[serde(rename = "cold-share")]
    initial_capacity_fraction: Option<f64>,
    #[serde(rename = "drain-grace")]
    drain_grace: Option<f64>,
    #[serde(rename = "fall-multiple")]
    overload_multiple: Option<f64>,
    #[serde(rename = "overload-for")]
    overload_duration: Option<f64>,
    #[serde(rename = "warm-within")]
    warm_up_duration: Option<f64>,
}

#[derive(Clone, Debug, Default, serde::Deserialize, miniserde::Deserialize)]
struct Fees {
    #[serde(rename = "cross-zone")]
    cross_zone: Option<f64>,
    connection: Option<f64>,
    #[serde(rename = "probe")]
    health_check: Option<f64>,
}

impl SettingsDocument {
    /// The names of the classes, by index.
    pub fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|class| class.name.clone().unwrap_or_default()).collect()
    }

    /// The names of the tenants, by index.
    pub fn tenant_names(&self) -> Vec<String> {
        let tenants = self.tenants.as_deref().unwrap_or_default();
        tenants.iter().map(|tenant| tenant.name.clone().unwrap_or_default()).collect()
    }

    /// The names of the zones, by index.
    pub fn zone_names(&self) -> Vec<String> {
        self.zones.clone().unwrap_or_default()
    }

    /// The names of the machine kinds, by index.
    pub fn kind_names(&self) -> Vec<String> {
        self.kinds.clone().unwrap_or_default()
    }

    /// Time after which workers close an idle connection; `None` if absent or not positive.
    pub fn idle_timeout(&self) -> Option<Millis> {
        self.limits.as_ref().and_then(|limits| limits.idle_timeout).filter(|&timeout| timeout > 0.0)
    }

    /// Maximum number of jobs that may be open at the same time; `None` if absent or 0.
    pub fn max_open_jobs(&self) -> Option<usize> {
        self.limits.as_ref().and_then(|limits| limits.max_open_jobs).filter(|&jobs| jobs > 0)
    }

    fn classes(&self) -> Vec<Class> {
        let features = self.worker_features.as_ref();
        self.classes
            .iter()
            .enumerate()
            .map(|(index, document)| {
                let class = Class::from(document);
                match features {
                    Some(features) => features.refine_class(index, class),
                    None => class,
                }
            })
            .collect()
    }

    fn weights(&self) -> Weights {
        match self.weights.as_deref() {
            Some("nominal" | "rough") => Weights::Size,
            Some("live") => Weights::Live,
            _ => Weights::None,
        }
    }

    fn report_source(&self) -> ReportSource {
        match self.report.as_ref().and_then(|report| report.source.as_deref()) {
            Some("answers") => ReportSource::Responses,
            Some("probe") => ReportSource::HealthChecks,
            _ => ReportSource::None,
        }
    }
}

impl WorkerFeatures {
    /// Overrides the fields of a class with the values given for its index.
    fn refine_class(&self, index: usize, class: Class) -> Class {
        fn at<T: Copy>(values: Option<&Vec<T>>, index: usize) -> Option<T> {
            values.and_then(|values| values.get(index)).copied()
        }
        Class {
            stretch: at(self.class_stretches.as_ref(), index).unwrap_or(class.stretch),
            kind: at(self.class_kinds.as_ref(), index).and_then(|kind| u32::try_from(kind).ok()),
            priority: at(self.class_priorities.as_ref(), index).unwrap_or(class.priority),
            ..class
        }
    }

    fn apply(&self, settings: Settings) -> Settings {
        Settings {
            reports_job_start: self.reports_job_start.unwrap_or(false),
            starts_in_order: self.queue_order.as_deref() == Some("fifo"),
            progress_interval: self.progress_interval.unwrap_or(0.0),
            ..settings
        }
    }
}

impl Limits {
    fn apply(&self, settings: Settings) -> Settings {
        let connect_timeout = self.connect_timeout.filter(|&timeout| timeout > 0.0);
        Settings {
            cancellation: self.cancellation.unwrap_or(false),
            health_checks: self.health_checks.unwrap_or(false),
            peer_messages: self.peer_messages.unwrap_or(false),
            hedged_requests: self.hedged_requests.unwrap_or(false),
            retry_after: self.retry_after.unwrap_or(false),
            max_retry_after: self.max_retry_after.unwrap_or(0.0),
            max_attempts: self.max_attempts.unwrap_or(settings.max_attempts),
            connect_timeout: connect_timeout.unwrap_or(settings.connect_timeout),
            ..settings
        }
    }
}

impl Obligations {
    fn apply(&self, settings: Settings) -> Settings {
        Settings {
            answer_slack: self.answer_slack.unwrap_or(0.0),
            max_poll_interval: self.max_poll_interval.unwrap_or(settings.max_poll_interval),
            drain_grace: self.drain_grace.unwrap_or(0.0),
            initial_capacity_fraction: self.initial_capacity_fraction.unwrap_or(0.0),
            warm_up_duration: self.warm_up_duration.unwrap_or(settings.warm_up_duration),
            overload_multiple: self.overload_multiple.unwrap_or(settings.overload_multiple),
            overload_duration: self.overload_duration.unwrap_or(settings.overload_duration),
            ..settings
        }
    }
}

impl Fees {
    fn apply(&self, settings: Settings) -> Settings {
        Settings {
            cross_zone_fee: self.cross_zone.unwrap_or(0.0),
            connection_fee: self.connection.unwrap_or(0.0),
            health_check_fee: self.health_check.unwrap_or(0.0),
            ..settings
        }
    }
}

impl From<&ClassDocument> for Class {
    fn from(class: &ClassDocument) -> Class {
        Class {
            effect: match class.effect {
                EffectName::Pure => Effect::Repeatable,
                EffectName::Token => Effect::Idempotent,
                EffectName::SideEffect => Effect::NonIdempotent,
            },
            deduplication_scope: match class.deduplication_scope {
                Some(ScopeName::All) => DeduplicationScope::All,
                Some(ScopeName::Zone) => DeduplicationScope::Zone,
                // Absent: the narrowest scope, since only workers of one cell are certain to share all
                // idempotency keys.
                Some(ScopeName::Cell) | None => DeduplicationScope::Cell,
            },
            deduplication_window: class.deduplication_window.unwrap_or(0.0),
            latency_objective: class.latency_objective,
            stretch: class.stretch.unwrap_or(0.0),
            deadline: class.deadline,
            priority_weight: class.priority_weight.unwrap_or(1.0),
            late_weight: class.late_weight.unwrap_or(0.0),
            streamed: class.streamed.unwrap_or(false),
            kind: None,
            priority: 0,
        }
    }
}

impl From<&TenantDocument> for Tenant {
    fn from(tenant: &TenantDocument) -> Tenant {
        Tenant {
            quota_fraction: tenant.quota_fraction.unwrap_or(0.0),
            quota_per_second: tenant.quota_per_second.unwrap_or(0.0),
        }
    }
}

impl From<&SettingsDocument> for Settings {
    fn from(document: &SettingsDocument) -> Settings {
        let settings = Settings {
            ordinal: document.ordinal.unwrap_or(0),
            schedulers: document.schedulers.unwrap_or(1),
            zone: document.zone.unwrap_or(0),
            classes: document.classes(),
            tenants: document.tenants.as_deref().unwrap_or_default().iter().map(Tenant::from).collect(),
            list_on_request: document.discovery.as_deref() == Some("on_request"),
            weights: document.weights(),
            report_source: document.report_source(),
            over_quota_weight: document.over_quota_weight.unwrap_or(0.0),
            ..Settings::default()
        };
        let settings = document.worker_features.clone().unwrap_or_default().apply(settings);
        let settings = document.limits.clone().unwrap_or_default().apply(settings);
        let settings = document.obligations.clone().unwrap_or_default().apply(settings);
        document.fees.clone().unwrap_or_default().apply(settings)
    }
}
