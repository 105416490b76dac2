//! What is known of other schedulers' slots by their messages.

use super::*;

fn own(name_hash: u64, slots: f64) -> SlotsByHash {
    SlotsByHash { name_hash, slots }
}

fn entries(loads: &[(u64, f64)]) -> Vec<TaggedSlots> {
    loads.iter().map(|&(name_hash, slots)| own(name_hash, slots).into()).collect()
}

fn aggregated(loads: &[(u64, f64)]) -> String {
    encode_loads(LoadMessageKind::Aggregated, &entries(loads)).remove(0)
}

fn remote_slots(loads: &PeerLoads) -> [f64; 3] {
    [0, 1, 2].map(|id| loads.remote_slots(id))
}

/// Foreign, cut and garbled text costs nothing but itself, whatever the cluster's size.
#[test]
fn text_that_is_no_message_changes_nothing() {
    for schedulers in [1, 4, 100, 200] {
        let mut loads = PeerLoads::new(0.0, 0, schedulers);
        (0..3).for_each(|id| loads.add_worker(id, 1_000 + id as u64));
        for text in ["", "2", "2abc", "0abc", "3abcd", "2\u{e9}abc", "!T00000000", "\0\0\0\0\0"] {
            loads.handle_message(1.0, 7, text, |_| 0.0);
            assert_eq!(remote_slots(&loads), [0.0; 3], "{text}");
        }
        // Aggregated loads of workers that are not known here, and in clusters that have none.
        loads.handle_message(1.0, 7, &aggregated(&[(77, 5.0)]), |_| 0.0);
        assert_eq!(remote_slots(&loads), [0.0; 3]);
        let messages = loads.poll_messages(1.0, true, std::iter::empty());
        assert!(messages.iter().all(|message| message.text.len() <= 256));
        assert_ne!(schedulers > MAX_DIRECT_SCHEDULERS, messages.is_empty());
    }
}

#[test]
fn aggregated_loads_count_once_received_and_expire_where_they_are_not_stated_again() {
    let mut loads = PeerLoads::new(0.0, 20, 100);
    loads.add_worker(0, 1_000);
    assert!(!loads.is_complete(0.0, 12), "nothing was received yet");
    loads.handle_message(10.0, 3, &aggregated(&[]), |_| 0.0);
    assert!(!loads.is_complete(10.0, 12), "a new aggregator knows nothing yet");
    let report = loads.poll_messages(10.0, false, [own(1_000, 1.0)].into_iter());
    assert_eq!(report[0].to, Some(3), "and is sent a report at once");
    loads.handle_message(210.0, 3, &aggregated(&[(1_000, 4.0)]), |_| 1.0);
    assert!(loads.is_complete(210.0, 12) && loads.remote_slots(0) == 3.0);
    // That the slots came free is lost; whoever still occupies any says so each second.
    loads.expire(200.0);
    assert_eq!(loads.remote_slots(0), 3.0);
    loads.expire(300.0);
    assert_eq!(loads.remote_slots(0), 0.0);
    // Of two aggregators the lower goes on, and one that falls silent is succeeded.
    loads.handle_message(400.0, 9, &aggregated(&[(1_000, 9.0)]), |_| 0.0);
    assert_eq!(loads.remote_slots(0), 0.0);
    loads.handle_message(900.0, 9, &aggregated(&[(1_000, 9.0)]), |_| 0.0);
    assert_eq!(loads.remote_slots(0), 9.0);
}

