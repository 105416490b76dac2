//! The settings document that a dispatcher starts with, and what the module reads out of it.
//!
//! The simulator's first message and a real scheduler's configuration carry the same document, so that one
//! struct serves both. Every field that may be absent is an `Option` and every name that differs is a plain
//! `rename`: serde and miniserde both understand that much. What is absent has the value that claims least.

use crate::interface::{Class, Effect, Group, Millis, Reports, Settings, Tenant, Weights};

/// The document.
#[derive(Clone, Debug, serde::Deserialize, miniserde::Deserialize)]
pub struct SettingsDocument {
    ordinal: Option<u32>,
    balancers: Option<u32>,
    zone: Option<u32>,
    classes: Vec<ClassDocument>,
    tenants: Option<Vec<TenantDocument>>,
    discovery: Option<String>,
    weights: Option<String>,
    report: Option<ReportDocument>,
    specifics: Option<Specifics>,
    limits: Option<Limits>,
    obligations: Option<Obligations>,
    #[serde(rename = "over-share-worth")]
    over_share_worth: Option<f64>,
    fees: Option<Fees>,
    zones: Option<Vec<String>>,
    shapes: Option<Vec<String>>,
}

#[derive(Clone, Debug, serde::Deserialize, miniserde::Deserialize)]
struct ClassDocument {
    name: Option<String>,
    effect: EffectWord,
    group: Option<GroupWord>,
    window: Option<f64>,
    #[serde(rename = "goal-time")]
    goal_time: f64,
    #[serde(rename = "hard-limit")]
    hard_limit: f64,
    #[serde(rename = "aim-stretch")]
    aim_stretch: Option<f64>,
    importance: Option<f64>,
    #[serde(rename = "late-value")]
    late_value: Option<f64>,
    streamed: Option<bool>,
}

#[derive(Clone, Copy, Debug, serde::Deserialize, miniserde::Deserialize)]
enum EffectWord {
    #[serde(rename = "pure")]
    Pure,
    #[serde(rename = "token")]
    Token,
    #[serde(rename = "side_effect")]
    SideEffect,
}

#[derive(Clone, Copy, Debug, serde::Deserialize, miniserde::Deserialize)]
enum GroupWord {
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
    fraction: Option<f64>,
    #[serde(rename = "quota-per-s")]
    quota_per_s: Option<f64>,
}

#[derive(Clone, Debug, serde::Deserialize, miniserde::Deserialize)]
struct ReportDocument {
    source: Option<String>,
}

#[derive(Clone, Debug, Default, serde::Deserialize, miniserde::Deserialize)]
struct Specifics {
    #[serde(rename = "class-kind")]
    class_kind: Option<Vec<i64>>,
    #[serde(rename = "class-priority")]
    class_priority: Option<Vec<i64>>,
    #[serde(rename = "class-stretch")]
    class_stretch: Option<Vec<f64>>,
    progress: Option<f64>,
    #[serde(rename = "queue-order")]
    queue_order: Option<String>,
    #[serde(rename = "tells-start")]
    tells_start: Option<bool>,
}

#[derive(Clone, Debug, Default, serde::Deserialize, miniserde::Deserialize)]
struct Limits {
    cancelling: Option<bool>,
    #[serde(rename = "conn-idle")]
    conn_idle: Option<f64>,
    #[serde(rename = "connect-timeout")]
    connect_timeout: Option<f64>,
    #[serde(rename = "max-attempts")]
    max_attempts: Option<usize>,
    #[serde(rename = "max-retry-after")]
    max_retry_after: Option<f64>,
    #[serde(rename = "most-held")]
    most_held: Option<usize>,
    #[serde(rename = "peer-messages")]
    peer_messages: Option<bool>,
    probes: Option<bool>,
    #[serde(rename = "retry-after")]
    retry_after: Option<bool>,
    #[serde(rename = "second-copies")]
    second_copies: Option<bool>,
}

#[derive(Clone, Debug, Default, serde::Deserialize, miniserde::Deserialize)]
struct Obligations {
    #[serde(rename = "answer-slack")]
    answer_slack: Option<f64>,
    #[serde(rename = "ask-within")]
    ask_within: Option<f64>,
    #[serde(rename = "cold-share")]
    cold_share: Option<f64>,
    #[serde(rename = "drain-grace")]
    drain_grace: Option<f64>,
    #[serde(rename = "fall-multiple")]
    fall_multiple: Option<f64>,
    #[serde(rename = "overload-for")]
    overload_for: Option<f64>,
    #[serde(rename = "warm-within")]
    warm_within: Option<f64>,
}

#[derive(Clone, Debug, Default, serde::Deserialize, miniserde::Deserialize)]
struct Fees {
    #[serde(rename = "cross-zone")]
    cross_zone: Option<f64>,
    connection: Option<f64>,
    probe: Option<f64>,
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
        self.shapes.clone().unwrap_or_default()
    }

    /// After how long the other side closes an idle connection, where that is stated.
    pub fn idle_limit(&self) -> Option<Millis> {
        self.limits.as_ref().and_then(|limits| limits.conn_idle).filter(|&limit| limit > 0.0)
    }

    /// How many jobs may be held open, where that is stated.
    pub fn most_held(&self) -> Option<usize> {
        self.limits.as_ref().and_then(|limits| limits.most_held).filter(|&most| most > 0)
    }
}

