//! Processes on a virtual clock, what they say delivered at once or held back: caps, patience, keepers that are silent,
//! zones, ages, a planned end.
#![allow(missing_docs)]

use brackenledge_failover::{Brought, Command, Fate, Handover, Key, Message, ProcessId, Settings, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MS: u64 = 1_000;

struct Tier {
    now: u64,
    nodes: Vec<Option<Handover>>,
    /// Processes that neither hear nor say anything.
    silent: BTreeSet<u16>,
    roll: u32,
    /// What each node has ordered beside messages, in order.
    commands: Vec<Vec<Command>>,
    said: Vec<(u16, u16, Message)>,
    waiter: u64,
    /// Starts of nodes that go by another than the first.
    boots: BTreeMap<u16, u64>,
}

fn process(node: u16) -> ProcessId {
    ProcessId { ordinal: node, incarnation: 1 }
}

fn key(name: &str) -> Key {
    Key { class: 1, tenant: 0, name: Arc::from(name) }
}

impl Tier {
    fn new(number: u16, settings: Settings) -> Tier {
        let mut tier = Tier {
            now: 100_000 * MS,
            nodes: Vec::new(),
            silent: BTreeSet::new(),
            roll: 0,
            commands: vec![Vec::new(); usize::from(number)],
            said: Vec::new(),
            waiter: 0,
            boots: BTreeMap::new(),
        };
        for node in 0..number {
            let mut one = Handover::new(process(node), u32::from(node % 2), settings);
            (0..number).for_each(|other| one.zone(other, u32::from(other % 2)));
            tier.nodes.push(Some(one));
        }
        tier.roll((0..number).collect());
        tier
    }

    fn incarnation(&self, node: u16) -> u64 {
        self.boots.get(&node).copied().unwrap_or(1)
    }

    fn roll(&mut self, members: Vec<u16>) {
        self.roll += 1;
        let term = Term { step: self.roll, ..Term::default() };
        let all: BTreeMap<u16, u64> = members.iter().map(|&node| (node, self.incarnation(node))).collect();
        for node in members {
            let one = self.nodes[usize::from(node)].as_mut().expect("it lives");
            one.stays(self.now, u64::MAX);
            one.roll(self.now, term, &all);
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        loop {
            let mut quiet = true;
            for node in 0..self.nodes.len() {
                while let Some(order) = self.nodes[node].as_mut().and_then(Handover::poll_command) {
                    quiet = false;
                    let Command::Send { to, message, .. } = order else {
                        self.commands[node].push(order);
                        continue;
                    };
                    let from = node as u16;
                    self.said.push((from, to.ordinal, message.clone()));
                    let (sender, meant) = (
                        ProcessId { ordinal: from, incarnation: self.incarnation(from) },
                        self.incarnation(to.ordinal) == to.incarnation,
                    );
                    let heard = meant && !self.silent.contains(&from) && !self.silent.contains(&to.ordinal);
                    if let Some(other) = self.nodes[usize::from(to.ordinal)].as_mut().filter(|_| heard) {
                        other.handle_message(self.now, sender, message);
                    }
                }
            }
            if quiet {
                return;
            }
        }
    }

    fn bring(&mut self, node: u16, name: &str, gated: bool, must: bool) -> u64 {
        self.waiter += 1;
        let until = self.now + 5_000 * MS;
        let brought = Brought { what: Arc::from(name.as_bytes()), gated, must, until };
        let one = self.nodes[usize::from(node)].as_mut().expect("it lives");
        one.arrived(self.now, self.waiter, key(name), brought);
        self.carry_out();
        self.waiter
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now += 20 * MS;
            for one in self.nodes.iter_mut().flatten() {
                one.handle_timeout(self.now);
            }
            self.carry_out();
        }
    }

    fn dispatch(&mut self, node: u16, name: &str) -> bool {
        let until = self.now + 5_000 * MS;
        let one = self.nodes[usize::from(node)].as_mut().expect("it lives");
        let at_once = one.dispatch(self.now, &key(name), 0, "w1", until);
        self.carry_out();
        at_once || self.commands[usize::from(node)].contains(&Command::Go(key(name), 0))
    }

    fn ended(&mut self, node: u16, name: &str, fate: Fate) {
        let one = self.nodes[usize::from(node)].as_mut().expect("it lives");
        one.ended(self.now, &key(name), fate);
        self.carry_out();
    }

    fn answer(&self, node: u16, waiter: u64) -> Option<Fate> {
        self.commands[usize::from(node)].iter().find_map(|order| match order {
            Command::Answer(waiters, fate) if waiters.contains(&waiter) => Some(fate.clone()),
            _ => None,
        })
    }

    fn started(&self, node: u16, name: &str) -> Option<(Option<u64>, bool)> {
        self.commands[usize::from(node)].iter().rev().find_map(|order| match order {
            Command::Start { key: of, ran, adopted, .. } if *of == key(name) => {
                Some((ran.as_ref().map(|ran| ran.1), *adopted))
            }
            _ => None,
        })
    }

    /// The home of a key, by where the question for it goes.
    fn home(&mut self, name: &str, asker: u16) -> u16 {
        let found = self.said.iter().find_map(|(from, to, message)| match message {
            Message::Open { record, .. } if record.key == key(name) && *from == asker => Some(*to),
            _ => None,
        });
        found.unwrap_or(asker)
    }

    /// A name whose home is neither of these.
    fn name_away_from(&mut self, number: u16, others: &[u16]) -> String {
        for at in 0..1_000 {
            let name = format!("probe-{at}");
            let mut trial = Tier::new(number, Settings::default());
            trial.bring(others[0], &name, true, true);
            if !others.contains(&trial.home(&name, others[0])) {
                return name;
            }
        }
        unreachable!("some key has another home")
    }
}

#[test]
fn an_attempt_leaves_once_home_and_second_keeper_have_its_note() {
    for number in [2, 3, 6] {
        for (at, name) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
            let mut tier = Tier::new(number, Settings::default());
            let node = at as u16 % number;
            tier.bring(node, name, true, true);
            assert!(tier.dispatch(node, name), "{name} of {number}");
            let kept = tier.nodes.iter().flatten().map(|one| one.records(1)[2]).sum::<usize>();
            // The holder is its own home for some keys, and then two others keep it.
            let away = usize::from(tier.home(name, node) == node);
            assert_eq!(kept, (2 + away).min(usize::from(number) - 1 + away), "{name} of {number}");
        }
    }
}

