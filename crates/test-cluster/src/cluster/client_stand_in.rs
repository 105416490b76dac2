//! Plays the clients: creates jobs, and handles their requests, retries and timeouts.

use super::connection::{Connection, ConnectionEnds, StandInKind, WriteMark};
use super::context::Context;
use super::health_checks::HEALTH_CHECK_INTERVAL;
use super::stand_in::StandIn;
use super::timers::Timer;
use crate::checker::{ANSWER_TOLERANCE, KILL_TOLERANCE};
use crate::history::{HistoryEvent, RequestEnd};
use crate::scenario::{Node, Scenario};
use crate::stand_ins::clients::NextStep;
use crate::stand_ins::http::{self, Response};
use crate::{ConnectionId, Millis};
use mio::net::TcpStream;
use std::collections::HashMap;

/// A connection that is not established after this time is abandoned, and the client may use another
/// scheduler.
const CONNECT_TIMEOUT: Millis = 1_000.0;
/// Delay before a client whose connection failed connects again, possibly to another scheduler.
const CONNECT_RETRY_DELAY: Millis = 20.0;
/// Clients wait this long past their deadline, so that late responses are observed as late instead of
/// missing.
const RESPONSE_GRACE: Millis = ANSWER_TOLERANCE + 200.0;

/// A request without a response so far.
#[derive(Clone, Debug)]
struct PendingRequest {
    job: usize,
    id: String,
}

/// The state of a client's connection.
#[derive(Debug, Default)]
struct ClientConnection {
    pending: Option<PendingRequest>,
    responses: usize,
}

/// The clients' connections and the progress of their jobs.
pub struct ClientStandIn {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Idle keep-alive connections, by scheduler.
    idle: Vec<Vec<ConnectionId>>,
    unfinished_jobs: usize,
    traffic_ended: bool,
}

impl ClientStandIn {
    /// Creates clients without connections or jobs.
    pub fn new(scenario: &Scenario) -> ClientStandIn {
        ClientStandIn {
            connections: HashMap::new(),
            idle: vec![Vec::new(); scenario.schedulers],
            unfinished_jobs: 0,
            traffic_ended: false,
        }
    }

    /// Whether all jobs have been created and ended.
    pub fn is_finished(&self) -> bool {
        self.traffic_ended && self.unfinished_jobs == 0
    }

    /// Creates a job, sends its first request and schedules the next job, until the scenario's traffic is
    /// over.
    pub fn create_job(&mut self, context: &mut Context) {
        let at = context.runtime.clock.since_traffic_start();
        if at >= context.scenario.length {
            self.traffic_ended = true;
            return;
        }
        let number = context.clients.create_job(at, &mut context.runtime.rng);
        let job = &context.clients.jobs[number];
        let created = HistoryEvent::JobCreated { at, job: number, class: job.class, zone: job.zone };
        context.runtime.record(created);
        self.unfinished_jobs += 1;
        self.send_request(context, number);
        let interval = context.clients.next_interval(&mut context.runtime.rng);
        context.runtime.schedule_after(interval, Timer::NextJob);
    }

    /// Sends a request for a job, unless the job is done or past its deadline.
    pub fn send_request(&mut self, context: &mut Context, job: usize) {
        let at = context.runtime.clock.since_traffic_start();
        let (is_done, deadline) = (context.clients.jobs[job].is_done, context.clients.jobs[job].deadline);
        if is_done {
            return;
        }
        if at >= deadline {
            return self.end_job(context, job, false);
        }
        let zone = context.clients.jobs[job].zone;
        let Some(scheduler) = context.front_proxy.select(zone) else {
            // No scheduler is up. This is treated like a refused connection: the client tries again soon.
            return context.runtime.schedule_after(HEALTH_CHECK_INTERVAL, Timer::Request { job });
        };
        context.clients.jobs[job].requests += 1;
        let id = format!("job{job}try{}", context.clients.jobs[job].requests);
        let reusable = self.idle[scheduler].pop();
        self.send_to(context, PendingRequest { job, id }, scheduler, reusable);
    }

    /// Sends a request on the reusable connection if there is one, otherwise on a new one.
    fn send_to(
        &mut self,
        context: &mut Context,
        request: PendingRequest,
        scheduler: usize,
        reusable: Option<ConnectionId>,
    ) {
        let PendingRequest { job, id } = request.clone();
        let Some(connection) = reusable.or_else(|| self.connect(context, job, scheduler)) else { return };
        let clock = context.runtime.clock;
        let job_state = &context.clients.jobs[job];
        let body_bytes = context.scenario.body_bytes;
        let bytes = job_state.request(&id, &format!("job-{job}"), clock.since_traffic_start(), body_bytes);
        let timeout = clock.cluster_time_of(job_state.deadline + RESPONSE_GRACE);
        let timer = Timer::RequestTimeout { job, request: id.clone() };
        context.runtime.timers.schedule(timeout, timer);
        self.connections.entry(connection).or_default().pending = Some(request);
        context.send_marked(connection, bytes, WriteMark::Request { job, request: id });
    }