impl From<&ClassDocument> for Class {
    fn from(class: &ClassDocument) -> Class {
        Class {
            effect: match class.effect {
                EffectWord::Pure => Effect::Safe,
                EffectWord::Token => Effect::Keyed,
                EffectWord::SideEffect => Effect::Unsafe,
            },
            group: match class.group {
                Some(GroupWord::All) => Group::All,
                // Without a word on which servers drop a repeat, only those that share all they have seen do.
                None => Group::Cell,
                Some(GroupWord::Zone) => Group::Zone,
                Some(GroupWord::Cell) => Group::Cell,
            },
            window: class.window.unwrap_or(0.0),
            aim: class.goal_time,
            stretch: class.aim_stretch.unwrap_or(0.0),
            deadline: class.hard_limit,
            worth: class.importance.unwrap_or(1.0),
            late_worth: class.late_value.unwrap_or(0.0),
            streamed: class.streamed.unwrap_or(false),
            kind: None,
            priority: 0,
        }
    }
}

impl From<&SettingsDocument> for Settings {
    #[expect(
        clippy::too_many_lines,
        reason = "one document to one struct; split with policy, second part of the work on readable code"
    )]
    fn from(document: &SettingsDocument) -> Settings {
        let specifics = document.specifics.clone().unwrap_or_default();
        let limits = document.limits.clone().unwrap_or_default();
        let duties = document.obligations.clone().unwrap_or_default();
        let fees = document.fees.clone().unwrap_or_default();
        let tenants = document.tenants.as_deref().unwrap_or_default();
        let source = document.report.as_ref().and_then(|report| report.source.as_deref());
        let kinds = specifics.class_kind.unwrap_or_default();
        let priorities = specifics.class_priority.unwrap_or_default();
        let stretches = specifics.class_stretch.unwrap_or_default();
        let class = |(index, class): (usize, &ClassDocument)| {
            let plain = Class::from(class);
            Class {
                stretch: stretches.get(index).copied().unwrap_or(plain.stretch),
                kind: kinds.get(index).and_then(|&kind| u32::try_from(kind).ok()),
                priority: priorities.get(index).copied().unwrap_or(0),
                ..plain
            }
        };
        let base = Settings::default();
        Settings {
            ordinal: document.ordinal.unwrap_or(0),
            dispatchers: document.balancers.unwrap_or(1),
            zone: document.zone.unwrap_or(0),
            classes: document.classes.iter().enumerate().map(class).collect(),
            tenants: (tenants.iter())
                .map(|t| Tenant { share: t.fraction.unwrap_or(0.0), quota: t.quota_per_s.unwrap_or(0.0) })
                .collect(),
            list_on_request: document.discovery.as_deref() == Some("on_request"),
            weights: match document.weights.as_deref() {
                Some("nominal" | "rough") => Weights::Size,
                Some("live") => Weights::Live,
                _ => Weights::None,
            },
            reports: match source {
                Some("answers") => Reports::Answers,
                Some("probe") => Reports::Probes,
                _ => Reports::None,
            },
            tells_start: specifics.tells_start.unwrap_or(false),
            starts_in_order: specifics.queue_order.as_deref() == Some("fifo"),
            progress_every: specifics.progress.unwrap_or(0.0),
            cancelling: limits.cancelling.unwrap_or(false),
            probes: limits.probes.unwrap_or(false),
            messages: limits.peer_messages.unwrap_or(false),
            second_copies: limits.second_copies.unwrap_or(false),
            retry_after: limits.retry_after.unwrap_or(false),
            max_retry_after: limits.max_retry_after.unwrap_or(0.0),
            max_attempts: limits.max_attempts.unwrap_or(base.max_attempts),
            connect_timeout: (limits.connect_timeout.filter(|&time| time > 0.0))
                .unwrap_or(base.connect_timeout),
            answer_slack: duties.answer_slack.unwrap_or(0.0),
            ask_within: duties.ask_within.unwrap_or(base.ask_within),
            drain_grace: duties.drain_grace.unwrap_or(0.0),
            cold_share: duties.cold_share.unwrap_or(0.0),
            warm_within: duties.warm_within.unwrap_or(base.warm_within),
            fall_multiple: duties.fall_multiple.unwrap_or(base.fall_multiple),
            overload_for: duties.overload_for.unwrap_or(base.overload_for),
            over_share_worth: document.over_share_worth.unwrap_or(0.0),
            cross_zone_fee: fees.cross_zone.unwrap_or(0.0),
            zone_prices: Vec::new(),
            connection_fee: fees.connection.unwrap_or(0.0),
            probe_fee: fees.probe.unwrap_or(0.0),
        }
    }
}
