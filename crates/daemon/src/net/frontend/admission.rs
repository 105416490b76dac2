//! Admission rules, and the conversion of request heads to the engine's job requests.

use super::connection::RequestKind;
use crate::net::event_loop::Millis;
use brackenledge_engine::{ClientId, JobRequest, Request};
use brackenledge_policy::settings::SettingsDocument;
use brackenledge_policy::{Class, Effect, NewJob, Settings};
use brackenledge_protocol::http::{RequestError, RequestHead};
use brackenledge_protocol::job_head::{ClassRule, JobHead, JobRules};

/// Maximum `Retry-After` of rejections because of too many open jobs, a drain or a shutdown.
const OVERLOAD_RETRY_AFTER: Millis = 500.0;

/// The classes and tenants of the settings, and the limits that apply before a job reaches the policy.
pub struct AdmissionRules {
    pub(super) job_rules: JobRules,
    /// Maximum time from receipt to response, by class.
    pub(super) deadlines: Vec<Millis>,
    /// By class.
    pub(super) effects: Vec<Effect>,
    /// Maximum number of jobs that clients wait for at the same time; `usize::MAX` if the settings set no
    /// limit.
    pub(super) max_open_jobs: usize,
    /// `Retry-After` of jobs that are rejected before they reach the policy; `None` if the settings disable
    /// the header.
    pub(super) retry_after: Option<Millis>,
}

impl AdmissionRules {
    pub fn new(document: &SettingsDocument, settings: &Settings) -> Self {
        let names = document.class_names().into_iter();
        let classes = names.zip(&settings.classes).map(|(name, class)| class_rule(name, class)).collect();
        AdmissionRules {
            job_rules: JobRules { classes, tenants: document.tenant_names() },
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            max_open_jobs: document.max_open_jobs().unwrap_or(usize::MAX),
            retry_after: settings.retry_after.then_some(OVERLOAD_RETRY_AFTER.min(settings.max_retry_after)),
        }
    }

    /// Determines from a request's head whether it is a health check or a job.
    pub(super) fn read_kind(
        &self,
        client: ClientId,
        head: &RequestHead,
    ) -> Result<RequestKind, RequestError> {
        if head.method == "GET" && head.path() == "/up" {
            return Ok(RequestKind::HealthCheck);
        }
        let job_head = JobHead::decode(head, &self.job_rules)?;
        Ok(RequestKind::Job(Box::new(self.job_request(client, head.target, &job_head))))
    }

    /// The job that a request's head describes. The body is added when it has been received.
    fn job_request(&self, client: ClientId, target: &str, head: &JobHead) -> JobRequest {
        JobRequest {
            client,
            job: self.new_job(head),
            request: Request {
                id: head.trace_id.to_owned(),
                target: target.to_owned(),
                idempotency_key: head.idempotency_key.map(str::to_owned),
                content_type: head.content_type.map(str::to_owned),
                body: Vec::new(),
                effect: self.effects[head.class],
                reports_attempts: false,
            },
        }
    }

    fn new_job(&self, head: &JobHead) -> NewJob {
        NewJob {
            id: 0,
            class: head.class,
            tenant: head.tenant,
            affinity_key: head.affinity_key.map(str::to_owned),
            // The class's deadline is the upper limit, whatever the client states.
            time_left: head.expires_in.unwrap_or(f64::INFINITY).min(self.deadlines[head.class]),
            expected_run_time: head.size_hint_micros.map(|micros| micros / 1_000.0),
            slots: head.resources.slots,
            memory: head.resources.memory,
            is_retry: head.is_retry,
            prior_execution: None,
        }
    }
}

fn class_rule(name: String, class: &Class) -> ClassRule {
    ClassRule { name, requires_idempotency_key: class.effect == Effect::Idempotent }
}
