//! Graceful shutdown: every job has its answer before SIGKILL, whatever state it is in.
#![allow(missing_docs)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;
use support::{
    Scheduler, TEST_TIMEOUT, accept, address_of, bind_loopback, check_health, closing_job,
    connect_with_small_buffer, count_attempts, count_responses, endpoint, endpoint_list, is_closed,
    job_request, job_with_time_left, ms, read_message, read_response_by, read_to_close, received_within,
    scheduler_with_one_worker, send, served_response, set_in_each_class, settings_with_deadline,
    settings_without_cancelling, sigkill_time, sleep_until, spawn_worker, start_scheduler,
    start_scheduler_at, wait_for_reuse, with_time_left, worker_with_full_backlog,
};

#[test]
fn sigterm_ends_the_process_once_no_job_is_pending() {
    let (mut scheduler, worker) = scheduler_with_one_worker();
    let mut client = scheduler.send_request(&with_time_left(&job_request("sale", "j1", ""), 5_000));
    let mut idle = scheduler.connect();
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    scheduler.signal("-TERM");
    // New jobs are admitted for a while, and answered, on connections that stay open.
    std::thread::sleep(ms(300));
    let mut late = scheduler.send_request(&job_request("sale", "j2", ""));
    let mut second = accept(&worker);
    for id in ["j2", "j3"] {
        read_message(&mut second);
        send(&mut second, &served_response(id, "late"));
        let answer = read_message(&mut late);
        assert!(answer.ends_with("late") && !answer.contains("Connection: close"), "{answer}");
        wait_for_reuse();
        if id == "j2" {
            send(&mut late, &job_request("sale", "j3", ""));
        }
    }
    // A job that no worker answers is answered before SIGKILL.
    let since = Instant::now();
    let mut stuck = scheduler.send_request(&with_time_left(&job_request("sale", "j4", ""), 5_000));
    read_message(&mut second);
    assert!(is_closed(&mut idle));
    assert!(scheduler.child.try_wait().expect("a child").is_none());
    // One that was admitted before still gets its worker's result.
    send(&mut attempt, &served_response("j1", "result"));
    assert!(read_message(&mut client).ends_with("result"));
    assert!(read_message(&mut stuck).starts_with("HTTP/1.1 502 "));
    assert!(since.elapsed() < ms(4_500));
    assert!(scheduler.wait_for_exit().success());
}

/// SIGTERM with hung workers and a request in each state, under classes of this deadline.
fn graceful_shutdown_with_deadline(deadline: u64) {
    let settings = settings_with_deadline(deadline as f64);
    let job = |id: &str| job_with_time_left("view", id, deadline);
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings, &worker);
    scheduler.wait_until_ready();
    let mut idle = scheduler.send_request(&job("k0"));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    send(&mut attempt, &served_response("k0", "yes"));
    assert!(read_message(&mut idle).starts_with("HTTP/1.1 200 "));
    // From here on the worker sends nothing. One request is with it, one half read.
    let mut hung = scheduler.send_request(&job("t1"));
    scheduler.wait_for_pending_jobs(1.0);
    let late = job("t2");
    let (front, rest) = late.split_at(late.len() / 2);
    let mut half = scheduler.send_request(front);
    let since = scheduler.terminate();
    while !check_health(&scheduler).starts_with("HTTP/1.1 503 ") {
        assert!(since.elapsed() < TEST_TIMEOUT, "it is still ready");
    }
    send(&mut half, rest);
    let mut fresh = scheduler.send_request(&job("t3"));
    // After 0.7 s clients use whatever is still open, and what is read then must be answered.
    std::thread::sleep(ms(750).saturating_sub(since.elapsed()));
    let killed = sigkill_time(since, deadline);
    let written = idle.write_all(job("t4").as_bytes()).is_ok();
    for (client, what) in [(&mut hung, "in flight"), (&mut half, "half read"), (&mut fresh, "new")] {
        let answer = read_response_by(client, killed, what);
        assert!(answer.starts_with("HTTP/1.1 50"), "{what} {answer}");
    }
    idle.set_read_timeout(Some(killed.saturating_duration_since(Instant::now()))).expect("set_read_timeout");
    let mut answer = Vec::new();
    let read = idle.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(Instant::now() < killed, "{deadline}: written {written}, nothing came: {read:?} {answer}");
    // It was closed before the request was read, or it has its answer.
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 50"), "{answer}");
    drop((hung, half, fresh, idle));
    assert!(scheduler.wait_for_exit().success());
}

#[test]
fn graceful_shutdown_answers_every_request_before_sigkill_with_deadlines_of_800_ms() {
    graceful_shutdown_with_deadline(800);
}

