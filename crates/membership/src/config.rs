//! SWIM's intervals and timeouts for a cluster size, and the foca configuration built from them.

use crate::{MAX_MESSAGE_BYTES, Millis};
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Number of members that each round of gossip is sent to.
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
/// Number of members that are asked to probe a member that has not answered (SWIM's ping-req). At 30% loss an
/// indirect probe succeeds one time in four. A cluster of 40 had 24 false positives an hour with three
/// indirect probes, and none with six; the calculated rate with three is some 22 suspicions a second.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(6).expect("not zero");
/// Minimum number of transmissions of an update on a member, whatever the size of the cluster. An update must
/// be gossiped for as long as a suspicion lasts: ten transmissions, three in each round, were used up after
/// 0.7 s, with 66 false positives an hour in a cluster of four at 30% loss.
const MIN_TRANSMISSIONS: u8 = 40;
/// Additional transmissions of an update, for each of the [`gossip_rounds`].
const TRANSMISSIONS_PER_ROUND: u8 = 6;

/// SWIM's intervals and timeouts, in milliseconds of the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwimConfig {
    /// Time between two probes by a process. Each probe goes to one other process.
    pub probe_interval: Millis,
    /// How long to wait for the answer to a probe before others are asked to probe.
    pub probe_timeout: Millis,
    /// How long a suspect process has to refute the suspicion before it is declared down.
    pub suspicion_timeout: Millis,
    /// Time between two rounds of gossip.
    pub gossip_interval: Millis,
    /// Time between two requests for the state of all members, each sent to one other process. They let the
    /// parts of a cluster find each other after a partition.
    pub announce_interval: Millis,
    /// How long a down process is remembered, so that late messages do not make it a member again.
    pub down_retention: Millis,
}

impl SwimConfig {
    /// Settings for a cluster of this many schedulers. The suspicion timeout grows with the number of gossip
    /// rounds: the suspicion must reach the suspect, and the refutation all others, before the suspect is
    /// declared down, and at 30% loss each round reaches half as many. Measurements:
    /// docs/measurements/leases.md.
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

    /// The foca configuration for a cluster of this many schedulers.
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

/// Number of rounds in which gossip reaches all schedulers: the binary logarithm of their number.
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
