//! The terms of the operators' standing test that loopback sockets can force: graceful shutdown, clients that leave,
//! the time told to workers, broken answers, short windows and restarts. Each story forces its order of events by what
//! is sent, or by stopping the scheduler (SIGSTOP) until all of it has come. The table of which test forces which term
//! stands in `docs/design/endings.md`.
#![allow(missing_docs)]

mod stage;

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use stage::{
    HEAD, PATIENCE, Stage, accept, chunk, done, ended, endpoint, figure, job, list, listener, read_message,
    send, settings,
};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
/// TCP asks again for a connection that was not let in after 1 and 3 s.
const ASKED_AGAIN: Duration = Duration::from_millis(3_600);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Settings whose classes all have this deadline.
fn with_deadline(deadline: f64) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["hard-limit"] = json!(deadline);
    }
    settings
}

/// Settings under which nothing is given up for its age within a story.
fn lasting() -> Value {
    let mut settings = with_deadline(60_000.0);
    settings["limits"]["connect-timeout"] = json!(30_000.0);
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["goal-time"] = json!(60_000.0);
    }
    settings
}

/// A job with this many milliseconds.
fn job_within(class: &str, id: &str, left: u64) -> String {
    job(class, id, "x").replace("Ms: 4000", &format!("Ms: {left}"))
}

/// The same whose client wants the connection's end behind the answer.
fn last_job(class: &str, id: &str, left: u64) -> String {
    job_within(class, id, left).replace("Host: x", "Host: x\r\nConnection: close")
}

fn stage_with(settings: Value, worker: &TcpListener) -> Stage {
    stage_at(settings, worker.local_addr().expect("an address"))
}

fn stage_at(settings: Value, worker: SocketAddr) -> Stage {
    Stage::start_with(settings, &[endpoint("s-a", worker, "ready")], None)
}

/// Waits until so many jobs are owed an answer.
fn until_owed(stage: &Stage, owed: f64) {
    let since = Instant::now();
    while figure(&stage.call(b"INFO\n"), "open_requests") != owed {
        assert!(since.elapsed() < PATIENCE, "not {owed} jobs are owed");
        std::thread::sleep(ms(10));
    }
}

fn sleep_until(then: Instant) {
    std::thread::sleep(then.saturating_duration_since(Instant::now()));
}

/// SIGTERM, and when it was sent at the latest.
fn stop(stage: &Stage) -> Instant {
    stage.signal("-TERM");
    Instant::now()
}

/// When SIGKILL follows a SIGTERM, by the longest deadline of the settings.
fn sigkill(since: Instant, deadline: u64) -> Instant {
    since + ms(deadline.min(3_000) + 700)
}

/// All that a connection brings up to its end, and whether that was a clean one.
fn all_of(stream: &mut TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    if let Err(e) = &read {
        assert!(matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{e}");
    }
    (String::from_utf8_lossy(&bytes).into_owned(), read.is_ok())
}

fn answers(text: &str) -> usize {
    text.matches("HTTP/1.1 ").count()
}

/// Everything that reaches a worker within this time on new connections, and on the ones given.
fn all_that_comes(worker: &TcpListener, mut open: Vec<TcpStream>, within: Duration) -> String {
    worker.set_nonblocking(true).expect("a mode");
    open.iter().for_each(|stream| stream.set_nonblocking(true).expect("a mode"));
    let (since, mut text) = (Instant::now(), Vec::new());
    while since.elapsed() < within {
        while let Ok((stream, _)) = worker.accept() {
            stream.set_nonblocking(true).expect("a mode");
            open.push(stream);
        }
        for stream in &mut open {
            let mut bytes = [0; 4096];
            if let Ok(count) = stream.read(&mut bytes) {
                text.extend_from_slice(&bytes[..count]);
            }
        }
        std::thread::sleep(ms(2));
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    Socket::from(stream).set_linger(Some(Duration::ZERO)).expect("an option");
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

fn id_in(request: &str) -> Option<&str> {
    request.lines().find_map(|line| line.strip_prefix("X-Trace-Id: "))
}

/// The time that an attempt tells its worker.
fn told(request: &str) -> f64 {
    let line = request.lines().find_map(|line| line.strip_prefix("X-Expires-In-Ms: "));
    line.expect("the time left").parse().expect("a number")
}

/// The next request on a worker's connection; `None`: it has ended.
fn next_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|&count| count > 0)?;
    }
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(head)
}

