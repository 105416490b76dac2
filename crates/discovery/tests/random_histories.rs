//! Random histories of three schedulers, after which all statuses must agree.
#![allow(missing_docs)]

mod support;

use brackenledge_discovery::Freshness;
use brackenledge_policy::Readiness;
use std::collections::BTreeSet;
use support::scenarios::is_ready;
use support::simulated_discovery::{FAULTS, Fault, World, directory, endpoint};

/// Runs one random history of list changes, connection faults, outages, message loss and restarts.
fn random_history(seed: u64) {
    let mut world = World::new((0..3).map(|n| directory(0.0, n, 3, true)).collect(), seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    names.iter().for_each(|name| world.change(endpoint(name, Readiness::Ready)));
    world.start();
    world.run_until(3_000.0);
    let mut known_names: Vec<BTreeSet<String>> = vec![names.iter().cloned().collect(); 3];
    for step in 0..60 {
        let name = &names[rng.usize(..names.len())];
        match rng.u8(..10) {
            0..=3 => {
                let readiness = [Readiness::Ready, Readiness::Draining, Readiness::Gone][rng.usize(..3)];
                world.change(endpoint(name, readiness));
            }
            4 | 5 => world.set_fault(rng.usize(..3), FAULTS[rng.usize(..FAULTS.len())]),
            6 => world.set_fault(rng.usize(..3), Fault::None),
            7 => world.set_down(rng.bool()),
            8 => world.message_loss = [0.0, 0.3, 0.8][rng.usize(..3)],
            _ => {
                let node = rng.usize(..3);
                let restarted = directory(world.now, node as u16, 3, true);
                world.restart(node, restarted);
                known_names[node].clear();
            }
        }
        // A scheduler that holds discovery's latest revision must not take a draining endpoint for ready.
        let since = world.now;
        let healthy = (0..3).filter(|&n| world.nodes[n].freshness() == Freshness::Fresh).collect::<Vec<_>>();
        world.run_until(since + 50.0 + 950.0 * rng.f64());
        if world.message_loss == 0.0 && !world.down && world.now - since > 200.0 {
            for &fresh in healthy.iter().filter(|&&n| world.nodes[n].freshness() == Freshness::Fresh) {
                // Only a scheduler with the latest list and a working connection is sure to have received the
                // drain.
                if world.nodes[fresh].revision() != Some(world.revision) || world.faults[fresh] != Fault::None
                {
                    continue;
                }
                for name in &names {
                    let drains = world.list.get(name).is_none_or(|entry| entry.readiness != Readiness::Ready);
                    assert!(
                        !(drains && is_ready(&world.nodes[fresh], name)),
                        "seed {seed} step {step}: {name} is ready at scheduler {fresh}, which got its drain"
                    );
                }
            }
        }
    }
    // Once all faults have ended, all statuses agree with one another and with discovery.
    world.message_loss = 0.0;
    world.set_down(false);
    (0..3).for_each(|node| world.set_fault(node, Fault::None));
    world.run_until(world.now + 40_000.0);
    for (n, node) in world.nodes.iter().enumerate() {
        for name in &names {
            let ready = world.list.get(name).is_some_and(|entry| entry.readiness == Readiness::Ready);
            assert_eq!(
                is_ready(node, name),
                ready,
                "seed {seed}: {name} at scheduler {n} after all faults ended"
            );
        }
        let opened = node.counts().requests as f64;
        assert!(
            opened <= 5.0 + world.now / 1_000.0 + 1.0,
            "seed {seed}: {opened} requests in {} ms",
            world.now
        );
    }
}

#[test]
fn random_histories_end_in_agreement_and_no_reported_drain_is_forgotten() {
    (0..400).for_each(random_history);
}
