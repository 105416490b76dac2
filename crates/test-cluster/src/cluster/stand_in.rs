//! The interface of the stand-ins, which play the nodes at the other end of proxied connections.

use super::connection::Connection;
use super::context::Context;
use crate::ConnectionId;

/// Plays the other end of a scheduler's connections of one kind.
pub trait StandIn {
    /// Called after bytes have arrived, which are appended to the connection's `input`.
    fn handle_input(&mut self, context: &mut Context, id: ConnectionId);

    /// Called after a connection has ended and been removed from the network.
    fn handle_end(&mut self, context: &mut Context, id: ConnectionId, connection: Connection);
}
