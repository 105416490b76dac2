//! The roster against a discovery that is cut off, stalls, lies still or starts anew, on a virtual clock.
#![allow(missing_docs)]

#[path = "common/roster_world.rs"]
mod world;

use brackenledge_discovery::{
    CallKind, Command, Freshness, Listed, Roster, RosterSettings, ServerWord, Source,
};
use brackenledge_policy::Readiness;
use std::collections::BTreeSet;
use world::{ASK_WITHIN, FAULTS, Fault, SERVICE, World, roster, server};

/// Rosters that have heard of these servers.
fn settled(count: u32, names: &[&str], messages: bool) -> World<Roster> {
    let mut world = World::new((0..count).map(|n| roster(0.0, n, count, messages)).collect(), 3);
    for name in names {
        world.change(server(name, Readiness::Ready));
    }
    world.start();
    world.run_until(6_000.0 + 1_000.0 * f64::from(count));
    for node in &world.nodes {
        assert!(names.iter().all(|name| is_ready(node, name)), "{} calls in all", world.asked);
        assert_eq!(node.freshness(), Freshness::Fresh, "{} calls in all", world.asked);
    }
    world
}

fn is_ready(node: &Roster, name: &str) -> bool {
    node.find(name).is_some_and(|id| node.ready(id))
}

/// How long after the change one node stops sending to the server.
fn heard_after(world: &mut World<Roster>, node: usize, name: &str, most: f64) -> f64 {
    let since = world.now;
    while is_ready(&world.nodes[node], name) {
        assert!(world.now < since + most, "{name} is believed ready {most} ms after word of its drain");
        world.run_until(world.now + 1.0);
    }
    world.now - since
}

/// One fault at the link of the only scheduler, a drain in it, and by when it must be known. What the table says is
/// the time that the fault's own nature takes, one call of discovery (290 ms), and what the roster waits before it
/// doubts.
#[test]
fn a_drain_is_heard_of_soon_whatever_is_wrong_with_the_link() {
    for (fault, lasts, within) in [
        (Fault::None, 0.0, 125.0),
        // Broken in mid-line: asked for again at once.
        (Fault::Cut, 150.0, 700.0),
        // The rest of a line never comes: in doubt after 150 ms.
        (Fault::Stall, 150.0, 700.0),
        // Bytes are accepted and never delivered: in doubt once a beat is late.
        (Fault::BlackHole, 1_500.0, 3_400.0),
        (Fault::OneWay, 1_500.0, 3_400.0),
        (Fault::Refuses, 300.0, 1_100.0),
        // It beats and tells nothing new: only the next look beside it tells.
        (Fault::Stuck, 60_000.0, 26_000.0),
    ] {
        let mut world = settled(1, &["a", "b"], false);
        world.set_fault(0, fault);
        let since = world.now;
        world.change(server("a", Readiness::Draining));
        world.run_until(since + if fault == Fault::Stuck { 1.0 } else { lasts });
        if fault != Fault::Stuck {
            world.set_fault(0, Fault::None);
        }
        heard_after(&mut world, 0, "a", within);
        assert!(world.now - since <= within, "{fault:?}: {}", world.now - since);
        assert!(is_ready(&world.nodes[0], "b"));
    }
}

/// What goes wrong with the link in the sweep below.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// The open watch says nothing any more; new calls work.
    Silence,
    /// It says nothing from its first byte on.
    SilentFromTheFirst,
    /// It falls silent within a line.
    MidLine,
    /// It is reset.
    Reset,
    /// Discovery is down for so many seconds.
    Outage(u32),
    /// The watch is reset, and the next call refused.
    Refused,
    /// Discovery has a new address.
    Moved,
}

