//! The real scheduler: sockets around the decision module.

mod admin_endpoint;
mod backend;
mod buffered_stream;
mod cluster;
mod discovery;
mod epoch_store;
mod event_loop;
mod frontend;
mod job_failover;
mod peer_dispatch;
mod peer_links;
mod peer_socket;
mod zone_routing;

use self::admin_endpoint::AdminEndpoint;
use self::backend::Backend;
use self::cluster::Cluster;
use self::discovery::{DiscoveryConnections, PlacementNames};
use self::event_loop::{Alarm, EventLoop, Millis, Owner};
use self::frontend::{Frontend, Rules};
use self::job_failover::{Attempt, JobFailover};
use self::peer_links::PeerLinks;
use self::peer_socket::PeerSocket;
use self::zone_routing::ZoneRouting;
use brackenledge_discovery::{Command as DiscoveryCommand, DiscoverySettings, EndpointDirectory};
use brackenledge_engine::drain::Drain;
use brackenledge_engine::shutdown::Shutdown;
use brackenledge_engine::{Arrival, Command, Core};
use brackenledge_failover::{Command as FailoverCommand, JobKey, JobOutcome, PriorExecution};
use brackenledge_policy::{Outcome, Settings};
use brackenledge_protocol::config::{Config, IDLE_LIMIT};
use brackenledge_protocol::operations::Operations;
use mio::net::{TcpListener, UnixStream};
use mio::{Events, Interest};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use slog::{Logger, info, warn};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Descriptors kept for the poll, the listeners, discovery, peers, logs and the signal; the operators' callers
/// have their cap on top.
const RESERVED: usize = 32;
/// Part of the other descriptors that clients may hold. A third of all is for their requests; what is over keeps
/// silent connections from pushing one another out before the usual clients among them have spoken.
const CLIENTS_PART: f64 = 0.55;
/// Events taken from the poll at once, at least; there is room for one from each descriptor, or what has come in time
/// would be told after the alarm that says that it has not.
const EVENTS: usize = 256;
/// Time between looks at idle connections.
const SWEEP: Millis = 250.0;
/// Time between lines for the log on what was done.
const REPORT: Millis = 30_000.0;
/// Time between two handlings of failover's timeouts and links.
const FAILOVER_INTERVAL: Millis = 20.0;
/// `Retry-After`, in milliseconds, of a job whose request id is in use by another open job.
const ID_IN_USE_RETRY_AFTER_MS: u32 = 1_000;
/// How long the last words to other schedulers may take at the end: several round trips.
const LAST_WORDS: Millis = 300.0;

/// What a callback may reach.
pub struct Context<'a> {
    now: Millis,
    core: &'a mut Core,
    endpoints: &'a mut EndpointDirectory,
    placement_names: &'a PlacementNames,
    event_loop: &'a mut EventLoop,
    log: &'a Logger,
    /// Until when connections that were kept are not trusted.
    distrust_until: &'a mut Millis,
    /// SIGTERM has come.
    stopping: Option<Shutdown>,
    /// Whether the operators have taken it out of rotation.
    drain: &'a mut Drain,
    /// Who is in the tier, and what we own on its behalf.
    cluster: &'a mut Option<Cluster>,
    /// Jobs that others go on with if we are lost.
    job_failover: &'a mut Option<JobFailover>,
    /// Where each zone's work goes.
    zones: &'a mut Option<ZoneRouting>,
}

impl Context<'_> {
    /// Jobs that clients wait for here.
    fn held(&self) -> usize {
        self.core.owed() + self.job_failover.as_ref().map_or(0, JobFailover::waiting_clients)
    }

    /// Whether SIGTERM came so long ago that clients get no further request in.
    fn closing(&self) -> bool {
        self.stopping.is_some_and(|stop| stop.is_closing_connections(self.now))
    }

    /// The time that a job arriving now may take.
    fn time_left(&self) -> Millis {
        self.stopping.map_or(f64::INFINITY, |stop| stop.time_left(self.now))
    }
}

