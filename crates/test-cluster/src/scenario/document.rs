//! Schema of a scenario file. Aliases accept the key names that files used up to commit 365a0cf.

use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Spanned;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Document {
    pub name: String,
    pub why: String,
    #[serde(default)]
    pub seed: u64,
    #[serde(alias = "tier")]
    pub cluster: ClusterDocument,
    #[serde(default)]
    pub workers: WorkersDocument,
    #[serde(default)]
    pub traffic: TrafficDocument,
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultDocument>,
    #[serde(default)]
    pub expect: ExpectDocument,
}

/// `[cluster]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClusterDocument {
    pub schedulers: Spanned<usize>,
    #[serde(default)]
    pub zones: Option<Vec<String>>,
    #[serde(default)]
    pub regions: BTreeMap<String, Spanned<Vec<String>>>,
    pub descriptors: Option<Spanned<usize>>,
    #[serde(default)]
    pub operations: Option<String>,
    #[serde(default, alias = "handover")]
    pub failover: Option<String>,
}

/// `[workers]`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct WorkersDocument {
    pub count: Option<Spanned<usize>>,
    pub slots: Option<Spanned<usize>>,
    #[serde(alias = "room")]
    pub queue: Option<Spanned<usize>>,
    #[serde(alias = "run-ms")]
    pub run_time_ms: Option<Spanned<f64>>,
    #[serde(alias = "cold-ms")]
    pub warm_up_ms: Option<Spanned<f64>>,
    #[serde(alias = "cold-share")]
    pub initial_capacity: Option<Spanned<f64>>,
}

/// `[traffic]`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct TrafficDocument {
    pub per_second: Option<Spanned<f64>>,
    pub seconds: Option<Spanned<f64>>,
    pub deadline_ms: Option<Spanned<f64>>,
    #[serde(alias = "tries")]
    pub max_requests: Option<Spanned<usize>>,
    #[serde(alias = "again-ms")]
    pub retry_backoff_ms: Option<Spanned<f64>>,
    #[serde(alias = "notice-ms")]
    pub detection_delay_ms: Option<Spanned<f64>>,
    pub farm_view: Option<Spanned<f64>>,
    pub market_sale: Option<Spanned<f64>>,
    pub coin_buy: Option<Spanned<f64>>,
    pub body_bytes: Option<Spanned<usize>>,
}

/// `[[fault]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultDocument {
    pub kind: Spanned<String>,
    pub at: Spanned<f64>,
    pub until: Option<Spanned<f64>>,
    #[serde(default, alias = "who")]
    pub targets: Vec<Spanned<String>>,
    #[serde(default)]
    pub from: Vec<Spanned<String>>,
    #[serde(default)]
    pub to: Vec<Spanned<String>>,
    #[serde(default, alias = "both-ways")]
    pub bidirectional: bool,
    #[serde(default, alias = "silent")]
    pub blackhole: bool,
    pub delay_ms: Option<Spanned<f64>>,
    pub jitter_ms: Option<Spanned<f64>>,
    pub loss: Option<Spanned<f64>>,
    pub duplicate: Option<Spanned<f64>>,
    pub reorder: Option<Spanned<f64>>,
    pub bytes_per_s: Option<Spanned<f64>>,
    pub requests_per_s: Option<Spanned<f64>>,
    pub cut_at_byte: Option<Spanned<u64>>,
    #[serde(alias = "times")]
    pub factor: Option<Spanned<f64>>,
    #[serde(alias = "part")]
    pub fraction: Option<Spanned<f64>>,
    #[serde(alias = "step-ms")]
    pub offset_ms: Option<Spanned<f64>>,
}

/// `[expect]`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ExpectDocument {
    #[serde(default, alias = "broken")]
    pub violations: Vec<Spanned<String>>,
    #[serde(alias = "doubles")]
    pub max_duplicate_executions: Option<Spanned<usize>>,
    #[serde(alias = "lost")]
    pub max_lost: Option<Spanned<usize>>,
    #[serde(alias = "service")]
    pub min_served: Option<Spanned<f64>>,
    #[serde(alias = "back-in-ms")]
    pub max_recovery_ms: Option<Spanned<f64>>,
    #[serde(alias = "owner-within-ms")]
    pub max_vacancy_ms: Option<Spanned<f64>>,
    #[serde(alias = "adopted")]
    pub min_takeovers: Option<Spanned<usize>>,
    #[serde(alias = "answered")]
    pub min_answered: Option<Spanned<f64>>,
}
