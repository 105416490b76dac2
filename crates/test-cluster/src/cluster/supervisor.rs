//! Starts the scheduler processes, sends them signals, reads their logs, detects their ends, and calls their
//! admin endpoints.

use super::AdminReply;
use super::listener::ReservedPort;
use super::runtime::Runtime;
use super::sources::{ProcessKind, ProcessSlot, Source};
use crate::history::{HistoryEvent, ProcessEvent};
use crate::process::Process;
use crate::{Error, Millis};
use mio::{Interest, Token};
use rustix::process::Signal;
use socket2::Type;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Timeout for connecting to an admin endpoint and for each read of its reply. Without a reply in time, the
/// scheduler is missing from the results.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Contained in the line that a process logs when it starts to serve.
const SERVING_LOG: &str = "listen: ";

/// The addresses that a scheduler listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// HTTP requests from clients.
    pub clients: SocketAddr,
    /// The admin endpoint.
    pub admin: SocketAddr,
    /// Datagrams from other schedulers.
    pub datagrams: SocketAddr,
    /// Failover connections from other schedulers.
    pub links: SocketAddr,
}

/// The ports of a scheduler's addresses, which stay reserved while the scheduler has no process.
pub struct ReservedAddresses {
    pub addresses: Addresses,
    _ports: [ReservedPort; 4],
}

impl ReservedAddresses {
    /// Reserves ports that the operating system chooses.
    pub fn new() -> io::Result<ReservedAddresses> {
        let clients = ReservedPort::new(Type::STREAM)?;
        let admin = ReservedPort::new(Type::STREAM)?;
        let datagrams = ReservedPort::new(Type::DGRAM)?;
        let links = ReservedPort::new(Type::STREAM)?;
        let addresses = Addresses {
            clients: clients.address,
            admin: admin.address,
            datagrams: datagrams.address,
            links: links.address,
        };
        Ok(ReservedAddresses { addresses, _ports: [clients, admin, datagrams, links] })
    }
}

/// The configuration files of a scheduler's processes. The duplicate process has its own configuration, which
/// differs in the admin address.
#[derive(Clone, Debug, Default)]
pub struct Files {
    pub config: PathBuf,
    pub duplicate_config: PathBuf,
    pub operations: Option<PathBuf>,
}

struct RunningProcess {
    process: Process,
    /// Token of its log pipe at the poll.
    token: Token,
}

struct Scheduler {
    reserved: ReservedAddresses,
    files: Files,
    primary: Option<RunningProcess>,
    duplicate: Option<RunningProcess>,
    is_serving: bool,
    /// Traffic time at which one of its processes was last killed.
    killed_at: Millis,
}

impl Scheduler {
    fn process(&mut self, kind: ProcessKind) -> &mut Option<RunningProcess> {
        match kind {
            ProcessKind::Primary => &mut self.primary,
            ProcessKind::Duplicate => &mut self.duplicate,
        }
    }
}

/// The processes of all schedulers.
pub struct ProcessSupervisor {
    program: PathBuf,
    /// Limit on the open file descriptors of each process; `None` leaves it as it is.
    descriptors: Option<usize>,
    schedulers: Vec<Scheduler>,
    /// Log lines of the processes, each prefixed with traffic time (-1 before traffic) and the scheduler.
    pub log: Vec<String>,
    /// A description of each process that exited without a signal from the test cluster.
    pub crashed: Vec<String>,
    /// Ids of all processes started so far.
    pub process_ids: Vec<u32>,
}

impl ProcessSupervisor {
    /// Creates a supervisor for one scheduler per set of reserved addresses; no process is started yet.
    pub fn new(
        program: PathBuf,
        descriptors: Option<usize>,
        reserved: Vec<ReservedAddresses>,
    ) -> ProcessSupervisor {
        let scheduler = |reserved| Scheduler {
            reserved,
            files: Files::default(),
            primary: None,
            duplicate: None,
            is_serving: false,
            killed_at: f64::NEG_INFINITY,
        };
        ProcessSupervisor {
            program,
            descriptors,
            schedulers: reserved.into_iter().map(scheduler).collect(),
            log: Vec::new(),
            crashed: Vec::new(),
            process_ids: Vec::new(),
        }
    }

    /// Sets the configuration files that a scheduler's processes are started with.
    pub fn set_files(&mut self, scheduler: usize, files: Files) {
        self.schedulers[scheduler].files = files;
    }

    /// The addresses that a scheduler's processes listen on.
    pub fn addresses(&self, scheduler: usize) -> Addresses {
        self.schedulers[scheduler].reserved.addresses
    }

    /// Whether the scheduler's primary process has logged that it serves.
    pub fn is_serving(&self, scheduler: usize) -> bool {
        self.schedulers[scheduler].is_serving
    }

    /// Whether a scheduler's primary process runs and none of its processes was killed at or after traffic
    /// time `at`.
    pub fn is_alive_since(&self, scheduler: usize, at: Millis) -> bool {
        let state = &self.schedulers[scheduler];
        state.primary.is_some() && at > state.killed_at
    }

    /// Whether a scheduler's primary process has been started and has not ended.
    pub fn is_running(&self, scheduler: usize) -> bool {
        self.schedulers[scheduler].primary.is_some()
    }

