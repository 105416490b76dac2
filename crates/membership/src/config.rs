//! The intervals and timeouts of SWIM by cluster size, and foca's configuration.

use crate::{MAX_MESSAGE_BYTES, Millis};
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members that gossip is sent to at once.
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).expect("three");
/// Members asked to probe a third one that has not answered. At 30% loss a round trip through another works one time in
/// four: of three all fail so often that a cluster of 40 should have some 22 suspicions a second (reckoned), and has 24
/// false deaths an hour; of six, none in an hour (measured).
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(6).expect("six");
/// How often an update is transmitted: this, and so many for each gossip round that it takes to reach all. It must last
/// as long as a suspicion: each round goes to three, so that small clusters used up ten transmissions in 0.7 s (66 false
/// deaths an hour in a cluster of four at 30% loss).
const MIN_TRANSMISSIONS: u8 = 40;
const TRANSMISSIONS_PER_ROUND: u8 = 6;

/// Intervals and timeouts of SWIM, each in milliseconds by the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimConfig {
    /// Between two probes that a process sends, each to one other.
    pub probe_interval: Millis,
    /// How long an answer to a probe may take; then others are asked to probe.
    pub probe_timeout: Millis,
    /// How long a suspect process has to refute the suspicion.
    pub suspicion_timeout: Millis,
    /// Between two rounds of gossip.
    pub gossip_interval: Millis,
    /// Between two requests for the whole membership, each to one other, so that partitions join again.
    pub announce_interval: Millis,
    /// How long a down process is remembered, so that late messages do not bring it back.
    pub down_retention: Millis,
}

impl SwimConfig {
    /// For a cluster of so many schedulers. A suspicion must reach the suspect and its refutation must come round before
    /// it is declared down: both travel by gossip, in rounds that grow with the logarithm of the number; at 30% loss a
    /// round reaches half as many. Figures: docs/measurements/leases.md.
    pub fn for_cluster_size(schedulers: usize) -> SwimConfig {
        SwimConfig {
            probe_interval: 400.0,
            probe_timeout: 150.0,
            suspicion_timeout: 3_000.0 + 800.0 * gossip_rounds(schedulers),
            gossip_interval: 200.0,
            announce_interval: 2_000.0,
            down_retention: 60_000.0,
        }
    }

    /// The same as foca reads it.
    pub(crate) fn to_foca(self, schedulers: usize) -> Config {
        let to_one =
            |interval| Some(PeriodicParams { frequency: duration(interval), num_members: NonZeroUsize::MIN });
        let to_fanout =
            |interval| Some(PeriodicParams { frequency: duration(interval), num_members: GOSSIP_FANOUT });
        Config {
            probe_period: duration(self.probe_interval),
            probe_rtt: duration(self.probe_timeout),
            num_indirect_probes: INDIRECT_PROBES,
            max_transmissions: max_transmissions(schedulers),
            suspect_to_down_after: duration(self.suspicion_timeout),
            remove_down_after: Some(duration(self.down_retention)),
            max_packet_size: NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: to_one(self.announce_interval),
            periodic_announce_to_down_members: to_one(2.0 * self.announce_interval),
            periodic_gossip: to_fanout(self.gossip_interval),
        }
    }
}

/// The rounds in which gossip reaches all, by the logarithm of their number.
fn gossip_rounds(schedulers: usize) -> f64 {
    (schedulers.max(2) as f64).log2()
}

fn max_transmissions(schedulers: usize) -> NonZeroU8 {
    let rounds = gossip_rounds(schedulers).ceil() as u8;
    NonZeroU8::new(MIN_TRANSMISSIONS + TRANSMISSIONS_PER_ROUND * rounds).unwrap_or(NonZeroU8::MIN)
}

fn duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
