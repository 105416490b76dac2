//! Relays connections between schedulers. Each relay is a pair of proxied connections, one per scheduler;
//! bytes that have passed the pipe from one scheduler are written to the other.

use super::connection::{Connection, ConnectionEnds, StandInKind};
use super::context::Context;
use super::stand_in::StandIn;
use crate::ConnectionId;
use crate::scenario::Node;
use mio::net::TcpStream;
use std::collections::HashMap;

/// The pairs of proxied connections that relay bytes between schedulers.
#[derive(Default)]
pub struct SchedulerLinks {
    /// The other connection of the pair, by connection; it has an entry for both.
    counterparts: HashMap<ConnectionId, ConnectionId>,
    /// Total bytes relayed in both directions.
    pub bytes: u64,
}

impl SchedulerLinks {
    /// Handles a connection from one scheduler to another by opening the second connection of the pair.
    pub fn handle_connection(
        &mut self,
        context: &mut Context,
        caller_stream: TcpStream,
        from: usize,
        to: usize,
    ) {
        // If the connection fails at once, dropping the caller's stream closes the caller's connection.
        let Ok(callee_stream) = TcpStream::connect(context.supervisor.addresses(to).links) else { return };
        let ends = |scheduler, other| ConnectionEnds {
            scheduler,
            remote_node: Node::Scheduler(other),
            stand_in_kind: StandInKind::SchedulerLink,
        };
        let caller_id = context.network.add(&mut context.runtime, caller_stream, ends(from, to), false);
        let Some(caller_id) = caller_id else { return };
        let callee_id = context.network.add(&mut context.runtime, callee_stream, ends(to, from), true);
        let Some(callee_id) = callee_id else {
            context.network.remove(&mut context.runtime, caller_id);
            return;
        };
        self.counterparts.extend([(caller_id, callee_id), (callee_id, caller_id)]);
    }
}

impl StandIn for SchedulerLinks {
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(&other) = self.counterparts.get(&id) else { return };
        let Some(connection) = context.network.get_mut(id) else { return };
        let bytes = std::mem::take(&mut connection.input);
        self.bytes += bytes.len() as u64;
        context.network.forward(other, &bytes);
    }

    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, _connection: Connection) {
        let Some(other) = self.counterparts.remove(&id) else { return };
        self.counterparts.remove(&other);
        if let Some(mut connection) = context.network.remove(&mut context.runtime, other) {
            connection.reset_on_close();
        }
    }
}
