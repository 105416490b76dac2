//! The driver: one poll, one thread; processes of the scheduler, every link of theirs, and the stand-ins behind these.
//!
//! A connection here has one real socket, the scheduler's side, and one stand-in; what travels between them goes
//! through two [`Pipe`]s, one for each direction, with the weather of its link. Messages between schedulers are
//! received on a socket that the rig gave the sender as the receiver's address, and sent on from the one that it gave
//! the receiver as the sender's.

use crate::Millis;
use crate::checker::{Event, How, KILL_SEEN, Turn};
use crate::network_conditions::{Parcel, Pipe, Weather};
use crate::process::Process;
use crate::scenario::{CLASSES, Deed, KEYED_WINDOW, Node, Scenario};
use crate::stand_ins::clients::{Crowd, Front, Next, TENANTS};
use crate::stand_ins::discovery::{Directory, Status};
use crate::stand_ins::workers::{Attempt, Fleet, Said};
use brackenledge_leases::Message;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{Value, json};
use slab::Slab;
use socket2::{Domain, SockRef, Socket, Type};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A tier that is not up by then will not be.
const START_PATIENCE: Millis = 20_000.0;
/// The front asks `/up` this often, and takes no answer for so long as none at all.
const CHECK_EVERY: Millis = 150.0;
const CHECK_PATIENCE: Millis = 1_000.0;
/// A client's connection that does not come up is given up after this, and the client goes elsewhere.
const CONNECT_PATIENCE: Millis = 1_000.0;
/// Discovery sends an empty line this often where nothing changes.
const QUIET_LINE: Millis = 2_000.0;
/// A door that does not answer by then says nothing.
const DOOR_PATIENCE: Duration = Duration::from_secs(2);
/// The first bytes of what the tier's own messages are.
const OWNERSHIP: u8 = 0xf2;
const DEED: u8 = 0xf3;
/// Clients may still wait after the last job has come: their deadline, and what an answer may be late.
const TAIL: Millis = crate::checker::LATE + 200.0;
/// Connections that wait to be taken from a door.
const BACKLOG: i32 = 1_024;
/// Descriptors left for the poll, files and pipes.
const SPARE_DESCRIPTORS: u64 = 64;

/// How to run a scenario.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The scheduler's program.
    pub program: PathBuf,
    /// Ends the run early when set.
    pub stop: Option<Arc<AtomicBool>>,
}

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// What every stand-in saw, in order.
    pub history: Vec<Event>,
    /// Processes that ended though nobody had told them to, with their last words.
    pub crashed: Vec<String>,
    /// Ids of all processes that were started; none runs any more.
    pub processes: Vec<u32>,
    /// What each process that still ran at the end said of its duties, at its door.
    pub doors: Vec<(usize, String)>,
    /// And of the members that it knows.
    pub members: Vec<(usize, String)>,
    /// What the processes logged: the time from the start of traffic, which one, and the line.
    pub log: Vec<String>,
    /// Processor time of the processes that still ran at the end, in milliseconds, from the start of traffic.
    pub cpu: f64,
    /// Bytes on connections between schedulers.
    pub link_bytes: u64,
    /// And of its figures.
    pub figures: Vec<(usize, String)>,
    /// Times that the rig itself was late by more than [`RIG_LATE`]: such a run says little.
    pub rig_late: usize,
}

/// A turn of the rig's own loop that takes longer than this delays what it carries by as much.
pub const RIG_LATE: Millis = 100.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    Open,
    /// Connections are refused.
    Shut,
    /// Connections never come up.
    Blocked,
}

struct Entrance {
    listener: TcpListener,
    address: SocketAddr,
    scheduler: usize,
    far: Node,
    door: Door,
    /// Connections of the rig's own that fill the queue while it is blocked.
    fillers: Vec<Socket>,
}

enum Owner {
    Entrance(usize),
    Connection(usize),
    /// From the first scheduler to the second, or to all.
    Messages(usize, Option<usize>),
    Log(usize, bool),
}

enum Role {
    Worker {
        worker: usize,
        input: Vec<u8>,
        sent: Option<Millis>,
        head_said: bool,
    },
    Discovery {
        input: Vec<u8>,
        watch: Option<u64>,
    },
    Client {
        open: Option<Open>,
        input: Vec<u8>,
        served: usize,
    },
    Check {
        input: Vec<u8>,
    },
    /// One end of a link between two schedulers: the connection that is the other end.
    Bridge {
        other: usize,
    },
}

/// A try on a connection.
struct Open {
    job: usize,
    id: String,
}

enum Mark {
    Asked(usize, String),
    Told(Vec<usize>),
}

struct Connection {
    stream: TcpStream,
    token: usize,
    serial: u64,
    scheduler: usize,
    far: Node,
    opening: bool,
    opened_at: Millis,
    /// From the scheduler, and to it.
    away: Pipe,
    toward: Pipe,
    output: Vec<u8>,
    pushed: u64,
    written: u64,
    marks: VecDeque<(u64, Mark)>,
    end_output: bool,
    /// The scheduler's side has ended its sending, or is gone.
    input_over: bool,
    /// The network has broken it, and neither side.
    broken: bool,
    role: Role,
}

#[derive(Clone, Debug, PartialEq)]
enum Alarm {
    Flow(usize, u64),
    Datagram(usize, usize, Vec<u8>),
    Fleet,
    Discovery,
    Arrival,
    Try(usize),
    GiveUp(usize, String),
    Checks,
    CheckOver(usize, u64),
    QuietLines,
    FaultBegins(usize),
    FaultEnds(usize),
    ConnectOver(usize, u64),
    StartPatience,
}

struct Due {
    at: u64,
    seq: u64,
    alarm: Alarm,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

struct Scheduler {
    listen: SocketAddr,
    peer: SocketAddr,
    control: SocketAddr,
    /// Where it takes links from other schedulers.
    link: SocketAddr,
    /// Hold the ports while no process does.
    _held: Vec<Socket>,
    process: Option<Process>,
    twin: Option<Process>,
    tokens: [Option<usize>; 2],
    serving: bool,
    /// A file for each process that it may run: the second one has no door of its own for operators.
    config: PathBuf,
    twin_config: PathBuf,
    idle: Vec<usize>,
    /// When one of its processes was killed last.
    killed_at: Millis,
}

struct Tier<'a> {
    scenario: &'a Scenario,
    options: &'a Options,
    poll: Poll,
    began: Instant,
    /// When traffic began, by the rig's clock.
    start: Option<Millis>,
    rng: ChaCha8Rng,
    owners: Slab<Owner>,
    entrances: Vec<Entrance>,
    connections: Slab<Connection>,
    messages: HashMap<(usize, Option<usize>), UdpSocket>,
    schedulers: Vec<Scheduler>,
    fleet: Fleet,
    directory: Directory,
    outage: bool,
    crowd: Crowd,
    front: Front,
    weather: HashMap<(Node, Node), Weather>,
    active: Vec<usize>,
    /// Faults that have begun, with who the owner and the steward were then.
    begun: HashMap<usize, Deed>,
    owner: Option<usize>,
    steward: Option<usize>,
    alarms: BinaryHeap<Reverse<Due>>,
    serial: u64,
    history: Vec<Event>,
    log: Vec<String>,
    crashed: Vec<String>,
    processes: Vec<u32>,
    open_jobs: usize,
    arrivals_over: bool,
    rig_late: usize,
    cpu_at_start: f64,
    link_bytes: u64,
    /// When processes were last asked whether they are covered.
    asked_at: Millis,
    operations: Vec<PathBuf>,
    error: Option<String>,
    /// Files of the run; gone with it.
    folder: tempfile::TempDir,
}

/// Plays a scenario and gives what was seen. An error is one of the rig's own: a tier that did not come up, too few
/// descriptors, a program that is missing. Nothing is left running or lying about in either case.
pub fn run(scenario: &Scenario, options: &Options) -> Result<Outcome, String> {
    descriptors(scenario)?;
    let mut tier = Tier::new(scenario, options)?;
    tier.play()?;
    let cpu = tier.cpu() - tier.cpu_at_start;
    let (doors, figures) = (tier.ask_doors("DUTIES"), tier.ask_doors("INFO"));
    let members = tier.ask_doors("MEMBERS");
    for scheduler in &mut tier.schedulers {
        // Dropped processes are killed and waited for.
        (scheduler.process, scheduler.twin) = (None, None);
    }
    let Tier { history, crashed, processes, log, link_bytes, rig_late, .. } = tier;
    Ok(Outcome { history, crashed, processes, doors, members, figures, log, cpu, link_bytes, rig_late })
}

