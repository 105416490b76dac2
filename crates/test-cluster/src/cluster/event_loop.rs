//! The event loop: waits for sockets, logs and timers, and dispatches each event to the module that handles
//! it.

use super::active_faults::ActiveFaults;
use super::client_stand_in::ClientStandIn;
use super::connection::{Connection, ConnectionEnds, StandInKind};
use super::context::Context;
use super::discovery_stand_in::DiscoveryStandIn;
use super::health_checks::{HEALTH_CHECK_INTERVAL, HealthChecks};
use super::network::NetworkEvent;
use super::scheduler_links::SchedulerLinks;
use super::setup;
use super::sources::{ProcessKind, ProcessSlot, Source, Sources};
use super::stand_in::StandIn;
use super::timers::Timer;
use super::worker_stand_in::WorkerStandIn;
use super::{Options, Outcome, SLOW_ITERATION};
use crate::scenario::{Node, Scenario};
use crate::{ConnectionId, Error, Millis, StartState};
use mio::net::TcpStream;
use mio::{Events, Poll};
use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The run fails if the cluster is not ready after this time.
const START_TIMEOUT: Millis = 20_000.0;
/// Longest wait for events, which bounds the delay until the loop notices a request to stop.
const MAX_POLL_WAIT: Millis = 50.0;
/// Capacity for the events returned by one call of the poll.
const MAX_EVENTS: usize = 1_024;
/// Line in a scheduler's reply to `INFO` once its jobs are replicated.
const REPLICATION_READY: &str = "handover.settled=1";
/// Contained in the names of failover metrics in replies to `INFO`.
const FAILOVER_METRICS: &str = "handover.";

/// A running cluster: the shared state, the stand-ins, and the faults in effect.
pub struct Cluster<'a> {
    pub context: Context<'a>,
    pub workers: WorkerStandIn,
    pub discovery: DiscoveryStandIn,
    pub clients: ClientStandIn,
    pub health_checks: HealthChecks,
    pub links: SchedulerLinks,
    pub faults: ActiveFaults,
    options: &'a Options,
    poll: Poll,
    slow_iterations: usize,
    cpu_ms_at_traffic_start: f64,
    /// Cluster time at which the schedulers were last asked whether their jobs are replicated.
    replication_checked_at: Millis,
    /// The directory with the run's files, removed on drop.
    _run_dir: tempfile::TempDir,
}

