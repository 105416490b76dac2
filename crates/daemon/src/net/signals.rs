//! Signals: SIGTERM and SIGINT start the graceful shutdown, SIGHUP reloads the configuration.

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

/// Reads the configuration again, with the same command line and environment as at startup.
pub type Reload<'a> = &'a dyn Fn() -> Result<Config, LoadError>;

/// The state shared with the signal handlers. A handler sets the flag of its signal, then writes to the pipe
/// that the poll watches.
pub(super) struct Signals {
    /// Readable once a signal has been received.
    pub(super) pipe: UnixStream,
    shutdown_requested: Arc<AtomicBool>,
    reload_requested: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers.
    pub(super) fn install() -> io::Result<Self> {
        let (pipe, sender) = UnixStream::pair()?;
        let sender = OwnedFd::from(std::os::unix::net::UnixStream::from(sender));
        let (shutdown_requested, reload_requested) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        // Without a handler, SIGHUP would end the process.
        for (signal, flag) in
            [(SIGTERM, &shutdown_requested), (SIGINT, &shutdown_requested), (SIGHUP, &reload_requested)]
        {
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(Signals { pipe, shutdown_requested, reload_requested })
    }

    /// Empties the pipe, so that the poll reports the next signal.
    fn drain_pipe(&mut self) {
        let mut bytes = [0; 64];
        while matches!(self.pipe.read(&mut bytes), Ok(count) if count > 0) {}
    }
}

impl Scheduler<'_> {
    /// Handles the signals that the poll has reported.
    pub(super) fn on_signal(&mut self) {
        let now = self.event_loop.now();
        self.signals.drain_pipe();
        if self.signals.reload_requested.swap(false, Ordering::Relaxed) {
            self.reload_configuration();
        }
        if self.signals.shutdown_requested.swap(false, Ordering::Relaxed) && self.shutdown.is_none() {
            // `now` was read before the reload: the time until SIGKILL starts with the signal, not after a
            // reload handled in the same call.
            self.start_shutdown(Shutdown::new(now, self.max_deadline));
        }
    }

    /// Reloads the configuration. Only a changed address of discovery takes effect; the endpoint list and all
    /// other state are kept.
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
        // Released early, so that the schedulers that take over the roles need not wait for the leases to
        // expire.
        if let (Some(cluster), Some(peer)) = (cx.cluster.as_mut(), &self.peer) {
            cluster.leave(peer, cx.log);
        }
    }
}
