//! Observes leases in the datagrams between schedulers: the leader, the holders of role leases, and fenced
//! messages.

use crate::Millis;
use crate::history::HistoryEvent;
use brackenledge_leases::{FencingToken, Message, Role};

/// First byte of a message of the lease protocol.
const LEASE_MESSAGE: u8 = 0xf2;
/// First byte of a fenced message.
const FENCED_MESSAGE: u8 = 0xf3;
/// The role that the target `lease-holder` of a fault refers to.
const FIRST_ROLE: Role = 0;

/// The leader and the first role's lease holder, as last announced by a leader.
#[derive(Debug, Default)]
pub struct RoleMonitor {
    /// The scheduler that last announced itself as the leader; `None` before the first announcement.
    pub leader: Option<usize>,
    /// The scheduler last announced as the holder of the first role's lease.
    pub lease_holder: Option<usize>,
}

impl RoleMonitor {
    /// Decodes a datagram and returns the events to record. `receiver` is `None` when the datagram leaves its
    /// sender, and the receiving scheduler when it is delivered.
    pub fn observe(
        &mut self,
        at: Millis,
        from: usize,
        receiver: Option<usize>,
        datagram: &[u8],
    ) -> Vec<HistoryEvent> {
        match datagram.split_first() {
            Some((&FENCED_MESSAGE, bytes)) => fenced_message(at, from, receiver, bytes).into_iter().collect(),
            Some((&LEASE_MESSAGE, bytes)) => self.view_update(at, from, receiver, bytes),
            _ => Vec::new(),
        }
    }

    /// Handles a view update, in which a leader announces the holders of all roles. View updates from other
    /// members are ignored.
    fn view_update(
        &mut self,
        at: Millis,
        sender: usize,
        receiver: Option<usize>,
        bytes: &[u8],
    ) -> Vec<HistoryEvent> {
        let Ok(Message::ViewUpdate { from, leader, role_grants, .. }) = Message::decode(bytes) else {
            return Vec::new();
        };
        if leader != Some(from) {
            return Vec::new();
        }
        self.leader = Some(sender);
        let mut events = Vec::new();
        for grant in role_grants {
            let holder = usize::from(grant.holder.ordinal);
            if grant.role == FIRST_ROLE {
                self.lease_holder = Some(holder);
            }
            let (role, term) = (grant.role, grant.term);
            events.push(HistoryEvent::RoleAnnounced { at, role, term, holder, receiver });
        }
        events
    }
}

fn fenced_message(at: Millis, sender: usize, receiver: Option<usize>, bytes: &[u8]) -> Option<HistoryEvent> {
    let (token, _) = FencingToken::decode_message(bytes).ok()?;
    Some(HistoryEvent::FencedMessage { at, role: token.role, term: token.term, sender, receiver })
}
