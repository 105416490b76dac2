//! The front proxy's health checks: an HTTP request to each scheduler at a fixed interval.

use super::connection::{Connection, ConnectionEnds, StandInKind};
use super::context::Context;
use super::stand_in::StandIn;
use super::timers::Timer;
use crate::scenario::Node;
use crate::stand_ins::front_proxy::Health;
use crate::stand_ins::http;
use crate::{ConnectionId, Millis};
use mio::net::TcpStream;
use std::collections::BTreeMap;

/// Interval between the health checks of a scheduler.
pub const HEALTH_CHECK_INTERVAL: Millis = 150.0;
/// A check without a response after this time counts as unanswered.
const HEALTH_CHECK_TIMEOUT: Millis = 1_000.0;
/// HTTP status of a scheduler that accepts clients.
const STATUS_OK: u16 = 200;

/// The health checks that wait for a response.
#[derive(Default)]
pub struct HealthChecks {
    /// The scheduler of each check, by connection; at most one check per scheduler.
    pending: BTreeMap<ConnectionId, usize>,
}

impl HealthChecks {
    /// Starts a check of each scheduler, and schedules the next round.
    pub fn check_all(&mut self, context: &mut Context) {
        for scheduler in 0..context.scenario.schedulers {
            self.check(context, scheduler);
        }
        context.runtime.schedule_after(HEALTH_CHECK_INTERVAL, Timer::HealthChecks);
    }

    fn check(&mut self, context: &mut Context, scheduler: usize) {
        let is_starting = !context.supervisor.is_serving(scheduler) && !context.runtime.clock.has_traffic();
        let is_pending = self.pending.values().any(|&pending| pending == scheduler);
        if is_starting || is_pending {
            return;
        }
        let remote_node = Node::Clients(context.scenario.zone_of(scheduler));
        let is_blackholed = context.network.is_blackholed(remote_node, Node::Scheduler(scheduler));
        let stream = TcpStream::connect(context.supervisor.addresses(scheduler).clients);
        let Some(stream) = stream.ok().filter(|_| !is_blackholed) else {
            return report_health(context, scheduler, Health::NoAnswer);
        };
        let ends = ConnectionEnds { scheduler, remote_node, stand_in_kind: StandInKind::HealthCheck };
        let Some(id) = context.network.add(&mut context.runtime, stream, ends, true) else { return };
        self.pending.insert(id, scheduler);
        context.runtime.schedule_after(HEALTH_CHECK_TIMEOUT, Timer::HealthCheckTimeout(id));
        context.send(id, http::HEALTH_CHECK);
    }

    /// Reports a check as unanswered if it is still pending.
    pub fn handle_timeout(&mut self, context: &mut Context, id: ConnectionId) {
        if let Some(scheduler) = self.pending.remove(&id) {
            context.network.remove(&mut context.runtime, id);
            report_health(context, scheduler, Health::NoAnswer);
        }
    }
}

fn report_health(context: &mut Context, scheduler: usize, health: Health) {
    let now = context.runtime.clock.now();
    context.front_proxy.handle_health(now, scheduler, health);
}

impl StandIn for HealthChecks {
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = context.network.get_mut(id) else { return };
        let Some(response) = http::take_response(&mut connection.input) else { return };
        let health = if response.status == STATUS_OK { Health::Up } else { Health::Down };
        context.network.remove(&mut context.runtime, id);
        if let Some(scheduler) = self.pending.remove(&id) {
            report_health(context, scheduler, health);
        }
    }

    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, _connection: Connection) {
        if let Some(scheduler) = self.pending.remove(&id) {
            report_health(context, scheduler, Health::NoAnswer);
        }
    }
}
