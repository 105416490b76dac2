//! What is owed at the instant at which something ends: stories over loopback sockets, each forced by the order of
//! events. The table that they belong to stands in `docs/design/endings.md`.
#![allow(missing_docs)]

mod stage;

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use stage::{
    HEAD, PATIENCE, Stage, accept, chunk, done, ended, endpoint, figure, job, list, listener, one_worker,
    read_message, send, settings,
};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Settings under which running work can't be called off, and nothing is given up for its age within a story.
fn lasting() -> Value {
    let mut settings = settings();
    settings["limits"]["cancelling"] = json!(false);
    settings["limits"]["connect-timeout"] = json!(30_000.0);
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(60_000.0);
        class["goal-time"] = json!(60_000.0);
    }
    settings
}

/// A job that waits for as long as such settings let it.
fn lasting_job(class: &str, id: &str, body: &str) -> String {
    job(class, id, body).replace("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: 60000")
}

/// A worker's machine on which no further connection comes up: its queue holds one, and has it.
fn full_worker() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(0).expect("it listens");
    let listener = TcpListener::from(socket);
    let first = TcpStream::connect(listener.local_addr().expect("an address")).expect("room for one");
    (listener, first)
}

/// A scheduler that knows this worker.
fn stage_with(settings: Value, worker: &TcpListener) -> Stage {
    let known = endpoint("s-a", worker.local_addr().expect("an address"), "ready");
    Stage::start_with(settings, &[known], None)
}

