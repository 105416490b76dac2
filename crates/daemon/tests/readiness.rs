//! When the scheduler becomes ready, and how it answers jobs before that.
#![allow(missing_docs)]

mod support;

use serde_json::{Value, json};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::{
    HEALTH_REQUEST, Scheduler, accept, address_of, bind_loopback, check_health, endpoint, endpoint_list,
    job_request, ms, read_message, settings, start_scheduler,
};

#[test]
fn a_job_is_rejected_within_3_s_while_no_worker_is_known() {
    let scheduler = Scheduler::start(&[]);
    let since = Instant::now();
    let answer = read_message(&mut scheduler.send_request(&job_request("sale", "i1", "")));
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("\r\nRetry-After: "), "{answer}");
    assert!(since.elapsed() < Duration::from_secs(3));
}

#[test]
fn the_health_check_succeeds_only_once_a_list_is_known() {
    let worker = bind_loopback();
    let scheduler = Scheduler::start(&[]);
    let mut client = scheduler.send_request(HEALTH_REQUEST);
    assert!(read_message(&mut client).starts_with("HTTP/1.1 503 "));
    let (_, _watch) =
        scheduler.accept_watch(&[endpoint_list(2, true, &[endpoint("s-a", address_of(&worker), "ready")])]);
    scheduler.wait_until_ready();
}

/// Starts a scheduler with a cached list and asserts that it is ready within 6 s. `discovery` scripts
/// discovery, and returns the connections to keep open.
fn assert_ready_in_time(settings: Value, discovery: impl FnOnce(&Scheduler) -> Vec<TcpStream>) {
    let worker = bind_loopback();
    let since = Instant::now();
    let scheduler = start_scheduler(settings, &worker);
    let _watches = discovery(&scheduler);
    while !check_health(&scheduler).starts_with("HTTP/1.1 200 ") {
        assert!(since.elapsed() < ms(6_000), "not ready after {:?}", since.elapsed());
        std::thread::sleep(ms(20));
    }
    assert!(since.elapsed() < ms(6_000), "ready after {:?}", since.elapsed());
    scheduler.assert_serves(&worker, "u1");
}

#[test]
fn a_restarted_scheduler_with_a_cached_list_is_ready_within_6_s_without_discovery() {
    let mut pushed = settings();
    pushed["discovery"] = json!("pushed");
    for settings in [settings(), pushed] {
        // Discovery accepts no connection; it accepts one and does not respond; it closes one at once.
        assert_ready_in_time(settings.clone(), |_| vec![]);
        assert_ready_in_time(settings.clone(), |scheduler| vec![accept(&scheduler.discovery)]);
        assert_ready_in_time(settings, |scheduler| {
            drop(accept(&scheduler.discovery));
            vec![]
        });
    }
}
