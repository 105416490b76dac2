//! The endpoint directory over loopback sockets: a scheduler, scripted discovery, and another scheduler's directory.
#![allow(missing_docs)]

mod stage;

use brackenledge_discovery::{Command, DiscoverySettings, EndpointDirectory, EndpointRecord};
use brackenledge_policy::Readiness;
use serde_json::{Value, json};
use stage::{
    HEAD, PATIENCE, Stage, accept, chunk, done, endpoint, job, list, listener, read_message, send, settings,
};
use std::collections::BTreeSet;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A scheduler with two servers that it knows, `s-a` and `s-b`, and a watch that has told nothing new.
fn two_servers() -> (Stage, TcpListener, TcpListener, TcpStream) {
    two_servers_asked_within(60_000.0)
}

/// The same with this time for which a list holds without a watch.
fn two_servers_asked_within(max_poll_interval: f64) -> (Stage, TcpListener, TcpListener, TcpStream) {
    let (a, b) = (listener(), listener());
    let at = |worker: &TcpListener| worker.local_addr().expect("an address");
    let mut config = settings();
    // What the module itself waits after a failed call must have no part in these stories.
    config["obligations"]["ask-within"] = json!(max_poll_interval);
    let known = [endpoint("s-a", at(&a), "ready"), endpoint("s-b", at(&b), "ready")];
    let stage = Stage::start_with(config, &known, None);
    let (_, watch) = stage.watch(&[list(2, false, &[])]);
    stage.until_up();
    (stage, a, b, watch)
}

fn entry(name: &str, worker: &TcpListener, status: &str) -> Value {
    endpoint(name, worker.local_addr().expect("an address"), status)
}

/// Sends jobs until this many have been served by `b`, and checks that `a` was not even connected to.
fn all_go_to(stage: &Stage, a: &TcpListener, b: &TcpListener, jobs: usize) {
    for n in 0..jobs {
        let id = format!("go{n}");
        let mut client = stage.ask(&job("view", &id, "x"));
        let mut served = accept(b);
        assert!(read_message(&mut served).contains(&id));
        send(
            &mut served,
            &done(&id, "yes").replace("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"),
        );
        assert!(read_message(&mut client).starts_with("HTTP/1.1 200 "));
    }
    a.set_nonblocking(true).expect("a mode");
    assert!(a.accept().is_err(), "a job went to the other server");
}

/// Waits until jobs are not sent to `a` any more: one that is would be answered by nobody.
fn until_avoided(stage: &Stage, a: &TcpListener) {
    // The messages and lines that tell are read before a request that comes after them; give them a moment.
    stage.until_up();
    std::thread::sleep(Duration::from_millis(100));
    a.set_nonblocking(true).expect("a mode");
    while a.accept().is_ok() {}
}

#[test]
fn a_drain_in_a_line_that_stands_still_counts_and_the_rest_is_asked_for() {
    let (stage, a, b, mut watch) = two_servers();
    let line = list(3, false, &[entry("s-a", &a, "draining"), entry("s-b", &b, "ready")]).to_string();
    let first = line.find("}").expect("an entry's end") + 3;
    send(&mut watch, &chunk(&line[..first]));
    let since = Instant::now();
    // Bytes are accepted and never delivered: a second watch is opened beside this one, which stays open.
    let mut second = accept(&stage.discovery);
    assert!(read_message(&mut second).contains("since=2"));
    assert!(since.elapsed() < Duration::from_secs(2), "long before silence alone would tell");
    until_avoided(&stage, &a);
    all_go_to(&stage, &a, &b, 6);
    // The other one tells that it was nothing: a newer list names it ready.
    send(
        &mut second,
        &format!("{HEAD}{}", chunk(&format!("{}\n", list(4, false, &[entry("s-a", &a, "ready")])))),
    );
    a.set_nonblocking(false).expect("a mode");
    let mut client = stage.ask(&job("view", "z1", "x"));
    let since = Instant::now();
    let mut n = 0;
    // Either may be chosen; both are, soon.
    while since.elapsed() < PATIENCE {
        n += 1;
        a.set_nonblocking(true).expect("a mode");
        b.set_nonblocking(true).expect("a mode");
        std::thread::sleep(Duration::from_millis(20));
        let (at_a, at_b) = (a.accept(), b.accept());
        let to_a = at_a.is_ok();
        let Ok((mut served, _)) = at_a.or(at_b) else { continue };
        served.set_nonblocking(false).expect("a mode");
        let request = read_message(&mut served);
        let id = request.split("X-Trace-Id: ").nth(1).and_then(|t| t.split("\r\n").next()).expect("an id");
        let close =
            done(id, "yes").replace("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n");
        send(&mut served, &close);
        read_message(&mut client);
        if to_a {
            return;
        }
        client = stage.ask(&job("view", &format!("z{}", n + 1), "x"));
    }
    panic!("the server is held back for good");
}

