//! What is at the far end of a proxied connection.

use super::connection::Connection;
use super::context::Context;
use crate::ConnectionId;

/// What is at the far end of a scheduler's connections of one kind.
pub trait StandIn {
    /// Bytes have arrived; they are in the connection's `input`.
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId);

    /// The connection has ended and been removed.
    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, connection: Connection);
}