/// One scheduler of a tier of this size has its troubles, in each of which a server begins to drain. Its calls are paid
/// from its part of what discovery handles for all, so the last trouble of a row finds nothing saved up.
#[test]
fn a_drain_within_any_trouble_of_the_link_is_known_in_time_in_a_tier_of_any_size() {
    use Trouble::{MidLine, Moved, Outage, Refused, Reset, Silence, SilentFromTheFirst};
    let singles = [Silence, SilentFromTheFirst, MidLine, Reset, Refused, Moved];
    let outages = [1, 5, 12, 25].map(Outage);
    let all: Vec<Trouble> = singles.into_iter().chain(outages).collect();
    for count in [1, 4, 40, 100, 300] {
        for first in &all {
            for second in &all {
                let mut world = World::new(vec![roster(0.0, 0, count, false)], 7);
                world.change(server("a", Readiness::Ready));
                world.change(server("b", Readiness::Ready));
                world.start();
                world.run_until(6_000.0);
                for (round, trouble) in [first, second, first, second].into_iter().enumerate() {
                    let name = format!("s{round}");
                    world.change(server(&name, Readiness::Ready));
                    world.run_until(world.now + 3_000.0);
                    let known = is_ready(&world.nodes[0], &name);
                    assert!(known, "{count}: {first:?} {second:?} round {round}: no watch works");
                    let since = world.now;
                    // By when a drain that begins in it counts as told, and what is needed to do something about it.
                    let within = match *trouble {
                        // The last byte came up to a beat ago.
                        Silence | MidLine | SilentFromTheFirst => 6_000.0,
                        Moved => 4_000.0,
                        Reset => ASK_WITHIN,
                        // A call that failed holds for four times `ask-within`; half of that, and the call.
                        Refused => 2.0 * ASK_WITHIN + 1_000.0,
                        Outage(seconds) => 1_000.0 * f64::from(seconds + 1) + 2.0 * ASK_WITHIN,
                    };
                    let drains = server(&name, Readiness::Draining);
                    match *trouble {
                        Silence => {
                            world.set_fault(0, Fault::BlackHole);
                            world.set_fault(0, Fault::None);
                        }
                        SilentFromTheFirst => {
                            world.set_fault(0, Fault::Refuses);
                            world.run_until(since + 2.0);
                            world.set_fault(0, Fault::OneWay);
                            world.run_until(since + 500.0);
                            world.set_fault(0, Fault::None);
                        }
                        MidLine => {
                            world.set_fault(0, Fault::Stall);
                            world.change(server("b", Readiness::Ready));
                            world.run_until(since + 140.0);
                            world.set_fault(0, Fault::None);
                        }
                        Reset => {
                            world.set_fault(0, Fault::Refuses);
                            world.run_until(since + 2.0);
                            world.set_fault(0, Fault::None);
                        }
                        Refused => {
                            world.set_fault(0, Fault::Refuses);
                            world.run_until(since + 200.0);
                            world.set_fault(0, Fault::None);
                        }
                        Outage(seconds) => {
                            world.set_down(true);
                            world.run_until(since + 1_000.0 * f64::from(seconds));
                            world.set_down(false);
                        }
                        Moved => {
                            world.tell(0, |node, now| node.moved(now));
                            world.set_fault(0, Fault::BlackHole);
                            world.set_fault(0, Fault::None);
                        }
                    }
                    world.change(drains);
                    while is_ready(&world.nodes[0], &name) {
                        let took = world.now - since;
                        assert!(took < within, "{count}: {first:?} {second:?} round {round}: {took} ms");
                        world.run_until(world.now + 10.0);
                    }
                }
                // What it costs: no more than its part of what discovery handles, and one call for each trouble.
                let calls = world.nodes[0].counts().calls as f64;
                let part = (4.0 / f64::from(count)).clamp(0.05, 1.0);
                let most = 5.0 + part * world.now / 1_000.0 + 4.0 * 6.0;
                assert!(calls <= most, "{count}: {first:?} {second:?}: {calls} calls in {} ms", world.now);
            }
        }
    }
}

/// Where lists are pushed, what is known when discovery is back counts as told at once.
#[test]
fn where_lists_are_pushed_a_drain_at_the_end_of_an_outage_is_known_within_its_grace() {
    for (count, seconds, silent) in
        [4, 300].into_iter().flat_map(|n| [(n, 1, false), (n, 25, false), (n, 1, true), (n, 25, true)])
    {
        let settings = RosterSettings {
            ordinal: 0,
            schedulers: count,
            messages: false,
            pushed: true,
            ask_within: ASK_WITHIN,
            seed: 1,
        };
        let mut world = World::new(vec![Roster::new(0.0, settings)], 5);
        (world.service, world.turns) = (5.0, 20.0);
        for name in ["a", "b"] {
            world.change(server(name, Readiness::Ready));
        }
        world.start();
        world.run_until(3_000.0);
        for name in ["a", "b"] {
            assert!(is_ready(&world.nodes[0], name));
            // Whoever pushes them ends its watches, or says nothing.
            if silent {
                world.set_fault(0, Fault::OneWay)
            } else {
                world.set_down(true)
            }
            world.run_until(world.now + 1_000.0 * f64::from(seconds));
            world.change(server(name, Readiness::Draining));
            if silent {
                world.set_fault(0, Fault::None)
            } else {
                world.set_down(false)
            }
            heard_after(&mut world, 0, name, 300.0);
            world.run_until(world.now + 3_000.0);
        }
    }
}

