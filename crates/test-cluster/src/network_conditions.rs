//! What a link does to what travels on it, one direction at a time. No I/O, no clock.

use crate::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// The state of one direction of one link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkConditions {
    /// Nothing arrives: datagrams are lost, bytes of a connection wait, new connections never come up.
    pub blackhole: bool,
    /// Latency.
    pub delay: Millis,
    /// At most this much more latency, uniformly distributed.
    pub jitter: Millis,
    /// Fraction of the datagrams that never arrive.
    pub loss: f64,
    /// Fraction of the datagrams that arrive twice, the second one after another delay.
    pub duplicate: f64,
    /// Fraction of the datagrams that later ones overtake.
    pub reorder: f64,
    /// Bytes of connections that pass in a second; 0: no bound.
    pub bytes_per_s: f64,
    /// Connections are reset once so many bytes have passed in this direction.
    pub cut_at_byte: Option<u64>,
}

/// A datagram that is overtaken is late by this much beyond its delay: longer than a few datagrams take.
const REORDER_DELAY: Millis = 40.0;

impl NetworkConditions {
    /// Both at once.
    pub fn combined_with(&self, other: &NetworkConditions) -> NetworkConditions {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        let slower = |a: f64, b: f64| if a == 0.0 || (b != 0.0 && b < a) { b } else { a };
        NetworkConditions {
            blackhole: self.blackhole || other.blackhole,
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            loss: either(self.loss, other.loss),
            duplicate: either(self.duplicate, other.duplicate),
            reorder: either(self.reorder, other.reorder),
            bytes_per_s: slower(self.bytes_per_s, other.bytes_per_s),
            cut_at_byte: match (self.cut_at_byte, other.cut_at_byte) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
        }
    }

    fn latency(&self, rng: &mut ChaCha8Rng) -> Millis {
        self.delay + if self.jitter > 0.0 { rng.random_range(0.0..self.jitter) } else { 0.0 }
    }

    /// When a datagram sent now arrives: never, once, or twice.
    pub fn arrivals(&self, now: Millis, rng: &mut ChaCha8Rng) -> Vec<Millis> {
        // All numbers are drawn whatever comes of them, so that one link's fault does not change the others' numbers.
        let (lost, twice, late) = (rng.random::<f64>(), rng.random::<f64>(), rng.random::<f64>());
        let (first, second) = (self.latency(rng), self.latency(rng));
        if self.blackhole || lost < self.loss {
            return Vec::new();
        }
        let overtaken = if late < self.reorder { REORDER_DELAY } else { 0.0 };
        let mut arrivals = vec![now + first + overtaken];
        if twice < self.duplicate {
            arrivals.push(now + first + second + REORDER_DELAY);
        }
        arrivals
    }
}

/// What travels on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// Bytes, in order.
    Bytes(Vec<u8>),
    /// The sender sends no more.
    End,
    /// The connection is gone.
    Reset,
}

/// One direction of a connection: holds what is in transit, in order.
#[derive(Debug, Default)]
pub struct Pipe {
    queue: VecDeque<(Millis, Packet)>,
    /// When the last packet arrives; none overtakes another.
    last_arrival: Millis,
    /// When the throttle admits the next byte.
    free_at: Millis,
    passed_bytes: u64,
    is_cut: bool,
}

impl Pipe {
    /// Takes what is sent now.
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
                self.free_at = self.free_at.max(now) + duration;
                arrival = arrival.max(self.free_at);
            }
            self.cut(bytes, conditions);
        }
        self.last_arrival = arrival;
        self.queue.push_back((arrival, packet));
        if self.is_cut {
            self.queue.push_back((arrival, Packet::Reset));
        }
    }

    /// Counts bytes, and drops those beyond the byte at which the connection is cut.
    fn cut(&mut self, bytes: &mut Vec<u8>, conditions: &NetworkConditions) {
        let left = conditions.cut_at_byte.map(|max| max.saturating_sub(self.passed_bytes) as usize);
        self.passed_bytes += bytes.len() as u64;
        if let Some(left) = left.filter(|&left| left < bytes.len()) {
            bytes.truncate(left);
            self.is_cut = true;
        }
    }

    /// When something arrives next; `None` while nothing does.
    pub fn next_arrival(&self, conditions: &NetworkConditions) -> Option<Millis> {
        self.queue.front().filter(|_| !conditions.blackhole).map(|front| front.0)
    }

    /// What has arrived by now.
    pub fn take(&mut self, now: Millis, conditions: &NetworkConditions) -> Option<Packet> {
        self.next_arrival(conditions).filter(|&arrival| arrival <= now)?;
        self.queue.pop_front().map(|front| front.1)
    }
}
