//! Client requests: malformed, chunked and pipelined ones.
#![allow(missing_docs)]

#[path = "../../protocol/tests/common/request_heads.rs"]
#[allow(dead_code)] // Only the heads and the expected statuses are used here.
mod request_heads;
mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Instant;
use support::{
    HEALTH_REQUEST, TEST_TIMEOUT, accept, chunk, count_responses, is_closed, job_request, ms, read_message,
    read_to_close, received_within, scheduler_with_one_worker, send, served_response, settings, spawn_worker,
    start_scheduler_at,
};

#[test]
fn malformed_requests_get_a_4xx_and_the_scheduler_keeps_serving() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let good = job_request("view", "b1", "");
    let chunked = "Transfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("\u{1}\u{2}\r\n\r\n".to_owned(), "400"),
        (good.replace("view", "unknown"), "404"),
        (good.replace("X-Qos: view", "X-Qos: sale"), "400"),
        (good.replace("karoo", "unknown"), "403"),
        (good.replace("X-Trace-Id: b1\r\n", ""), "400"),
        (good.replace("POST", "PUT"), "405"),
        (good.replace("4000", "soon"), "400"),
        (good.replace("Content-Length: 0", "Content-Length: 65537"), "413"),
        (good.replace("Content-Length: 0", "Content-Length: -1"), "400"),
        (good.replace("Content-Length: 0", "Content-Length: 0\r\nTransfer-Encoding: chunked"), "400"),
        (good.replace("Content-Length: 0\r\n\r\n", &format!("{chunked}zz\r\n")), "400"),
        (good.replace("Content-Length: 0\r\n\r\n", &format!("{chunked}fffffffff\r\n")), "413"),
        (good.replace("Host: x", &format!("Host: {}", "x".repeat(40_000))), "431"),
        (good.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 0"), "400"),
        (
            good.replace("Content-Length: 0", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
            "400",
        ),
        (good.replace("Content-Length: 0", "Transfer-Encoding: \u{b}chunked"), "400"),
        (good.replace("Content-Length: 0", "Transfer-Encoding: \u{e9}chunked"), "400"),
        (good.replace("Host: x\r\n", "Host: x\n"), "400"),
        (good.replace("b1\r\n", "b1\r\nX-Trace-Id: b9\r\n"), "400"),
        (good.replace("X-Trace-Id: b1", "X-Trace-Id: b 1"), "400"),
        (
            good.replace("Content-Length: 0\r\n\r\n", &format!("{chunked}0\r\n{}", "x: y\r\n".repeat(4_000))),
            "400",
        ),
        (job_request("buy", "b2", "").replace("Idempotency-Key: key-b2\r\n", ""), "400"),
    ];
    for (request, status) in cases {
        let answer = read_message(&mut scheduler.send_request(&request));
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{request:.300}\n{answer}");
    }
    scheduler.assert_serves(&worker, "b3");
}

#[test]
fn a_rejected_head_gets_one_response_and_closes_the_connection() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let is_rejected = |case: &request_heads::Case| case.outcome.starts_with('4');
    let rejected: Vec<_> = request_heads::cases().into_iter().filter(is_rejected).collect();
    assert!(rejected.len() > 80, "{}", rejected.len());
    for case in rejected {
        let mut client = scheduler.connect();
        client.write_all(&case.head).expect("the head is sent");
        let (text, clean) = read_to_close(&mut client);
        let head = String::from_utf8_lossy(&case.head);
        assert!(clean && count_responses(&text) == 1, "{head:.300}\n{text}");
        assert!(text.starts_with(&format!("HTTP/1.1 {} ", &case.outcome[..3])), "{head:.300}\n{text}");
        assert!(text.contains("\r\nConnection: close\r\n"), "{head:.300}\n{text}");
        assert!(text.ends_with(&format!("{}\n", &case.outcome[4..])), "{head:.300}\n{text}");
    }
    scheduler.assert_serves(&worker, "after");
}

#[test]
fn a_request_smuggled_behind_a_malformed_one_does_not_reach_a_worker() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let smuggled = job_request("sale", "s1", "");
    let head = job_request("view", "s0", "").replace("Content-Length: 0\r\n\r\n", "");
    let fronts = [
        job_request("unknown", "s0", ""),
        format!("{head}Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}Transfer-Encoding: \u{e9}chunked\r\n\r\n"),
        "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc".to_owned(),
    ];
    for front in fronts {
        let mut client = scheduler.send_request(&format!("{front}{smuggled}"));
        assert!(read_message(&mut client).starts_with("HTTP/1.1 4"));
        // The connection is closed after the error response.
        assert!(is_closed(&mut client));
    }
    // This is the first request that the worker receives.
    scheduler.assert_serves(&worker, "s2");
}