#[test]
fn what_a_broken_line_took_away_is_not_sent_to_and_what_it_added_waits_for_a_whole_one() {
    let mut node = roster(0.0, 0, 1, false);
    node.know(0.0, 3, vec![server("a", Readiness::Ready), server("b", Readiness::Ready)]);
    node.want(0.0, true);
    let call = std::iter::from_fn(|| node.poll_command())
        .find_map(|order| if let Command::Ask { call, .. } = order { Some(call) } else { None })
        .expect("a call");
    node.call_up(1.0, call);
    node.call_answered(2.0, call);
    node.call_entry(3.0, call, server("c", Readiness::Ready));
    node.call_entry(3.0, call, server("a", Readiness::Draining));
    assert!(!is_ready(&node, "a") && is_ready(&node, "b") && node.find("c").is_none());
    // Nor does the word vanish with the call.
    node.call_ended(4.0, call, brackenledge_discovery::Ending::Broken);
    assert!(!is_ready(&node, "a"));
    node.handle_timeout(2_000.0);
    let again = std::iter::from_fn(|| node.poll_command())
        .find_map(|order| if let Command::Ask { call, since: 3, .. } = order { Some(call) } else { None })
        .expect("a call from the version held");
    node.call_up(2_001.0, again);
    node.call_answered(2_002.0, again);
    // A complete line as new as that one decides.
    node.call_entry(2_003.0, again, server("c", Readiness::Ready));
    node.call_line(2_003.0, again, 4, false);
    assert!(is_ready(&node, "a") && is_ready(&node, "c"));
}

#[test]
fn one_schedulers_open_watch_serves_all() {
    let mut world = settled(4, &["a", "b", "c"], true);
    (1..4).for_each(|node| world.set_fault(node, Fault::BlackHole));
    world.change(server("a", Readiness::Draining));
    let since = world.now;
    for node in 0..4 {
        heard_after(&mut world, node, "a", 150.0);
    }
    assert!(world.now - since <= 150.0);
    let [own, heard] =
        [0, 1].map(|n| world.nodes[n].belief(world.now, world.nodes[n].find("a").expect("known")));
    let (own, heard) = (own.expect("a belief"), heard.expect("a belief"));
    assert_eq!((own.source, own.readiness), (Source::Watch, Readiness::Draining));
    assert!(matches!(heard.source, Source::Scheduler(_)), "{heard:?}");
    assert_eq!((heard.version, heard.readiness), (own.version, Readiness::Draining));
    assert!(own.age <= 150.0 && heard.age <= own.age);
    // A peer's word never makes a server known.
    world.change(server("d", Readiness::Ready));
    world.run_until(world.now + 500.0);
    assert!(is_ready(&world.nodes[0], "d") && world.nodes[1].find("d").is_none());
    // Half of the messages lost, they are sent again.
    world.loss = 0.5;
    world.change(server("b", Readiness::Draining));
    for node in 0..4 {
        heard_after(&mut world, node, "b", 2_500.0);
    }
}

/// The messages that a scheduler sends to another when its own watch brings these lines, one after another.
fn messages_of_a_watch(lines: &[(u64, &str, Readiness)]) -> Vec<String> {
    let mut sender = roster(0.0, 1, 2, true);
    sender.know(0.0, 0, vec![server("a", Readiness::Ready), server("b", Readiness::Ready)]);
    sender.want(0.0, true);
    let watch = calls(&mut sender).0[0];
    sender.call_answered(1.0, watch);
    let mut messages = Vec::new();
    for &(version, name, readiness) in lines {
        sender.call_entry(2.0, watch, server(name, readiness));
        sender.call_line(2.0, watch, version, false);
        while let Some(order) = sender.poll_command() {
            if let Command::Tell { text, .. } = order {
                messages.push(text);
            }
        }
    }
    messages
}