#[test]
fn the_second_keeper_is_of_another_zone_than_home_and_holder() {
    let mut tier = Tier::new(6, Settings::default());
    for at in 0..40 {
        tier.bring(0, &format!("k{at}"), true, true);
    }
    let zone = |node: u16| node % 2;
    let mut seen = 0;
    for (home, keeper, message) in &tier.said {
        let Message::Keep { record, .. } = message else { continue };
        let holder = record.holder.ordinal;
        if zone(*home) == zone(holder) && *home != holder {
            seen += 1;
            assert_ne!(zone(*keeper), zone(holder), "{home} and {holder} are in one zone");
        }
    }
    assert!(seen > 5, "{seen}");
}

#[test]
fn a_silent_second_keeper_is_replaced_and_a_silent_home_waited_for_no_longer_than_patience() {
    let mut tier = Tier::new(5, Settings::default());
    let name = tier.name_away_from(5, &[0, 1]);
    let home = {
        let mut trial = Tier::new(5, Settings::default());
        trial.bring(0, &name, true, true);
        trial.home(&name, 0)
    };
    // All but the holder, the home and one more are silent: that one is found by trying the others.
    tier.silent = (1..5).filter(|&node| node != home).skip(1).collect();
    tier.bring(0, &name, true, true);
    let at_once = tier.dispatch(0, &name);
    tier.pass(500);
    assert!(at_once || tier.commands[0].contains(&Command::Go(key(&name), 0)));

    let mut tier = Tier::new(5, Settings::default());
    tier.silent.insert(home);
    let order = tier.bring(0, &name, true, true);
    assert!(!tier.dispatch(0, &name), "its home says nothing");
    tier.pass(3_900);
    assert_eq!(tier.answer(0, order), None, "a roll without the home may come");
    tier.pass(200);
    assert!(matches!(tier.answer(0, order), Some(Fate::Denied(Some(_)))), "refused, for nothing has left");
    // A class that need not have cover runs without.
    let mut tier = Tier::new(5, Settings::default());
    tier.silent.insert(home);
    tier.bring(0, &name, true, false);
    tier.dispatch(0, &name);
    tier.pass(4_200);
    assert!(tier.commands[0].contains(&Command::Go(key(&name), 0)));
}