#[test]
fn a_request_with_the_id_of_a_pending_job_is_rejected_and_that_job_continues() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let mut client = scheduler.send_request(&job_request("view", "t1", "first"));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let answer = read_message(&mut scheduler.send_request(&job_request("view", "t1", "second")));
    assert!(answer.starts_with("HTTP/1.1 409 "), "{answer}");
    send(&mut attempt, &served_response("t1", "result"));
    assert!(read_message(&mut client).ends_with("\r\n\r\nresult"));
    send(&mut client, &job_request("view", "t2", ""));
    assert!(read_message(&mut attempt).contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn a_chunked_request_reaches_its_worker_complete() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let head = job_request("view", "p1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let wire = format!("{head}{}{}0;last\r\nTrailer: x\r\n\r\n", chunk("one"), chunk("half"));
    let mut client = scheduler.connect();
    for part in wire.as_bytes().chunks(3) {
        send(&mut client, std::str::from_utf8(part).expect("ASCII"));
        std::thread::sleep(ms(1));
    }
    let mut attempt = accept(&worker);
    assert!(read_message(&mut attempt).ends_with("\r\n\r\nonehalf"));
    send(&mut attempt, &served_response("p1", "result"));
    assert!(read_message(&mut client).ends_with("\r\n\r\nresult"));
}

#[test]
fn a_client_that_still_sends_its_request_receives_the_complete_rejection() {
    let (address, _) = spawn_worker(0);
    let scheduler = start_scheduler_at(settings(), address);
    let large = job_request("view", "g1", "").replace("Content-Length: 0", "Content-Length: 600000");
    for (front, status) in [(large, "413"), ("nonsense\r\n\r\n".into(), "400")] {
        let mut client = scheduler.send_request(&front);
        send(&mut client, &"x".repeat(600_000));
        let (text, clean) = read_to_close(&mut client);
        assert!(clean, "{status}: connection reset after {text:?}");
        assert!(count_responses(&text) == 1 && text.starts_with(&format!("HTTP/1.1 {status} ")), "{text:?}");
    }
}

#[test]
fn excess_pipelined_bytes_close_the_connection_after_the_response_and_start_no_job() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let mut client = scheduler.send_request(&job_request("view", "h1", "x"));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let pipelined = format!("{}{}", "x".repeat(9 * 1024), job_request("sale", "h2", "hidden"));
    send(&mut client, &pipelined);
    scheduler.wait_for_pending_jobs(1.0);
    send(&mut attempt, &served_response("h1", "yes"));
    let answer = read_message(&mut client);
    assert!(answer.ends_with("\r\n\r\nyes") && answer.contains("Connection: close"), "{answer}");
    assert!(is_closed(&mut client));
    let received = received_within(&worker, vec![], ms(500));
    assert_eq!(received, "");
}

#[test]
fn a_client_that_pipelines_megabytes_still_gets_its_response() {
    let (scheduler, worker) = scheduler_with_one_worker();
    let mut client = scheduler.send_request(&job_request("view", "m1", "x"));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    send(&mut client, &"x".repeat(4 << 20));
    scheduler.wait_for_pending_jobs(1.0);
    send(&mut attempt, &served_response("m1", "yes"));
    let answer = read_message(&mut client);
    assert!(answer.ends_with("\r\n\r\nyes") && answer.contains("Connection: close"), "{answer}");
}

/// Sends `thousands` times 1000 health checks, then a job. The returned counter is the number of thousands
/// written.
fn send_thousands(mut client: TcpStream, thousands: usize) -> (JoinHandle<()>, Arc<AtomicUsize>) {
    let written = Arc::new(AtomicUsize::new(0));
    let progress = Arc::clone(&written);
    let sending = std::thread::spawn(move || {
        let thousand = HEALTH_REQUEST.repeat(1_000);
        for _ in 0..thousands {
            send(&mut client, &thousand);
            progress.fetch_add(1, Ordering::Relaxed);
        }
        send(&mut client, &job_request("view", "p1", "x"));
    });
    (sending, written)
}

/// Waits until the counter of written thousands no longer changes, and returns it.
fn wait_until_stalled(written: &AtomicUsize) -> usize {
    let (mut last, since) = (usize::MAX, Instant::now());
    while written.load(Ordering::Relaxed) != last {
        last = written.load(Ordering::Relaxed);
        assert!(since.elapsed() < TEST_TIMEOUT);
        std::thread::sleep(ms(400));
    }
    last
}

#[test]
fn requests_left_in_the_socket_are_served_once_their_client_reads_its_responses() {
    let (scheduler, worker) = scheduler_with_one_worker();
    scheduler.wait_until_ready();
    let mut client = scheduler.connect();
    // Far more requests than all buffers hold, then a job. The client reads nothing until all buffers are
    // full.
    let thousands = 400;
    let (sending, written) = send_thousands(client.try_clone().expect("a second handle"), thousands);
    assert!(
        wait_until_stalled(&written) < thousands,
        "the scheduler read all requests: none is left in the socket"
    );
    let mut buffer = vec![0; 64 * 1024];
    let (mut attempt, mut tail) = (None, Vec::new());
    worker.set_nonblocking(true).expect("set_nonblocking");
    while !tail.ends_with(b"\r\n\r\nyes") {
        let read = client.read(&mut buffer).expect("a response");
        assert!(read > 0, "the scheduler closed the connection before the job's response");
        tail.extend_from_slice(&buffer[..read]);
        tail.drain(..tail.len().saturating_sub(64));
        if attempt.is_none() && tail.ends_with(b"up\n") && sending.is_finished() {
            let mut connection = accept(&worker);
            assert!(read_message(&mut connection).contains("X-Trace-Id: p1\r\n"));
            send(&mut connection, &served_response("p1", "yes"));
            attempt = Some(connection);
        }
    }
    sending.join().expect("all requests were sent");
}