impl<'a> Cluster<'a> {
    /// Opens the sockets and writes the files, but starts no process yet.
    pub fn new(scenario: &'a Scenario, options: &'a Options) -> Result<Cluster<'a>, Error> {
        let run_dir = tempfile::Builder::new()
            .prefix("brackenledge-test-cluster-")
            .tempdir()
            .map_err(Error::io("creating the run's temporary directory"))?;
        let poll = Poll::new().map_err(Error::io("creating the poll"))?;
        let registry = poll.registry().try_clone().map_err(Error::io("cloning the poll's registry"))?;
        let context = setup::build(scenario, options, Sources::new(registry), run_dir.path())
            .map_err(Error::io("creating the cluster's sockets and files"))?;
        Ok(Cluster {
            context,
            workers: WorkerStandIn::new(scenario),
            discovery: DiscoveryStandIn::new(scenario),
            clients: ClientStandIn::new(scenario),
            health_checks: HealthChecks::default(),
            links: SchedulerLinks::default(),
            faults: ActiveFaults::default(),
            options,
            poll,
            slow_iterations: 0,
            cpu_ms_at_traffic_start: 0.0,
            replication_checked_at: 0.0,
            _run_dir: run_dir,
        })
    }

    /// Starts the processes and runs until all jobs have ended and no fault is left to end.
    pub fn run(&mut self) -> Result<(), Error> {
        for scheduler in 0..self.context.scenario.schedulers {
            let slot = ProcessSlot { scheduler, kind: ProcessKind::Primary };
            self.context.supervisor.start(&mut self.context.runtime, slot)?;
        }
        self.context.runtime.schedule_after(START_TIMEOUT, Timer::StartTimeout);
        self.health_checks.check_all(&mut self.context);
        self.discovery.send_keep_alives(&mut self.context);
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !self.is_finished() {
            self.run_iteration(&mut events)?;
            if !self.context.runtime.clock.has_traffic() && self.is_ready() {
                self.start_traffic();
            }
        }
        Ok(())
    }

    /// Waits for events, then handles them and the timers that are due.
    fn run_iteration(&mut self, events: &mut Events) -> Result<(), Error> {
        if self.options.stop.as_ref().is_some_and(|stop| stop.load(Ordering::Relaxed)) {
            return Err(Error::Interrupted);
        }
        match self.poll.poll(events, Some(self.time_to_next_timer())) {
            Err(source) if source.kind() != ErrorKind::Interrupted => {
                return Err(Error::Io { operation: "polling for events", source });
            }
            _ => {}
        }
        let began = Instant::now();
        for event in events.iter() {
            let Some(source) = self.context.runtime.sources.get(event.token()) else { continue };
            let is_readable = event.is_readable() || event.is_read_closed();
            self.handle_source(source, event.is_writable(), is_readable);
            self.dispatch_network_events();
        }
        while let Some(timer) = self.next_due_timer() {
            self.handle_timer(timer);
            self.dispatch_network_events();
        }
        if began.elapsed().as_secs_f64() * 1_000.0 > SLOW_ITERATION {
            self.slow_iterations += 1;
        }
        self.context.runtime.take_failure().map_or(Ok(()), Err)
    }

    fn time_to_next_timer(&self) -> Duration {
        let runtime = &self.context.runtime;
        let wait = runtime.timers.next_due().map_or(MAX_POLL_WAIT, |due| due - runtime.clock.now());
        Duration::from_secs_f64(wait.clamp(0.0, MAX_POLL_WAIT) / 1_000.0)
    }

    fn next_due_timer(&mut self) -> Option<Timer> {
        let now = self.context.runtime.clock.now();
        self.context.runtime.timers.pop_due(now)
    }

    fn is_finished(&self) -> bool {
        self.clients.is_finished() && !self.faults.has_unfinished()
    }

    /// Whether all schedulers serve clients and, if the scenario asks for failover, replicate jobs.
    fn is_ready(&mut self) -> bool {
        self.context.front_proxy.all_up() && self.is_replication_ready()
    }

    /// Whether all schedulers report that they replicate jobs. They do so only after agreeing on the member
    /// list, which takes some seconds, so they are asked at intervals.
    fn is_replication_ready(&mut self) -> bool {
        if self.context.scenario.failover.is_none() {
            return true;
        }
        let now = self.context.runtime.clock.now();
        if now < self.replication_checked_at + HEALTH_CHECK_INTERVAL {
            return false;
        }
        self.replication_checked_at = now;
        let replies = self.context.supervisor.call_admin_endpoints("INFO");
        replies.len() == self.context.scenario.schedulers
            && replies.iter().all(|reply| reply.text.contains(REPLICATION_READY))
    }

    /// Starts the traffic and schedules the faults, once the cluster is ready.
    fn start_traffic(&mut self) {
        let Context { scenario, runtime, supervisor, .. } = &mut self.context;
        runtime.clock.start_traffic();
        self.cpu_ms_at_traffic_start = supervisor.cpu_ms();
        // Events from the startup phase are not judged.
        runtime.history.clear();
        runtime.timers.schedule(runtime.clock.cluster_time_of(0.0), Timer::NextJob);
        for (number, fault) in scenario.faults.iter().enumerate() {
            runtime.timers.schedule(runtime.clock.cluster_time_of(fault.at), Timer::FaultBegins(number));
            if let Some(until) = fault.until {
                runtime.timers.schedule(runtime.clock.cluster_time_of(until), Timer::FaultEnds(number));
            }
        }
    }

    fn handle_source(&mut self, source: Source, is_writable: bool, is_readable: bool) {
        let context = &mut self.context;
        match source {
            Source::Listener(index) => {
                for stream in context.network.listeners[index].listener.accept() {
                    self.handle_connection(index, stream);
                }
            }
            Source::Connection(id) => {
                if is_writable {
                    context.network.write(id);
                }
                if is_readable {
                    context.network.read(&mut context.runtime, id);
                }
            }
            Source::Datagrams(route) => context.relay_datagrams(route),
            Source::Log(slot) => context.supervisor.read_log(&mut context.runtime, slot),
        }
    }

    /// Handles a connection that a scheduler has opened to one of the proxy's listeners.
    pub fn handle_connection(&mut self, listener: usize, stream: TcpStream) {
        let context = &mut self.context;
        let (scheduler, remote_node) =
            (context.network.listeners[listener].scheduler, context.network.listeners[listener].remote_node);
        let stand_in_kind = match remote_node {
            Node::Scheduler(other) => {
                return self.links.handle_connection(context, stream, scheduler, other);
            }
            Node::Worker(_) => StandInKind::Worker,
            _ => StandInKind::Discovery,
        };
        context.network.add(
            &mut context.runtime,
            stream,
            ConnectionEnds { scheduler, remote_node, stand_in_kind },
            false,
        );
    }

    fn handle_timer(&mut self, timer: Timer) {
        let context = &mut self.context;
        match timer {
            Timer::Arrival(id) => context.network.advance(&mut context.runtime, id),
            Timer::Datagram { from, to, bytes } => context.deliver_datagram(from, to, &bytes),
            Timer::WorkerProgress => self.workers.handle_timeout(context),
            Timer::DiscoveryResponse => self.discovery.serve_next(context),
            Timer::EndpointChange => self.discovery.apply_due_changes(context),
            Timer::WatchKeepAlive => self.discovery.send_keep_alives(context),
            Timer::NextJob => self.clients.create_job(context),
            Timer::Request { job } => self.clients.send_request(context, job),
            Timer::RequestTimeout { job, request } => {
                self.clients.handle_request_timeout(context, job, &request);
            }
            Timer::ConnectTimeout(id) => self.clients.handle_connect_timeout(context, id),
            Timer::HealthChecks => self.health_checks.check_all(context),
            Timer::HealthCheckTimeout(id) => self.health_checks.handle_timeout(context, id),
            Timer::FaultBegins(number) => self.begin_fault(number),
            Timer::FaultEnds(number) => self.end_fault(number),
            Timer::StartTimeout => self.check_start(),
        }
    }

    /// Fails the run if traffic has not started, with the state of each scheduler.
    fn check_start(&mut self) {
        if !self.context.runtime.clock.has_traffic() {
            let schedulers = self.start_states();
            let log = self.context.supervisor.log.clone();
            self.context.runtime.fail(Error::StartTimeout { timeout_ms: START_TIMEOUT, schedulers, log });
        }
    }

    fn start_states(&self) -> Vec<StartState> {
        let Context { scenario, supervisor, front_proxy, .. } = &self.context;
        let replies = supervisor.call_admin_endpoints("INFO");
        let reply_of = |number: usize| replies.iter().find(|reply| reply.scheduler == number);
        let failover_metrics = |number: usize| {
            let metrics = reply_of(number)?.text.lines().filter(|line| line.contains(FAILOVER_METRICS));
            Some(metrics.collect::<Vec<_>>().join(" "))
        };
        let is_replicating = |number: usize| {
            scenario.failover.is_none()
                || reply_of(number).is_some_and(|reply| reply.text.contains(REPLICATION_READY))
        };
        let state = |scheduler: usize| StartState {
            scheduler,
            is_serving: supervisor.is_serving(scheduler),
            is_up: front_proxy.is_up(scheduler),
            is_replicating: is_replicating(scheduler),
            failover: failover_metrics(scheduler),
        };
        (0..scenario.schedulers).map(state).collect()
    }

    /// Dispatches network events to the stand-ins until none is left, including those caused by the
    /// stand-ins' own reactions.
    pub fn dispatch_network_events(&mut self) {
        while let Some(event) = self.context.network.poll_event() {
            match event {
                NetworkEvent::Written { scheduler, opened_at, mark } => {
                    self.context.record_written(scheduler, opened_at, mark);
                }
                NetworkEvent::Received(id, bytes) => self.handle_bytes(id, &bytes),
                NetworkEvent::Ended(id) => {
                    if let Some(connection) = self.context.network.remove(&mut self.context.runtime, id) {
                        self.handle_end(id, connection);
                    }
                }
            }
        }
    }

    fn handle_bytes(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.context.network.get_mut(id) else { return };
        connection.input.extend_from_slice(bytes);
        let stand_in_kind = connection.stand_in_kind;
        let (stand_in, context) = self.stand_in_for(stand_in_kind);
        stand_in.handle_input(context, id);
    }

    fn handle_end(&mut self, id: ConnectionId, connection: Connection) {
        let (stand_in, context) = self.stand_in_for(connection.stand_in_kind);
        stand_in.handle_end(context, id, connection);
    }

    fn stand_in_for(&mut self, stand_in_kind: StandInKind) -> (&mut dyn StandIn, &mut Context<'a>) {
        let stand_in: &mut dyn StandIn = match stand_in_kind {
            StandInKind::Worker => &mut self.workers,
            StandInKind::Discovery => &mut self.discovery,
            StandInKind::Client => &mut self.clients,
            StandInKind::HealthCheck => &mut self.health_checks,
            StandInKind::SchedulerLink => &mut self.links,
        };
        (stand_in, &mut self.context)
    }

    /// Returns the outcome of the run and ends all processes.
    pub fn into_outcome(self) -> Outcome {
        let Cluster { context, links, slow_iterations, cpu_ms_at_traffic_start, .. } = self;
        let supervisor = context.supervisor;
        Outcome {
            cpu_ms: supervisor.cpu_ms() - cpu_ms_at_traffic_start,
            role_replies: supervisor.call_admin_endpoints("DUTIES"),
            info_replies: supervisor.call_admin_endpoints("INFO"),
            member_replies: supervisor.call_admin_endpoints("MEMBERS"),
            history: context.runtime.history,
            crashed: supervisor.crashed,
            process_ids: supervisor.process_ids,
            log: supervisor.log,
            link_bytes: links.bytes,
            slow_iterations,
        }
    }
}
