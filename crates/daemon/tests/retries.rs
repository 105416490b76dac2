//! When a job is retried: if it never ran, or if it is safe to run again, and only within its retry window.
#![allow(missing_docs)]

mod support;

use serde_json::json;
use std::io::{BufReader, ErrorKind};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{
    RESPONSE_HEAD, SYN_RETRANSMISSION_TIMEOUT, Scheduler, TEST_TIMEOUT, accept, address_of, bind_loopback,
    chunk, closing_job, count_attempts, count_responses, endpoint, job_request, job_with_time_left, ms,
    next_request, read_message, read_to_close, received_within, reset_connection, scheduler_with_one_worker,
    send, served_response, settings, settings_that_cancel_no_attempt, spawn_worker, start_scheduler,
    start_scheduler_at, wait_until_read, wait_until_worker_connection_is_reusable, worker_with_full_backlog,
};

#[test]
fn a_job_that_may_have_run_is_retried_only_if_its_class_is_safe_to_repeat() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let mut client = scheduler.send_request(&job_request("sale", "c1", ""));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    send(&mut attempt, &format!("{RESPONSE_HEAD}{}", chunk("{\"id\":\"c1\",\"state\":\"started\"}\n")));
    drop(attempt);
    assert!(read_message(&mut client).starts_with("HTTP/1.1 502 "));
    // A job without side effects is retried.
    let mut client = scheduler.send_request(&job_request("view", "c2", ""));
    drop((read_message(&mut accept(&worker)), ()));
    let mut attempt = accept(&worker);
    assert!(read_message(&mut attempt).contains("X-Trace-Id: c2\r\n"));
    send(&mut attempt, &served_response("c2", "retried"));
    assert!(read_message(&mut client).ends_with("\r\n\r\nretried"));
}

/// Resets a connection as soon as bytes of the next request have arrived on it.
fn reset_at_next_request(stream: TcpStream) {
    stream.peek(&mut [0; 1]).expect("a request");
    // Closing a socket with unread input resets the connection.
    drop(stream);
}

#[test]
fn after_a_reused_connection_was_reset_jobs_use_new_ones_and_an_incomplete_request_is_retried() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let idle = scheduler.assert_serves(&worker, "w0");
    let mut client = scheduler.send_request(&job_request("view", "w1", ""));
    reset_at_next_request(idle);
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    send(&mut attempt, &served_response("w1", "retried"));
    assert!(read_message(&mut client).ends_with("retried"));
    // That connection stays open but is not reused.
    let _attempts = [attempt, scheduler.assert_serves(&worker, "w2"), scheduler.assert_serves(&worker, "w3")];
    // The last byte of a non-idempotent request is withheld. If the connection is reset before that byte is
    // sent, the job never ran and is retried. In some rounds the reset may come too late for that.
    let retried = (0..20).filter(|n| {
        let mut client = scheduler.send_request(&job_request(
            "sale",
            &format!("w4{n}"),
            if n % 2 == 0 { "" } else { "body" },
        ));
        reset_at_next_request(accept(&worker));
        client.set_nonblocking(true).expect("set_nonblocking");
        worker.set_nonblocking(true).expect("set_nonblocking");
        let since = Instant::now();
        let second = loop {
            match (worker.accept(), client.peek(&mut [0; 1])) {
                (Ok((stream, _)), _) => break Some(stream),
                (_, Ok(_)) => break None,
                _ => assert!(
                    since.elapsed() < Duration::from_secs(20),
                    "neither an answer nor a second attempt"
                ),
            }
        };
        let Some(mut second) = second else { return false };
        second.set_nonblocking(false).expect("set_nonblocking");
        assert!(read_message(&mut second).ends_with(if n % 2 == 0 { "\r\n\r\n" } else { "\r\n\r\nbody" }));
        send(&mut second, &served_response(&format!("w4{n}"), "retried"));
        client.set_nonblocking(false).expect("set_nonblocking");
        read_message(&mut client).ends_with("retried")
    });
    assert!(retried.count() > 0);
}

