//! Stand-ins for clients, workers and discovery, and control of scheduler processes, for the cases of the
//! second review. Standard library only. Every address is a loopback address.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

// ---- The record: what was sent, answered and run.

/// Writes `record.txt`, with the time in milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| stop(&format!("{}: {error}", path.display())));
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn line(&self, text: &str) -> f64 {
        let mut file = self.file.lock().unwrap();
        let now = self.now();
        let _ = writeln!(file, "{now:10.1} {text}");
        now
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// The processes that this case has started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The folder of this run, which is removed at its end.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that this case has started, and then the case.
pub fn finish(code: i32) -> ! {
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for pid in started {
        signal(pid, "KILL");
    }
    let folder = FOLDER.lock().ok().and_then(|mut folder| folder.take());
    if let (Some(folder), Err(_)) = (folder, std::env::var("KEEP")) {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// The case could not run.
pub fn stop(reason: &str) -> ! {
    println!("could not run: {reason}");
    finish(COULD_NOT_RUN);
}

/// Ends the case as one that could not run if it takes longer than this.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        stop(&format!("it took longer than {seconds} s"));
    });
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Has the kernel kill the child if this process ends without having done so.
fn die_with_this_process(command: &mut Command) {
    use std::os::unix::process::CommandExt;
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: std::ffi::c_ulong = 9;
    // SAFETY: prctl is async-signal-safe, and the closure does nothing else.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is to be played: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A listener on a free loopback port.
pub fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|error| stop(&format!("no port: {error}")))
}

/// A loopback port that is free now.
pub fn free_address() -> SocketAddr {
    listen().local_addr().unwrap()
}

// ---- The scheduler.

/// A scheduler process, started with the deploy file's `run`. Killed when dropped.
pub struct Scheduler {
    child: Child,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    pub config: PathBuf,
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|_| stop("no deploy file"));
    let line = text.lines().find(|line| line.trim_start().starts_with("run"));
    let value = line.and_then(|line| line.split('"').nth(1)).map(str::to_owned);
    value.unwrap_or_else(|| stop("the deploy file has no run"))
}

impl Scheduler {
    /// Starts a scheduler with this configuration, and waits until `GET /up` says 200.
    pub fn start(dir: &Path, name: &str, config: &str, listen: SocketAddr, control: SocketAddr) -> Scheduler {
        let scheduler = Scheduler::spawn(dir, name, config, listen, control);
        scheduler.wait_until_up();
        scheduler
    }

    pub fn spawn(dir: &Path, name: &str, config: &str, listen: SocketAddr, control: SocketAddr) -> Scheduler {
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, config).unwrap_or_else(|error| stop(&format!("{}: {error}", path.display())));
        let log = File::create(dir.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        for name in ["NAME", "LISTEN", "DISCOVERY", "CONTROL", "OPERATIONS"] {
            command.env_remove(format!("PROXY_{name}"));
        }
        command.args(["-c", &run_command()]).env("PROXY_CONFIG", &path).env("TMPDIR", dir);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        die_with_this_process(&mut command);
        let child =
            command.spawn().unwrap_or_else(|error| stop(&format!("the scheduler does not start: {error}")));
        STARTED.lock().unwrap().push(child.id());
        Scheduler { child, listen, control, config: path }
    }

    pub fn wait_until_up(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_up() {
                return;
            }
            sleep_ms(20);
        }
        stop("the scheduler is not ready after 10 s");
    }

    pub fn is_up(&self) -> bool {
        let Ok(mut client) = Client::try_connect(self.listen) else { return false };
        client.send(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n");
        matches!(client.read_answer(Duration::from_millis(500)), End::Answer(answer) if answer.status == 200)
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Whether the process has ended, with its exit code (`-1`: by a signal).
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|&pid| pid != self.child.id());
    }
}

/// Sends a signal to a process that this case has started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

// ---- Discovery.

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
    /// The version of its last change.
    changed: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\
             \"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.zone, self.kind, self.group, self.status, self.since_ms
        )
    }
}

struct List {
    index: u64,
    entries: BTreeMap<String, Entry>,
}