/// The gossip of another scheduler whose watch has brought this update.
fn other_scheduler(entries: &[(&str, Readiness)], index: u64) -> Vec<String> {
    other_scheduler_after(&[(index, entries)])
}

/// The same after several updates of its watch.
fn other_scheduler_after(updates: &[(u64, &[(&str, Readiness)])]) -> Vec<String> {
    let settings = DiscoverySettings {
        ordinal: 1,
        schedulers: 2,
        gossip: true,
        push_mode: false,
        max_list_age: 10_000.0,
        seed: 1,
    };
    let mut directory = EndpointDirectory::new(0.0, settings);
    let listed = |name: &str, readiness| EndpointRecord {
        name: name.into(),
        address: None,
        zone: 0,
        kind: 0,
        cell: 0,
        readiness,
        weight: 1.0,
        started_at: None,
    };
    let known: BTreeSet<&str> =
        updates.iter().flat_map(|(_, entries)| entries.iter().map(|(name, _)| *name)).collect();
    directory.load_cached(0.0, 1, known.into_iter().map(|name| listed(name, Readiness::Ready)).collect());
    directory.set_watching(0.0, true);
    let mut texts = Vec::new();
    while let Some(command) = directory.poll_command() {
        if let Command::OpenRequest { request, .. } = command {
            directory.handle_response_head(1.0, request);
            for &(index, entries) in updates {
                for (name, readiness) in entries {
                    directory.handle_entry(1.0, request, listed(name, *readiness));
                }
                directory.handle_update(1.0, request, index, false);
            }
        } else if let Command::SendMessage { text, .. } = command {
            texts.push(text);
        }
    }
    texts
}

#[test]
fn what_another_scheduler_has_heard_counts_while_the_own_watch_is_dead() {
    let (stage, a, b, _watch) = two_servers();
    for text in other_scheduler(&[("s-a", Readiness::Draining)], 7) {
        stage.peer.send_to(text.as_bytes(), stage.peer_address).expect("sent");
    }
    until_avoided(&stage, &a);
    all_go_to(&stage, &a, &b, 6);
    // It wants to know what it has missed, though its watch is not late yet; and the sender hears that it has heard.
    let mut buffer = [0; 300];
    let since = Instant::now();
    loop {
        let length = stage.peer.recv(&mut buffer).expect("a message");
        if buffer[..length].starts_with(b"!N") {
            break;
        }
        assert!(since.elapsed() < PATIENCE);
    }
    let mut second = accept(&stage.discovery);
    assert!(read_message(&mut second).contains("since=2"));
}

#[test]
fn the_log_says_how_an_endpoints_status_changed_in_both_directions_and_by_whom() {
    let (stage, a, _b, mut watch) = two_servers();
    send(&mut watch, &chunk(&format!("{}\n", list(3, false, &[entry("s-a", &a, "draining")]))));
    stage.until_logged(&[
        "endpoint_status_changed, endpoint: s-a, from: ready, to: draining, source: watch, revision: 3",
    ]);
    send(&mut watch, &chunk(&format!("{}\n", list(4, false, &[entry("s-a", &a, "ready")]))));
    stage.until_logged(&[
        "endpoint_status_changed, endpoint: s-a, from: draining, to: ready, source: watch, revision: 4",
    ]);
    for text in other_scheduler(&[("s-b", Readiness::Gone)], 7) {
        stage.peer.send_to(text.as_bytes(), stage.peer_address).expect("sent");
    }
    stage.until_logged(&[
        "endpoint_status_changed, endpoint: s-b, from: ready, to: gone, source: peer_1, revision: 7",
    ]);
}

#[test]
fn the_log_counts_statuses_where_an_update_changes_many() {
    let (stage, a, b, mut watch) = two_servers();
    let many = |status: &str| -> Vec<Value> {
        (0..300).map(|n| endpoint(&format!("m-{n}"), a.local_addr().expect("an address"), status)).collect()
    };
    send(&mut watch, &chunk(&format!("{}\n", list(3, false, &many("ready")))));
    send(&mut watch, &chunk(&format!("{}\n", list(4, false, &many("draining")))));
    stage.until_logged(&["endpoint_status_changed_many, ", "to_draining: ", "revision: 4"]);
    send(&mut watch, &chunk(&format!("{}\n", list(5, false, &many("ready")))));
    stage.until_logged(&[
        "endpoint_status_changed_many, to_ready: 300, to_draining: 0, to_gone: 0, source: watch, revision: 5",
    ]);
    send(&mut watch, &chunk(&format!("{}\n", list(6, false, &[entry("s-b", &b, "draining")]))));
    stage.until_logged(&["endpoint_status_changed, endpoint: s-b, "]);
    assert_eq!(
        stage.logged("endpoint_status_changed, "),
        1,
        "no line for those of the many, nor for added ones"
    );
}

