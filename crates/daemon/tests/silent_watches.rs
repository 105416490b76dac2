//! Watches that fall silent or are reset before they report a drain. The drain must be known in time through
//! another watch.
#![allow(missing_docs)]

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};
use support::{
    RESPONSE_HEAD, Scheduler, TEST_TIMEOUT, TwoWorkers, accept, assert_all_jobs_go_to, bind_loopback, chunk,
    closing_response, endpoint_list, entry, job_request, line_chunk, ms, read_message, reset_connection,
    send, trace_id, two_workers, two_workers_with_max_poll_interval, wait_until_not_used,
};

/// A watch falls silent after sending `last_bytes`, and the watch that replaces it reports a drain. Checks
/// that the replacement is opened in time for the drain to be known when it must be, 6 s after the silence
/// began, and that the draining worker then gets no job.
fn assert_silent_watch_is_replaced(what: &str, last_bytes: &str) {
    let TwoWorkers { scheduler, a, b, mut watch } = two_workers_with_max_poll_interval(5_000.0);
    let mut since = Instant::now();
    if !last_bytes.is_empty() {
        send(&mut watch, last_bytes);
        since = Instant::now();
    }
    // From here on the first watch sends nothing but stays open. The update that it would have sent is sent
    // on the replacement.
    let mut second = accept(&scheduler.discovery);
    assert!(read_message(&mut second).contains("follow=1"), "{what}");
    assert!(since.elapsed() < ms(5_000), "{what}: {:?}", since.elapsed());
    let drain = endpoint_list(9, false, &[entry("s-a", &a, "draining")]);
    send(&mut second, &format!("{RESPONSE_HEAD}{}", line_chunk(&drain)));
    wait_until_not_used(&scheduler, &a);
    assert_all_jobs_go_to(&scheduler, &b, &a, 4);
}

#[test]
fn watch_silent_after_a_complete_line_is_replaced_in_time() {
    assert_silent_watch_is_replaced("after a line", "");
}

#[test]
fn watch_silent_after_a_keep_alive_is_replaced_in_time() {
    assert_silent_watch_is_replaced("after a keep-alive", &chunk("\n"));
}

#[test]
fn watch_silent_within_a_chunk_length_is_replaced_in_time() {
    assert_silent_watch_is_replaced("within a chunk's length", "1");
}

#[test]
fn watch_silent_within_a_line_is_replaced_in_time() {
    assert_silent_watch_is_replaced("within a line", &chunk("{\"index\":3,\"snapshot\":false,\"endp"));
}

#[test]
fn watch_silent_before_its_first_line_is_replaced_in_time() {
    // A watch that gets no byte after connecting, and one that gets a response head but no line.
    for first_bytes in ["", RESPONSE_HEAD] {
        let (a, b) = (bind_loopback(), bind_loopback());
        let scheduler = Scheduler::start(&[entry("s-a", &a, "ready"), entry("s-b", &b, "ready")]);
        let mut first = accept(&scheduler.discovery);
        read_message(&mut first);
        let since = Instant::now();
        send(&mut first, first_bytes);
        let mut second = accept(&scheduler.discovery);
        read_message(&mut second);
        assert!(since.elapsed() < ms(5_000), "{first_bytes:?}: {:?}", since.elapsed());
        let whole = endpoint_list(9, true, &[entry("s-a", &a, "draining"), entry("s-b", &b, "ready")]);
        send(&mut second, &format!("{RESPONSE_HEAD}{}", line_chunk(&whole)));
        wait_until_not_used(&scheduler, &a);
        assert_all_jobs_go_to(&scheduler, &b, &a, 4);
    }
}

#[test]
fn watch_reset_within_a_line_is_replaced_at_once_and_the_drain_takes_effect() {
    for cut in [1, 30, 70] {
        let TwoWorkers { scheduler, a, b, mut watch } = two_workers_with_max_poll_interval(5_000.0);
        let line = format!("{}\n", endpoint_list(9, false, &[entry("s-a", &a, "draining")]));
        send(&mut watch, &chunk(&line)[..cut]);
        let since = Instant::now();
        reset_connection(watch);
        // The drain counts as reported from when it was written, read or not, so the replacement must be
        // opened at once.
        let mut second = accept(&scheduler.discovery);
        read_message(&mut second);
        assert!(since.elapsed() < ms(250), "{cut}: {:?}", since.elapsed());
        send(&mut second, &format!("{RESPONSE_HEAD}{}", chunk(&line)));
        wait_until_not_used(&scheduler, &a);
        assert_all_jobs_go_to(&scheduler, &b, &a, 4);
    }
}

#[test]
fn drain_in_an_incomplete_line_takes_effect_and_a_second_watch_is_opened() {
    let TwoWorkers { scheduler, a, b, mut watch } = two_workers();
    let line =
        endpoint_list(3, false, &[entry("s-a", &a, "draining"), entry("s-b", &b, "ready")]).to_string();
    let first = line.find("}").expect("an entry's end") + 3;
    send(&mut watch, &chunk(&line[..first]));
    let since = Instant::now();
    // The rest of the line never arrives. A second watch is opened in addition to this one, which stays open.
    let mut second = accept(&scheduler.discovery);
    assert!(read_message(&mut second).contains("since=2"));
    assert!(
        since.elapsed() < Duration::from_secs(2),
        "the second watch is opened long before the first one counts as silent"
    );
    wait_until_not_used(&scheduler, &a);
    assert_all_jobs_go_to(&scheduler, &b, &a, 6);
    // The second watch reports a newer list, in which the worker is ready.
    send(
        &mut second,
        &format!("{RESPONSE_HEAD}{}", line_chunk(endpoint_list(4, false, &[entry("s-a", &a, "ready")]))),
    );
    wait_until_used(&scheduler, &a, &b);
}

/// Sends one job after another until `worker` serves one. Jobs before it may be served by `other`.
fn wait_until_used(scheduler: &Scheduler, worker: &TcpListener, other: &TcpListener) {
    worker.set_nonblocking(true).expect("set_nonblocking");
    other.set_nonblocking(true).expect("set_nonblocking");
    let since = Instant::now();
    for n in 0.. {
        let mut client = scheduler.send_request(&job_request("view", &format!("z{n}"), "x"));
        let (mut attempt, by_worker) = loop {
            assert!(since.elapsed() < TEST_TIMEOUT, "the worker was not used again in time");
            std::thread::sleep(ms(20));
            let (accepted, by_other) = (worker.accept(), other.accept());
            let by_worker = accepted.is_ok();
            if let Ok((attempt, _)) = accepted.or(by_other) {
                break (attempt, by_worker);
            }
        };
        attempt.set_nonblocking(false).expect("set_nonblocking");
        let request = read_message(&mut attempt);
        send(&mut attempt, &closing_response(trace_id(&request).expect("an id"), "yes"));
        read_message(&mut client);
        if by_worker {
            return;
        }
    }
}
