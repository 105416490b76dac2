//! The event loop: waits for sockets, logs and timers, and hands each event to the part that it is for.

use super::active_faults::ActiveFaults;
use super::client_stand_in::ClientStandIn;
use super::connection::{Connection, Ends, FarEnd};
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
use super::{LATE_TURN, Options, Outcome};
use crate::scenario::{Node, Scenario};
use crate::{ConnectionId, Error, Millis, StartState};
use mio::net::TcpStream;
use mio::{Events, Poll};
use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A cluster that is not up after this never will be.
const START_TIMEOUT: Millis = 20_000.0;
/// The loop looks at least this often whether it is to stop.
const MAX_WAIT: Millis = 50.0;
/// Events taken from the poll at a time.
const MAX_EVENTS: usize = 1_024;
/// What a scheduler's `INFO` says once its jobs are replicated.
const REPLICATION_READY: &str = "handover.settled=1";
/// The names of failover's figures begin with it.
const FAILOVER_FIGURES: &str = "handover.";

/// A cluster and all around it.
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
    late_turns: usize,
    cpu_at_start: f64,
    /// When schedulers were asked last whether jobs are replicated.
    replication_checked_at: Millis,
    /// The files of the run; removed with it.
    _folder: tempfile::TempDir,
}

impl<'a> Cluster<'a> {
    /// Makes sockets and files; starts nothing yet.
    pub fn new(scenario: &'a Scenario, options: &'a Options) -> Result<Cluster<'a>, Error> {
        let folder = tempfile::Builder::new()
            .prefix("brackenledge-test-cluster-")
            .tempdir()
            .map_err(Error::io("a folder for the run"))?;
        let poll = Poll::new().map_err(Error::io("poll"))?;
        let registry = poll.registry().try_clone().map_err(Error::io("poll"))?;
        let context = setup::build(scenario, options, Sources::new(registry), folder.path())
            .map_err(Error::io("the cluster's sockets and files"))?;
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
            late_turns: 0,
            cpu_at_start: 0.0,
            replication_checked_at: 0.0,
            _folder: folder,
        })
    }

    /// Starts the processes, and runs until all jobs and faults are over.
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
            self.turn(&mut events)?;
            if !self.context.runtime.clock.has_traffic() && self.is_ready() {
                self.start_traffic();
            }
        }
        Ok(())
    }

    /// Waits for events, and handles them and the timers that are due.
    fn turn(&mut self, events: &mut Events) -> Result<(), Error> {
        if self.options.stop.as_ref().is_some_and(|stop| stop.load(Ordering::Relaxed)) {
            return Err(Error::Interrupted);
        }
        match self.poll.poll(events, Some(self.time_to_next_timer())) {
            Err(source) if source.kind() != ErrorKind::Interrupted => {
                return Err(Error::Io { operation: "poll", source });
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
        if began.elapsed().as_secs_f64() * 1_000.0 > LATE_TURN {
            self.late_turns += 1;
        }
        self.context.runtime.take_failure().map_or(Ok(()), Err)
    }

    fn time_to_next_timer(&self) -> Duration {
        let runtime = &self.context.runtime;
        let wait = runtime.timers.next_due().map_or(MAX_WAIT, |due| due - runtime.clock.now());
        Duration::from_secs_f64(wait.clamp(0.0, MAX_WAIT) / 1_000.0)
    }

    fn next_due_timer(&mut self) -> Option<Timer> {
        let now = self.context.runtime.clock.now();
        self.context.runtime.timers.pop_due(now)
    }

    fn is_finished(&self) -> bool {
        self.clients.is_finished() && !self.faults.has_unfinished()
    }

    /// Whether all schedulers serve, and replicate jobs where they are to.
    fn is_ready(&mut self) -> bool {
        self.context.front_proxy.all_up() && self.is_replication_ready()
    }

    /// A cluster takes some seconds to agree on its members.
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

    /// The cluster is up: traffic and the faults' clock begin.
    fn start_traffic(&mut self) {
        let Context { scenario, runtime, supervisor, .. } = &mut self.context;
        runtime.clock.start_traffic();
        self.cpu_at_start = supervisor.cpu_ms();
        // What happened during the start is not part of the run.
        runtime.history.clear();
        runtime.timers.schedule(runtime.clock.time_of(0.0), Timer::NextJob);
        for (number, fault) in scenario.faults.iter().enumerate() {
            runtime.timers.schedule(runtime.clock.time_of(fault.at), Timer::FaultBegins(number));
            if let Some(until) = fault.until {
                runtime.timers.schedule(runtime.clock.time_of(until), Timer::FaultEnds(number));
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

    /// A scheduler has connected to one of the proxy's listeners.
    pub fn handle_connection(&mut self, listener: usize, stream: TcpStream) {
        let context = &mut self.context;
        let (scheduler, far) =
            (context.network.listeners[listener].scheduler, context.network.listeners[listener].far);
        let far_end = match far {
            Node::Scheduler(other) => {
                return self.links.handle_connection(context, stream, scheduler, other);
            }
            Node::Worker(_) => FarEnd::Worker,
            _ => FarEnd::Discovery,
        };
        context.network.add(&mut context.runtime, stream, Ends { scheduler, far, far_end }, false);
    }

    fn handle_timer(&mut self, timer: Timer) {
        let context = &mut self.context;
        match timer {
            Timer::Arrival(id) => context.network.advance(&mut context.runtime, id),
            Timer::Datagram { from, to, bytes } => context.deliver_datagram(from, to, &bytes),
            Timer::WorkerProgress => self.workers.handle_timeout(context),
            Timer::DiscoveryRequest => self.discovery.serve_next(context),
            Timer::EndpointChange => self.discovery.handle_timeout(context),
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

    /// Fails the run unless all schedulers have come up.
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
        let failover_figures = |number: usize| {
            let figures = reply_of(number)?.text.lines().filter(|line| line.contains(FAILOVER_FIGURES));
            Some(figures.collect::<Vec<_>>().join(" "))
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
            failover: failover_figures(scheduler),
        };
        (0..scenario.schedulers).map(state).collect()
    }

    /// Hands what happened on connections to their stand-ins, until nothing more happens.
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
        let far_end = connection.far_end;
        let (stand_in, context) = self.stand_in(far_end);
        stand_in.handle_input(context, id);
    }

    fn handle_end(&mut self, id: ConnectionId, connection: Connection) {
        let (stand_in, context) = self.stand_in(connection.far_end);
        stand_in.handle_end(context, id, connection);
    }

    fn stand_in(&mut self, far_end: FarEnd) -> (&mut dyn StandIn, &mut Context<'a>) {
        let stand_in: &mut dyn StandIn = match far_end {
            FarEnd::Worker => &mut self.workers,
            FarEnd::Discovery => &mut self.discovery,
            FarEnd::Client => &mut self.clients,
            FarEnd::HealthCheck => &mut self.health_checks,
            FarEnd::SchedulerLink => &mut self.links,
        };
        (stand_in, &mut self.context)
    }

    /// What the run came to. Ends all processes.
    pub fn into_outcome(self) -> Outcome {
        let Cluster { context, links, late_turns, cpu_at_start, .. } = self;
        let supervisor = context.supervisor;
        Outcome {
            cpu_ms: supervisor.cpu_ms() - cpu_at_start,
            role_replies: supervisor.call_admin_endpoints("DUTIES"),
            info_replies: supervisor.call_admin_endpoints("INFO"),
            member_replies: supervisor.call_admin_endpoints("MEMBERS"),
            history: context.runtime.history,
            crashed: supervisor.crashed,
            process_ids: supervisor.process_ids,
            log: supervisor.log,
            link_bytes: links.bytes,
            late_turns,
        }
    }
}
