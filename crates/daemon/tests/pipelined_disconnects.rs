//! Clients that send further bytes before they have their response, and then disconnect. The scheduler has to
//! read past these bytes to notice the disconnect.
#![allow(missing_docs)]

mod support;

use support::{
    SYN_RETRANSMISSION_TIMEOUT, Scheduler, accept, address_of, bind_loopback, endpoint, endpoint_list,
    is_closed, job_request, job_with_time_left, line_chunk, ms, read_message, received_within,
    reset_connection, send, served_response, settings, settings_without_timeouts, start_scheduler,
    worker_with_full_backlog,
};

#[test]
fn a_disconnect_behind_more_pipelined_bytes_than_are_buffered_cancels_the_attempt() {
    let settings = settings_without_timeouts();
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings, &worker);
    for pipelined in [1, 8 * 1024, 100_000] {
        let mut client = scheduler.send_request(&job_with_time_left("view", "e1", 60_000));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        // The client sends further bytes after its request, and disconnects.
        send(&mut client, &"POST /view/k1 HTTP/1.1\r\n".repeat(pipelined / 24 + 1));
        drop(client);
        assert!(is_closed(&mut attempt), "the attempt is not cancelled after {pipelined} pipelined bytes");
        scheduler.wait_for_pending_jobs(0.0);
    }
}

#[test]
fn a_disconnect_behind_pipelined_requests_while_the_job_is_queued_starts_no_attempt() {
    let worker = bind_loopback();
    let at = address_of(&worker);
    let scheduler = Scheduler::start_with(settings_without_timeouts(), &[endpoint("s-a", at, "draining")]);
    let (_, mut watch) =
        scheduler.accept_watch(&[endpoint_list(2, true, &[endpoint("s-a", at, "draining")])]);
    for pipelined in [1, 50, 400] {
        let mut client = scheduler.send_request(&job_with_time_left("view", "q1", 60_000));
        scheduler.wait_for_pending_jobs(1.0);
        send(&mut client, &job_with_time_left("view", "q2", 60_000).repeat(pipelined));
        drop(client);
        scheduler.wait_for_pending_jobs(0.0);
    }
    let ready = endpoint_list(3, false, &[endpoint("s-a", at, "ready")]);
    send(&mut watch, &line_chunk(&ready));
    let received = received_within(&worker, vec![], ms(500));
    assert!(!received.contains("POST "), "{received}");
}

#[test]
fn a_disconnect_behind_pipelined_requests_while_the_attempt_connects_starts_no_attempt() {
    let (worker, first) = worker_with_full_backlog();
    let scheduler = start_scheduler(settings_without_timeouts(), &worker);
    for class in ["view", "sale", "buy"] {
        let mut client = scheduler.send_request(&job_with_time_left(class, "d1", 60_000));
        scheduler.wait_for_pending_jobs(1.0);
        send(&mut client, &job_with_time_left("view", "d2", 60_000).repeat(80));
        drop(client);
        scheduler.wait_for_pending_jobs(0.0);
    }
    // From here on the worker's backlog has room: the attempts' connections open with a retransmitted SYN.
    drop(first);
    let received = received_within(&worker, vec![], SYN_RETRANSMISSION_TIMEOUT);
    assert!(!received.contains("POST "), "{received}");
}

#[test]
fn a_second_request_of_a_client_that_disconnected_before_the_first_response_starts_no_attempt() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings(), &worker);
    for round in 0..5 {
        let mut client = scheduler.send_request(&job_request("view", "e1", "x"));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        send(&mut client, &job_request("view", "e2", "x"));
        scheduler.wait_for_pending_jobs(1.0);
        // The scheduler handles the response and the client's disconnect in one iteration of its event
        // loop.
        scheduler.signal("-STOP");
        send(&mut attempt, &served_response("e1", "yes"));
        drop(client);
        scheduler.resume();
        let received = received_within(&worker, vec![attempt], ms(250));
        assert_eq!(received, "", "round {round}");
    }
}

#[test]
fn a_client_that_pipelines_hundreds_of_requests_and_disconnects_starts_only_the_first() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings(), &worker);
    for is_reset in [false, true] {
        let mut client = scheduler.send_request(&job_request("view", "p0", "x"));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        let many: String = (1..300).map(|n| job_request("view", &format!("p{n}"), "x")).collect();
        send(&mut client, &many);
        if is_reset {
            reset_connection(client)
        } else {
            drop(client)
        }
        assert!(is_closed(&mut attempt), "the attempt is not cancelled");
        scheduler.wait_for_pending_jobs(0.0);
        let received = received_within(&worker, vec![], ms(400));
        assert_eq!(received, "");
    }
    assert!(scheduler.memory_kb() < 20_000, "{} kB", scheduler.memory_kb());
    scheduler.assert_serves(&worker, "p-last");
}
