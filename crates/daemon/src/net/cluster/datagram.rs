//! Framing of cluster datagrams: one byte for the kind, then the payload. The kind bytes are outside ASCII,
//! which distinguishes these datagrams from the text messages that use the same socket.

use super::roles;
use crate::net::peer_socket::PeerSocket;
use brackenledge_leases::FencingToken;

/// The payload type of a datagram. The discriminants are the kind bytes of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// A message of the `membership` protocol.
    Membership = 0xf1,
    /// A message of the `leases` protocol.
    Leases = 0xf2,
    /// A message from the holder of a role, preceded by its fencing token.
    Fenced = 0xf3,
    /// A scheduler's zone load report, sent to the zone planner.
    ZoneReport = 0xf4,
}

impl DatagramKind {
    const ALL: [DatagramKind; 4] =
        [DatagramKind::Membership, DatagramKind::Leases, DatagramKind::Fenced, DatagramKind::ZoneReport];

    /// Splits a datagram into its kind and payload. Returns `None` if it is empty or starts with no known
    /// kind byte.
    pub fn split(datagram: &[u8]) -> Option<(DatagramKind, &[u8])> {
        let (byte, payload) = datagram.split_first()?;
        let kind = DatagramKind::ALL.into_iter().find(|kind| *kind as u8 == *byte)?;
        Some((kind, payload))
    }

    /// Sends a datagram of this kind to the scheduler with this ordinal.
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

/// What the caller of [`Cluster::handle_message`](super::Cluster::handle_message) must still do with a
/// datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {
    /// Nothing: the cluster has processed or rejected it.
    Handled,
    /// Pass on the aggregated loads, sent by the aggregator.
    AggregatedLoads(String),
    /// Pass on the encoded plan, sent by the zone planner.
    ZonePlan(Vec<u8>),
    /// Pass on the encoded zone load report, which is addressed to the zone planner.
    ZoneReport(Vec<u8>),
}

/// Decodes a fenced message received from the scheduler `from`. Returns `None` if it is malformed, its role
/// is unknown, or its token names another holder.
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
