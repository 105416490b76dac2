//! Worker responses: split, malformed, duplicate and endless ones.
#![allow(missing_docs)]

mod support;

use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::Instant;
use support::{
    RESPONSE_HEAD, TEST_TIMEOUT, accept, bind_loopback, chunk, closing_job, count_responses, is_closed,
    job_request, job_with_time_left, line_chunk, ms, next_request_on_any, read_message, read_to_close,
    received_within, scheduler_with_one_worker, send, served_response, settings, settings_with_deadline,
    start_scheduler, trace_id, wait_until_worker_connection_is_reusable,
};

#[test]
fn response_lines_split_and_joined_across_reads_are_reassembled() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let mut client = scheduler.send_request(&job_request("sale", "a1", &"b".repeat(64 * 1024)));
    let mut attempt = accept(&worker);
    let request = read_message(&mut attempt);
    assert!(
        request.starts_with("POST /sale/k1 HTTP/1.1\r\n") && request.contains("Idempotency-Key: key-a1\r\n")
    );
    assert!(request.ends_with(&"b".repeat(64 * 1024)));
    let last = r#"{"id":"a1","state":"done","result":"say \"hi\"\u0021"}"#;
    let body = format!(
        "{{\"id\":\"a1\",\"state\":\"started\"}}\n\
         {{\"id\":\"a1\",\"state\":\"running\",\"share\":0.4}}\n{last}\n"
    );
    let (front, rest) = body.split_at(body.len() - 9);
    let wire = format!("{RESPONSE_HEAD}{}{}0\r\n\r\n", chunk(front), chunk(rest));
    for part in wire.as_bytes().chunks(7) {
        send(&mut attempt, std::str::from_utf8(part).expect("ASCII"));
        std::thread::sleep(ms(1));
    }
    assert!(read_message(&mut client).ends_with("\r\n\r\nsay \"hi\"!"));
    // The next job reuses the connection, which has been idle for long enough.
    wait_until_worker_connection_is_reusable();
    send(&mut client, &job_request("sale", "a2", ""));
    assert!(read_message(&mut attempt).contains("X-Trace-Id: a2\r\n"));
    send(&mut attempt, &served_response("a2", "two"));
    assert!(read_message(&mut client).ends_with("\r\n\r\ntwo"));
}

#[test]
fn a_job_whose_response_precedes_the_read_of_its_request_fails_and_is_sent_once() {
    let (scheduler, worker) = scheduler_with_one_worker();
    // This worker sends a malformed response before it reads the request. The request may have been written
    // by then, so the job may run and must not be retried.
    let responding = std::thread::spawn(move || {
        let respond_first = |_| {
            let mut stream = accept(&worker);
            send(&mut stream, "nonsense\r\n\r\n");
            stream
        };
        (0..200).map(respond_first).map(|mut stream| read_message(&mut stream)).collect::<Vec<_>>()
    });
    for n in 0..200 {
        let answer = read_message(&mut scheduler.send_request(&job_request("sale", &format!("o{n}"), "")));
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    }
    let requests = responding.join().expect("the worker thread ends");
    let count_sent = |n: usize| {
        requests.iter().filter(|request| request.contains(&format!("X-Trace-Id: o{n}\r\n"))).count()
    };
    assert!((0..200).all(|n| count_sent(n) == 1));
}

#[test]
fn a_job_that_a_worker_answers_with_4xx_fails_without_a_retry() {
    let (scheduler, worker) = scheduler_with_one_worker();
    for status in ["400 Bad Request", "404 Not Found"] {
        let mut client = scheduler.send_request(&job_request("view", "u1", ""));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        send(&mut attempt, &format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
        let answer = read_message(&mut client);
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    }
    scheduler.assert_serves(&worker, "u2");
}

#[test]
fn malformed_input_from_workers_and_peers_fails_only_its_exchange() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let unknown_peer = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    for message in [&b"\xff\xfe"[..], b"0abc", &[b'0'; 300], b""] {
        scheduler.peer.send_to(message, scheduler.peer_address).expect("sent");
        unknown_peer.send_to(message, scheduler.peer_address).expect("sent");
    }
    let malformed = [
        "HTTP/9 what\r\n\r\n".to_owned(),
        format!("{RESPONSE_HEAD}xyz\r\n"),
        format!("{RESPONSE_HEAD}{}", chunk("not json\n")),
        format!("{RESPONSE_HEAD}{}", chunk("{\"id\":\"other\",\"state\":\"done\",\"result\":\"x\"}\n")),
        format!("{RESPONSE_HEAD}{}0\r\n\r\n", chunk("{\"id\":\"g\",\"state\":\"done\"}\n")),
        format!("{RESPONSE_HEAD}0\r\n\r\n"),
    ];
    for answer in malformed {
        let mut client = scheduler.send_request(&job_request("sale", "g", ""));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        send(&mut attempt, &answer);
        let answer = read_message(&mut client);
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        attempt.shutdown(Shutdown::Both).unwrap_or_default();
    }
    scheduler.assert_serves(&worker, "g2");
}

