//! More clients than file descriptors, and clients that would exhaust connections, memory or processor time.
#![allow(missing_docs)]

mod support;

use socket2::Socket;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::{
    HEALTH_REQUEST, Scheduler, TEST_TIMEOUT, accept, address_of, bind_loopback, closing_job, is_closed,
    job_request, ms, read_message, scheduler_with_one_worker, send, served_response, settings,
    start_scheduler,
};

#[test]
fn silent_clients_and_partial_requests_are_closed_and_make_room_for_others() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 256);
    let since = Instant::now();
    let mut silent: Vec<TcpStream> = (0..400).map(|_| scheduler.connect()).collect();
    // Accepted after every silent one, so that those are evicted first, however long the test takes.
    let mut partial =
        scheduler.send_request(&job_request("view", "v0", "12").replace("Length: 2", "Length: 3"));
    // Some of the silent clients are evicted at once.
    scheduler.assert_serves(&worker, "v1");
    let mut idle = scheduler.send_request(HEALTH_REQUEST);
    assert!(read_message(&mut partial).starts_with("HTTP/1.1 408 "));
    silent.iter_mut().for_each(|client| assert!(is_closed(client)));
    assert!(since.elapsed() < TEST_TIMEOUT);
    // A client that has sent a complete request stays connected.
    read_message(&mut idle);
    send(&mut idle, HEALTH_REQUEST);
    read_message(&mut idle);
}

#[test]
fn a_new_connection_is_not_evicted_before_idle_ones() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 256);
    // More connections than the descriptor limit allows, each idle between requests.
    let _idle: Vec<TcpStream> = (0..150)
        .map(|_| {
            let mut client = scheduler.send_request(HEALTH_REQUEST);
            read_message(&mut client);
            client
        })
        .collect();
    // The scheduler accepts all of these in one iteration of its event loop, before any of them has sent a
    // request.
    scheduler.signal("-STOP");
    let mut fresh: Vec<TcpStream> = (0..40).map(|_| scheduler.connect()).collect();
    scheduler.resume();
    std::thread::sleep(ms(100));
    fresh.iter_mut().for_each(|client| send(client, HEALTH_REQUEST));
    fresh.iter_mut().for_each(|client| assert!(read_message(client).starts_with("HTTP/1.1 200 ")));
}

#[test]
fn clients_that_only_check_health_are_evicted_before_those_with_jobs() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 256);
    let mut client = scheduler.send_request(&job_request("view", "y1", ""));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    send(&mut attempt, &served_response("y1", "first"));
    read_message(&mut client);
    // More connections than the descriptor limit allows. Each has been idle for a shorter time than that
    // client.
    let check_once = |_| {
        let mut checker = scheduler.send_request(HEALTH_REQUEST);
        read_message(&mut checker);
        checker
    };
    let _checkers: Vec<TcpStream> = (0..150).map(check_once).collect();
    send(&mut client, &job_request("view", "y2", ""));
    assert!(read_message(&mut attempt).contains("X-Trace-Id: y2\r\n"));
    send(&mut attempt, &served_response("y2", "second"));
    assert!(read_message(&mut client).ends_with("second"));
}

#[test]
fn a_request_already_received_is_read_before_its_connection_is_evicted() {
    // There are so few descriptors that most of the 200 new connections evict another one.
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 128);
    let mut idle = scheduler.connect();
    send(&mut idle, HEALTH_REQUEST);
    read_message(&mut idle);
    // While the scheduler is paused it reads nothing: on resuming, the new connections and the request are
    // all there.
    scheduler.signal("-STOP");
    let others: Vec<TcpStream> = (0..200).map(|_| scheduler.connect()).collect();
    send(&mut idle, &job_request("view", "v1", "x"));
    scheduler.resume();
    let mut attempt = accept(&worker);
    assert!(read_message(&mut attempt).contains("X-Trace-Id: v1\r\n"));
    send(&mut attempt, &served_response("v1", "yes"));
    assert!(read_message(&mut idle).ends_with("\r\n\r\nyes"));
    drop(others);
}