#[test]
fn at_the_cap_a_job_is_refused_or_runs_without_cover_by_its_class() {
    let settings = Settings { records_most: 10, ..Settings::default() };
    let mut tier = Tier::new(3, settings);
    let mut ends = BTreeMap::new();
    for at in 0..60 {
        let (name, must) = (format!("k{at}"), at % 2 == 0);
        let waiter = tier.bring(0, &name, true, must);
        let denied = matches!(tier.answer(0, waiter), Some(Fate::Denied(Some(_))));
        *ends.entry((must, denied)).or_insert(0) += 1;
        let runs = tier.started(0, &name).is_some();
        assert!(runs || denied, "{name} neither runs nor is it refused");
    }
    assert!(ends.get(&(true, true)).is_some_and(|&refused| refused > 10), "{ends:?}");
    assert_eq!(ends.get(&(false, true)), None, "{ends:?}");
    let counts = tier.nodes[0].as_ref().expect("it lives").counts();
    assert!(counts.refused > 10 && counts.uncovered > 10, "{counts:?}");
}

#[test]
fn what_may_run_any_number_of_times_costs_nothing_while_it_is_young() {
    let mut tier = Tier::new(4, Settings::default());
    tier.said.clear();
    let view = tier.bring(1, "short", false, false);
    assert!(tier.dispatch(1, "short"), "it waits for nobody");
    tier.pass(40);
    tier.ended(1, "short", Fate::Served(Arc::from(&b"x"[..])));
    assert_eq!(tier.answer(1, view), Some(Fate::Served(Arc::from(&b"x"[..]))));
    assert!(tier.said.is_empty(), "{:?}", tier.said);
    tier.bring(1, "long", false, false);
    tier.pass(100);
    assert!(tier.nodes.iter().flatten().any(|one| one.records(1)[2] > 0), "covered by now");
    // Its holder is lost: another runs it, as if nothing had been sent.
    tier.nodes[1] = None;
    tier.roll(vec![0, 2, 3]);
    let ran: Vec<_> = (0..4).filter_map(|node| tier.started(node, "long").filter(|s| s.1)).collect();
    assert_eq!(ran, [(None, true)]);
}

#[test]
fn who_takes_over_learns_the_longest_time_that_an_attempt_may_be_ago() {
    let mut tier = Tier::new(4, Settings::default());
    let name = tier.name_away_from(4, &[0, 1]);
    tier.bring(0, &name, true, true);
    assert!(tier.dispatch(0, &name));
    tier.pass(2_000);
    let home = tier.home(&name, 0);
    tier.nodes[0] = None;
    tier.roll((1..4).collect());
    let (ago, adopted) = tier.started(home, &name).expect("its home goes on with it");
    assert!(adopted && (2_000 * MS..2_100 * MS).contains(&ago.expect("it may have run")), "{ago:?}");
    // From another, the time on the way may come on top.
    let mut tier = Tier::new(4, Settings::default());
    tier.bring(0, &name, true, true);
    assert!(tier.dispatch(0, &name));
    tier.pass(2_000);
    (tier.nodes[0], tier.nodes[usize::from(home)]) = (None, None);
    tier.roll((1..4).filter(|&node| node != home).collect());
    let started: Vec<_> = (1..4).filter_map(|node| tier.started(node, &name)).collect();
    assert_eq!(started.len(), 1, "{started:?}");
    assert!(started[0].0.is_some_and(|ago| ago >= 2_000 * MS), "{started:?}");
}

