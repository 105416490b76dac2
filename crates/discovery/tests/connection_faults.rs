//! The endpoint directory and faults of its connection to discovery, on a virtual clock.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::{DiscoverySettings, EndpointDirectory};
use brackenledge_policy::Readiness;
use support::scenarios::{is_ready, settled, time_until_not_ready};
use support::simulated_discovery::{Fault, MAX_LIST_AGE, World, directory, endpoint};

/// One fault of the only scheduler's connection, a drain during it, and by when that must be known. The bounds are the
/// time that the fault itself takes, one request to discovery (290 ms), and the time until the watch is late.
#[test]
fn a_drain_is_known_soon_under_every_fault_of_the_connection() {
    for (fault, lasts, within) in [
        (Fault::None, 0.0, 125.0),
        // The connection breaks within an update: the watch is opened again at once.
        (Fault::EndMidUpdate, 150.0, 700.0),
        // The rest of an update never comes: late after 150 ms.
        (Fault::StallMidUpdate, 150.0, 700.0),
        // Bytes are accepted and never delivered: noticed once a keep-alive is late.
        (Fault::BlackHole, 1_500.0, 3_400.0),
        (Fault::OneWay, 1_500.0, 3_400.0),
        (Fault::RefuseConnections, 300.0, 1_100.0),
        // It sends keep-alives and no news: noticed only by the next second watch.
        (Fault::NoNews, 60_000.0, 26_000.0),
    ] {
        let mut world = settled(1, &["a", "b"], false);
        world.set_fault(0, fault);
        let since = world.now;
        world.change(endpoint("a", Readiness::Draining));
        world.run_until(since + if fault == Fault::NoNews { 1.0 } else { lasts });
        if fault != Fault::NoNews {
            world.set_fault(0, Fault::None);
        }
        time_until_not_ready(&mut world, 0, "a", within);
        assert!(world.now - since <= within, "{fault:?}: {}", world.now - since);
        assert!(is_ready(&world.nodes[0], "b"));
    }
}

/// A fault of the connection in the sweep below.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionFault {
    /// The open watch is silent from now on; new requests work.
    Silence,
    /// It is silent from its first byte on.
    SilentFromTheFirst,
    /// It falls silent within an update.
    MidLine,
    /// It is reset.
    Reset,
    /// Discovery is down for so many seconds.
    Outage(u32),
    /// The watch is reset, and the next connection refused.
    Refused,
    /// Discovery has a new address.
    Moved,
}

impl ConnectionFault {
    /// By when a drain that begins in it counts as received, and what is needed to act on it.
    fn max_time_until_known(self) -> f64 {
        match self {
            // The last byte came up to a keep-alive interval ago.
            Self::Silence | Self::MidLine | Self::SilentFromTheFirst => 6_000.0,
            Self::Moved => 4_000.0,
            Self::Reset => MAX_LIST_AGE,
            // After a failed request the list holds for four times `ask-within`; half of that, and the request.
            Self::Refused => 2.0 * MAX_LIST_AGE + 1_000.0,
            Self::Outage(seconds) => 1_000.0 * f64::from(seconds + 1) + 2.0 * MAX_LIST_AGE,
        }
    }

    /// Lets it begin and end at the world's only scheduler.
    fn occur(self, world: &mut World<EndpointDirectory>) {
        let since = world.now;
        match self {
            Self::Silence => world.set_fault(0, Fault::BlackHole),
            Self::SilentFromTheFirst => {
                world.set_fault(0, Fault::RefuseConnections);
                world.run_until(since + 2.0);
                world.set_fault(0, Fault::OneWay);
                world.run_until(since + 500.0);
            }
            Self::MidLine => {
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
            Self::Moved => {
                world.with_node(0, |node, now| node.handle_address_change(now));
                world.set_fault(0, Fault::BlackHole);
            }
        }
        world.set_fault(0, Fault::None);
    }
}

/// One scheduler of a cluster of this size has four faults, during each of which an endpoint begins to drain.
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
        assert!(known, "{count}: {first:?} {second:?} round {round}: no watch works");
        let since = world.now;
        fault.occur(&mut world);
        world.change(endpoint(&name, Readiness::Draining));
        while is_ready(&world.nodes[0], &name) {
            let took = world.now - since;
            let limit = fault.max_time_until_known();
            assert!(took < limit, "{count}: {first:?} {second:?} round {round}: {took} ms");
            world.run_until(world.now + 10.0);
        }
    }
    // What it costs: no more than its part of what discovery handles, and one request for each fault.
    let opened = world.nodes[0].counts().requests as f64;
    let part = (4.0 / f64::from(count)).clamp(0.05, 1.0);
    let limit = 5.0 + part * world.now / 1_000.0 + 4.0 * 6.0;
    assert!(opened <= limit, "{count}: {first:?} {second:?}: {opened} requests in {} ms", world.now);
}

/// Requests are paid from the scheduler's part of what discovery handles for all, so that the last fault of a row finds
/// no tokens saved up.
#[test]
fn a_drain_during_any_fault_of_the_connection_is_known_in_time_in_a_cluster_of_any_size() {
    use ConnectionFault::{MidLine, Moved, Outage, Refused, Reset, Silence, SilentFromTheFirst};
    let singles = [Silence, SilentFromTheFirst, MidLine, Reset, Refused, Moved];
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

/// In push mode, what discovery sends when it is back counts as received at once.
#[test]
fn in_push_mode_a_drain_at_the_end_of_an_outage_is_known_within_its_grace() {
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
            // Whoever pushes the list ends its watches, or falls silent.
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
