//! Counters received in messages may have the maximum value of their type: no computation with them may
//! overflow.
#![allow(missing_docs)]

use brackenledge_leases::{Ballot, Epoch, LeaseManager, Message, Micros, ProcessId, Settings, View};

const START: Micros = 1_000_000;
const HEARTBEAT: Micros = 300_000;

fn process(ordinal: u16) -> ProcessId {
    ProcessId { ordinal, incarnation: 1 }
}

fn manager(view: &View, alive: u16) -> LeaseManager {
    let mut manager = LeaseManager::in_view(START, process(0), Settings::new(4, 2), view.clone());
    manager.set_alive_members((0..alive).map(process));
    manager
}

fn view(number: u32) -> View {
    View { epoch: Epoch { era: 1, number }, voters: (0..3).map(process).collect() }
}

/// Runs the process from `from` until `until`, with voters that answer every `Prepare` and `LeaseRequest`
/// positively.
fn run(manager: &mut LeaseManager, from: Micros, until: Micros) {
    let mut now = from;
    while now < until {
        now += HEARTBEAT / 6;
        manager.handle_timeout(now);
        let mut answers = Vec::new();
        while let Some(command) = manager.poll_command() {
            use brackenledge_leases::Command::Send;
            let Send { to, message } = command else { continue };
            let from = process(to);
            answers.extend(match message {
                Message::Prepare { epoch, ballot, .. } => {
                    Some(Message::Promise { from, epoch, ballot, accepted: None })
                }
                Message::LeaseRequest { epoch, ballot, requested_at, .. } => {
                    Some(Message::LeaseGrant { from, epoch, ballot, requested_at })
                }
                _ => None,
            });
        }
        for answer in answers {
            manager.handle_message(now, answer.from().ordinal, answer);
        }
    }
}

#[test]
fn a_rejection_with_the_maximum_ballot_counter_does_not_overflow() {
    let view = view(1);
    let mut manager = manager(&view, 3);
    manager.handle_timeout(START + HEARTBEAT);
    let promised = Ballot { counter: u32::MAX, proposer: 1 };
    let reject = Message::Reject { from: process(1), epoch: view.epoch, promised, lease_remaining: 0 };
    manager.handle_message(START + HEARTBEAT, 1, reject);
    run(&mut manager, START + HEARTBEAT, START + 10 * HEARTBEAT);
    assert!(
        !manager.is_leader(START + 10 * HEARTBEAT),
        "no higher ballot exists under which it could be elected"
    );
}

#[test]
fn a_leader_stays_in_the_view_with_the_maximum_epoch_number() {
    let mut manager = manager(&view(u32::MAX), 4);
    // Voter 2 is gone. A view in which process 3 replaces it would need an epoch number that does not exist.
    manager.set_alive_members([process(0), process(1), process(3)]);
    run(&mut manager, START, START + 10 * HEARTBEAT);
    assert!(manager.is_leader(START + 10 * HEARTBEAT));
    assert_eq!(manager.view().map(|view| view.epoch.number), Some(u32::MAX));
}