/// A scheduler that has started anew holds the list from before its start, and its watch has brought nothing yet.
fn restarted() -> (Roster, u64) {
    let mut node = roster(0.0, 0, 2, true);
    node.know(0.0, 0, vec![server("a", Readiness::Ready), server("b", Readiness::Ready)]);
    node.want(0.0, true);
    let watch = calls(&mut node).0[0];
    node.call_up(1.0, watch);
    (node, watch)
}

/// Seen on `zone+mass`, each time: peers told a restarted scheduler that a server was gone and then that it was back;
/// the second message uncovered the list from before the start, and a job was sent on it 1.6 s after the start.
#[test]
fn a_server_that_peers_withdrew_is_ready_again_only_by_the_own_list() {
    for away in [Readiness::Gone, Readiness::Draining] {
        let (mut node, watch) = restarted();
        for text in messages_of_a_watch(&[(1, "a", away), (3, "a", Readiness::Ready)]) {
            node.heard(10.0, 1, &text);
        }
        assert!(
            !is_ready(&node, "a"),
            "a peer's word of the return uncovered a list that is older than the loss"
        );
        assert!(is_ready(&node, "b"));
        // The own list decides once it is as new as the withdrawal.
        node.call_answered(20.0, watch);
        node.call_entry(20.0, watch, server("a", Readiness::Ready));
        node.call_line(20.0, watch, 3, false);
        assert!(is_ready(&node, "a"));
    }
}

#[test]
fn a_server_that_a_broken_line_withdrew_is_not_made_ready_by_a_peer() {
    let (mut node, watch) = restarted();
    node.call_answered(5.0, watch);
    node.call_entry(6.0, watch, server("a", Readiness::Gone));
    node.call_ended(7.0, watch, brackenledge_discovery::Ending::Broken);
    assert!(!is_ready(&node, "a"));
    for text in messages_of_a_watch(&[(8, "a", Readiness::Draining), (9, "a", Readiness::Ready)]) {
        node.heard(10.0, 1, &text);
    }
    assert!(!is_ready(&node, "a"), "only the own list makes a server ready");
}

#[test]
fn a_withdrawal_outlives_an_outage_and_ends_once_a_watch_that_works_has_not_confirmed_it() {
    let (mut node, watch) = restarted();
    for text in messages_of_a_watch(&[(5, "a", Readiness::Gone)]) {
        node.heard(10.0, 1, &text);
    }
    // Discovery says nothing for two minutes: nothing has confirmed or undone the withdrawal.
    node.call_ended(20.0, watch, brackenledge_discovery::Ending::Broken);
    let mut asked = Vec::new();
    for second in 1..=120 {
        let now = 1_000.0 * f64::from(second);
        node.handle_timeout(now);
        for call in calls(&mut node).0 {
            asked.push(call);
            node.call_ended(now, call, brackenledge_discovery::Ending::NoConnection);
        }
        assert!(!is_ready(&node, "a"), "sent to on the list from before the start after {second} s");
    }
    // A watch is open again, on time, and never says a thing of it: the word was false.
    let mut watches = BTreeSet::new();
    for step in 0..200 {
        let now = 121_000.0 + 500.0 * f64::from(step);
        node.handle_timeout(now);
        let (asked, dropped) = calls(&mut node);
        for call in asked {
            node.call_up(now, call);
            node.call_answered(now, call);
            node.call_line(now, call, 2, false);
            watches.insert(call);
        }
        watches.retain(|call| !dropped.contains(call));
        watches.iter().for_each(|&call| node.call_beat(now, call));
        assert!(
            now > 180_000.0 || !is_ready(&node, "a"),
            "undone {} ms after the watch came up",
            now - 121_000.0
        );
    }
    assert!(is_ready(&node, "a"), "one false message would withdraw a server for good");
}

