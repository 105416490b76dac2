//! The clients' connections: requests, retries and timeouts.

use super::connection::{Connection, Ends, FarEnd, WriteMark};
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

/// A connection that does not come up is given up after this, and the client goes elsewhere.
const CONNECT_TIMEOUT: Millis = 1_000.0;
/// A client whose connection was refused goes elsewhere after this.
const CONNECT_RETRY_DELAY: Millis = 20.0;
/// Clients wait this much beyond their deadline, for an answer that is late.
const EXTRA_WAIT: Millis = ANSWER_TOLERANCE + 200.0;

/// A request that waits for its response.
#[derive(Clone, Debug)]
struct OpenRequest {
    job: usize,
    id: String,
}

/// A client's connection.
#[derive(Debug, Default)]
struct ClientConnection {
    open: Option<OpenRequest>,
    responses: usize,
}

/// The clients' connections.
pub struct ClientStandIn {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Connections that may be reused, by scheduler.
    idle: Vec<Vec<ConnectionId>>,
    open_jobs: usize,
    is_past_last_job: bool,
}

impl ClientStandIn {
    /// Without any connections yet.
    pub fn new(scenario: &Scenario) -> ClientStandIn {
        ClientStandIn {
            connections: HashMap::new(),
            idle: vec![Vec::new(); scenario.schedulers],
            open_jobs: 0,
            is_past_last_job: false,
        }
    }

    /// Whether all jobs have been created and ended.
    pub fn is_finished(&self) -> bool {
        self.is_past_last_job && self.open_jobs == 0
    }

    /// A client creates a job, unless the scenario's traffic is over.
    pub fn create_job(&mut self, context: &mut Context) {
        let at = context.runtime.clock.since_start();
        if at >= context.scenario.length {
            self.is_past_last_job = true;
            return;
        }
        let number = context.clients.create_job(at, &mut context.runtime.rng);
        let job = &context.clients.jobs[number];
        let created = HistoryEvent::JobCreated { at, job: number, class: job.class, zone: job.zone };
        context.runtime.record(created);
        self.open_jobs += 1;
        self.send_request(context, number);
        let interval = context.clients.next_interval(&mut context.runtime.rng);
        context.runtime.schedule_after(interval, Timer::NextJob);
    }

    /// A client sends a request for a job, unless it is done or past its deadline.
    pub fn send_request(&mut self, context: &mut Context, job: usize) {
        let at = context.runtime.clock.since_start();
        let (is_done, deadline) = (context.clients.jobs[job].is_done, context.clients.jobs[job].deadline);
        if is_done {
            return;
        }
        if at >= deadline {
            return self.end_job(context, job, false);
        }
        let zone = context.clients.jobs[job].zone;
        let Some(scheduler) = context.front_proxy.select(zone) else {
            // No scheduler is up: like a refused connection, so it is tried again soon.
            return context.runtime.schedule_after(HEALTH_CHECK_INTERVAL, Timer::Request { job });
        };
        context.clients.jobs[job].requests += 1;
        let id = format!("job{job}try{}", context.clients.jobs[job].requests);
        let reusable = self.idle[scheduler].pop();
        self.send_to(context, OpenRequest { job, id }, scheduler, reusable);
    }

    /// Sends a request on this connection, or else on a new one.
    fn send_to(
        &mut self,
        context: &mut Context,
        request: OpenRequest,
        scheduler: usize,
        reusable: Option<ConnectionId>,
    ) {
        let OpenRequest { job, id } = request.clone();
        let Some(connection) = reusable.or_else(|| self.connect(context, job, scheduler)) else { return };
        let clock = context.runtime.clock;
        let open_job = &context.clients.jobs[job];
        let body_bytes = context.scenario.body_bytes;
        let bytes = open_job.request(&id, &format!("job-{job}"), clock.since_start(), body_bytes);
        let timeout = clock.time_of(open_job.deadline + EXTRA_WAIT);
        let timer = Timer::RequestTimeout { job, request: id.clone() };
        context.runtime.timers.schedule(timeout, timer);
        self.connections.entry(connection).or_default().open = Some(request);
        context.send_marked(connection, bytes, WriteMark::Request { job, request: id });
    }

