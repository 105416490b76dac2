//! What a link does to what travels on it, one direction at a time. No I/O, no clock.

use crate::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// The state of one direction of one link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weather {
    /// Nothing arrives: datagrams are lost, bytes of a connection wait, new connections never come up.
    pub silent: bool,
    /// Time on the way.
    pub delay: Millis,
    /// At most so much more, even over its range.
    pub jitter: Millis,
    /// Part of the datagrams that never arrive.
    pub loss: f64,
    /// Part of the datagrams that arrive twice, the second after another delay.
    pub duplicate: f64,
    /// Part of the datagrams that later ones overtake.
    pub reorder: f64,
    /// Bytes of connections that pass in a second; 0: no bound.
    pub bytes_per_s: f64,
    /// Connections are reset once so many bytes have passed this way.
    pub cut_at_byte: Option<u64>,
}

/// An overtaken datagram is late by this much, beyond its delay: longer than a few datagrams take.
const REORDERED: Millis = 40.0;

impl Weather {
    /// Both at once.
    pub fn with(&self, other: &Weather) -> Weather {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        let slower = |a: f64, b: f64| if a == 0.0 || (b != 0.0 && b < a) { b } else { a };
        Weather {
            silent: self.silent || other.silent,
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

    fn on_the_way(&self, rng: &mut ChaCha8Rng) -> Millis {
        self.delay + if self.jitter > 0.0 { rng.random_range(0.0..self.jitter) } else { 0.0 }
    }

    /// When a datagram sent now arrives: never, once, or twice.
    pub fn arrivals(&self, now: Millis, rng: &mut ChaCha8Rng) -> Vec<Millis> {
        // All draws are made whatever comes of them, so that one link's fault leaves the others' draws alone.
        let (lost, twice, late) = (rng.random::<f64>(), rng.random::<f64>(), rng.random::<f64>());
        let (first, second) = (self.on_the_way(rng), self.on_the_way(rng));
        if self.silent || lost < self.loss {
            return Vec::new();
        }
        let overtaken = if late < self.reorder { REORDERED } else { 0.0 };
        let mut arrivals = vec![now + first + overtaken];
        if twice < self.duplicate {
            arrivals.push(now + first + second + REORDERED);
        }
        arrivals
    }
}

/// What travels on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Parcel {
    /// Bytes, in order.
    Bytes(Vec<u8>),
    /// The sender sends no more.
    End,
    /// The connection is gone.
    Reset,
}

/// One direction of a connection: holds what is on the way, in order.
#[derive(Debug, Default)]
pub struct Pipe {
    queue: VecDeque<(Millis, Parcel)>,
    /// When the last parcel arrives; none overtakes another.
    last: Millis,
    /// When the throttle lets the next byte in.
    free: Millis,
    passed: u64,
    cut: bool,
}

impl Pipe {
    /// Takes what was sent now.
    pub fn push(&mut self, now: Millis, parcel: Parcel, weather: &Weather, rng: &mut ChaCha8Rng) {
        if self.cut {
            return;
        }
        let mut due = (now + weather.on_the_way(rng)).max(self.last);
        let mut parcel = parcel;
        if let Parcel::Bytes(bytes) = &mut parcel {
            if weather.bytes_per_s > 0.0 {
                self.free = self.free.max(now) + bytes.len() as f64 / weather.bytes_per_s * 1_000.0;
                due = due.max(self.free);
            }
            let left = weather.cut_at_byte.map(|most| most.saturating_sub(self.passed) as usize);
            self.passed += bytes.len() as u64;
            if let Some(left) = left.filter(|&left| left < bytes.len()) {
                bytes.truncate(left);
                self.cut = true;
            }
        }
        self.last = due;
        self.queue.push_back((due, parcel));
        if self.cut {
            self.queue.push_back((due, Parcel::Reset));
        }
    }

    /// When something arrives next; `None` while nothing does.
    pub fn next(&self, weather: &Weather) -> Option<Millis> {
        self.queue.front().filter(|_| !weather.silent).map(|front| front.0)
    }

