//! Shared parts of the review's cases: stand-ins for clients, workers, discovery and the network between
//! schedulers, and the start of scheduler processes by the deploy file's command. Only the standard library
//! is used. Every address is on 127.0.0.1.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---- Time and record.

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<std::fs::File>> = OnceLock::new();
/// Set at the end of a run; every thread of a stand-in ends then.
pub static OVER: AtomicBool = AtomicBool::new(false);

/// Milliseconds since the start of the run.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1_000.0
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

pub fn over() -> bool {
    OVER.load(Ordering::Relaxed)
}

/// Opens `record.txt` in the case's folder.
pub fn open_record(folder: &Path) {
    now();
    let file = std::fs::File::create(folder.join("record.txt")).expect("record.txt");
    let _ = RECORD.set(Mutex::new(file));
}

/// Writes a line to the record, with the time in milliseconds since the start.
pub fn rec(line: impl AsRef<str>) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>10.1} {}", now(), line.as_ref());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(line: impl AsRef<str>) {
    println!("{:>10.1} {}", now(), line.as_ref());
    rec(line);
}

// ---- HTTP.

#[derive(Default, Debug, Clone)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one request or response with a stated length. `None`: the connection ended before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first)? == 0 {
        return Ok(None);
    }
    message.first = message.first.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

// ---- Discovery.

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub status: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"box","group":0,"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.zone, self.status
        )
    }
}

#[derive(Default)]
struct List {
    index: u64,
    entries: Vec<Entry>,
    changes: Vec<(u64, Entry)>,
    down: bool,
    generation: u64,
}

/// The discovery service: the whole list, and watches with an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = List { index: 41, entries, ..List::default() };
        let discovery = Discovery { address, list: Arc::new((Mutex::new(list), Condvar::new())) };
        let served = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                spawn(move || {
                    let _ = served.serve(stream);
                });
            }
        });
        discovery
    }

    /// Changes the status of a worker; open watches are told at once.
    pub fn set(&self, name: &str, status: &'static str) {
        let mut list = self.list.0.lock().unwrap();
        list.index += 1;
        let index = list.index;
        let entry = list.entries.iter_mut().find(|entry| entry.name == name).unwrap();
        entry.status = status;
        let entry = entry.clone();
        list.changes.push((index, entry));
        rec(format!("discovery index={index} {name} is {status}"));
        self.list.1.notify_all();
    }

    /// Takes discovery down (watches end, calls are reset) or brings it back.
    pub fn set_down(&self, down: bool) {
        let mut list = self.list.0.lock().unwrap();
        list.down = down;
        list.generation += 1;
        rec(format!("discovery {}", if down { "goes down" } else { "is back" }));
        self.list.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let mut list = self.list.0.lock().unwrap();
            if list.down {
                return Ok(());
            }
            let join = |entries: Vec<String>| entries.join(",");
            let all = |list: &List| {
                let listed = list.entries.iter().filter(|entry| entry.status != "gone");
                let entries = join(listed.map(Entry::json).collect());
                format!(r#"{{"index":{},"snapshot":true,"endpoints":[{entries}]}}"#, list.index) + "\n"
            };
            if !request.first.contains("follow=1") {
                let text = all(&list);
                drop(list);
                write!(output, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())?;
                continue;
            }
            let since = request.first.split("since=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
            let mut sent: u64 = since.and_then(|text| text.parse().ok()).unwrap_or(0);
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            write!(output, "{head}")?;
            let delta = |list: &List, since: u64| {
                let changed = list.changes.iter().filter(|(index, _)| *index > since);
                let entries = join(changed.map(|(_, entry)| entry.json()).collect());
                format!(r#"{{"index":{},"snapshot":false,"endpoints":[{entries}]}}"#, list.index) + "\n"
            };
            let first = if sent < 41 { all(&list) } else { delta(&list, sent) };
            write!(output, "{}", chunk(&first))?;
            sent = list.index;
            let generation = list.generation;
            let mut quiet_since = Instant::now();
            loop {
                list = self.list.1.wait_timeout(list, ms(50)).unwrap().0;
                if list.generation != generation || over() {
                    return Ok(());
                }
                if list.index > sent {
                    write!(output, "{}", chunk(&delta(&list, sent)))?;
                    sent = list.index;
                    quiet_since = Instant::now();
                } else if quiet_since.elapsed() >= ms(2_000) {
                    write!(output, "{}", chunk("\n"))?;
                    quiet_since = Instant::now();
                }
            }
        }
        Ok(())
    }
}

// ---- Workers.

/// What a worker does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    /// Runs it for this long and answers with a result.
    Run(u64),
    /// Hands it back unstarted: 503 with `X-Never-Ran: 1`.
    Return,
    /// Takes it, runs it for this long, then the job is killed: `lost`.
    Lose(u64),
    /// The same, and the connection is reset or closed without a last line.
    Break(u64),
}

