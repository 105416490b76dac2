//! Graceful shutdown: requests and responses that arrive at the same time as a close or the answer deadline.
//!
//! The tests force the order of events by what they send, or by stopping the scheduler (SIGSTOP) until
//! everything has arrived.
#![allow(missing_docs)]

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;
use support::{
    accept, assert_served_on, bind_loopback, chunk, closing_job, connect_with_small_buffer, count_attempts,
    count_responses, is_closed, job_with_time_left, ms, read_message, read_to_close, received_within,
    reset_connection, send, served_response, settings_with_deadline, sigkill_time, sleep_until, spawn_worker,
    start_scheduler, start_scheduler_at, trace_id,
};

#[test]
fn requests_racing_the_close_of_idle_connections_are_answered_or_never_attempted() {
    let (address, received) = spawn_worker(0);
    let mut scheduler = start_scheduler_at(settings_with_deadline(1_500.0), address);
    scheduler.wait_until_ready();
    let mut clients: Vec<TcpStream> = (0..320).map(|_| scheduler.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_served_on(client, &job_with_time_left("view", &format!("before{n}"), 1_500));
    }
    let sigterm_at = scheduler.send_sigterm();
    // The scheduler closes idle connections 0.6 * 1.9 s = 1.14 s after SIGTERM, which takes some milliseconds
    // for this many. Around that time, four clients send in each millisecond.
    let send_at_close = |(n, mut client): (usize, TcpStream)| {
        std::thread::spawn(move || {
            sleep_until(sigterm_at + ms(1_140 - 40) + ms(n as u64) / 4);
            let _ = client.write_all(job_with_time_left("sale", &format!("at{n}"), 1_500).as_bytes());
            (format!("at{n}"), read_to_close(&mut client).0)
        })
    };
    let threads: Vec<_> = clients.into_iter().enumerate().map(send_at_close).collect();
    let mut served = 0;
    for thread in threads {
        let (id, text) = thread.join().expect("a client");
        let attempts = count_attempts(&received, &id);
        let is_served =
            text.starts_with("HTTP/1.1 200 ") && text.ends_with("\r\n\r\nyes") && count_responses(&text) == 1;
        let is_rejected = text.is_empty() || text.starts_with("HTTP/1.1 503 ") && count_responses(&text) == 1;
        assert!(
            attempts == 1 && is_served || attempts == 0 && is_rejected,
            "{id}: {attempts} attempts, {text:?}"
        );
        served += attempts;
    }
    assert!(served > 0, "no request arrived before the close");
    assert!(scheduler.wait_for_exit().success() && Instant::now() < sigkill_time(sigterm_at, 1_500));
}

#[test]
fn a_request_read_in_the_same_turn_as_the_close_is_answered_before_sigkill() {
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings_with_deadline(1_500.0), &worker);
    scheduler.wait_until_ready();
    let mut client = scheduler.connect();
    send(&mut client, &job_with_time_left("sale", "r0", 1_500));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    send(&mut attempt, &served_response("r0", "yes"));
    assert!(read_message(&mut client).starts_with("HTTP/1.1 200 "));
    let sigterm_at = scheduler.send_sigterm();
    // The scheduler is stopped at the time of the close. The request arrives before that time and is read
    // after it.
    sleep_until(sigterm_at + ms(900));
    scheduler.signal("-STOP");
    send(&mut client, &job_with_time_left("sale", "r1", 1_500));
    sleep_until(sigterm_at + ms(1_250));
    scheduler.resume();
    let (text, _) = read_to_close(&mut client);
    assert!(Instant::now() < sigkill_time(sigterm_at, 1_500), "{text}");
    // The worker does not respond, so a response can only be an error from the scheduler itself.
    let received = received_within(&worker, vec![attempt], ms(100));
    let is_answered = count_responses(&text) == 1 && text.starts_with("HTTP/1.1 50");
    assert!(is_answered || text.is_empty() && !received.contains("r1"), "{text:?} {received:?}");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
}

#[test]
fn a_request_after_the_shutdowns_answer_deadline_is_rejected_without_an_attempt() {
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings_with_deadline(800.0), &worker);
    scheduler.wait_until_ready();
    let sigterm_at = scheduler.send_sigterm();
    // The job's own deadline is 1.3 s after SIGTERM, later than the shutdown's answer deadline at 1.2 s.
    sleep_until(sigterm_at + ms(500));
    let mut hung = scheduler.send_request(&job_with_time_left("sale", "l1", 800));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let answer = read_message(&mut hung);
    assert!(
        answer.starts_with("HTTP/1.1 502 ") && Instant::now() < sigkill_time(sigterm_at, 800),
        "{answer}"
    );
    // As long as this client keeps its connection open, the process does not exit.
    for class in ["view", "sale", "buy"] {
        let (text, _) = read_to_close(&mut scheduler.send_request(&job_with_time_left(
            class,
            &format!("l2-{class}"),
            800,
        )));
        assert!(count_responses(&text) == 1 && text.starts_with("HTTP/1.1 503 "), "{class}: {text:?}");
    }
    let received = received_within(&worker, vec![], ms(100));
    assert_eq!(received, "");
    drop(hung);
    assert!(scheduler.wait_for_exit().success());
}