/// After SIGHUP a scheduler may ask a discovery that lags behind the one that its peers still hear.
#[test]
fn a_whole_list_that_is_older_than_a_withdrawal_does_not_undo_it() {
    let (mut node, watch) = restarted();
    node.call_answered(2.0, watch);
    node.call_line(2.0, watch, 5, false);
    for text in messages_of_a_watch(&[(7, "a", Readiness::Gone)]) {
        node.heard(10.0, 1, &text);
    }
    node.moved(20.0);
    node.fetch(20.0);
    let mut whole = 0;
    for step in 0..40 {
        let now = 20.0 + 100.0 * f64::from(step);
        node.handle_timeout(now);
        while let Some(order) = node.poll_command() {
            if let Command::Ask { call, kind: CallKind::Fetch, .. } = order {
                node.call_up(now, call);
                node.call_answered(now, call);
                node.call_entry(now, call, server("a", Readiness::Ready));
                node.call_entry(now, call, server("b", Readiness::Ready));
                node.call_line(now, call, 5, true);
                node.call_ended(now, call, brackenledge_discovery::Ending::Done);
                whole += 1;
            }
        }
    }
    assert!(whole > 0, "no whole list was asked for");
    assert!(!is_ready(&node, "a"), "version 5 undid what version 7 said");
}

#[test]
fn a_large_tier_passes_a_change_on_by_rumour() {
    let mut world = settled(40, &["a", "b"], true);
    (1..40).for_each(|node| world.set_fault(node, Fault::BlackHole));
    let before = world.tells;
    world.change(server("a", Readiness::Draining));
    world.run_until(world.now + 900.0);
    let missed = world.nodes.iter().filter(|node| is_ready(node, "a")).count();
    assert!(missed <= 2, "{missed} of 40 have not heard");
    let tells = world.tells - before;
    assert!(tells < 40 * 39, "{tells} messages, as many as if all told all");
}

#[test]
fn a_watch_that_beats_and_tells_nothing_new_is_doubted_once_another_scheduler_knows_more() {
    let mut world = settled(2, &["a", "b"], true);
    world.set_fault(0, Fault::Stuck);
    // Not a drain, so that only the version tells.
    world.change(server("c", Readiness::Ready));
    world.run_until(world.now + 1_200.0);
    assert!(is_ready(&world.nodes[0], "c"), "the new watch has told of it");
}

#[test]
fn a_change_that_discovery_tells_in_turns_makes_no_crowd_ask_beside_watches_that_work() {
    for count in [4, 40, 100] {
        let mut world = settled(count, &["a"], true);
        // What it takes where it is busy, by the fleet days' logs: 20 watches a second.
        world.turns = 120.0 + 50.0 * f64::from(count);
        let (before, since) = (world.asked, world.now);
        for n in 0..6 {
            world.change(server(&format!("new{n}"), Readiness::Ready));
            world.change(server("a", if n % 2 == 0 { Readiness::Draining } else { Readiness::Ready }));
            world.run_until(since + 2_000.0 * f64::from(n + 1));
        }
        let calls = world.asked - before;
        println!("{count} schedulers: {calls} calls in 12 s, 6 changes");
        // A look beside each watch once in 2 s a scheduler, 20 s at least, is what they may ask without cause.
        assert!(calls <= 15, "{count} schedulers: {calls} calls");
    }
}

/// Seven in ten are killed at once and come back together. Discovery answers one call after another, so that it takes
/// as long as it takes: they must not make it longer, and the others must keep out of the way.
#[test]
fn a_tier_that_comes_back_together_has_its_lists_soon_after_discovery_could_tell_them() {
    for count in [4, 40, 100] {
        let mut world = settled(count, &["a"], true);
        let back = count * 7 / 10;
        let (before, since) = (world.asked, world.now);
        (0..back).for_each(|n| world.restart(n as usize, roster(world.now, n, count, true)));
        world.change(server("b", Readiness::Ready));
        while !world.nodes.iter().all(|node| is_ready(node, "b")) {
            world.run_until(world.now + 100.0);
            assert!(world.now < since + 120_000.0, "{count} schedulers: some have no list");
        }
        let (calls, took) = (world.asked - before, world.now - since);
        let least = f64::from(back) * SERVICE;
        println!("{count} schedulers, {back} back: {calls} calls, {took:.0} ms of {least:.0} at least");
        assert!(calls <= u64::from(back) * 5, "{count} schedulers: {calls} calls");
        assert!(took < 1_500.0 + 2.0 * least, "{count} schedulers: {took} ms, {least} at least");
    }
}

