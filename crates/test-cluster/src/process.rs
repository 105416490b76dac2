//! A scheduler's process: started, signalled, waited for, and ended with the rig whatever ends that.

use mio::unix::pipe::Receiver;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Lines of the log that are kept for who has to find out why a process died.
const LOG_KEPT: usize = 40;
/// Room for one line that never ends.
const LINE_MOST: usize = 64 * 1024;
/// A killed process is gone after a few milliseconds; longer means that it can't be killed.
const PATIENCE: Duration = Duration::from_secs(10);

/// A running process. Its end is waited for on drop, so none is left behind.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: Receiver,
    partial: Vec<u8>,
    kept: VecDeque<String>,
    /// Whether anybody has told it to end.
    pub told_to_end: bool,
}

/// The environment that would speak over the configuration file.
const VARIABLES: [&str; 6] =
    ["PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONTROL", "PROXY_OPERATIONS"];

impl Process {
    /// Starts `program serve` on these files. The kernel kills it if the rig's thread ends first (`setpriv`, of
    /// util-linux; where that is missing, only the rig's own clean-up does), with this limit on its descriptors.
    pub fn start(
        program: &Path,
        config: &Path,
        operations: Option<&Path>,
        descriptors: Option<usize>,
    ) -> Result<Process, String> {
        let mut words: Vec<std::ffi::OsString> = Vec::new();
        if let Some(most) = descriptors {
            words.extend(["prlimit".into(), format!("--nofile={most}").into()]);
        }
        if has("setpriv") {
            words.extend(["setpriv", "--pdeathsig", "KILL"].map(Into::into));
        }
        words.push(program.into());
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]).arg("serve").arg("--config").arg(config);
        if let Some(file) = operations {
            command.arg("--operations").arg(file);
        }
        for name in VARIABLES {
            command.env_remove(name);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|error| {
            format!("{}: {error}; build it with `cargo build` or name it with --program", program.display())
        })?;
        let Some(log) = child.stderr.take() else { return Err("no pipe for the log".into()) };
        let log = Receiver::from(log);
        log.set_nonblocking(true).map_err(|error| format!("the log's pipe: {error}"))?;
        Ok(Process { child, log, partial: Vec::new(), kept: VecDeque::new(), told_to_end: false })
    }

    /// Processor time that it has taken so far, in milliseconds, by the kernel's count; `None`: that can't be read.
    pub fn cpu(&self) -> Option<f64> {
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
        self.partial.truncate(LINE_MOST);
        self.kept.extend(lines.iter().cloned());
        while self.kept.len() > LOG_KEPT {
            self.kept.pop_front();
        }
        (lines, ended)
    }

    /// The last lines of its log.
    pub fn last_words(&self) -> String {
        self.kept.iter().rev().take(5).rev().cloned().collect::<Vec<_>>().join(" | ")
    }

    /// Its id, for reports.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; a process that has ended already takes none.
    pub fn signal(&mut self, signal: Signal) {
        if self.ended().is_none() {
            // Not waited for yet, so the id is still its own.
            let _ = kill_process(Pid::from_child(&self.child), signal);
        }
    }

    /// Its status, once it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it and waits until it is gone, with its connections and ports.
    pub fn kill(&mut self) {
        self.told_to_end = true;
        let _ = self.child.kill();
        let since = Instant::now();
        while self.ended().is_none() && since.elapsed() < PATIENCE {
            std::thread::sleep(Duration::from_micros(200));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn has(program: &str) -> bool {
    let paths = std::env::var_os("PATH").unwrap_or_default();
    std::env::split_paths(&paths).any(|folder| folder.join(program).is_file())
}
