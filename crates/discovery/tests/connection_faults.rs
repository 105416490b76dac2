//! How soon a drain is known despite faults of the connection to discovery, on a virtual clock.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{DiscoverySettings, EndpointDirectory};
use brackenledge_policy::Readiness;
use support::scenarios::{is_ready, settled, time_until_not_ready};
use support::simulated_discovery::{Fault, MAX_LIST_AGE, World, directory, endpoint};

/// Each case is a fault of the only scheduler's connection, its duration, and the time after which a drain
/// that begins with the fault must be known. That time is the sum of the fault's duration, one request to
/// discovery (290 ms), and the time until the watch is late.
#[test]
fn a_drain_is_known_soon_under_every_fault_of_the_connection() {
    for (fault, duration, limit) in [
        (Fault::None, 0.0, 125.0),
        // The connection breaks within an update: another watch is opened at once.
        (Fault::EndMidUpdate, 150.0, 700.0),
        // The rest of an update never arrives: the watch is late after 150 ms.
        (Fault::StallMidUpdate, 150.0, 700.0),
        // Bytes are accepted and never delivered: noticed once a keep-alive is late.
        (Fault::BlackHole, 1_500.0, 3_400.0),
        (Fault::OneWay, 1_500.0, 3_400.0),
        (Fault::RefuseConnections, 300.0, 1_100.0),
        // The watch delivers keep-alives but no updates: noticed only when rotation opens a second watch.
        (Fault::KeepAlivesOnly, 60_000.0, 26_000.0),
    ] {
        let mut world = settled(1, &["a", "b"], false);
        world.set_fault(0, fault);
        let since = world.now;
        world.change(endpoint("a", Readiness::Draining));
        world.run_until(since + if fault == Fault::KeepAlivesOnly { 1.0 } else { duration });
        if fault != Fault::KeepAlivesOnly {
            world.set_fault(0, Fault::None);
        }
        time_until_not_ready(&mut world, 0, "a", limit);
        assert!(world.now - since <= limit, "{fault:?}: known after {} ms", world.now - since);
        assert!(is_ready(&world.nodes[0], "b"));
    }
}

/// A fault of the connection, for the test of all pairs of faults.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionFault {
    /// The open watch falls silent; new requests work.
    Silence,
    /// The open watch is reset, and the next one never delivers a byte.
    SilentFromStart,
    /// The open watch falls silent within an update.
    StallMidUpdate,
    /// The open watch is reset.
    Reset,
    /// Discovery is down for this many seconds.
    Outage(u32),
    /// The open watch is reset, and new connections are refused for 200 ms.
    Refused,
    /// Discovery's address changes.
    AddressChange,
}

impl ConnectionFault {
    /// The time from the start of the fault to when a drain that begins during it counts as received, plus
    /// the time needed to act on it.
    fn max_time_until_known(self) -> f64 {
        match self {
            // The last byte arrived up to one keep-alive interval before the fault.
            Self::Silence | Self::StallMidUpdate | Self::SilentFromStart => 6_000.0,
            Self::AddressChange => 4_000.0,
            Self::Reset => MAX_LIST_AGE,
            // After a failed request the list may be used for four times `ask-within`; half of that, plus the
            // request.
            Self::Refused => 2.0 * MAX_LIST_AGE + 1_000.0,
            Self::Outage(seconds) => 1_000.0 * f64::from(seconds + 1) + 2.0 * MAX_LIST_AGE,
        }
    }

    /// Makes the fault begin and end at the world's only scheduler.
    fn inject(self, world: &mut World<EndpointDirectory>) {
        let since = world.now;
        match self {
            Self::Silence => world.set_fault(0, Fault::BlackHole),
            Self::SilentFromStart => {
                world.set_fault(0, Fault::RefuseConnections);
                world.run_until(since + 2.0);
                world.set_fault(0, Fault::OneWay);
                world.run_until(since + 500.0);
            }
            Self::StallMidUpdate => {
                world.set_fault(0, Fault::StallMidUpdate);
                world.change(endpoint("b", Readiness::Ready));
                world.run_until(since + 140.0);
            }
            Self::Reset => {
                world.set_fault(0, Fault::RefuseConnections);
                world.run_until(since + 2.0);
            }
            Self::Refused => {
                world.set_fault(0, Fault::RefuseConnections);
                world.run_until(since + 200.0);
            }
            Self::Outage(seconds) => {
                world.set_down(true);
                world.run_until(since + 1_000.0 * f64::from(seconds));
                world.set_down(false);
            }
            Self::AddressChange => {
                world.with_node(0, |node, now| node.handle_address_change(now));
                world.set_fault(0, Fault::BlackHole);
            }
        }
        world.set_fault(0, Fault::None);
    }
}