#[test]
fn a_response_line_without_the_requests_id_fails_the_attempt() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let lines = [
        r#"{"state":"done","result":"unassigned"}"#,
        r#"{"id":"other","state":"done","result":"unassigned"}"#,
        r#"{"state":"returned"}"#,
    ];
    for line in lines {
        let mut client = scheduler.send_request(&job_request("sale", "l1", "x"));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        send(&mut attempt, &format!("{RESPONSE_HEAD}{}0\r\n\r\n", line_chunk(line)));
        let answer = read_message(&mut client);
        // The job may have run, so it is neither served, nor rejected, nor retried.
        assert!(answer.starts_with("HTTP/1.1 502 "), "{line} {answer}");
    }
}

#[test]
fn a_late_duplicate_response_is_not_taken_for_the_response_to_the_next_request() {
    let (scheduler, worker) = scheduler_with_one_worker();
    // Both requests are pipelined: the second attempt starts in the event loop iteration that reads the
    // first response.
    let mut client = scheduler.send_request(&format!(
        "{}{}",
        job_request("sale", "d1", "x"),
        job_request("sale", "d2", "y")
    ));
    let mut first = accept(&worker);
    read_message(&mut first);
    send(&mut first, &served_response("d1", "one"));
    let mut second = accept(&worker);
    assert!(read_message(&mut second).contains("X-Trace-Id: d2\r\n"));
    // The duplicate response names no request, and says that its job never ran.
    send(&mut first, "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
    assert!(is_closed(&mut first));
    send(&mut second, &served_response("d2", "two"));
    assert!(read_message(&mut client).ends_with("\r\n\r\none"));
    assert!(read_message(&mut client).ends_with("\r\n\r\ntwo"));
    assert_eq!(received_within(&worker, vec![], ms(300)), "", "a job was sent a second time");
}

#[test]
fn duplicate_responses_leave_one_answer_to_each_request() {
    let line = |state: Value| line_chunk(&state);
    let twice = |id: &str, state: &str| {
        let first = json!({"id": id, "state": "done", "result": "first"});
        let second = json!({"id": id, "state": state, "result": "second"});
        format!("{RESPONSE_HEAD}{}{}0\r\n\r\n", line(first), line(second))
    };
    for class in ["view", "sale", "buy"] {
        for (n, is_late) in [false, true, true].into_iter().enumerate() {
            let worker = bind_loopback();
            let scheduler = start_scheduler(settings(), &worker);
            let mut client = scheduler.send_request(&job_request(class, "a1", "x"));
            let mut attempt = accept(&worker);
            read_message(&mut attempt);
            if is_late {
                send(&mut attempt, &served_response("a1", "first"));
                // The duplicates come some milliseconds later, while the next request is being sent.
                std::thread::sleep(ms(5 * n as u64));
                let _ = attempt.write_all(twice("a1", "done").as_bytes());
            } else {
                send(&mut attempt, &twice("a1", "failed"));
            }
            assert!(read_message(&mut client).ends_with("\r\n\r\nfirst"), "{class} {n}");
            send(&mut client, &closing_job(class, "a2", 4_000));
            let (request, mut next) = next_request_on_any(&worker, attempt);
            assert_eq!(trace_id(&request), Some("a2"), "{class} {n}");
            send(&mut next, &served_response("a2", "other"));
            let (text, _) = read_to_close(&mut client);
            assert!(count_responses(&text) == 1 && text.ends_with("\r\n\r\nother"), "{class} {n}: {text:?}");
        }
    }
}

#[test]
fn malformed_and_endless_responses_leave_one_answer_before_the_deadline() {
    let started = chunk("{\"id\":\"g1\",\"state\":\"started\"}\n");
    let running = chunk("{\"id\":\"g1\",\"state\":\"running\",\"share\":0.5}\n");
    let cases = [
        "HTTP/9 what\r\n\r\n".to_owned(),
        format!("{RESPONSE_HEAD}{started}{}", chunk("{\"id\":\"g1\",\"sta\0\u{1}\n")),
        format!("{RESPONSE_HEAD}{started}zz\r\n"),
        format!("{RESPONSE_HEAD}{started}0\r\n\r\n"),
        format!("{RESPONSE_HEAD}{started}{}", running.repeat(50_000)),
        format!("{RESPONSE_HEAD}{}", chunk(&"x".repeat(1 << 20))),
        format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(1 << 20)),
    ];
    for (n, answer) in cases.iter().enumerate() {
        let worker = bind_loopback();
        let scheduler = start_scheduler(settings_with_deadline(1_000.0), &worker);
        let submitted = Instant::now();
        let mut client = scheduler.send_request(&closing_job("sale", "g1", 1_000));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        let _ = attempt.write_all(answer.as_bytes());
        let (text, _) = read_to_close(&mut client);
        assert!(count_responses(&text) == 1 && text.starts_with("HTTP/1.1 502 "), "{n}: {text:?}");
        // An answer later than half a second after the deadline would count as lost.
        assert!(submitted.elapsed() < ms(1_500), "{n}: {:?}", submitted.elapsed());
        assert_eq!(received_within(&worker, vec![], ms(50)), "", "{n}: a second execution");
    }
}

