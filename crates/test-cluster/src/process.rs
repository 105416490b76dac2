//! A scheduler's child process: start, signals, log and exit. It ends with the test cluster, also if that is
//! killed.

use crate::Error;
use mio::unix::pipe::Receiver;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Number of log lines shown for a process that exits unexpectedly.
const LOG_TAIL_LINES: usize = 5;
/// Maximum number of bytes buffered of a log line without a line break.
const MAX_PARTIAL_LINE: usize = 64 * 1024;
/// Limit on waiting for a killed process. It normally exits within a few milliseconds; one that takes longer
/// can't be killed.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);

/// A scheduler's process. It is killed and waited for on drop, so no process is left behind.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: Receiver,
    /// Log output after the last line break.
    partial: Vec<u8>,
    /// The last lines of the log.
    tail: VecDeque<String>,
    /// Whether the test cluster has asked the process to exit, so that its exit is expected.
    pub is_ending: bool,
}

/// Environment variables that would override the configuration file.
const CONFIG_VARIABLES: [&str; 6] =
    ["PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONTROL", "PROXY_OPERATIONS"];

impl Process {
    /// Starts `program serve` with these files and, through `prlimit`, a limit on its open file descriptors.
    /// Through `setpriv` of util-linux, the kernel kills the process if the thread that started it ends
    /// first; without `setpriv` only the test cluster's own clean-up ends it.
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
        let pipe =
            child.stderr.take().ok_or_else(|| std::io::Error::other("the process has no pipe for stderr"));
        let log = Receiver::from(pipe.map_err(Error::io("opening the scheduler's log"))?);
        log.set_nonblocking(true).map_err(Error::io("making the scheduler's log non-blocking"))?;
        Ok(Process { child, log, partial: Vec::new(), tail: VecDeque::new(), is_ending: false })
    }

    /// Processor time used so far, user and system, in milliseconds; `None` if `/proc` can't be read.
    pub fn cpu_ms(&self) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        // The program's name, in parentheses, may contain any character. Of the fields after it, the 12th and
        // 13th are user and system time in clock ticks.
        let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
        let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
        Some(ticks * 1_000.0 / rustix::param::clock_ticks_per_second() as f64)
    }

    /// The pipe of the process's stderr, to be registered with the poll.
    pub fn log(&mut self) -> &mut Receiver {
        &mut self.log
    }

    /// Reads the log: the new complete lines, and whether the log has ended, which it does when the process
    /// exits.
    pub fn read_log(&mut self) -> (Vec<String>, bool) {
        let mut buffer = [0; 16 * 1024];
        let has_ended = loop {
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
        (lines, has_ended)
    }

    /// The last lines of the log, joined into one.
    pub fn log_tail(&self) -> String {
        self.tail.iter().cloned().collect::<Vec<_>>().join(" | ")
    }

    /// Process id of the program itself: `prlimit` and `setpriv` execute it in their own process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; does nothing if the process has exited.
    pub fn signal(&mut self, signal: Signal) {
        if self.exit_status().is_none() {
            // The process has not been waited for, so the system has not reused its id.
            let _ = kill_process(Pid::from_child(&self.child), signal);
        }
    }

    /// Exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits until it has exited, so that its connections are closed and its ports are
    /// free.
    pub fn kill(&mut self) {
        self.is_ending = true;
        let _ = self.child.kill();
        let killed_at = Instant::now();
        while self.exit_status().is_none() && killed_at.elapsed() < KILL_TIMEOUT {
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
    std::env::split_paths(&paths).any(|directory| directory.join(program).is_file())
}

/// The scheduler's program `target/PROFILE/brackenledge`, given the path of a tool in the same directory or
/// of a test in its `deps` directory. `None` if it has not been built.
pub fn program_beside(own: &Path) -> Option<PathBuf> {
    let directories = own.ancestors().skip(1).take(2);
    directories.map(|directory| directory.join("brackenledge")).find(|path| path.is_file())
}
