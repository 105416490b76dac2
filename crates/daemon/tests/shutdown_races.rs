//! Graceful shutdown: requests and responses that arrive in the same instant as a close or the last answers.
//!
//! The order of events is forced by what is sent, or by pausing the scheduler (SIGSTOP) until all of it has come.
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
    let since = scheduler.terminate();
    // They are closed 0.6 of 1.9 s after SIGTERM, which takes some milliseconds for so many. Four of them send in each
    // millisecond around that.
    let sends = |(n, mut client): (usize, TcpStream)| {
        std::thread::spawn(move || {
            sleep_until(since + ms(1_140 - 40) + ms(n as u64) / 4);
            let _ = client.write_all(job_with_time_left("sale", &format!("at{n}"), 1_500).as_bytes());
            (format!("at{n}"), read_to_close(&mut client).0)
        })
    };
    let sending: Vec<_> = clients.into_iter().enumerate().map(sends).collect();
    let mut served = 0;
    for thread in sending {
        let (id, text) = thread.join().expect("a client");
        let attempts = count_attempts(&received, &id);
        let whole =
            text.starts_with("HTTP/1.1 200 ") && text.ends_with("\r\n\r\nyes") && count_responses(&text) == 1;
        let refused = text.is_empty() || text.starts_with("HTTP/1.1 503 ") && count_responses(&text) == 1;
        assert!(attempts == 1 && whole || attempts == 0 && refused, "{id}: {attempts} attempts, {text:?}");
        served += attempts;
    }
    assert!(served > 0, "none arrived before the close");
    assert!(scheduler.wait_for_exit().success() && Instant::now() < sigkill_time(since, 1_500));
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
    let since = scheduler.terminate();
    // It is paused at the moment of its close; the request arrives before that, and is read after it.
    sleep_until(since + ms(900));
    scheduler.signal("-STOP");
    send(&mut client, &job_with_time_left("sale", "r1", 1_500));
    sleep_until(since + ms(1_250));
    scheduler.resume();
    let (text, _) = read_to_close(&mut client);
    assert!(Instant::now() < sigkill_time(since, 1_500), "{text}");
    // The worker sends nothing, so that only an answer of the scheduler's own can be there.
    let received = received_within(&worker, vec![attempt], ms(100));
    let answered = count_responses(&text) == 1 && text.starts_with("HTTP/1.1 50");
    assert!(answered || text.is_empty() && !received.contains("r1"), "{text:?} {received:?}");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
}

#[test]
fn a_request_after_the_shutdowns_answer_deadline_is_rejected_without_an_attempt() {
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings_with_deadline(800.0), &worker);
    scheduler.wait_until_ready();
    let since = scheduler.terminate();
    // Its own deadline is after the answer deadline of the shutdown, 1.2 s after SIGTERM.
    sleep_until(since + ms(500));
    let mut hung = scheduler.send_request(&job_with_time_left("sale", "l1", 800));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let answer = read_message(&mut hung);
    assert!(answer.starts_with("HTTP/1.1 502 ") && Instant::now() < sigkill_time(since, 800), "{answer}");
    // This client's end of the connection stays open, so that the process is still there.
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
    let since = scheduler.terminate();
    send(&mut client, &job_with_time_left("view", "u2", 1_500));
    // After the time at which idle connections are closed.
    sleep_until(since + ms(1_250));
    let large = "z".repeat(60_000);
    send(&mut attempt, &served_response("u1", &large));
    // One more behind the response, with much that nobody will read, while the response is still being sent.
    std::thread::sleep(ms(50));
    send(&mut client, &job_with_time_left("view", "u3", 1_500));
    send(&mut client, &"x".repeat(100_000));
    let (text, clean) = read_to_close(&mut client);
    assert!(clean, "reset after {} bytes", text.len());
    assert!(count_responses(&text) == 1 && text.starts_with("HTTP/1.1 200 ") && text.ends_with(&large));
    let received = received_within(&worker, vec![attempt], ms(100));
    assert_eq!(received, "");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
}

/// What follows half a line of a worker's response, at a graceful shutdown.
#[derive(Debug)]
enum LineRest {
    NeverArrives,
    Reset,
    /// It arrives before the request's deadline, and is read after that and the shutdown's answer deadline.
    ArrivesAtTheLastMoment,
}

fn partial_line_at_shutdown(rest: LineRest) {
    // Where nothing more arrives, the request's own deadline is after SIGKILL.
    let deadline = if let LineRest::NeverArrives = rest { 5_000 } else { 800 };
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings_with_deadline(deadline as f64), &worker);
    scheduler.wait_until_ready();
    let mut client = scheduler.send_request(&closing_job("sale", "h1", deadline));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let whole = served_response("h1", "yes");
    let (front, last) = whole.split_at(whole.len() - 40);
    send(&mut attempt, front);
    let since = scheduler.terminate();
    let status = match rest {
        LineRest::NeverArrives => "502",
        LineRest::Reset => {
            reset_connection(attempt);
            "502"
        }
        LineRest::ArrivesAtTheLastMoment => {
            sleep_until(since + ms(500));
            scheduler.signal("-STOP");
            send(&mut attempt, last);
            sleep_until(since + ms(1_250));
            scheduler.resume();
            "200"
        }
    };
    let (text, _) = read_to_close(&mut client);
    assert!(Instant::now() < sigkill_time(since, deadline), "{rest:?}: {text}");
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
    scheduler.terminate();
    // Both have arrived when it reads: half a line of nobody's response, and the next request.
    scheduler.signal("-STOP");
    send(&mut idle, &chunk("{\"id\":\"i1\",\"state\":\"do"));
    let mut client = scheduler.send_request(&closing_job("view", "i1", 1_500));
    scheduler.resume();
    assert!(is_closed(&mut idle), "a request was sent on it");
    let mut attempt = accept(&worker);
    assert_eq!(trace_id(&read_message(&mut attempt)), Some("i1"));
    send(&mut attempt, &served_response("i1", "yes"));
    let (text, _) = read_to_close(&mut client);
    assert!(count_responses(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{text:?}");
}