#[test]
fn a_job_whose_connection_is_refused_is_retried_elsewhere() {
    let worker = bind_loopback();
    // Nothing listens on the local port of an open client connection, and no other test can get that port.
    let other = bind_loopback();
    let open = TcpStream::connect(address_of(&other)).expect("connected");
    let refusing = open.local_addr().expect("local_addr");
    let alive = endpoint("s-a", address_of(&worker), "ready");
    let scheduler = Scheduler::start(&[alive, endpoint("s-b", refusing, "ready")]);
    let mut idle = None;
    for id in ["d0", "d1", "d2", "d3", "d4", "d5"] {
        let mut client = scheduler.send_request(&job_request("sale", id, ""));
        let mut attempt = idle.take().unwrap_or_else(|| accept(&worker));
        read_message(&mut attempt);
        send(&mut attempt, &served_response(id, "result"));
        assert!(read_message(&mut client).ends_with("\r\n\r\nresult"));
        idle = Some(attempt);
        wait_until_worker_connection_is_reusable();
    }
}

#[test]
fn a_job_returned_unstarted_is_retried_elsewhere() {
    // Three workers share one address, so that the order in which they are selected does not matter.
    let worker = bind_loopback();
    let at = address_of(&worker);
    let scheduler = Scheduler::start(&["s-a", "s-b", "s-c"].map(|name| endpoint(name, at, "ready")));
    let mut client = scheduler.send_request(&job_request("sale", "l1", ""));
    let rejection = "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\
        Endpoint-Load-Metrics: TEXT x0=0, inflight=9\r\n\r\n";
    let returned = chunk("{\"id\":\"l1\",\"state\":\"returned\",\"load\":{\"x0\":0}}\n");
    for answer in
        [rejection.to_owned(), format!("{RESPONSE_HEAD}{returned}0\r\n\r\n"), served_response("l1", "third")]
    {
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        send(&mut attempt, &answer);
    }
    assert!(read_message(&mut client).ends_with("\r\n\r\nthird"));
}

#[test]
fn a_reset_at_any_byte_of_a_response_ends_the_attempt_as_one_that_may_have_run() {
    let started = chunk("{\"id\":\"x1\",\"state\":\"started\"}\n");
    let last = "{\"id\":\"x1\",\"state\":\"done\",\"result\":\"yes\"}\n";
    let whole = format!("{RESPONSE_HEAD}{started}{}", chunk(last));
    let cuts = [
        ("before the first byte", 0),
        ("in the status line", 9),
        ("in the head", RESPONSE_HEAD.len() - 3),
        ("after the head", RESPONSE_HEAD.len()),
        ("in a chunk's length", RESPONSE_HEAD.len() + 1),
        ("in the first line", RESPONSE_HEAD.len() + 12),
        ("after the first line", RESPONSE_HEAD.len() + started.len()),
        ("in the last line", whole.len() - 20),
    ];
    for class in ["view", "sale", "buy"] {
        for (region, cut) in cuts {
            let (scheduler, worker) = scheduler_with_one_worker();
            let mut client = scheduler.send_request(&job_request(class, "x1", "x"));
            let mut attempt = accept(&worker);
            read_message(&mut attempt);
            send(&mut attempt, &whole[..cut]);
            if cut > 0 {
                // The scheduler reads what was sent before the reset, which would discard unread input.
                wait_until_read(&attempt);
            }
            reset_connection(attempt);
            if class == "sale" {
                let answer = read_message(&mut client);
                assert!(answer.starts_with("HTTP/1.1 502 "), "{region}: {answer}");
                assert_eq!(received_within(&worker, vec![], ms(100)), "", "{region}: a second execution");
            } else {
                // These classes are safe to retry, until the client's deadline.
                let mut retry = accept(&worker);
                assert!(read_message(&mut retry).contains("X-Trace-Id: x1\r\n"), "{region}");
                send(&mut retry, &served_response("x1", "retried"));
                let answer = read_message(&mut client);
                assert!(answer.ends_with("\r\n\r\nretried"), "{class} {region}: {answer}");
            }
        }
    }
}

