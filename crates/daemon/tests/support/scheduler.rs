//! The scheduler under test: its process, its log, and its admin endpoint.

use super::{
    RESPONSE_HEAD, TEST_TIMEOUT, accept, address_of, bind_loopback, check_health, endpoint, endpoint_list,
    job_request, line_chunk, ms, read_message, send, served_response, settings,
};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Below this, the configuration does not say how many descriptors the process may have: it would be invalid.
const MIN_CONFIGURED_DESCRIPTORS: u32 = 64;

/// A scheduler's process, killed at the end of its test.
pub struct Scheduler {
    pub child: Child,
    pub address: SocketAddr,
    pub discovery: TcpListener,
    /// Another scheduler, of which only datagrams are scripted.
    pub peer: UdpSocket,
    pub peer_address: SocketAddr,
    pub admin_address: SocketAddr,
    config: Value,
    config_path: PathBuf,
    /// What the scheduler has written to its log after the line with its ports.
    log_lines: Arc<Mutex<Vec<String>>>,
}

/// How a scheduler is started.
pub struct Launch<'a> {
    pub settings: Value,
    /// The cached endpoint list.
    pub known: &'a [Value],
    /// The address for clients, which another scheduler may share.
    pub listen: &'a str,
    /// A limit on the process's descriptors, which the configuration states too unless it is too small for one.
    pub max_descriptors: Option<u32>,
    /// The operators' file.
    pub operations: Option<&'a Path>,
}

/// The system call that waits for events, by its number.
const EPOLL_WAIT: &str = if cfg!(target_arch = "x86_64") { "232" } else { "22" };

impl Default for Launch<'_> {
    fn default() -> Self {
        Launch {
            settings: settings(),
            known: &[],
            listen: "127.0.0.1:0",
            max_descriptors: None,
            operations: None,
        }
    }
}

impl Launch<'_> {
    pub fn start(self) -> Scheduler {
        let discovery = bind_loopback();
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port of the system's");
        peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
        let config = self.config(address_of(&discovery), peer.local_addr().expect("local_addr"));
        let config_path = write_config(&config);
        let mut child = self.command(&config, &config_path).spawn().expect("the scheduler starts");
        // The log states which ports the system gave, and is read on so that it never fills.
        let mut log = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
        let started = log.find(|line| line.contains("listen: ")).expect("a line that states the ports");
        let log_lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let written = Arc::clone(&log_lines);
        std::thread::spawn(move || log.for_each(|line| written.lock().expect("no panic").push(line)));
        let address_in = |name: &str| started.split(name).nth(1)?.split([',', ' ']).next()?.parse().ok();
        // Where the settings have no messages, no port is bound for them.
        let unbound = started.contains(" peer_listen: none").then(|| SocketAddr::from(([127, 0, 0, 1], 1)));
        let address = address_in(" listen: ").expect("a port");
        let peer_address = address_in(" peer_listen: ").or(unbound).expect("a port");
        let admin_address = address_in(" control: ").expect("a port");
        Scheduler {
            child,
            address,
            discovery,
            peer,
            peer_address,
            admin_address,
            config,
            config_path,
            log_lines,
        }
    }

    fn config(&self, discovery: SocketAddr, peer: SocketAddr) -> Value {
        let sockets = self.max_descriptors.filter(|&count| count >= MIN_CONFIGURED_DESCRIPTORS);
        // Of two schedulers, by their ordinals; the own entry is not used.
        let mut peers = ["127.0.0.1:1".to_owned(), peer.to_string()];
        if self.settings["ordinal"] == 1 {
            peers.reverse();
        }
        json!({
            "name": "n0", "listen": self.listen, "control": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets.unwrap_or(1024)},
            "peer_listen": "127.0.0.1:0", "peers": peers,
            "known": endpoint_list(1, true, self.known), "settings": self.settings
        })
    }

    fn command(&self, config: &Value, config_path: &Path) -> Command {
        let program = env!("CARGO_BIN_EXE_brackenledge");
        let mut command = match self.max_descriptors {
            None => command(program, &["serve"]),
            Some(count) => command("sh", &["-c", &format!("ulimit -n {count} && exec {program} serve")]),
        };
        if let Some(operations) = self.operations {
            command.env("PROXY_OPERATIONS", operations);
        }
        // As in service: the environment names what the file names.
        command.env("PROXY_DISCOVERY", config["discovery"].as_str().expect("an address"));
        command.env("PROXY_CONFIG", config_path);
        command
    }
}

