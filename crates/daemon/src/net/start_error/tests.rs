//! The texts that operators see when a start fails.

use super::*;
use std::error::Error;

fn in_use() -> io::Error {
    io::Error::from(io::ErrorKind::AddrInUse)
}

#[test]
fn a_socket_that_is_not_bound_is_named_by_its_key_with_the_address_and_the_cause() {
    let address = SocketAddr::from(([127, 0, 0, 1], 8_000));
    let keys = [
        (BoundSocket::Clients, "listen"),
        (BoundSocket::AdminEndpoint, "control"),
        (BoundSocket::Peer, "peer_listen"),
        (BoundSocket::PeerLinks, "handover.links"),
    ];
    for (socket, key) in keys {
        let error = StartError::Bind { socket, address, source: in_use() };
        assert_eq!(error.to_string(), format!("{key} 127.0.0.1:8000: {}", in_use()));
        assert!(error.source().is_some());
    }
}

#[test]
fn other_errors_keep_their_texts() {
    assert_eq!(StartError::Poll(in_use()).to_string(), format!("poll: {}", in_use()));
    assert_eq!(StartError::Signals(in_use()).to_string(), format!("signals: {}", in_use()));
    assert_eq!(
        StartError::Register(in_use()).to_string(),
        format!("registering with the poll: {}", in_use())
    );
    assert_eq!(
        StartError::NoLinkAddress.to_string(),
        "handover.links: no address for this scheduler's number"
    );
}