/// Discovery: the whole list, and watches with a keep-alive every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    record: Record,
    /// Calls so far.
    pub calls: Arc<AtomicU64>,
    /// How long a call takes before its answer begins, in milliseconds.
    pub call_ms: Arc<AtomicU64>,
    /// How long a watch waits for its turn, in milliseconds, after its head and before its first object.
    pub wait_ms: Arc<AtomicU64>,
}

impl Discovery {
    pub fn start(record: &Record) -> Discovery {
        let listener = listen();
        let list = List { index: 41, entries: BTreeMap::new() };
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            list: Arc::new((Mutex::new(list), Condvar::new())),
            record: record.clone(),
            calls: Arc::default(),
            call_ms: Arc::default(),
            wait_ms: Arc::default(),
        };
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        discovery
    }

    /// Adds or changes an entry. Returns when the change counts as made.
    pub fn set(
        &self,
        name: &str,
        address: SocketAddr,
        zone: &str,
        kind: &str,
        status: &'static str,
        since_ms: u64,
    ) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        list.index += 1;
        let entry = Entry {
            name: name.to_owned(),
            address,
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            group: 0,
            status,
            since_ms,
            changed: list.index,
        };
        self.record.line(&format!("discovery: {} is {status} (index {})", name, list.index));
        list.entries.insert(name.to_owned(), entry);
        changed.notify_all();
    }

    /// Changes the status of an entry.
    pub fn set_status(&self, name: &str, status: &'static str) {
        let entry = self.list.0.lock().unwrap().entries.get(name).cloned();
        if let Some(entry) = entry {
            self.set(name, entry.address, &entry.zone, &entry.kind, status, entry.since_ms);
        }
    }

    /// The changes after a version, or the whole list.
    fn document(&self, since: Option<u64>) -> (u64, String) {
        let list = self.list.0.lock().unwrap();
        let delta = since.filter(|&since| since > 0 && since <= list.index);
        let shown = list.entries.values().filter(|entry| match delta {
            Some(since) => entry.changed > since,
            None => entry.status != "gone",
        });
        let entries: Vec<String> = shown.map(Entry::json).collect();
        let text = format!(
            "{{\"index\":{},\"snapshot\":{},\"endpoints\":[{}]}}",
            list.index,
            delta.is_none(),
            entries.join(",")
        );
        (list.index, text)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Some(head) = read_head(&mut stream) else { return };
        let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
        self.record.line(&format!("discovery {}: GET {target}", self.address.port()));
        self.calls.fetch_add(1, Ordering::SeqCst);
        sleep_ms(self.call_ms.load(Ordering::SeqCst));
        if !target.contains("follow=1") {
            let (_, text) = self.document(None);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            let _ = stream.write_all((head + &text).as_bytes());
            return;
        }
        let since = target.split("since=").nth(1).and_then(|text| text.split('&').next()?.parse().ok());
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        sleep_ms(self.wait_ms.load(Ordering::SeqCst));
        let (mut told, text) = self.document(since);
        if !self.tell(&mut stream, &text) {
            return;
        }
        loop {
            let (list, changed) = &*self.list;
            let guard = list.lock().unwrap();
            let wait = Duration::from_secs(2);
            let (guard, _) = changed.wait_timeout_while(guard, wait, |list| list.index == told).unwrap();
            let is_new = guard.index != told;
            drop(guard);
            let text = if is_new { self.document(Some(told)) } else { (told, String::new()) };
            told = text.0;
            if !self.tell(&mut stream, &text.1) {
                return;
            }
        }
    }

    fn tell(&self, stream: &mut TcpStream, line: &str) -> bool {
        if !line.is_empty() {
            self.record.line(&format!("discovery {} tells {line}", self.address.port()));
        }
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_ok()
    }
}

// ---- Workers.

/// A request as a worker received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    pub id: String,
    pub key: Option<String>,
    pub expires_in: Option<f64>,
    pub body: Vec<u8>,
    /// When the last byte had arrived, in milliseconds since the start of the case.
    pub at: f64,
}