fn write_config(config: &Value) -> PathBuf {
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

/// Runs the program to its end, with this configuration.
pub fn run(arguments: &[&str], config: Option<&Value>) -> Output {
    let mut command = command(env!("CARGO_BIN_EXE_brackenledge"), arguments);
    if let Some(config) = config {
        command.env("PROXY_CONFIG", write_config(config));
    }
    command.output().expect("the program runs")
}

/// Starts a scheduler that knows this one worker.
pub fn start_scheduler(settings: Value, worker: &TcpListener) -> Scheduler {
    start_scheduler_at(settings, address_of(worker))
}

/// The same for a worker at this address.
pub fn start_scheduler_at(settings: Value, worker: SocketAddr) -> Scheduler {
    Scheduler::start_with(settings, &[endpoint("s-a", worker, "ready")])
}

impl Scheduler {
    /// Starts a scheduler that knows these endpoints.
    pub fn start(known: &[Value]) -> Scheduler {
        Launch { known, ..Launch::default() }.start()
    }

    /// The same with these settings.
    pub fn start_with(settings: Value, known: &[Value]) -> Scheduler {
        Launch { settings, known, ..Launch::default() }.start()
    }

    /// A scheduler that knows this worker, and may have so many descriptors.
    pub fn start_with_descriptors(settings: Value, worker: &TcpListener, count: u32) -> Scheduler {
        let known = [endpoint("s-a", address_of(worker), "ready")];
        Launch { settings, known: &known, max_descriptors: Some(count), ..Launch::default() }.start()
    }

    /// Replaces the configuration by one that names this discovery, or by text that is none, and signals that.
    pub fn reload(&mut self, discovery: Option<TcpListener>) {
        let text = match discovery {
            None => "{\"discovery\": ".into(),
            Some(discovery) => {
                self.config["discovery"] = json!(address_of(&discovery).to_string());
                self.discovery = discovery;
                self.config.to_string()
            }
        };
        std::fs::write(&self.config_path, text).expect("the configuration is replaced");
        self.signal("-HUP");
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the scheduler accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
        stream
    }

    /// Sends a request on a connection of its own.
    pub fn send_request(&self, request: &str) -> TcpStream {
        let mut client = self.connect();
        send(&mut client, request);
        client
    }

    /// Submits a job, and checks that this worker serves it on a new connection, which is returned.
    pub fn assert_serves(&self, worker: &TcpListener, id: &str) -> TcpStream {
        let mut client = self.send_request(&job_request("view", id, "x"));
        let mut attempt = accept(worker);
        let request = read_message(&mut attempt);
        assert!(request.contains(&format!("X-Trace-Id: {id}\r\n")), "{request}");
        send(&mut attempt, &served_response(id, "yes"));
        let response = read_message(&mut client);
        assert!(response.starts_with("HTTP/1.1 200 ") && response.ends_with("\r\n\r\nyes"), "{response}");
        attempt
    }

    /// Accepts the next request to discovery, and responds with these lines.
    pub fn accept_watch(&self, lines: &[Value]) -> (String, TcpStream) {
        let mut watch = accept(&self.discovery);
        let request = read_message(&mut watch);
        send(&mut watch, RESPONSE_HEAD);
        lines.iter().for_each(|line| send(&mut watch, &line_chunk(line)));
        (request, watch)
    }

    /// Makes one call at the admin endpoint and reads the reply to its end.
    pub fn admin_call(&self, line: &[u8]) -> String {
        let mut connection = self.admin_connect();
        connection.write_all(line).expect("the call is sent");
        let mut reply = String::new();
        connection.read_to_string(&mut reply).expect("a reply, then the end");
        reply
    }

    pub fn admin_connect(&self) -> TcpStream {
        let connection = TcpStream::connect(self.admin_address).expect("the admin endpoint accepts");
        connection.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
        connection
    }

    /// A figure that the admin endpoint states.
    pub fn admin_figure(&self, name: &str) -> f64 {
        let reply = self.admin_call(b"INFO\n");
        let line = reply.lines().find_map(|line| line.strip_prefix(&format!("svc.{name}=")));
        line.unwrap_or_else(|| panic!("no {name} in {reply}")).parse().expect("a figure")
    }

    pub fn signal(&self, name: &str) {
        let sent =
            Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Sends SIGTERM; it was sent at the returned time at the latest.
    pub fn terminate(&self) -> Instant {
        self.signal("-TERM");
        Instant::now()
    }

    /// Waits until the scheduler says that it could serve.
    pub fn wait_until_ready(&self) {
        let since = Instant::now();
        while !check_health(self).starts_with("HTTP/1.1 200 ") {
            assert!(since.elapsed() < TEST_TIMEOUT, "the scheduler is not ready");
            std::thread::sleep(ms(20));
        }
    }

    /// Waits until so many jobs are pending.
    pub fn wait_for_pending_jobs(&self, count: f64) {
        let since = Instant::now();
        while self.admin_figure("open_requests") != count {
            assert!(since.elapsed() < TEST_TIMEOUT, "not {count} jobs are pending");
            std::thread::sleep(ms(10));
        }
    }

    /// Waits for a line of the log that contains all of these, and gives it.
    pub fn wait_for_log_line(&self, parts: &[&str]) -> String {
        let since = Instant::now();
        loop {
            let lines = self.log_lines.lock().expect("no panic").clone();
            if let Some(line) = lines.iter().find(|line| parts.iter().all(|part| line.contains(part))) {
                return line.clone();
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "no line with {parts:?} among {lines:#?}");
            std::thread::sleep(ms(20));
        }
    }

    /// How many lines of the log so far contain this.
    pub fn count_log_lines(&self, part: &str) -> usize {
        self.log_lines.lock().expect("no panic").iter().filter(|line| line.contains(part)).count()
    }

    /// Resident memory, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Pauses the process, and waits until it is paused: a signal that is sent is not yet delivered.
    pub fn pause(&self) {
        self.signal("-STOP");
        let since = Instant::now();
        while self.process_state() != Some('T') {
            assert!(since.elapsed() < TEST_TIMEOUT, "the scheduler is not paused");
            std::thread::sleep(Duration::from_micros(100));
        }
    }

    /// Whether the paused process was in its poll for events, or just about to leave it.
    pub fn is_paused_in_poll(&self) -> bool {
        let path = format!("/proc/{}/syscall", self.child.id());
        let syscall = std::fs::read_to_string(path).expect("the kernel names the system call");
        syscall.split_whitespace().next() == Some(EPOLL_WAIT)
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// The process's state by the kernel.
    fn process_state(&self) -> Option<char> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        stat.rsplit(')').next()?.trim_start().chars().next()
    }

    /// Waits for the process to end by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "the scheduler goes on");
            std::thread::sleep(ms(20));
        }
    }

    /// Processor time used so far, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        fields[11].parse::<u64>().expect("ticks") + fields[12].parse::<u64>().expect("ticks")
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        // A test that failed must not leave its scheduler behind; one that ended is gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// When SIGKILL follows a SIGTERM, by the longest deadline of the settings.
pub fn sigkill_time(terminated: Instant, deadline: u64) -> Instant {
    terminated + ms(deadline.min(3_000) + 700)
}