/// Raises the limit on descriptors as far as it goes, and says so where that is not far enough.
fn descriptors(scenario: &Scenario) -> Result<(), String> {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let (n, w) = (scenario.schedulers as u64, scenario.workers as u64);
    let at_once = (scenario.per_second * scenario.deadline / 1_000.0).ceil() as u64;
    let needed =
        n * (w + 1) + n * n + 8 * n + 2 * n * w * scenario.slots as u64 + at_once + SPARE_DESCRIPTORS;
    let limit = getrlimit(Resource::Nofile);
    let most = limit.maximum.unwrap_or(u64::MAX);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if most < needed {
        return Err(format!(
            "this scenario needs some {needed} descriptors and {most} are allowed: raise `ulimit -n`, or have fewer \
             schedulers, workers or jobs a second"
        ));
    }
    let raised = Rlimit { current: Some(needed), maximum: limit.maximum };
    setrlimit(Resource::Nofile, raised).map_err(|error| format!("raising the limit on descriptors: {error}"))
}

fn bad(what: &'static str) -> impl Fn(io::Error) -> String {
    move |error| format!("{what}: {error}")
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn address_of(socket: &Socket) -> io::Result<SocketAddr> {
    socket.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))
}

/// A port of the system's that is held but not served: a process with SO_REUSEPORT can bind it, nobody else gets it.
fn hold(kind: Type) -> io::Result<(Socket, SocketAddr)> {
    let socket = Socket::new(Domain::IPV4, kind, None)?;
    socket.set_reuse_address(kind == Type::STREAM)?;
    socket.set_reuse_port(true)?;
    socket.bind(&loopback().into())?;
    if kind == Type::DGRAM {
        // Connected to itself: messages of others are for whoever else binds the port.
        socket.connect(&socket.local_addr()?)?;
    }
    let address = address_of(&socket)?;
    Ok((socket, address))
}

