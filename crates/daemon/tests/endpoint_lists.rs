//! Endpoint lists that are large, change many endpoints at once, or have a lower revision than the list
//! before.
#![allow(missing_docs)]

mod support;

use serde_json::Value;
use std::time::Instant;
use support::{
    RESPONSE_HEAD, Scheduler, TwoWorkers, accept, address_of, assert_all_jobs_go_to, bind_loopback, endpoint,
    endpoint_list, entry, job_request, line_chunk, ms, read_message, send, two_workers, wait_until_not_used,
};

#[test]
fn update_that_changes_many_statuses_is_logged_as_counts() {
    let TwoWorkers { scheduler, a, b, mut watch } = two_workers();
    let many = |status: &str| -> Vec<Value> {
        (0..300).map(|n| endpoint(&format!("m-{n}"), address_of(&a), status)).collect()
    };
    send(&mut watch, &line_chunk(endpoint_list(3, false, &many("ready"))));
    send(&mut watch, &line_chunk(endpoint_list(4, false, &many("draining"))));
    scheduler.wait_for_log_line(&["endpoint_status_changed_many, ", "to_draining: ", "revision: 4"]);
    send(&mut watch, &line_chunk(endpoint_list(5, false, &many("ready"))));
    scheduler.wait_for_log_line(&[
        "endpoint_status_changed_many, to_ready: 300, to_draining: 0, to_gone: 0, source: watch, revision: 5",
    ]);
    send(&mut watch, &line_chunk(endpoint_list(6, false, &[entry("s-b", &b, "draining")])));
    scheduler.wait_for_log_line(&["endpoint_status_changed, endpoint: s-b, "]);
    assert_eq!(
        scheduler.count_log_lines("endpoint_status_changed, "),
        1,
        "endpoints in a summary and added endpoints are not logged individually"
    );
}

#[test]
fn list_of_ten_thousand_endpoints_and_a_change_of_one_of_them_are_applied() {
    let worker = bind_loopback();
    let at = address_of(&worker);
    let scheduler = Scheduler::start(&[]);
    let mut many: Vec<Value> =
        (0..10_000).map(|n| endpoint(&format!("server-with-a-long-name-{n:06}"), at, "draining")).collect();
    many.push(endpoint("s-a", at, "ready"));
    let whole = endpoint_list(2, true, &many).to_string();
    assert!(whole.len() > 1024 * 1024, "the list is longer than 1 MiB, an earlier limit");
    let (_, mut watch) = {
        let mut connection = accept(&scheduler.discovery);
        let request = read_message(&mut connection);
        send(&mut connection, RESPONSE_HEAD);
        send(&mut connection, &line_chunk(&whole));
        (request, connection)
    };
    scheduler.wait_until_ready();
    scheduler.assert_serves(&worker, "ten1");
    assert!(scheduler.memory_kb() < 32 * 1024, "{} kB", scheduler.memory_kb());
    send(&mut watch, &line_chunk(endpoint_list(3, false, &[endpoint("s-a", at, "draining")])));
    std::thread::sleep(ms(200));
    let answer = read_message(&mut scheduler.send_request(&job_request("view", "ten2", "x")));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
}

#[test]
fn list_with_a_lower_revision_is_applied() {
    let TwoWorkers { scheduler, a, b, mut watch } = two_workers();
    send(&mut watch, &line_chunk(endpoint_list(90, false, &[entry("s-b", &b, "draining")])));
    std::thread::sleep(ms(100));
    drop(watch);
    // Discovery was restarted and numbers its revisions from 1 again.
    let whole = endpoint_list(1, true, &[entry("s-a", &a, "draining"), entry("s-b", &b, "ready")]);
    let (request, _watch) = scheduler.accept_watch(&[whole]);
    assert!(request.contains("since=90"), "{request}");
    wait_until_not_used(&scheduler, &a);
    assert_all_jobs_go_to(&scheduler, &b, &a, 3);
}

/// Measures the costs of lists by their size, for `docs/measurements/discovery.md`. Run with
/// `cargo test --release --locked -p brackenledge --test endpoint_lists -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn cost_of_endpoint_lists_by_their_size() {
    println!("endpoints list kB  start to first served, ms  memory kB  CPU of a change of one, us");
    for size in [10, 100, 1_000, 10_000, 50_000] {
        let worker = bind_loopback();
        let at = address_of(&worker);
        let since = Instant::now();
        let scheduler = Scheduler::start(&[]);
        let many: Vec<Value> = (0..size).map(|n| endpoint(&format!("s-{n:08x}"), at, "ready")).collect();
        let whole = endpoint_list(1, true, &many).to_string();
        let mut connection = accept(&scheduler.discovery);
        read_message(&mut connection);
        send(&mut connection, &format!("{RESPONSE_HEAD}{}", line_chunk(&whole)));
        scheduler.wait_until_ready();
        scheduler.assert_serves(&worker, "first");
        let first = since.elapsed().as_secs_f64() * 1_000.0;
        let memory = scheduler.memory_kb();
        let (changes, before) = (4_000, scheduler.cpu_ticks());
        for n in 0..changes {
            let state = if n % 2 == 0 { "draining" } else { "ready" };
            let name = format!("s-{:08x}", n / 2 % size);
            send(
                &mut connection,
                &line_chunk(endpoint_list(2 + n as u64, false, &[endpoint(&name, at, state)])),
            );
        }
        scheduler.assert_serves(&worker, "last");
        // A tick of processor time is 10 ms on every system with /proc.
        let each = (scheduler.cpu_ticks() - before) as f64 * 10_000.0 / changes as f64;
        println!("{size:>7}  {:>7}  {first:>25.0}  {memory:>9}  {each:>26.1}", whole.len() / 1024);
    }
}
