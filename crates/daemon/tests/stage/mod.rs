//! A scheduler as a process of its own, between scripted peers on loopback sockets.
#![allow(dead_code, missing_docs)]

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longer than anything here takes; reaching it is a failure.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// The settings that the stories start from: one class of each effect, two tenants.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "zone", "window": 7500.0, "goal-time": 400.0,
            "hard-limit": 5000.0, "importance": 2.0, "late-value": 0.5, "streamed": false})
    };
    json!({
        "ordinal": 0, "balancers": 2, "zone": 0, "zones": ["north", "south"], "shapes": ["big", "small"],
        "classes": [class("view", "pure"), class("sale", "side_effect"), class("buy", "token")],
        "tenants": [{"name": "karoo", "fraction": 0.5, "quota-per-s": 100.0},
            {"name": "vaal", "fraction": 0.5, "quota-per-s": 100.0}],
        "discovery": "on_request", "report": {"fields": ["x0", "x1", "concurrent"], "source": "answers"},
        "specifics": {"tells-start": true, "class-stretch": [2.0, 2.0, 2.5]},
        "limits": {"max-attempts": 4, "connect-timeout": 150.0, "conn-idle": 15000.0, "retry-after": true,
            "max-retry-after": 2000.0, "peer-messages": true, "second-copies": true, "cancelling": true},
        "obligations": {"answer-slack": 8.0, "ask-within": 1000.0, "drain-grace": 250.0, "cold-share": 0.3,
            "warm-within": 8600.0, "fall-multiple": 4.0, "overload-for": 3000.0}
    })
}

/// One line of the server table.
pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "north", "type": "big", "group": 0,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// A list of servers, whole or changes.
pub fn list(index: u64, snapshot: bool, endpoints: &[Value]) -> Value {
    json!({"index": index, "snapshot": snapshot, "endpoints": endpoints})
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port of the system's")
}

/// The next connection to a scripted peer.
pub fn accept(listener: &TcpListener) -> TcpStream {
    // A scheduler that has died connects no more, and a story must fail then, not wait.
    listener.set_nonblocking(true).expect("a mode");
    let since = Instant::now();
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(e) => assert!(e.kind() == ErrorKind::WouldBlock && since.elapsed() < PATIENCE, "{e}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    stream.set_nonblocking(false).expect("a mode");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream
}

/// Reads one message with its body, which must state its length.
pub fn read_message(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0; 1]);
    while !text.ends_with(b"\r\n\r\n") {
        assert_eq!(
            stream.read(&mut byte).expect("a byte"),
            1,
            "ended in {:?}",
            String::from_utf8_lossy(&text)
        );
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).expect("UTF-8");
    let length =
        head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).expect("the body");
    head + &String::from_utf8(body).expect("UTF-8")
}

pub fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("written");
}

/// Text as one chunk.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A worker's whole answer to the request with this id.
pub fn done(id: &str, result: &str) -> String {
    let line = |state: Value| chunk(&format!("{state}\n"));
    let last = json!({"id": id, "state": "done", "result": result, "load": {"x0": 3, "inflight": 1}});
    format!("{HEAD}{}{}0\r\n\r\n", line(json!({"id": id, "state": "started"})), line(last))
}

pub const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A client's request.
pub fn job(class: &str, id: &str, body: &str) -> String {
    format!(
        "POST /{class}/k1 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: karoo\r\n\
         X-Expires-In-Ms: 4000\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A scheduler that knows one worker, and that worker.
pub fn one_worker() -> (Stage, TcpListener) {
    let worker = listener();
    let known = endpoint("s-a", worker.local_addr().expect("an address"), "ready");
    (Stage::start(&[known]), worker)
}

/// Whether the other side has ended the connection.
pub fn ended(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_))
}

pub struct Stage {
    pub child: Child,
    pub address: SocketAddr,
    pub discovery: TcpListener,
    pub peer: UdpSocket,
    pub peer_address: SocketAddr,
    /// The operators' door.
    pub control: SocketAddr,
    config: Value,
    path: PathBuf,
    /// What the scheduler has written to its log after the line with its ports.
    log_lines: Arc<Mutex<Vec<String>>>,
}

