//! The scheduler under test: its process, its log and its admin endpoint.

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

/// A lower limit on descriptors is not written to the configuration, which would be invalid with it.
const MIN_CONFIGURED_DESCRIPTORS: u32 = 64;

/// A scheduler process, which is killed when this value is dropped.
pub struct Scheduler {
    pub child: Child,
    pub address: SocketAddr,
    pub discovery: TcpListener,
    /// The datagram socket of another, scripted scheduler.
    pub peer: UdpSocket,
    /// Where the scheduler under test receives datagrams.
    pub peer_address: SocketAddr,
    pub admin_address: SocketAddr,
    config: Value,
    config_path: PathBuf,
    /// The log lines after the one that states the ports.
    log_lines: Arc<Mutex<Vec<String>>>,
}

/// The options with which a scheduler is started.
pub struct Launch<'a> {
    pub settings: Value,
    /// The cached endpoint list.
    pub known: &'a [Value],
    /// The address for clients; several schedulers may listen on the same one.
    pub listen: &'a str,
    /// Limit on the process's descriptors. The configuration states it as well, unless it is too low to be
    /// valid there.
    pub max_descriptors: Option<u32>,
    /// Path of the operators' file.
    pub operations: Option<&'a Path>,
}

/// Number of the system call that waits for events.
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
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
        let config = self.config(address_of(&discovery), peer.local_addr().expect("local_addr"));
        let config_path = write_config(&config);
        let mut child = self.command(&config, &config_path).spawn().expect("the scheduler starts");
        // The log states the ports that the system has chosen. It is read on so that the pipe never fills.
        let mut log = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
        let serving_line = log.find(|line| line.contains("listen: ")).expect("a line that states the ports");
        let log_lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let read_lines = Arc::clone(&log_lines);
        std::thread::spawn(move || log.for_each(|line| read_lines.lock().expect("no panic").push(line)));
        let address_in = |name: &str| serving_line.split(name).nth(1)?.split([',', ' ']).next()?.parse().ok();
        // If the settings disable peer messages, no port is bound for them.
        let unbound =
            serving_line.contains(" peer_listen: none").then(|| SocketAddr::from(([127, 0, 0, 1], 1)));
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
        // The addresses of two schedulers by ordinal. A scheduler does not use its own entry.
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
        // As in a deployment, where the environment and the configuration file state the same address.
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
    for name in [
        "PROXY_CONFIG",
        "PROXY_NAME",
        "PROXY_LISTEN",
        "PROXY_DISCOVERY",
        "PROXY_CONTROL",
        "PROXY_OPERATIONS",
        "PROXY_LOG_LEVEL",
    ] {
        command.env_remove(name);
    }
    command.args(arguments).stderr(Stdio::piped()).stdout(Stdio::piped());
    command
}

/// Runs the program with these arguments and this configuration until it exits.
pub fn run(arguments: &[&str], config: Option<&Value>) -> Output {
    let mut command = command(env!("CARGO_BIN_EXE_brackenledge"), arguments);
    if let Some(config) = config {
        command.env("PROXY_CONFIG", write_config(config));
    }
    command.output().expect("the program runs")
}

/// Starts a scheduler whose cached list has this worker.
pub fn start_scheduler(settings: Value, worker: &TcpListener) -> Scheduler {
    start_scheduler_at(settings, address_of(worker))
}

/// Starts a scheduler whose cached list has a worker at this address.
pub fn start_scheduler_at(settings: Value, worker: SocketAddr) -> Scheduler {
    Scheduler::start_with(settings, &[endpoint("s-a", worker, "ready")])
}

impl Scheduler {
    /// Starts a scheduler with this cached endpoint list.
    pub fn start(known: &[Value]) -> Scheduler {
        Launch { known, ..Launch::default() }.start()
    }

    /// Starts a scheduler with these settings and this cached endpoint list.
    pub fn start_with(settings: Value, known: &[Value]) -> Scheduler {
        Launch { settings, known, ..Launch::default() }.start()
    }

    /// Starts a scheduler whose cached list has this worker, with this limit on its descriptors.
    pub fn start_with_descriptors(settings: Value, worker: &TcpListener, count: u32) -> Scheduler {
        let known = [endpoint("s-a", address_of(worker), "ready")];
        Launch { settings, known: &known, max_descriptors: Some(count), ..Launch::default() }.start()
    }

    /// Replaces the address of discovery in the configuration file or, if there is none, the whole file by
    /// invalid text; then sends SIGHUP.
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

    /// Sends a request on a new connection.
    pub fn send_request(&self, request: &str) -> TcpStream {
        let mut client = self.connect();
        send(&mut client, request);
        client
    }

    /// Submits a job and serves it as this worker, on a new connection, which is returned. Asserts that the
    /// client gets the result.
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

