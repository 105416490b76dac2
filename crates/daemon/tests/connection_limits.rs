//! More clients than descriptors, and clients that take what they can: connections, memory, processor time.
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
    // Younger than every silent one, so however long the test takes, those are evicted first.
    let mut half = scheduler.send_request(&job_request("view", "v0", "12").replace("Length: 2", "Length: 3"));
    // Some of the silent ones are evicted at once.
    scheduler.assert_serves(&worker, "v1");
    let mut idle = scheduler.send_request(HEALTH_REQUEST);
    assert!(read_message(&mut half).starts_with("HTTP/1.1 408 "));
    silent.iter_mut().for_each(|client| assert!(is_closed(client)));
    assert!(since.elapsed() < TEST_TIMEOUT);
    // A client that has sent a request stays.
    read_message(&mut idle);
    send(&mut idle, HEALTH_REQUEST);
    read_message(&mut idle);
}

#[test]
fn a_new_connection_is_not_evicted_before_idle_ones() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 256);
    // More connections than there is capacity for, each idle between requests.
    let _idle: Vec<TcpStream> = (0..150)
        .map(|_| {
            let mut client = scheduler.send_request(HEALTH_REQUEST);
            read_message(&mut client);
            client
        })
        .collect();
    // All of these are accepted in one turn, before the first of them has sent a request.
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
    // More than there is capacity for; each was idle for less time than that client.
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
    // So few descriptors that hundreds of connections evict one another.
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 128);
    let mut idle = scheduler.connect();
    send(&mut idle, HEALTH_REQUEST);
    read_message(&mut idle);
    // Nothing runs while it is paused: the crowd and the request are all there when it is resumed.
    scheduler.signal("-STOP");
    let crowd: Vec<TcpStream> = (0..200).map(|_| scheduler.connect()).collect();
    send(&mut idle, &job_request("view", "v1", "x"));
    scheduler.resume();
    let mut attempt = accept(&worker);
    assert!(read_message(&mut attempt).contains("X-Trace-Id: v1\r\n"));
    send(&mut attempt, &served_response("v1", "yes"));
    assert!(read_message(&mut idle).ends_with("\r\n\r\nyes"));
    drop(crowd);
}

#[test]
fn running_out_of_descriptors_neither_crashes_nor_spins() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 24);
    // Each has sent part of a request, so that none may be evicted for another.
    let clients: Vec<TcpStream> = (0..40).map(|_| scheduler.send_request("POST /vi")).collect();
    std::thread::sleep(ms(300));
    let before = scheduler.cpu_ticks();
    std::thread::sleep(Duration::from_secs(1));
    assert!(scheduler.cpu_ticks() - before < 50, "half a core, and nothing to do");
    drop(clients);
    scheduler.assert_serves(&worker, "k1");
}

#[test]
fn clients_that_never_read_or_never_end_cannot_exhaust_the_memory() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let mut flood = scheduler.connect();
    flood.set_write_timeout(Some(ms(500))).expect("set_write_timeout");
    let many = HEALTH_REQUEST.repeat(2_000);
    // The scheduler stops reading once its answers pile up, so that this client can't write on.
    let stuck = (0..2_000).any(|_| flood.write_all(many.as_bytes()).is_err());
    assert!(stuck);
    let mut endless = scheduler.send_request("nonsense\r\n\r\n");
    while endless.write_all(&[b'x'; 65_536]).is_ok() {}
    scheduler.assert_serves(&worker, "n1");
    assert!(scheduler.memory_kb() < 64 * 1024);
}

/// Each shutdown of a socket makes the poll report it again, and one shutdown for each event would be a busy loop.
#[test]
fn a_client_that_stays_connected_after_its_last_response_uses_no_processor_time() {
    let scheduler = Scheduler::start(&[]);
    let before = scheduler.cpu_ticks();
    // Ten of them, one after the other, each read to the scheduler's close and kept open for a while.
    for _ in 0..10 {
        let mut client = scheduler.send_request("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        read_message(&mut client);
        assert!(is_closed(&mut client));
        std::thread::sleep(ms(100));
    }
    // A tick is 10 ms: the second that they stayed would be some 100 of them.
    let used = scheduler.cpu_ticks() - before;
    assert!(used < 30, "{used} ticks");
}

/// The connections of the scheduler by their peers, each with whether TCP_NODELAY is set.
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
    // The worker's first connection is in use, however long this takes: the job goes on a second, which is idle then.
    let _idle = scheduler.assert_serves(&worker, "s0");
    let before = open_connections(&scheduler);
    let to_worker = before.iter().filter(|&&(peer, _)| peer == address_of(&worker));
    assert!(to_worker.count() >= 2, "before SIGTERM: {before:?}");
    assert!(before.iter().all(|&(_, no_delay)| no_delay), "before SIGTERM: {before:?}");
    scheduler.terminate();
    let open = open_connections(&scheduler);
    let is_connected = |at: SocketAddr| open.iter().any(|&(peer, _)| peer == at);
    let client_address = client.local_addr().expect("local_addr");
    assert!(is_connected(client_address), "not to the client at {client_address}: {open:?}");
    assert!(is_connected(address_of(&worker)), "not to the worker at {}: {open:?}", address_of(&worker));
    assert!(open.iter().all(|&(_, no_delay)| no_delay), "after SIGTERM: {open:?}");
    send(&mut attempt, &served_response("s1", "yes"));
    drop((client, attempt));
    assert!(scheduler.wait_for_exit().success());
}
