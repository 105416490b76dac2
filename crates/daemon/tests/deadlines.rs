//! The time left of a job: what workers are told of it, and what happens when it runs out.
#![allow(missing_docs)]

mod support;

use serde_json::json;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{
    SYN_RETRANSMISSION_TIMEOUT, accept, address_of, bind_loopback, closing_job, count_responses, is_closed,
    job_request, job_with_time_left, ms, read_message, read_to_close, received_within, reset_connection,
    scheduler_with_one_worker, send, served_response, set_in_each_class, settings,
    settings_that_cancel_no_attempt, start_scheduler, time_left_sent, trace_id, with_time_left,
    worker_with_full_backlog,
};

#[test]
fn a_retry_tells_its_worker_at_most_the_time_left() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings(), &worker);
    for class in ["view", "buy"] {
        let submitted = Instant::now();
        let mut client = scheduler.send_request(&job_request(class, &format!("t-{class}"), "x"));
        let mut attempt = accept(&worker);
        let first = time_left_sent(&read_message(&mut attempt));
        assert!(first <= 4_000.0, "{class}: {first}");
        for number in 1..3 {
            std::thread::sleep(ms(400));
            let spent = submitted.elapsed().as_secs_f64() * 1_000.0;
            reset_connection(attempt);
            attempt = accept(&worker);
            let time_left = time_left_sent(&read_message(&mut attempt));
            assert!(time_left <= 4_000.0 - spent + 150.0, "{class} {number}: {time_left} after {spent}");
        }
        send(&mut attempt, &served_response(&format!("t-{class}"), "yes"));
        assert!(read_message(&mut client).ends_with("\r\n\r\nyes"));
    }
}

#[test]
fn an_attempt_that_connects_late_tells_its_worker_the_time_left_at_that_moment() {
    let (worker, first) = worker_with_full_backlog();
    let mut settings = settings();
    settings["limits"]["connect-timeout"] = json!(3_000.0);
    let scheduler = start_scheduler(settings, &worker);
    drop((worker.accept().expect("the connection in the backlog"), first));
    let submitted = Instant::now();
    let _client = scheduler.send_request(&job_request("view", "v1", "x"));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let in_backlog = TcpStream::connect(address_of(&worker)).expect("capacity for one");
    reset_connection(attempt);
    std::thread::sleep(ms(600));
    let spent = submitted.elapsed().as_secs_f64() * 1_000.0;
    drop((worker.accept().expect("the connection in the backlog"), in_backlog));
    let mut attempt = accept(&worker);
    let time_left = time_left_sent(&read_message(&mut attempt));
    assert!(time_left <= 4_000.0 - spent + 150.0, "{time_left} after {spent}");
}

#[test]
fn a_slowly_written_request_is_attempted_with_the_time_left() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings(), &worker);
    let request = job_request("view", "w1", "0123456789");
    let (head, body) = request.split_at(request.len() - 10);
    let submitted = Instant::now();
    let mut client = scheduler.send_request(head);
    std::thread::sleep(ms(800));
    let spent = submitted.elapsed().as_secs_f64() * 1_000.0;
    send(&mut client, body);
    let mut attempt = accept(&worker);
    let time_left = time_left_sent(&read_message(&mut attempt));
    assert!(time_left <= 4_000.0 - spent + 150.0, "{time_left} after {spent}");
}

#[test]
fn a_pipelined_request_is_attempted_with_the_time_left_after_its_wait() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings(), &worker);
    let submitted = Instant::now();
    let _client = scheduler.send_request(&format!(
        "{}{}",
        job_request("view", "b1", "x"),
        job_request("view", "b2", "x")
    ));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    std::thread::sleep(ms(800));
    let spent = submitted.elapsed().as_secs_f64() * 1_000.0;
    send(&mut attempt, &served_response("b1", "yes"));
    let request = read_message(&mut attempt);
    assert_eq!(trace_id(&request), Some("b2"));
    assert!(
        time_left_sent(&request) <= 4_000.0 - spent + 150.0,
        "{} after {spent}",
        time_left_sent(&request)
    );
}

#[test]
fn a_pipelined_request_that_expires_in_its_wait_is_rejected_without_an_attempt() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings(), &worker);
    let first = job_request("view", "z1", "x");
    let mut client = scheduler.send_request(&format!("{first}{}", closing_job("sale", "z2", 500)));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    std::thread::sleep(ms(700));
    send(&mut attempt, &served_response("z1", "yes"));
    assert!(read_message(&mut client).ends_with("\r\n\r\nyes"));
    let (text, _) = read_to_close(&mut client);
    assert!(count_responses(&text) == 1 && text.starts_with("HTTP/1.1 503 "), "{text:?}");
    assert_eq!(received_within(&worker, vec![attempt], ms(100)), "");
}

#[test]
fn a_job_that_expires_while_its_attempt_connects_is_rejected_and_never_sent() {
    let (worker, first) = worker_with_full_backlog();
    let mut settings = settings_that_cancel_no_attempt();
    set_in_each_class(&mut settings, "hard-limit", 700.0);
    let scheduler = start_scheduler(settings, &worker);
    for class in ["view", "sale", "buy"] {
        let mut client = scheduler.send_request(&job_with_time_left(class, &format!("t-{class}"), 700));
        let answer = read_message(&mut client);
        assert!(answer.starts_with("HTTP/1.1 503 "), "{class}: {answer}");
    }
    drop(first);
    let received = received_within(&worker, vec![], SYN_RETRANSMISSION_TIMEOUT);
    assert!(!received.contains("X-Trace-Id: t-"), "{received}");
}

#[test]
fn a_worker_that_does_not_respond_fails_its_job_at_the_deadline_and_no_other() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let since = Instant::now();
    let mut client = scheduler.send_request(&with_time_left(&job_request("sale", "q1", ""), 300));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    assert!(read_message(&mut client).starts_with("HTTP/1.1 502 "));
    assert!(since.elapsed() >= ms(300) && since.elapsed() < Duration::from_secs(5));
    // The worker is told of the cancellation by the close of its connection.
    assert!(is_closed(&mut attempt));
    scheduler.assert_serves(&worker, "q2");
}