/// Waits until so many jobs are owed an answer.
fn until_owed(stage: &Stage, owed: f64) {
    let since = Instant::now();
    while figure(&stage.call(b"INFO\n"), "open_requests") != owed {
        assert!(since.elapsed() < PATIENCE, "not {owed} jobs are owed");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Everything that reaches a worker within this time, on any connection.
fn all_that_comes(worker: &TcpListener, within: Duration) -> String {
    worker.set_nonblocking(true).expect("a mode");
    let (since, mut open, mut text) = (Instant::now(), Vec::<TcpStream>::new(), Vec::new());
    while since.elapsed() < within {
        if let Ok((stream, _)) = worker.accept() {
            stream.set_nonblocking(true).expect("a mode");
            open.push(stream);
        }
        for stream in &mut open {
            let mut bytes = [0; 4096];
            match stream.read(&mut bytes) {
                Ok(count) => text.extend_from_slice(&bytes[..count]),
                Err(e) => {
                    assert!(matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::ConnectionReset), "{e}")
                }
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// TCP asks again for a connection that was not let in after 1 and 3 s.
const ASKED_AGAIN: Duration = Duration::from_millis(3_600);

#[test]
fn a_job_whose_client_leaves_while_its_connection_comes_up_is_not_sent() {
    let (worker, first) = full_worker();
    let stage = stage_with(lasting(), &worker);
    let client = stage.ask(&lasting_job("sale", "c1", "x"));
    until_owed(&stage, 1.0);
    drop(client);
    until_owed(&stage, 0.0);
    // Only now does the machine let connections in.
    drop(first);
    let came = all_that_comes(&worker, ASKED_AGAIN);
    assert!(!came.contains("X-Trace-Id: c1"), "{came}");
    stage.serves(&worker, "c2");
}

#[test]
fn a_job_whose_client_leaves_while_it_waits_for_a_worker_is_not_sent() {
    // No worker is ready yet.
    let worker = listener();
    let at = worker.local_addr().expect("an address");
    let stage = Stage::start_with(lasting(), &[endpoint("s-a", at, "draining")], None);
    let (_, mut watch) = stage.watch(&[list(2, true, &[endpoint("s-a", at, "draining")])]);
    let client = stage.ask(&lasting_job("view", "q1", "x"));
    until_owed(&stage, 1.0);
    drop(client);
    until_owed(&stage, 0.0);
    let ready = list(3, false, &[endpoint("s-a", at, "ready")]);
    send(&mut watch, &chunk(&format!("{ready}\n")));
    stage.serves(&worker, "q2");
}

#[test]
fn a_job_handed_back_after_its_client_left_is_not_sent_again() {
    for class in ["view", "sale", "buy"] {
        let mut settings = lasting();
        settings["classes"].as_array_mut().expect("classes").iter_mut().for_each(|class| {
            // A worker that has handed one back is asked again after a part of this.
            class["goal-time"] = json!(400.0);
        });
        let worker = listener();
        let stage = stage_with(settings, &worker);
        let client = stage.ask(&lasting_job(class, "r1", "x"));
        let mut served = accept(&worker);
        read_message(&mut served);
        drop(client);
        until_owed(&stage, 0.0);
        send(
            &mut served,
            "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        );
        let came = all_that_comes(&worker, Duration::from_millis(1_000));
        assert_eq!(came, "");
    }
}

#[test]
fn a_client_that_leaves_behind_more_than_is_read_early_is_missed_all_the_same() {
    let mut settings = lasting();
    settings["limits"]["cancelling"] = json!(true);
    let worker = listener();
    let stage = stage_with(settings, &worker);
    for early in [1, 8 * 1024, 100_000] {
        let mut client = stage.ask(&lasting_job("view", "e1", "x"));
        let mut served = accept(&worker);
        read_message(&mut served);
        // It says far more than its one request, and goes.
        send(&mut client, &"POST /view/k1 HTTP/1.1\r\n".repeat(early / 24 + 1));
        drop(client);
        assert!(ended(&mut served), "the worker runs on for nobody after {early} early bytes");
        until_owed(&stage, 0.0);
    }
}

#[test]
fn early_bytes_that_are_dropped_end_the_connection_with_the_answer_and_hide_no_request() {
    let (stage, worker) = one_worker();
    let mut client = stage.ask(&job("view", "h1", "x"));
    let mut served = accept(&worker);
    read_message(&mut served);
    let early = format!("{}{}", "x".repeat(9 * 1024), job("sale", "h2", "hidden"));
    send(&mut client, &early);
    until_owed(&stage, 1.0);
    send(&mut served, &done("h1", "yes"));
    let answer = read_message(&mut client);
    assert!(answer.ends_with("\r\n\r\nyes") && answer.contains("Connection: close"), "{answer}");
    assert!(ended(&mut client));
    let came = all_that_comes(&worker, Duration::from_millis(500));
    assert_eq!(came, "");
}

/// The time at which a stopped program has to have answered all: the protocol's SIGKILL.
fn sigkill(since: Instant, deadline: u64) -> Instant {
    since + Duration::from_millis(deadline.min(3_000) + 700)
}

/// Reads a whole answer that must have come by then.
fn answer_by(client: &mut TcpStream, then: Instant, what: &str) -> String {
    let left = then.saturating_duration_since(Instant::now());
    assert!(!left.is_zero(), "{what}: SIGKILL has come");
    client.set_read_timeout(Some(left)).expect("a time-out");
    let answer = read_message(client);
    assert!(Instant::now() < then, "{what}: answered after SIGKILL: {answer}");
    answer
}

/// SIGTERM with hung workers and a request at each stage of its way, under classes of this deadline.
fn a_stop_with(deadline: u64) {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(deadline as f64);
    }
    let job = |id: &str| job("view", id, "x").replace("Ms: 4000", &format!("Ms: {deadline}"));
    let worker = listener();
    let mut stage = stage_with(settings, &worker);
    stage.until_up();
    let mut kept = stage.ask(&job("k0"));
    let mut served = accept(&worker);
    read_message(&mut served);
    send(&mut served, &done("k0", "yes"));
    assert!(read_message(&mut kept).starts_with("HTTP/1.1 200 "));
    // From here on the worker says nothing. One request is with it, one half read.
    let mut hung = stage.ask(&job("t1"));
    until_owed(&stage, 1.0);
    let late = job("t2");
    let (front, rest) = late.split_at(late.len() / 2);
    let mut half = stage.ask(front);
    stage.signal("-TERM");
    let since = Instant::now();
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    while !read_message(&mut stage.ask(up)).starts_with("HTTP/1.1 503 ") {
        assert!(since.elapsed() < PATIENCE, "it goes on");
    }
    send(&mut half, rest);
    let mut fresh = stage.ask(&job("t3"));
    // Behind 0.7 s clients use whatever is open still, and what is taken then must be answered.
    std::thread::sleep(Duration::from_millis(750).saturating_sub(since.elapsed()));
    let then = sigkill(since, deadline);
    let taken = std::io::Write::write_all(&mut kept, job("t4").as_bytes()).is_ok();
    for (client, what) in [(&mut hung, "in hand"), (&mut half, "half read"), (&mut fresh, "new")] {
        let answer = answer_by(client, then, what);
        assert!(answer.starts_with("HTTP/1.1 50"), "{what} {answer}");
    }
    kept.set_read_timeout(Some(then.saturating_duration_since(Instant::now()))).expect("a time-out");
    let mut answer = Vec::new();
    let read = kept.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(Instant::now() < then, "{deadline}: taken {taken}, nothing was said: {read:?} {answer}");
    // It was ended before the request was read, or it has its answer.
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 50"), "{answer}");
    drop((hung, half, fresh, kept));
    assert!(stage.ended().success());
}

#[test]
fn a_stop_answers_all_before_sigkill_with_deadlines_of_800_ms() {
    a_stop_with(800);
}

#[test]
fn a_stop_answers_all_before_sigkill_with_deadlines_of_1500_ms() {
    a_stop_with(1_500);
}

#[test]
fn a_stop_answers_all_before_sigkill_with_deadlines_of_5_s() {
    a_stop_with(5_000);
}

#[test]
fn a_second_answer_on_its_way_is_not_taken_for_the_next_requests() {
    let (stage, worker) = one_worker();
    // Both at once: the second goes out in the turn that reads the first one's answer.
    let mut client = stage.ask(&format!("{}{}", job("sale", "d1", "x"), job("sale", "d2", "y")));
    let mut first = accept(&worker);
    read_message(&mut first);
    send(&mut first, &done("d1", "one"));
    let mut second = accept(&worker);
    assert!(read_message(&mut second).contains("X-Trace-Id: d2\r\n"));
    // This one names no request and says that what it is about never ran.
    send(&mut first, "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
    assert!(ended(&mut first));
    send(&mut second, &done("d2", "two"));
    assert!(read_message(&mut client).ends_with("\r\n\r\none"));
    assert!(read_message(&mut client).ends_with("\r\n\r\ntwo"));
    assert_eq!(all_that_comes(&worker, Duration::from_millis(300)), "", "it was sent a second time");
}

#[test]
fn a_line_that_names_no_request_is_no_answer() {
    let (stage, worker) = one_worker();
    let lines = [
        r#"{"state":"done","result":"whose?"}"#,
        r#"{"id":"other","state":"done","result":"whose?"}"#,
        r#"{"state":"returned"}"#,
    ];
    for line in lines {
        let mut client = stage.ask(&job("sale", "l1", "x"));
        let mut served = accept(&worker);
        read_message(&mut served);
        send(&mut served, &format!("{HEAD}{}0\r\n\r\n", chunk(&format!("{line}\n"))));
        let answer = read_message(&mut client);
        // It may have run: it is neither served, nor refused, nor sent again.
        assert!(answer.starts_with("HTTP/1.1 502 "), "{line} {answer}");
    }
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    let socket = Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("an option");
}

#[test]
fn a_reset_at_any_byte_of_an_answer_ends_that_attempt_as_one_that_may_have_run() {
    let started = chunk("{\"id\":\"x1\",\"state\":\"started\"}\n");
    let last = "{\"id\":\"x1\",\"state\":\"done\",\"result\":\"yes\"}\n";
    let whole = format!("{HEAD}{started}{}", chunk(last));
    let cuts = [
        ("before a byte", 0),
        ("in the status line", 9),
        ("in the head", HEAD.len() - 3),
        ("behind the head", HEAD.len()),
        ("in a chunk's length", HEAD.len() + 1),
        ("in the first line", HEAD.len() + 12),
        ("behind the first line", HEAD.len() + started.len()),
        ("in the last line", whole.len() - 20),
    ];
    for class in ["view", "sale", "buy"] {
        for (region, cut) in cuts {
            let (stage, worker) = one_worker();
            let mut client = stage.ask(&job(class, "x1", "x"));
            let mut served = accept(&worker);
            read_message(&mut served);
            send(&mut served, &whole[..cut]);
            if cut > 0 {
                // What was sent is read before the reset that would throw it away.
                until_read(&served);
            }
            reset(served);
            if class == "sale" {
                let answer = read_message(&mut client);
                assert!(answer.starts_with("HTTP/1.1 502 "), "{region}: {answer}");
                assert_eq!(all_that_comes(&worker, Duration::from_millis(100)), "", "{region}: a second run");
            } else {
                // Repeats of these are harmless here, and go on within the client's time.
                let mut again = accept(&worker);
                assert!(read_message(&mut again).contains("X-Trace-Id: x1\r\n"), "{region}");
                send(&mut again, &done("x1", "again"));
                let answer = read_message(&mut client);
                assert!(answer.ends_with("\r\n\r\nagain"), "{class} {region}: {answer}");
            }
        }
    }
}

/// Waits until the other side has taken all that was sent: nothing of it is unacknowledged or unread any more.
fn until_read(stream: &TcpStream) {
    let (local, peer) = (stream.local_addr().expect("an address"), stream.peer_addr().expect("an address"));
    let hex = |at: SocketAddr| match at {
        SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port()),
        SocketAddr::V6(_) => unreachable!("loopback of IPv4"),
    };
    // The other end of it, by its queue of what was received and not read.
    let ends = format!("{} {}", hex(peer), hex(local));
    let since = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
        let line = table.lines().find(|line| line.contains(&ends));
        let queues = line.and_then(|line| line.split_whitespace().nth(4));
        if queues.is_none_or(|queues| queues.ends_with(":00000000")) {
            return;
        }
        assert!(since.elapsed() < PATIENCE, "it is not read");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn an_answer_that_never_ends_ends_with_its_attempts_time_and_gives_all_back() {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(1_000.0);
    }
    let worker = listener();
    let stage = stage_with(settings, &worker);
    let endless = [
        "HTTP/1.1 200 OK\r\nX: y\r\n",
        HEAD,
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
        &format!("{HEAD}{}", chunk("{\"id\":\"n1\",\"state\":\"started\"}\n")),
        &format!("{HEAD}ffff\r\n"),
    ];
    for front in endless {
        let mut client = stage.ask(&job("sale", "n1", "x").replace("4000", "1000"));
        let mut served = accept(&worker);
        read_message(&mut served);
        send(&mut served, front);
        served.set_nonblocking(true).expect("a mode");
        let (since, mut over) = (Instant::now(), false);
        while !over {
            // It says on and on, until the scheduler has had enough.
            let wrote = std::io::Write::write(&mut served, b" ");
            over = wrote.is_err_and(|e| e.kind() != ErrorKind::WouldBlock)
                || matches!(served.read(&mut [0; 16]), Ok(0));
            assert!(since.elapsed() < PATIENCE, "{front:?} is listened to for ever");
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(read_message(&mut client).starts_with("HTTP/1.1 502 "), "{front:?}");
        until_owed(&stage, 0.0);
    }
    stage.serves(&worker, "n2");
}

#[test]
fn a_client_that_is_closed_for_room_is_read_first() {
    // So few descriptors that hundreds of connections push one another out.
    let worker = listener();
    let known = endpoint("s-a", worker.local_addr().expect("an address"), "ready");
    let stage = Stage::start_with(settings(), &[known], Some(128));
    let mut kept = stage.connect();
    send(&mut kept, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    read_message(&mut kept);
    // Nobody runs while it is stopped: the crowd and the request are all there when it goes on.
    stage.signal("-STOP");
    let crowd: Vec<TcpStream> = (0..200).map(|_| stage.connect()).collect();
    send(&mut kept, &job("view", "v1", "x"));
    stage.signal("-CONT");
    let mut served = accept(&worker);
    assert!(read_message(&mut served).contains("X-Trace-Id: v1\r\n"));
    send(&mut served, &done("v1", "yes"));
    assert!(read_message(&mut kept).ends_with("\r\n\r\nyes"));
    drop(crowd);
}

#[test]
fn a_stop_answers_a_job_whose_connection_is_still_coming_up() {
    let mut settings = lasting();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(5_000.0);
    }
    let (worker, _first) = full_worker();
    let mut stage = stage_with(settings, &worker);
    let mut client = stage.ask(&job("sale", "u1", "x").replace("4000", "5000"));
    until_owed(&stage, 1.0);
    stage.signal("-TERM");
    let since = Instant::now();
    let answer = answer_by(&mut client, sigkill(since, 5_000), "connecting");
    // No byte of it has left: it may be brought again.
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
    drop(client);
    assert!(stage.ended().success());
    let came = all_that_comes(&worker, Duration::from_millis(200));
    assert!(!came.contains("u1"), "{came}");
}

#[test]
fn a_stop_refuses_a_job_that_still_waits_for_a_worker() {
    let worker = listener();
    let at = worker.local_addr().expect("an address");
    let mut settings = lasting();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(1_500.0);
    }
    let mut stage = Stage::start_with(settings, &[endpoint("s-a", at, "draining")], None);
    let (_, _watch) = stage.watch(&[list(2, true, &[endpoint("s-a", at, "draining")])]);
    let mut client = stage.ask(&job("sale", "w1", "x").replace("4000", "1500"));
    until_owed(&stage, 1.0);
    stage.signal("-TERM");
    let since = Instant::now();
    let answer = answer_by(&mut client, sigkill(since, 1_500), "queued");
    // No worker ever had it, so that it may be brought again.
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
    drop(client);
    assert!(stage.ended().success());
}

#[test]
fn settings_without_any_of_their_optional_parts_serve_every_effect_under_any_name() {
    let cut = |path: &[&str]| {
        let mut settings = settings();
        let (last, front) = path.split_last().expect("a key");
        let holder = front.iter().fold(&mut settings, |value, key| &mut value[*key]);
        holder.as_object_mut().expect("an object").remove(*last);
        settings
    };
    let mut all: Vec<(String, Value)> = [
        &["limits", "cancelling"][..],
        &["limits", "peer-messages"],
        &["limits", "retry-after"],
        &["limits", "max-retry-after"],
        &["limits", "max-attempts"],
        &["limits", "connect-timeout"],
        &["limits", "conn-idle"],
        &["limits", "second-copies"],
        &["limits"],
        &["specifics", "tells-start"],
        &["specifics"],
        &["report"],
        &["obligations"],
        &["zones"],
        &["shapes"],
        &["tenants"],
        &["discovery"],
    ]
    .into_iter()
    .map(|path| (path.join("."), cut(path)))
    .collect();
    let mut pushed = settings();
    pushed["discovery"] = json!("pushed");
    all.push(("pushed".into(), pushed));
    for (what, settings) in all {
        // No class's effect is told by its name.
        for shift in 0..3 {
            let mut settings = settings.clone();
            let effects = ["pure", "side_effect", "token"];
            for (at, class) in settings["classes"].as_array_mut().expect("classes").iter_mut().enumerate() {
                class["effect"] = json!(effects[(at + shift) % 3]);
                class.as_object_mut().expect("an object").remove("group");
            }
            if shift > 0 && what != "limits" {
                continue;
            }
            let worker = listener();
            let stage = stage_with(settings, &worker);
            for (at, class) in ["view", "sale", "buy"].into_iter().enumerate() {
                let id = format!("o{at}");
                let mut client = stage.ask(&job(class, &id, "x"));
                let mut served = accept(&worker);
                assert!(read_message(&mut served).contains(&format!("X-Trace-Id: {id}\r\n")), "{what}");
                // What may have run is sent again only where its effect allows that, whatever its name says.
                if (at + shift) % 3 == 1 {
                    reset(served);
                    let answer = read_message(&mut client);
                    assert!(answer.starts_with("HTTP/1.1 502 "), "without {what}, {class}: {answer}");
                    continue;
                }
                let line = json!({"id": id, "state": "done", "result": "yes"});
                let answer = format!("{HEAD}{}0\r\n\r\n", chunk(&format!("{line}\n")));
                send(&mut served, &answer.replace("chunked\r\n", "chunked\r\nConnection: close\r\n"));
                let answer = read_message(&mut client);
                assert!(answer.ends_with("\r\n\r\nyes"), "without {what}, {class}: {answer}");
            }
        }
    }
}

/// Connections that some process still holds an end of, to either of these ports. Those to discovery come and go.
fn held_connections(ports: [u16; 2]) -> usize {
    const LISTENS: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let held = |line: &&str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port = |at: &str| u16::from_str_radix(at.rsplit(':').next().unwrap_or_default(), 16).ok();
        let ours = |at: &str| port(at).is_some_and(|port| ports.contains(&port));
        fields[3] != LISTENS && fields[9] != "0" && (ours(fields[1]) || ours(fields[2]))
    };
    table.lines().skip(1).filter(held).count()
}

#[test]
fn hostile_clients_at_every_stage_of_a_job_leave_nothing_behind() {
    let worker = listener();
    let mut settings = settings();
    settings["limits"]["connect-timeout"] = json!(30_000.0);
    let stage = stage_with(settings, &worker);
    stage.until_up();
    let ports = [stage.address.port(), worker.local_addr().expect("an address").port()];
    let whole = job("view", "g0", &"x".repeat(2_000));
    for round in 0..40 {
        let whole = whole.replace("g0", &format!("g{round}"));
        // In its head, in its body, once it is with a worker; with garbage, with far too much, with a reset.
        for cut in [20, whole.len() - 1_000, whole.len()] {
            let mut client = stage.ask(&whole[..cut]);
            let mut served = (cut == whole.len()).then(|| accept(&worker));
            if let Some(served) = &mut served {
                read_message(served);
            }
            match round % 4 {
                0 => drop(client),
                1 => reset(client),
                2 => {
                    // A body may hold anything: one that is not to become whole is given less than it lacks.
                    let most = if cut == whole.len() - 1_000 { 500 } else { 40_000 };
                    let _ = std::io::Write::write_all(&mut client, &vec![0xff; most]);
                    drop(client);
                }
                _ => {
                    let _ = client.shutdown(std::net::Shutdown::Write);
                    let _ = client.read_to_end(&mut Vec::new());
                }
            }
            if let Some(mut served) = served {
                assert!(ended(&mut served), "the worker runs on for nobody in round {round}");
            }
        }
    }
    until_owed(&stage, 0.0);
    let since = Instant::now();
    while held_connections(ports) > 0 {
        assert!(since.elapsed() < PATIENCE, "{} connections are held", held_connections(ports));
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(stage.memory_kb() < 20_000, "{} kB", stage.memory_kb());
    stage.serves(&worker, "g-last");
}

#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_does_not_leave() {
    let mut settings = lasting();
    settings["classes"][2]["window"] = json!(500.0);
    let (worker, first) = full_worker();
    let stage = stage_with(settings, &worker);
    drop((worker.accept().expect("the one that took the room"), first));
    let mut client = stage.ask(&lasting_job("buy", "w1", "x"));
    let mut served = accept(&worker);
    assert!(read_message(&mut served).contains("X-Trace-Id: w1\r\n"));
    // It may have run, and a repeat is dropped for half a second. The next connection is let in later than that.
    let room = TcpStream::connect(worker.local_addr().expect("an address")).expect("room for one");
    reset(served);
    std::thread::sleep(Duration::from_millis(600));
    drop(room);
    let came = all_that_comes(&worker, ASKED_AGAIN);
    assert!(!came.contains("X-Trace-Id: w1"), "{came}");
    let answer = read_message(&mut client);
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    stage.serves(&worker, "w2");
}

#[test]
fn a_worker_that_says_on_as_fast_as_it_is_read_keeps_nobody_else_waiting() {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(3_000.0);
    }
    let worker = listener();
    let stage = stage_with(settings, &worker);
    let mut client = stage.ask(&job("sale", "f1", "x").replace("4000", "3000"));
    let mut served = accept(&worker);
    read_message(&mut served);
    let line = chunk("{\"id\":\"f1\",\"state\":\"running\",\"share\":0.5}\n").repeat(10_000);
    let flood = std::thread::spawn(move || {
        send(&mut served, HEAD);
        while std::io::Write::write_all(&mut served, line.as_bytes()).is_ok() {}
    });
    // Others are served meanwhile, and its own time is up when it is up.
    for other in 0..3 {
        drop(stage.serves(&worker, &format!("f2-{other}")));
    }
    assert!(read_message(&mut client).starts_with("HTTP/1.1 502 "));
    flood.join().expect("it ends with its connection");
}

#[test]
fn a_client_that_says_far_too_much_early_gets_its_answer_all_the_same() {
    let (stage, worker) = one_worker();
    let mut client = stage.ask(&job("view", "m1", "x"));
    let mut served = accept(&worker);
    read_message(&mut served);
    send(&mut client, &"x".repeat(4 << 20));
    until_owed(&stage, 1.0);
    send(&mut served, &done("m1", "yes"));
    let answer = read_message(&mut client);
    assert!(answer.ends_with("\r\n\r\nyes") && answer.contains("Connection: close"), "{answer}");
}

#[test]
fn requests_that_waited_in_the_socket_until_their_sender_read_its_answers_are_served() {
    let (stage, worker) = one_worker();
    stage.until_up();
    let mut client = stage.connect();
    let mut sender = client.try_clone().expect("a second handle");
    let up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    // Far more than all buffers hold, and a job behind them.
    let count = 400_000;
    let sent = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let progress = std::sync::Arc::clone(&sent);
    let sending = std::thread::spawn(move || {
        let some = up.repeat(1_000);
        for _ in 0..count / 1_000 {
            send(&mut sender, &some);
            progress.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }
        send(&mut sender, &job("view", "p1", "x"));
    });
    // It reads nothing until nothing more is taken from it.
    let (mut last, since) = (usize::MAX, Instant::now());
    while sent.load(std::sync::atomic::Ordering::Relaxed) != last {
        last = sent.load(std::sync::atomic::Ordering::Relaxed);
        assert!(since.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(400));
    }
    assert!(last < count / 1_000, "all of it was taken: it does not wait in the socket");
    let mut answers = std::io::BufReader::new(&mut client);
    let mut some = vec![0; 64 * 1024];
    let (mut served, mut tail) = (None, Vec::new());
    worker.set_nonblocking(true).expect("a mode");
    while !tail.ends_with(b"\r\n\r\nyes") {
        let read = answers.read(&mut some).expect("the answers go on");
        assert!(read > 0, "it was ended");
        tail.extend_from_slice(&some[..read]);
        tail.drain(..tail.len().saturating_sub(64));
        if served.is_none() && tail.ends_with(b"up\n") && sending.is_finished() {
            let mut at = accept(&worker);
            assert!(read_message(&mut at).contains("X-Trace-Id: p1\r\n"));
            send(&mut at, &done("p1", "yes"));
            served = Some(at);
        }
    }
    sending.join().expect("all was sent");
}

#[test]
fn a_job_whose_time_is_up_while_its_connection_comes_up_is_refused_and_never_sent() {
    let (worker, first) = full_worker();
    let mut settings = lasting();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(700.0);
    }
    let stage = stage_with(settings, &worker);
    for class in ["view", "sale", "buy"] {
        let mut client = stage.ask(&job(class, &format!("t-{class}"), "x").replace("4000", "700"));
        let answer = read_message(&mut client);
        assert!(answer.starts_with("HTTP/1.1 503 "), "{class}: {answer}");
    }
    drop(first);
    let came = all_that_comes(&worker, ASKED_AGAIN);
    assert!(!came.contains("X-Trace-Id: t-"), "{came}");
}

#[test]
fn a_job_whose_client_leaves_while_its_last_byte_is_held_back_is_never_whole() {
    let worker = listener();
    let stage = stage_with(lasting(), &worker);
    let mut kept = Some(stage.serves(&worker, "b0"));
    let mut hits = 0;
    for n in 0..200 {
        // A kept connection that is reset before it gave a byte back: from here on last bytes are held back.
        if let Some(kept) = kept.take() {
            let mut client = stage.ask(&lasting_job("view", "b1", "x"));
            let mut kept = kept;
            read_message(&mut kept);
            reset(kept);
            let mut served = accept(&worker);
            read_message(&mut served);
            send(&mut served, &done("b1", "again"));
            read_message(&mut client);
        }
        let client = stage.ask(&lasting_job("sale", &format!("b2-{n}"), "1234"));
        let mut served = accept(&worker);
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n123") {
            let mut byte = [0; 1];
            served.read_exact(&mut byte).expect("all but the last byte");
            head.push(byte[0]);
        }
        // Stopped, it can't send that one; its client goes meanwhile. Now and then the stop comes too late for that.
        stage.stop_process();
        served.set_nonblocking(true).expect("a mode");
        let held = matches!(served.read(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        served.set_nonblocking(false).expect("a mode");
        drop(client);
        stage.signal("-CONT");
        if held {
            hits += 1;
            assert!(ended(&mut served), "its last byte left though nobody waits");
        }
        if hits == 3 {
            return;
        }
        until_owed(&stage, 0.0);
    }
    panic!("no stop came between the two bytes");
}

#[test]
fn the_last_answer_is_whole_for_a_client_that_reads_it_after_the_exit() {
    let worker = listener();
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(800.0);
    }
    let mut stage = stage_with(settings, &worker);
    stage.until_up();
    // A client that takes little at a time, and reads late.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4 * 1024).expect("a size");
    socket.connect(&stage.address.into()).expect("the scheduler accepts");
    let mut client = TcpStream::from(socket);
    client.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    send(&mut client, &job("view", "z1", "x").replace("4000", "800"));
    let mut served = accept(&worker);
    read_message(&mut served);
    stage.signal("-TERM");
    let large = "z".repeat(60_000);
    send(&mut served, &done("z1", &large));
    // It ends by itself, and says that all went well.
    assert!(stage.ended().success());
    let answer = read_message(&mut client);
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(&large), "{} bytes", answer.len());
}
