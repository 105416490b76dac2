//! Ports of peer sockets: a port that the system chooses is not shared, unless another socket binds it
//! explicitly.

use super::*;
use std::collections::HashSet;

fn bind(listen: SocketAddr) -> PeerSocket {
    let config = PeerConfig { listen, peers: Vec::new(), broadcast: None };
    PeerSocket::bind(config, 0).expect("a port")
}

fn system_chosen_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn address_of(socket: &PeerSocket) -> SocketAddr {
    socket.socket.local_addr().expect("local_addr")
}

#[test]
fn sockets_with_system_chosen_ports_share_no_port() {
    // If ports were chosen independently among about 28000, this many sockets would have about 11 pairs with
    // the same port.
    const SOCKETS: usize = 800;
    let sockets: Vec<PeerSocket> = (0..SOCKETS).map(|_| bind(system_chosen_port())).collect();
    let distinct: HashSet<SocketAddr> = sockets.iter().map(address_of).collect();
    assert_eq!(distinct.len(), SOCKETS);
}

#[test]
fn replacement_processes_can_bind_the_same_port() {
    let first = bind(system_chosen_port());
    let second = bind(address_of(&first));
    let third = bind(address_of(&second));
    assert_eq!(address_of(&third), address_of(&first));
}
