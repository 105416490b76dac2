//! Signals: SIGTERM and SIGINT shut the scheduler down, SIGHUP reads the configuration again.

use super::event_loop::Alarm;
use super::scheduler::{Scheduler, context};
use crate::error::LoadError;
use brackenledge_engine::shutdown::Shutdown;
use brackenledge_protocol::config::Config;
use mio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use slog::{info, warn};
use std::io::{self, Read};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// How the configuration is read again.
pub type Reload<'a> = &'a dyn Fn() -> Result<Config, LoadError>;

/// The signals that are handled. A handler sets its signal's flag, then writes to the pipe that the poll watches.
pub(super) struct Signals {
    /// Readable once a signal has come.
    pub(super) pipe: UnixStream,
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers.
    pub(super) fn install() -> io::Result<Self> {
        let (pipe, sender) = UnixStream::pair()?;
        let sender = OwnedFd::from(std::os::unix::net::UnixStream::from(sender));
        let (shutdown, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        // Without a handler, SIGHUP would end the program.
        for (signal, flag) in [(SIGTERM, &shutdown), (SIGINT, &shutdown), (SIGHUP, &reload)] {
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(Signals { pipe, shutdown, reload })
    }

    /// Empties the pipe, so that the poll reports the next signal.
    fn drain_pipe(&mut self) {
        let mut bytes = [0; 64];
        while matches!(self.pipe.read(&mut bytes), Ok(count) if count > 0) {}
    }
}

impl Scheduler<'_> {
    /// The poll reports a signal.
    pub(super) fn on_signal(&mut self) {
        let now = self.event_loop.now();
        self.signals.drain_pipe();
        if self.signals.reload.swap(false, Ordering::Relaxed) {
            self.reload_configuration();
        }
        if self.signals.shutdown.swap(false, Ordering::Relaxed) && self.shutdown.is_none() {
            // The time until SIGKILL counts from the signal, not from the end of a reload that came with it.
            self.start_shutdown(Shutdown::new(now, self.max_deadline));
        }
    }

    /// Reads the configuration again. Only a new address of discovery counts; everything learned so far stays.
    fn reload_configuration(&mut self) {
        let cx = &mut context!(self);
        let previous = self.configured_discovery;
        match (self.reload)() {
            Ok(Config { discovery_in_file: Some(address), .. }) if Some(address) != previous => {
                info!(cx.log, "configuration_reloaded"; "discovery" => %address);
                self.configured_discovery = Some(address);
                self.discovery.set_address(address, cx);
            }
            Ok(_) => info!(cx.log, "configuration_reloaded"; "discovery" => "unchanged"),
            Err(error) => warn!(cx.log, "configuration_rejected"; "error" => %error),
        }
    }

    fn start_shutdown(&mut self, shutdown: Shutdown) {
        let cx = &mut context!(self);
        info!(cx.log, "shutdown_started"; "pending_jobs" => cx.engine.pending_jobs());
        cx.event_loop.set_alarm(shutdown.serve_until(), Alarm::Shutdown);
        cx.event_loop.set_alarm(shutdown.answer_by(), Alarm::FailPendingJobs);
        self.shutdown = Some(shutdown);
        // Our successors in the roles that we hold need not wait until our leases expire.
        if let (Some(cluster), Some(peer)) = (cx.cluster.as_mut(), &self.peer) {
            cluster.leave(peer, cx.log);
        }
    }
}