fn config_file(config: &Value) -> PathBuf {
    let name = format!("brackenledge-{}-{:?}.json", std::process::id(), std::thread::current().id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config.to_string()).expect("the configuration is written");
    path
}

fn command(program: &str, arguments: &[&str]) -> Command {
    let mut command = Command::new(program);
    for name in
        ["PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONTROL", "PROXY_OPERATIONS"]
    {
        command.env_remove(name);
    }
    command.args(arguments).stderr(Stdio::piped()).stdout(Stdio::piped());
    command
}

/// Runs the program to its end on a configuration file of this text.
pub fn run(arguments: &[&str], config: Option<&Value>) -> Output {
    let mut command = command(env!("CARGO_BIN_EXE_brackenledge"), arguments);
    if let Some(config) = config {
        command.env("PROXY_CONFIG", config_file(config));
    }
    command.output().expect("the program runs")
}

impl Stage {
    /// Starts a scheduler that knows these servers.
    pub fn start(known: &[Value]) -> Stage {
        Stage::start_with(settings(), known, None)
    }

    /// The same with settings of one's own and a limit on the process's descriptors, which the configuration
    /// tells too unless it is too small for one.
    pub fn start_with(settings: Value, known: &[Value], descriptors: Option<u32>) -> Stage {
        Stage::start_at("127.0.0.1:0", settings, known, descriptors)
    }

    /// The same on a client address of one's own, which another scheduler may share.
    pub fn start_at(listen: &str, settings: Value, known: &[Value], descriptors: Option<u32>) -> Stage {
        Stage::start_operated(listen, settings, known, descriptors, None)
    }

    /// The same with an operators' file.
    pub fn start_operated(
        listen: &str,
        settings: Value,
        known: &[Value],
        descriptors: Option<u32>,
        operations: Option<&Path>,
    ) -> Stage {
        let discovery = listener();
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port of the system's");
        peer.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let config = json!({
            "name": "n0", "listen": listen, "control": "127.0.0.1:0", "discovery": discovery.local_addr().expect("an address").to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": descriptors.filter(|&most| most >= 64).unwrap_or(1024)},
            "peer_listen": "127.0.0.1:0",
            "peers": ["127.0.0.1:1", peer.local_addr().expect("an address").to_string()],
            "known": list(1, true, known), "settings": settings
        });
        let path = config_file(&config);
        let program = env!("CARGO_BIN_EXE_brackenledge");
        let mut command = match descriptors {
            None => command(program, &["serve"]),
            Some(most) => command("sh", &["-c", &format!("ulimit -n {most} && exec {program} serve")]),
        };
        if let Some(operations) = operations {
            command.env("PROXY_OPERATIONS", operations);
        }
        // As in service: the environment tells what the file tells.
        command.env("PROXY_DISCOVERY", config["discovery"].as_str().expect("an address"));
        let mut child = command.env("PROXY_CONFIG", &path).spawn().expect("the scheduler starts");
        // The log tells which ports the system gave, and is read on so that it never fills.
        let mut log = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
        let first = log.find(|line| line.contains("listen: ")).expect("a line that tells the ports");
        let port = |name: &str| first.split(name).nth(1)?.split([',', ' ']).next()?.parse().ok();
        let (address, peer_address) = (port(" listen: "), port(" peer_listen: "));
        let control = port(" control: ");
        let log_lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let written = Arc::clone(&log_lines);
        std::thread::spawn(move || log.for_each(|line| written.lock().expect("no panic").push(line)));
        // Where the settings know no messages, no port is bound for them.
        let nobody = first.contains(" peer_listen: none").then(|| SocketAddr::from(([127, 0, 0, 1], 1)));
        let (address, peer_address) = (address.expect("a port"), peer_address.or(nobody).expect("a port"));
        let control = control.expect("a port");
        Stage { child, address, discovery, peer, peer_address, control, config, path, log_lines }
    }

