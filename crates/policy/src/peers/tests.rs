//! The slots of other schedulers as known from their messages.

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

/// Foreign, truncated and corrupted text is ignored, whatever the size of the cluster.
#[test]
fn unusable_messages_leave_the_loads_unchanged() {
    for schedulers in [1, 4, 100, 200] {
        let mut loads = PeerLoads::new(0.0, 0, schedulers);
        (0..3).for_each(|id| loads.add_worker(id, 1_000 + id as u64));
        for text in ["", "2", "2abc", "0abc", "3abcd", "2\u{e9}abc", "!T00000000", "\0\0\0\0\0"] {
            loads.handle_message(1.0, 7, text, |_| 0.0);
            assert_eq!(remote_slots(&loads), [0.0; 3], "{text}");
        }
        // Aggregated loads are ignored for workers that are not known here, and in small clusters.
        loads.handle_message(1.0, 7, &aggregated(&[(77, 5.0)]), |_| 0.0);
        assert_eq!(remote_slots(&loads), [0.0; 3]);
        let messages = loads.poll_messages(1.0, true, std::iter::empty());
        assert!(messages.iter().all(|message| message.text.len() <= 256));
        assert_ne!(schedulers > MAX_DIRECT_SCHEDULERS, messages.is_empty());
    }
}

#[test]
fn aggregated_loads_become_valid_when_received_and_expire_when_not_repeated() {
    let mut loads = PeerLoads::new(0.0, 20, 100);
    loads.add_worker(0, 1_000);
    assert!(!loads.is_complete(0.0, 12), "complete before any loads were received");
    loads.handle_message(10.0, 3, &aggregated(&[]), |_| 0.0);
    assert!(!loads.is_complete(10.0, 12), "complete although the new aggregator has no reports yet");
    let report = loads.poll_messages(10.0, false, [own(1_000, 1.0)].into_iter());
    assert_eq!(report[0].to, Some(3), "the new aggregator is not sent a report at once");
    loads.handle_message(210.0, 3, &aggregated(&[(1_000, 4.0)]), |_| 1.0);
    assert!(loads.is_complete(210.0, 12) && loads.remote_slots(0) == 3.0);
    // The message that the slots are free was lost. Slots that are still occupied are reported every second.
    loads.expire(200.0);
    assert_eq!(loads.remote_slots(0), 3.0);
    loads.expire(300.0);
    assert_eq!(loads.remote_slots(0), 0.0);
    // Of two aggregators, the one with the lower number counts. When its messages stop, the other one counts.
    loads.handle_message(400.0, 9, &aggregated(&[(1_000, 9.0)]), |_| 0.0);
    assert_eq!(loads.remote_slots(0), 0.0);
    loads.handle_message(900.0, 9, &aggregated(&[(1_000, 9.0)]), |_| 0.0);
    assert_eq!(loads.remote_slots(0), 9.0);
}

#[test]
fn a_report_replaces_the_previous_one_and_expires_when_not_repeated() {
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
fn water_filling_raises_the_lowest_loads_to_one_level() {
    assert_eq!(water_fill_level(vec![4.0, 0.0, 2.0], 1.0), 1.0);
    assert_eq!(water_fill_level(vec![4.0, 0.0, 2.0], 3.0), 2.5);
    assert_eq!(water_fill_level(vec![4.0, 0.0, 2.0], 6.0), 4.0);
}

/// According to the aggregated loads, one of 60 workers is idle, and 60 jobs arrive before the next
/// aggregated loads. If all 100 schedulers sent their jobs to the idle worker, they would overload it; but
/// enough of them must do so to fill it.
#[test]
fn only_some_schedulers_use_a_worker_that_all_see_as_idle() {
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

/// Messages may be lost, so both the scheduler that occupies slots and the aggregator repeat their messages.
#[test]
fn lost_messages_are_repeated() {
    let mut aggregator = PeerLoads::new(0.0, 0, 100);
    let mut other = PeerLoads::new(0.0, 1, 100);
    [&mut aggregator, &mut other].into_iter().for_each(|loads| loads.add_worker(0, 1_000));
    aggregator.poll_messages(10_000.0, false, std::iter::empty());
    other.handle_message(10_001.0, 0, &aggregated(&[]), |_| 0.0);
    let occupied = || [own(1_000, 2.0)].into_iter();
    // The other scheduler's first report is lost, and so are the entries of all the aggregator's messages.
    assert_eq!(other.poll_messages(10_002.0, true, occupied()).len(), 1);
    let mut broadcast: Vec<(Millis, TaggedSlots)> = Vec::new();
    for step in 1..20 {
        let now = 10_002.0 + 100.0 * f64::from(step);
        for message in other.poll_messages(now, false, occupied()) {
            aggregator.handle_message(now, 1, &message.text, |_| 0.0);
        }
        for message in aggregator.poll_messages(now, false, std::iter::empty()) {
            let entries = LoadMessage::decode(&message.text).expect("a load message").entries;
            broadcast.extend(entries.into_iter().map(|entry| (now, entry)));
            other.handle_message(now, 0, "2", |_| 0.0);
        }
    }
    assert!(broadcast.len() >= 2, "{broadcast:?}");
    let expected = entries(&[(1_000, 2.0)])[0];
    assert!(broadcast.iter().all(|(_, entry)| *entry == expected), "{broadcast:?}");
    assert!(broadcast[1].0 <= broadcast[0].0 + 1_000.0, "{broadcast:?}");
}