    /// Opens a connection to a scheduler.
    fn connect(&mut self, context: &mut Context, job: usize, scheduler: usize) -> Option<ConnectionId> {
        let far = Node::Clients(context.scenario.zone_of(scheduler));
        if context.network.is_cut(far, Node::Scheduler(scheduler)) {
            // It never comes up; its client gives up on it and goes elsewhere.
            context.runtime.schedule_after(CONNECT_TIMEOUT, Timer::Request { job });
            return None;
        }
        let Ok(stream) = TcpStream::connect(context.supervisor.addresses(scheduler).clients) else {
            retry_connect(context, job);
            return None;
        };
        let ends = Ends { scheduler, far, far_end: FarEnd::Client };
        let id = context.network.add(&mut context.runtime, stream, ends, true)?;
        context.runtime.schedule_after(CONNECT_TIMEOUT, Timer::ConnectTimeout(id));
        Some(id)
    }

    /// A connection must be up by now.
    pub fn handle_connect_timeout(&mut self, context: &mut Context, id: ConnectionId) {
        if context.network.get(id).is_none_or(|connection| !connection.is_opening) {
            return;
        }
        context.network.remove(&mut context.runtime, id);
        if let Some(ClientConnection { open: Some(request), .. }) = self.connections.remove(&id) {
            retry_connect(context, request.job);
        }
    }

    /// A client stops waiting for a request, if it still does.
    pub fn handle_request_timeout(&mut self, context: &mut Context, job: usize, request: &str) {
        let waits =
            |connection: &ClientConnection| connection.open.as_ref().is_some_and(|open| open.id == request);
        let open = self.connections.iter().find(|(_, connection)| waits(connection));
        let Some(id) = open.map(|(id, _)| *id) else { return };
        self.connections.remove(&id);
        context.network.remove(&mut context.runtime, id);
        let request = OpenRequest { job, id: request.to_owned() };
        self.end_request(context, request, RequestEnd::TimedOut, None);
    }

    fn end_request(
        &mut self,
        context: &mut Context,
        request: OpenRequest,
        end: RequestEnd,
        retry_after: Option<Millis>,
    ) {
        let OpenRequest { job, id } = request;
        let at = context.runtime.clock.since_start();
        let is_late = at > context.clients.jobs[job].deadline;
        context.runtime.record(HistoryEvent::RequestEnded { at, request: id, end: end.clone() });
        if context.clients.jobs[job].is_done {
            return;
        }
        match context.clients.handle_request_end(at, job, &end, retry_after) {
            NextStep::Done { served } => self.end_job(context, job, served && !is_late),
            NextStep::RetryAt(then) => {
                let then = context.runtime.clock.time_of(then);
                context.runtime.timers.schedule(then, Timer::Request { job });
            }
        }
    }

    fn end_job(&mut self, context: &mut Context, job: usize, served: bool) {
        let at = context.runtime.clock.since_start();
        context.clients.jobs[job].is_done = true;
        self.open_jobs -= 1;
        context.runtime.record(HistoryEvent::JobEnded { at, job, served });
    }

    /// Keeps a connection for the next request, unless it ends.
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

/// A connection did not come up: no request was sent, and the client goes elsewhere soon.
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
        let Some(request) = client.open.take() else { return };
        client.responses += 1;
        self.release(context, id, &response);
        let retry_after = response.retry_after.map(|seconds| seconds * 1_000.0);
        self.end_request(context, request, request_end(&response), retry_after);
    }

    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, connection: Connection) {
        let scheduler = connection.scheduler;
        self.idle[scheduler].retain(|&idle| idle != id);
        let Some(client) = self.connections.remove(&id) else { return };
        let Some(request) = client.open else { return };
        if connection.is_opening {
            return retry_connect(context, request.job);
        }
        // Of two processes under one name one may have been killed: then the request is lost.
        let at = context.runtime.clock.since_start();
        let is_alive = context.supervisor.is_alive_since(scheduler, at - KILL_TOLERANCE);
        let is_unanswered = client.responses > 0 && connection.input.is_empty();
        if is_unanswered && is_alive && !connection.is_broken {
            context.runtime.record(HistoryEvent::RequestResent { at, request: request.id.clone() });
            return self.send_to(context, request, scheduler, None);
        }
        if connection.has_unwritten_request() {
            // What was not written completely was never accepted.
            return retry_connect(context, request.job);
        }
        self.end_request(context, request, RequestEnd::ConnectionLost, None);
    }
}