    /// Accepts the next connection to discovery, responds to its request with these lines, and returns both.
    pub fn accept_watch(&self, lines: &[Value]) -> (String, TcpStream) {
        let mut watch = accept(&self.discovery);
        let request = read_message(&mut watch);
        send(&mut watch, RESPONSE_HEAD);
        lines.iter().for_each(|line| send(&mut watch, &line_chunk(line)));
        (request, watch)
    }

    /// Makes a call to the admin endpoint and reads the reply until the connection is closed.
    pub fn admin_call(&self, line: &[u8]) -> String {
        let mut connection = self.admin_connect();
        connection.write_all(line).expect("the call is sent");
        let mut reply = String::new();
        connection.read_to_string(&mut reply).expect("a reply, then a close");
        reply
    }

    pub fn admin_connect(&self) -> TcpStream {
        let connection = TcpStream::connect(self.admin_address).expect("the admin endpoint accepts");
        connection.set_read_timeout(Some(TEST_TIMEOUT)).expect("set_read_timeout");
        connection
    }

    /// Returns a value of the reply to `INFO`.
    pub fn info_value(&self, name: &str) -> f64 {
        let reply = self.admin_call(b"INFO\n");
        let line = reply.lines().find_map(|line| line.strip_prefix(&format!("svc.{name}=")));
        line.unwrap_or_else(|| panic!("no {name} in {reply}")).parse().expect("a number")
    }

    /// Sends a signal to the process; `name` is the argument of `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let sent =
            Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Sends SIGTERM. Returns the time just after that.
    pub fn send_sigterm(&self) -> Instant {
        self.signal("-TERM");
        Instant::now()
    }

    /// Waits until the health check succeeds.
    pub fn wait_until_ready(&self) {
        let since = Instant::now();
        while !check_health(self).starts_with("HTTP/1.1 200 ") {
            assert!(since.elapsed() < TEST_TIMEOUT, "the scheduler is not ready");
            std::thread::sleep(ms(20));
        }
    }

    /// Waits until exactly `count` jobs are pending.
    pub fn wait_for_pending_jobs(&self, count: f64) {
        let since = Instant::now();
        while self.info_value("open_requests") != count {
            assert!(since.elapsed() < TEST_TIMEOUT, "the number of pending jobs is not {count}");
            std::thread::sleep(ms(10));
        }
    }

    /// Waits for a log line that contains all of these parts, and returns it.
    pub fn wait_for_log_line(&self, parts: &[&str]) -> String {
        let since = Instant::now();
        loop {
            let lines = self.log_lines.lock().expect("no panic").clone();
            if let Some(line) = lines.iter().find(|line| parts.iter().all(|part| line.contains(part))) {
                return line.clone();
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "no log line contains {parts:?}: {lines:#?}");
            std::thread::sleep(ms(20));
        }
    }

    /// Returns the number of log lines so far that contain this part.
    pub fn count_log_lines(&self, part: &str) -> usize {
        self.log_lines.lock().expect("no panic").iter().filter(|line| line.contains(part)).count()
    }

    /// Resident memory of the process, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a resident set size");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Stops the process with SIGSTOP, and waits until it is stopped: `kill` returns before the signal takes
    /// effect.
    pub fn pause(&self) {
        self.signal("-STOP");
        let since = Instant::now();
        while self.process_state() != Some('T') {
            assert!(since.elapsed() < TEST_TIMEOUT, "the scheduler is not paused");
            std::thread::sleep(Duration::from_micros(100));
        }
    }

    /// Whether the stopped process is in the system call that waits for events, or about to return from it.
    pub fn is_paused_in_poll(&self) -> bool {
        let path = format!("/proc/{}/syscall", self.child.id());
        let syscall = std::fs::read_to_string(path).expect("the process's system call");
        syscall.split_whitespace().next() == Some(EPOLL_WAIT)
    }

    /// Continues the process after a SIGSTOP.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// The process's state letter in `/proc`, such as `T` if it is stopped.
    fn process_state(&self) -> Option<char> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        stat.rsplit(')').next()?.trim_start().chars().next()
    }

    /// Waits until the process exits by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "the scheduler has not exited");
            std::thread::sleep(ms(20));
        }
    }

    /// Processor time that the process has used so far, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        fields[11].parse::<u64>().expect("ticks") + fields[12].parse::<u64>().expect("ticks")
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        // A failed test must not leave its scheduler running. If the process has exited already, this fails.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// The time at which the platform would send SIGKILL: after SIGTERM it waits for the longest deadline of the
/// settings, 3 s at most, and 700 ms more.
pub fn sigkill_time(sigterm_at: Instant, max_deadline: u64) -> Instant {
    sigterm_at + ms(max_deadline.min(3_000) + 700)
}