#[test]
fn requests_behind_the_last_response_of_a_shutdown_start_no_attempt_and_do_not_truncate_it() {
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings_with_deadline(1_500.0), &worker);
    scheduler.wait_until_ready();
    let mut client = connect_with_small_buffer(&scheduler);
    send(&mut client, &job_with_time_left("sale", "u1", 1_500));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let sigterm_at = scheduler.send_sigterm();
    send(&mut client, &job_with_time_left("view", "u2", 1_500));
    // Idle connections have been closed by then.
    sleep_until(sigterm_at + ms(1_250));
    let large = "z".repeat(60_000);
    send(&mut attempt, &served_response("u1", &large));
    // While the response is still being sent, another request arrives, with much data that is never read.
    // Closing a socket with unread data resets the connection, which would truncate the response.
    std::thread::sleep(ms(50));
    send(&mut client, &job_with_time_left("view", "u3", 1_500));
    send(&mut client, &"x".repeat(100_000));
    let (text, is_clean) = read_to_close(&mut client);
    assert!(is_clean, "reset after {} bytes", text.len());
    assert!(count_responses(&text) == 1 && text.starts_with("HTTP/1.1 200 ") && text.ends_with(&large));
    let received = received_within(&worker, vec![attempt], ms(100));
    assert_eq!(received, "");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
}

/// What happens after half a line of a worker's response has arrived, during a graceful shutdown.
#[derive(Debug)]
enum LineRest {
    NeverArrives,
    Reset,
    /// The rest arrives before the request's deadline, but is read only after that deadline and the
    /// shutdown's answer deadline.
    ArrivesAtTheLastMoment,
}

fn partial_line_at_shutdown(rest: LineRest) {
    // If nothing more arrives, the request's own deadline is after SIGKILL.
    let deadline = if let LineRest::NeverArrives = rest { 5_000 } else { 800 };
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings_with_deadline(deadline as f64), &worker);
    scheduler.wait_until_ready();
    let mut client = scheduler.send_request(&closing_job("sale", "h1", deadline));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let response = served_response("h1", "yes");
    let (front, last) = response.split_at(response.len() - 40);
    send(&mut attempt, front);
    let sigterm_at = scheduler.send_sigterm();
    let status = match rest {
        LineRest::NeverArrives => "502",
        LineRest::Reset => {
            reset_connection(attempt);
            "502"
        }
        LineRest::ArrivesAtTheLastMoment => {
            sleep_until(sigterm_at + ms(500));
            scheduler.signal("-STOP");
            send(&mut attempt, last);
            sleep_until(sigterm_at + ms(1_250));
            scheduler.resume();
            "200"
        }
    };
    let (text, _) = read_to_close(&mut client);
    assert!(Instant::now() < sigkill_time(sigterm_at, deadline), "{rest:?}: {text}");
    assert!(
        count_responses(&text) == 1 && text.starts_with(&format!("HTTP/1.1 {status} ")),
        "{rest:?}: {text:?}"
    );
    assert_eq!(received_within(&worker, vec![], ms(50)), "", "{rest:?}: a second execution");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
}

#[test]
fn a_partial_response_line_at_shutdown_leaves_one_answer_when_the_rest_never_arrives() {
    partial_line_at_shutdown(LineRest::NeverArrives);
}

#[test]
fn a_partial_response_line_at_shutdown_leaves_one_answer_when_a_reset_follows() {
    partial_line_at_shutdown(LineRest::Reset);
}

#[test]
fn a_partial_response_line_at_shutdown_is_served_when_the_rest_arrives_at_the_last_moment() {
    partial_line_at_shutdown(LineRest::ArrivesAtTheLastMoment);
}

#[test]
fn a_partial_line_on_an_idle_worker_connection_is_no_part_of_the_next_response() {
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings_with_deadline(1_500.0), &worker);
    scheduler.wait_until_ready();
    let mut idle = scheduler.assert_serves(&worker, "i0");
    scheduler.send_sigterm();
    // Before the scheduler reads again, half a response line that belongs to no request and the next request
    // have both arrived.
    scheduler.signal("-STOP");
    send(&mut idle, &chunk("{\"id\":\"i1\",\"state\":\"do"));
    let mut client = scheduler.send_request(&closing_job("view", "i1", 1_500));
    scheduler.resume();
    assert!(is_closed(&mut idle), "a request was sent on this connection");
    let mut attempt = accept(&worker);
    assert_eq!(trace_id(&read_message(&mut attempt)), Some("i1"));
    send(&mut attempt, &served_response("i1", "yes"));
    let (text, _) = read_to_close(&mut client);
    assert!(count_responses(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{text:?}");
}