/// What a worker does with a job.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Runs it for so many milliseconds and answers with the result `made-for-ID`.
    Run(u64),
    /// Hands it back unstarted.
    Return,
}

/// A worker.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    /// The requests that arrived completely.
    pub requests: Arc<Mutex<Vec<Request>>>,
    record: Record,
    deed: Arc<dyn Fn(&Request) -> Deed + Send + Sync>,
    held: Arc<AtomicU64>,
    slots: u64,
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Worker {
    pub fn start(
        record: &Record,
        name: &str,
        slots: u64,
        deed: impl Fn(&Request) -> Deed + Send + Sync + 'static,
    ) -> Worker {
        let listener = listen();
        let worker = Worker {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            record: record.clone(),
            deed: Arc::new(deed),
            held: Arc::default(),
            slots,
            stopped: Arc::default(),
            streams: Arc::default(),
        };
        let shared = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let shared = shared.clone();
                shared.streams.lock().unwrap().extend(stream.try_clone());
                thread::spawn(move || shared.serve(stream));
            }
        });
        worker
    }

    /// Ends the worker: its connections end, and new ones are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(&format!("worker {} has ended", self.name));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(head) = read_head(&mut stream) {
            let length = header(&head, "Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            if stream.read_exact(&mut body).is_err() {
                return;
            }
            if head.starts_with("GET ") {
                let free = self.slots.saturating_sub(self.held.load(Ordering::SeqCst));
                let text = format!("{{\"x0\":{free},\"x1\":{free}}}");
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let request = Request {
                target: head.split(' ').nth(1).unwrap_or_default().to_owned(),
                id: header(&head, "X-Trace-Id").unwrap_or_default(),
                key: header(&head, "Idempotency-Key"),
                expires_in: header(&head, "X-Expires-In-Ms").and_then(|text| text.parse().ok()),
                body,
                at: self.record.now(),
            };
            self.record.line(&format!(
                "worker {} gets {} ({}), expires in {:?} ms",
                self.name, request.id, request.target, request.expires_in
            ));
            self.requests.lock().unwrap().push(request.clone());
            if !self.answer(&mut stream, &request) {
                return;
            }
        }
    }

    /// Answers a job. Returns whether the connection stays open.
    fn answer(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let (name, id) = (&self.name, &request.id);
        let Deed::Run(run_ms) = (self.deed)(request) else {
            let answer = "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
            self.record.line(&format!("worker {name} returns {id} unstarted"));
            return stream.write_all(answer.as_bytes()).is_ok();
        };
        let held = self.held.fetch_add(1, Ordering::SeqCst) + 1;
        let line = |text: String| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        let started = line(format!("{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"started\"}}"));
        let mut open = stream.write_all((head + &started).as_bytes()).is_ok();
        sleep_ms(run_ms);
        let others = held.saturating_sub(1);
        let free = self.slots.saturating_sub(others);
        let done = line(format!(
            "{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"done\",\"result\":\"made-for-{id}\",\
             \"load\":{{\"x0\":{free},\"x1\":{free},\"inflight\":{others}}}}}"
        ));
        self.record.line(&format!("worker {name} has run {id}"));
        open &= stream.write_all((done + "0\r\n\r\n").as_bytes()).is_ok();
        self.held.fetch_sub(1, Ordering::SeqCst);
        open
    }
}

// ---- Clients.

/// An answer to a client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub closes: bool,
}

/// How a client's wait ended.
#[derive(Clone, Debug)]
pub enum End {
    Answer(Answer),
    /// The peer has closed its side without a whole answer; it had read what it was sent until then.
    Closed,
    /// The connection was reset before a whole answer.
    Reset,
    /// Nothing came in time.
    Nothing,
}

impl End {
    pub fn text(&self) -> String {
        match self {
            End::Answer(answer) => format!("{} {:?}", answer.status, answer.body),
            End::Closed => "the scheduler closed the connection without an answer".into(),
            End::Reset => "the connection was reset".into(),
            End::Nothing => "no answer in time".into(),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Client {
    pub fn try_connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, input: Vec::new() })
    }

