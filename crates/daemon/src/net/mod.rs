//! The scheduler process: sockets, timers and signals for the state machines of the other crates, which do no
//! I/O themselves.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `startup`, `listener`, `start_error` | opens the sockets and builds the scheduler |
//! | `connector` | opens outgoing connections |
//! | `scheduler` | the components of a scheduler, and the `Context` passed to callbacks |
//! | `event_loop`, `buffered_stream` | the poll, the clock and the alarms; buffered connections |
//! | `events`, `signals` | dispatch socket events, alarms and signals to the components |
//! | `commands` | executes the commands of the engine, discovery and failover |
//! | `counters` | logs the counters |
//! | `frontend`, `backend`, `discovery` | connections with clients, workers and discovery |
//! | `admin_endpoint` | the operators' admin endpoint |
//! | `peer_socket`, `peer_dispatch`, `peer_links` | datagrams and links between schedulers |
//! | `cluster`, `epoch_store` | membership and leases, and their durable epoch (off by default) |
//! | `job_failover`, `zone_routing` | failover of jobs and routing between zones (off by default) |

mod admin_endpoint;
mod backend;
mod buffered_stream;
mod cluster;
mod commands;
mod connector;
mod counters;
mod discovery;
mod epoch_store;
mod event_loop;
mod events;
mod frontend;
mod job_failover;
mod listener;
mod peer_dispatch;
mod peer_links;
mod peer_socket;
mod scheduler;
mod signals;
mod start_error;
mod startup;
mod zone_routing;

pub use self::start_error::StartError;

use self::event_loop::Owner;
use self::scheduler::{Context, Scheduler};
use self::signals::Reload;
use brackenledge_protocol::config::Config;
use brackenledge_protocol::operations::Operations;
use mio::Events;
use slog::Logger;

/// Minimum capacity for the events of one poll. Otherwise the capacity is one event per descriptor: with
/// less, an event that came in time could be handled after the alarm of its timeout.
const MIN_EVENTS_PER_POLL: usize = 256;

/// Runs a scheduler until SIGTERM or SIGINT has been received and the graceful shutdown is complete.
pub fn serve(config: Config, operations: Operations, reload: Reload, log: Logger) -> Result<(), StartError> {
    let mut events = Events::with_capacity(config.sockets.max(MIN_EVENTS_PER_POLL));
    let mut scheduler = Scheduler::start(config, operations, reload, log)?;
    loop {
        scheduler.event_loop.wait(&mut events).map_err(StartError::Poll)?;
        let polled_at = scheduler.event_loop.now();
        let requeued = scheduler.event_loop.take_requeued();
        for owner in events.iter().map(|event| Owner::of(event.token())).chain(requeued) {
            scheduler.on_event(owner);
            scheduler.execute_commands();
        }
        while let Some(alarm) = scheduler.event_loop.pop_due_alarm(polled_at) {
            scheduler.on_alarm(alarm);
            scheduler.execute_commands();
        }
        if scheduler.try_finish() {
            scheduler.log_counters("shutdown_complete");
            return Ok(());
        }
    }
}