#[test]
fn graceful_shutdown_answers_every_request_before_sigkill_with_deadlines_of_1500_ms() {
    graceful_shutdown_with_deadline(1_500);
}

#[test]
fn graceful_shutdown_answers_every_request_before_sigkill_with_deadlines_of_5_s() {
    graceful_shutdown_with_deadline(5_000);
}

#[test]
fn graceful_shutdown_rejects_a_job_whose_attempt_still_connects() {
    let mut settings = settings_without_cancelling();
    set_in_each_class(&mut settings, "hard-limit", 5_000.0);
    let (worker, _first) = worker_with_full_backlog();
    let mut scheduler = start_scheduler(settings, &worker);
    let mut client = scheduler.send_request(&job_with_time_left("sale", "u1", 5_000));
    scheduler.wait_for_pending_jobs(1.0);
    let since = scheduler.terminate();
    let answer = read_response_by(&mut client, sigkill_time(since, 5_000), "connecting");
    // No byte of it was sent: the client may retry.
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
    let received = received_within(&worker, vec![], ms(200));
    assert!(!received.contains("u1"), "{received}");
}

#[test]
fn graceful_shutdown_rejects_a_queued_job() {
    let worker = bind_loopback();
    let at = address_of(&worker);
    let mut settings = settings_without_cancelling();
    set_in_each_class(&mut settings, "hard-limit", 1_500.0);
    let mut scheduler = Scheduler::start_with(settings, &[endpoint("s-a", at, "draining")]);
    let (_, _watch) = scheduler.accept_watch(&[endpoint_list(2, true, &[endpoint("s-a", at, "draining")])]);
    let mut client = scheduler.send_request(&job_with_time_left("sale", "w1", 1_500));
    scheduler.wait_for_pending_jobs(1.0);
    let since = scheduler.terminate();
    let answer = read_response_by(&mut client, sigkill_time(since, 1_500), "queued");
    // No worker ever got it: the client may retry.
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
}

#[test]
fn new_clients_at_the_start_of_a_graceful_shutdown_are_all_served() {
    let (address, received) = spawn_worker(0);
    let mut scheduler = start_scheduler_at(settings_with_deadline(800.0), address);
    scheduler.wait_until_ready();
    let since = scheduler.terminate();
    // The protocol lets new clients come for 0.4 s.
    for n in 0..40 {
        sleep_until(since + ms(10 * n));
        let (text, _) =
            read_to_close(&mut scheduler.send_request(&closing_job("sale", &format!("n{n}"), 800)));
        assert!(count_responses(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{n}: {text:?}");
        assert_eq!(count_attempts(&received, &format!("n{n}")), 1);
    }
    assert!(scheduler.wait_for_exit().success() && Instant::now() < sigkill_time(since, 800));
}

#[test]
fn graceful_shutdown_with_every_descriptor_in_use_answers_jobs_in_flight_and_exits_in_time() {
    let worker = bind_loopback();
    let mut scheduler = Scheduler::start_with_descriptors(settings_with_deadline(1_500.0), &worker, 128);
    scheduler.wait_until_ready();
    let mut client = scheduler.send_request(&closing_job("sale", "o1", 1_500));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let crowd: Vec<TcpStream> = (0..300).map(|_| scheduler.connect()).collect();
    let since = scheduler.terminate();
    let mut late = scheduler.send_request(&closing_job("view", "o2", 1_500));
    let mut second = accept(&worker);
    read_message(&mut second);
    for (attempt, client, id) in [(&mut second, &mut late, "o2"), (&mut attempt, &mut client, "o1")] {
        send(attempt, &served_response(id, "yes"));
        let (text, _) = read_to_close(client);
        assert!(count_responses(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{id}: {text:?}");
    }
    // The idle connections delay nothing.
    assert!(scheduler.wait_for_exit().success() && Instant::now() < sigkill_time(since, 1_500));
    drop(crowd);
}

#[test]
fn the_last_response_is_complete_for_a_client_that_reads_it_after_the_exit() {
    let worker = bind_loopback();
    let settings = settings_with_deadline(800.0);
    let mut scheduler = start_scheduler(settings, &worker);
    scheduler.wait_until_ready();
    let mut client = connect_with_small_buffer(&scheduler);
    send(&mut client, &job_with_time_left("view", "z1", 800));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    scheduler.signal("-TERM");
    let large = "z".repeat(60_000);
    send(&mut attempt, &served_response("z1", &large));
    // It ends by itself, with success.
    assert!(scheduler.wait_for_exit().success());
    let answer = read_message(&mut client);
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(&large), "{} bytes", answer.len());
}