    /// A client on a connection that is open already.
    pub fn over(stream: TcpStream) -> Client {
        Client { stream, input: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> Client {
        Client::try_connect(address).unwrap_or_else(|error| stop(&format!("can't connect: {error}")))
    }

    /// Sends bytes; returns whether all were written.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Whether the kernel's table shows that the scheduler has read all that was sent on this connection.
    pub fn is_all_read(&self, scheduler: SocketAddr, record: &Record) -> bool {
        let unread = self.stream.local_addr().ok().and_then(|own| unread_bytes(scheduler, own));
        record.line(&format!("bytes that the scheduler has not read on this connection: {unread:?}"));
        unread == Some(0)
    }

    /// Reads the next answer.
    pub fn read_answer(&mut self, within: Duration) -> End {
        let until = Instant::now() + within;
        loop {
            if let Some(answer) = self.take_answer() {
                return End::Answer(answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return End::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut buffer = [0; 16 * 1024];
            match self.stream.read(&mut buffer) {
                Ok(0) => return End::Closed,
                Ok(count) => self.input.extend_from_slice(&buffer[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return End::Reset,
            }
        }
    }

    /// Takes a whole answer out of the input.
    fn take_answer(&mut self) -> Option<Answer> {
        let end = self.input.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
        let length: usize = header(&head, "Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        if self.input.len() < end + length {
            return None;
        }
        let body = String::from_utf8_lossy(&self.input[end..end + length]).into_owned();
        self.input.drain(..end + length);
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let closes = header(&head, "Connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
        Some(Answer { status, body, closes })
    }
}

/// How many bytes the process behind `server` has not read yet on its connection with `client`, by the kernel's
/// table; `None` if the connection is gone.
pub fn unread_bytes(server: SocketAddr, client: SocketAddr) -> Option<u64> {
    let text = |address: SocketAddr| match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()),
        SocketAddr::V6(_) => String::new(),
    };
    let (local, remote) = (text(server), text(client));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_it = fields.next() == Some(&local) && fields.next() == Some(&remote);
        let queues = fields.nth(1).filter(|_| is_it)?;
        u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()
    })
}

/// A job's request at the first deployment, with a body of this length.
pub fn job(class: &str, id: &str, expires_in: u64, body: usize) -> Vec<u8> {
    job_of("karoo-play", class, id, expires_in, body)
}

/// A tenant's request, with a body of this length.
pub fn job_of(tenant: &str, class: &str, id: &str, expires_in: u64, body: usize) -> Vec<u8> {
    let key = if class == "coin-buy" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    let mut request = format!(
        "POST /{class}/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
         X-Customer: {tenant}\r\nX-Expires-In-Ms: {expires_in}\r\n{key}Content-Length: {body}\r\n\r\n"
    )
    .into_bytes();
    request.extend(std::iter::repeat(b'x').take(body));
    request
}

// ---- HTTP.

/// Reads a head, byte by byte, up to the empty line.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// The value of a header.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

// ---- The settings of a small deployment.

/// A scheduler's configuration: one scheduler, two zones, the classes and limits of a small deployment.
pub fn configuration(listen: SocketAddr, control: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"s0","listen":"{listen}","discovery":"{discovery}","control":"{control}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"balancers":1,"ordinal":0,"tier":0,"zone":0,"zones":["jhb-north","jhb-east"],"shapes":["mid-3c"],
"stages":["turn-workers"],"workload":"jobs","weights":"none","value-by":"work","discovery":"on_request",
"classes":[
{{"name":"farm-view","effect":"pure","group":"all","window":5000.0,"goal-time":400.0,"hard-limit":6000.0,"importance":2.0,"late-value":0.5,"streamed":false}},
{{"name":"market-sale","effect":"side_effect","group":"all","window":5000.0,"goal-time":400.0,"hard-limit":5000.0,"importance":3.0,"late-value":0.5,"streamed":false}},
{{"name":"coin-buy","effect":"token","group":"zone","window":7500.0,"goal-time":400.0,"hard-limit":5000.0,"importance":10.0,"late-value":0.5,"streamed":false}}],
"tenants":[{{"name":"karoo-play","fraction":0.36,"quota-per-s":38.0}},{{"name":"vaal-games","fraction":0.34,"quota-per-s":36.0}},{{"name":"bosveld-fun","fraction":0.3,"quota-per-s":31.0}}],
"client-habits":{{"marks-retry":false}},"over-share-worth":0.1,
"report":{{"source":"answers","fields":["x0","x1","concurrent"]}},
"specifics":{{"class-kind":[-1,-1,-1],"class-priority":[0,0,1],"class-stretch":[2.0,2.0,2.5],"progress":0.0,"queue-order":"fifo","tells-start":true}},
"limits":{{"cancelling":true,"conn-idle":15000.0,"connect-timeout":150.0,"cpu-us-per-s":800000,"max-attempts":4,"max-retry-after":2000.0,"most-held":20000,"peer-messages":false,"probes":true,"retry-after":true,"second-copies":true,"streams-per-conn":1}},
"obligations":{{"answer-slack":8.0,"ask-within":10000.0,"cold-share":0.3,"drain-grace":250.0,"fall-multiple":4.0,"overload-for":3000.0,"warm-within":8600.0}}}}}}
"#
    )
}

