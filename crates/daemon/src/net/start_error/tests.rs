//! Error texts that operators see when a scheduler can't start.

use super::*;
use std::error::Error;

fn address_in_use() -> io::Error {
    io::Error::from(io::ErrorKind::AddrInUse)
}

#[test]
fn a_bind_error_states_the_sockets_configuration_key_its_address_and_the_cause() {
    let address = SocketAddr::from(([127, 0, 0, 1], 8_000));
    let keys = [
        (BoundSocket::Clients, "listen"),
        (BoundSocket::AdminEndpoint, "control"),
        (BoundSocket::Peer, "peer_listen"),
        (BoundSocket::PeerLinks, "handover.links"),
    ];
    for (socket, key) in keys {
        let error = StartError::Bind { socket, address, source: address_in_use() };
        assert_eq!(error.to_string(), format!("{key} 127.0.0.1:8000: {}", address_in_use()));
        assert!(error.source().is_some());
    }
}

#[test]
fn other_errors_state_the_failed_step() {
    assert_eq!(StartError::Poll(address_in_use()).to_string(), format!("poll: {}", address_in_use()));
    assert_eq!(StartError::Signals(address_in_use()).to_string(), format!("signals: {}", address_in_use()));
    assert_eq!(
        StartError::Register(address_in_use()).to_string(),
        format!("registering with the poll: {}", address_in_use())
    );
    assert_eq!(
        StartError::NoLinkAddress.to_string(),
        "handover.links: no address for this scheduler's number"
    );
}
