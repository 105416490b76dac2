use super::*;
use std::collections::HashSet;
use std::net::TcpStream as StdStream;

/// Whether a socket without `SO_REUSEPORT` can bind this port.
fn can_be_bound_by_others(kind: Type, address: SocketAddr) -> bool {
    let socket = Socket::new(Domain::IPV4, kind, None).expect("a socket");
    socket.bind(&address.into()).is_ok()
}

#[test]
fn the_port_of_a_listener_that_refuses_stays_reserved_and_serves_again_at_the_same_address() {
    for _ in 0..20 {
        let mut listener = Listener::new().expect("a listener");
        let address = listener.address();
        assert!(!can_be_bound_by_others(Type::STREAM, address), "while it is open");
        listener.set_state(ListenerState::Refusing).expect("it refuses");
        assert!(!can_be_bound_by_others(Type::STREAM, address), "while it refuses");
        assert!(StdStream::connect(address).is_err());
        listener.set_state(ListenerState::Open).expect("it is open again");
        let client = StdStream::connect(address).expect("at the address that schedulers know");
        let accepted = listener.accept();
        assert_eq!(accepted.len(), 1);
        assert_eq!(accepted[0].peer_addr().unwrap(), client.local_addr().unwrap());
    }
}

/// If two test clusters running at once reserved the same UDP port, each would lose some of its schedulers'
/// datagrams to the other.
#[test]
fn no_port_is_reserved_twice() {
    // If chosen at random from about 28000 ports, this many would include about 11 pairs of equal ports.
    const PORTS: usize = 800;
    let reserve = |_| ReservedPort::new(Type::DGRAM).expect("a port");
    let reserved: Vec<ReservedPort> = (0..PORTS).map(reserve).collect();
    let distinct: HashSet<SocketAddr> = reserved.iter().map(|one| one.address).collect();
    assert_eq!(distinct.len(), PORTS);
}

#[test]
fn processes_that_share_ports_bind_a_reserved_one() {
    for kind in [Type::DGRAM, Type::STREAM] {
        let reserved = ReservedPort::new(kind).expect("a port");
        let bind = |_| {
            let socket = Socket::new(Domain::IPV4, kind, None).expect("a socket");
            socket.set_reuse_address(kind == Type::STREAM).expect("set_reuse_address");
            socket.set_reuse_port(true).expect("set_reuse_port");
            socket.bind(&reserved.address.into()).expect("the reserved port");
            socket
        };
        // Two sockets: a scheduler's process and its duplicate.
        let _sockets: Vec<Socket> = (0..2).map(bind).collect();
        assert!(!can_be_bound_by_others(kind, reserved.address));
    }
}
