//! Stand-in for clients: they create jobs at an open-loop rate and retry each under the same
//! `Idempotency-Key`.

use super::http::JobRequest;
use crate::Millis;
use crate::history::RequestEnd;
use crate::scenario::{CLASSES, Scenario};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[cfg(test)]
mod tests;

/// The tenants, the same in every scenario.
pub const TENANTS: [&str; 2] = ["karoo-play", "vaal-games"];
/// Number of users whose data jobs access; the distribution is skewed towards low numbers.
const USERS: f64 = 200.0;

/// A job of a client.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index in [`CLASSES`].
    pub class: usize,
    /// Index of the client's zone.
    pub zone: usize,
    /// Index in [`TENANTS`].
    pub tenant: usize,
    /// Number of the user whose data it accesses.
    pub user: usize,
    /// Time of the job's deadline.
    pub deadline: Millis,
    /// Run time on a worker at full capacity.
    pub run_time: Millis,
    /// Number of requests sent for the job.
    pub requests: usize,
    /// Whether the job has ended, served or not; no more requests are sent for it.
    pub is_done: bool,
}

impl Job {
    /// The bytes of a request for the job, with the time left until its deadline as of `now`.
    pub fn request(&self, id: &str, idempotency_key: &str, now: Millis, body_bytes: usize) -> Vec<u8> {
        let request = JobRequest {
            class: CLASSES[self.class].name,
            tenant: TENANTS[self.tenant],
            user: self.user,
            id,
            idempotency_key,
            time_left: (self.deadline - now).max(1.0),
            body_bytes,
        };
        request.to_bytes()
    }
}

/// What a client does after a request has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// The job has ended.
    Done {
        /// Whether the request was served, possibly late.
        served: bool,
    },
    /// Sends another request at this time.
    RetryAt(Millis),
}

/// All clients of the cluster.
#[derive(Debug)]
pub struct ClientPopulation {
    /// All jobs created so far, by number.
    pub jobs: Vec<Job>,
    /// Multiplies the scenario's arrival rate; 1: normal.
    pub rate_factor: f64,
    per_second: f64,
    deadline: Millis,
    max_requests: usize,
    retry_backoff: Millis,
    mix: [f64; 3],
    zones: usize,
    run_time: Millis,
}

impl ClientPopulation {
    /// Clients that have not created any jobs.
    pub fn new(scenario: &Scenario) -> ClientPopulation {
        ClientPopulation {
            jobs: Vec::new(),
            rate_factor: 1.0,
            per_second: scenario.per_second,
            deadline: scenario.deadline,
            max_requests: scenario.max_requests,
            retry_backoff: scenario.retry_backoff,
            mix: scenario.mix,
            zones: scenario.zones.len(),
            run_time: scenario.run_time,
        }
    }

    /// Time until the next job is created: uniformly distributed from 0 to twice the mean interval.
    pub fn next_interval(&self, rng: &mut ChaCha8Rng) -> Millis {
        rng.random_range(0.0..2_000.0 / (self.per_second * self.rate_factor))
    }

    /// Creates a job and returns its number.
    pub fn create_job(&mut self, now: Millis, rng: &mut ChaCha8Rng) -> usize {
        let mut at = rng.random_range(0.0..self.mix.iter().sum::<f64>());
        let class = self.mix.iter().position(|fraction| {
            at -= fraction;
            at < 0.0
        });
        let job = Job {
            class: class.unwrap_or(0),
            zone: rng.random_range(0..self.zones),
            tenant: rng.random_range(0..TENANTS.len()),
            user: (USERS * rng.random::<f64>().powi(2)) as usize,
            deadline: now + self.deadline,
            run_time: self.run_time * rng.random_range(0.5..1.5),
            requests: 0,
            is_done: false,
        };
        self.jobs.push(job);
        self.jobs.len() - 1
    }

    /// Handles the end of a request. Rejections and lost connections are retried while requests and time are
    /// left, failures and timeouts are not. `retry_after` is the pause that a rejection asks for.
    pub fn handle_request_end(
        &mut self,
        now: Millis,
        job: usize,
        end: &RequestEnd,
        retry_after: Option<Millis>,
    ) -> NextStep {
        let job = &mut self.jobs[job];
        let pause = match end {
            RequestEnd::Served(_) | RequestEnd::Failed | RequestEnd::TimedOut => None,
            RequestEnd::Rejected => Some(retry_after.unwrap_or(self.retry_backoff)),
            RequestEnd::ConnectionLost => Some(self.retry_backoff),
        };
        let in_time = |pause: &Millis| now + pause < job.deadline - self.run_time;
        match pause.filter(|pause| job.requests < self.max_requests && in_time(pause)) {
            Some(pause) => NextStep::RetryAt(now + pause),
            None => {
                job.is_done = true;
                NextStep::Done { served: matches!(end, RequestEnd::Served(_)) }
            }
        }
    }
}
