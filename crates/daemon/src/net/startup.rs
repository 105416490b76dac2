//! Startup of a scheduler: opens its sockets, sets the first alarms and loads the cached endpoint list.

use super::admin_endpoint::AdminEndpoint;
use super::backend::Backend;
use super::cluster::Cluster;
use super::discovery::{DiscoveryConnections, PlacementNames};
use super::event_loop::{Alarm, EventLoop, Millis, Owner};
use super::events::{COUNTERS_INTERVAL, SWEEP_INTERVAL};
use super::frontend::{AdmissionRules, Frontend};
use super::job_failover::JobFailover;
use super::listener::{Sharing, listen};
use super::peer_links::PeerLinks;
use super::peer_socket::PeerSocket;
use super::scheduler::Scheduler;
use super::signals::{Reload, Signals};
use super::start_error::{BoundSocket, StartError};
use super::zone_routing::{self, ZoneRouting};
use brackenledge_discovery::{DiscoverySettings, EndpointDirectory};
use brackenledge_engine::Engine;
use brackenledge_engine::drain::Drain;
use brackenledge_policy::Settings;
use brackenledge_protocol::config::{Config, DEFAULT_IDLE_TIMEOUT, EndpointList, PeerConfig};
use brackenledge_protocol::operations::Operations;
use mio::event::Source;
use mio::net::TcpListener;
use slog::{Logger, info};
use std::net::SocketAddr;

/// Descriptors reserved for the poll, the listeners, discovery, peers, the log and signals. Those for admin
/// clients are reserved in addition.
const RESERVED_DESCRIPTORS: usize = 32;
/// Fraction of the other descriptors for client connections. A third would suffice for the requests of
/// clients; with more, silent connections evict one another only after a normal client has had time to send
/// its request.
const CLIENT_FRACTION: f64 = 0.55;

/// Maximum numbers of connections that are open at once.
struct ConnectionLimits {
    clients: usize,
    workers: usize,
}

impl ConnectionLimits {
    /// Divides the process's descriptors between client and worker connections, after the reserved ones.
    fn new(descriptors: usize, admin_clients: usize) -> Self {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS + admin_clients);
        let clients = (CLIENT_FRACTION * available as f64) as usize;
        ConnectionLimits { clients, workers: available - clients }
    }
}

/// The components of a scheduler that do not depend on other schedulers.
struct LocalParts {
    listener: TcpListener,
    signals: Signals,
    admin: Option<AdminEndpoint>,
}

/// The components of a scheduler that communicate with other schedulers. Each is `None` if it is off.
struct ClusterParts {
    peer: Option<PeerSocket>,
    cluster: Option<Cluster>,
    zones: Option<ZoneRouting>,
    failover: Option<FailoverParts>,
}

/// The state machine of failover, and the links over which it sends.
struct FailoverParts {
    job_failover: JobFailover,
    links: PeerLinks,
}

impl<'a> Scheduler<'a> {
    /// Opens all sockets, builds the scheduler and executes the first commands.
    pub(super) fn start(
        mut config: Config,
        operations: Operations,
        reload: Reload<'a>,
        log: Logger,
    ) -> Result<Self, StartError> {
        let settings = Settings::from(&config.settings);
        let mut event_loop = EventLoop::new().map_err(StartError::Poll)?;
        let LocalParts { listener, signals, mut admin } =
            open_local_parts(&config, &operations, &event_loop)?;
        let peer_config = config.peer.take();
        let parts = open_cluster_parts(peer_config, &config, &operations, &settings, &mut event_loop)?;
        let now = event_loop.now();
        event_loop.set_alarm(now + SWEEP_INTERVAL, Alarm::Sweep);
        event_loop.set_alarm(now + COUNTERS_INTERVAL, Alarm::Counters);
        log_serving(&log, &config, &listener, admin.as_mut(), parts.peer.as_ref());

        let document = &config.settings;
        let limits = ConnectionLimits::new(config.sockets, operations.control.max_clients);
        let discovery_settings = discovery_settings(&settings, parts.peer.is_some(), config.seed);
        let idle_limit = document.idle_timeout().unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let (job_failover, peer_links) =
            parts.failover.map(|failover| (failover.job_failover, failover.links)).unzip();
        let mut scheduler = Scheduler {
            frontend: Frontend::new(listener, AdmissionRules::new(document, &settings), limits.clients),
            backend: Backend::new(limits.workers, settings.connect_timeout, idle_limit),
            discovery: DiscoveryConnections::new(config.discovery),
            max_deadline: settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max),
            engine: Engine::new(now, settings, config.seed),
            event_loop,
            endpoints: EndpointDirectory::new(now, discovery_settings),
            placement_names: PlacementNames { zones: document.zone_names(), kinds: document.kind_names() },
            peer: parts.peer,
            admin,
            drain: Drain::new(operations.drain.admission_grace),
            cluster: parts.cluster,
            job_failover,
            zones: parts.zones,
            peer_links,
            idle_since: None,
            signals,
            reload,
            configured_discovery: config.discovery_in_file,
            shutdown: None,
            reuse_suspended_until: 0.0,
            log,
        };
        scheduler.run_first_commands(now, config.cached_endpoints);
        Ok(scheduler)
    }

    /// Loads the cached endpoint list and executes the first commands of the state machines. `cached`: the
    /// endpoint list that this scheduler had before a restart; it may be out of date.
    fn run_first_commands(&mut self, now: Millis, cached: Option<EndpointList>) {
        if let Some(list) = cached {
            let names = &self.placement_names;
            let records =
                list.endpoints.into_iter().map(|endpoint| names.endpoint_record(endpoint)).collect();
            self.endpoints.load_cached(now, list.index, records);
        }
        self.endpoints.handle_timeout(now);
        self.engine.handle_timeout();
        self.execute_commands();
    }
}