    /// Opens a connection to a scheduler. If that fails, returns `None` and schedules another request for the
    /// job.
    fn connect(&mut self, context: &mut Context, job: usize, scheduler: usize) -> Option<ConnectionId> {
        let remote_node = Node::Clients(context.scenario.zone_of(scheduler));
        if context.network.is_blackholed(remote_node, Node::Scheduler(scheduler)) {
            // The connection would never be established, so the client gives up after the timeout and tries
            // again.
            context.runtime.schedule_after(CONNECT_TIMEOUT, Timer::Request { job });
            return None;
        }
        let Ok(stream) = TcpStream::connect(context.supervisor.addresses(scheduler).clients) else {
            retry_connect(context, job);
            return None;
        };
        let ends = ConnectionEnds { scheduler, remote_node, stand_in_kind: StandInKind::Client };
        let id = context.network.add(&mut context.runtime, stream, ends, true)?;
        context.runtime.schedule_after(CONNECT_TIMEOUT, Timer::ConnectTimeout(id));
        Some(id)
    }

    /// Abandons a connection that is still not established, and retries its request.
    pub fn handle_connect_timeout(&mut self, context: &mut Context, id: ConnectionId) {
        if context.network.get(id).is_none_or(|connection| !connection.is_opening) {
            return;
        }
        context.network.remove(&mut context.runtime, id);
        if let Some(ClientConnection { pending: Some(request), .. }) = self.connections.remove(&id) {
            retry_connect(context, request.job);
        }
    }

    /// Aborts a request that is still without a response, and closes its connection.
    pub fn handle_request_timeout(&mut self, context: &mut Context, job: usize, request: &str) {
        let awaits_response = |connection: &ClientConnection| {
            connection.pending.as_ref().is_some_and(|pending| pending.id == request)
        };
        let found = self.connections.iter().find(|(_, connection)| awaits_response(connection));
        let Some(id) = found.map(|(id, _)| *id) else { return };
        self.connections.remove(&id);
        context.network.remove(&mut context.runtime, id);
        let request = PendingRequest { job, id: request.to_owned() };
        self.end_request(context, request, RequestEnd::TimedOut, None);
    }

    fn end_request(
        &mut self,
        context: &mut Context,
        request: PendingRequest,
        end: RequestEnd,
        retry_after: Option<Millis>,
    ) {
        let PendingRequest { job, id } = request;
        let at = context.runtime.clock.since_traffic_start();
        let is_late = at > context.clients.jobs[job].deadline;
        context.runtime.record(HistoryEvent::RequestEnded { at, request: id, end: end.clone() });
        if context.clients.jobs[job].is_done {
            return;
        }
        match context.clients.handle_request_end(at, job, &end, retry_after) {
            NextStep::Done { served } => self.end_job(context, job, served && !is_late),
            NextStep::RetryAt(retry_at) => {
                let retry_at = context.runtime.clock.cluster_time_of(retry_at);
                context.runtime.timers.schedule(retry_at, Timer::Request { job });
            }
        }
    }

    fn end_job(&mut self, context: &mut Context, job: usize, served: bool) {
        let at = context.runtime.clock.since_traffic_start();
        context.clients.jobs[job].is_done = true;
        self.unfinished_jobs -= 1;
        context.runtime.record(HistoryEvent::JobEnded { at, job, served });
    }

    /// Keeps a connection for the next request, or removes it if the response or the scheduler closes it.
    fn release(&mut self, context: &mut Context, id: ConnectionId, response: &Response) {
        let Some(connection) = context.network.get(id) else { return };
        if response.closes || connection.input_ended() {
            context.network.remove(&mut context.runtime, id);
            self.connections.remove(&id);
        } else {
            self.idle[connection.scheduler].push(id);
        }
    }
}

/// Schedules another request after a connection could not be established. The failed attempt is not counted,
/// because no request was sent.
fn retry_connect(context: &mut Context, job: usize) {
    context.clients.jobs[job].requests -= 1;
    context.runtime.schedule_after(CONNECT_RETRY_DELAY, Timer::Request { job });
}

fn request_end(response: &Response) -> RequestEnd {
    match response.status {
        200 => RequestEnd::Served(String::from_utf8_lossy(&response.body).into_owned()),
        429 | 503 => RequestEnd::Rejected,
        _ => RequestEnd::Failed,
    }
}

impl StandIn for ClientStandIn {
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = context.network.get_mut(id) else { return };
        let Some(response) = http::take_response(&mut connection.input) else { return };
        let Some(client) = self.connections.get_mut(&id) else { return };
        let Some(request) = client.pending.take() else { return };
        client.responses += 1;
        self.release(context, id, &response);
        let retry_after = response.retry_after.map(|seconds| seconds * 1_000.0);
        self.end_request(context, request, request_end(&response), retry_after);
    }

    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, connection: Connection) {
        let scheduler = connection.scheduler;
        self.idle[scheduler].retain(|&idle| idle != id);
        let Some(client) = self.connections.remove(&id) else { return };
        let Some(request) = client.pending else { return };
        if connection.is_opening {
            return retry_connect(context, request.job);
        }
        // If a process of the scheduler has just been killed, the request is lost with it, even if the
        // scheduler's other process still runs. Otherwise an idle connection was closed while the request was
        // being sent, and the client sends it again.
        let at = context.runtime.clock.since_traffic_start();
        let is_alive = context.supervisor.is_alive_since(scheduler, at - KILL_TOLERANCE);
        let is_unanswered = client.responses > 0 && connection.input.is_empty();
        if is_unanswered && is_alive && !connection.was_reset {
            context.runtime.record(HistoryEvent::RequestResent { at, request: request.id.clone() });
            return self.send_to(context, request, scheduler, None);
        }
        if connection.has_unwritten_request() {
            // The scheduler cannot have accepted a request that was not written completely.
            return retry_connect(context, request.job);
        }
        self.end_request(context, request, RequestEnd::ConnectionLost, None);
    }
}
