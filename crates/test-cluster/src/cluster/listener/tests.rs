use super::*;
use std::net::TcpStream as StdStream;

/// Whether a socket of somebody else's, who asks for just this port, gets it.
fn can_be_bound_by_others(address: SocketAddr) -> bool {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).is_ok()
}

#[test]
fn the_port_of_a_listener_that_refuses_stays_reserved_and_serves_again_at_the_same_address() {
    for _ in 0..20 {
        let mut listener = Listener::new().expect("a listener");
        let address = listener.address();
        assert!(!can_be_bound_by_others(address), "while it is open");
        listener.set_state(ListenerState::Refusing).expect("it refuses");
        assert!(!can_be_bound_by_others(address), "while it refuses");
        assert!(StdStream::connect(address).is_err());
        listener.set_state(ListenerState::Open).expect("it is open again");
        let client = StdStream::connect(address).expect("at the address that schedulers know");
        let accepted = listener.accept();
        assert_eq!(accepted.len(), 1);
        assert_eq!(accepted[0].peer_addr().unwrap(), client.local_addr().unwrap());
    }
}