#[test]
fn an_end_is_told_to_whoever_asks_until_its_record_is_over() {
    let mut tier = Tier::new(4, Settings::default());
    tier.bring(0, "k", true, true);
    assert!(tier.dispatch(0, "k"));
    let served = Fate::Served(Arc::from(&b"sold"[..]));
    tier.ended(0, "k", served.clone());
    for node in 0..4 {
        let again = tier.bring(node, "k", true, true);
        assert_eq!(tier.answer(node, again), Some(served.clone()), "at {node}");
    }
    // 5 s to its deadline, and 10 s more.
    tier.pass(14_000);
    let again = tier.bring(2, "k", true, true);
    assert_eq!(tier.answer(2, again), Some(served));
    tier.pass(3_000);
    for one in tier.nodes.iter().flatten() {
        assert_eq!(one.records(1)[3], 0, "forgotten");
        assert_eq!(one.bytes(), 0);
    }
}

#[test]
fn bytes_kept_are_those_of_the_records_whatever_became_of_them() {
    let mut tier = Tier::new(2, Settings { copies: 1, ..Settings::default() });
    let bytes = |tier: &Tier| tier.nodes.iter().flatten().map(Handover::bytes).collect::<Vec<_>>();
    tier.bring(0, "stays", true, true);
    let alone = bytes(&tier);
    for at in 0..20 {
        let name = format!("goes-{at}");
        tier.bring(0, &name, true, true);
        tier.dispatch(0, &name);
        let now = tier.now;
        tier.nodes[0].as_mut().expect("it lives").never_ran(now, &key(&name), 0);
        tier.carry_out();
        assert_ne!(bytes(&tier), alone);
        tier.ended(0, &name, Fate::Denied(None));
        assert_eq!(bytes(&tier), alone, "after {name}");
    }
    tier.ended(0, "stays", Fate::Failed);
    tier.pass(17_000);
    assert_eq!(bytes(&tier), [0, 0]);
}

#[test]
fn a_client_joined_to_a_job_that_is_refused_is_told_when_to_come_again() {
    let mut tier = Tier::new(4, Settings::default());
    tier.bring(0, "k", true, true);
    let joined = tier.bring(1, "k", true, true);
    tier.ended(0, "k", Fate::Denied(None));
    assert!(matches!(tier.answer(1, joined), Some(Fate::Denied(Some(_)))), "{:?}", tier.answer(1, joined));
}

#[test]
fn who_goes_by_another_start_holds_nothing_and_is_a_member_again_under_the_next_roll() {
    let mut tier = Tier::new(4, Settings::default());
    let name = tier.name_away_from(4, &[0]);
    let first = tier.bring(0, &name, true, true);
    assert!(tier.dispatch(0, &name));
    let again = ProcessId { ordinal: 0, incarnation: 2 };
    tier.nodes[0].as_mut().expect("it lives").renew(again);
    tier.carry_out();
    assert!(tier.commands[0].contains(&Command::Close(key(&name))), "it is the others' now");
    tier.boots.insert(0, 2);
    tier.roll((0..4).collect());
    assert!(tier.nodes[0].as_ref().expect("it lives").settled(tier.now));
    // Its home has taken it over, and the client waits for that.
    let home = tier.home(&name, 0);
    assert!(tier.started(home, &name).is_some_and(|started| started.1));
    tier.ended(home, &name, Fate::Failed);
    assert_eq!(tier.answer(0, first), Some(Fate::Failed));
    tier.bring(0, "another", true, true);
    assert!(tier.dispatch(0, "another"));
}

