//! The parts of a scheduler, and what its connections and alarms may reach of them.

use super::admin_endpoint::AdminEndpoint;
use super::backend::Backend;
use super::cluster::Cluster;
use super::discovery::{DiscoveryConnections, PlacementNames};
use super::event_loop::{EventLoop, Millis};
use super::frontend::Frontend;
use super::job_failover::JobFailover;
use super::peer_links::PeerLinks;
use super::peer_socket::PeerSocket;
use super::signals::{Reload, Signals};
use super::zone_routing::ZoneRouting;
use brackenledge_discovery::EndpointDirectory;
use brackenledge_engine::Engine;
use brackenledge_engine::drain::Drain;
use brackenledge_engine::shutdown::Shutdown;
use slog::Logger;
use std::net::SocketAddr;

/// How long the last messages to other schedulers may take at the end, in milliseconds: several round trips.
const FINAL_FLUSH_TIMEOUT: Millis = 300.0;

/// What a callback of a connection may reach of the scheduler.
pub struct Context<'a> {
    pub(super) now: Millis,
    pub(super) engine: &'a mut Engine,
    pub(super) endpoints: &'a mut EndpointDirectory,
    pub(super) placement_names: &'a PlacementNames,
    pub(super) event_loop: &'a mut EventLoop,
    pub(super) log: &'a Logger,
    /// Until when pooled connections are not trusted.
    pub(super) reuse_suspended_until: &'a mut Millis,
    /// The graceful shutdown, once SIGTERM has come.
    pub(super) shutdown: Option<Shutdown>,
    /// Whether the operators have taken this scheduler out of rotation.
    pub(super) drain: &'a mut Drain,
    /// Membership and leases, where the cluster is on.
    pub(super) cluster: &'a mut Option<Cluster>,
    /// Jobs that other schedulers take over if this one is lost, where failover is on.
    pub(super) job_failover: &'a mut Option<JobFailover>,
    /// The costs of routes between zones, where zone routing is on.
    pub(super) zones: &'a mut Option<ZoneRouting>,
}

impl Context<'_> {
    /// Jobs that clients wait for here.
    pub(super) fn pending_jobs(&self) -> usize {
        self.engine.pending_jobs() + self.job_failover.as_ref().map_or(0, JobFailover::waiting_clients)
    }

    /// Whether the graceful shutdown is so far that each connection closes with its answer.
    pub(super) fn is_closing_connections(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_closing_connections(self.now))
    }

    /// The time, in milliseconds, that a job arriving now may take.
    pub(super) fn time_left(&self) -> Millis {
        self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.time_left(self.now))
    }
}

/// One scheduler: its state machines, its connections and its event loop.
///
/// Invariant: after each event and alarm, `execute_commands` has executed all commands of the state machines.
pub(super) struct Scheduler<'a> {
    pub(super) event_loop: EventLoop,
    pub(super) engine: Engine,
    pub(super) endpoints: EndpointDirectory,
    pub(super) placement_names: PlacementNames,
    pub(super) frontend: Frontend,
    pub(super) backend: Backend,
    pub(super) discovery: DiscoveryConnections,
    pub(super) peer: Option<PeerSocket>,
    pub(super) admin: Option<AdminEndpoint>,
    pub(super) drain: Drain,
    pub(super) cluster: Option<Cluster>,
    pub(super) job_failover: Option<JobFailover>,
    pub(super) zones: Option<ZoneRouting>,
    pub(super) peer_links: Option<PeerLinks>,
    /// When no job was pending any more, after SIGTERM.
    pub(super) idle_since: Option<Millis>,
    pub(super) signals: Signals,
    /// Reads the configuration again.
    pub(super) reload: Reload<'a>,
    /// Discovery's address as the configuration file had it last.
    pub(super) configured_discovery: Option<SocketAddr>,
    /// The longest deadline of a class, in milliseconds.
    pub(super) max_deadline: Millis,
    /// The graceful shutdown, once SIGTERM has come.
    pub(super) shutdown: Option<Shutdown>,
    /// Until when pooled connections are not trusted.
    pub(super) reuse_suspended_until: Millis,
    pub(super) log: Logger,
}

/// The `Context` of a scheduler. A macro, so that only the fields in it are borrowed and the connections beside them
/// can be called with it.
macro_rules! context {
    ($scheduler:ident) => {
        $crate::net::scheduler::Context {
            now: $scheduler.event_loop.now(),
            engine: &mut $scheduler.engine,
            endpoints: &mut $scheduler.endpoints,
            placement_names: &$scheduler.placement_names,
            event_loop: &mut $scheduler.event_loop,
            log: &$scheduler.log,
            reuse_suspended_until: &mut $scheduler.reuse_suspended_until,
            shutdown: $scheduler.shutdown,
            drain: &mut $scheduler.drain,
            cluster: &mut $scheduler.cluster,
            job_failover: &mut $scheduler.job_failover,
            zones: &mut $scheduler.zones,
        }
    };
}
pub(super) use context;

impl Scheduler<'_> {
    /// Ends the graceful shutdown if no job is pending, no connection waits to be accepted, and the last messages to other
    /// schedulers are sent or their time is over. Returns whether the program may exit.
    pub(super) fn try_finish(&mut self) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        if !shutdown.is_closing_connections(self.event_loop.now()) || self.has_pending_work() {
            return false;
        }
        // The kernel has accepted the connections that wait at the listener: they are answered first.
        let cx = &mut context!(self);
        self.frontend.accept(cx);
        self.frontend.close_all_idle(cx);
        self.execute_commands();
        if self.has_pending_work() {
            return false;
        }
        let now = self.event_loop.now();
        let idle_since = *self.idle_since.get_or_insert(now);
        if !self.peers_informed() && now < idle_since + FINAL_FLUSH_TIMEOUT {
            return false;
        }
        if let (Some(cluster), Some(peer)) = (&mut self.cluster, &self.peer) {
            cluster.release_member_lease(peer, &self.log);
        }
        true
    }

    fn has_pending_work(&self) -> bool {
        self.engine.pending_jobs() > 0 || self.frontend.has_unfinished_clients()
    }

    /// Whether all that other schedulers need to know of this one's jobs has been sent.
    fn peers_informed(&mut self) -> bool {
        self.job_failover.as_mut().is_none_or(JobFailover::flush)
            && self.peer_links.as_ref().is_none_or(PeerLinks::is_flushed)
    }
}