#[test]
fn after_a_restart_a_server_that_peers_withdrew_waits_for_the_own_list_whatever_peers_say_of_its_return() {
    let (a, b) = (listener(), listener());
    let stage = Stage::start(&[entry("s-a", &a, "ready"), entry("s-b", &b, "ready")]);
    // Discovery has much to do: the watch is open and has not been answered.
    let mut watch = accept(&stage.discovery);
    read_message(&mut watch);
    stage.until_up();
    let lines: [(u64, &[(&str, Readiness)]); 2] =
        [(7, &[("s-a", Readiness::Gone)]), (9, &[("s-a", Readiness::Ready)])];
    for text in other_scheduler_after(&lines) {
        stage.peer.send_to(text.as_bytes(), stage.peer_address).expect("sent");
    }
    until_avoided(&stage, &a);
    all_go_to(&stage, &a, &b, 6);
    let whole = list(9, true, &[entry("s-a", &a, "ready"), entry("s-b", &b, "ready")]);
    send(&mut watch, &format!("{HEAD}{}", chunk(&format!("{whole}\n"))));
    std::thread::sleep(Duration::from_millis(100));
    // Both take jobs now: two at once go to one each.
    let _clients = [stage.ask(&job("view", "r1", "x")), stage.ask(&job("view", "r2", "x"))];
    accept(&a);
    accept(&b);
}

#[test]
fn garbled_word_from_another_scheduler_changes_nothing() {
    let (stage, a, b, _watch) = two_servers();
    for text in other_scheduler(&[("s-a", Readiness::Draining), ("s-b", Readiness::Draining)], 7) {
        for at in 1..text.len() {
            let mut bytes = text.clone().into_bytes();
            bytes[at] = if bytes[at] == b'z' { b'y' } else { b'z' };
            stage.peer.send_to(&bytes, stage.peer_address).expect("sent");
        }
    }
    std::thread::sleep(Duration::from_millis(100));
    // Both still take jobs: two at once go to one each.
    let _clients = [stage.ask(&job("view", "g1", "x")), stage.ask(&job("view", "g2", "x"))];
    accept(&a);
    accept(&b);
}

#[test]
fn a_list_of_ten_thousand_servers_is_taken_whole_and_a_change_of_one_is_found() {
    let worker = listener();
    let at = worker.local_addr().expect("an address");
    let stage = Stage::start(&[]);
    let mut many: Vec<Value> =
        (0..10_000).map(|n| endpoint(&format!("server-with-a-long-name-{n:06}"), at, "draining")).collect();
    many.push(endpoint("s-a", at, "ready"));
    let whole = list(2, true, &many).to_string();
    assert!(whole.len() > 1024 * 1024, "a list that once was dropped whole");
    let (_, mut watch) = {
        let mut call = accept(&stage.discovery);
        let request = read_message(&mut call);
        send(&mut call, HEAD);
        send(&mut call, &chunk(&format!("{whole}\n")));
        (request, call)
    };
    stage.until_up();
    stage.serves(&worker, "ten1");
    assert!(stage.memory_kb() < 32 * 1024, "{} kB", stage.memory_kb());
    send(&mut watch, &chunk(&format!("{}\n", list(3, false, &[endpoint("s-a", at, "draining")]))));
    std::thread::sleep(Duration::from_millis(200));
    let answer = read_message(&mut stage.ask(&job("view", "ten2", "x")));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
}

#[test]
fn a_list_that_goes_back_is_believed() {
    let (stage, a, b, mut watch) = two_servers();
    send(&mut watch, &chunk(&format!("{}\n", list(90, false, &[entry("s-b", &b, "draining")]))));
    std::thread::sleep(Duration::from_millis(100));
    drop(watch);
    // Discovery has begun anew, and knows nothing of version 90.
    let whole = list(1, true, &[entry("s-a", &a, "draining"), entry("s-b", &b, "ready")]);
    let (request, _watch) = stage.watch(&[whole]);
    assert!(request.contains("since=90"), "{request}");
    until_avoided(&stage, &a);
    all_go_to(&stage, &a, &b, 3);
}