/// Calls ordered, and those dropped.
fn calls(node: &mut Roster) -> (Vec<u64>, Vec<u64>) {
    let (mut asked, mut dropped) = (Vec::new(), Vec::new());
    while let Some(order) = node.poll_command() {
        match order {
            Command::Ask { call, .. } => asked.push(call),
            Command::Drop { call } => dropped.push(call),
            _ => {}
        }
    }
    (asked, dropped)
}

#[test]
fn a_second_watch_replaces_one_that_works_only_where_it_knows_more() {
    for (news, dropped) in [(0, 1), (1, 0)] {
        let mut node = roster(0.0, 0, 4, false);
        node.want(0.0, true);
        let mut out = calls(&mut node).0;
        let answer = |node: &mut Roster, now, call, index| {
            node.call_up(now, call);
            node.call_answered(now, call);
            node.call_line(now, call, index, index == 3);
        };
        answer(&mut node, 1.0, out[0], 3);
        let mut now = 1.0;
        while out.len() < 2 {
            assert!(now < 60_000.0, "a second look is due by then");
            now += 1_000.0;
            node.call_beat(now, out[0]);
            node.handle_timeout(now);
            out.extend(calls(&mut node).0);
        }
        answer(&mut node, now + 1.0, out[1], 3 + news);
        assert_eq!(calls(&mut node), (vec![], vec![out[dropped]]));
        assert_eq!(node.freshness(), Freshness::Fresh);
        // Nor is anything asked when the one that was let go breaks off.
        node.call_ended(now + 11.0, out[dropped], brackenledge_discovery::Ending::Broken);
        node.call_beat(now + 1_500.0, out[1 - dropped]);
        node.handle_timeout(now + 2_000.0);
        assert_eq!(calls(&mut node), (vec![], vec![]));
    }
}

#[test]
fn when_discovery_counts_from_anew_its_word_still_holds() {
    let mut world = settled(2, &["a", "b", "c"], true);
    (0..9).for_each(|n| {
        world.change(server("b", if n % 2 == 0 { Readiness::Draining } else { Readiness::Ready }))
    });
    world.run_until(world.now + 1_000.0);
    assert!(!is_ready(&world.nodes[0], "b"));
    world.renumber();
    world.change(server("b", Readiness::Ready));
    world.run_until(world.now + 3_000.0);
    for node in &world.nodes {
        assert_eq!(node.version(), Some(world.index));
        assert!(is_ready(node, "a") && is_ready(node, "b"));
    }
    world.change(server("a", Readiness::Draining));
    world.run_until(world.now + 500.0);
    assert!(world.nodes.iter().all(|node| !is_ready(node, "a")));
}

#[test]
fn in_a_plain_outage_nobody_is_left_without_service() {
    let names: Vec<String> = (0..12).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = settled(3, &names, true);
    world.set_down(true);
    world.run_until(world.now + 60_000.0);
    for node in &world.nodes {
        assert_eq!(node.freshness(), Freshness::Stale);
        assert!(names.iter().all(|name| is_ready(node, name)));
    }
    // Nor when every server turns work away: half of them are held back at most.
    let now = world.now;
    let node = &mut world.nodes[0];
    for _ in 0..5 {
        for name in &names {
            let id = node.find(name).expect("known");
            node.server_says(now, id, ServerWord::ReturnedWithRoom);
        }
    }
    assert_eq!(names.iter().filter(|name| is_ready(node, name)).count(), 6);
}

#[test]
fn three_servers_that_drain_unheard_are_found_out_by_their_own_behaviour() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut world = settled(2, &names, true);
    world.set_down(true);
    world.run_until(world.now + 100.0);
    for (step, name) in ["a", "b", "c"].into_iter().enumerate() {
        world.run_until(world.now + 1_000.0);
        let now = world.now;
        for node in &mut world.nodes {
            let id = node.find(name).expect("known");
            node.server_says(now, id, ServerWord::ReturnedWithRoom);
            assert!(node.ready(id), "one word is not enough");
            node.server_says(now, id, ServerWord::Refused);
            assert!(!node.ready(id));
        }
        assert_eq!(names.iter().filter(|name| is_ready(&world.nodes[0], name)).count(), 7 - step);
    }
    // A confirmed word undoes what was only guessed.
    world.set_down(false);
    world.run_until(world.now + 6_000.0);
    assert!(world.nodes.iter().all(|node| names.iter().all(|name| is_ready(node, name))));
    // While discovery's word is fresh, behaviour alone holds nothing back.
    let (now, node) = (world.now, &mut world.nodes[0]);
    let id = node.find("a").expect("known");
    (0..9).for_each(|_| node.server_says(now, id, ServerWord::Refused));
    assert!(node.ready(id));
}

