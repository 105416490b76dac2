//! The schedulers' processes: their start, signals, logs and ends, and calls of their admin endpoints.

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

/// An admin endpoint that does not answer by then has no reply.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);
/// What a process logs once it serves.
const SERVING_LOG: &str = "listen: ";

/// The addresses that a scheduler serves.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For datagrams of other schedulers.
    pub datagrams: SocketAddr,
    /// For connections of other schedulers.
    pub links: SocketAddr,
}

/// The ports of a scheduler's addresses, reserved also while it has no process.
pub struct ReservedAddresses {
    pub addresses: Addresses,
    _ports: [ReservedPort; 4],
}

impl ReservedAddresses {
    /// Ports that the system chooses.
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

/// The files of a scheduler's processes. The duplicate has a configuration of its own, without the admin endpoint.
#[derive(Clone, Debug, Default)]
pub struct Files {
    pub config: PathBuf,
    pub duplicate_config: PathBuf,
    pub operations: Option<PathBuf>,
}

struct RunningProcess {
    process: Process,
    /// Of its log.
    token: Token,
}

struct Scheduler {
    reserved: ReservedAddresses,
    files: Files,
    primary: Option<RunningProcess>,
    duplicate: Option<RunningProcess>,
    is_serving: bool,
    /// When one of its processes was killed last.
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

/// All schedulers' processes.
pub struct ProcessSupervisor {
    program: PathBuf,
    /// The limit on each process's descriptors.
    descriptors: Option<usize>,
    schedulers: Vec<Scheduler>,
    /// What processes logged: the time since the start of traffic, the scheduler, and the line.
    pub log: Vec<String>,
    /// Processes that ended although nobody had asked them to.
    pub crashed: Vec<String>,
    /// Ids of all processes that were started.
    pub process_ids: Vec<u32>,
}

impl ProcessSupervisor {
    /// Without any processes yet.
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

    /// Sets the files that a scheduler's processes are started with.
    pub fn set_files(&mut self, scheduler: usize, files: Files) {
        self.schedulers[scheduler].files = files;
    }

    /// The addresses of a scheduler.
    pub fn addresses(&self, scheduler: usize) -> Addresses {
        self.schedulers[scheduler].reserved.addresses
    }

    /// Whether a scheduler has reported that it serves.
    pub fn is_serving(&self, scheduler: usize) -> bool {
        self.schedulers[scheduler].is_serving
    }

    /// Whether a scheduler has a process and none of its processes was killed since this time.
    pub fn is_alive_since(&self, scheduler: usize, at: Millis) -> bool {
        let one = &self.schedulers[scheduler];
        one.primary.is_some() && at > one.killed_at
    }

    /// Whether a scheduler's primary process runs.
    pub fn is_running(&self, scheduler: usize) -> bool {
        self.schedulers[scheduler].primary.is_some()
    }

    /// Starts a process.
    pub fn start(&mut self, runtime: &mut Runtime, slot: ProcessSlot) -> Result<(), Error> {
        let one = &mut self.schedulers[slot.scheduler];
        let config = match slot.kind {
            ProcessKind::Primary => &one.files.config,
            ProcessKind::Duplicate => &one.files.duplicate_config,
        };
        let operations = one.files.operations.as_deref();
        let mut process = Process::start(&self.program, config, operations, self.descriptors)?;
        self.process_ids.push(process.id());
        let token = runtime
            .sources
            .register(process.log(), Interest::READABLE, Source::Log(slot))
            .map_err(Error::io("the log's pipe"))?;
        if slot.kind == ProcessKind::Primary {
            one.is_serving = false;
        }
        *one.process(slot.kind) = Some(RunningProcess { process, token });
        Ok(())
    }

    /// Reads what a process has logged. Its log ends with the process.
    pub fn read_log(&mut self, runtime: &mut Runtime, slot: ProcessSlot) {
        let one = &mut self.schedulers[slot.scheduler];
        let Some(running) = one.process(slot.kind) else { return };
        let (lines, has_ended) = running.process.read_log();
        let clock = runtime.clock;
        let at = if clock.has_traffic() { clock.since_start() } else { -1.0 };
        let suffix = if slot.kind == ProcessKind::Duplicate { " (duplicate)" } else { "" };
        let scheduler = slot.scheduler;
        self.log.extend(
            lines.iter().map(|line| format!("{at:.0} scheduler {scheduler}{suffix}: {}", line.trim_end())),
        );
        let reports_serving = lines.iter().any(|line| line.contains(SERVING_LOG));
        if slot.kind == ProcessKind::Primary && reports_serving && !one.is_serving {
            one.is_serving = true;
            if clock.has_traffic() {
                let at = clock.since_start();
                runtime.record(HistoryEvent::Process { at, scheduler, change: ProcessEvent::Started });
            }
        }
        if has_ended {
            self.remove(runtime, slot);
        }
    }

    /// Removes a process that has ended, or that is to be killed now.
    fn remove(&mut self, runtime: &mut Runtime, slot: ProcessSlot) {
        let Some(running) = self.schedulers[slot.scheduler].process(slot.kind).take() else { return };
        let RunningProcess { mut process, token } = running;
        runtime.sources.deregister(process.log(), token);
        if process.is_ending {
            return;
        }
        let log_tail = process.log_tail();
        process.kill();
        let status = process.exit_status().map_or("it could not be waited for".into(), |s| s.to_string());
        let description = format!("scheduler {} ended by itself, {status}: {log_tail}", slot.scheduler);
        if !runtime.clock.has_traffic() {
            return runtime.fail(Error::EndedBeforeReady(description));
        }
        self.crashed.push(description);
        record_process(runtime, slot.scheduler, ProcessEvent::Killed);
    }

    /// Kills a process, if it runs.
    pub fn kill(&mut self, runtime: &mut Runtime, slot: ProcessSlot) {
        let at = runtime.clock.since_start();
        let one = &mut self.schedulers[slot.scheduler];
        if let Some(running) = one.process(slot.kind) {
            running.process.kill();
            one.killed_at = at;
            let scheduler = slot.scheduler;
            runtime.record(HistoryEvent::Process { at, scheduler, change: ProcessEvent::Killed });
            if slot.kind == ProcessKind::Duplicate {
                // The primary process goes on.
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

    /// Processor time of all processes so far, in milliseconds.
    pub fn cpu_ms(&self) -> f64 {
        let running = self.schedulers.iter().flat_map(|one| [&one.primary, &one.duplicate]).flatten();
        running.filter_map(|running| running.process.cpu_ms()).sum()
    }

    /// Calls the admin endpoint of each primary process; one answers in one turn of its loop.
    pub fn call_admin_endpoints(&self, command: &str) -> Vec<AdminReply> {
        let running = self.schedulers.iter().enumerate().filter(|(_, one)| one.primary.is_some());
        let call = |(scheduler, one): (usize, &Scheduler)| {
            let text = call_admin_endpoint(one.reserved.addresses.admin, command).ok()?;
            Some(AdminReply { scheduler, text })
        };
        running.filter_map(call).collect()
    }
}

fn record_process(runtime: &mut Runtime, scheduler: usize, change: ProcessEvent) {
    let at = runtime.clock.since_start();
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
