//! Carries the datagrams between two schedulers, and loses some.

use super::{Scheduler, ms};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Longer than any datagram between schedulers.
const MAX_DATAGRAM_BYTES: usize = 512;

/// Whether a datagram is lost, by its bytes.
pub type IsLost = Box<dyn FnMut(&[u8]) -> bool + Send>;

/// Carries the datagrams of two schedulers to one another until it is dropped.
pub struct DatagramRelay {
    stopped: Arc<AtomicBool>,
    /// Datagrams that were lost on the way from the first scheduler to the second.
    pub lost: Arc<AtomicUsize>,
}

impl DatagramRelay {
    /// Connects two schedulers; `is_lost` judges what the first sends to the second.
    pub fn start(first: &Scheduler, second: &Scheduler, is_lost: IsLost) -> DatagramRelay {
        let relay = DatagramRelay { stopped: Arc::default(), lost: Arc::default() };
        relay.carry(first, second, is_lost);
        relay.carry(second, first, Box::new(|_| false));
        relay
    }

    fn carry(&self, from: &Scheduler, to: &Scheduler, mut is_lost: IsLost) {
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
    // The receiver may have ended.
    let _ = socket.send_to(datagram, to);
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
