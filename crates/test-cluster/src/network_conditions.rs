//! Emulated network conditions of a link, for each direction separately. No I/O; callers pass the time.

use crate::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// The conditions of one direction of a link. The default passes everything at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkConditions {
    /// Nothing arrives: datagrams are lost, bytes of open connections are held back, new connections are
    /// never established.
    pub blackhole: bool,
    /// Fixed part of the latency.
    pub delay: Millis,
    /// Upper bound of the random part of the latency, which is uniformly distributed.
    pub jitter: Millis,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice, the second time after a further delay.
    pub duplicate: f64,
    /// Fraction of datagrams that arrive so late that later ones overtake them.
    pub reorder: f64,
    /// Bandwidth of each connection in bytes per second; 0: unlimited.
    pub bytes_per_s: f64,
    /// Each connection is reset after this many bytes in this direction.
    pub cut_at_byte: Option<u64>,
}

/// Additional latency of reordered datagrams and of duplicates: longer than a few datagrams take.
const REORDER_DELAY: Millis = 40.0;

impl NetworkConditions {
    /// The conditions when two faults affect the same link.
    pub fn combined_with(&self, other: &NetworkConditions) -> NetworkConditions {
        let probability_of_either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        let lower_rate = |a: f64, b: f64| if a == 0.0 || (b != 0.0 && b < a) { b } else { a };
        NetworkConditions {
            blackhole: self.blackhole || other.blackhole,
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            loss: probability_of_either(self.loss, other.loss),
            duplicate: probability_of_either(self.duplicate, other.duplicate),
            reorder: probability_of_either(self.reorder, other.reorder),
            bytes_per_s: lower_rate(self.bytes_per_s, other.bytes_per_s),
            cut_at_byte: match (self.cut_at_byte, other.cut_at_byte) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
        }
    }

    fn latency(&self, rng: &mut ChaCha8Rng) -> Millis {
        self.delay + if self.jitter > 0.0 { rng.random_range(0.0..self.jitter) } else { 0.0 }
    }

    /// Arrival times of a datagram sent now: none if it is lost, two if it is duplicated.
    pub fn arrivals(&self, now: Millis, rng: &mut ChaCha8Rng) -> Vec<Millis> {
        // Draws all random numbers whatever the outcome, so that a fault on one link does not change those of
        // the others.
        let (loss, duplicate, reorder) = (rng.random::<f64>(), rng.random::<f64>(), rng.random::<f64>());
        let (first, second) = (self.latency(rng), self.latency(rng));
        if self.blackhole || loss < self.loss {
            return Vec::new();
        }
        let reorder_delay = if reorder < self.reorder { REORDER_DELAY } else { 0.0 };
        let mut arrivals = vec![now + first + reorder_delay];
        if duplicate < self.duplicate {
            arrivals.push(now + first + second + REORDER_DELAY);
        }
        arrivals
    }
}

/// A unit of transfer on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// Data of the byte stream.
    Bytes(Vec<u8>),
    /// The sender has shut down its side.
    End,
    /// The connection is reset.
    Reset,
}

/// One direction of a connection: a queue of the packets in transit, delivered in order.
#[derive(Debug, Default)]
pub struct Pipe {
    queue: VecDeque<(Millis, Packet)>,
    /// Arrival of the last packet in the queue. Later packets arrive no earlier.
    last_arrival: Millis,
    /// When the bandwidth limit admits the next byte.
    next_byte_at: Millis,
    passed_bytes: u64,
    is_cut: bool,
}

impl Pipe {
    /// Enqueues a packet that is sent now. Packets after the byte at which the connection is cut are dropped.
    pub fn push(
        &mut self,
        now: Millis,
        packet: Packet,
        conditions: &NetworkConditions,
        rng: &mut ChaCha8Rng,
    ) {
        if self.is_cut {
            return;
        }
        let mut arrival = (now + conditions.latency(rng)).max(self.last_arrival);
        let mut packet = packet;
        if let Packet::Bytes(bytes) = &mut packet {
            if conditions.bytes_per_s > 0.0 {
                let duration = bytes.len() as f64 / conditions.bytes_per_s * 1_000.0;
                self.next_byte_at = self.next_byte_at.max(now) + duration;
                arrival = arrival.max(self.next_byte_at);
            }
            self.cut(bytes, conditions);
        }
        self.last_arrival = arrival;
        self.queue.push_back((arrival, packet));
        if self.is_cut {
            self.queue.push_back((arrival, Packet::Reset));
        }
    }

    /// Counts the bytes sent, and truncates at the byte at which the connection is cut.
    fn cut(&mut self, bytes: &mut Vec<u8>, conditions: &NetworkConditions) {
        let left = conditions.cut_at_byte.map(|max| max.saturating_sub(self.passed_bytes) as usize);
        self.passed_bytes += bytes.len() as u64;
        if let Some(left) = left.filter(|&left| left < bytes.len()) {
            bytes.truncate(left);
            self.is_cut = true;
        }
    }

    /// When the next packet arrives; `None` if nothing is in transit, or in a blackhole.
    pub fn next_arrival(&self, conditions: &NetworkConditions) -> Option<Millis> {
        self.queue.front().filter(|_| !conditions.blackhole).map(|front| front.0)
    }

    /// Removes the next packet, if it has arrived by now.
    pub fn take(&mut self, now: Millis, conditions: &NetworkConditions) -> Option<Packet> {
        self.next_arrival(conditions).filter(|&arrival| arrival <= now)?;
        self.queue.pop_front().map(|front| front.1)
    }
}