#[test]
fn a_planned_end_gives_away_what_was_not_sent_and_keeps_the_rest() {
    let mut tier = Tier::new(4, Settings::default());
    let unsent = tier.bring(0, "unsent", true, true);
    let sent = tier.bring(0, "sent", true, true);
    assert!(tier.dispatch(0, "sent"));
    assert_eq!(tier.nodes[0].as_mut().expect("it lives").yield_all(tier.now), 1);
    tier.carry_out();
    assert!(matches!(tier.answer(0, unsent), Some(Fate::Denied(Some(_)))));
    assert_eq!(tier.answer(0, sent), None);
    let starts: Vec<u16> = (0..4).filter(|&node| tier.started(node, "unsent").is_some_and(|s| s.1)).collect();
    assert_eq!(starts.len(), 1, "one goes on with it: {starts:?}");
    // Its client comes again, and hears the one end.
    let again = tier.bring(3, "unsent", true, true);
    tier.ended(starts[0], "unsent", Fate::Failed);
    assert_eq!(tier.answer(3, again), Some(Fate::Failed));
}

#[test]
fn a_job_whose_client_leaves_before_it_is_sent_ends_for_all_and_one_that_was_sent_goes_on() {
    for stage in ["not sent", "waits for its note", "sent"] {
        let mut tier = Tier::new(4, Settings::default());
        let waiter = tier.bring(0, "k", true, true);
        if stage == "waits for its note" {
            tier.silent = (1..4).collect();
        }
        if stage != "not sent" {
            assert_eq!(tier.dispatch(0, "k"), stage == "sent", "{stage}");
        }
        let now = tier.now;
        tier.silent.clear();
        tier.nodes[0].as_mut().expect("it lives").gone(now, waiter);
        tier.carry_out();
        assert_eq!(tier.commands[0].contains(&Command::Close(key("k"))), stage != "sent", "{stage}");
        // Nor does another go on with it when its holder is lost.
        tier.nodes[0] = None;
        tier.roll((1..4).collect());
        let starts = (1..4).filter(|&node| tier.started(node, "k").is_some()).count();
        assert!(stage == "sent" || starts == 0, "{stage}: {starts} go on with it");
    }
}

#[test]
fn whose_stay_is_over_starts_nothing_and_tells_no_result_until_it_lasts_again() {
    let mut tier = Tier::new(4, Settings::default());
    let waiter = tier.bring(0, "k", true, true);
    tier.nodes[0].as_mut().expect("it lives").stays(tier.now, 0);
    assert!(!tier.dispatch(0, "k"));
    tier.nodes[0].as_mut().expect("it lives").stays(tier.now, u64::MAX);
    tier.carry_out();
    assert!(tier.commands[0].contains(&Command::Go(key("k"), 0)));
    tier.nodes[0].as_mut().expect("it lives").stays(tier.now, 0);
    // Nobody hears that it has ended.
    tier.silent = (1..4).collect();
    tier.ended(0, "k", Fate::Served(Arc::from(&b"x"[..])));
    assert_eq!(tier.answer(0, waiter), None, "another may have it by now");
    tier.pass(5_000);
    assert_eq!(tier.answer(0, waiter), Some(Fate::Failed), "by its deadline nothing is promised");
}

#[test]
fn a_client_that_waits_for_less_long_than_the_job_lasts_is_told_by_its_own_deadline() {
    let mut tier = Tier::new(4, Settings::default());
    tier.bring(0, "k", true, true);
    assert!(tier.dispatch(0, "k"));
    tier.waiter += 1;
    let (waiter, until) = (tier.waiter, tier.now + 1_000 * MS);
    let brought = Brought { what: Arc::from(&b"k"[..]), gated: true, must: true, until };
    tier.nodes[0].as_mut().expect("it lives").arrived(tier.now, waiter, key("k"), brought);
    tier.pass(980);
    assert_eq!(tier.answer(0, waiter), None);
    tier.pass(60);
    assert_eq!(tier.answer(0, waiter), Some(Fate::Failed), "the job goes on, and may have run");
}