#[test]
fn an_endless_response_ends_at_the_attempts_deadline_and_frees_its_resources() {
    let settings = settings_with_deadline(1_000.0);
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings, &worker);
    let endless = [
        "HTTP/1.1 200 OK\r\nX: y\r\n",
        RESPONSE_HEAD,
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
        &format!("{RESPONSE_HEAD}{}", chunk("{\"id\":\"n1\",\"state\":\"started\"}\n")),
        &format!("{RESPONSE_HEAD}ffff\r\n"),
    ];
    for front in endless {
        let mut client = scheduler.send_request(&job_with_time_left("sale", "n1", 1_000));
        let mut attempt = accept(&worker);
        read_message(&mut attempt);
        send(&mut attempt, front);
        attempt.set_nonblocking(true).expect("set_nonblocking");
        let (since, mut closed) = (Instant::now(), false);
        while !closed {
            // The worker keeps sending until the scheduler closes the connection.
            let wrote = attempt.write(b" ");
            closed = wrote.is_err_and(|e| e.kind() != ErrorKind::WouldBlock)
                || matches!(attempt.read(&mut [0; 16]), Ok(0));
            assert!(since.elapsed() < TEST_TIMEOUT, "the connection is still open after {front:?}");
            std::thread::sleep(ms(5));
        }
        assert!(read_message(&mut client).starts_with("HTTP/1.1 502 "), "{front:?}");
        scheduler.wait_for_pending_jobs(0.0);
    }
    scheduler.assert_serves(&worker, "n2");
}

#[test]
fn a_worker_that_streams_without_pause_does_not_starve_other_jobs() {
    let settings = settings_with_deadline(3_000.0);
    let worker = bind_loopback();
    let scheduler = start_scheduler(settings, &worker);
    let mut client = scheduler.send_request(&job_with_time_left("sale", "f1", 3_000));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let line = chunk("{\"id\":\"f1\",\"state\":\"running\",\"share\":0.5}\n").repeat(10_000);
    let streaming = std::thread::spawn(move || {
        send(&mut attempt, RESPONSE_HEAD);
        while attempt.write_all(line.as_bytes()).is_ok() {}
    });
    // Other jobs are served meanwhile, and the streaming job ends at its deadline.
    for other in 0..3 {
        drop(scheduler.assert_serves(&worker, &format!("f2-{other}")));
    }
    assert!(read_message(&mut client).starts_with("HTTP/1.1 502 "));
    streaming.join().expect("the stream ends with its connection");
}
