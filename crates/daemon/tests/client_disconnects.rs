//! Clients that disconnect in any phase of their job. No attempt of the job may start after that.
//!
//! The order of events is fixed by what the tests send, or by pausing the scheduler (SIGSTOP) until all of it
//! has arrived.
#![allow(missing_docs)]

mod support;

use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::{
    SYN_RETRANSMISSION_TIMEOUT, Scheduler, TEST_TIMEOUT, accept, address_of, bind_loopback, endpoint,
    endpoint_list, is_closed, job_request, job_with_time_left, line_chunk, ms, read_message, received_within,
    reset_connection, scheduler_with_one_worker, send, served_response, set_in_each_class, settings,
    settings_that_cancel_no_attempt, start_scheduler, with_time_left, worker_with_full_backlog,
};

#[test]
fn a_client_that_disconnects_does_not_affect_others() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let client = scheduler.send_request(&job_request("view", "h1", ""));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    drop(client);
    let since = Instant::now();
    // Part of a head, and a head with part of its body, are discarded with their connections.
    drop(scheduler.send_request("POST /view/k1 HTT"));
    drop(scheduler.send_request(&job_request("view", "h2", "1234").replace("1234", "12")));
    let mut other = scheduler.send_request(&job_request("view", "h3", ""));
    let mut second = accept(&worker);
    assert!(read_message(&mut second).contains("X-Trace-Id: h3\r\n"));
    // The first attempt is cancelled by closing its connection.
    assert!(is_closed(&mut attempt) && since.elapsed() < Duration::from_secs(3));
    send(&mut second, &served_response("h3", "result"));
    assert!(read_message(&mut other).ends_with("\r\n\r\nresult"));
}

#[test]
fn a_job_whose_client_disconnects_while_the_attempt_connects_is_not_sent() {
    let (worker, first) = worker_with_full_backlog();
    let scheduler = start_scheduler(settings_that_cancel_no_attempt(), &worker);
    let client = scheduler.send_request(&job_with_time_left("sale", "c1", 60_000));
    scheduler.wait_for_pending_jobs(1.0);
    drop(client);
    scheduler.wait_for_pending_jobs(0.0);
    // From here on the worker's backlog has room for connections.
    drop(first);
    let received = received_within(&worker, vec![], SYN_RETRANSMISSION_TIMEOUT);
    assert!(!received.contains("X-Trace-Id: c1"), "{received}");
    scheduler.assert_serves(&worker, "c2");
}

#[test]
fn a_queued_job_whose_client_disconnects_is_not_sent() {
    // No worker is ready yet.
    let worker = bind_loopback();
    let at = address_of(&worker);
    let scheduler =
        Scheduler::start_with(settings_that_cancel_no_attempt(), &[endpoint("s-a", at, "draining")]);
    let (_, mut watch) =
        scheduler.accept_watch(&[endpoint_list(2, true, &[endpoint("s-a", at, "draining")])]);
    let client = scheduler.send_request(&job_with_time_left("view", "q1", 60_000));
    scheduler.wait_for_pending_jobs(1.0);
    drop(client);
    scheduler.wait_for_pending_jobs(0.0);
    let ready = endpoint_list(3, false, &[endpoint("s-a", at, "ready")]);
    send(&mut watch, &line_chunk(&ready));
    scheduler.assert_serves(&worker, "q2");
}

#[test]
fn a_job_returned_unstarted_after_its_client_disconnected_is_not_retried() {
    for class in ["view", "sale", "buy"] {
        let mut settings = settings_that_cancel_no_attempt();
        // A worker that has returned a job is selected again after a fraction of this time.
        set_in_each_class(&mut settings, "goal-time", 400.0);
        let worker = bind_loopback();
        let scheduler = start_scheduler(settings, &worker);
        let client = scheduler.send_request(&job_with_time_left(class, "r1", 60_000));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        drop(client);
        scheduler.wait_for_pending_jobs(0.0);
        send(
            &mut attempt,
            "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        );
        let received = received_within(&worker, vec![], ms(1_000));
        assert_eq!(received, "");
    }
}

/// Resets a reused connection before its response begins. After that, the scheduler withholds the last byte
/// of non-idempotent requests for a while.
fn withhold_last_bytes(scheduler: &Scheduler, worker: &TcpListener, mut idle: TcpStream) {
    let mut client = scheduler.send_request(&job_with_time_left("view", "b1", 60_000));
    read_message(&mut idle);
    reset_connection(idle);
    let mut attempt = accept(worker);
    read_message(&mut attempt);
    send(&mut attempt, &served_response("b1", "retried"));
    read_message(&mut client);
}

fn read_up_to(stream: &mut TcpStream, end: &[u8]) {
    let (mut read, mut byte) = (Vec::new(), [0; 1]);
    while !read.ends_with(end) {
        stream.read_exact(&mut byte).expect("all but the last byte");
        read.push(byte[0]);
    }
}

#[test]
fn a_job_whose_client_disconnects_before_its_last_byte_is_sent_is_never_complete() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings_that_cancel_no_attempt(), &worker);
    let idle = scheduler.assert_serves(&worker, "b0");
    withhold_last_bytes(&scheduler, &worker, idle);
    let mut observed = 0;
    for n in 0..200 {
        let client =
            scheduler.send_request(&with_time_left(&job_request("sale", &format!("b2-{n}"), "1234"), 60_000));
        let mut attempt = accept(&worker);
        read_up_to(&mut attempt, b"\r\n\r\n123");
        // While paused, the scheduler can't send the last byte, and the client disconnects. In some rounds
        // the pause comes too late, or falls between the return of the poll and the write that follows it.
        scheduler.pause();
        let in_poll = scheduler.is_paused_in_poll();
        attempt.set_nonblocking(true).expect("set_nonblocking");
        let is_withheld = matches!(attempt.read(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        attempt.set_nonblocking(false).expect("set_nonblocking");
        drop(client);
        std::thread::sleep(ms(10));
        scheduler.resume();
        if is_withheld && in_poll {
            observed += 1;
            assert!(is_closed(&mut attempt), "the last byte was sent after the client had disconnected");
        }
        if observed == 3 {
            return;
        }
        scheduler.wait_for_pending_jobs(0.0);
    }
    panic!("only {observed} of 3 pauses fell between the two writes of a request");
}

#[test]
fn a_client_that_has_disconnected_when_its_request_is_read_starts_no_attempt() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings(), &worker);
    let idle = scheduler.assert_serves(&worker, "c0");
    // The requests and disconnects have all arrived when the scheduler reads them. An idle connection to the
    // worker is available, so that an attempt could be sent at once.
    scheduler.signal("-STOP");
    let disconnected = scheduler.send_request(&job_request("view", "c1", "x"));
    drop(disconnected);
    let half_closed = scheduler.send_request(&job_request("view", "c2", "x"));
    half_closed.shutdown(Shutdown::Write).expect("shutdown");
    let pipelined = scheduler.send_request(&format!(
        "{}{}",
        job_request("view", "c3", "x"),
        job_request("view", "c4", "x").repeat(60)
    ));
    drop(pipelined);
    scheduler.resume();
    let received = received_within(&worker, vec![idle], ms(600));
    assert_eq!(received, "");
    assert_eq!(scheduler.info_value("open_requests"), 0.0);
}

