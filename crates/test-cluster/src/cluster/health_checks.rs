//! The front proxy's health checks of the schedulers.

use super::connection::{Connection, Ends, FarEnd};
use super::context::Context;
use super::stand_in::StandIn;
use super::timers::Timer;
use crate::scenario::Node;
use crate::stand_ins::front_proxy::Health;
use crate::stand_ins::http;
use crate::{ConnectionId, Millis};
use mio::net::TcpStream;
use std::collections::BTreeMap;

/// How often each scheduler is checked.
pub const HEALTH_CHECK_INTERVAL: Millis = 150.0;
/// A check without a response for so long has got none.
const HEALTH_CHECK_TIMEOUT: Millis = 1_000.0;
/// The status of a scheduler that takes clients.
const STATUS_OK: u16 = 200;

/// The checks that wait for a response.
#[derive(Default)]
pub struct HealthChecks {
    /// With their schedulers.
    pending: BTreeMap<ConnectionId, usize>,
}

impl HealthChecks {
    /// Checks all schedulers, and schedules the next checks.
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
        let far = Node::Clients(context.scenario.zone_of(scheduler));
        let is_cut = context.network.is_cut(far, Node::Scheduler(scheduler));
        let stream = TcpStream::connect(context.supervisor.addresses(scheduler).clients);
        let Some(stream) = stream.ok().filter(|_| !is_cut) else {
            return report(context, scheduler, Health::NoAnswer);
        };
        let ends = Ends { scheduler, far, far_end: FarEnd::HealthCheck };
        let Some(id) = context.network.add(&mut context.runtime, stream, ends, true) else { return };
        self.pending.insert(id, scheduler);
        context.runtime.schedule_after(HEALTH_CHECK_TIMEOUT, Timer::HealthCheckTimeout(id));
        context.send(id, http::HEALTH_CHECK);
    }

    /// A check may be without a response for too long.
    pub fn handle_timeout(&mut self, context: &mut Context, id: ConnectionId) {
        if let Some(scheduler) = self.pending.remove(&id) {
            context.network.remove(&mut context.runtime, id);
            report(context, scheduler, Health::NoAnswer);
        }
    }
}

fn report(context: &mut Context, scheduler: usize, health: Health) {
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
            report(context, scheduler, health);
        }
    }

    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, _connection: Connection) {
        if let Some(scheduler) = self.pending.remove(&id) {
            report(context, scheduler, Health::NoAnswer);
        }
    }
}