/// One scheduler of a cluster of this size has four faults, and an endpoint begins to drain during each of
/// them.
fn assert_drains_are_known_in_time(count: u16, first: ConnectionFault, second: ConnectionFault) {
    let mut world = World::new(vec![directory(0.0, 0, count, false)], 7);
    world.change(endpoint("a", Readiness::Ready));
    world.change(endpoint("b", Readiness::Ready));
    world.start();
    world.run_until(6_000.0);
    for (round, fault) in [first, second, first, second].into_iter().enumerate() {
        let name = format!("s{round}");
        world.change(endpoint(&name, Readiness::Ready));
        world.run_until(world.now + 3_000.0);
        let known = is_ready(&world.nodes[0], &name);
        assert!(known, "{count} schedulers: {first:?} {second:?} round {round}: no watch works");
        let since = world.now;
        fault.inject(&mut world);
        world.change(endpoint(&name, Readiness::Draining));
        while is_ready(&world.nodes[0], &name) {
            let took = world.now - since;
            let limit = fault.max_time_until_known();
            assert!(took < limit, "{count} schedulers: {first:?} {second:?} round {round}: {took} ms");
            world.run_until(world.now + 10.0);
        }
    }
    // The scheduler may use its burst, its share of discovery's capacity, and six requests for each fault.
    let opened = world.nodes[0].counts().requests as f64;
    let share = (4.0 / f64::from(count)).clamp(0.05, 1.0);
    let limit = 5.0 + share * world.now / 1_000.0 + 4.0 * 6.0;
    assert!(
        opened <= limit,
        "{count} schedulers: {first:?} {second:?}: {opened} requests in {} ms",
        world.now
    );
}

/// Requests use up the scheduler's share of discovery's capacity, so the later faults of a run find no saved
/// tokens.
#[test]
fn a_drain_during_any_fault_of_the_connection_is_known_in_time_in_a_cluster_of_any_size() {
    use ConnectionFault::{AddressChange, Outage, Refused, Reset, Silence, SilentFromStart, StallMidUpdate};
    let singles = [Silence, SilentFromStart, StallMidUpdate, Reset, Refused, AddressChange];
    let outages = [1, 5, 12, 25].map(Outage);
    let all: Vec<ConnectionFault> = singles.into_iter().chain(outages).collect();
    for count in [1, 4, 40, 100, 300] {
        for &first in &all {
            for &second in &all {
                assert_drains_are_known_in_time(count, first, second);
            }
        }
    }
}

/// In push mode, updates that discovery sends after an outage count as received at once.
#[test]
fn in_push_mode_a_drain_at_the_end_of_an_outage_is_known_within_the_grace_period() {
    for (count, seconds, silent) in
        [4, 300].into_iter().flat_map(|n| [(n, 1, false), (n, 25, false), (n, 1, true), (n, 25, true)])
    {
        let settings = DiscoverySettings {
            ordinal: 0,
            schedulers: count,
            gossip: false,
            push_mode: true,
            max_list_age: MAX_LIST_AGE,
            seed: 1,
        };
        let mut world = World::new(vec![EndpointDirectory::new(0.0, settings)], 5);
        (world.service_time, world.max_update_delay) = (5.0, 20.0);
        for name in ["a", "b"] {
            world.change(endpoint(name, Readiness::Ready));
        }
        world.start();
        world.run_until(3_000.0);
        for name in ["a", "b"] {
            assert!(is_ready(&world.nodes[0], name));
            // The service that pushes the list falls silent or ends its watches.
            if silent {
                world.set_fault(0, Fault::OneWay)
            } else {
                world.set_down(true)
            }
            world.run_until(world.now + 1_000.0 * f64::from(seconds));
            world.change(endpoint(name, Readiness::Draining));
            if silent {
                world.set_fault(0, Fault::None)
            } else {
                world.set_down(false)
            }
            time_until_not_ready(&mut world, 0, name, 300.0);
            world.run_until(world.now + 3_000.0);
        }
    }
}