struct Scheduler<'a> {
    event_loop: EventLoop,
    core: Core,
    endpoints: EndpointDirectory,
    placement_names: PlacementNames,
    frontend: Frontend,
    backend: Backend,
    discovery: DiscoveryConnections,
    peer: Option<PeerSocket>,
    admin: Option<AdminEndpoint>,
    drain: Drain,
    cluster: Option<Cluster>,
    job_failover: Option<JobFailover>,
    zones: Option<ZoneRouting>,
    links: Option<PeerLinks>,
    /// When nothing was owed any more, after SIGTERM.
    idle_since: Option<Millis>,
    signals: Signals,
    /// Reads the configuration again.
    reload: Reload<'a>,
    /// Discovery's address as the file had it last.
    discovery_in_file: Option<SocketAddr>,
    /// The longest deadline of a class.
    longest: Millis,
    stopping: Option<Shutdown>,
    distrust_until: Millis,
    log: Logger,
}

/// How the configuration is read again.
pub type Reload<'a> = &'a dyn Fn() -> Result<Config, String>;

/// The signals that are taken. Each sets its mark, then writes to the one pipe that the poll watches.
struct Signals {
    pipe: UnixStream,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        let (pipe, sender) = UnixStream::pair()?;
        let sender = std::os::fd::OwnedFd::from(std::os::unix::net::UnixStream::from(sender));
        let (stop, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        // Untaken, SIGHUP would end the program.
        for (signal, mark) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            signal_hook::flag::register(signal, Arc::clone(mark))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(Signals { pipe, stop, reload })
    }
}

/// A listener on `at`; with `shared`, SO_REUSEPORT lets another process listen there too.
fn listen(at: SocketAddr, shared: bool) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    /// Connections that wait to be taken: a crowd of new clients comes at once.
    const BACKLOG: i32 = 1_024;
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Runs a scheduler until SIGTERM has come and nothing is owed any more.
pub fn serve(config: Config, operations: Operations, reload: Reload, log: Logger) -> Result<(), String> {
    let mut events = Events::with_capacity(config.sockets.max(EVENTS));
    let mut scheduler = Scheduler::new(config, operations, reload, log)?;
    loop {
        scheduler.event_loop.wait(&mut events).map_err(|e| format!("poll: {e}"))?;
        let told_at = scheduler.event_loop.now();
        let again = scheduler.event_loop.take_again();
        for owner in events.iter().map(|event| Owner::of(event.token())).chain(again) {
            scheduler.on_event(owner);
            scheduler.settle();
        }
        while let Some(alarm) = scheduler.event_loop.due_alarm(told_at) {
            scheduler.on_alarm(alarm);
            scheduler.settle();
        }
        if scheduler.finished() {
            scheduler.report("stopped, nothing is owed");
            return Ok(());
        }
    }
}

/// The parts of a scheduler and its context, borrowed side by side.
macro_rules! context {
    ($scheduler:ident) => {
        Context {
            now: $scheduler.event_loop.now(),
            core: &mut $scheduler.core,
            endpoints: &mut $scheduler.endpoints,
            placement_names: &$scheduler.placement_names,
            event_loop: &mut $scheduler.event_loop,
            log: &$scheduler.log,
            distrust_until: &mut $scheduler.distrust_until,
            stopping: $scheduler.stopping,
            drain: &mut $scheduler.drain,
            cluster: &mut $scheduler.cluster,
            job_failover: &mut $scheduler.job_failover,
            zones: &mut $scheduler.zones,
        }
    };
}

