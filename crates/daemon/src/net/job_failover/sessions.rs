//! The sessions with the other schedulers, over the links of `peer_links`.

use super::{JobFailover, micros};
use brackenledge_failover::{Frame, Message, ProcessId, Session, SessionError};
use std::collections::BTreeMap;

/// Bytes that a peer may leave unacknowledged; beyond them it counts as lagging, until half of them are acknowledged.
const MAX_UNACKNOWLEDGED: usize = 4 << 20;

/// Messages that are not urgent go with the next urgent one, or after so long, in microseconds: in a cluster of many
/// schedulers each has as many links, and would send little on each (at 20 ms twelve schedulers took 2.0 times the
/// processor time of a cluster without failover, not 1.4).
const BATCH_INTERVAL: u64 = 200_000;

/// Why a link is to be closed after a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// A newer process has this peer's ordinal.
    Superseded,
    /// The frame violates the protocol.
    Protocol(SessionError),
}

/// A session for each known scheduler, by ordinal.
#[derive(Default)]
pub(super) struct PeerSessions {
    sessions: BTreeMap<u16, Session>,
    /// When batched messages were last released.
    last_release: u64,
}

impl PeerSessions {
    /// Ends all sessions: to the others we are another process now.
    pub(super) fn clear(&mut self) {
        self.sessions.clear();
    }

    /// Bytes that peers have not acknowledged.
    pub(super) fn unacknowledged_bytes(&self) -> usize {
        self.sessions.values().map(Session::unacknowledged_bytes).sum()
    }

    /// Releases batched messages that have waited long enough.
    pub(super) fn release_due(&mut self, now: u64) {
        if now >= self.last_release + BATCH_INTERVAL {
            self.last_release = now;
            self.release_all();
        }
    }

    fn release_all(&mut self) {
        self.sessions.values_mut().for_each(Session::release_batch);
    }

    /// Ordinals of the peers that lag (`true`) or have caught up (`false`); those in between stay as they were.
    pub(super) fn lagging_changes(&self) -> impl Iterator<Item = (u16, bool)> {
        self.sessions.iter().filter_map(|(&ordinal, session)| {
            let bytes = session.unacknowledged_bytes();
            let unchanged = (MAX_UNACKNOWLEDGED / 2..=MAX_UNACKNOWLEDGED).contains(&bytes);
            (!unchanged).then_some((ordinal, bytes > MAX_UNACKNOWLEDGED))
        })
    }

    /// The session with exactly this process.
    fn with(&mut self, peer: ProcessId) -> Option<&mut Session> {
        self.sessions.get_mut(&peer.ordinal).filter(|session| session.peer() == peer)
    }

    /// The session with a process, which supersedes one with an earlier incarnation; `None`: a later one is known.
    fn open(&mut self, peer: ProcessId) -> Option<&mut Session> {
        let session = self.sessions.entry(peer.ordinal).or_insert_with(|| Session::new(peer));
        if session.peer().incarnation > peer.incarnation {
            return None;
        }
        if session.peer() != peer {
            *session = Session::new(peer);
        }
        Some(session)
    }
}

impl JobFailover {
    /// The first frame on a connection.
    pub fn hello(&self) -> Frame {
        Frame::Hello { from: self.local, zone: self.zone }
    }

    /// This process.
    pub fn local(&self) -> ProcessId {
        self.local
    }

    /// A process has identified itself on a connection; returns the second frame for it. `None`: a later incarnation is
    /// known, and the connection is to be closed.
    pub fn accept_peer(&mut self, peer: ProcessId, zone: u32) -> Option<Frame> {
        let session = self.sessions.open(peer)?;
        self.failover.set_zone(peer.ordinal, zone);
        Some(session.on_connected())
    }

    /// Handles a frame of a peer that has identified itself.
    pub fn handle_frame(&mut self, peer: ProcessId, frame: Frame) -> Result<(), LinkError> {
        let session = self.sessions.with(peer).ok_or(LinkError::Superseded)?;
        let message = session.handle_frame(frame).map_err(LinkError::Protocol)?;
        if let Some(message) = message {
            self.failover.handle_message(micros(), peer, message);
        }
        Ok(())
    }

    /// A connection is closed.
    pub fn link_closed(&mut self, peer: ProcessId) {
        if let Some(session) = self.sessions.with(peer) {
            session.on_disconnected();
        }
    }

    /// Sends a message to another process, now or once there is a link.
    pub fn send(&mut self, to: ProcessId, message: Message, urgent: bool) {
        if let Some(session) = self.sessions.open(to) {
            session.enqueue(message, urgent);
        }
    }

    /// The next frame for a peer.
    pub fn poll_frame(&mut self, peer: ProcessId) -> Option<Frame> {
        self.sessions.with(peer)?.poll_frame()
    }

    /// Releases all batched messages; whether all have been given to the links that are up.
    pub fn flush(&mut self) -> bool {
        self.sessions.release_all();
        self.sessions.sessions.values().all(Session::is_flushed)
    }
}