/// Counts the connections to or from these ports whose socket a process still has open. Connections to
/// discovery are not counted, because they are opened and closed all the time.
fn count_open_connections(ports: [u16; 2]) -> usize {
    const LISTENS: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let is_open = |line: &&str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port = |at: &str| u16::from_str_radix(at.rsplit(':').next().unwrap_or_default(), 16).ok();
        let is_counted = |at: &str| port(at).is_some_and(|port| ports.contains(&port));
        // Field 9 is the inode, which is 0 once no process has the socket open.
        fields[3] != LISTENS && fields[9] != "0" && (is_counted(fields[1]) || is_counted(fields[2]))
    };
    table.lines().skip(1).filter(is_open).count()
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    GarbageThenClose,
    HalfClose,
}

/// Disconnects a client that has not sent the last `missing` bytes of its request.
fn disconnect(mut client: TcpStream, how: Disconnect, missing: usize) {
    match how {
        Disconnect::Close => drop(client),
        Disconnect::Reset => reset_connection(client),
        Disconnect::GarbageThenClose => {
            // Any bytes are valid in a body, so a body that must stay incomplete gets fewer than are missing.
            let count = if missing == MISSING_BODY { MISSING_BODY / 2 } else { 40_000 };
            let _ = client.write_all(&vec![0xff; count]);
        }
        Disconnect::HalfClose => {
            let _ = client.shutdown(Shutdown::Write);
            let _ = client.read_to_end(&mut Vec::new());
        }
    }
}

/// Bytes missing from the body of a request whose client disconnects while sending the body.
const MISSING_BODY: usize = 1_000;

#[test]
fn clients_that_disconnect_at_every_phase_of_a_job_leak_nothing() {
    let worker = bind_loopback();
    let mut settings = settings();
    settings["limits"]["connect-timeout"] = json!(30_000.0);
    let scheduler = start_scheduler(settings, &worker);
    scheduler.wait_until_ready();
    let ports = [scheduler.address.port(), address_of(&worker).port()];
    let ways = [Disconnect::Close, Disconnect::Reset, Disconnect::GarbageThenClose, Disconnect::HalfClose];
    for (round, how) in ways.into_iter().cycle().take(40).enumerate() {
        let request = job_request("view", &format!("g{round}"), &"x".repeat(2_000));
        // Within the head, within the body, and after the worker has received the request.
        for sent in [20, request.len() - MISSING_BODY, request.len()] {
            let client = scheduler.send_request(&request[..sent]);
            let mut attempt = (sent == request.len()).then(|| accept(&worker));
            if let Some(attempt) = &mut attempt {
                read_message(attempt);
            }
            disconnect(client, how, request.len() - sent);
            if let Some(mut attempt) = attempt {
                assert!(is_closed(&mut attempt), "the attempt of round {round} is not cancelled");
            }
        }
    }
    scheduler.wait_for_pending_jobs(0.0);
    wait_until_no_connection_is_open(ports);
    assert!(scheduler.memory_kb() < 20_000, "{} kB", scheduler.memory_kb());
    scheduler.assert_serves(&worker, "g-last");
}

fn wait_until_no_connection_is_open(ports: [u16; 2]) {
    let since = Instant::now();
    while count_open_connections(ports) > 0 {
        assert!(since.elapsed() < TEST_TIMEOUT, "{} connections are open", count_open_connections(ports));
        std::thread::sleep(ms(20));
    }
}
