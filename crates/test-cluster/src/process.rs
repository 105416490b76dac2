//! A scheduler's process: started, signalled, waited for, and ended with the test cluster, whatever ends that.

use crate::Error;
use mio::unix::pipe::Receiver;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Lines of the log that are shown when a process ends by itself.
const LOG_TAIL_LINES: usize = 5;
/// The longest part of a line that is buffered while it has no end.
const MAX_PARTIAL_LINE: usize = 64 * 1024;
/// A killed process is gone after a few milliseconds; longer means that it can't be killed.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);

/// A running process. Its end is waited for on drop, so none is left behind.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: Receiver,
    partial: Vec<u8>,
    /// The last lines of its log.
    tail: VecDeque<String>,
    /// Whether somebody has asked it to end.
    pub is_ending: bool,
}

/// Environment variables that would override the configuration file.
const CONFIG_VARIABLES: [&str; 6] =
    ["PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONTROL", "PROXY_OPERATIONS"];

impl Process {
    /// Starts `program serve` on these files, with this limit on its descriptors. The kernel kills it if the
    /// thread that started it ends first (`setpriv`, of util-linux; where that is missing, only the test cluster's own
    /// clean-up does).
    pub fn start(
        program: &Path,
        config: &Path,
        operations: Option<&Path>,
        descriptors: Option<usize>,
    ) -> Result<Process, Error> {
        let mut arguments: Vec<std::ffi::OsString> = Vec::new();
        if let Some(limit) = descriptors {
            arguments.extend(["prlimit".into(), format!("--nofile={limit}").into()]);
        }
        if is_installed("setpriv") {
            arguments.extend(["setpriv", "--pdeathsig", "KILL"].map(Into::into));
        }
        arguments.push(program.into());
        let mut command = Command::new(&arguments[0]);
        command.args(&arguments[1..]).arg("serve").arg("--config").arg(config);
        if let Some(file) = operations {
            command.arg("--operations").arg(file);
        }
        for name in CONFIG_VARIABLES {
            command.env_remove(name);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child =
            command.spawn().map_err(|source| Error::StartProgram { program: program.to_owned(), source })?;
        let pipe = child.stderr.take().ok_or_else(|| std::io::Error::other("the child has none"));
        let log = Receiver::from(pipe.map_err(Error::io("the log's pipe"))?);
        log.set_nonblocking(true).map_err(Error::io("the log's pipe"))?;
        Ok(Process { child, log, partial: Vec::new(), tail: VecDeque::new(), is_ending: false })
    }

    /// Processor time that it has taken so far, in milliseconds, by the kernel's count; `None`: that can't be read.
    pub fn cpu_ms(&self) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        // Behind the name, which may hold anything: user and system time are the 12th and 13th, in ticks.
        let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
        let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
        Some(ticks * 1_000.0 / rustix::param::clock_ticks_per_second() as f64)
    }

    /// Its log, to be watched by the poll.
    pub fn log(&mut self) -> &mut Receiver {
        &mut self.log
    }

    /// Reads what it has logged: new lines, and whether the log has ended, as it does with the process.
    pub fn read_log(&mut self) -> (Vec<String>, bool) {
        let mut buffer = [0; 16 * 1024];
        let ended = loop {
            match self.log.read(&mut buffer) {
                Ok(0) => break true,
                Ok(count) => self.partial.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => break error.kind() != ErrorKind::WouldBlock,
            }
        };
        let mut lines = Vec::new();
        while let Some(end) = self.partial.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.partial.drain(..=end).collect();
            lines.push(String::from_utf8_lossy(&line).trim_end().to_owned());
        }
        self.partial.truncate(MAX_PARTIAL_LINE);
        self.tail.extend(lines.iter().cloned());
        while self.tail.len() > LOG_TAIL_LINES {
            self.tail.pop_front();
        }
        (lines, ended)
    }

    /// The last lines of its log, in one line.
    pub fn log_tail(&self) -> String {
        self.tail.iter().cloned().collect::<Vec<_>>().join(" | ")
    }

    /// Its id, for reports.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; a process that has ended already takes none.
    pub fn signal(&mut self, signal: Signal) {
        if self.exit_status().is_none() {
            // Not waited for yet, so the id is still its own.
            let _ = kill_process(Pid::from_child(&self.child), signal);
        }
    }

    /// Its status, once it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it and waits until it is gone, with its connections and ports.
    pub fn kill(&mut self) {
        self.is_ending = true;
        let _ = self.child.kill();
        let since = Instant::now();
        while self.exit_status().is_none() && since.elapsed() < KILL_TIMEOUT {
            std::thread::sleep(Duration::from_micros(200));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_installed(program: &str) -> bool {
    let paths = std::env::var_os("PATH").unwrap_or_default();
    std::env::split_paths(&paths).any(|folder| folder.join(program).is_file())
}

/// The program that stands beside a test's or a tool's own: `target/PROFILE/brackenledge`.
pub fn program_beside(own: &Path) -> Option<PathBuf> {
    let folders = own.ancestors().skip(1).take(2);
    folders.map(|folder| folder.join("brackenledge")).find(|path| path.is_file())
}