impl<'a> Tier<'a> {
    fn new(scenario: &'a Scenario, options: &'a Options) -> Result<Tier<'a>, String> {
        let folder = tempfile::Builder::new()
            .prefix("brackenledge-test-cluster-")
            .tempdir()
            .map_err(bad("a folder for the run"))?;
        let mut tier = Tier {
            poll: Poll::new().map_err(bad("poll"))?,
            began: Instant::now(),
            start: None,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            owners: Slab::new(),
            entrances: Vec::new(),
            connections: Slab::new(),
            messages: HashMap::new(),
            schedulers: Vec::new(),
            fleet: Fleet::new(scenario),
            directory: Directory::new(scenario.workers),
            outage: false,
            crowd: Crowd::new(scenario),
            front: Front::new(scenario),
            weather: HashMap::new(),
            active: Vec::new(),
            begun: HashMap::new(),
            owner: None,
            steward: None,
            alarms: BinaryHeap::new(),
            serial: 0,
            history: Vec::new(),
            log: Vec::new(),
            crashed: Vec::new(),
            processes: Vec::new(),
            open_jobs: 0,
            arrivals_over: false,
            rig_late: 0,
            cpu_at_start: 0.0,
            link_bytes: 0,
            asked_at: 0.0,
            operations: Vec::new(),
            error: None,
            folder,
            scenario,
            options,
        };
        tier.build().map_err(bad("the tier's sockets and files"))?;
        Ok(tier)
    }

    /// All addresses first, since each configuration names those of the others; then the processes.
    #[expect(
        clippy::too_many_lines,
        reason = "split with the test cluster, third part of the work on readable code"
    )]
    fn build(&mut self) -> io::Result<()> {
        let n = self.scenario.schedulers;
        for number in 0..n {
            let (listen, listen_at) = hold(Type::STREAM)?;
            let (control, control_at) = hold(Type::STREAM)?;
            let (peer, peer_at) = hold(Type::DGRAM)?;
            let (link, link_at) = hold(Type::STREAM)?;
            self.schedulers.push(Scheduler {
                listen: listen_at,
                peer: peer_at,
                control: control_at,
                link: link_at,
                _held: vec![listen, control, peer, link],
                process: None,
                twin: None,
                tokens: [None; 2],
                serving: false,
                config: self.folder.path().join(format!("scheduler-{number}.json")),
                twin_config: self.folder.path().join(format!("scheduler-{number}-twin.json")),
                idle: Vec::new(),
                killed_at: f64::NEG_INFINITY,
            });
            for to in (0..n).filter(|&to| to != number).map(Some).chain([None]) {
                let mut socket = UdpSocket::bind(loopback())?;
                let token = self.owners.insert(Owner::Messages(number, to));
                self.poll.registry().register(&mut socket, Token(token), Interest::READABLE)?;
                self.messages.insert((number, to), socket);
            }
            let workers = (0..self.scenario.workers).map(Node::Worker);
            for far in workers.chain([Node::Discovery]) {
                self.open_entrance(number, far)?;
            }
        }
        // Of two schedulers the one with the lower number connects; the other's real port stands in its own file.
        let mut links: Vec<Vec<SocketAddr>> =
            vec![self.schedulers.iter().map(|scheduler| scheduler.link).collect(); n];
        for (number, links) in links.iter_mut().enumerate().filter(|_| self.scenario.handover.is_some()) {
            for (other, link) in links.iter_mut().enumerate().skip(number + 1) {
                *link = self.open_entrance(number, Node::Scheduler(other))?;
            }
        }
        for (number, links) in links.iter().enumerate() {
            let mut text = self.scenario.operations.clone().unwrap_or_default();
            if let Some(more) = &self.scenario.handover {
                let links: Vec<String> = links.iter().map(|link| format!("\"{link}\"")).collect();
                text.push_str(&format!("[handover]\non = true\nlinks = [{}]\n{more}", links.join(", ")));
            }
            if !text.is_empty() {
                let path = self.folder.path().join(format!("operations-{number}.toml"));
                std::fs::write(&path, text)?;
                self.operations.push(path);
            }
        }
        for number in 0..n {
            let config = self.configuration(number)?;
            std::fs::write(&self.schedulers[number].config, config.to_string())?;
            let mut twin = config;
            twin["control"] = json!("127.0.0.1:0");
            std::fs::write(&self.schedulers[number].twin_config, twin.to_string())?;
        }
        Ok(())
    }

    fn open_entrance(&mut self, scheduler: usize, far: Node) -> io::Result<SocketAddr> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.bind(&loopback().into())?;
        socket.listen(BACKLOG)?;
        let address = address_of(&socket)?;
        let mut listener = TcpListener::from_std(socket.into());
        let token = self.owners.insert(Owner::Entrance(self.entrances.len()));
        self.poll.registry().register(&mut listener, Token(token), Interest::READABLE)?;
        let (door, fillers) = (Door::Open, Vec::new());
        self.entrances.push(Entrance { listener, address, scheduler, far, door, fillers });
        Ok(address)
    }

    fn entrance(&self, scheduler: usize, far: Node) -> usize {
        let each = self.scenario.workers + 1;
        match far {
            Node::Worker(number) => scheduler * each + number,
            _ => scheduler * each + each - 1,
        }
    }

    fn configuration(&self, number: usize) -> io::Result<Value> {
        let scenario = self.scenario;
        let mut peers = Vec::new();
        for other in 0..scenario.schedulers {
            peers.push(match self.messages.get(&(number, Some(other))) {
                Some(socket) => socket.local_addr()?.to_string(),
                None => self.schedulers[number].peer.to_string(),
            });
        }
        let classes = CLASSES.map(|(name, effect)| {
            json!({"name": name, "effect": effect, "group": "zone", "window": KEYED_WINDOW, "goal-time": 400.0,
                "hard-limit": 5000.0, "importance": 2.0, "late-value": 0.5, "streamed": false})
        });
        let part = 1.0 / TENANTS.len() as f64;
        let tenants = TENANTS
            .map(|name| json!({"name": name, "fraction": part, "quota-per-s": scenario.per_second * part}));
        let discovery = &self.entrances[self.entrance(number, Node::Discovery)];
        let one = &self.schedulers[number];
        Ok(json!({
            "name": format!("s{number}"), "listen": one.listen.to_string(), "control": one.control.to_string(),
            "discovery": discovery.address.to_string(), "seed": format!("{:016x}", scenario.seed ^ (number as u64 + 1)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": scenario.descriptors.unwrap_or(1024)},
            "peer_listen": one.peer.to_string(), "peers": peers,
            "peers_all": self.messages[&(number, None)].local_addr()?.to_string(),
            "settings": {
                "ordinal": number, "balancers": scenario.schedulers, "zone": scenario.zone_of(number),
                "zones": scenario.zones, "shapes": ["box"], "classes": classes, "tenants": tenants,
                "discovery": "on_request", "report": {"fields": ["x0", "x1", "concurrent"], "source": "answers"},
                "specifics": {"tells-start": true, "class-stretch": [2.0, 2.0, 2.5]},
                "limits": {"max-attempts": 4, "connect-timeout": 150.0, "conn-idle": 15000.0, "retry-after": true,
                    "max-retry-after": 2000.0, "peer-messages": true, "second-copies": true, "cancelling": true},
                "obligations": {"answer-slack": 8.0, "ask-within": 2000.0, "drain-grace": 250.0,
                    "cold-share": scenario.cold_share, "warm-within": scenario.cold, "fall-multiple": 4.0,
                    "overload-for": 3000.0}
            }
        }))
    }

    // Time and notes.

    fn now(&self) -> Millis {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }

    /// Time since traffic began.
    fn at(&self) -> Millis {
        self.now() - self.start.unwrap_or(f64::INFINITY).min(1e15)
    }

    fn note(&mut self, event: Event) {
        self.history.push(event);
    }

    fn alarm(&mut self, at: Millis, alarm: Alarm) {
        self.serial += 1;
        let at = (at.max(0.0) * 1_000.0).ceil() as u64;
        self.alarms.push(Reverse(Due { at, seq: self.serial, alarm }));
    }

    fn weather(&self, from: Node, to: Node) -> Weather {
        self.weather.get(&(from, to)).cloned().unwrap_or_default()
    }

    // The loop.

    fn play(&mut self) -> Result<(), String> {
        for number in 0..self.scenario.schedulers {
            self.start_process(number, false)?;
        }
        let now = self.now();
        self.alarm(now + START_PATIENCE, Alarm::StartPatience);
        self.alarm(now, Alarm::Checks);
        self.alarm(now + QUIET_LINE, Alarm::QuietLines);
        let mut events = Events::with_capacity(1_024);
        loop {
            if self.options.stop.as_ref().is_some_and(|stop| stop.load(Ordering::Relaxed)) {
                return Err("interrupted; its processes have ended".into());
            }
            let due = self.alarms.peek().map_or(50.0, |due| due.0.at as f64 / 1_000.0 - self.now());
            let wait = Duration::from_secs_f64(due.clamp(0.0, 50.0) / 1_000.0);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() != ErrorKind::Interrupted => return Err(format!("poll: {error}")),
                _ => {}
            }
            let turn = Instant::now();
            for event in &events {
                self.on_event(
                    event.token().0,
                    event.is_writable(),
                    event.is_readable() || event.is_read_closed(),
                );
            }
            while let Some(Reverse(due)) = self.alarms.peek()
                && due.at as f64 / 1_000.0 <= self.now()
            {
                let Some(Reverse(due)) = self.alarms.pop() else { break };
                self.on_alarm(due.alarm);
            }
            if turn.elapsed().as_secs_f64() * 1_000.0 > RIG_LATE {
                self.rig_late += 1;
            }
            if let Some(error) = self.error.take() {
                return Err(error);
            }
            if self.start.is_none() && self.front.all_up() && self.covered() {
                self.begin();
            }
            if self.arrivals_over && self.open_jobs == 0 && self.active.is_empty() {
                return Ok(());
            }
        }
    }

    fn cpu(&self) -> f64 {
        let processes = self.schedulers.iter().flat_map(|one| [&one.process, &one.twin]).flatten();
        processes.filter_map(Process::cpu).sum()
    }

    /// Whether all keep one another's jobs, where they are to: a tier takes some seconds to agree on its members.
    fn covered(&mut self) -> bool {
        if self.scenario.handover.is_none() || self.now() < self.asked_at + CHECK_EVERY {
            return self.scenario.handover.is_none();
        }
        self.asked_at = self.now();
        let said = self.ask_doors("INFO");
        said.len() == self.scenario.schedulers
            && said.iter().all(|(_, said)| said.contains("handover.settled=1"))
    }

    /// The tier is up: traffic and the faults' clock begin.
    fn begin(&mut self) {
        let now = self.now();
        self.start = Some(now);
        self.cpu_at_start = self.cpu();
        // The start's own troubles are not the run's.
        self.history.clear();
        self.alarm(now, Alarm::Arrival);
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            self.alarm(now + fault.at, Alarm::FaultBegins(number));
            if let Some(until) = fault.until {
                self.alarm(now + until, Alarm::FaultEnds(number));
            }
        }
    }

    fn on_event(&mut self, token: usize, writable: bool, readable: bool) {
        match self.owners.get(token) {
            Some(&Owner::Entrance(at)) => self.accept(at),
            Some(&Owner::Connection(at)) => {
                if writable {
                    self.write(at);
                }
                if readable {
                    self.read(at);
                }
            }
            Some(&Owner::Messages(from, to)) => self.relay(from, to),
            Some(&Owner::Log(scheduler, twin)) => self.read_log(scheduler, twin),
            None => {}
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "split with the test cluster, third part of the work on readable code"
    )]
    fn on_alarm(&mut self, alarm: Alarm) {
        let now = self.now();
        match alarm {
            Alarm::Flow(at, serial) => {
                if self.connections.get(at).is_some_and(|c| c.serial == serial) {
                    self.flow(at);
                }
            }
            Alarm::Datagram(from, to, bytes) => {
                self.watch_duties(from, Some(to), &bytes);
                // From the socket that the receiver knows as the sender.
                let receiver = self.schedulers[to].peer;
                if let Some(socket) = self.messages.get(&(to, Some(from))) {
                    let _ = socket.send_to(&bytes, receiver);
                }
            }
            Alarm::Fleet => {
                let at = self.at();
                self.fleet.advance(at, &mut self.rng);
                self.after_fleet();
            }
            Alarm::Discovery => {
                if self.directory.advance(now) {
                    self.tell_watches(false);
                }
            }
            Alarm::QuietLines => {
                self.tell_watches(true);
                self.alarm(now + QUIET_LINE, Alarm::QuietLines);
            }
            Alarm::Arrival => {
                if self.at() >= self.scenario.length {
                    self.arrivals_over = true;
                    return;
                }
                let at = self.at();
                let job = self.crowd.arrive(at, &mut self.rng);
                self.open_jobs += 1;
                let Job { class, zone } = Job::of(&self.crowd, job);
                self.note(Event::Born { at, job, class, zone });
                self.attempt(job);
                let pause = self.crowd.pause(&mut self.rng);
                self.alarm(now + pause, Alarm::Arrival);
            }
            Alarm::Try(job) => self.attempt(job),
            Alarm::GiveUp(job, id) => self.give_up(job, &id),
            Alarm::Checks => {
                (0..self.scenario.schedulers).for_each(|number| self.check(number));
                self.alarm(now + CHECK_EVERY, Alarm::Checks);
            }
            Alarm::CheckOver(at, serial) | Alarm::ConnectOver(at, serial) => {
                let Some(connection) = self.connections.get(at).filter(|c| c.serial == serial) else {
                    return;
                };
                match (&connection.role, connection.opening) {
                    (Role::Check { .. }, _) => self.checked(at, None),
                    (Role::Client { .. }, true) => self.client_ended(at, false),
                    _ => {}
                }
            }
            Alarm::FaultBegins(number) => self.fault(number, true),
            Alarm::FaultEnds(number) => self.fault(number, false),
            Alarm::StartPatience => {
                if self.start.is_none() {
                    let late: Vec<String> = (0..self.scenario.schedulers)
                        .filter(|&n| !self.schedulers[n].serving)
                        .map(|n| n.to_string())
                        .collect();
                    self.error = Some(format!(
                        "the tier is not up after {START_PATIENCE} ms; schedulers that never said that they serve: {}",
                        late.join(", ")
                    ));
                }
            }
        }
    }

    /// Asks each process that runs a question; a process answers it in one turn of its loop.
    fn ask_doors(&self, question: &str) -> Vec<(usize, String)> {
        let running = self.schedulers.iter().enumerate().filter(|(_, one)| one.process.is_some());
        let ask = |one: &Scheduler| -> io::Result<String> {
            let mut door = std::net::TcpStream::connect_timeout(&one.control, DOOR_PATIENCE)?;
            door.set_read_timeout(Some(DOOR_PATIENCE))?;
            door.write_all(format!("{question}\n").as_bytes())?;
            let mut reply = String::new();
            door.read_to_string(&mut reply)?;
            Ok(reply)
        };
        running.filter_map(|(number, one)| Some((number, ask(one).ok()?))).collect()
    }

    // Processes.

    fn start_process(&mut self, number: usize, twin: bool) -> Result<(), String> {
        let one = &self.schedulers[number];
        let config = if twin { &one.twin_config } else { &one.config };
        let mut process = Process::start(
            &self.options.program,
            config,
            self.operations.get(number).map(PathBuf::as_path),
            self.scenario.descriptors,
        )?;
        self.processes.push(process.id());
        let token = self.owners.insert(Owner::Log(number, twin));
        let registry = self.poll.registry();
        registry.register(process.log(), Token(token), Interest::READABLE).map_err(bad("the log's pipe"))?;
        let one = &mut self.schedulers[number];
        one.tokens[usize::from(twin)] = Some(token);
        if twin {
            one.twin = Some(process)
        } else {
            (one.process, one.serving) = (Some(process), false)
        }
        Ok(())
    }

    fn read_log(&mut self, number: usize, twin: bool) {
        let one = &mut self.schedulers[number];
        let process = if twin { &mut one.twin } else { &mut one.process };
        let Some(process) = process else { return };
        let (lines, ended) = process.read_log();
        let at = self.start.map_or(-1.0, |start| self.began.elapsed().as_secs_f64() * 1_000.0 - start);
        let who = if twin { "its twin" } else { "" };
        self.log.extend(
            lines.iter().map(|line| format!("{at:.0} scheduler {number} {who}: {}", line.trim_end())),
        );
        if !twin && lines.iter().any(|line| line.contains("listen: ")) && !one.serving {
            one.serving = true;
            if self.start.is_some() {
                let at = self.at();
                self.note(Event::Process { at, scheduler: number, turn: Turn::Up });
            }
        }
        if ended {
            self.end_process(number, twin);
        }
    }

    /// A process has ended, or is to be killed now.
    fn end_process(&mut self, number: usize, twin: bool) {
        let one = &mut self.schedulers[number];
        let Some(mut process) = (if twin { one.twin.take() } else { one.process.take() }) else { return };
        if let Some(token) = one.tokens[usize::from(twin)].take() {
            let _ = self.poll.registry().deregister(process.log());
            self.owners.try_remove(token);
        }
        if process.told_to_end {
            return;
        }
        let last_words = process.last_words();
        process.kill();
        let status = process.ended().map_or("it could not be waited for".into(), |status| status.to_string());
        let what = format!("scheduler {number} ended by itself, {status}: {last_words}");
        if self.start.is_none() {
            self.error = Some(format!("before it was ready, {what}"));
            return;
        }
        self.crashed.push(what);
        let at = self.at();
        self.note(Event::Process { at, scheduler: number, turn: Turn::Killed });
    }

    fn kill_process(&mut self, number: usize, twin: bool) {
        let at = self.at();
        let one = &mut self.schedulers[number];
        let process = if twin { &mut one.twin } else { &mut one.process };
        if let Some(process) = process {
            process.kill();
            one.killed_at = at;
            self.note(Event::Process { at, scheduler: number, turn: Turn::Killed });
            if twin {
                self.note(Event::Process { at: at + 1.0, scheduler: number, turn: Turn::Up });
            }
        }
        self.end_process(number, twin);
    }

    // Faults.

    #[expect(
        clippy::too_many_lines,
        reason = "split with the test cluster, third part of the work on readable code"
    )]
    fn fault(&mut self, number: usize, begins: bool) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number];
        let lasts = fault.until.is_some();
        if begins {
            self.begun.insert(number, fault.deed.resolved(self.owner, self.steward));
        }
        let Some(deed) = self.begun.get(&number).cloned() else { return };
        if begins && lasts {
            self.active.push(number);
        } else if !begins {
            self.active.retain(|&active| active != number);
        }
        let (now, at) = (self.now(), self.at());
        match &deed {
            Deed::Link(..) => {
                if begins && !lasts {
                    self.active.push(number);
                }
                self.renew_weather();
                if !lasts {
                    self.active.retain(|&active| active != number);
                }
                if let (true, Deed::Link(links, _)) = (begins, &deed) {
                    self.unheard(links, fault.until.unwrap_or(f64::INFINITY));
                }
            }
            Deed::Kill(who) | Deed::Term(who) | Deed::Stop(who) | Deed::Twin(who) => {
                for &node in who {
                    self.done_to(&deed, node, begins);
                }
            }
            Deed::Reset(links) | Deed::HalfClose(links) if begins => {
                self.unheard(links, at + 500.0);
                let reset = matches!(deed, Deed::Reset(_));
                let hit: Vec<(usize, bool)> = (self.connections.iter())
                    .filter_map(|(key, c)| {
                        let near = Node::Scheduler(c.scheduler);
                        let away = links.contains(&(near, c.far));
                        (away || links.contains(&(c.far, near))).then_some((key, away))
                    })
                    .collect();
                for (key, away) in hit {
                    self.break_connection(key, away, reset);
                }
            }
            Deed::Outage => {
                self.outage = begins;
                self.set_doors();
                if begins {
                    let calls: Vec<usize> = self
                        .connections
                        .iter()
                        .filter(|(_, c)| c.far == Node::Discovery)
                        .map(|c| c.0)
                        .collect();
                    calls.into_iter().for_each(|key| self.reset(key));
                }
            }
            Deed::Lag(lag) => self.directory.lag = if begins { *lag } else { 0.0 },
            Deed::Stale => {
                self.directory.set_stale(begins);
                if !begins {
                    self.tell_watches(false);
                }
            }
            Deed::Drain(who) => {
                for &node in who {
                    let Node::Worker(worker) = node else { continue };
                    self.fleet.set_draining(worker, begins);
                    self.directory.change(
                        now,
                        worker,
                        if begins { Status::Draining } else { Status::Ready },
                        None,
                    );
                    if !begins {
                        self.note(Event::Ready { at, worker });
                    }
                }
                self.alarm_discovery();
            }
            Deed::Restart(who) if begins => {
                for &node in who {
                    let Node::Worker(worker) = node else { continue };
                    self.restart_worker(worker);
                }
            }
            Deed::Slow(who, times) => {
                for &node in who {
                    let Node::Worker(worker) = node else { continue };
                    self.fleet.set_slow(worker, if begins { *times } else { 1.0 });
                }
            }
            Deed::Failing(who, part) => {
                for &node in who {
                    let Node::Worker(worker) = node else { continue };
                    self.fleet.set_failing(worker, if begins { *part } else { 0.0 });
                }
            }
            Deed::Clock(step) => self.directory.clock_step = if begins { *step } else { 0.0 },
            Deed::Burst(times) => self.crowd.times = if begins { *times } else { 1.0 },
            Deed::Reset(_) | Deed::HalfClose(_) | Deed::Restart(_) => {}
        }
    }

    fn done_to(&mut self, deed: &Deed, node: Node, begins: bool) {
        let at = self.at();
        let number = match node {
            Node::Scheduler(number) => number,
            Node::Worker(worker) => {
                // The deed can only be a kill.
                if begins {
                    self.kill_worker(worker)
                } else {
                    self.restart_worker(worker)
                }
                return;
            }
            _ => return,
        };
        let turn = |scheduler, turn| Event::Process { at, scheduler, turn };
        match (deed, begins) {
            (Deed::Kill(_), true) => self.kill_process(number, false),
            (Deed::Term(_), true) => {
                self.note(turn(number, Turn::Terminated));
                if let Some(process) = &mut self.schedulers[number].process {
                    process.told_to_end = true;
                    process.signal(Signal::TERM);
                }
            }
            (Deed::Kill(_) | Deed::Term(_), false) => {
                // One that still goes on after SIGTERM meets SIGKILL, as on a planned restart.
                if self.schedulers[number].process.is_some() {
                    self.kill_process(number, false);
                }
                if let Err(error) = self.start_process(number, false) {
                    self.error = Some(error);
                }
            }
            (Deed::Stop(_), true) => {
                self.note(turn(number, Turn::Stopped));
                self.signal(number, Signal::STOP);
            }
            (Deed::Stop(_), false) => {
                self.signal(number, Signal::CONT);
                // It has to catch up on what came meanwhile.
                let at = at + crate::checker::LATE;
                self.note(Event::Process { at, scheduler: number, turn: Turn::Continued });
            }
            (Deed::Twin(_), true) => {
                if let Err(error) = self.start_process(number, true) {
                    self.error = Some(error);
                }
            }
            (Deed::Twin(_), false) => self.kill_process(number, true),
            _ => {}
        }
    }

    fn signal(&mut self, number: usize, signal: Signal) {
        if let Some(process) = &mut self.schedulers[number].process {
            process.signal(signal);
        }
    }

    /// What clients of these links can't hear is not held against the scheduler.
    fn unheard(&mut self, links: &[(Node, Node)], until: Millis) {
        let at = self.at();
        let mut hit: Vec<usize> = (links.iter())
            .filter_map(|link| match *link {
                (Node::Clients(_), Node::Scheduler(number)) | (Node::Scheduler(number), Node::Clients(_)) => {
                    Some(number)
                }
                _ => None,
            })
            .collect();
        hit.sort_unstable();
        hit.dedup();
        for scheduler in hit {
            self.note(Event::Unheard { at, until: until + crate::checker::LATE, scheduler });
        }
    }

    fn renew_weather(&mut self) {
        self.weather.clear();
        for number in &self.active {
            let Some(Deed::Link(links, weather)) = self.begun.get(number) else { continue };
            for link in links {
                let both = self.weather.get(link).map_or_else(|| weather.clone(), |was| was.with(weather));
                self.weather.insert(*link, both);
            }
        }
        self.set_doors();
        let keys: Vec<usize> = self.connections.iter().map(|connection| connection.0).collect();
        keys.into_iter().for_each(|key| self.flow(key));
    }

    fn set_doors(&mut self) {
        for at in 0..self.entrances.len() {
            let Entrance { scheduler, far, door, .. } = self.entrances[at];
            let near = Node::Scheduler(scheduler);
            let silent = self.weather(near, far).silent || self.weather(far, near).silent;
            let dead = match far {
                Node::Worker(worker) => !self.fleet.alive(worker),
                Node::Scheduler(_) => false,
                _ => self.outage,
            };
            let wanted = match (silent, dead) {
                (true, _) => Door::Blocked,
                (_, true) => Door::Shut,
                _ => Door::Open,
            };
            if wanted != door
                && let Err(error) = self.set_door(at, wanted)
            {
                self.error = Some(format!("a listener: {error}"));
            }
        }
    }

    fn set_door(&mut self, at: usize, wanted: Door) -> io::Result<()> {
        // What has connected by now has come up before the change.
        if self.entrances[at].door == Door::Open {
            self.accept(at);
        }
        let entrance = &mut self.entrances[at];
        let socket = SockRef::from(&entrance.listener);
        if entrance.door == Door::Shut {
            socket.listen(BACKLOG)?;
        }
        if entrance.door == Door::Blocked {
            socket.listen(BACKLOG)?;
            let own: Vec<Option<SocketAddr>> =
                entrance.fillers.drain(..).map(|filler| address_of(&filler).ok()).collect();
            entrance.door = Door::Open;
            while let Ok((stream, from)) = self.entrances[at].listener.accept() {
                if !own.contains(&Some(from)) {
                    self.welcome(at, stream);
                }
            }
        }
        let entrance = &mut self.entrances[at];
        let socket = SockRef::from(&entrance.listener);
        match wanted {
            Door::Open => {}
            // The port stays bound, and the system refuses who comes.
            Door::Shut => socket.shutdown(Shutdown::Read)?,
            Door::Blocked => {
                // A full queue: the system drops who comes, as a network that is cut does.
                socket.listen(0)?;
                for _ in 0..2 {
                    let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                    filler.set_nonblocking(true)?;
                    let _ = filler.connect(&entrance.address.into());
                    entrance.fillers.push(filler);
                }
            }
        }
        entrance.door = wanted;
        Ok(())
    }

    fn kill_worker(&mut self, worker: usize) {
        self.fleet.kill(worker);
        self.set_doors();
        let own: Vec<usize> =
            self.connections.iter().filter(|(_, c)| c.far == Node::Worker(worker)).map(|c| c.0).collect();
        own.into_iter().for_each(|key| self.reset(key));
        let now = self.now();
        self.directory.change(now, worker, Status::Gone, None);
        self.alarm_discovery();
    }

    fn restart_worker(&mut self, worker: usize) {
        if self.fleet.alive(worker) {
            let own: Vec<usize> =
                self.connections.iter().filter(|(_, c)| c.far == Node::Worker(worker)).map(|c| c.0).collect();
            own.into_iter().for_each(|key| self.reset(key));
        }
        let (now, at) = (self.now(), self.at());
        self.fleet.start(at, worker);
        self.set_doors();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64() * 1_000.0);
        self.directory.change(now, worker, Status::Ready, Some(unix.floor()));
        self.alarm_discovery();
        self.after_fleet();
    }

    fn alarm_discovery(&mut self) {
        if let Some(next) = self.directory.next() {
            self.alarm(next, Alarm::Discovery);
        }
    }

    // Messages between schedulers.

    fn relay(&mut self, from: usize, to: Option<usize>) {
        let mut buffer = [0; 2_048];
        loop {
            let Some(socket) = self.messages.get(&(from, to)) else { return };
            let (length, sender) = match socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) =>
                {
                    continue;
                }
                Err(_) => return,
            };
            if sender != self.schedulers[from].peer {
                continue;
            }
            let (now, at) = (self.now(), self.at());
            let receivers: Vec<usize> = match to {
                Some(to) => vec![to],
                None => (0..self.scenario.schedulers).filter(|&other| other != from).collect(),
            };
            self.watch_duties(from, None, &buffer[..length]);
            for to in receivers {
                self.note(Event::Message { at, scheduler: from, bytes: length });
                let weather = self.weather(Node::Scheduler(from), Node::Scheduler(to));
                for due in weather.arrivals(now, &mut self.rng) {
                    let alarm = Alarm::Datagram(from, to, buffer[..length].to_vec());
                    if due <= now { self.on_alarm(alarm) } else { self.alarm(due, alarm) }
                }
            }
        }
    }

    /// Notes what a message on its way says of owners: as it leaves its sender, and as it reaches a receiver.
    fn watch_duties(&mut self, from: usize, to: Option<usize>, bytes: &[u8]) {
        let at = self.at();
        let Some((&kind, bytes)) = bytes.split_first() else { return };
        let flat = |term: brackenledge_leases::Term| {
            [
                term.epoch.era,
                term.epoch.number,
                term.ballot.counter,
                u32::from(term.ballot.proposer),
                term.step,
            ]
        };
        if kind == DEED
            && let Ok((token, _)) = brackenledge_leases::FencingToken::decode_message(bytes)
        {
            let (duty, term) = (token.role, flat(token.term));
            self.note(Event::Duty { at, duty, term, owner: from, deed: true, reached: to });
        } else if kind == OWNERSHIP
            && let Ok(Message::ViewUpdate { from: who, leader, role_grants, .. }) = Message::decode(bytes)
            && leader == Some(who)
        {
            self.steward = Some(from);
            for grant in role_grants {
                let (duty, term, owner) = (grant.role, flat(grant.term), usize::from(grant.holder.ordinal));
                if duty == 0 {
                    self.owner = Some(owner);
                }
                self.note(Event::Duty { at, duty, term, owner, deed: false, reached: to });
            }
        }
    }

    // Connections.

    fn accept(&mut self, at: usize) {
        if self.entrances[at].door != Door::Open {
            return;
        }
        while let Ok((stream, _)) = self.entrances[at].listener.accept() {
            self.welcome(at, stream);
        }
    }

    fn welcome(&mut self, at: usize, stream: TcpStream) {
        let Entrance { scheduler, far, .. } = self.entrances[at];
        if let Node::Scheduler(other) = far {
            return self.bridge(stream, scheduler, other);
        }
        let role = match far {
            Node::Worker(worker) => Role::Worker { worker, input: Vec::new(), sent: None, head_said: false },
            _ => Role::Discovery { input: Vec::new(), watch: None },
        };
        self.add(stream, scheduler, far, role, false);
    }

    /// A link between two schedulers: what each sends comes out at the other, after its own way.
    fn bridge(&mut self, stream: TcpStream, from: usize, to: usize) {
        // Where nobody listens, the one who called sees its connection end.
        let Ok(far) = TcpStream::connect(self.schedulers[to].link) else { return };
        let role = Role::Bridge { other: usize::MAX };
        let Some(near_key) = self.add(stream, from, Node::Scheduler(to), role, false) else { return };
        let role = Role::Bridge { other: near_key };
        let Some(far_key) = self.add(far, to, Node::Scheduler(from), role, true) else {
            self.remove(near_key);
            return;
        };
        if let Some(Connection { role: Role::Bridge { other }, .. }) = self.connections.get_mut(near_key) {
            *other = far_key;
        }
    }

    fn add(
        &mut self,
        stream: TcpStream,
        scheduler: usize,
        far: Node,
        role: Role,
        opening: bool,
    ) -> Option<usize> {
        let _ = stream.set_nodelay(true);
        self.serial += 1;
        let key = self.connections.vacant_key();
        let token = self.owners.insert(Owner::Connection(key));
        let mut connection = Connection {
            stream,
            token,
            serial: self.serial,
            scheduler,
            far,
            opening,
            opened_at: self.at(),
            away: Pipe::default(),
            toward: Pipe::default(),
            output: Vec::new(),
            pushed: 0,
            written: 0,
            marks: VecDeque::new(),
            end_output: false,
            input_over: false,
            broken: false,
            role,
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = self.poll.registry().register(&mut connection.stream, Token(token), interest) {
            self.error = Some(format!("watching a connection: {error}"));
            self.owners.remove(token);
            return None;
        }
        Some(self.connections.insert(connection))
    }

    fn remove(&mut self, key: usize) -> Option<Connection> {
        let mut connection = self.connections.try_remove(key)?;
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.owners.try_remove(connection.token);
        self.schedulers[connection.scheduler].idle.retain(|&idle| idle != key);
        Some(connection)
    }

    /// Ends a connection as a machine does that is no more, and tells the stand-in.
    fn reset(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let serial = connection.serial;
        connection.broken = true;
        let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
        self.stand_in_ended(key);
        // Its place may be another's by now: a client that asks again at once.
        if self.connections.get(key).is_some_and(|connection| connection.serial == serial) {
            self.remove(key);
        }
    }

    /// The network breaks a connection: both sides see a reset, or one direction just ends.
    fn break_connection(&mut self, key: usize, away: bool, reset: bool) {
        if reset {
            self.reset(key);
        } else if away {
            self.push_away(key, Parcel::End);
        } else if let Some(connection) = self.connections.get_mut(key) {
            connection.end_output = true;
            self.write(key);
        }
    }

    /// What the scheduler sent goes on its way.
    fn push_away(&mut self, key: usize, parcel: Parcel) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let link = (Node::Scheduler(connection.scheduler), connection.far);
        let weather = self.weather.get(&link).cloned().unwrap_or_default();
        connection.away.push(now, parcel, &weather, &mut self.rng);
    }

    /// What a stand-in says goes on its way, with what is to be noted once it is written.
    fn say(&mut self, key: usize, bytes: Vec<u8>, mark: Option<Mark>) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let link = (connection.far, Node::Scheduler(connection.scheduler));
        let weather = self.weather.get(&link).cloned().unwrap_or_default();
        connection.pushed += bytes.len() as u64;
        connection.marks.extend(mark.map(|mark| (connection.pushed, mark)));
        connection.toward.push(now, Parcel::Bytes(bytes), &weather, &mut self.rng);
        self.flow(key);
    }

    /// Moves on what has arrived, in both directions.
    fn flow(&mut self, key: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get(key) else { return };
        let (near, far, serial) = (Node::Scheduler(connection.scheduler), connection.far, connection.serial);
        let (out, back) = (self.weather(near, far), self.weather(far, near));
        let mut wrote = false;
        while let Some(connection) = self.connections.get_mut(key)
            && let Some(parcel) = connection.toward.take(now, &back)
        {
            wrote = true;
            match parcel {
                Parcel::Bytes(bytes) => connection.output.extend(bytes),
                Parcel::End => connection.end_output = true,
                Parcel::Reset => return self.reset(key),
            }
        }
        if wrote {
            self.write(key);
        }
        while let Some(connection) = self.connections.get_mut(key).filter(|c| c.serial == serial)
            && let Some(parcel) = connection.away.take(now, &out)
        {
            match parcel {
                Parcel::Bytes(bytes) => self.stand_in_reads(key, &bytes),
                Parcel::End => self.stand_in_ended(key),
                Parcel::Reset => return self.reset(key),
            }
        }
        let Some(connection) = self.connections.get(key).filter(|c| c.serial == serial) else { return };
        let next = [connection.toward.next(&back), connection.away.next(&out)];
        if let Some(next) = next.into_iter().flatten().min_by(f64::total_cmp) {
            self.alarm(next, Alarm::Flow(key, serial));
        }
    }

    fn write(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.opening {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => connection.opening = false,
                Ok(None) => return,
                _ => return self.stand_in_ended(key),
            }
        }
        while !connection.output.is_empty() {
            match connection.stream.write(&connection.output) {
                Ok(count) => {
                    connection.output.drain(..count);
                    connection.written += count as u64;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Reading tells what the matter is.
                Err(_) => break,
            }
        }
        let mut marks = Vec::new();
        while connection.marks.front().is_some_and(|mark| mark.0 <= connection.written) {
            marks.extend(connection.marks.pop_front().map(|mark| mark.1));
        }
        let (scheduler, connected) = (connection.scheduler, connection.opened_at);
        if connection.end_output && connection.output.is_empty() {
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
        let at = self.at();
        for mark in marks {
            match mark {
                Mark::Asked(job, id) => {
                    let deadline = self.crowd.jobs[job].deadline;
                    self.note(Event::Asked { at, connected, job, id, scheduler, deadline });
                }
                Mark::Told(workers) => {
                    for worker in workers {
                        self.note(Event::Told { at, scheduler, worker });
                    }
                }
            }
        }
    }

    fn read(&mut self, key: usize) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let at = self.at();
            let Some(connection) = self.connections.get_mut(key) else { return };
            if connection.input_over || connection.opening {
                return;
            }
            match connection.stream.read(&mut buffer) {
                Ok(0) => {
                    connection.input_over = true;
                    self.push_away(key, Parcel::End);
                    break;
                }
                Ok(count) => {
                    if let Role::Worker { sent, .. } = &mut connection.role {
                        sent.get_or_insert(at);
                    }
                    self.push_away(key, Parcel::Bytes(buffer[..count].to_vec()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    connection.input_over = true;
                    self.push_away(key, Parcel::End);
                    break;
                }
            }
        }
        self.flow(key);
    }

    // The stand-ins' side of connections.

    fn stand_in_reads(&mut self, key: usize, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if let Role::Bridge { other } = connection.role {
            self.link_bytes += bytes.len() as u64;
            if let Some(other) = self.connections.get_mut(other) {
                other.output.extend_from_slice(bytes);
            }
            return self.write(other);
        }
        match &mut connection.role {
            Role::Bridge { .. } => {}
            Role::Worker { input, .. } | Role::Discovery { input, .. } => input.extend_from_slice(bytes),
            Role::Client { input, .. } | Role::Check { input } => input.extend_from_slice(bytes),
        }
        match connection.role {
            Role::Worker { .. } => self.worker_reads(key),
            Role::Discovery { .. } => self.discovery_reads(key),
            Role::Client { .. } => self.client_reads(key),
            Role::Check { .. } => self.check_reads(key),
            Role::Bridge { .. } => {}
        }
    }

    /// The scheduler's side has ended its sending, or the connection is gone.
    fn stand_in_ended(&mut self, key: usize) {
        let at = self.at();
        let Some(connection) = self.connections.get(key) else { return };
        match connection.role {
            Role::Worker { worker, .. } => {
                self.fleet.gone(at, worker, key, &mut self.rng);
                self.remove(key);
                self.after_fleet();
            }
            Role::Discovery { .. } => drop(self.remove(key)),
            Role::Client { .. } => self.client_ended(key, true),
            Role::Check { .. } => self.checked(key, None),
            Role::Bridge { other } => {
                self.remove(key);
                if let Some(other) = self.connections.get(other) {
                    let _ = SockRef::from(&other.stream).set_linger(Some(Duration::ZERO));
                }
                self.remove(other);
            }
        }
    }

    fn worker_reads(&mut self, key: usize) {
        let at = self.at();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (scheduler, Role::Worker { worker, input, sent, head_said }) =
            (connection.scheduler, &mut connection.role)
        else {
            return;
        };
        let Some(request) = take_request(input) else { return };
        let (worker, first) = (*worker, sent.take().unwrap_or(at));
        *head_said = false;
        if request.target.starts_with("/alive") || request.target.starts_with("/metrics") {
            return self.say(key, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_vec(), None);
        }
        let (Some(id), key_of_job) = (request.header("x-trace-id"), request.header("idempotency-key")) else {
            return self.say(key, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_vec(), None);
        };
        let job = key_of_job.as_deref().and_then(|key| key.strip_prefix("job-")?.parse::<usize>().ok());
        let job = job.filter(|&job| job < self.crowd.jobs.len());
        let Some(job) = job else {
            self.error = Some(format!("scheduler {scheduler} sent {id}, which no client asked for"));
            return;
        };
        let Job { class, .. } = Job::of(&self.crowd, job);
        let work = self.crowd.jobs[job].work;
        self.note(Event::Reached { at, sent: first, id: id.clone(), scheduler, worker, work });
        let attempt = Attempt { connection: key, id, key: key_of_job, keyed: class == 2, work };
        self.fleet.arrive(at, worker, attempt, &mut self.rng);
        self.after_fleet();
    }

    /// Carries out what workers said, and waits for what they do next.
    fn after_fleet(&mut self) {
        let (said, events) = self.fleet.drain();
        self.history.extend(events);
        for (key, said) in said {
            let Some(Connection { role: Role::Worker { head_said, .. }, .. }) = self.connections.get_mut(key)
            else {
                continue;
            };
            let mut bytes = Vec::new();
            if matches!(said, Said::Line(_) | Said::Last(_)) && !std::mem::replace(head_said, true) {
                bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            match said {
                Said::Line(line) => bytes.extend(chunk(&line)),
                Said::Last(line) => {
                    bytes.extend(chunk(&line));
                    bytes.extend_from_slice(b"0\r\n\r\n");
                }
                Said::Returned => bytes.extend_from_slice(
                    b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
                ),
                Said::Failed if *head_said => {
                    bytes.extend(chunk(&json!({"state": "failed"})));
                    bytes.extend_from_slice(b"0\r\n\r\n");
                }
                Said::Failed => bytes
                    .extend_from_slice(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
                Said::Reset => {
                    self.reset(key);
                    continue;
                }
            }
            self.say(key, bytes, None);
        }
        if let (Some(next), Some(start)) = (self.fleet.next(), self.start) {
            self.alarm(start + next, Alarm::Fleet);
        }
    }

    fn discovery_reads(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (scheduler, Role::Discovery { input, .. }) = (connection.scheduler, &mut connection.role) else {
            return;
        };
        let Some(request) = take_request(input) else { return };
        let query = request.target.split_once('?').map_or("", |parts| parts.1);
        let of = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let follow = of("follow") == Some("1");
        let since = of("since").and_then(|index| index.parse().ok()).unwrap_or(0);
        let (list, closed) = self.list(scheduler, if follow { since } else { 0 });
        let index = self.directory.index();
        if follow {
            if let Some(Connection { role: Role::Discovery { watch, .. }, .. }) =
                self.connections.get_mut(key)
            {
                *watch = Some(index);
            }
            let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            bytes.extend(chunk(&list));
            self.say(key, bytes, Some(Mark::Told(closed)));
        } else {
            let body = list.to_string();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            self.say(key, text.into_bytes(), Some(Mark::Told(closed)));
        }
    }

    fn list(&self, scheduler: usize, since: u64) -> (Value, Vec<usize>) {
        let first = self.entrance(scheduler, Node::Worker(0));
        let address = |worker: usize| self.entrances[first + worker].address.to_string();
        let zone = |worker: usize| self.scenario.zones[self.scenario.zone_of(worker)].clone();
        self.directory.since(since, address, zone)
    }

    /// Sends each watch what is new to it, or an empty line.
    fn tell_watches(&mut self, quiet: bool) {
        let index = self.directory.index();
        let watches: Vec<(usize, usize, u64)> = (self.connections.iter())
            .filter_map(|(key, c)| match c.role {
                Role::Discovery { watch: Some(seen), .. } => Some((key, c.scheduler, seen)),
                _ => None,
            })
            .collect();
        for (key, scheduler, seen) in watches {
            if quiet {
                self.say(key, b"1\r\n\n\r\n".to_vec(), None);
            } else if seen != index {
                let (list, closed) = self.list(scheduler, seen);
                if let Some(Connection { role: Role::Discovery { watch, .. }, .. }) =
                    self.connections.get_mut(key)
                {
                    *watch = Some(index);
                }
                self.say(key, chunk(&list), Some(Mark::Told(closed)));
            }
        }
    }

    // Clients.

    /// A client tries: on a connection that waits for nothing, or a new one.
    fn attempt(&mut self, job: usize) {
        let (now, at) = (self.now(), self.at());
        let Job { zone, .. } = Job::of(&self.crowd, job);
        if self.crowd.jobs[job].settled {
            return;
        }
        if at >= self.crowd.jobs[job].deadline {
            return self.settle(job, false);
        }
        let Some(scheduler) = self.front.choose(zone) else {
            // Nobody is up: as a connection that is refused, and so tried again soon.
            return self.alarm(now + CHECK_EVERY, Alarm::Try(job));
        };
        self.crowd.jobs[job].tries += 1;
        let id = format!("job{job}try{}", self.crowd.jobs[job].tries);
        self.ask(job, id, scheduler, true);
    }

    fn ask(&mut self, job: usize, id: String, scheduler: usize, kept: bool) {
        let now = self.now();
        let far = Node::Clients(self.scenario.zone_of(scheduler));
        let key = match self.schedulers[scheduler].idle.pop().filter(|_| kept) {
            Some(key) => key,
            None => {
                let near = Node::Scheduler(scheduler);
                if self.weather(far, near).silent || self.weather(near, far).silent {
                    // It never comes up; its client gives up on it and goes elsewhere.
                    return self.alarm(now + CONNECT_PATIENCE, Alarm::Try(job));
                }
                let Ok(stream) = TcpStream::connect(self.schedulers[scheduler].listen) else {
                    return self.not_connected(job);
                };
                let role = Role::Client { open: None, input: Vec::new(), served: 0 };
                let Some(key) = self.add(stream, scheduler, far, role, true) else { return };
                let serial = self.connections[key].serial;
                self.alarm(now + CONNECT_PATIENCE, Alarm::ConnectOver(key, serial));
                key
            }
        };
        let at = self.at();
        let request = self.crowd.jobs[job].request(&id, &format!("job-{job}"), at, self.scenario.body);
        let over = self.start.unwrap_or(0.0) + self.crowd.jobs[job].deadline + TAIL;
        self.alarm(over, Alarm::GiveUp(job, id.clone()));
        if let Some(Connection { role: Role::Client { open, .. }, .. }) = self.connections.get_mut(key) {
            *open = Some(Open { job, id: id.clone() });
        }
        self.say(key, request, Some(Mark::Asked(job, id)));
    }

    /// A connection was refused: nothing was asked, and the client goes elsewhere at once.
    fn not_connected(&mut self, job: usize) {
        let now = self.now();
        self.crowd.jobs[job].tries -= 1;
        self.alarm(now + 20.0, Alarm::Try(job));
    }

    fn settle(&mut self, job: usize, served: bool) {
        let at = self.at();
        self.crowd.jobs[job].settled = true;
        self.open_jobs -= 1;
        self.note(Event::Settled { at, job, served });
    }

    fn try_ended(&mut self, job: usize, id: String, how: How, retry_after: Option<Millis>) {
        let at = self.at();
        let served_late = at > self.crowd.jobs[job].deadline;
        self.note(Event::Ended { at, id, how: how.clone() });
        if self.crowd.jobs[job].settled {
            return;
        }
        match self.crowd.after(at, job, &how, retry_after) {
            Next::Settled(served) => self.settle(job, served && !served_late),
            Next::Again(then) => {
                let start = self.start.unwrap_or(0.0);
                self.alarm(start + then, Alarm::Try(job));
            }
        }
    }

    fn give_up(&mut self, job: usize, id: &str) {
        let open = self.connections.iter().find(|(_, connection)| {
            matches!(&connection.role, Role::Client { open: Some(open), .. } if open.id == id)
        });
        if let Some((key, _)) = open {
            self.remove(key);
            self.try_ended(job, id.to_owned(), How::GaveUp, None);
        }
    }

    fn client_reads(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (scheduler, Role::Client { open, input, served }) = (connection.scheduler, &mut connection.role)
        else {
            return;
        };
        let Some(answer) = take_answer(input) else { return };
        let Some(Open { job, id }) = open.take() else { return };
        *served += 1;
        if answer.closes || connection.input_over {
            self.remove(key);
        } else {
            self.schedulers[scheduler].idle.push(key);
        }
        let retry_after = answer.retry_after.map(|seconds| seconds * 1_000.0);
        let how = match answer.status {
            200 => How::Served(String::from_utf8_lossy(&answer.body).into_owned()),
            429 | 503 => How::Refused,
            _ => How::Failed,
        };
        self.try_ended(job, id, how, retry_after);
    }

    /// A client's connection has ended, or did not come up.
    fn client_ended(&mut self, key: usize, ended: bool) {
        let Some(connection) = self.remove(key) else { return };
        let Role::Client { open: Some(Open { job, id }), served, input } = connection.role else { return };
        if connection.opening || !ended {
            return self.not_connected(job);
        }
        // Of two processes under one name one may have been killed: that is no crossing.
        let one = &self.schedulers[connection.scheduler];
        let alive = one.process.is_some() && self.at() > one.killed_at + KILL_SEEN;
        if served > 0 && input.is_empty() && alive && !connection.broken {
            let at = self.at();
            self.note(Event::Crossed { at, id: id.clone() });
            return self.ask(job, id, connection.scheduler, false);
        }
        // What was not written whole was never taken.
        let asked = !connection.marks.iter().any(|mark| matches!(mark.1, Mark::Asked(..)));
        if asked {
            self.try_ended(job, id, How::Lost, None);
        } else {
            self.not_connected(job);
        }
    }

    // The front.

    fn check(&mut self, scheduler: usize) {
        let now = self.now();
        let far = Node::Clients(self.scenario.zone_of(scheduler));
        let near = Node::Scheduler(scheduler);
        if !self.schedulers[scheduler].serving && self.start.is_none() {
            return;
        }
        let checked = self
            .connections
            .iter()
            .any(|(_, c)| c.scheduler == scheduler && matches!(c.role, Role::Check { .. }));
        if checked {
            return;
        }
        let silent = self.weather(far, near).silent || self.weather(near, far).silent;
        let stream = TcpStream::connect(self.schedulers[scheduler].listen);
        let Some(stream) = stream.ok().filter(|_| !silent) else {
            return self.front.checked(now, scheduler, None);
        };
        let Some(key) = self.add(stream, scheduler, far, Role::Check { input: Vec::new() }, true) else {
            return;
        };
        let serial = self.connections[key].serial;
        self.alarm(now + CHECK_PATIENCE, Alarm::CheckOver(key, serial));
        self.say(key, b"GET /up HTTP/1.1\r\nHost: tier\r\n\r\n".to_vec(), None);
    }

    fn check_reads(&mut self, key: usize) {
        let Some(Connection { role: Role::Check { input }, .. }) = self.connections.get_mut(key) else {
            return;
        };
        if let Some(answer) = take_answer(input) {
            self.checked(key, Some(answer.status == 200));
        }
    }

    fn checked(&mut self, key: usize, says: Option<bool>) {
        let now = self.now();
        if let Some(connection) = self.remove(key) {
            self.front.checked(now, connection.scheduler, says);
        }
    }
}

/// What of a job most places need.
struct Job {
    class: usize,
    zone: usize,
}

impl Job {
    fn of(crowd: &Crowd, job: usize) -> Job {
        Job { class: crowd.jobs[job].class, zone: crowd.jobs[job].zone }
    }
}

/// A request as a stand-in reads it.
struct Request {
    target: String,
    headers: Vec<(String, String)>,
}

impl Request {
    fn header(&self, name: &str) -> Option<String> {
        self.headers.iter().find(|header| header.0 == name).map(|header| header.1.clone())
    }
}

/// An answer as a stand-in reads it.
struct Answer {
    status: u16,
    retry_after: Option<f64>,
    closes: bool,
    body: Vec<u8>,
}

const HEADERS: usize = 32;

fn lower(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
    headers.iter().map(|header| (header.name.to_ascii_lowercase(), text(header.value))).collect()
}

fn length(headers: &[(String, String)]) -> usize {
    headers.iter().find(|h| h.0 == "content-length").and_then(|h| h.1.parse().ok()).unwrap_or(0)
}

/// Takes a whole request off the front of what has been read.
fn take_request(input: &mut Vec<u8>) -> Option<Request> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = request.parse(input) else { return None };
    let target = request.path.unwrap_or_default().to_owned();
    let headers = lower(request.headers);
    let end = head + length(&headers);
    if input.len() < end {
        return None;
    }
    input.drain(..end);
    Some(Request { target, headers })
}

/// Takes a whole answer off the front of what has been read.
fn take_answer(input: &mut Vec<u8>) -> Option<Answer> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = answer.parse(input) else { return None };
    let status = answer.code.unwrap_or(0);
    let headers = lower(answer.headers);
    let header = |name: &str| headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str());
    let (mut body, mut at) = (Vec::new(), head);
    if header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let Ok(httparse::Status::Complete((line, size))) = httparse::parse_chunk_size(&input[at..])
            else {
                return None;
            };
            let (from, to) = (at + line, at + line + size as usize);
            if input.len() < to + 2 {
                return None;
            }
            body.extend_from_slice(&input[from..to]);
            at = to + 2;
            if size == 0 {
                break;
            }
        }
    } else {
        at += length(&headers);
        body.extend_from_slice(input.get(head..at)?);
    }
    let closes = header("connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
    let retry_after = header("retry-after").and_then(|seconds| seconds.parse().ok());
    input.drain(..at);
    Some(Answer { status, retry_after, closes, body })
}

fn chunk(line: &Value) -> Vec<u8> {
    let text = line.to_string();
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes()
}

/// The program that stands beside a test's or a tool's own: `target/PROFILE/brackenledge`.
pub fn program_beside(own: &Path) -> Option<PathBuf> {
    own.ancestors().skip(1).take(2).map(|folder| folder.join("brackenledge")).find(|path| path.is_file())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_are_read_with_a_length_and_in_chunks_and_only_whole() {
        let mut input = b"HTTP/1.1 503 No\r\nRetry-After: 0.5\r\nContent-Length: 2\r\n\r\nno".to_vec();
        let mut short = input[..input.len() - 1].to_vec();
        assert!(take_answer(&mut short).is_none());
        let answer = take_answer(&mut input).expect("whole");
        assert_eq!((answer.status, answer.retry_after, answer.body.as_slice()), (503, Some(0.5), &b"no"[..]));
        assert!(input.is_empty());
        let mut input =
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n".to_vec();
        assert_eq!(take_answer(&mut input).expect("whole").body, b"abc");
    }
}
