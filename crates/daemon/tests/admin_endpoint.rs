//! The operators' admin endpoint: its calls, misbehaving clients, draining, and the replacement of a process.
#![allow(missing_docs)]

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use support::{
    HEALTH_REQUEST, Launch, Scheduler, TEST_TIMEOUT, address_of, bind_loopback, check_health, endpoint,
    is_closed, job_request, read_message, run, scheduler_with_one_worker, send, served_response, settings,
};

#[test]
fn valid_admin_calls_get_replies_and_invalid_lines_get_errors() {
    let (scheduler, worker) = scheduler_with_one_worker();
    scheduler.wait_until_ready();
    assert_eq!(scheduler.admin_call(b"PING\n"), "done yes\n");
    let before = scheduler.admin_call(b"INFO\r\n");
    assert!(before.starts_with("done\n") && before.ends_with("\nend\n"), "{before}");
    assert!(before.contains("\nsvc.fulfilled.view=0\n") && before.contains("\nsvc.relayed=0\n"), "{before}");
    assert!(before.contains("\nsvc.registry_entries=1\n") && before.contains("\nsvc.out_of_rotation=0\n"));
    drop(scheduler.assert_serves(&worker, "f1"));
    let after = scheduler.admin_call(b"INFO\n");
    for line in ["svc.fulfilled.view=1", "svc.throttled.view=0", "svc.faulted.sale=0", "svc.relayed=1"] {
        assert!(after.contains(&format!("\n{line}\n")), "{line} in {after}");
    }
    assert!(after.contains("\nsvc.open_requests=0\n"), "{after}");
    let cases: [(&[u8], &str); 6] = [
        (b"RESTART\n", "error unknown call\n"),
        (b"\n", "error empty line\n"),
        (b"PI\xffNG\n", "error line is not plain text\n"),
        (b"PING\nINFO\n", "error one call a connection\n"),
        (&[b'P'; 200], "error line too long\n"),
        (b"ping now\n", "error unknown call\n"),
    ];
    for (line, reply) in cases {
        assert_eq!(scheduler.admin_call(line), reply, "{:?}", String::from_utf8_lossy(line));
    }
    // Invalid lines have no effect on jobs.
    drop(scheduler.assert_serves(&worker, "f2"));
    assert_eq!(scheduler.admin_call(b"PING\n"), "done yes\n");
}

#[test]
fn many_admin_connections_with_incomplete_lines_do_not_delay_a_reply() {
    let (scheduler, _worker) = scheduler_with_one_worker();
    // More open connections than the admin endpoint allows, each with half a line.
    let mut slow: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut connection =
                TcpStream::connect(scheduler.admin_address).expect("the admin endpoint accepts");
            connection.write_all(b"PI").expect("half a line is written");
            connection
        })
        .collect();
    let since = Instant::now();
    assert_eq!(scheduler.admin_call(b"PING\n"), "done yes\n");
    assert!(since.elapsed() < Duration::from_secs(1), "reply after {:?}", since.elapsed());
    // The newest of these connections is still open, and gets its reply once its line is complete.
    let last = slow.last_mut().expect("a connection");
    last.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
    last.write_all(b"NG\n").expect("the rest is written");
    let mut reply = String::new();
    last.read_to_string(&mut reply).expect("a reply");
    assert_eq!(reply, "done yes\n");
    // The oldest has been closed to make room.
    slow[0].set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
    assert!(is_closed(&mut slow[0]));
}