/// Names of workers that hang: they start and end nothing, and answer nothing, while they are listed here.
pub static HANGING: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn hangs(name: &str) -> bool {
    HANGING.lock().unwrap().iter().any(|other| other == name)
}

/// The jobs that workers have run: when, and where.
pub static RAN: Mutex<Vec<(String, f64, String)>> = Mutex::new(Vec::new());

pub struct Job {
    pub id: String,
    pub class: String,
    pub key: String,
    pub target: String,
    pub expires: String,
}

struct WorkerState {
    name: String,
    slots: usize,
    queue: usize,
    held: AtomicUsize,
    running: Mutex<usize>,
    freed: Condvar,
    decide: Box<dyn Fn(&str, &Job) -> Deed + Send + Sync>,
}

/// A worker that listens on 127.0.0.1. `decide` gets the worker's name and the job. It tells of starts and
/// reports its load in each last line.
pub fn worker(
    name: &str,
    zone: &str,
    slots: usize,
    decide: impl Fn(&str, &Job) -> Deed + Send + Sync + 'static,
) -> Entry {
    worker_with_queue(name, zone, slots, usize::MAX / 2, decide)
}

/// The same, with a limit on the jobs that wait: it hands back what comes beyond it, before `decide` sees it.
pub fn worker_with_queue(
    name: &str,
    zone: &str,
    slots: usize,
    queue: usize,
    decide: impl Fn(&str, &Job) -> Deed + Send + Sync + 'static,
) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let state = Arc::new(WorkerState {
        name: name.to_owned(),
        slots,
        queue,
        held: AtomicUsize::new(0),
        running: Mutex::new(0),
        freed: Condvar::new(),
        decide: Box::new(decide),
    });
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = Arc::clone(&state);
            spawn(move || {
                let _ = work(&state, stream);
            });
        }
    });
    Entry { name: name.to_owned(), address, zone: zone.to_owned(), status: "ready" }
}

/// Whether the other side has closed or reset the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