/// Figures for `docs/measurements/discovery.md`, by size of the list: `cargo test --release --locked -p brackenledge
/// --test discovery -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn what_lists_cost_by_their_size() {
    println!("servers  list kB  start to first served, ms  memory kB  CPU of a change of one, us");
    for size in [10, 100, 1_000, 10_000, 50_000] {
        let worker = listener();
        let at = worker.local_addr().expect("an address");
        let since = Instant::now();
        let stage = Stage::start(&[]);
        let many: Vec<Value> = (0..size).map(|n| endpoint(&format!("s-{n:08x}"), at, "ready")).collect();
        let whole = list(1, true, &many).to_string();
        let mut call = accept(&stage.discovery);
        read_message(&mut call);
        send(&mut call, &format!("{HEAD}{}", chunk(&format!("{whole}\n"))));
        stage.until_up();
        stage.serves(&worker, "first");
        let first = since.elapsed().as_secs_f64() * 1_000.0;
        let memory = stage.memory_kb();
        let (changes, before) = (4_000, stage.cpu_ticks());
        for n in 0..changes {
            let state = if n % 2 == 0 { "draining" } else { "ready" };
            let name = format!("s-{:08x}", n / 2 % size);
            send(
                &mut call,
                &chunk(&format!("{}\n", list(2 + n as u64, false, &[endpoint(&name, at, state)]))),
            );
        }
        stage.serves(&worker, "last");
        // A tick of processor time is 10 ms on every system that has /proc.
        let each = (stage.cpu_ticks() - before) as f64 * 10_000.0 / changes as f64;
        println!("{size:>7}  {:>7}  {first:>25.0}  {memory:>9}  {each:>26.1}", whole.len() / 1024);
    }
}

/// A watch that falls silent this way, and the word of a drain on the next one: nothing goes to the drained server
/// once that word counts as told, 6 s after the silence began.
fn a_silence(what: &str, last_words: &str) {
    let (stage, a, b, mut watch) = two_servers_asked_within(5_000.0);
    let mut since = Instant::now();
    if !last_words.is_empty() {
        send(&mut watch, last_words);
        since = Instant::now();
    }
    // From here on it says nothing and stays open. What it would have told is told to whoever asks again, and that is
    // in time for the drain's word to be heard before it counts.
    let mut second = accept(&stage.discovery);
    assert!(read_message(&mut second).contains("follow=1"), "{what}");
    assert!(since.elapsed() < Duration::from_millis(5_000), "{what}: {:?}", since.elapsed());
    let drain = list(9, false, &[entry("s-a", &a, "draining")]);
    send(&mut second, &format!("{HEAD}{}", chunk(&format!("{drain}\n"))));
    until_avoided(&stage, &a);
    all_go_to(&stage, &a, &b, 4);
}

#[test]
fn a_watch_that_falls_silent_behind_a_whole_line_is_replaced_in_time() {
    a_silence("behind a line", "");
}

#[test]
fn a_watch_that_falls_silent_behind_a_beat_is_replaced_in_time() {
    a_silence("behind a beat", &chunk("\n"));
}

#[test]
fn a_watch_that_falls_silent_within_a_chunks_length_is_replaced_in_time() {
    a_silence("within a chunk's length", "1");
}

#[test]
fn a_watch_that_falls_silent_within_a_line_is_replaced_in_time() {
    a_silence("within a line", &chunk("{\"index\":3,\"snapshot\":false,\"endp"));
}

#[test]
fn a_watch_that_never_says_a_thing_is_replaced_in_time() {
    // Its connection comes up; no byte comes. And one whose head comes and no line.
    for front in ["", HEAD] {
        let (a, b) = (listener(), listener());
        let stage = Stage::start(&[entry("s-a", &a, "ready"), entry("s-b", &b, "ready")]);
        let mut first = accept(&stage.discovery);
        read_message(&mut first);
        let since = Instant::now();
        send(&mut first, front);
        let mut second = accept(&stage.discovery);
        read_message(&mut second);
        assert!(since.elapsed() < Duration::from_millis(5_000), "{front:?}: {:?}", since.elapsed());
        let whole = list(9, true, &[entry("s-a", &a, "draining"), entry("s-b", &b, "ready")]);
        send(&mut second, &format!("{HEAD}{}", chunk(&format!("{whole}\n"))));
        until_avoided(&stage, &a);
        all_go_to(&stage, &a, &b, 4);
    }
}

#[test]
fn a_watch_reset_within_a_line_is_replaced_in_time_and_what_the_line_took_away_is_gone() {
    for cut in [1, 30, 70] {
        let (stage, a, b, mut watch) = two_servers_asked_within(5_000.0);
        let line = format!("{}\n", list(9, false, &[entry("s-a", &a, "draining")]));
        send(&mut watch, &chunk(&line)[..cut]);
        let since = Instant::now();
        let socket = socket2::Socket::from(watch);
        socket.set_linger(Some(Duration::ZERO)).expect("an option");
        drop(socket);
        // All that was written to it counts as told, whether it was read or not.
        let mut second = accept(&stage.discovery);
        read_message(&mut second);
        assert!(since.elapsed() < Duration::from_millis(250), "{cut}: {:?}", since.elapsed());
        send(&mut second, &format!("{HEAD}{}", chunk(&line)));
        until_avoided(&stage, &a);
        all_go_to(&stage, &a, &b, 4);
    }
}
