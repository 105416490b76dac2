//! Graceful shutdown: every admitted job is answered before the time at which the platform would send
//! SIGKILL, in whatever state the job is at SIGTERM.
#![allow(missing_docs)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;
use support::{
    Scheduler, TEST_TIMEOUT, accept, address_of, bind_loopback, check_health, closing_job,
    connect_with_small_buffer, count_attempts, count_responses, endpoint, endpoint_list, is_closed,
    job_request, job_with_time_left, ms, read_message, read_response_by, read_to_close, received_within,
    scheduler_with_one_worker, send, served_response, set_in_each_class, settings_that_cancel_no_attempt,
    settings_with_deadline, sigkill_time, sleep_until, spawn_worker, start_scheduler, start_scheduler_at,
    wait_until_worker_connection_is_reusable, with_time_left, worker_with_full_backlog,
};

#[test]
fn sigterm_ends_the_process_once_no_job_is_pending() {
    let (mut scheduler, worker) = scheduler_with_one_worker();
    let mut client = scheduler.send_request(&with_time_left(&job_request("sale", "j1", ""), 5_000));
    let mut idle_client = scheduler.connect();
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    scheduler.signal("-TERM");
    // For some time after SIGTERM new jobs are still admitted and served, and their connections are kept
    // open.
    std::thread::sleep(ms(300));
    let mut late_client = scheduler.send_request(&job_request("sale", "j2", ""));
    let mut second_worker_connection = accept(&worker);
    for id in ["j2", "j3"] {
        read_message(&mut second_worker_connection);
        send(&mut second_worker_connection, &served_response(id, "late"));
        let answer = read_message(&mut late_client);
        assert!(answer.ends_with("late") && !answer.contains("Connection: close"), "{answer}");
        wait_until_worker_connection_is_reusable();
        if id == "j2" {
            send(&mut late_client, &job_request("sale", "j3", ""));
        }
    }
    // A job whose worker does not respond is answered within 4.5 s, before its deadline of 5 s.
    let hung_sent_at = Instant::now();
    let mut hung_client = scheduler.send_request(&with_time_left(&job_request("sale", "j4", ""), 5_000));
    read_message(&mut second_worker_connection);
    assert!(is_closed(&mut idle_client));
    assert!(scheduler.child.try_wait().expect("a child").is_none());
    // A job admitted before SIGTERM still gets its worker's result.
    send(&mut attempt, &served_response("j1", "result"));
    assert!(read_message(&mut client).ends_with("result"));
    assert!(read_message(&mut hung_client).starts_with("HTTP/1.1 502 "));
    assert!(hung_sent_at.elapsed() < ms(4_500));
    assert!(scheduler.wait_for_exit().success());
}

