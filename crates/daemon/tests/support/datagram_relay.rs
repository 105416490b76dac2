//! Relays datagrams between two schedulers, and drops some.

use super::{Scheduler, ms};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// No datagram between schedulers is longer.
const MAX_DATAGRAM_BYTES: usize = 512;

/// Decides by a datagram's bytes whether it is dropped.
pub type IsLost = Box<dyn FnMut(&[u8]) -> bool + Send>;

/// Forwards datagrams between two schedulers until this value is dropped.
pub struct DatagramRelay {
    stopped: Arc<AtomicBool>,
    /// Number of datagrams from the first scheduler to the second that were dropped.
    pub lost: Arc<AtomicUsize>,
}

impl DatagramRelay {
    /// Relays between two schedulers; `is_lost` applies to the datagrams that the first sends to the second.
    pub fn start(first: &Scheduler, second: &Scheduler, is_lost: IsLost) -> DatagramRelay {
        let relay = DatagramRelay { stopped: Arc::default(), lost: Arc::default() };
        relay.forward(first, second, is_lost);
        relay.forward(second, first, Box::new(|_| false));
        relay
    }

    fn forward(&self, from: &Scheduler, to: &Scheduler, mut is_lost: IsLost) {
        let (receiver, sender) = (clone(&from.peer), clone(&to.peer));
        let (address, stopped, lost) = (to.peer_address, Arc::clone(&self.stopped), Arc::clone(&self.lost));
        receiver.set_read_timeout(Some(ms(20))).expect("set_read_timeout");
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let mut buffer = [0; MAX_DATAGRAM_BYTES];
                let Ok(length) = receiver.recv(&mut buffer) else { continue };
                match is_lost(&buffer[..length]) {
                    true => _ = lost.fetch_add(1, Ordering::Relaxed),
                    false => send(&sender, &buffer[..length], address),
                }
            }
        });
    }
}

fn clone(socket: &UdpSocket) -> UdpSocket {
    socket.try_clone().expect("a descriptor")
}

fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    // The receiving process may have exited.
    let _ = socket.send_to(datagram, to);
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
