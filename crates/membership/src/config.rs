//! The intervals and timeouts of SWIM by cluster size, and foca's configuration.

use crate::{MAX_MESSAGE_BYTES, Millis};
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Number of members that one round of gossip is sent to.
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
/// Number of members that are asked to probe one that has not answered (SWIM's ping-req). At 30% loss an indirect probe
/// succeeds one time in four. With three of them a cluster of 40 had 24 false deaths an hour, with six none (measured;
/// the expected rate with three is some 22 suspicions a second).
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(6).expect("not zero");
/// An update on a member is transmitted this often, whatever the cluster's size. It must be gossiped for as long as a
/// suspicion lasts: ten transmissions, three in each round, were over after 0.7 s (66 false deaths an hour in a cluster
/// of four at 30% loss).
const MIN_TRANSMISSIONS: u8 = 40;
/// Further transmissions of an update, for each of the [`gossip_rounds`].
const TRANSMISSIONS_PER_ROUND: u8 = 6;

/// Intervals and timeouts of SWIM, each in milliseconds by the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimConfig {
    /// Time between two probes by a process, each of one other.
    pub probe_interval: Millis,
    /// How long an answer to a probe may take; then others are asked to probe.
    pub probe_timeout: Millis,
    /// How long a suspect process has to refute the suspicion.
    pub suspicion_timeout: Millis,
    /// Time between two rounds of gossip.
    pub gossip_interval: Millis,
    /// Time between two requests for the whole membership, each to one other, so that partitions join again.
    pub announce_interval: Millis,
    /// How long a down process is remembered, so that late messages do not bring it back.
    pub down_retention: Millis,
}

impl SwimConfig {
    /// The times for a cluster of so many schedulers. The suspicion timeout grows with the number of gossip rounds: a suspicion
    /// must reach the suspect, and its refutation all others, before it is declared down, and at 30% loss each round
    /// reaches half as many. Figures: docs/measurements/leases.md.
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

    /// foca's configuration for a cluster of so many schedulers.
    pub(crate) fn to_foca(self, schedulers: usize) -> Config {
        let to_members =
            |num_members, interval| Some(PeriodicParams { frequency: duration(interval), num_members });
        let to_one = |interval| to_members(NonZeroUsize::MIN, interval);
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
            periodic_gossip: to_members(GOSSIP_FANOUT, self.gossip_interval),
        }
    }
}

/// Rounds in which gossip reaches all schedulers: the logarithm of their number.
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
