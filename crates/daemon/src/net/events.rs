//! Dispatches socket events and alarms to the components that handle them.

use super::event_loop::{Alarm, Millis, Owner};
use super::job_failover::JobFailover;
use super::peer_dispatch;
use super::scheduler::{Scheduler, context};
use super::zone_routing;
use slog::info;

/// Interval at which all connections are checked for timeouts.
pub(super) const SWEEP_INTERVAL: Millis = 250.0;
/// Interval at which the counters are logged.
pub(super) const COUNTERS_INTERVAL: Millis = 30_000.0;
/// Interval at which failover's timeouts and the links to other schedulers are handled.
const FAILOVER_INTERVAL: Millis = 20.0;

impl Scheduler<'_> {
    /// Handles a readiness event, or a requeued owner that has more to read than its last call allowed.
    pub(super) fn on_event(&mut self, owner: Owner) {
        let cx = &mut context!(self);
        match owner {
            Owner::Listener => self.frontend.accept(cx),
            Owner::Frontend(slot) => self.frontend.on_ready(slot, cx),
            Owner::Backend(slot) => self.backend.on_ready(slot, cx),
            Owner::Discovery(slot) => self.discovery.on_ready(slot, cx),
            Owner::AdminListener | Owner::AdminClient(_) => self.on_admin_event(owner),
            Owner::Peer => self.on_peer_datagrams(),
            Owner::PeerLinkListener | Owner::PeerLink(_) => self.on_peer_link_event(owner),
            Owner::Signal => self.on_signal(),
        }
    }

    fn on_admin_event(&mut self, owner: Owner) {
        let cx = &mut context!(self);
        let Some(admin) = &mut self.admin else { return };
        let closed_idle_connections = cx.drain.closes_idle_connections();
        match owner {
            Owner::AdminClient(slot) => admin.on_ready(slot, cx),
            _ => admin.accept(cx),
        }
        // Idle connections are closed as soon as a drain begins, without waiting for the next sweep.
        if cx.drain.closes_idle_connections() && !closed_idle_connections {
            self.frontend.close_all_idle(cx);
        }
    }

    fn on_peer_datagrams(&mut self) {
        let cx = &mut context!(self);
        let Some(peer) = &mut self.peer else { return };
        peer_dispatch::dispatch_datagrams(peer, cx);
        let Some(cluster) = cx.cluster.as_mut() else { return };
        cluster.execute_commands(peer, cx.log);
        if let Some(job_failover) = cx.job_failover.as_mut() {
            job_failover.sync(cluster);
        }
    }

    fn on_peer_link_event(&mut self, owner: Owner) {
        let cx = &mut context!(self);
        let Some(links) = &mut self.peer_links else { return };
        match owner {
            Owner::PeerLink(slot) => links.on_ready(slot, cx),
            _ => links.accept(cx),
        }
    }

    /// Handles an alarm that is due.
    pub(super) fn on_alarm(&mut self, alarm: Alarm) {
        let cx = &mut context!(self);
        match alarm {
            Alarm::EngineTimer => cx.engine.handle_timeout(),
            Alarm::ResponseDeadline(id) => self.backend.on_response_deadline(id, cx),
            Alarm::WriteDeadline(id) => self.backend.cancel_unsent(id, cx),
            Alarm::Connect(serial) => self.backend.on_connect_alarm(serial, cx),
            Alarm::LastByte(serial) => self.backend.on_last_byte_alarm(serial, cx),
            Alarm::HealthCheck(serial) => self.backend.on_health_check_alarm(serial, cx),
            Alarm::Discovery => self.discovery.on_alarm(cx),
            Alarm::Accept => self.frontend.accept(cx),
            Alarm::Counters => {
                cx.event_loop.set_alarm(cx.now + COUNTERS_INTERVAL, Alarm::Counters);
                self.log_counters("counters");
            }
            Alarm::Sweep => self.sweep_connections(),
            Alarm::Cluster => self.on_cluster_alarm(),
            Alarm::ZoneRouting => self.on_zone_routing_alarm(),
            Alarm::JobFailover => self.on_job_failover_alarm(),
            Alarm::Shutdown => self.on_shutdown_alarm(),
            Alarm::FailPendingJobs => cx.engine.fail_pending(self.frontend.retry_after()),
        }
    }

    fn sweep_connections(&mut self) {
        let cx = &mut context!(self);
        self.backend.sweep(cx);
        self.frontend.sweep(cx);
        if let Some(admin) = &mut self.admin {
            admin.sweep(cx);
            admin.accept(cx);
        }
        cx.event_loop.set_alarm(cx.now + SWEEP_INTERVAL, Alarm::Sweep);
        if cx.is_closing_connections() || cx.drain.closes_idle_connections() {
            self.frontend.accept(cx);
            self.frontend.close_all_idle(cx);
        }
    }

    fn on_cluster_alarm(&mut self) {
        let cx = &mut context!(self);
        let (Some(cluster), Some(peer)) = (cx.cluster.as_mut(), &self.peer) else { return };
        let wait = cluster.handle_timeout(peer, cx.log);
        if let Some(active_members) = cluster.take_active_member_change() {
            cx.engine.set_active_schedulers(active_members);
        }
        if let Some(job_failover) = cx.job_failover.as_mut() {
            job_failover.sync(cluster);
        }
        cx.event_loop.set_alarm(cx.now + wait, Alarm::Cluster);
    }

    fn on_zone_routing_alarm(&mut self) {
        let cx = &mut context!(self);
        let (Some(zones), Some(cluster), Some(peer)) = (cx.zones.as_mut(), cx.cluster.as_mut(), &self.peer)
        else {
            return;
        };
        let route_costs = zones.handle_timeout(cx.now, cluster, peer, cx.engine, cx.endpoints, cx.log);
        if let Some(route_costs) = route_costs {
            cx.engine.set_zone_costs(route_costs);
        }
        cx.event_loop.set_alarm(cx.now + zone_routing::TICK_INTERVAL, Alarm::ZoneRouting);
    }

    fn on_job_failover_alarm(&mut self) {
        let cx = &mut context!(self);
        if let Some(job_failover) = cx.job_failover.as_mut() {
            if let Some(cluster) = cx.cluster.as_ref() {
                job_failover.sync(cluster);
            }
            job_failover.handle_timeout();
        }
        if let Some(links) = &mut self.peer_links {
            links.handle_timeout(cx);
        }
        cx.event_loop.set_alarm(cx.now + FAILOVER_INTERVAL, Alarm::JobFailover);
    }

    /// Transfers unsent jobs and closes idle connections. This can't wait for the next sweep: a request
    /// received later might be cut off by SIGKILL.
    fn on_shutdown_alarm(&mut self) {
        let cx = &mut context!(self);
        let transferred = cx.job_failover.as_mut().map_or(0, JobFailover::transfer_all);
        if transferred > 0 {
            info!(cx.log, "failover_jobs_transferred"; "jobs" => transferred);
        }
        self.frontend.accept(cx);
        self.frontend.close_all_idle(cx);
    }
}