#[test]
fn while_nothing_is_confirmed_the_likely_next_of_a_release_are_doubted() {
    let placed = |name: &str, zone, readiness| Listed { zone, ..server(name, readiness) };
    let mut world = World::new(vec![roster(0.0, 0, 1, false)], 3);
    for (name, zone) in [("a1", 1), ("a2", 1), ("b1", 2), ("b2", 2)] {
        world.change(placed(name, zone, Readiness::Ready));
    }
    world.start();
    world.run_until(6_000.0);
    // A replacement in zone 1 is up; then the link dies.
    world.change(placed("a9", 1, Readiness::Ready));
    world.change(placed("b1", 2, Readiness::Draining));
    world.run_until(6_200.0);
    world.set_fault(0, Fault::BlackHole);
    let mut doubts = std::collections::BTreeMap::new();
    world.run_until(8_000.0);
    let node = &mut world.nodes[0];
    node.handle_timeout(20_000.0);
    while let Some(order) = node.poll_command() {
        if let Command::Learn { entries, .. } = order {
            doubts.extend(entries.into_iter().map(|entry| (entry.0.name.clone(), entry.0.doubt)));
        }
    }
    assert!(doubts["a1"] > doubts["b2"] && doubts["b2"] > 0.0, "{doubts:?}");
    assert_eq!(doubts.get("a9").copied().unwrap_or(0.0), 0.0, "the new one is not next");
}

#[test]
fn servers_gone_for_long_are_forgotten_and_their_numbers_used_again() {
    let mut world = settled(1, &["a", "b"], false);
    let old = world.nodes[0].find("a").expect("known");
    world.change(server("a", Readiness::Gone));
    world.run_until(world.now + 1_000.0);
    world.change(server("c", Readiness::Ready));
    world.run_until(world.now + 1_000.0);
    assert_ne!(world.nodes[0].find("c"), Some(old), "a job may still be out there");
    assert_eq!(world.nodes[0].len(), 3);
    world.run_until(world.now + 700_000.0);
    assert_eq!((world.nodes[0].len(), world.nodes[0].find("a")), (2, None));
    world.change(server("d", Readiness::Ready));
    world.run_until(world.now + 1_000.0);
    assert_eq!(world.nodes[0].find("d"), Some(old));
    // A machine that is replaced every second for an hour leaves no more than what is gone for ten minutes.
    for n in 0..3_600 {
        world.change(server(&format!("m{n}"), Readiness::Ready));
        world.run_until(world.now + 500.0);
        world.change(server(&format!("m{n}"), Readiness::Gone));
        world.run_until(world.now + 500.0);
    }
    assert!(world.nodes[0].len() < 640, "{}", world.nodes[0].len());
}

#[test]
fn old_garbled_and_foreign_messages_do_no_harm() {
    let mut world = settled(2, &["a", "b"], true);
    world.change(server("a", Readiness::Draining));
    let (mut node, mut texts) = (roster(0.0, 1, 2, true), Vec::new());
    node.know(0.0, 1, vec![server("a", Readiness::Ready), server("b", Readiness::Ready)]);
    let now = world.now;
    node.want(now, true);
    let call = std::iter::from_fn(|| node.poll_command())
        .find_map(|o| if let Command::Ask { call, .. } = o { Some(call) } else { None })
        .expect("a call");
    node.call_answered(now, call);
    node.call_entry(now, call, server("b", Readiness::Draining));
    node.call_line(now, call, 2, false);
    while let Some(order) = node.poll_command() {
        if let Command::Tell { text, .. } = order {
            texts.push(text);
        }
    }
    assert!(!texts.is_empty());
    world.run_until(now + 500.0);
    // Version 2 is older than what discovery has told since.
    for text in &texts {
        assert!(world.nodes[0].heard(world.now, 1, text));
        for at in 0..text.len() {
            let garbled: String =
                text.char_indices().map(|(n, c)| if n == at && n > 0 { '~' } else { c }).collect();
            assert!(world.nodes[0].heard(world.now, 1, &garbled));
        }
    }
    assert!(is_ready(&world.nodes[0], "b"));
    assert!(!world.nodes[0].heard(world.now, 1, "0abcd"), "a load message is not the roster's");
}