    /// Starts a process and registers its log with the poll.
    pub fn start(&mut self, runtime: &mut Runtime, slot: ProcessSlot) -> Result<(), Error> {
        let state = &mut self.schedulers[slot.scheduler];
        let config = match slot.kind {
            ProcessKind::Primary => &state.files.config,
            ProcessKind::Duplicate => &state.files.duplicate_config,
        };
        let operations = state.files.operations.as_deref();
        let mut process = Process::start(&self.program, config, operations, self.descriptors)?;
        self.process_ids.push(process.id());
        let token = runtime
            .sources
            .register(process.log(), Interest::READABLE, Source::Log(slot))
            .map_err(Error::io("registering a scheduler's log pipe with the poll"))?;
        if slot.kind == ProcessKind::Primary {
            state.is_serving = false;
        }
        *state.process(slot.kind) = Some(RunningProcess { process, token });
        Ok(())
    }

    /// Reads new log lines of a process. End of file means that the process has ended.
    pub fn read_log(&mut self, runtime: &mut Runtime, slot: ProcessSlot) {
        let state = &mut self.schedulers[slot.scheduler];
        let Some(running) = state.process(slot.kind) else { return };
        let (lines, has_ended) = running.process.read_log();
        let clock = runtime.clock;
        let at = if clock.has_traffic() { clock.since_traffic_start() } else { -1.0 };
        let suffix = if slot.kind == ProcessKind::Duplicate { " (duplicate)" } else { "" };
        let scheduler = slot.scheduler;
        self.log.extend(
            lines.iter().map(|line| format!("{at:.0} scheduler {scheduler}{suffix}: {}", line.trim_end())),
        );
        let reports_serving = lines.iter().any(|line| line.contains(SERVING_LOG));
        if slot.kind == ProcessKind::Primary && reports_serving && !state.is_serving {
            state.is_serving = true;
            if clock.has_traffic() {
                let at = clock.since_traffic_start();
                runtime.record(HistoryEvent::Process { at, scheduler, change: ProcessEvent::Started });
            }
        }
        if has_ended {
            self.remove(runtime, slot);
        }
    }

    /// Removes a process that has ended. If the test cluster had not ended it, it is reported as crashed,
    /// which fails the run before the start of traffic.
    fn remove(&mut self, runtime: &mut Runtime, slot: ProcessSlot) {
        let Some(running) = self.schedulers[slot.scheduler].process(slot.kind).take() else { return };
        let RunningProcess { mut process, token } = running;
        runtime.sources.deregister(process.log(), token);
        if process.is_ending {
            return;
        }
        let log_tail = process.log_tail();
        process.kill();
        let status = process.exit_status().map_or("exit status unknown".into(), |s| s.to_string());
        let description = format!("scheduler {} exited unexpectedly, {status}: {log_tail}", slot.scheduler);
        if !runtime.clock.has_traffic() {
            return runtime.fail(Error::EndedBeforeReady(description));
        }
        self.crashed.push(description);
        record_process(runtime, slot.scheduler, ProcessEvent::Killed);
    }

    /// Kills a process with SIGKILL if it runs.
    pub fn kill(&mut self, runtime: &mut Runtime, slot: ProcessSlot) {
        let at = runtime.clock.since_traffic_start();
        let state = &mut self.schedulers[slot.scheduler];
        if let Some(running) = state.process(slot.kind) {
            running.process.kill();
            state.killed_at = at;
            let scheduler = slot.scheduler;
            runtime.record(HistoryEvent::Process { at, scheduler, change: ProcessEvent::Killed });
            if slot.kind == ProcessKind::Duplicate {
                // The history has no entry per process, so the scheduler is recorded as started: its primary
                // process still runs.
                let at = at + 1.0;
                runtime.record(HistoryEvent::Process { at, scheduler, change: ProcessEvent::Started });
            }
        }
        self.remove(runtime, slot);
    }

    /// Sends SIGTERM to a scheduler's primary process, after which it is expected to end.
    pub fn terminate(&mut self, runtime: &mut Runtime, scheduler: usize) {
        record_process(runtime, scheduler, ProcessEvent::Terminated);
        if let Some(running) = &mut self.schedulers[scheduler].primary {
            running.process.is_ending = true;
            running.process.signal(Signal::TERM);
        }
    }

    /// Sends a signal to a scheduler's primary process, if it runs.
    pub fn signal(&mut self, scheduler: usize, signal: Signal) {
        if let Some(running) = &mut self.schedulers[scheduler].primary {
            running.process.signal(signal);
        }
    }

    /// CPU time that the running processes have used so far, in milliseconds.
    pub fn cpu_ms(&self) -> f64 {
        let running = self.schedulers.iter().flat_map(|state| [&state.primary, &state.duplicate]).flatten();
        running.filter_map(|running| running.process.cpu_ms()).sum()
    }

    /// Calls the admin endpoint of each primary process and waits for the reply. This blocks the event loop,
    /// but not for long: a scheduler replies within one iteration of its own event loop.
    pub fn call_admin_endpoints(&self, command: &str) -> Vec<AdminReply> {
        let running = self.schedulers.iter().enumerate().filter(|(_, state)| state.primary.is_some());
        let call = |(scheduler, state): (usize, &Scheduler)| {
            let text = call_admin_endpoint(state.reserved.addresses.admin, command).ok()?;
            Some(AdminReply { scheduler, text })
        };
        running.filter_map(call).collect()
    }
}

fn record_process(runtime: &mut Runtime, scheduler: usize, change: ProcessEvent) {
    let at = runtime.clock.since_traffic_start();
    runtime.record(HistoryEvent::Process { at, scheduler, change });
}

fn call_admin_endpoint(address: SocketAddr, command: &str) -> io::Result<String> {
    let mut stream = std::net::TcpStream::connect_timeout(&address, ADMIN_TIMEOUT)?;
    stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply)
}