#[test]
fn a_draining_scheduler_is_not_ready_closes_idle_connections_finishes_jobs_and_can_rejoin() {
    let (scheduler, worker) = scheduler_with_one_worker();
    scheduler.wait_until_ready();
    // An idle client connection, and a job in flight on a reused worker connection.
    let mut attempt = scheduler.assert_serves(&worker, "d0");
    let mut idle = scheduler.connect();
    send(&mut idle, HEALTH_REQUEST);
    assert!(read_message(&mut idle).starts_with("HTTP/1.1 200 "));
    let mut client = scheduler.send_request(&job_request("view", "d1", "x"));
    assert!(read_message(&mut attempt).contains("X-Trace-Id: d1\r\n"));
    assert_eq!(scheduler.admin_call(b"LAMEDUCK\n"), "done draining\n");
    assert_eq!(scheduler.admin_call(b"LAMEDUCK\n"), "done draining already\n");
    assert!(check_health(&scheduler).starts_with("HTTP/1.1 503 "));
    assert_eq!(scheduler.admin_call(b"PING\n"), "done yes\n");
    assert!(is_closed(&mut idle), "the idle connection is open");
    // An admitted job is finished, and its connection is closed after the response.
    send(&mut attempt, &served_response("d1", "late"));
    let answer = read_message(&mut client);
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.contains("Connection: close\r\n"), "{answer}");
    assert!(is_closed(&mut client));
    // The next job goes to the worker on a new connection.
    drop(attempt);
    assert_eq!(scheduler.admin_call(b"REJOIN\n"), "done serving\n");
    assert_eq!(scheduler.admin_call(b"REJOIN\n"), "done serving already\n");
    assert!(check_health(&scheduler).starts_with("HTTP/1.1 200 "));
    drop(scheduler.assert_serves(&worker, "d2"));
}

#[test]
fn a_second_process_serves_beside_the_first_which_drains_on_sigterm() {
    let worker = bind_loopback();
    let known = [endpoint("s-a", address_of(&worker), "ready")];
    // A free port, on which both processes then listen.
    let port = address_of(&bind_loopback()).port();
    let listen = format!("127.0.0.1:{port}");
    let start = || Launch { known: &known, listen: &listen, ..Launch::default() }.start();
    let mut old = start();
    old.wait_until_ready();
    let new = start();
    assert_eq!(new.admin_call(b"PING\n"), "done yes\n");
    assert!(old.child.try_wait().expect("a child").is_none(), "the first process has exited");
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    new.wait_until_ready();
    drop(new.assert_serves(&worker, "r1"));
    assert!(new.admin_call(b"INFO\n").contains("\nsvc.fulfilled.view=1\n"));
}

#[test]
fn the_admin_endpoint_answers_while_clients_hold_every_descriptor() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start_with_descriptors(settings(), &worker, 96);
    scheduler.wait_until_ready();
    // Many more silent clients than the process has descriptors.
    let silent_clients: Vec<TcpStream> = (0..400).map(|_| scheduler.connect()).collect();
    assert_eq!(scheduler.admin_call(b"PING\n"), "done yes\n");
    assert!(scheduler.admin_call(b"INFO\n").ends_with("\nend\n"));
    drop(scheduler.assert_serves(&worker, "c1"));
    drop(silent_clients);
}

#[test]
fn an_admin_call_that_ends_by_a_half_close_instead_of_a_line_end_is_answered() {
    let (scheduler, _worker) = scheduler_with_one_worker();
    scheduler.wait_until_ready();
    for (line, reply) in [(&b"PING"[..], "done yes\n"), (b"PONG", "error unknown call\n")] {
        let mut connection = scheduler.admin_connect();
        connection.write_all(line).expect("the call is written");
        connection.shutdown(Shutdown::Write).expect("shutdown");
        let mut received = String::new();
        connection.read_to_string(&mut received).expect("a reply");
        assert_eq!(received, reply);
    }
}

#[test]
fn cluster_calls_report_that_the_cluster_is_off_and_the_command_line_prints_that() {
    let (scheduler, _worker) = scheduler_with_one_worker();
    let off_reply = "error the tier is off: set tier.on in the operators' file\n";
    assert_eq!(
        (scheduler.admin_call(b"MEMBERS\n"), scheduler.admin_call(b"duties\n")),
        (off_reply.into(), off_reply.into())
    );
    let zones_off_reply = "error zones are off: set zones.on in the operators' file\n";
    assert_eq!(scheduler.admin_call(b"ZONES\n"), zones_off_reply);
    let address = scheduler.admin_address.to_string();
    let members = run(&["members", "--control", &address], None);
    let message = String::from_utf8_lossy(&members.stderr).into_owned();
    assert!(!members.status.success() && message.contains("set tier.on in the operators' file"), "{message}");
    let duties = run(&["duties", "--control", "here"], None);
    let message = String::from_utf8_lossy(&duties.stderr).into_owned();
    assert!(message.contains("--control \"here\" is not an address with a port"), "{message}");
}