    /// Replaces the configuration by one that names this discovery, or by text that is none, and tells the
    /// scheduler.
    pub fn reload(&mut self, discovery: Option<TcpListener>) {
        let text = match discovery {
            None => "{\"discovery\": ".into(),
            Some(discovery) => {
                self.config["discovery"] = json!(discovery.local_addr().expect("an address").to_string());
                self.discovery = discovery;
                self.config.to_string()
            }
        };
        std::fs::write(&self.path, text).expect("the configuration is replaced");
        self.signal("-HUP");
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the scheduler accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream
    }

    /// Sends a request on a connection of its own.
    pub fn ask(&self, request: &str) -> TcpStream {
        let mut client = self.connect();
        send(&mut client, request);
        client
    }

    /// Asks for a job that this worker serves, and checks that it is.
    pub fn serves(&self, worker: &TcpListener, id: &str) -> TcpStream {
        let mut client = self.ask(&job("view", id, "x"));
        let mut served = accept(worker);
        let request = read_message(&mut served);
        assert!(request.contains(&format!("X-Trace-Id: {id}\r\n")), "{request}");
        send(&mut served, &done(id, "yes"));
        let answer = read_message(&mut client);
        assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n\r\nyes"), "{answer}");
        served
    }

    /// Asks for the list's watch: the next call to discovery, answered with these lines.
    pub fn watch(&self, lines: &[Value]) -> (String, TcpStream) {
        let mut call = accept(&self.discovery);
        let request = read_message(&mut call);
        send(&mut call, HEAD);
        lines.iter().for_each(|line| send(&mut call, &chunk(&format!("{line}\n"))));
        (request, call)
    }

    /// Makes one call at the operators' door and reads the reply to its end.
    pub fn call(&self, line: &[u8]) -> String {
        let mut door = TcpStream::connect(self.control).expect("the door accepts");
        door.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        door.write_all(line).expect("the call is sent");
        let mut reply = String::new();
        door.read_to_string(&mut reply).expect("a reply, then the end");
        reply
    }

    pub fn signal(&self, name: &str) {
        let sent =
            Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits until the scheduler says that it could serve.
    pub fn until_up(&self) {
        let since = Instant::now();
        while !read_message(&mut self.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")).starts_with("HTTP/1.1 200 ")
        {
            assert!(since.elapsed() < PATIENCE, "the scheduler is not up");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits for a line of the log that contains all of these, and gives it.
    pub fn until_logged(&self, parts: &[&str]) -> String {
        let since = Instant::now();
        loop {
            let lines = self.log_lines.lock().expect("no panic").clone();
            if let Some(line) = lines.iter().find(|line| parts.iter().all(|part| line.contains(part))) {
                return line.clone();
            }
            assert!(since.elapsed() < PATIENCE, "no line with {parts:?} among {lines:#?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// How many lines of the log so far contain this.
    pub fn logged(&self, part: &str) -> usize {
        self.log_lines.lock().expect("no panic").iter().filter(|line| line.contains(part)).count()
    }

    /// Memory held, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Stops the process, and waits until it has stopped: a signal that is sent is not yet taken.
    pub fn stop_process(&self) {
        self.signal("-STOP");
        let since = Instant::now();
        while self.process_state() != Some('T') {
            assert!(since.elapsed() < PATIENCE, "the scheduler does not stop");
            std::thread::sleep(Duration::from_micros(100));
        }
    }

    /// The process's state as the kernel tells it.
    fn process_state(&self) -> Option<char> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        stat.rsplit(')').next()?.trim_start().chars().next()
    }

    /// Waits for the process to end by itself.
    pub fn ended(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(since.elapsed() < PATIENCE, "the scheduler goes on");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Processor time used so far, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        fields[11].parse::<u64>().expect("ticks") + fields[12].parse::<u64>().expect("ticks")
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        // A story that failed must not leave its scheduler behind; one that ended is gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A figure that the operators' door tells.
pub fn figure(reply: &str, name: &str) -> f64 {
    let line = reply.lines().find_map(|line| line.strip_prefix(&format!("svc.{name}=")));
    line.unwrap_or_else(|| panic!("no {name} in {reply}")).parse().expect("a figure")
}