fn work(state: &WorkerState, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
        let id = request.header("x-trace-id").to_owned();
        if !request.first.starts_with("POST") || id.is_empty() {
            write!(output, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let class = target.split('/').nth(1).unwrap_or("").to_owned();
        let key = request.header("idempotency-key").to_owned();
        let expires = request.header("x-expires-in-ms").to_owned();
        let job = Job { id: id.clone(), class: class.clone(), key: key.clone(), target, expires };
        let name = &state.name;
        let from = output.peer_addr()?;
        let is_full = state.held.load(Ordering::SeqCst) >= state.slots + state.queue;
        let deed = if is_full { Deed::Return } else { (state.decide)(name, &job) };
        rec(format!("worker {name} got id={id} class={class} key={key} from={from} -> {deed:?}"));
        let held = state.held.fetch_add(1, Ordering::SeqCst) + 1;
        let load = |held: usize| {
            let free = state.slots.saturating_sub(held);
            format!(r#""load":{{"x0":{free},"x1":{free},"inflight":{held}}}"#)
        };
        if deed == Deed::Return {
            state.held.fetch_sub(1, Ordering::SeqCst);
            rec(format!("worker {name} returned id={id}"));
            let report = format!("Endpoint-Load-Metrics: TEXT inflight={held}, x0=0, x1=0");
            write!(output, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\n{report}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        // It waits for a free slot, and is dropped if its connection ends meanwhile.
        let mut running = state.running.lock().unwrap();
        let mut dropped = false;
        while (*running >= state.slots || hangs(&state.name)) && !dropped {
            running = state.freed.wait_timeout(running, ms(20)).unwrap().0;
            dropped = is_closed(&output);
        }
        if dropped || is_closed(&output) {
            drop(running);
            state.held.fetch_sub(1, Ordering::SeqCst);
            rec(format!("worker {name} dropped id={id}: its connection had ended before its start"));
            return Ok(());
        }
        *running += 1;
        drop(running);
        rec(format!("worker {name} ran id={id} class={class} key={key}"));
        RAN.lock().unwrap().push((id.clone(), now(), name.clone()));
        let line = |text: String| chunk(&format!("{{\"id\":\"{id}\",\"from\":\"{name}\",{text}}}\n"));
        write!(output, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        write!(output, "{}", line(r#""state":"started""#.into()))?;
        let (Deed::Run(time) | Deed::Lose(time) | Deed::Break(time)) = deed else { unreachable!() };
        sleep(ms(time));
        while hangs(&state.name) && !over() {
            sleep(ms(5));
        }
        *state.running.lock().unwrap() -= 1;
        state.freed.notify_all();
        let held = state.held.fetch_sub(1, Ordering::SeqCst) - 1;
        let last = match deed {
            Deed::Lose(_) => line(format!(r#""state":"lost",{}"#, load(held))),
            Deed::Break(_) => {
                rec(format!("worker {name} ended the connection of id={id} without a last line"));
                return Ok(());
            }
            _ => line(format!(r#""state":"done","result":"{id} by {name}",{}"#, load(held))),
        };
        rec(format!("worker {name} ended id={id} {deed:?}"));
        write!(output, "{last}0\r\n\r\n")?;
    }
    Ok(())
}

// ---- Clients.

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Status(u16, String),
    /// The connection ended without a whole answer.
    Lost,
    /// Nothing came within the time and half a second.
    Late,
}

#[derive(Clone)]
pub struct Ask<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub key: &'a str,
    pub expires: u64,
    pub hint_us: u64,
}

/// A client's connection to one scheduler.
pub struct Client {
    pub address: SocketAddr,
    /// Whether the last job was sent once more, as its connection had ended.
    pub resent: bool,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, resent: false, stream: None }
    }

    /// Writes a request on the kept connection or a new one.
    pub fn send(&mut self, ask: &Ask) -> std::io::Result<bool> {
        let Ask { id, class, key, expires, hint_us } = *ask;
        let kept = self.stream.is_some();
        if !kept {
            let stream = TcpStream::connect_timeout(&self.address, ms(1_000))?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        let key = if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}\r\n") };
        let hint = if hint_us == 0 { String::new() } else { format!("X-Size-Hint: {hint_us}\r\n") };
        let text = format!(
            "POST /{class}/{id} HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: acme\r\n\
             X-Expires-In-Ms: {expires}\r\n{key}{hint}Content-Length: 4\r\n\r\nwork"
        );
        rec(format!("client asked id={id} class={class} at {} kept={kept}", self.address));
        let stream = self.stream.as_mut().unwrap();
        stream.get_mut().set_read_timeout(Some(ms(expires + 500)))?;
        stream.get_mut().write_all(text.as_bytes())?;
        Ok(kept)
    }

    /// Waits for the answer to the request that was sent last.
    pub fn receive(&mut self, id: &str) -> Answer {
        let Some(stream) = self.stream.as_mut() else { return Answer::Lost };
        let answer = match read_message(stream) {
            Ok(Some(response)) => {
                let status = response.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
                if response.header("connection").eq_ignore_ascii_case("close") {
                    self.stream = None;
                }
                Answer::Status(status, String::from_utf8_lossy(&response.body).into_owned())
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Answer::Late,
            Ok(None) | Err(_) => Answer::Lost,
        };
        if !matches!(answer, Answer::Status(..)) {
            self.stream = None;
        }
        rec(format!("client answered id={id} {answer:?}"));
        answer
    }

    /// Sends a job and waits for its answer. If a kept connection ends without an answer, as a close may cross
    /// the request, the request is sent once more on a new connection.
    pub fn ask(&mut self, ask: &Ask) -> Answer {
        self.resent = false;
        let kept = match self.send(ask) {
            Ok(kept) => kept,
            Err(_) if self.stream.is_some() => {
                self.stream = None;
                true
            }
            Err(error) => {
                rec(format!("client found no scheduler for id={}: {error}", ask.id));
                return Answer::Lost;
            }
        };
        if self.stream.is_some() {
            let answer = self.receive(ask.id);
            if answer != Answer::Lost || !kept {
                return answer;
            }
        }
        rec(format!("client sends id={} once more", ask.id));
        self.resent = true;
        match self.send(ask) {
            Ok(_) => self.receive(ask.id),
            Err(_) => Answer::Lost,
        }
    }

    pub fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    pub fn close(&mut self) {
        self.stream = None;
    }
}

// ---- Schedulers.

pub struct Scheduler {
    pub ordinal: usize,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    pub peer: SocketAddr,
    pub link: SocketAddr,
    folder: PathBuf,
    config: PathBuf,
    run: String,
    discovery: SocketAddr,
    child: Option<Child>,
}

/// An address that was free a moment ago.
pub fn free_tcp() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn free_udp() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The value of `run` in the deploy file.
pub fn run_command(repository: &Path) -> String {
    let text = std::fs::read_to_string(repository.join("deploy/balancer.toml")).unwrap();
    let line = text.lines().find(|line| line.starts_with("run")).unwrap();
    line.split('"').nth(1).unwrap().to_owned()
}

/// The folder of a run: `target` is the repository's, and `deploy/operations.toml` has the given text, or is
/// the repository's if there is none.
pub fn run_folder(repository: &Path, operations: Option<&str>) -> PathBuf {
    let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP"));
    std::fs::create_dir_all(folder.join("deploy")).unwrap();
    std::os::unix::fs::symlink(repository.join("target"), folder.join("target")).unwrap();
    let text = match operations {
        Some(text) => text.to_owned(),
        None => std::fs::read_to_string(repository.join("deploy/operations.toml")).unwrap(),
    };
    std::fs::write(folder.join("deploy/operations.toml"), text).unwrap();
    folder
}

impl Scheduler {
    /// Prepares a scheduler with free addresses; `write_config` gives its configuration, `start` starts it.
    pub fn new(ordinal: usize, folder: &Path, repository: &Path, discovery: SocketAddr) -> Scheduler {
        Scheduler {
            ordinal,
            listen: free_tcp(),
            control: free_tcp(),
            peer: free_udp(),
            link: free_tcp(),
            folder: folder.to_owned(),
            config: folder.join(format!("config-{ordinal}.json")),
            run: run_command(repository),
            discovery,
            child: None,
        }
    }

    /// Writes the configuration. `peers`: the JSON of `peers`, `peers_all` and the like, with a comma at its
    /// end, or empty.
    pub fn write_config(&self, peers: &str, settings: &str) {
        let text = format!(
            r#"{{"name":"n{}","listen":"{}","discovery":"{}","control":"{}","seed":"8c1f30d27a5be9{:02x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{peers}"settings":{settings}}}"#,
            self.ordinal, self.listen, self.discovery, self.control, self.ordinal
        );
        std::fs::write(&self.config, text).unwrap();
    }

    pub fn start(&mut self) {
        let append = |name: String| {
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join(name)).unwrap()
        };
        let log = append(format!("log-{}.txt", self.ordinal));
        let temporary = self.folder.join(format!("tmp-{}", self.ordinal));
        std::fs::create_dir_all(&temporary).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.folder)
            .env("PROXY_NAME", format!("n{}", self.ordinal))
            .env("PROXY_LISTEN", self.listen.to_string())
            .env("PROXY_DISCOVERY", self.discovery.to_string())
            .env("PROXY_CONTROL", self.control.to_string())
            .env("PROXY_CONFIG", &self.config)
            .env("TMPDIR", temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        // For the script, which ends these processes if this program can't.
        let _ = writeln!(append("pids".into()), "{}", child.id());
        rec(format!("scheduler {} started, pid {}", self.ordinal, child.id()));
        self.child = Some(child);
    }

    pub fn signal(&mut self, name: &str) {
        let Some(child) = &mut self.child else { return };
        if let Ok(None) = child.try_wait() {
            say(format!("scheduler {} gets SIG{name}", self.ordinal));
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", child.id())]).status();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits until the process has ended; SIGKILL after the given time.
    pub fn wait_end(&mut self, limit: u64) {
        let begun = Instant::now();
        while !self.has_ended() {
            if begun.elapsed() > ms(limit) {
                self.signal("KILL");
            }
            sleep(ms(10));
        }
        say(format!("scheduler {} has ended", self.ordinal));
        self.child = None;
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A call at the admin endpoint.
    pub fn call(&self, line: &str) -> String {
        let call = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.control, ms(500))?;
            stream.set_read_timeout(Some(ms(2_000)))?;
            stream.write_all(format!("{line}\n").as_bytes())?;
            let mut reply = String::new();
            stream.read_to_string(&mut reply)?;
            Ok(reply)
        };
        call().unwrap_or_default()
    }

    /// `GET /up`; whether the answer is 200.
    pub fn is_up(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.listen, ms(500))?;
            stream.set_read_timeout(Some(ms(1_000)))?;
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")?;
            let mut reply = String::new();
            stream.read_to_string(&mut reply)?;
            Ok(reply.starts_with("HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    pub fn wait_up(&self) -> bool {
        (0..600).any(|_| {
            sleep(ms(50));
            self.is_up()
        })
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- The network between schedulers.

/// The datagram network: scheduler I sends to the address that it has for J, and J gets the datagram from the
/// address that it has for I. `see` gets sender and bytes of each datagram as it leaves its sender; it returns
/// whether it is delivered.
pub struct Network {
    /// By scheduler: `peer_listen`, `peers` and `peers_all` for its configuration.
    pub config: Vec<String>,
}

impl Network {
    pub fn start(peers: &[SocketAddr], see: impl Fn(usize, &[u8]) -> bool + Send + Sync + 'static) -> Network {
        let count = peers.len();
        let socket = || Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let routes: Vec<Vec<Arc<UdpSocket>>> =
            (0..count).map(|_| (0..count).map(|_| socket()).collect()).collect();
        let all: Vec<Arc<UdpSocket>> = (0..count).map(|_| socket()).collect();
        let see = Arc::new(see);
        let mut config = Vec::new();
        for from in 0..count {
            let address = |to: usize| match to == from {
                true => peers[from],
                false => routes[from][to].local_addr().unwrap(),
            };
            let list: Vec<String> = (0..count).map(|to| format!("\"{}\"", address(to))).collect();
            config.push(format!(
                r#""peer_listen":"{}","peers":[{}],"peers_all":"{}","#,
                peers[from],
                list.join(","),
                all[from].local_addr().unwrap()
            ));
            let mut sources: Vec<(Arc<UdpSocket>, Vec<usize>)> = Vec::new();
            for to in (0..count).filter(|to| *to != from) {
                sources.push((Arc::clone(&routes[from][to]), vec![to]));
            }
            sources.push((Arc::clone(&all[from]), (0..count).filter(|to| *to != from).collect()));
            for (source, receivers) in sources {
                let (see, routes, peers) = (Arc::clone(&see), routes.clone(), peers.to_vec());
                spawn(move || {
                    let mut buffer = [0; 2_048];
                    while let Ok((length, sender)) = source.recv_from(&mut buffer) {
                        if sender != peers[from] || !see(from, &buffer[..length]) {
                            continue;
                        }
                        for &to in &receivers {
                            let _ = routes[to][from].send_to(&buffer[..length], peers[to]);
                        }
                    }
                });
            }
        }
        Network { config }
    }
}

/// The holder's ordinal, the role and the term of a fenced message, by the layout in `crates/leases`: a kind
/// byte, then numbers of variable length.
pub fn fenced(datagram: &[u8]) -> Option<(u64, u64, [u64; 5])> {
    let (&kind, mut bytes) = datagram.split_first()?;
    if kind != 0xf3 {
        return None;
    }
    let mut number = |is_byte: bool| -> Option<u64> {
        let mut value = 0;
        for shift in (0..64).step_by(7) {
            let (&byte, rest) = bytes.split_first()?;
            bytes = rest;
            if is_byte {
                return Some(byte.into());
            }
            value |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return Some(value);
            }
        }
        None
    };
    let holder = number(false)?;
    number(false)?;
    let role = number(true)?;
    let mut term = [0; 5];
    for part in &mut term {
        *part = number(false)?;
    }
    Some((holder, role, term))
}

// ---- Settings.

/// Settings of a small deployment with the classes of the brief. `limits` and `classes` are JSON.
pub fn settings(ordinal: usize, schedulers: usize, zone: usize, zones: &[&str], classes: &str, limits: &str) -> String {
    let zones: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    format!(
        r#"{{"ordinal":{ordinal},"balancers":{schedulers},"zone":{zone},"zones":[{}],"shapes":["box"],"tier":0,
"classes":{classes},"tenants":[{{"name":"acme","fraction":1.0,"quota-per-s":500.0}}],"discovery":"on_request",
"report":{{"fields":["x0","x1","concurrent"],"source":"answers"}},"workload":"jobs","weights":"none",
"specifics":{{"tells-start":true,"queue-order":"fifo","progress":0.0,"class-stretch":[2.0,2.0,2.5]}},
"limits":{limits},
"obligations":{{"answer-slack":8.0,"ask-within":2000.0,"drain-grace":250.0,"cold-share":0.3,"fall-multiple":4.0,
"overload-for":3000.0,"warm-within":8600.0}},"over-share-worth":0.1}}"#,
        zones.join(",")
    )
}

pub const CLASSES: &str = r#"[
{"name":"farm-view","effect":"pure","group":"all","window":5000.0,"goal-time":400.0,"hard-limit":6000.0,"importance":2.0,"late-value":0.5,"streamed":false},
{"name":"market-sale","effect":"side_effect","group":"all","window":5000.0,"goal-time":400.0,"hard-limit":5000.0,"importance":3.0,"late-value":0.5,"streamed":false},
{"name":"coin-buy","effect":"token","group":"zone","window":7500.0,"goal-time":400.0,"hard-limit":5000.0,"importance":10.0,"late-value":0.5,"streamed":false}]"#;

pub const LIMITS: &str = r#"{"cancelling":true,"conn-idle":15000.0,"connect-timeout":150.0,"max-attempts":4,
"max-retry-after":2000.0,"most-held":20000,"peer-messages":true,"probes":true,"retry-after":true,"second-copies":true,"streams-per-conn":1}"#;

/// Whether the run has the disruption; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The repository and the case's folder, from the command line.
pub fn folders() -> (PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    (arguments.next().expect("repository"), arguments.next().expect("case folder"))
}

/// Ends the run: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(verdict: Result<bool, String>) -> ! {
    OVER.store(true, Ordering::Relaxed);
    let code = match verdict {
        Ok(true) => {
            say("RESULT: the rule held");
            0
        }
        Ok(false) => {
            say("RESULT: the rule was broken");
            1
        }
        Err(reason) => {
            say(format!("RESULT: the case could not run: {reason}"));
            2
        }
    };
    std::process::exit(code)
}