/// Sends SIGTERM while the worker is hung, one request is in flight and another half received. Two more
/// requests follow: one on a new connection, and later one on a connection that was idle. `deadline` is the
/// deadline of all classes, in milliseconds.
fn graceful_shutdown_with_deadline(deadline: u64) {
    let settings = settings_with_deadline(deadline as f64);
    let job = |id: &str| job_with_time_left("view", id, deadline);
    let worker = bind_loopback();
    let mut scheduler = start_scheduler(settings, &worker);
    scheduler.wait_until_ready();
    let mut idle_client = scheduler.send_request(&job("k0"));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    send(&mut attempt, &served_response("k0", "yes"));
    assert!(read_message(&mut idle_client).starts_with("HTTP/1.1 200 "));
    // From here on the worker sends nothing. One request is in flight to it, another is half received.
    let mut in_flight = scheduler.send_request(&job("t1"));
    scheduler.wait_for_pending_jobs(1.0);
    let request = job("t2");
    let (front, rest) = request.split_at(request.len() / 2);
    let mut half_received = scheduler.send_request(front);
    let sigterm_at = scheduler.send_sigterm();
    while !check_health(&scheduler).starts_with("HTTP/1.1 503 ") {
        assert!(sigterm_at.elapsed() < TEST_TIMEOUT, "the scheduler is still ready");
    }
    send(&mut half_received, rest);
    let mut new = scheduler.send_request(&job("t3"));
    // From 0.7 s after SIGTERM, clients open no new connections. A request that the scheduler reads on an
    // open connection must be answered.
    std::thread::sleep(ms(750).saturating_sub(sigterm_at.elapsed()));
    let sigkill_at = sigkill_time(sigterm_at, deadline);
    let is_written = idle_client.write_all(job("t4").as_bytes()).is_ok();
    for (client, what) in
        [(&mut in_flight, "in flight"), (&mut half_received, "half received"), (&mut new, "new")]
    {
        let answer = read_response_by(client, sigkill_at, what);
        assert!(answer.starts_with("HTTP/1.1 50"), "{what} {answer}");
    }
    idle_client
        .set_read_timeout(Some(sigkill_at.saturating_duration_since(Instant::now())))
        .expect("set_read_timeout");
    let mut answer = Vec::new();
    let result = idle_client.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(
        Instant::now() < sigkill_at,
        "{deadline}: written {is_written}, not closed before SIGKILL: {result:?} {answer}"
    );
    // The connection was closed before the request was read, or the request is answered.
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 50"), "{answer}");
    drop((in_flight, half_received, new, idle_client));
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
fn graceful_shutdown_rejects_a_job_whose_attempt_is_still_connecting() {
    let mut settings = settings_that_cancel_no_attempt();
    // The deadline of all classes, in milliseconds.
    set_in_each_class(&mut settings, "hard-limit", 5_000.0);
    let (worker, _backlog_connection) = worker_with_full_backlog();
    let mut scheduler = start_scheduler(settings, &worker);
    let mut client = scheduler.send_request(&job_with_time_left("sale", "u1", 5_000));
    scheduler.wait_for_pending_jobs(1.0);
    let sigterm_at = scheduler.send_sigterm();
    let answer = read_response_by(&mut client, sigkill_time(sigterm_at, 5_000), "connecting");
    // No byte of the job was sent to the worker, so the client may retry.
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
    let received = received_within(&worker, vec![], ms(200));
    assert!(!received.contains("u1"), "{received}");
}

#[test]
fn graceful_shutdown_rejects_a_queued_job() {
    let worker = bind_loopback();
    let address = address_of(&worker);
    let mut settings = settings_that_cancel_no_attempt();
    // The deadline of all classes, in milliseconds.
    set_in_each_class(&mut settings, "hard-limit", 1_500.0);
    let mut scheduler = Scheduler::start_with(settings, &[endpoint("s-a", address, "draining")]);
    let (_, _watch) =
        scheduler.accept_watch(&[endpoint_list(2, true, &[endpoint("s-a", address, "draining")])]);
    let mut client = scheduler.send_request(&job_with_time_left("sale", "w1", 1_500));
    scheduler.wait_for_pending_jobs(1.0);
    let sigterm_at = scheduler.send_sigterm();
    let answer = read_response_by(&mut client, sigkill_time(sigterm_at, 1_500), "queued");
    // The job was sent to no worker, so the client may retry.
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
    drop(client);
    assert!(scheduler.wait_for_exit().success());
}

#[test]
fn new_clients_at_the_start_of_a_graceful_shutdown_are_all_served() {
    let (address, received) = spawn_worker(0);
    let mut scheduler = start_scheduler_at(settings_with_deadline(800.0), address);
    scheduler.wait_until_ready();
    let sigterm_at = scheduler.send_sigterm();
    // New clients connect for up to 0.4 s after SIGTERM.
    for n in 0..40 {
        sleep_until(sigterm_at + ms(10 * n));
        let (text, _) =
            read_to_close(&mut scheduler.send_request(&closing_job("sale", &format!("n{n}"), 800)));
        assert!(count_responses(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{n}: {text:?}");
        assert_eq!(count_attempts(&received, &format!("n{n}")), 1);
    }
    assert!(scheduler.wait_for_exit().success() && Instant::now() < sigkill_time(sigterm_at, 800));
}

#[test]
fn graceful_shutdown_with_every_descriptor_in_use_answers_jobs_in_flight_and_new_jobs_and_exits_in_time() {
    let worker = bind_loopback();
    let mut scheduler = Scheduler::start_with_descriptors(settings_with_deadline(1_500.0), &worker, 128);
    scheduler.wait_until_ready();
    let mut client = scheduler.send_request(&closing_job("sale", "o1", 1_500));
    let mut attempt = accept(&worker);
    read_message(&mut attempt);
    let silent_clients: Vec<TcpStream> = (0..300).map(|_| scheduler.connect()).collect();
    let sigterm_at = scheduler.send_sigterm();
    let mut late_client = scheduler.send_request(&closing_job("view", "o2", 1_500));
    let mut late_attempt = accept(&worker);
    read_message(&mut late_attempt);
    for (worker_side, client_side, id) in
        [(&mut late_attempt, &mut late_client, "o2"), (&mut attempt, &mut client, "o1")]
    {
        send(worker_side, &served_response(id, "yes"));
        let (text, _) = read_to_close(client_side);
        assert!(count_responses(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{id}: {text:?}");
    }
    // The silent clients do not delay the exit.
    assert!(scheduler.wait_for_exit().success() && Instant::now() < sigkill_time(sigterm_at, 1_500));
    drop(silent_clients);
}

#[test]
fn a_client_that_reads_the_last_response_after_the_exit_gets_all_of_it() {
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
    // The scheduler exits before the client has read anything.
    assert!(scheduler.wait_for_exit().success());
    let answer = read_message(&mut client);
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(&large), "{} bytes", answer.len());
}