#[test]
fn a_new_connection_that_the_worker_closes_unread_leaves_one_answer_and_no_second_execution() {
    for class in ["view", "sale", "buy"] {
        let (address, received) = spawn_worker(1);
        let scheduler = start_scheduler_at(settings(), address);
        let (text, _) = read_to_close(&mut scheduler.send_request(&closing_job(class, "x1", 4_000)));
        assert_eq!(count_responses(&text), 1, "{class}: {text:?}");
        let runs = count_attempts(&received, "x1");
        let served = text.ends_with("\r\n\r\nyes") && runs == 1;
        // A non-idempotent job that the worker may have read is not retried.
        let failed = class == "sale" && text.starts_with("HTTP/1.1 50") && runs == 0;
        assert!(served || failed, "{class}: {runs} runs, {text:?}");
    }
}

#[test]
fn a_retry_that_connects_after_its_retry_window_is_not_sent() {
    let mut settings = settings_that_cancel_no_attempt();
    settings["classes"][2]["window"] = json!(500.0);
    let (worker, first) = worker_with_full_backlog();
    let scheduler = start_scheduler(settings, &worker);
    drop((worker.accept().expect("the connection in the backlog"), first));
    let mut client = scheduler.send_request(&job_with_time_left("buy", "w1", 60_000));
    let mut attempt = accept(&worker);
    assert!(read_message(&mut attempt).contains("X-Trace-Id: w1\r\n"));
    // The job may have run, so it may be retried only within the window of 500 ms. The full backlog delays
    // the retry's connection beyond that.
    let in_backlog = TcpStream::connect(address_of(&worker)).expect("capacity for one");
    reset_connection(attempt);
    std::thread::sleep(ms(600));
    drop(in_backlog);
    let received = received_within(&worker, vec![], SYN_RETRANSMISSION_TIMEOUT);
    assert!(!received.contains("X-Trace-Id: w1"), "{received}");
    let answer = read_message(&mut client);
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    scheduler.assert_serves(&worker, "w2");
}

/// Runs one job with an idempotency key and a retry window of 300 ms on a worker that resets each attempt
/// after `wait`. Returns for each retry the time from the arrival of the first attempt to the reset that the
/// retry followed. The first attempt was sent before its arrival and each retry after its reset, so this is
/// never longer than the time from the start of the first attempt to that of the retry: delays on a busy
/// machine can't make a retry look too late.
fn reset_times_before_retries(wait: Duration) -> Vec<Duration> {
    let mut settings = settings();
    settings["classes"][2]["window"] = json!(300.0);
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings, &worker);
    let mut client = scheduler.send_request(&closing_job("buy", "k1", 4_000));
    worker.set_nonblocking(true).expect("set_nonblocking");
    client.set_nonblocking(true).expect("set_nonblocking");
    let (mut resets, since) = (Vec::new(), Instant::now());
    let mut first = None;
    // Until the job is answered.
    while matches!(client.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock) {
        assert!(since.elapsed() < TEST_TIMEOUT, "the job was not answered");
        if let Ok((stream, _)) = worker.accept() {
            stream.set_nonblocking(false).expect("set_nonblocking");
            let mut reader = BufReader::new(stream);
            assert!(next_request(&mut reader).is_some(), "the request of an attempt is incomplete");
            let first = *first.get_or_insert_with(Instant::now);
            std::thread::sleep(wait);
            resets.push(first.elapsed());
            reset_connection(reader.into_inner());
        }
        std::thread::sleep(ms(1));
    }
    client.set_nonblocking(false).expect("set_nonblocking");
    let (text, _) = read_to_close(&mut client);
    assert!(count_responses(&text) == 1 && text.starts_with("HTTP/1.1 502 "), "{text:?}");
    // No attempt starts after the answer.
    assert_eq!(received_within(&worker, vec![], ms(400)), "");
    // No attempt followed the last reset.
    resets.pop();
    resets
}

#[test]
fn retries_start_within_a_retry_window_of_300_ms_and_none_after_it() {
    assert!(!reset_times_before_retries(ms(20)).is_empty(), "no retry within the window");
    for wait in [120, 350] {
        let resets = reset_times_before_retries(ms(wait));
        assert!(resets.iter().all(|&at| at < ms(300)), "{wait}: {resets:?}");
    }
}
