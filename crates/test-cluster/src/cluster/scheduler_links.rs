//! Connections between two schedulers: what one sends on its side comes out at the other, after its own pipe.

use super::connection::{Connection, Ends, FarEnd};
use super::context::Context;
use super::stand_in::StandIn;
use crate::ConnectionId;
use crate::scenario::Node;
use mio::net::TcpStream;
use std::collections::HashMap;

/// The pairs of connections that make up links between schedulers.
#[derive(Default)]
pub struct SchedulerLinks {
    /// The other connection of each pair.
    others: HashMap<ConnectionId, ConnectionId>,
    /// Bytes that have passed.
    pub bytes: u64,
}

impl SchedulerLinks {
    /// A scheduler has connected to another one by the proxy.
    pub fn handle_connection(&mut self, context: &mut Context, stream: TcpStream, from: usize, to: usize) {
        // Where nobody listens, the caller's connection ends.
        let Ok(far) = TcpStream::connect(context.supervisor.addresses(to).links) else { return };
        let ends = |scheduler, other| Ends {
            scheduler,
            far: Node::Scheduler(other),
            far_end: FarEnd::SchedulerLink,
        };
        let near_id = context.network.add(&mut context.runtime, stream, ends(from, to), false);
        let Some(near_id) = near_id else { return };
        let far_id = context.network.add(&mut context.runtime, far, ends(to, from), true);
        let Some(far_id) = far_id else {
            context.network.remove(&mut context.runtime, near_id);
            return;
        };
        self.others.extend([(near_id, far_id), (far_id, near_id)]);
    }
}

impl StandIn for SchedulerLinks {
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(&other) = self.others.get(&id) else { return };
        let Some(connection) = context.network.get_mut(id) else { return };
        let bytes = std::mem::take(&mut connection.input);
        self.bytes += bytes.len() as u64;
        context.network.forward(other, &bytes);
    }

    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, _connection: Connection) {
        let Some(other) = self.others.remove(&id) else { return };
        self.others.remove(&other);
        if let Some(mut connection) = context.network.remove(&mut context.runtime, other) {
            connection.reset_on_close();
        }
    }
}
