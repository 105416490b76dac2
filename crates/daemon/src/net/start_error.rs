//! Why a scheduler can't start or go on.

#[cfg(test)]
mod tests;

use super::cluster::ClusterError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// What stops a scheduler that is not told to shut down.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The poll can't be created or fails.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// A socket can't be bound to its address.
    #[error("{socket} {address}: {source}")]
    Bind {
        /// The socket.
        socket: BoundSocket,
        /// The address of the configuration.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The handlers of signals can't be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// A socket can't be registered with the poll.
    #[error("registering with the poll: {0}")]
    Register(#[source] io::Error),
    /// The cluster's state can't be used.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// Failover is on, and its list of links ends before this scheduler's ordinal.
    #[error("handover.links: no address for this scheduler's number")]
    NoLinkAddress,
}

/// A socket that is bound at the start. Its text is the configuration's key for its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundSocket {
    /// The listener for clients.
    Clients,
    /// The listener of the admin endpoint.
    AdminEndpoint,
    /// The datagram socket for other schedulers.
    Peer,
    /// The listener for links from other schedulers.
    PeerLinks,
}

impl fmt::Display for BoundSocket {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            BoundSocket::Clients => "listen",
            BoundSocket::AdminEndpoint => "control",
            BoundSocket::Peer => "peer_listen",
            BoundSocket::PeerLinks => "handover.links",
        })
    }
}