#[test]
fn running_out_of_descriptors_neither_crashes_nor_spins() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 24);
    // Each client has sent part of a request, so that it may not be evicted yet.
    let clients: Vec<TcpStream> = (0..40).map(|_| scheduler.send_request("POST /vi")).collect();
    std::thread::sleep(ms(300));
    let before = scheduler.cpu_ticks();
    std::thread::sleep(Duration::from_secs(1));
    assert!(scheduler.cpu_ticks() - before < 50, "an idle scheduler used half a core");
    drop(clients);
    scheduler.assert_serves(&worker, "k1");
}

#[test]
fn clients_that_never_read_or_never_stop_sending_cannot_exhaust_the_memory() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let mut never_reading = scheduler.connect();
    never_reading.set_write_timeout(Some(ms(500))).expect("set_write_timeout");
    let many = HEALTH_REQUEST.repeat(2_000);
    // The scheduler stops reading once enough unread responses are buffered, so that writes block and time
    // out.
    let write_timed_out = (0..2_000).any(|_| never_reading.write_all(many.as_bytes()).is_err());
    assert!(write_timed_out, "the scheduler read every request though its responses were not read");
    let mut never_ending = scheduler.send_request("nonsense\r\n\r\n");
    while never_ending.write_all(&[b'x'; 65_536]).is_ok() {}
    scheduler.assert_serves(&worker, "n1");
    assert!(scheduler.memory_kb() < 64 * 1024);
}

/// Each shutdown of a socket makes the poll report it again, so a shutdown on every event would be a busy
/// loop.
#[test]
fn a_client_that_stays_connected_after_its_last_response_uses_no_processor_time() {
    let scheduler = Scheduler::start(&[]);
    let before = scheduler.cpu_ticks();
    // Ten clients one after the other. Each reads until the scheduler closes, then keeps its side open for a
    // while.
    for _ in 0..10 {
        let mut client = scheduler.send_request("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        read_message(&mut client);
        assert!(is_closed(&mut client));
        std::thread::sleep(ms(100));
    }
    // A tick is 10 ms: a busy loop in the second that the clients stayed would use about 100 ticks.
    let used = scheduler.cpu_ticks() - before;
    assert!(used < 30, "{used} ticks");
}

/// The peer addresses of the scheduler's open connections, and whether each connection has TCP_NODELAY set.
fn open_connections(scheduler: &Scheduler) -> Vec<(SocketAddr, bool)> {
    use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open};
    let child = scheduler.child.id();
    let pid = Pid::from_raw(child.try_into().expect("a process")).expect("a process");
    let process = pidfd_open(pid, PidfdFlags::empty()).expect("the scheduler");
    let numbers = std::fs::read_dir(format!("/proc/{child}/fd")).expect("its descriptors");
    let numbers = numbers.flatten().filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let sockets = numbers.filter_map(|number| pidfd_getfd(&process, number, PidfdGetfdFlags::empty()).ok());
    let connected = sockets.filter_map(|fd| {
        let socket = Socket::from(fd);
        let peer = socket.peer_addr().ok()?.as_socket()?;
        Some((peer, socket.tcp_nodelay().ok()?))
    });
    connected.collect()
}

#[test]
fn connections_to_clients_and_workers_have_tcp_nodelay_set() {
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings(), &worker);
    scheduler.wait_until_ready();
    let client = scheduler.send_request(&closing_job("sale", "s1", 4_000));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    // The worker's first connection stays in use, so this job opens a second one, which is then idle.
    let _idle = scheduler.assert_serves(&worker, "s0");
    let before = open_connections(&scheduler);
    let to_worker = before.iter().filter(|&&(peer, _)| peer == address_of(&worker));
    assert!(to_worker.count() >= 2, "before SIGTERM: {before:?}");
    assert!(before.iter().all(|&(_, no_delay)| no_delay), "before SIGTERM: {before:?}");
    scheduler.send_sigterm();
    let open = open_connections(&scheduler);
    let is_connected = |at: SocketAddr| open.iter().any(|&(peer, _)| peer == at);
    let client_address = client.local_addr().expect("local_addr");
    assert!(is_connected(client_address), "no connection to the client at {client_address}: {open:?}");
    assert!(
        is_connected(address_of(&worker)),
        "no connection to the worker at {}: {open:?}",
        address_of(&worker)
    );
    assert!(open.iter().all(|&(_, no_delay)| no_delay), "after SIGTERM: {open:?}");
    send(&mut attempt, &served_response("s1", "yes"));
    drop((client, attempt));
    assert!(scheduler.wait_for_exit().success());
}
