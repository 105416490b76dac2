//! Errors that prevent a scheduler from starting or end it later.

#[cfg(test)]
mod tests;

use super::cluster::ClusterError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// The reason why a scheduler can't start, or exits without a request to shut down.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The poll can't be created, or waiting for events failed.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// A socket can't be bound to its address.
    #[error("{socket} {address}: {source}")]
    Bind {
        /// The socket, named by the key that configures it.
        socket: BoundSocket,
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// A socket can't be registered with the poll.
    #[error("registering with the poll: {0}")]
    Register(#[source] io::Error),
    /// The cluster's state directory can't be used.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// Failover is enabled, but its list of link addresses has none for this scheduler's ordinal.
    #[error("handover.links: no address for this scheduler's number")]
    NoLinkAddress,
}

/// A socket that is bound at startup. It is displayed as the configuration key of its address.
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