/// One random history: changes of the list, faults of links, outages, losses and restarts for three rosters.
fn random_history(seed: u64) {
    let mut world = World::new((0..3).map(|n| roster(0.0, n, 3, true)).collect(), seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    names.iter().for_each(|name| world.change(server(name, Readiness::Ready)));
    world.start();
    world.run_until(3_000.0);
    let mut named: Vec<BTreeSet<String>> = vec![names.iter().cloned().collect(); 3];
    // Since when one roster has word of a drain: it may not be ready again before its own list says so.
    for step in 0..60 {
        let name = &names[rng.usize(..names.len())];
        match rng.u8(..10) {
            0..=3 => {
                let readiness = [Readiness::Ready, Readiness::Draining, Readiness::Gone][rng.usize(..3)];
                world.change(server(name, readiness));
            }
            4 | 5 => world.set_fault(rng.usize(..3), FAULTS[rng.usize(..FAULTS.len())]),
            6 => world.set_fault(rng.usize(..3), Fault::None),
            7 => world.set_down(rng.bool()),
            8 => world.loss = [0.0, 0.3, 0.8][rng.usize(..3)],
            _ => {
                let node = rng.usize(..3);
                let fresh = roster(world.now, node as u32, 3, true);
                world.restart(node, fresh);
                named[node].clear();
            }
        }
        // A drain that one roster has from discovery is known to all that messages reach.
        let since = world.now;
        let healthy = (0..3).filter(|&n| world.nodes[n].freshness() == Freshness::Fresh).collect::<Vec<_>>();
        world.run_until(since + 50.0 + 950.0 * rng.f64());
        if world.loss == 0.0 && !world.down && world.now - since > 200.0 {
            for &fresh in healthy.iter().filter(|&&n| world.nodes[n].freshness() == Freshness::Fresh) {
                // Only what this one has from its own list is sure to have been told.
                if world.nodes[fresh].version() != Some(world.index) || world.faults[fresh] != Fault::None {
                    continue;
                }
                for name in &names {
                    let drains =
                        world.truth.get(name).is_none_or(|entry| entry.readiness != Readiness::Ready);
                    assert!(
                        !(drains && is_ready(&world.nodes[fresh], name)),
                        "seed {seed} step {step}: {name} is ready to the one that heard of its drain"
                    );
                }
            }
        }
    }
    // Healed: all beliefs agree, with one another and with discovery.
    world.loss = 0.0;
    world.set_down(false);
    (0..3).for_each(|node| world.set_fault(node, Fault::None));
    world.run_until(world.now + 40_000.0);
    for (n, node) in world.nodes.iter().enumerate() {
        for name in &names {
            let truly = world.truth.get(name).is_some_and(|entry| entry.readiness == Readiness::Ready);
            assert_eq!(is_ready(node, name), truly, "seed {seed}: roster {n} on {name} once healed");
        }
        let calls = node.counts().calls as f64;
        assert!(calls <= 5.0 + world.now / 1_000.0 + 1.0, "seed {seed}: {calls} calls in {} ms", world.now);
    }
}

#[test]
fn random_histories_end_in_agreement_and_no_drain_that_was_told_is_forgotten() {
    (0..400).for_each(random_history);
}

#[test]
fn a_drain_reaches_every_scheduler_that_has_one_path_to_it() {
    // Each of three in turn keeps its link, the others lose theirs in any way; messages are not lost.
    for seed in 0..120 {
        let mut world = settled(3, &["a", "b", "c", "d"], true);
        let mut rng = fastrand::Rng::with_seed(seed);
        let keeper = rng.usize(..3);
        for node in (0..3).filter(|&node| node != keeper) {
            world.set_fault(node, FAULTS[rng.usize(..FAULTS.len())]);
        }
        world.run_until(world.now + 2_000.0 * rng.f64());
        world.change(server("b", Readiness::Draining));
        let since = world.now;
        for node in 0..3 {
            // Up to 120 ms until discovery tells its first scheduler, up to 22 ms for the message.
            heard_after(&mut world, node, "b", 145.0);
        }
        assert!(world.now - since <= 145.0, "seed {seed}");
    }
}
