use super::*;

/// Guards against an option that is set only after accepting: the connection may be open for a while before
/// it is accepted and handled.
#[test]
fn an_accepted_connection_has_tcp_nodelay_set_from_the_first() {
    for sharing in [Sharing::Exclusive, Sharing::Shared] {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)), sharing).expect("a port");
        let _client =
            std::net::TcpStream::connect(listener.local_addr().expect("local_addr")).expect("connected");
        let accepted = accept_next(&listener).expect("no error").expect("a connection");
        assert!(accepted.nodelay().expect("the option"), "{sharing:?}");
    }
}