/// The next request to a worker, on the connection that it holds or on a new one.
fn next_on_any(worker: &TcpListener, held: TcpStream) -> (String, TcpStream) {
    worker.set_nonblocking(true).expect("a mode");
    let (since, mut open) = (Instant::now(), vec![held]);
    loop {
        assert!(since.elapsed() < PATIENCE, "no request comes");
        open.extend(worker.accept().ok().map(|(stream, _)| stream));
        for mut stream in std::mem::take(&mut open) {
            stream.set_nonblocking(true).expect("a mode");
            let there = stream.peek(&mut [0; 1]);
            stream.set_nonblocking(false).expect("a mode");
            match there {
                Ok(1..) => return (read_message(&mut stream), stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => open.push(stream),
                // The scheduler has ended it.
                _ => {}
            }
        }
        std::thread::sleep(ms(1));
    }
}

/// The ids of all requests that a worker got whole.
type Seen = Arc<Mutex<Vec<String>>>;

/// A worker that answers every request at once, after this many connections that it closes unread.
fn serving_worker(closes: usize) -> (SocketAddr, Seen) {
    let (worker, seen) = (listener(), Seen::default());
    let (at, noted) = (worker.local_addr().expect("an address"), Arc::clone(&seen));
    std::thread::spawn(move || {
        for stream in worker.incoming().flatten().skip(closes) {
            let noted = Arc::clone(&noted);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(request) = next_request(&mut reader) {
                    let id = id_in(&request).unwrap_or_default().to_owned();
                    noted.lock().expect("the notes").push(id.clone());
                    if reader.get_mut().write_all(done(&id, "yes").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (at, seen)
}

fn times_seen(seen: &Seen, id: &str) -> usize {
    seen.lock().expect("the notes").iter().filter(|other| *other == id).count()
}

/// Sends a job on an open connection and reads its answer.
fn served_on(client: &mut TcpStream, request: &str) {
    send(client, request);
    let answer = read_message(client);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

// Graceful shutdown.

#[test]
fn requests_at_the_moment_in_which_resting_connections_are_closed_are_answered_or_never_attempted() {
    let (at, seen) = serving_worker(0);
    let mut stage = stage_at(with_deadline(1_500.0), at);
    stage.until_up();
    let mut clients: Vec<TcpStream> = (0..320).map(|_| stage.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        served_on(client, &job_within("view", &format!("before{n}"), 1_500));
    }
    let since = stop(&stage);
    // They are closed 0.6 of 1.9 s after SIGTERM, which takes some milliseconds for so many. Four of them send in each
    // millisecond around that.
    let sends = |(n, mut client): (usize, TcpStream)| {
        std::thread::spawn(move || {
            sleep_until(since + ms(1_140 - 40) + ms(n as u64) / 4);
            let _ = client.write_all(job_within("sale", &format!("at{n}"), 1_500).as_bytes());
            (format!("at{n}"), all_of(&mut client).0)
        })
    };
    let sending: Vec<_> = clients.into_iter().enumerate().map(sends).collect();
    let mut served = 0;
    for thread in sending {
        let (id, text) = thread.join().expect("a client");
        let attempts = times_seen(&seen, &id);
        let whole = text.starts_with("HTTP/1.1 200 ") && text.ends_with("\r\n\r\nyes") && answers(&text) == 1;
        let refused = text.is_empty() || text.starts_with("HTTP/1.1 503 ") && answers(&text) == 1;
        assert!(attempts == 1 && whole || attempts == 0 && refused, "{id}: {attempts} attempts, {text:?}");
        served += attempts;
    }
    assert!(served > 0, "none came before the close");
    assert!(stage.ended().success() && Instant::now() < sigkill(since, 1_500));
}

#[test]
fn a_request_that_is_read_in_the_very_turn_of_the_close_has_its_answer_before_sigkill() {
    let worker = listener();
    let mut stage = stage_with(with_deadline(1_500.0), &worker);
    stage.until_up();
    let mut client = stage.connect();
    send(&mut client, &job_within("sale", "r0", 1_500));
    let mut served = accept(&worker);
    read_message(&mut served);
    send(&mut served, &done("r0", "yes"));
    assert!(read_message(&mut client).starts_with("HTTP/1.1 200 "));
    let since = stop(&stage);
    // It sleeps over the moment of its close; the request comes before that, and is read behind it.
    sleep_until(since + ms(900));
    stage.signal("-STOP");
    send(&mut client, &job_within("sale", "r1", 1_500));
    sleep_until(since + ms(1_250));
    stage.signal("-CONT");
    let (text, _) = all_of(&mut client);
    assert!(Instant::now() < sigkill(since, 1_500), "{text}");
    // The worker says nothing, so that only the scheduler's own last word can be there.
    let came = all_that_comes(&worker, vec![served], ms(100));
    let answered = answers(&text) == 1 && text.starts_with("HTTP/1.1 50");
    assert!(answered || text.is_empty() && !came.contains("r1"), "{text:?} {came:?}");
    drop(client);
    assert!(stage.ended().success());
}

#[test]
fn a_request_behind_the_time_of_the_last_answers_is_rejected_and_no_worker_gets_it() {
    let worker = listener();
    let mut stage = stage_with(with_deadline(800.0), &worker);
    stage.until_up();
    let since = stop(&stage);
    // Its own time is up behind the time of the last answers, 1.2 s after SIGTERM.
    sleep_until(since + ms(500));
    let mut hung = stage.ask(&job_within("sale", "l1", 800));
    let mut served = accept(&worker);
    read_message(&mut served);
    let answer = read_message(&mut hung);
    assert!(answer.starts_with("HTTP/1.1 502 ") && Instant::now() < sigkill(since, 800), "{answer}");
    // This one's end of the connection stays open, so that the process is still there.
    for class in ["view", "sale", "buy"] {
        let (text, _) = all_of(&mut stage.ask(&job_within(class, &format!("l2-{class}"), 800)));
        assert!(answers(&text) == 1 && text.starts_with("HTTP/1.1 503 "), "{class}: {text:?}");
    }
    let came = all_that_comes(&worker, vec![], ms(100));
    assert_eq!(came, "");
    drop(hung);
    assert!(stage.ended().success());
}

#[test]
fn requests_behind_the_last_answer_of_a_stop_are_not_sent_on_and_do_not_cut_it_off() {
    let worker = listener();
    let mut stage = stage_with(with_deadline(1_500.0), &worker);
    stage.until_up();
    // A client that takes little at a time.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4 * 1024).expect("a size");
    socket.connect(&stage.address.into()).expect("the scheduler accepts");
    let mut client = TcpStream::from(socket);
    client.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    send(&mut client, &job_within("sale", "u1", 1_500));
    let mut served = accept(&worker);
    read_message(&mut served);
    let since = stop(&stage);
    send(&mut client, &job_within("view", "u2", 1_500));
    // Behind the time at which resting connections are closed.
    sleep_until(since + ms(1_250));
    let large = "z".repeat(60_000);
    send(&mut served, &done("u1", &large));
    // One more behind the answer, with much that nobody will read, while the answer is still on its way.
    std::thread::sleep(ms(50));
    send(&mut client, &job_within("view", "u3", 1_500));
    send(&mut client, &"x".repeat(100_000));
    let (text, clean) = all_of(&mut client);
    assert!(clean, "reset after {} bytes", text.len());
    assert!(answers(&text) == 1 && text.starts_with("HTTP/1.1 200 ") && text.ends_with(&large));
    let came = all_that_comes(&worker, vec![served], ms(100));
    assert_eq!(came, "");
    drop(client);
    assert!(stage.ended().success());
}

#[test]
fn a_rejection_is_whole_though_the_rest_of_its_request_comes_on() {
    let (at, _) = serving_worker(0);
    let stage = stage_at(settings(), at);
    let large = job("view", "g1", "").replace("Content-Length: 0", "Content-Length: 600000");
    for (front, status) in [(large, "413"), ("nonsense\r\n\r\n".into(), "400")] {
        let mut client = stage.ask(&front);
        send(&mut client, &"x".repeat(600_000));
        let (text, clean) = all_of(&mut client);
        assert!(clean, "{status}: reset behind {text:?}");
        assert!(answers(&text) == 1 && text.starts_with(&format!("HTTP/1.1 {status} ")), "{text:?}");
    }
}

/// What a worker does behind half a line of its answer, at a graceful shutdown.
#[derive(Debug)]
enum Rest {
    Never,
    Reset,
    /// It comes before the request's time is up, and is read behind that and the time of the last answers.
    AtTheLastMoment,
}

fn half_a_line_at_the_stop(rest: Rest) {
    // Where nothing more comes, the request's own time is up behind SIGKILL.
    let deadline = if let Rest::Never = rest { 5_000 } else { 800 };
    let worker = listener();
    let mut stage = stage_with(with_deadline(deadline as f64), &worker);
    stage.until_up();
    let mut client = stage.ask(&last_job("sale", "h1", deadline));
    let mut served = accept(&worker);
    read_message(&mut served);
    let whole = done("h1", "yes");
    let (front, last) = whole.split_at(whole.len() - 40);
    send(&mut served, front);
    let since = stop(&stage);
    let status = match rest {
        Rest::Never => "502",
        Rest::Reset => {
            reset(served);
            "502"
        }
        Rest::AtTheLastMoment => {
            sleep_until(since + ms(500));
            stage.signal("-STOP");
            send(&mut served, last);
            sleep_until(since + ms(1_250));
            stage.signal("-CONT");
            "200"
        }
    };
    let (text, _) = all_of(&mut client);
    assert!(Instant::now() < sigkill(since, deadline), "{rest:?}: {text}");
    assert!(answers(&text) == 1 && text.starts_with(&format!("HTTP/1.1 {status} ")), "{rest:?}: {text:?}");
    assert_eq!(all_that_comes(&worker, vec![], ms(50)), "", "{rest:?}: a second run");
    drop(client);
    assert!(stage.ended().success());
}

#[test]
fn half_a_line_from_a_worker_at_a_stop_leaves_one_answer_when_the_rest_never_comes() {
    half_a_line_at_the_stop(Rest::Never);
}

#[test]
fn half_a_line_from_a_worker_at_a_stop_leaves_one_answer_when_a_reset_follows() {
    half_a_line_at_the_stop(Rest::Reset);
}

#[test]
fn half_a_line_from_a_worker_at_a_stop_is_served_when_the_rest_comes_at_the_last_moment() {
    half_a_line_at_the_stop(Rest::AtTheLastMoment);
}

#[test]
fn half_a_line_on_a_resting_connection_of_a_worker_is_no_part_of_the_next_answer() {
    let worker = listener();
    let stage = stage_with(with_deadline(1_500.0), &worker);
    stage.until_up();
    let mut kept = stage.serves(&worker, "i0");
    stop(&stage);
    // Both have come when it looks: half a line of nobody's answer, and the next request.
    stage.signal("-STOP");
    send(&mut kept, &chunk("{\"id\":\"i1\",\"state\":\"do"));
    let mut client = stage.ask(&last_job("view", "i1", 1_500));
    stage.signal("-CONT");
    assert!(ended(&mut kept), "a request was sent on it");
    let mut served = accept(&worker);
    assert_eq!(id_in(&read_message(&mut served)), Some("i1"));
    send(&mut served, &done("i1", "yes"));
    let (text, _) = all_of(&mut client);
    assert!(answers(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{text:?}");
}

// Clients that leave.

#[test]
fn a_client_that_has_left_when_its_request_is_read_starts_no_attempt() {
    let worker = listener();
    let stage = stage_with(settings(), &worker);
    let kept = stage.serves(&worker, "c0");
    // All of it has come when it is read; a kept connection to the worker is there to send it on at once.
    stage.signal("-STOP");
    let gone = stage.ask(&job("view", "c1", "x"));
    drop(gone);
    let half_closed = stage.ask(&job("view", "c2", "x"));
    half_closed.shutdown(Shutdown::Write).expect("its sending ends");
    let early = stage.ask(&format!("{}{}", job("view", "c3", "x"), job("view", "c4", "x").repeat(60)));
    drop(early);
    stage.signal("-CONT");
    let came = all_that_comes(&worker, vec![kept], ms(600));
    assert_eq!(came, "");
    assert_eq!(figure(&stage.call(b"INFO\n"), "open_requests"), 0.0);
}

#[test]
fn a_client_that_leaves_behind_early_bytes_while_its_job_waits_starts_no_attempt() {
    let worker = listener();
    let at = worker.local_addr().expect("an address");
    let stage = Stage::start_with(lasting(), &[endpoint("s-a", at, "draining")], None);
    let (_, mut watch) = stage.watch(&[list(2, true, &[endpoint("s-a", at, "draining")])]);
    for early in [1, 50, 400] {
        let mut client = stage.ask(&job_within("view", "q1", 60_000));
        until_owed(&stage, 1.0);
        send(&mut client, &job_within("view", "q2", 60_000).repeat(early));
        drop(client);
        until_owed(&stage, 0.0);
    }
    let ready = list(3, false, &[endpoint("s-a", at, "ready")]);
    send(&mut watch, &chunk(&format!("{ready}\n")));
    let came = all_that_comes(&worker, vec![], ms(500));
    assert!(!came.contains("POST "), "{came}");
}

#[test]
fn a_client_that_leaves_behind_early_bytes_while_a_connection_comes_up_starts_no_attempt() {
    let (worker, first) = full_worker();
    let stage = stage_with(lasting(), &worker);
    for class in ["view", "sale", "buy"] {
        let mut client = stage.ask(&job_within(class, "d1", 60_000));
        until_owed(&stage, 1.0);
        send(&mut client, &job_within("view", "d2", 60_000).repeat(80));
        drop(client);
        until_owed(&stage, 0.0);
    }
    // Only now, a second and more late, does the machine let connections in.
    drop(first);
    let came = all_that_comes(&worker, vec![], ASKED_AGAIN);
    assert!(!came.contains("POST "), "{came}");
}

#[test]
fn a_second_request_of_a_client_that_left_before_the_first_ones_answer_starts_no_attempt() {
    let worker = listener();
    let stage = stage_with(settings(), &worker);
    for round in 0..5 {
        let mut client = stage.ask(&job("view", "e1", "x"));
        let mut served = accept(&worker);
        read_message(&mut served);
        send(&mut client, &job("view", "e2", "x"));
        until_owed(&stage, 1.0);
        // The answer, and the client's leave, come in one turn.
        stage.signal("-STOP");
        send(&mut served, &done("e1", "yes"));
        drop(client);
        stage.signal("-CONT");
        let came = all_that_comes(&worker, vec![served], ms(250));
        assert_eq!(came, "", "round {round}");
    }
}

#[test]
fn a_client_that_sends_hundreds_of_requests_at_once_and_goes_starts_the_first_alone() {
    let worker = listener();
    let stage = stage_with(settings(), &worker);
    for reset_it in [false, true] {
        let mut client = stage.ask(&job("view", "p0", "x"));
        let mut served = accept(&worker);
        read_message(&mut served);
        let many: String = (1..300).map(|n| job("view", &format!("p{n}"), "x")).collect();
        send(&mut client, &many);
        if reset_it {
            reset(client)
        } else {
            drop(client)
        }
        assert!(ended(&mut served), "the worker runs on for nobody");
        until_owed(&stage, 0.0);
        let came = all_that_comes(&worker, vec![], ms(400));
        assert_eq!(came, "");
    }
    assert!(stage.memory_kb() < 20_000, "{} kB", stage.memory_kb());
    stage.serves(&worker, "p-last");
}

#[test]
fn a_stop_under_a_crowd_that_fills_the_descriptors_answers_what_is_in_hand_and_ends_in_time() {
    let worker = listener();
    let known = endpoint("s-a", worker.local_addr().expect("an address"), "ready");
    let mut stage = Stage::start_with(with_deadline(1_500.0), &[known], Some(128));
    stage.until_up();
    let mut client = stage.ask(&last_job("sale", "o1", 1_500));
    let mut served = accept(&worker);
    read_message(&mut served);
    let crowd: Vec<TcpStream> = (0..300).map(|_| stage.connect()).collect();
    let since = stop(&stage);
    let mut late = stage.ask(&last_job("view", "o2", 1_500));
    let mut second = accept(&worker);
    read_message(&mut second);
    for (served, client, id) in [(&mut second, &mut late, "o2"), (&mut served, &mut client, "o1")] {
        send(served, &done(id, "yes"));
        let (text, _) = all_of(client);
        assert!(answers(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{id}: {text:?}");
    }
    // The silent ones hold nothing up.
    assert!(stage.ended().success() && Instant::now() < sigkill(since, 1_500));
    drop(crowd);
}

// What workers are told, and what they answer.

#[test]
fn a_further_attempt_tells_its_worker_at_most_what_is_left() {
    let worker = listener();
    let stage = stage_with(settings(), &worker);
    for class in ["view", "buy"] {
        let asked = Instant::now();
        let mut client = stage.ask(&job(class, &format!("t-{class}"), "x"));
        let mut served = accept(&worker);
        let first = told(&read_message(&mut served));
        assert!(first <= 4_000.0, "{class}: {first}");
        for attempt in 1..3 {
            std::thread::sleep(ms(400));
            let spent = asked.elapsed().as_secs_f64() * 1_000.0;
            reset(served);
            served = accept(&worker);
            let told = told(&read_message(&mut served));
            assert!(told <= 4_000.0 - spent + 150.0, "{class} {attempt}: {told} after {spent}");
        }
        send(&mut served, &done(&format!("t-{class}"), "yes"));
        assert!(read_message(&mut client).ends_with("\r\n\r\nyes"));
    }
}

#[test]
fn an_attempt_whose_connection_comes_up_late_tells_its_worker_what_is_left_then() {
    let (worker, first) = full_worker();
    let mut settings = settings();
    settings["limits"]["connect-timeout"] = json!(3_000.0);
    let stage = stage_with(settings, &worker);
    drop((worker.accept().expect("the one that took the room"), first));
    let asked = Instant::now();
    let _client = stage.ask(&job("view", "v1", "x"));
    let mut served = accept(&worker);
    read_message(&mut served);
    let room = TcpStream::connect(worker.local_addr().expect("an address")).expect("room for one");
    reset(served);
    std::thread::sleep(ms(600));
    let spent = asked.elapsed().as_secs_f64() * 1_000.0;
    drop((worker.accept().expect("the one that took the room"), room));
    let mut served = accept(&worker);
    let told = told(&read_message(&mut served));
    assert!(told <= 4_000.0 - spent + 150.0, "{told} after {spent}");
}

#[test]
fn a_request_that_was_written_slowly_is_attempted_with_what_is_left_of_its_time() {
    let worker = listener();
    let stage = stage_with(settings(), &worker);
    let request = job("view", "w1", "0123456789");
    let (head, body) = request.split_at(request.len() - 10);
    let asked = Instant::now();
    let mut client = stage.ask(head);
    std::thread::sleep(ms(800));
    let spent = asked.elapsed().as_secs_f64() * 1_000.0;
    send(&mut client, body);
    let mut served = accept(&worker);
    let told = told(&read_message(&mut served));
    assert!(told <= 4_000.0 - spent + 150.0, "{told} after {spent}");
}

#[test]
fn a_request_that_waited_behind_another_is_attempted_with_what_is_left_of_its_time() {
    let worker = listener();
    let stage = stage_with(settings(), &worker);
    let asked = Instant::now();
    let _client = stage.ask(&format!("{}{}", job("view", "b1", "x"), job("view", "b2", "x")));
    let mut served = accept(&worker);
    read_message(&mut served);
    std::thread::sleep(ms(800));
    let spent = asked.elapsed().as_secs_f64() * 1_000.0;
    send(&mut served, &done("b1", "yes"));
    let request = read_message(&mut served);
    assert_eq!(id_in(&request), Some("b2"));
    assert!(told(&request) <= 4_000.0 - spent + 150.0, "{} after {spent}", told(&request));
}

#[test]
fn a_request_whose_time_went_by_behind_another_is_rejected_without_an_attempt() {
    let worker = listener();
    let stage = stage_with(settings(), &worker);
    let first = job("view", "z1", "x");
    let mut client = stage.ask(&format!("{first}{}", last_job("sale", "z2", 500)));
    let mut served = accept(&worker);
    read_message(&mut served);
    std::thread::sleep(ms(700));
    send(&mut served, &done("z1", "yes"));
    assert!(read_message(&mut client).ends_with("\r\n\r\nyes"));
    let (text, _) = all_of(&mut client);
    assert!(answers(&text) == 1 && text.starts_with("HTTP/1.1 503 "), "{text:?}");
    assert_eq!(all_that_comes(&worker, vec![served], ms(100)), "");
}

#[test]
fn new_clients_in_the_first_part_of_a_stop_all_have_an_answer() {
    let (at, seen) = serving_worker(0);
    let mut stage = stage_at(with_deadline(800.0), at);
    stage.until_up();
    let since = stop(&stage);
    // The page lets them come for 0.4 s.
    for n in 0..40 {
        sleep_until(since + ms(10 * n));
        let (text, _) = all_of(&mut stage.ask(&last_job("sale", &format!("n{n}"), 800)));
        assert!(answers(&text) == 1 && text.ends_with("\r\n\r\nyes"), "{n}: {text:?}");
        assert_eq!(times_seen(&seen, &format!("n{n}")), 1);
    }
    assert!(stage.ended().success() && Instant::now() < sigkill(since, 800));
}

#[test]
fn a_new_connection_that_a_worker_closes_unread_leaves_one_answer_and_no_second_run() {
    for class in ["view", "sale", "buy"] {
        let (at, seen) = serving_worker(1);
        let stage = stage_at(settings(), at);
        let (text, _) = all_of(&mut stage.ask(&last_job(class, "x1", 4_000)));
        assert_eq!(answers(&text), 1, "{class}: {text:?}");
        let runs = times_seen(&seen, "x1");
        let served = text.ends_with("\r\n\r\nyes") && runs == 1;
        // What may have been read there is not sent again where that would do harm.
        let failed = class == "sale" && text.starts_with("HTTP/1.1 50") && runs == 0;
        assert!(served || failed, "{class}: {runs} runs, {text:?}");
    }
}

#[test]
fn second_answers_within_a_message_and_behind_it_leave_one_answer_to_each_request() {
    let line = |state: Value| chunk(&format!("{state}\n"));
    let twice = |id: &str, state: &str| {
        let first = json!({"id": id, "state": "done", "result": "first"});
        let second = json!({"id": id, "state": state, "result": "second"});
        format!("{HEAD}{}{}0\r\n\r\n", line(first), line(second))
    };
    for class in ["view", "sale", "buy"] {
        for (n, behind) in [false, true, true].into_iter().enumerate() {
            let worker = listener();
            let stage = stage_with(settings(), &worker);
            let mut client = stage.ask(&job(class, "a1", "x"));
            let mut served = accept(&worker);
            read_message(&mut served);
            if behind {
                send(&mut served, &done("a1", "first"));
                // Some milliseconds late, and in the moment in which the next one is on its way.
                std::thread::sleep(ms(5 * n as u64));
                let _ = served.write_all(twice("a1", "done").as_bytes());
            } else {
                send(&mut served, &twice("a1", "failed"));
            }
            assert!(read_message(&mut client).ends_with("\r\n\r\nfirst"), "{class} {n}");
            send(&mut client, &last_job(class, "a2", 4_000));
            let (request, mut next) = next_on_any(&worker, served);
            assert_eq!(id_in(&request), Some("a2"), "{class} {n}");
            send(&mut next, &done("a2", "its own"));
            let (text, _) = all_of(&mut client);
            assert!(answers(&text) == 1 && text.ends_with("\r\n\r\nits own"), "{class} {n}: {text:?}");
        }
    }
}

#[test]
fn garbled_and_endless_answers_leave_one_answer_before_the_requests_time() {
    let started = chunk("{\"id\":\"g1\",\"state\":\"started\"}\n");
    let running = chunk("{\"id\":\"g1\",\"state\":\"running\",\"share\":0.5}\n");
    let cases = [
        "HTTP/9 what\r\n\r\n".to_owned(),
        format!("{HEAD}{started}{}", chunk("{\"id\":\"g1\",\"sta\0\u{1}\n")),
        format!("{HEAD}{started}zz\r\n"),
        format!("{HEAD}{started}0\r\n\r\n"),
        format!("{HEAD}{started}{}", running.repeat(50_000)),
        format!("{HEAD}{}", chunk(&"x".repeat(1 << 20))),
        format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(1 << 20)),
    ];
    for (n, answer) in cases.iter().enumerate() {
        let worker = listener();
        let stage = stage_with(with_deadline(1_000.0), &worker);
        let asked = Instant::now();
        let mut client = stage.ask(&last_job("sale", "g1", 1_000));
        let mut served = accept(&worker);
        read_message(&mut served);
        let _ = served.write_all(answer.as_bytes());
        let (text, _) = all_of(&mut client);
        assert!(answers(&text) == 1 && text.starts_with("HTTP/1.1 502 "), "{n}: {text:?}");
        // Half a second behind its time it would be lost.
        assert!(asked.elapsed() < ms(1_500), "{n}: {:?}", asked.elapsed());
        assert_eq!(all_that_comes(&worker, vec![], ms(50)), "", "{n}: a second run");
    }
}

// Windows, restarts, small writes.

/// Runs one keyed job with a window of 300 ms on a worker that resets each attempt this much later. For each further
/// attempt: how long behind the first one's arrival the reset came that it followed. The first was sent before that,
/// and each further one behind its reset, so that a busy machine can't make a retry look later than it began.
fn resets_before_retries(wait: Duration) -> Vec<Duration> {
    let mut settings = settings();
    settings["classes"][2]["window"] = json!(300.0);
    let worker = listener();
    let stage = stage_with(settings, &worker);
    let mut client = stage.ask(&last_job("buy", "k1", 4_000));
    worker.set_nonblocking(true).expect("a mode");
    client.set_nonblocking(true).expect("a mode");
    let (mut resets, since) = (Vec::new(), Instant::now());
    let mut first = None;
    // Up to its answer, whatever that is.
    while matches!(client.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock) {
        assert!(since.elapsed() < PATIENCE, "it has no answer");
        if let Ok((stream, _)) = worker.accept() {
            stream.set_nonblocking(false).expect("a mode");
            let mut reader = BufReader::new(stream);
            assert!(next_request(&mut reader).is_some(), "an attempt that is not whole");
            let first = *first.get_or_insert_with(Instant::now);
            std::thread::sleep(wait);
            resets.push(first.elapsed());
            reset(reader.into_inner());
        }
        std::thread::sleep(ms(1));
    }
    client.set_nonblocking(false).expect("a mode");
    let (text, _) = all_of(&mut client);
    assert!(answers(&text) == 1 && text.starts_with("HTTP/1.1 502 "), "{text:?}");
    // Nor does one begin behind the answer.
    assert_eq!(all_that_comes(&worker, vec![], ms(400)), "");
    // No attempt followed the last reset.
    resets.pop();
    resets
}

#[test]
fn no_retry_begins_behind_a_window_of_300_ms_and_those_within_it_do() {
    assert!(!resets_before_retries(ms(20)).is_empty(), "no retry within the window");
    for wait in [120, 350] {
        let resets = resets_before_retries(ms(wait));
        assert!(resets.iter().all(|&at| at < ms(300)), "{wait}: {resets:?}");
    }
}

/// Starts a scheduler that was given a list, and checks that it is ready in time whatever discovery does.
fn ready_in_time(settings: Value, discovery: impl FnOnce(&Stage) -> Vec<TcpStream>) {
    let worker = listener();
    let since = Instant::now();
    let stage = stage_with(settings, &worker);
    let _held = discovery(&stage);
    while !read_message(&mut stage.ask(UP)).starts_with("HTTP/1.1 200 ") {
        assert!(since.elapsed() < ms(6_000), "not ready after {:?}", since.elapsed());
        std::thread::sleep(ms(20));
    }
    assert!(since.elapsed() < ms(6_000), "ready after {:?}", since.elapsed());
    stage.serves(&worker, "u1");
}

#[test]
fn a_restarted_scheduler_with_a_known_list_is_ready_within_6_s_though_discovery_is_silent() {
    let mut pushed = settings();
    pushed["discovery"] = json!("pushed");
    for settings in [settings(), pushed] {
        // Nobody accepts; a call stays without an answer; every call is refused by its end.
        ready_in_time(settings.clone(), |_| vec![]);
        ready_in_time(settings.clone(), |stage| vec![accept(&stage.discovery)]);
        ready_in_time(settings, |stage| {
            drop(accept(&stage.discovery));
            vec![]
        });
    }
}

/// The connections that the scheduler holds, each with whether its small writes go out at once.
fn connections_of(stage: &Stage) -> Vec<(SocketAddr, bool)> {
    use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open};
    let child = stage.child.id();
    let pid = Pid::from_raw(child.try_into().expect("a process")).expect("a process");
    let process = pidfd_open(pid, PidfdFlags::empty()).expect("the scheduler");
    let numbers = std::fs::read_dir(format!("/proc/{child}/fd")).expect("its descriptors");
    let numbers = numbers.flatten().filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let sockets = numbers.filter_map(|number| pidfd_getfd(&process, number, PidfdGetfdFlags::empty()).ok());
    let connected = sockets.filter_map(|fd| {
        let socket = Socket::from(fd);
        let peer = socket.peer_addr().ok()?.as_socket()?;
        Some((peer, socket.tcp_nodelay().ok()?))
    });
    connected.collect()
}

#[test]
fn small_writes_to_clients_and_workers_are_not_held_back_by_the_system() {
    let worker = listener();
    let mut stage = stage_with(with_deadline(1_500.0), &worker);
    stage.until_up();
    let _kept = stage.serves(&worker, "s0");
    let client = stage.ask(&last_job("sale", "s1", 1_500));
    let mut served = accept(&worker);
    read_message(&mut served);
    stop(&stage);
    let held = connections_of(&stage);
    let there = |at: SocketAddr| held.iter().any(|&(peer, _)| peer == at);
    assert!(there(client.local_addr().expect("an address")), "{held:?}");
    assert!(there(worker.local_addr().expect("an address")), "{held:?}");
    assert!(held.iter().all(|&(_, at_once)| at_once), "{held:?}");
    send(&mut served, &done("s1", "yes"));
    drop((client, served));
    assert!(stage.ended().success());
}
