//! The history grouped by job and by request, for the rules and the statistics.

use super::fault_windows::{FaultWindow, fault_windows};
use crate::Millis;
use crate::history::{HistoryEvent, RequestEnd};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How a job ended, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct JobEnd {
    pub at: Millis,
    pub served: bool,
}

/// A client's job. `class` is an index in [`CLASSES`](crate::scenario::CLASSES).
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub created_at: Millis,
    pub class: usize,
    /// The client's zone.
    pub zone: usize,
    /// `None` if the job had not ended when the run was over.
    pub end: Option<JobEnd>,
}

/// An end of a request. More than one end per request is a violation.
#[derive(Clone, Debug)]
pub struct TimedEnd {
    pub at: Millis,
    pub end: RequestEnd,
}

/// An attempt as it reached a worker.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub sent_at: Millis,
    pub received_at: Millis,
    pub scheduler: usize,
    pub worker: usize,
    /// Whether the worker returned it without executing it.
    pub returned: bool,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub job: usize,
    /// The scheduler that the client sent it to. Others may send attempts for it after a takeover.
    pub scheduler: usize,
    pub connected_at: Millis,
    pub sent_at: Millis,
    /// 0 if it was never written completely.
    pub deadline: Millis,
    pub ends: Vec<TimedEnd>,
    pub attempts: Vec<Attempt>,
    /// How many times workers began to execute it.
    pub executions: usize,
    pub results: BTreeSet<String>,
    /// When the client sent it again although an attempt had already reached a worker.
    pub resent_after_attempt: Vec<Millis>,
}

impl Request {
    /// Whether it was written completely.
    pub fn was_sent(&self) -> bool {
        self.deadline > 0.0
    }

    /// When it first ended, or its deadline if it has no end.
    pub fn ended_at(&self) -> Millis {
        self.ends.first().map_or(self.deadline, |end| end.at)
    }
}

/// The history grouped by job and by request.
#[derive(Debug, Default)]
pub struct Observations<'a> {
    pub jobs: BTreeMap<usize, Job>,
    pub requests: BTreeMap<&'a str, Request>,
    /// Indexed by scheduler.
    pub fault_windows: Vec<Vec<FaultWindow>>,
}

impl<'a> Observations<'a> {
    pub fn new(history: &'a [HistoryEvent], schedulers: usize) -> Observations<'a> {
        let fault_windows = fault_windows(history, schedulers);
        let mut observations = Observations { fault_windows, ..Observations::default() };
        history.iter().for_each(|event| observations.add_client_event(event));
        observations
    }

    fn add_client_event(&mut self, event: &'a HistoryEvent) {
        match event {
            HistoryEvent::JobCreated { at, job, class, zone } => {
                let created = Job { created_at: *at, class: *class, zone: *zone, end: None };
                self.jobs.insert(*job, created);
            }
            HistoryEvent::JobEnded { at, job, served } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.end = Some(JobEnd { at: *at, served: *served });
                }
            }
            HistoryEvent::RequestSent { at, connected_at, job, request, scheduler, deadline } => {
                let request = self.request(request);
                (request.job, request.scheduler) = (*job, *scheduler);
                (request.connected_at, request.sent_at) = (*connected_at, *at);
                request.deadline = *deadline;
            }
            HistoryEvent::RequestResent { at, request } => {
                let request = self.request(request);
                if !request.attempts.is_empty() {
                    request.resent_after_attempt.push(*at);
                }
            }
            HistoryEvent::RequestEnded { at, request, end } => {
                self.request(request).ends.push(TimedEnd { at: *at, end: end.clone() });
            }
            event => self.add_worker_event(event),
        }
    }

    fn add_worker_event(&mut self, event: &'a HistoryEvent) {
        match event {
            HistoryEvent::AttemptReceived { at, sent_at, request, scheduler, worker, .. } => {
                self.request(request).attempts.push(Attempt {
                    sent_at: *sent_at,
                    received_at: *at,
                    scheduler: *scheduler,
                    worker: *worker,
                    returned: false,
                });
            }
            HistoryEvent::AttemptStarted { request, .. } => self.request(request).executions += 1,
            HistoryEvent::AttemptReturned { request, worker, .. } => {
                let mut attempts = self.request(request).attempts.iter_mut().rev();
                let open = |attempt: &&mut Attempt| attempt.worker == *worker && !attempt.returned;
                if let Some(attempt) = attempts.find(open) {
                    attempt.returned = true;
                }
            }
            HistoryEvent::AttemptFinished { request, result, .. } => {
                self.request(request).results.insert(result.clone());
            }
            _ => {}
        }
    }

    fn request(&mut self, id: &'a str) -> &mut Request {
        self.requests.entry(id).or_default()
    }

    /// Requests that were written completely, each with its id and the class of its job.
    pub fn sent_requests(&self) -> impl Iterator<Item = (&'a str, &Request, usize)> {
        let sent = self.requests.iter().filter(|(_, request)| request.was_sent());
        sent.filter_map(|(id, request)| Some((*id, request, self.jobs.get(&request.job)?.class)))
    }

    /// The results that workers produced, grouped by job because a client that sends a second request for a
    /// job may get the result of its first.
    pub fn results_by_job(&self) -> HashMap<usize, BTreeSet<&str>> {
        let mut results: HashMap<usize, BTreeSet<&str>> = HashMap::new();
        for request in self.requests.values() {
            results.entry(request.job).or_default().extend(request.results.iter().map(String::as_str));
        }
        results
    }
}
