//! Scripted discovery: endpoint lists, and a scheduler with two workers and an open watch.

use super::{
    Scheduler, accept, address_of, bind_loopback, closing_response, job_request, ms, read_message, send,
    settings,
};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// An entry of an endpoint list.
pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "north", "type": "big", "group": 0,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// An entry of an endpoint list for this worker.
pub fn entry(name: &str, worker: &TcpListener, status: &str) -> Value {
    endpoint(name, address_of(worker), status)
}

/// A line of discovery's response: a complete list if `snapshot` is set, else changes to it. `index` is the
/// list's revision.
pub fn endpoint_list(index: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    json!({"index": index, "snapshot": snapshot, "endpoints": endpoints})
}

/// A scheduler whose cached list has two workers, `s-a` and `s-b`, and its open watch, on which no change has
/// been sent yet.
pub struct TwoWorkers {
    pub scheduler: Scheduler,
    pub a: TcpListener,
    pub b: TcpListener,
    pub watch: TcpStream,
}

pub fn two_workers() -> TwoWorkers {
    two_workers_with_max_poll_interval(60_000.0)
}

/// Like [`two_workers`]; while no watch is open, the list is polled at least every `max_poll_interval`
/// milliseconds.
pub fn two_workers_with_max_poll_interval(max_poll_interval: f64) -> TwoWorkers {
    let (a, b) = (bind_loopback(), bind_loopback());
    let mut config = settings();
    // Set so that the state machine's own backoff after a failed request has no effect on these tests.
    config["obligations"]["ask-within"] = json!(max_poll_interval);
    let scheduler = Scheduler::start_with(config, &[entry("s-a", &a, "ready"), entry("s-b", &b, "ready")]);
    let (_, watch) = scheduler.accept_watch(&[endpoint_list(2, false, &[])]);
    scheduler.wait_until_ready();
    TwoWorkers { scheduler, a, b, watch }
}

/// Sends this many jobs, and asserts that `worker` serves all of them and that no connection to `other` is
/// opened.
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

/// Waits until the scheduler sends no more jobs to this worker. Jobs sent to it get no response.
pub fn wait_until_not_used(scheduler: &Scheduler, worker: &TcpListener) {
    // The messages or lines that withdraw the worker have been sent, and are read before a later request; the
    // sleep gives them time to take effect.
    scheduler.wait_until_ready();
    std::thread::sleep(ms(100));
    worker.set_nonblocking(true).expect("set_nonblocking");
    while worker.accept().is_ok() {}
}
