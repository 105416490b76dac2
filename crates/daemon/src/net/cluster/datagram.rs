//! The datagrams of a cluster: one byte for the kind, then the payload. The bytes of the kinds are not ASCII, so that no
//! text between schedulers begins with one.

use super::roles;
use crate::net::peer_socket::PeerSocket;
use brackenledge_leases::FencingToken;

/// What a datagram carries. The byte of each kind is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// A message of `membership`.
    Membership = 0xf1,
    /// A message of `leases`.
    Leases = 0xf2,
    /// A fencing token, and what the holder of a role sends under it.
    Fenced = 0xf3,
    /// A scheduler's zone load report, for the zone planner.
    ZoneReport = 0xf4,
}

impl DatagramKind {
    const ALL: [DatagramKind; 4] =
        [DatagramKind::Membership, DatagramKind::Leases, DatagramKind::Fenced, DatagramKind::ZoneReport];

    /// Splits a datagram into its kind and payload. `None`: it is of no such kind.
    pub fn split(datagram: &[u8]) -> Option<(DatagramKind, &[u8])> {
        let (byte, payload) = datagram.split_first()?;
        let kind = DatagramKind::ALL.into_iter().find(|kind| *kind as u8 == *byte)?;
        Some((kind, payload))
    }

    /// Sends a datagram of this kind to the scheduler of this ordinal.
    pub fn send_to(self, socket: &PeerSocket, ordinal: u16, payload: &[u8]) {
        socket.send_to(ordinal, &self.encode(payload));
    }

    /// Sends a datagram of this kind to all other schedulers.
    pub fn broadcast(self, socket: &PeerSocket, payload: &[u8]) {
        socket.broadcast(&self.encode(payload));
    }

    fn encode(self, payload: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(payload.len() + 1);
        datagram.push(self as u8);
        datagram.extend_from_slice(payload);
        datagram
    }
}

/// What is left to do with a datagram that [`Cluster::handle_message`](super::Cluster::handle_message) was given.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {
    /// Nothing: it was for the cluster itself, or was rejected.
    Handled,
    /// Aggregated loads, from the aggregator.
    AggregatedLoads(String),
    /// A traffic plan, from the zone planner.
    ZonePlan(Vec<u8>),
    /// A zone load report, for the zone planner.
    ZoneReport(Vec<u8>),
}

/// Decodes a fenced message of the scheduler `from`. `None`: it is malformed.
pub fn decode_fenced(from: u16, bytes: &[u8]) -> Option<(FencingToken, Received)> {
    let (token, payload) = FencingToken::decode_message(bytes).ok()?;
    if token.holder.ordinal != from {
        return None;
    }
    let received = match token.role {
        roles::AGGREGATOR => Received::AggregatedLoads(std::str::from_utf8(payload).ok()?.to_owned()),
        roles::ZONE_PLANNER => Received::ZonePlan(payload.to_vec()),
        _ => return None,
    };
    Some((token, received))
}