/// Opens the listener for clients and the admin endpoint, and installs the signal handlers.
fn open_local_parts(
    config: &Config,
    operations: &Operations,
    event_loop: &EventLoop,
) -> Result<LocalParts, StartError> {
    let mut listener = bind_listener(BoundSocket::Clients, config.listen, Sharing::Shared)?;
    let mut signals = Signals::install().map_err(StartError::Signals)?;
    register_readable(event_loop, &mut signals.pipe, Owner::Signal)?;
    register_readable(event_loop, &mut listener, Owner::Listener)?;
    let admin = open_admin_endpoint(config, operations, event_loop)?;
    Ok(LocalParts { listener, signals, admin })
}

fn bind_listener(
    socket: BoundSocket,
    address: SocketAddr,
    sharing: Sharing,
) -> Result<TcpListener, StartError> {
    listen(address, sharing).map_err(|source| StartError::Bind { socket, address, source })
}

fn register_readable(
    event_loop: &EventLoop,
    source: &mut impl Source,
    owner: Owner,
) -> Result<(), StartError> {
    event_loop.register_readable(source, owner).map_err(StartError::Register)
}

fn open_admin_endpoint(
    config: &Config,
    operations: &Operations,
    event_loop: &EventLoop,
) -> Result<Option<AdminEndpoint>, StartError> {
    let Some(address) = config.control else { return Ok(None) };
    let mut admin = AdminEndpoint::new(
        bind_listener(BoundSocket::AdminEndpoint, address, Sharing::Exclusive)?,
        config.settings.class_names(),
        operations.control.max_clients,
        operations.control.line_timeout,
    );
    register_readable(event_loop, admin.listener(), Owner::AdminListener)?;
    Ok(Some(admin))
}

/// Opens the sockets for other schedulers and starts the components that use them, each after those that it
/// depends on.
fn open_cluster_parts(
    peer_config: Option<PeerConfig>,
    config: &Config,
    operations: &Operations,
    settings: &Settings,
    event_loop: &mut EventLoop,
) -> Result<ClusterParts, StartError> {
    let peer = open_peer_socket(peer_config, settings, event_loop)?;
    let cluster = join_cluster(peer.as_ref(), config.seed, operations, settings, event_loop)?;
    let Some(joined) = &cluster else {
        return Ok(ClusterParts { peer, cluster, zones: None, failover: None });
    };
    let zones = start_zone_routing(config, operations, settings, event_loop);
    let failover = start_failover(joined, config, operations, settings, event_loop)?;
    Ok(ClusterParts { peer, cluster, zones, failover })
}

/// Returns this scheduler's ordinal in the 16 bits that messages between schedulers use for it. A larger
/// ordinal in the settings becomes `u16::MAX`, which belongs to no scheduler, since the list of addresses has
/// none for it.
fn local_ordinal(settings: &Settings) -> u16 {
    u16::try_from(settings.ordinal).unwrap_or(u16::MAX)
}