    /// What has arrived by now.
    pub fn take(&mut self, now: Millis, weather: &Weather) -> Option<Parcel> {
        self.next(weather).filter(|&due| due <= now)?;
        self.queue.pop_front().map(|front| front.1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn rng() -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(1)
    }

    #[test]
    fn datagrams_are_lost_doubled_and_overtaken_in_the_parts_asked_for() {
        let mut rng = rng();
        let table = [
            (Weather { loss: 0.3, ..Weather::default() }, 0.7),
            (Weather { duplicate: 0.2, ..Weather::default() }, 1.2),
            (Weather { silent: true, ..Weather::default() }, 0.0),
            (Weather { loss: 1.0, ..Weather::default() }, 0.0),
        ];
        for (weather, mean) in table {
            let arrived: usize = (0..10_000).map(|_| weather.arrivals(0.0, &mut rng).len()).sum();
            assert!((arrived as f64 / 10_000.0 - mean).abs() < 0.02, "{weather:?}: {arrived}");
        }
        let weather = Weather { delay: 5.0, jitter: 10.0, reorder: 0.25, ..Weather::default() };
        let times: Vec<f64> = (0..10_000).flat_map(|_| weather.arrivals(100.0, &mut rng)).collect();
        assert!(times.iter().all(|t| (105.0..=155.0).contains(t)));
        let late = times.iter().filter(|&&t| t >= 145.0).count();
        assert!((2_200..2_800).contains(&late), "{late}");
    }

    #[test]
    fn a_connection_keeps_its_order_holds_while_silent_and_is_cut_at_its_byte() {
        let mut rng = rng();
        let slow = Weather { delay: 10.0, jitter: 20.0, ..Weather::default() };
        let mut pipe = Pipe::default();
        for byte in 0..50_u8 {
            pipe.push(f64::from(byte), Parcel::Bytes(vec![byte]), &slow, &mut rng);
        }
        let silent = Weather { silent: true, ..slow.clone() };
        assert_eq!(pipe.take(1_000.0, &silent), None);
        assert_eq!(pipe.take(5.0, &slow), None, "not before its time");
        for byte in 0..50_u8 {
            assert_eq!(pipe.take(1_000.0, &slow), Some(Parcel::Bytes(vec![byte])));
        }
        let cut = Weather { cut_at_byte: Some(3), ..Weather::default() };
        let mut pipe = Pipe::default();
        pipe.push(0.0, Parcel::Bytes(vec![1, 2]), &cut, &mut rng);
        pipe.push(0.0, Parcel::Bytes(vec![3, 4]), &cut, &mut rng);
        pipe.push(0.0, Parcel::Bytes(vec![5]), &cut, &mut rng);
        let got: Vec<Parcel> = std::iter::from_fn(|| pipe.take(0.0, &cut)).collect();
        assert_eq!(got, [Parcel::Bytes(vec![1, 2]), Parcel::Bytes(vec![3]), Parcel::Reset]);
    }

    #[test]
    fn a_throttle_spreads_bytes_over_time() {
        let mut rng = rng();
        let weather = Weather { bytes_per_s: 1_000.0, ..Weather::default() };
        let mut pipe = Pipe::default();
        for _ in 0..10 {
            pipe.push(0.0, Parcel::Bytes(vec![0; 100]), &weather, &mut rng);
        }
        let taken = |pipe: &mut Pipe, now| std::iter::from_fn(|| pipe.take(now, &weather)).count();
        assert_eq!((taken(&mut pipe, 501.0), taken(&mut pipe, 1_001.0)), (5, 5));
    }

    #[test]
    fn two_faults_on_one_link_add_up() {
        let a = Weather { delay: 5.0, loss: 0.5, bytes_per_s: 100.0, ..Weather::default() };
        let b = Weather { loss: 0.5, cut_at_byte: Some(9), silent: true, ..Weather::default() };
        let both = a.with(&b);
        assert_eq!((both.delay, both.loss, both.bytes_per_s), (5.0, 0.75, 100.0));
        assert_eq!((both.cut_at_byte, both.silent), (Some(9), true));
    }
}