impl<'a> Scheduler<'a> {
    fn new(config: Config, operations: Operations, reload: Reload<'a>, log: Logger) -> Result<Self, String> {
        let document = &config.settings;
        let settings = Settings::from(document);
        let mut event_loop = EventLoop::new().map_err(|e| format!("poll: {e}"))?;
        // Shared with a process that replaces this one, so that clients are taken while both run.
        let mut listener =
            listen(config.listen, true).map_err(|e| format!("listen {}: {e}", config.listen))?;
        let mut signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
        let watched = "registering with the poll";
        let registry = event_loop.registry();
        registry
            .register(&mut signals.pipe, Owner::Signal.token(), Interest::READABLE)
            .map_err(|e| format!("{watched}: {e}"))?;
        registry
            .register(&mut listener, Owner::Listener.token(), Interest::READABLE)
            .map_err(|e| format!("{watched}: {e}"))?;
        let mut admin = None;
        if let Some(at) = config.control {
            let mut endpoint = AdminEndpoint::new(
                listen(at, false).map_err(|e| format!("control {at}: {e}"))?,
                document.class_names(),
                operations.callers_most,
                operations.line_time,
            );
            registry
                .register(endpoint.listener(), Owner::AdminListener.token(), Interest::READABLE)
                .map_err(|e| format!("{watched}: {e}"))?;
            admin = Some(endpoint);
        }
        let mut peer = None;
        if let Some(known) = config.peer.filter(|_| settings.messages) {
            let listen = known.listen;
            let mut bound = PeerSocket::bind(known, settings.ordinal)
                .map_err(|e| format!("peer_listen {listen}: {e}"))?;
            let registered =
                event_loop.registry().register(&mut bound.socket, Owner::Peer.token(), Interest::READABLE);
            registered.map_err(|e| format!("{watched}: {e}"))?;
            peer = Some(bound);
        }
        // Without others there is nothing to agree on.
        let cluster = (peer.as_ref().filter(|peer| operations.tier && peer.cluster_size() > 1))
            .map(|peer| Cluster::new(settings.ordinal, peer.cluster_size(), &operations, config.seed))
            .transpose()
            .map_err(|error| error.to_string())?;
        if cluster.is_some() {
            event_loop.set_alarm(event_loop.now(), Alarm::Cluster);
        }
        let zones = (cluster.as_ref().filter(|_| operations.zones.on))
            .map(|_| ZoneRouting::new(&operations.zones, document.zone_names(), &settings));
        if zones.is_some() {
            event_loop.set_alarm(event_loop.now() + zone_routing::TICK_INTERVAL, Alarm::ZoneRouting);
        }
        let (mut job_failover, mut links) = (None, None);
        if let Some(cluster) = cluster.as_ref().filter(|_| operations.failover.on) {
            let addresses = operations.failover.links.clone();
            let own = addresses.get(settings.ordinal as usize).copied();
            let own = own.ok_or("handover.links: no address for this scheduler's number")?;
            // Shared, as the listener for clients is, with a process that replaces this one.
            let listener = listen(own, true).map_err(|e| format!("handover.links {own}: {e}"))?;
            let mut all = PeerLinks::new(listener, addresses, settings.ordinal as u16);
            event_loop
                .registry()
                .register(all.listener(), Owner::PeerLinkListener.token(), Interest::READABLE)
                .map_err(|e| format!("{watched}: {e}"))?;
            let effects = settings.classes.iter().map(|class| class.effect);
            let classes: Vec<_> = document.class_names().into_iter().zip(effects).collect();
            job_failover =
                Some(JobFailover::new(&operations.failover, cluster.me(), settings.zone, &classes));
            links = Some(all);
            event_loop.set_alarm(event_loop.now(), Alarm::JobFailover);
        }
        let placement_names = PlacementNames { zones: document.zone_names(), kinds: document.kind_names() };
        let idle_limit = document.idle_limit().unwrap_or(IDLE_LIMIT);
        let shared = config.sockets.saturating_sub(RESERVED + operations.callers_most);
        let clients = (CLIENTS_PART * shared as f64) as usize;
        let now = event_loop.now();
        event_loop.set_alarm(now + SWEEP, Alarm::Sweep);
        event_loop.set_alarm(now + REPORT, Alarm::Report);
        let discovery_settings = DiscoverySettings {
            ordinal: settings.ordinal,
            schedulers: settings.dispatchers,
            gossip: peer.is_some(),
            push_mode: !settings.list_on_request,
            max_list_age: settings.ask_within,
            seed: config.seed,
        };
        let admin_address =
            admin.as_mut().and_then(|admin: &mut AdminEndpoint| admin.listener().local_addr().ok());
        let peer_listen = peer.as_ref().and_then(|peer| peer.socket.local_addr().ok());
        info!(log, "serving"; "version" => env!("CARGO_PKG_VERSION"), "discovery" => %config.discovery,
            "peer_listen" => peer_listen.map_or("none".into(), |at| at.to_string()),
            "listen" => %listener.local_addr().unwrap_or(config.listen), "name" => config.name,
            "control" => admin_address.map_or("none".into(), |at| at.to_string()));
        let mut scheduler = Scheduler {
            frontend: Frontend::new(listener, Rules::new(document, &settings), clients),
            backend: Backend::new(shared - clients, settings.connect_timeout, idle_limit),
            discovery: DiscoveryConnections::new(config.discovery),
            longest: settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max),
            core: Core::new(now, settings, config.seed),
            event_loop,
            endpoints: EndpointDirectory::new(now, discovery_settings),
            placement_names,
            peer,
            admin,
            drain: Drain::new(operations.takes_work_for),
            cluster,
            job_failover,
            zones,
            links,
            idle_since: None,
            signals,
            reload,
            discovery_in_file: config.discovery_in_file,
            stopping: None,
            distrust_until: 0.0,
            log,
        };
        // The list as this scheduler had it before it was restarted; maybe out of date.
        if let Some(known) = config.known {
            let names = &scheduler.placement_names;
            let records =
                known.endpoints.into_iter().map(|endpoint| names.endpoint_record(endpoint)).collect();
            scheduler.endpoints.load_cached(now, known.index, records);
        }
        scheduler.endpoints.handle_timeout(now);
        scheduler.core.wake();
        scheduler.settle();
        Ok(scheduler)
    }

    fn on_event(&mut self, owner: Owner) {
        let cx = &mut context!(self);
        match owner {
            Owner::Listener => self.frontend.accept(cx),
            Owner::AdminListener | Owner::AdminClient(_) => {
                let Some(admin) = &mut self.admin else { return };
                let was = cx.drain.closes_idle_connections();
                match owner {
                    Owner::AdminClient(at) => admin.on_ready(at, cx),
                    _ => admin.accept(cx),
                }
                // Kept connections that wait for nothing end as soon as the drain begins.
                if cx.drain.closes_idle_connections() && !was {
                    self.frontend.close_all_idle(cx);
                }
            }
            Owner::Frontend(at) => self.frontend.on_ready(at, cx),
            Owner::Backend(at) => self.backend.on_ready(at, cx),
            Owner::Discovery(at) => self.discovery.on_ready(at, cx),
            Owner::Peer => {
                if let Some(peer) = &mut self.peer {
                    peer_dispatch::dispatch_datagrams(peer, cx);
                    if let Some(cluster) = cx.cluster.as_mut() {
                        cluster.carry_out(peer, cx.log);
                        if let Some(job_failover) = cx.job_failover.as_mut() {
                            job_failover.sync(cluster);
                        }
                    }
                }
            }
            Owner::PeerLinkListener | Owner::PeerLink(_) => {
                let Some(links) = &mut self.links else { return };
                match owner {
                    Owner::PeerLink(at) => links.on_ready(at, cx),
                    _ => links.accept(cx),
                }
            }
            Owner::Signal => {
                let mut bytes = [0; 64];
                while matches!(self.signals.pipe.read(&mut bytes), Ok(count) if count > 0) {}
                if self.signals.reload.swap(false, Ordering::Relaxed) {
                    let before = self.discovery_in_file;
                    match (self.reload)() {
                        // Only what the file says anew counts; what was learned so far all stays.
                        Ok(Config { discovery_in_file: Some(at), .. }) if Some(at) != before => {
                            info!(self.log, "configuration read again"; "discovery" => %at);
                            self.discovery_in_file = Some(at);
                            self.discovery.set_address(at, cx);
                        }
                        Ok(_) => info!(self.log, "configuration read again, discovery stays"),
                        Err(error) => warn!(self.log, "configuration kept"; "error" => error),
                    }
                }
                if self.signals.stop.swap(false, Ordering::Relaxed) && self.stopping.is_none() {
                    info!(self.log, "told to stop"; "owed" => cx.core.owed());
                    let stop = Shutdown::new(cx.now, self.longest);
                    cx.event_loop.set_alarm(stop.serve_until(), Alarm::Shutdown);
                    cx.event_loop.set_alarm(stop.answer_by(), Alarm::AnswerAll);
                    self.stopping = Some(stop);
                    // Whoever is to follow us in what we own need not wait our leases out.
                    if let (Some(cluster), Some(peer)) = (cx.cluster.as_mut(), &self.peer) {
                        cluster.leave(peer, cx.log);
                    }
                }
            }
        }
    }

    fn on_alarm(&mut self, alarm: Alarm) {
        let cx = &mut context!(self);
        match alarm {
            Alarm::Wake => cx.core.wake(),
            Alarm::Dispatch(id) => self.backend.on_dispatch_alarm(id, cx),
            Alarm::Leave(id) => self.backend.take_back(id, cx),
            Alarm::Connect(serial) => self.backend.on_connect_alarm(serial, cx),
            Alarm::Held(serial) => self.backend.on_held_alarm(serial, cx),
            Alarm::Probe(serial) => self.backend.on_probe_alarm(serial, cx),
            Alarm::Discovery => self.discovery.on_alarm(cx),
            Alarm::Accept => self.frontend.accept(cx),
            Alarm::Report => {
                cx.event_loop.set_alarm(cx.now + REPORT, Alarm::Report);
                self.report("so far");
            }
            Alarm::Sweep => {
                self.backend.sweep(cx);
                self.frontend.sweep(cx);
                if let Some(admin) = &mut self.admin {
                    admin.sweep(cx);
                    admin.accept(cx);
                }
                cx.event_loop.set_alarm(cx.now + SWEEP, Alarm::Sweep);
                if cx.closing() || cx.drain.closes_idle_connections() {
                    self.frontend.accept(cx);
                    self.frontend.close_all_idle(cx);
                }
            }
            Alarm::Cluster => {
                if let (Some(cluster), Some(peer)) = (cx.cluster.as_mut(), &self.peer) {
                    let wait = cluster.handle_timeout(peer, cx.log);
                    if let Some(living) = cluster.active_members_changed() {
                        cx.core.living(living);
                    }
                    if let Some(job_failover) = cx.job_failover.as_mut() {
                        job_failover.sync(cluster);
                    }
                    cx.event_loop.set_alarm(cx.now + wait, Alarm::Cluster);
                }
            }
            Alarm::ZoneRouting => {
                if let (Some(zones), Some(cluster), Some(peer)) =
                    (cx.zones.as_mut(), cx.cluster.as_mut(), &self.peer)
                {
                    if let Some(prices) =
                        zones.handle_timeout(cx.now, cluster, peer, cx.core, cx.endpoints, cx.log)
                    {
                        cx.core.zones(prices);
                    }
                    cx.event_loop.set_alarm(cx.now + zone_routing::TICK_INTERVAL, Alarm::ZoneRouting);
                }
            }
            Alarm::JobFailover => {
                if let Some(job_failover) = cx.job_failover.as_mut() {
                    if let Some(cluster) = cx.cluster.as_ref() {
                        job_failover.sync(cluster);
                    }
                    job_failover.handle_timeout();
                }
                if let Some(links) = &mut self.links {
                    links.handle_timeout(cx);
                }
                cx.event_loop.set_alarm(cx.now + FAILOVER_INTERVAL, Alarm::JobFailover);
            }
            // On time, and not at the next sweep: what arrives later than this may meet SIGKILL.
            Alarm::Shutdown => {
                if let Some(given) =
                    cx.job_failover.as_mut().map(JobFailover::transfer_all).filter(|&given| given > 0)
                {
                    info!(cx.log, "failover_jobs_transferred"; "jobs" => given);
                }
                self.frontend.accept(cx);
                self.frontend.close_all_idle(cx);
            }
            Alarm::AnswerAll => cx.core.give_up_all(self.frontend.retry_after()),
        }
    }

    /// Plays events and carries out their orders until all is done for now.
    fn settle(&mut self) {
        loop {
            // Changes of endpoints go first: a job must not be sent by an outdated status.
            if let Some(command) = self.endpoints.poll_command() {
                self.carry_out_discovery(command);
            } else if let Some(order) = self.job_failover.as_mut().and_then(JobFailover::poll_command) {
                self.carry_out_failover(order);
            } else if let Some(order) = self.core.poll_command(self.event_loop.now()) {
                self.carry_out(order);
            } else {
                break;
            }
        }
        let cx = &mut context!(self);
        self.discovery.arm(cx);
        if let Some(links) = &mut self.links {
            links.flush(cx);
        }
    }

    fn carry_out_failover(&mut self, command: FailoverCommand) {
        let cx = &mut context!(self);
        let Some(job_failover) = cx.job_failover.as_mut() else { return };
        match command {
            FailoverCommand::Send { to, message, urgent } => job_failover.send(to, message, urgent),
            FailoverCommand::StartJob { key, payload, deadline, prior_execution, .. } => {
                let arrival = job_failover.decode_job(&key, &payload, deadline);
                self.start_failover_job(key, arrival, prior_execution);
            }
            FailoverCommand::PermitAttempt { key, attempt } => {
                if let Some(attempt) = job_failover.release_attempt(&key, attempt) {
                    let Attempt { id, worker, request, times } = attempt;
                    self.backend.dispatch(id, worker, request, times, cx);
                }
            }
            FailoverCommand::AttemptExpired { key, attempt } => {
                if let Some(id) = job_failover.drop_attempt(&key, attempt) {
                    cx.core.dispatch_ended(id, Outcome::Moot, None);
                }
            }
            FailoverCommand::Revoke { key } => {
                if let Some(job) = job_failover.revoke(&key) {
                    for attempt in job.held_attempts {
                        cx.core.dispatch_ended(attempt, Outcome::Moot, None);
                    }
                    cx.core.client_gone(job.id);
                }
            }
            FailoverCommand::Answer { waiters, outcome } => {
                for waiter in waiters {
                    let client =
                        cx.job_failover.as_mut().and_then(|job_failover| job_failover.take_client(waiter));
                    if let Some(client) = client {
                        let answer = job_failover::answer_of(&outcome);
                        self.frontend.answer_covered(client, waiter, answer, cx);
                    }
                }
            }
            FailoverCommand::Event(event) => job_failover::log_event(cx.log, event),
        }
    }

    /// Hands a job of the failover state machine to the engine.
    fn start_failover_job(&mut self, key: JobKey, arrival: Option<Arrival>, prior: Option<PriorExecution>) {
        let cx = &mut context!(self);
        let Some(job_failover) = cx.job_failover.as_mut() else { return };
        let worker = prior.as_ref().map(|prior| cx.endpoints.find(&prior.worker));
        // What repeats are bound to is not known here: there can be none.
        if worker == Some(None) {
            job_failover.job_not_admitted(&key, JobOutcome::Failed);
            return;
        }
        let prior_attempt = worker.flatten().zip(prior).map(|(worker, prior)| (worker, prior.max_age));
        let arrival = arrival.map(|arrival| job_failover::with_prior_attempt(arrival, prior_attempt));
        match arrival.and_then(|arrival| cx.core.job_arrived(cx.now, arrival)) {
            Some(job) => job_failover.job_admitted(key, job),
            // Its request's id is open here: it may be submitted again.
            None => {
                job_failover.job_not_admitted(&key, JobOutcome::Rejected(Some(ID_IN_USE_RETRY_AFTER_MS)));
            }
        }
    }

    fn carry_out_discovery(&mut self, command: DiscoveryCommand) {
        let cx = &mut context!(self);
        match command {
            DiscoveryCommand::OpenRequest { request, kind, since_revision } => {
                self.discovery.open_request(request, kind, since_revision, cx);
            }
            DiscoveryCommand::CancelRequest { request } => self.discovery.cancel_request(request, cx),
            DiscoveryCommand::SendMessage { to, text } => self.tell(Some(to), &text),
            DiscoveryCommand::UpdateEndpoints { kind, entries } => {
                cx.core.servers(kind, entries.into_iter().map(|update| update.0).collect());
            }
            DiscoveryCommand::Event(event) => discovery::log_event(&self.log, event),
        }
    }

    fn carry_out(&mut self, order: Command) {
        let cx = &mut context!(self);
        match order {
            Command::Answer { client, job, answer } => {
                if !cx
                    .job_failover
                    .as_mut()
                    .is_some_and(|job_failover| job_failover.job_answered(job, &answer))
                {
                    self.frontend.answer(client, job, answer, cx);
                }
            }
            Command::Dispatch { id, worker, request, times } => {
                let attempt = Attempt { id, worker, request, times };
                let permitted = match cx.job_failover {
                    Some(job_failover) => job_failover.submit_attempt(
                        cx.now,
                        attempt,
                        cx.endpoints.name(worker).unwrap_or_default(),
                    ),
                    None => Some(attempt),
                };
                if let Some(Attempt { id, worker, request, times }) = permitted {
                    self.backend.dispatch(id, worker, request, times, cx);
                }
            }
            Command::Ended { id, never_ran } => {
                if let Some(job_failover) = cx.job_failover {
                    job_failover.attempt_ended(id, never_ran);
                }
            }
            Command::Cancel { id } | Command::TakeBack { id }
                if cx.job_failover.as_mut().is_some_and(|job_failover| job_failover.cancel_attempt(id)) =>
            {
                cx.core.dispatch_ended(id, Outcome::Moot, None);
            }
            Command::Cancel { id } => self.backend.cancel(id, Outcome::Cancelled, cx),
            Command::TakeBack { id } => self.backend.take_back(id, cx),
            Command::Wake { after } => cx.event_loop.set_alarm(cx.now + after, Alarm::Wake),
            Command::Watch { on } => cx.endpoints.set_watching(cx.now, on),
            Command::FetchList => cx.endpoints.request_poll(cx.now),
            Command::Probe { worker } => self.backend.probe(worker, cx),
            Command::Tell { to, text } => self.tell(to, &text),
            Command::CloseIdle { worker } => self.backend.close_idle(worker, cx),
            Command::Log(text) => info!(self.log, "{}", text),
        }
    }

    fn tell(&mut self, to: Option<u32>, text: &str) {
        let Some(peer) = &self.peer else { return };
        match &mut self.cluster {
            Some(cluster) if to.is_none() && brackenledge_policy::is_sums(text) => {
                cluster.broadcast_aggregated_loads(peer, text)
            }
            _ => peer.send_text(to, text),
        }
    }

    /// One line on what was done since the start.
    fn report(&self, what: &'static str) {
        let counts = self.core.counts();
        let discovery = self.endpoints.counts();
        info!(self.log, "{}", what; "peers_first" => discovery.first_reported_by_peer, "told" => discovery.messages_sent,
            "calls_doubled" => discovery.second_watches, "calls_failed" => discovery.failed_requests, "calls" => discovery.requests,
            "servers" => self.endpoints.len(), "list" => self.endpoints.revision().unwrap_or(0), "owed" => self.core.owed(), "gone" => counts.gone,
            "failed" => counts.failed, "denied" => counts.denied, "served" => counts.served);
    }

    /// Whether the program may end: told to, long enough ago, and nothing is owed.
    fn finished(&mut self) -> bool {
        let Some(stop) = self.stopping else { return false };
        if !stop.is_closing_connections(self.event_loop.now()) || self.core.owed() > 0 || self.frontend.busy()
        {
            return false;
        }
        // What waits at the listener has been taken by this machine: answer it first.
        let cx = &mut context!(self);
        self.frontend.accept(cx);
        self.frontend.close_all_idle(cx);
        self.settle();
        if self.core.owed() > 0 || self.frontend.busy() {
            return false;
        }
        // What others must know of what we held goes out before we do.
        let now = self.event_loop.now();
        let idle_since = *self.idle_since.get_or_insert(now);
        let said = self.job_failover.as_mut().is_none_or(|job_failover| job_failover.flush())
            && self.links.as_ref().is_none_or(PeerLinks::is_flushed);
        if !said && now < idle_since + LAST_WORDS {
            return false;
        }
        if let (Some(cluster), Some(peer)) = (&mut self.cluster, &self.peer) {
            cluster.release_member_lease(peer, &self.log);
        }
        true
    }
}
