use super::*;

#[test]
fn a_connection_has_tcp_nodelay_set_from_the_first() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = connect(listener.local_addr().expect("local_addr")).expect("connected");
    assert!(stream.nodelay().expect("the option"));
}

#[test]
fn a_connection_does_not_block() {
    // The listener never accepts, so no data ever arrives.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = connect(listener.local_addr().expect("local_addr")).expect("connected");
    let error = stream.peek(&mut [0; 1]).expect_err("nothing to read");
    assert_eq!(error.kind(), io::ErrorKind::WouldBlock);
}