/// A scheduler's configuration at the second deployment: no messages between schedulers, reports by probes only.
pub fn configuration_without_peers(listen: SocketAddr, control: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"s0","listen":"{listen}","discovery":"{discovery}","control":"{control}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"balancers":2,"ordinal":0,"tier":0,"zone":0,"zones":["jkt-cikarang","jkt-cibitung"],"shapes":["besar","kecil","lama"],
"stages":["push-workers"],"workload":"jobs","weights":"live","value-by":"work","discovery":"on_request",
"classes":[
{{"name":"badge-sync","effect":"pure","group":"all","window":5000.0,"goal-time":120.0,"hard-limit":5000.0,"importance":1.0,"late-value":0.0,"streamed":false}},
{{"name":"token-refresh","effect":"pure","group":"all","window":5000.0,"goal-time":120.0,"hard-limit":5000.0,"importance":1.0,"late-value":0.0,"streamed":false}},
{{"name":"broadcast","effect":"side_effect","group":"all","window":5000.0,"goal-time":750.0,"hard-limit":10000.0,"importance":2.0,"late-value":0.0,"streamed":false}},
{{"name":"otp-send","effect":"side_effect","group":"all","window":5000.0,"goal-time":120.0,"hard-limit":5000.0,"importance":5.0,"late-value":0.0,"streamed":false}}],
"tenants":[{{"name":"pasar-kita","fraction":0.24,"quota-per-s":30.0}},{{"name":"ojek-lancar","fraction":0.21,"quota-per-s":26.0}},{{"name":"bank-tani","fraction":0.19,"quota-per-s":24.0}}],
"client-habits":{{"marks-retry":true}},"over-share-worth":0.1,
"report":{{"source":"probe","fields":["err_ps","depth","x0","x1"]}},
"specifics":{{"class-kind":[-1,-1,-1,0],"class-priority":[0,0,0,1],"class-stretch":[2.5,2.0,1.75,2.0],"progress":1000.0,"queue-order":"fifo","tells-start":false}},
"limits":{{"cancelling":true,"conn-idle":60000.0,"connect-timeout":120.0,"cpu-us-per-s":15000,"max-attempts":6,"max-retry-after":2000.0,"most-held":20000,"peer-messages":false,"probes":true,"retry-after":true,"second-copies":false,"streams-per-conn":1}},
"obligations":{{"answer-slack":8.0,"ask-within":10000.0,"cold-share":0.12,"drain-grace":500.0,"fall-multiple":3.0,"overload-for":2000.0,"warm-within":24000.0}}}}}}
"#
    )
}

/// A private folder for this run; [`finish`] removes it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| stop(&format!("{}: {error}", path.display())));
        *FOLDER.lock().unwrap() = Some(path.clone());
        Folder(path)
    }
}