#[test]
fn a_report_replaces_the_last_one_and_silence_ends_it() {
    let mut loads = PeerLoads::default();
    (0..3).for_each(|id| loads.add_worker(id, 1_000 + id as u64));
    let report = |slots: &[(u64, f64)]| {
        let own = slots.iter().map(|&(name_hash, slots)| own(name_hash, slots));
        PeerLoads::direct_messages(own).remove(0)
    };
    loads.handle_message(10.0, 1, &report(&[(1_000, 2.0), (1_002, 1.0), (77, 5.0)]), |_| 0.0);
    loads.handle_message(20.0, 2, &report(&[(1_000, 1.0)]), |_| 0.0);
    assert_eq!((remote_slots(&loads), loads.remote_slots(9)), ([3.0, 0.0, 1.0], 0.0));
    loads.handle_message(30.0, 1, &report(&[(1_001, 4.0)]), |_| 0.0);
    assert_eq!(remote_slots(&loads), [1.0, 4.0, 0.0]);
    loads.expire(25.0);
    assert_eq!(remote_slots(&loads), [0.0, 4.0, 0.0]);
}

#[test]
fn the_lowest_loads_rise_to_one_level() {
    assert_eq!(water_fill_level(vec![4.0, 0.0, 2.0], 1.0), 1.0);
    assert_eq!(water_fill_level(vec![4.0, 0.0, 2.0], 3.0), 2.5);
    assert_eq!(water_fill_level(vec![4.0, 0.0, 2.0], 6.0), 4.0);
}

/// By the aggregated loads one worker of 60 is idle; 60 jobs arrive until the next ones. Not all of a hundred
/// schedulers may send theirs there, yet as many must as it takes to fill it.
#[test]
fn a_worker_that_all_see_as_idle_is_not_used_by_all() {
    let name_hash = |id: WorkerId| hash(&format!("w{id}"));
    let mut users = 0;
    for ordinal in 1..100 {
        let mut loads = PeerLoads::new(0.0, ordinal, 100);
        (0..60).for_each(|id| loads.add_worker(id, name_hash(id)));
        let busy: Vec<(u64, f64)> = (1..60).map(|id| (name_hash(id), 4.0)).collect();
        loads.handle_message(1.0, 0, &aggregated(&busy), |_| 0.0);
        let load = |id| WorkerLoad { occupied: loads.remote_slots(id), slots: 4.0 };
        let worker_loads: Vec<WorkerLoad> = (0..60).map(load).collect();
        loads.update_expected_level(&worker_loads, 0.25);
        let expected = |id: WorkerId| loads.expected_remote_slots(2.0, id, name_hash(id), 0.0);
        users += usize::from((1..60).all(|id| expected(0) < expected(id) - 3.0));
    }
    assert!((5..50).contains(&users), "{users} of 99");
}

/// Messages may be lost: what was stated once is stated again, by whoever occupies the slots and by the aggregator.
#[test]
fn what_a_lost_message_stated_is_stated_again() {
    let mut aggregator = PeerLoads::new(0.0, 0, 100);
    let mut other = PeerLoads::new(0.0, 1, 100);
    [&mut aggregator, &mut other].into_iter().for_each(|loads| loads.add_worker(0, 1_000));
    aggregator.poll_messages(10_000.0, false, std::iter::empty());
    other.handle_message(10_001.0, 0, &aggregated(&[]), |_| 0.0);
    let occupied = || [own(1_000, 2.0)].into_iter();
    // The other one's first report is lost, and so is every message of the aggregator.
    assert_eq!(other.poll_messages(10_002.0, true, occupied()).len(), 1);
    let mut stated: Vec<(Millis, TaggedSlots)> = Vec::new();
    for step in 1..20 {
        let now = 10_002.0 + 100.0 * f64::from(step);
        for message in other.poll_messages(now, false, occupied()) {
            aggregator.handle_message(now, 1, &message.text, |_| 0.0);
        }
        for message in aggregator.poll_messages(now, false, std::iter::empty()) {
            let entries = LoadMessage::decode(&message.text).expect("a load message").entries;
            stated.extend(entries.into_iter().map(|entry| (now, entry)));
            other.handle_message(now, 0, "2", |_| 0.0);
        }
    }
    assert!(stated.len() >= 2, "{stated:?}");
    let expected = entries(&[(1_000, 2.0)])[0];
    assert!(stated.iter().all(|(_, entry)| *entry == expected), "{stated:?}");
    assert!(stated[1].0 <= stated[0].0 + 1_000.0, "{stated:?}");
}