/// Binds the socket for datagrams between schedulers; `None` if the settings do not allow them or the
/// configuration has no address for it.
fn open_peer_socket(
    config: Option<PeerConfig>,
    settings: &Settings,
    event_loop: &EventLoop,
) -> Result<Option<PeerSocket>, StartError> {
    let Some(config) = config.filter(|_| settings.peer_messages) else { return Ok(None) };
    let address = config.listen;
    let mut peer = PeerSocket::bind(config, local_ordinal(settings)).map_err(|source| StartError::Bind {
        socket: BoundSocket::Peer,
        address,
        source,
    })?;
    register_readable(event_loop, &mut peer.socket, Owner::Peer)?;
    Ok(Some(peer))
}

/// Starts membership and leases; `None` if the operators' file does not enable them or there is no other
/// scheduler.
fn join_cluster(
    peer: Option<&PeerSocket>,
    seed: u64,
    operations: &Operations,
    settings: &Settings,
    event_loop: &mut EventLoop,
) -> Result<Option<Cluster>, StartError> {
    let Some(peer) = peer.filter(|peer| operations.cluster.enabled && peer.cluster_size() > 1) else {
        return Ok(None);
    };
    let cluster = Cluster::new(local_ordinal(settings), peer.cluster_size(), operations, seed)?;
    event_loop.set_alarm(event_loop.now(), Alarm::Cluster);
    Ok(Some(cluster))
}

fn start_zone_routing(
    config: &Config,
    operations: &Operations,
    settings: &Settings,
    event_loop: &mut EventLoop,
) -> Option<ZoneRouting> {
    if !operations.zones.enabled {
        return None;
    }
    let zones = ZoneRouting::new(&operations.zones, config.settings.zone_names(), settings);
    event_loop.set_alarm(event_loop.now() + zone_routing::TICK_INTERVAL, Alarm::ZoneRouting);
    Some(zones)
}

/// Opens the listener for links and starts failover; `None` if the operators' file does not enable it.
fn start_failover(
    cluster: &Cluster,
    config: &Config,
    operations: &Operations,
    settings: &Settings,
    event_loop: &mut EventLoop,
) -> Result<Option<FailoverParts>, StartError> {
    if !operations.failover.enabled {
        return Ok(None);
    }
    let addresses = operations.failover.links.clone();
    let ordinal = local_ordinal(settings);
    let own_address = addresses.get(usize::from(ordinal)).copied().ok_or(StartError::NoLinkAddress)?;
    let listener = bind_listener(BoundSocket::PeerLinks, own_address, Sharing::Shared)?;
    let mut links = PeerLinks::new(listener, addresses, ordinal);
    register_readable(event_loop, links.listener(), Owner::PeerLinkListener)?;
    let effects = settings.classes.iter().map(|class| class.effect);
    let classes: Vec<_> = config.settings.class_names().into_iter().zip(effects).collect();
    let job_failover = JobFailover::new(&operations.failover, cluster.me(), settings.zone, &classes);
    event_loop.set_alarm(event_loop.now(), Alarm::JobFailover);
    Ok(Some(FailoverParts { job_failover, links }))
}

fn discovery_settings(settings: &Settings, has_peer_socket: bool, seed: u64) -> DiscoverySettings {
    DiscoverySettings {
        ordinal: local_ordinal(settings),
        schedulers: u16::try_from(settings.schedulers).unwrap_or(u16::MAX),
        gossip: has_peer_socket,
        push_mode: !settings.list_on_request,
        max_list_age: settings.max_poll_interval,
        seed,
    }
}

/// Logs the addresses that were bound. For port 0 in the configuration, the system has chosen a free port.
fn log_serving(
    log: &Logger,
    config: &Config,
    listener: &TcpListener,
    admin: Option<&mut AdminEndpoint>,
    peer: Option<&PeerSocket>,
) {
    let or_none = |address: Option<SocketAddr>| address.map_or("none".into(), |address| address.to_string());
    let admin_address = admin.and_then(|admin| admin.listener().local_addr().ok());
    let peer_address = peer.and_then(|peer| peer.socket.local_addr().ok());
    info!(log, "serving";
        "version" => env!("CARGO_PKG_VERSION"),
        "discovery" => %config.discovery,
        "peer_listen" => or_none(peer_address),
        "listen" => %listener.local_addr().unwrap_or(config.listen),
        "name" => &config.name,
        "control" => or_none(admin_address));
}
