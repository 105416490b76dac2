//! Scripted discovery: endpoints, lists of them, and a scheduler with two workers under a watch.

use super::{
    Scheduler, accept, address_of, bind_loopback, closing_response, job_request, ms, read_message, send,
    settings,
};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// One entry of the endpoint list.
pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "north", "type": "big", "group": 0,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// An entry for this worker.
pub fn entry(name: &str, worker: &TcpListener, status: &str) -> Value {
    endpoint(name, address_of(worker), status)
}

/// An endpoint list: a snapshot or changes.
pub fn endpoint_list(index: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    json!({"index": index, "snapshot": snapshot, "endpoints": endpoints})
}

/// A scheduler with two workers that it knows, `s-a` and `s-b`, and a watch that has brought no change.
pub struct TwoWorkers {
    pub scheduler: Scheduler,
    pub a: TcpListener,
    pub b: TcpListener,
    pub watch: TcpStream,
}

pub fn two_workers() -> TwoWorkers {
    two_workers_with_max_poll_interval(60_000.0)
}

/// The same with this time for which a list holds without a watch.
pub fn two_workers_with_max_poll_interval(max_poll_interval: f64) -> TwoWorkers {
    let (a, b) = (bind_loopback(), bind_loopback());
    let mut config = settings();
    // The backoff of the state machine itself after a failed request must have no part in these tests.
    config["obligations"]["ask-within"] = json!(max_poll_interval);
    let scheduler = Scheduler::start_with(config, &[entry("s-a", &a, "ready"), entry("s-b", &b, "ready")]);
    let (_, watch) = scheduler.accept_watch(&[endpoint_list(2, false, &[])]);
    scheduler.wait_until_ready();
    TwoWorkers { scheduler, a, b, watch }
}

/// Sends jobs until this many have been served by one worker, and checks that the other was not even connected to.
pub fn assert_all_jobs_go_to(scheduler: &Scheduler, worker: &TcpListener, other: &TcpListener, jobs: usize) {
    for n in 0..jobs {
        let id = format!("go{n}");
        let mut client = scheduler.send_request(&job_request("view", &id, "x"));
        let mut attempt = accept(worker);
        assert!(read_message(&mut attempt).contains(&id));
        send(&mut attempt, &closing_response(&id, "yes"));
        assert!(read_message(&mut client).starts_with("HTTP/1.1 200 "));
    }
    other.set_nonblocking(true).expect("set_nonblocking");
    assert!(other.accept().is_err(), "a job went to the other worker");
}

/// Waits until jobs are not sent to this worker any more: one that is would be answered by nobody.
pub fn wait_until_not_used(scheduler: &Scheduler, worker: &TcpListener) {
    // The messages and lines that withdraw it are read before a request that comes after them; give them a moment.
    scheduler.wait_until_ready();
    std::thread::sleep(ms(100));
    worker.set_nonblocking(true).expect("set_nonblocking");
    while worker.accept().is_ok() {}
}
