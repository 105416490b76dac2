//! The ports of sockets for datagrams: one that the system chooses is this socket's alone, until another asks for it.

use super::*;
use std::collections::HashSet;

fn bind(listen: SocketAddr) -> PeerSocket {
    let config = PeerConfig { listen, peers: Vec::new(), broadcast: None };
    PeerSocket::bind(config, 0).expect("a port")
}

fn port_of_the_systems() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn address_of(socket: &PeerSocket) -> SocketAddr {
    socket.socket.local_addr().expect("local_addr")
}

#[test]
fn a_port_that_the_system_chooses_is_no_other_sockets() {
    // Chosen at random among some 28000 ports, that many would have about 11 pairs.
    const SOCKETS: usize = 800;
    let sockets: Vec<PeerSocket> = (0..SOCKETS).map(|_| bind(port_of_the_systems())).collect();
    let distinct: HashSet<SocketAddr> = sockets.iter().map(address_of).collect();
    assert_eq!(distinct.len(), SOCKETS);
}

#[test]
fn a_process_that_replaces_this_one_binds_the_same_port() {
    let first = bind(port_of_the_systems());
    let second = bind(address_of(&first));
    let third = bind(address_of(&second));
    assert_eq!(address_of(&third), address_of(&first));
}
