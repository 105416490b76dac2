//! Failover sessions with the other schedulers. Their frames are sent over the connections of `peer_links`.

use super::{JobFailover, micros};
use brackenledge_failover::{Frame, Message, ProcessId, Session, SessionError};
use std::collections::BTreeMap;

/// A peer with more unacknowledged bytes than this counts as lagging, until fewer than half of this are left.
const MAX_UNACKNOWLEDGED: usize = 4 << 20;

/// Messages that are not urgent are batched until the next urgent message or for at most this long, in
/// microseconds. Each scheduler has a link to every other one, so short intervals send many small batches: at
/// 20 ms, twelve schedulers used 2.0 times the processor time of a cluster without failover; the target is
/// 1.4 times.
const BATCH_INTERVAL: u64 = 200_000;

/// Why a frame requires its link to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// There is no session with this process any more, for example since a later incarnation of the peer is
    /// known.
    Superseded,
    /// The frame violates the protocol.
    Protocol(SessionError),
}

/// The session with each known scheduler, by ordinal.
#[derive(Default)]
pub(super) struct PeerSessions {
    sessions: BTreeMap<u16, Session>,
    /// When the batches of all sessions were last released by [`PeerSessions::release_due`], in microseconds.
    last_release: u64,
}

impl PeerSessions {
    /// Discards all sessions. Used after this process got a new incarnation, which needs sessions of its own.
    pub(super) fn clear(&mut self) {
        self.sessions.clear();
    }

    /// Total number of bytes that peers have not acknowledged.
    pub(super) fn unacknowledged_bytes(&self) -> usize {
        self.sessions.values().map(Session::unacknowledged_bytes).sum()
    }

    /// Releases all batched messages if the batch interval has passed.
    pub(super) fn release_due(&mut self, now: u64) {
        if now >= self.last_release + BATCH_INTERVAL {
            self.last_release = now;
            self.release_all();
        }
    }

    fn release_all(&mut self) {
        self.sessions.values_mut().for_each(Session::release_batch);
    }

    /// Ordinals of the peers that lag (`true`) or have caught up (`false`). Peers in between keep their
    /// status and are omitted.
    pub(super) fn lagging_changes(&self) -> impl Iterator<Item = (u16, bool)> {
        self.sessions.iter().filter_map(|(&ordinal, session)| {
            let bytes = session.unacknowledged_bytes();
            let unchanged = (MAX_UNACKNOWLEDGED / 2..=MAX_UNACKNOWLEDGED).contains(&bytes);
            (!unchanged).then_some((ordinal, bytes > MAX_UNACKNOWLEDGED))
        })
    }

    /// The session with this process; `None` if there is none or it is with another incarnation.
    fn with(&mut self, peer: ProcessId) -> Option<&mut Session> {
        self.sessions.get_mut(&peer.ordinal).filter(|session| session.peer() == peer)
    }

    /// Returns the session with a process, creating it or replacing that of an earlier incarnation. Returns
    /// `None` if a later incarnation is known.
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
    /// The first frame to send on a connection, which identifies this process.
    pub fn hello(&self) -> Frame {
        Frame::Hello { from: self.local, zone: self.zone }
    }

    /// The identity of this process, with its current incarnation.
    pub fn local(&self) -> ProcessId {
        self.local
    }

    /// Accepts a peer that identified itself on a connection. Returns the frame to send next, or `None` if a
    /// later incarnation of the peer is known and the connection is to be closed.
    pub fn accept_peer(&mut self, peer: ProcessId, zone: u32) -> Option<Frame> {
        let session = self.sessions.open(peer)?;
        self.failover.set_zone(peer.ordinal, zone);
        Some(session.on_connected())
    }

    /// Handles a frame from a peer that has identified itself.
    pub fn handle_frame(&mut self, peer: ProcessId, frame: Frame) -> Result<(), LinkError> {
        let session = self.sessions.with(peer).ok_or(LinkError::Superseded)?;
        let message = session.handle_frame(frame).map_err(LinkError::Protocol)?;
        if let Some(message) = message {
            self.failover.handle_message(micros(), peer, message);
        }
        Ok(())
    }

    /// The connection with the peer was closed.
    pub fn link_closed(&mut self, peer: ProcessId) {
        if let Some(session) = self.sessions.with(peer) {
            session.on_disconnected();
        }
    }

    /// Queues a message for another process. It is sent once there is a link; one that is not urgent may be
    /// batched.
    pub fn send(&mut self, to: ProcessId, message: Message, urgent: bool) {
        if let Some(session) = self.sessions.open(to) {
            session.enqueue(message, urgent);
        }
    }

    /// The next frame to send to a peer, if any.
    pub fn poll_frame(&mut self, peer: ProcessId) -> Option<Frame> {
        self.sessions.with(peer)?.poll_frame()
    }

    /// Releases all batched messages. Returns whether the sessions that have a connection have no frame left
    /// to send.
    pub fn flush(&mut self) -> bool {
        self.sessions.release_all();
        self.sessions.sessions.values().all(Session::is_flushed)
    }
}
