//! The watch of the endpoint list: which updates take effect, and when a watch is opened again, hedged or
//! moved to another address.
#![allow(missing_docs)]

mod support;

use serde_json::json;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use support::{
    RESPONSE_HEAD, Scheduler, accept, address_of, bind_loopback, chunk, endpoint, endpoint_list, is_closed,
    job_request, line_chunk, ms, read_message, scheduler_with_one_worker, send, served_response, settings,
};

#[test]
fn draining_workers_get_no_new_jobs_and_changed_addresses_are_used() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let mut attempt = scheduler.assert_serves(&worker, "e1");
    let other = bind_loopback();
    let at = |listener: &TcpListener| address_of(listener);
    let moved = endpoint_list(
        2,
        true,
        &[endpoint("s-a", at(&worker), "draining"), endpoint("s-b", at(&other), "ready")],
    );
    let (request, mut watch) = scheduler.accept_watch(&[moved]);
    assert!(request.starts_with("GET /discovery/hosts?follow=1&since=1 "), "{request}");
    // The worker's idle connection is closed once its drain is known.
    assert!(is_closed(&mut attempt));
    scheduler.assert_serves(&other, "e2");
    let third = bind_loopback();
    send(
        &mut watch,
        &chunk(&format!("\n{}\n", endpoint_list(3, false, &[endpoint("s-b", at(&third), "ready")]))),
    );
    std::thread::sleep(ms(600));
    scheduler.assert_serves(&third, "e3");
}

#[test]
fn dropped_malformed_rejected_and_silent_watches_are_reopened() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let (_, mut watch) = scheduler.accept_watch(&[endpoint_list(2, false, &[])]);
    send(&mut watch, &chunk("{\"index\":3,\"snapshot\":\"maybe\"}\n"));
    assert!(is_closed(&mut watch));
    let (request, watch) = scheduler.accept_watch(&[]);
    assert!(request.contains("since=2"), "{request}");
    drop(watch);
    let mut rejected = accept(&scheduler.discovery);
    read_message(&mut rejected);
    send(&mut rejected, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    let (_, mut silent) = scheduler.accept_watch(&[]);
    // A watch that sends not even an empty line (a keep-alive) is given up, although its connection is open.
    assert!(is_closed(&mut silent));
    scheduler.accept_watch(&[]);
    scheduler.assert_serves(&worker, "f1");
}

#[test]
fn watch_closed_within_a_line_is_reopened_at_once() {
    let mut config = settings();
    // A production value. The backoff after a failed request is a fraction of it, so it would delay the next
    // watch.
    config["obligations"]["ask-within"] = json!(60_000.0);
    let worker = bind_loopback();
    let at = address_of(&worker);
    let scheduler = Scheduler::start_with(config, &[endpoint("s-a", at, "ready")]);
    let (_, mut watch) = scheduler.accept_watch(&[endpoint_list(2, false, &[])]);
    let drains = endpoint_list(3, false, &[endpoint("s-a", at, "draining")]).to_string();
    send(&mut watch, &chunk(&drains[..drains.len() / 2]));
    drop(watch);
    let since = Instant::now();
    let (request, _watch) = scheduler.accept_watch(&[]);
    assert!(request.contains("since=2") && since.elapsed() < Duration::from_secs(3), "{request}");
}

#[test]
fn watch_without_a_response_is_hedged_and_the_first_to_respond_is_kept() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start(&[]);
    let mut unanswered = accept(&scheduler.discovery);
    read_message(&mut unanswered);
    let mut second = accept(&scheduler.discovery);
    // The first watch is still open, since it might still get a response.
    unanswered.set_nonblocking(true).expect("set_nonblocking");
    assert!(unanswered.peek(&mut [0; 1]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock));
    read_message(&mut second);
    let known = endpoint("s-a", address_of(&worker), "ready");
    send(&mut second, &format!("{RESPONSE_HEAD}{}", line_chunk(endpoint_list(2, true, &[known]))));
    scheduler.wait_until_ready();
    unanswered.set_nonblocking(false).expect("set_nonblocking");
    assert!(is_closed(&mut unanswered));
    scheduler.assert_serves(&worker, "x1");
}

#[test]
fn discovery_request_that_cannot_connect_is_soon_retried() {
    let mut scheduler = Scheduler::start(&[]);
    let (_, _watch) = scheduler.accept_watch(&[endpoint_list(1, true, &[])]);
    // A listener whose backlog is full drops SYNs, as if its machine were unreachable.
    let unreachable = bind_loopback();
    let at = address_of(&unreachable);
    let wait = ms(300);
    let _queue: Vec<TcpStream> = std::iter::from_fn(|| TcpStream::connect_timeout(&at, wait).ok()).collect();
    scheduler.reload(Some(unreachable));
    let (since, mut attempts) = (Instant::now(), std::collections::BTreeSet::new());
    while since.elapsed() < ms(3_500) {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of TCP sockets");
        let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        // Sockets in state SYN_SENT (02) to that port.
        let to = format!(":{:04X}", at.port());
        let connecting = fields.filter(|f| f.len() > 3 && f[3] == "02" && f[2].ends_with(&to));
        attempts.extend(connecting.map(|f| f[1].to_owned()));
        std::thread::sleep(ms(20));
    }
    // Two attempts would be the first request and its hedge; more show that the request was retried.
    assert!(attempts.len() > 2, "{attempts:?}");
}

#[test]
fn push_mode_opens_the_watch_at_the_start_and_again_after_its_end() {
    let worker = bind_loopback();
    let mut config = settings();
    config["discovery"] = json!("pushed");
    let scheduler = Scheduler::start_with(config, &[]);
    drop(scheduler.accept_watch(&[]));
    let known = endpoint("s-a", address_of(&worker), "ready");
    let (_, _watch) = scheduler.accept_watch(&[endpoint_list(2, true, &[known])]);
    scheduler.wait_until_ready();
    scheduler.assert_serves(&worker, "m1");
}

#[test]
fn sighup_moves_discovery_and_keeps_the_list_and_jobs_in_flight() {
    let (mut scheduler, worker) = scheduler_with_one_worker();
    let (_, old) = scheduler.accept_watch(&[endpoint_list(2, false, &[])]);
    let mut client = scheduler.send_request(&job_request("sale", "r1", ""));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    scheduler.reload(Some(bind_loopback()));
    let (request, watch) = scheduler.accept_watch(&[endpoint_list(3, false, &[])]);
    assert!(request.contains("since=2 "), "{request}");
    drop(old);
    // A configuration that can't be read changes nothing, and the watch continues.
    scheduler.reload(None);
    send(&mut attempt, &served_response("r1", "kept"));
    assert!(read_message(&mut client).ends_with("\r\n\r\nkept"));
    // If discovery closes a connection, the scheduler soon connects again, also during a shutdown.
    let later = bind_loopback();
    let (address, silent) = (address_of(&later), later);
    scheduler.reload(Some(silent));
    drop(accept(&scheduler.discovery));
    let (request, _watch) =
        scheduler.accept_watch(&[endpoint_list(4, true, &[endpoint("s-a", address, "draining")])]);
    assert!(request.contains("since=3 "), "{request}");
    drop(watch);
    scheduler.signal("-TERM");
    scheduler.reload(Some(bind_loopback()));
    let (request, _watch) = scheduler.accept_watch(&[]);
    assert!(request.contains("since=4 "), "{request}");
    assert!(scheduler.wait_for_exit().success());
}
