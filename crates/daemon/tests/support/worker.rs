//! Scripted workers.

use super::{
    Scheduler, TEST_TIMEOUT, address_of, bind_loopback, endpoint, ms, read_message, served_response, trace_id,
};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Starts a scheduler whose cached list has one worker, and returns both.
pub fn scheduler_with_one_worker() -> (Scheduler, TcpListener) {
    let worker = bind_loopback();
    (Scheduler::start(&[endpoint("s-a", address_of(&worker), "ready")]), worker)
}

/// A worker to which no connection can be opened: its backlog has room for one, which the returned stream
/// takes.
pub fn worker_with_full_backlog() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a free port");
    socket.listen(0).expect("listen");
    let listener = TcpListener::from(socket);
    let backlog_connection = TcpStream::connect(address_of(&listener)).expect("room for one connection");
    (listener, backlog_connection)
}

/// Returns everything that a worker receives within this time, on new connections and on the open ones given.
pub fn received_within(worker: &TcpListener, mut open: Vec<TcpStream>, within: Duration) -> String {
    worker.set_nonblocking(true).expect("set_nonblocking");
    open.iter().for_each(|stream| stream.set_nonblocking(true).expect("set_nonblocking"));
    let (since, mut text) = (Instant::now(), Vec::new());
    while since.elapsed() < within {
        while let Ok((stream, _)) = worker.accept() {
            stream.set_nonblocking(true).expect("set_nonblocking");
            open.push(stream);
        }
        for stream in &mut open {
            let mut bytes = [0; 4096];
            match stream.read(&mut bytes) {
                Ok(count) => text.extend_from_slice(&bytes[..count]),
                Err(e) => {
                    assert!(matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionReset), "{e}")
                }
            }
        }
        std::thread::sleep(ms(2));
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads the next request on a worker's connection and returns its head; `None` if the connection is closed.
pub fn next_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|&count| count > 0)?;
    }
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(head)
}

/// Reads the next request to a worker, on the open connection given or on a new one.
pub fn next_request_on_any(worker: &TcpListener, held: TcpStream) -> (String, TcpStream) {
    worker.set_nonblocking(true).expect("set_nonblocking");
    let (since, mut open) = (Instant::now(), vec![held]);
    loop {
        assert!(since.elapsed() < TEST_TIMEOUT, "no request has arrived");
        open.extend(worker.accept().ok().map(|(stream, _)| stream));
        for mut stream in std::mem::take(&mut open) {
            stream.set_nonblocking(true).expect("set_nonblocking");
            let peeked = stream.peek(&mut [0; 1]);
            stream.set_nonblocking(false).expect("set_nonblocking");
            match peeked {
                Ok(1..) => return (read_message(&mut stream), stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => open.push(stream),
                // The scheduler has closed the connection.
                _ => {}
            }
        }
        std::thread::sleep(ms(1));
    }
}

/// The trace ids of all requests that a worker has received completely.
pub type ReceivedIds = Arc<Mutex<Vec<String>>>;

/// Starts a worker that responds to every request at once. It closes the first `closed_unread` connections
/// without reading from them.
pub fn spawn_worker(closed_unread: usize) -> (SocketAddr, ReceivedIds) {
    let (worker, received) = (bind_loopback(), ReceivedIds::default());
    let (address, recorded) = (address_of(&worker), Arc::clone(&received));
    std::thread::spawn(move || {
        for stream in worker.incoming().flatten().skip(closed_unread) {
            let recorded = Arc::clone(&recorded);
            std::thread::spawn(move || answer_requests(stream, &recorded));
        }
    });
    (address, received)
}

fn answer_requests(stream: TcpStream, received: &ReceivedIds) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = next_request(&mut reader) {
        let id = trace_id(&request).unwrap_or_default().to_owned();
        received.lock().expect("no panic").push(id.clone());
        if reader.get_mut().write_all(served_response(&id, "yes").as_bytes()).is_err() {
            return;
        }
    }
}

pub fn count_attempts(received: &ReceivedIds, id: &str) -> usize {
    received.lock().expect("no panic").iter().filter(|other| *other == id).count()
}

/// Waits until any job may reuse a worker connection: only jobs that may run any number of times do so within
/// 20 ms of its last response.
pub fn wait_until_worker_connection_is_reusable() {
    std::thread::sleep(ms(60));
}
