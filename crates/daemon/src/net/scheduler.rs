//! The components of a scheduler, and the context through which callbacks access them.

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

/// Time, in milliseconds, for sending the last messages to other schedulers before the exit. It allows for
/// several round trips.
const FINAL_FLUSH_TIMEOUT: Millis = 300.0;

/// The parts of the scheduler that the callbacks of its connections may use.
pub struct Context<'a> {
    /// The time at which the context was created.
    pub(super) now: Millis,
    pub(super) engine: &'a mut Engine,
    pub(super) endpoints: &'a mut EndpointDirectory,
    pub(super) placement_names: &'a PlacementNames,
    pub(super) event_loop: &'a mut EventLoop,
    pub(super) log: &'a Logger,
    /// Until this time idle worker connections are not reused, because a reused one was reset before its
    /// response began.
    pub(super) reuse_suspended_until: &'a mut Millis,
    /// The graceful shutdown, once SIGTERM or SIGINT has been received.
    pub(super) shutdown: Option<Shutdown>,
    /// Whether the operators have taken this scheduler out of rotation.
    pub(super) drain: &'a mut Drain,
    /// Membership and leases; `None` if the cluster is off.
    pub(super) cluster: &'a mut Option<Cluster>,
    /// Jobs that other schedulers take over if this one is lost; `None` if failover is off.
    pub(super) job_failover: &'a mut Option<JobFailover>,
    /// Costs of the routes between zones; `None` if zone routing is off.
    pub(super) zones: &'a mut Option<ZoneRouting>,
}

impl Context<'_> {
    /// Number of jobs whose clients wait for a response from this scheduler.
    pub(super) fn pending_jobs(&self) -> usize {
        self.engine.pending_jobs() + self.job_failover.as_ref().map_or(0, JobFailover::waiting_clients)
    }

    /// Whether the graceful shutdown is in the phase in which each connection closes after its response.
    pub(super) fn is_closing_connections(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_closing_connections(self.now))
    }

    /// Maximum time, in milliseconds, that a shutdown allows a job arriving now; infinite without a
    /// shutdown.
    pub(super) fn time_left(&self) -> Millis {
        self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.time_left(self.now))
    }
}

/// A scheduler: its state machines, connections and event loop.
///
/// Invariant: after each event or alarm, `execute_commands` executes all commands of the state machines
/// before the next one is handled.
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
    /// During a graceful shutdown, when it was first found that no work is pending; `None` before.
    pub(super) idle_since: Option<Millis>,
    pub(super) signals: Signals,
    /// Reads the configuration again, on SIGHUP.
    pub(super) reload: Reload<'a>,
    /// The address of discovery that the configuration file last stated; `None` if it has stated none.
    pub(super) configured_discovery: Option<SocketAddr>,
    /// The longest deadline of all classes, in milliseconds.
    pub(super) max_deadline: Millis,
    /// The graceful shutdown, once SIGTERM or SIGINT has been received.
    pub(super) shutdown: Option<Shutdown>,
    /// Until this time idle worker connections are not reused, because a reused one was reset before its
    /// response began.
    pub(super) reuse_suspended_until: Millis,
    pub(super) log: Logger,
}

/// Creates the `Context` of a scheduler. It is a macro so that only the fields in the context are borrowed,
/// and methods of the other fields, such as the frontend, can be called with it.
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
    /// Completes the graceful shutdown if no job is pending, no connection waits to be accepted, and the last
    /// messages to other schedulers have been sent or [`FINAL_FLUSH_TIMEOUT`] has passed. Returns whether the
    /// process may exit.
    pub(super) fn try_finish(&mut self) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        if !shutdown.is_closing_connections(self.event_loop.now()) || self.has_pending_work() {
            return false;
        }
        // Connections in the listener's backlog are already established for their clients: they are answered
        // before the exit.
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

    /// Whether all messages about this scheduler's jobs have been sent to the other schedulers.
    fn peers_informed(&mut self) -> bool {
        self.job_failover.as_mut().is_none_or(JobFailover::flush)
            && self.peer_links.as_ref().is_none_or(PeerLinks::is_flushed)
    }
}
