//! A member's latest known epoch is kept across a crash.
#![allow(missing_docs)]

mod support;

use serde_json::json;
use support::{Launch, Scheduler, run, settings};

#[test]
fn latest_known_epoch_is_stored_and_sent_after_a_crash() {
    use brackenledge_leases::{Epoch, Message, ProcessId};
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("operations.toml");
    let state = directory.path().join("state");
    let text = format!("[tier]\non = true\nstate_dir = {:?}\n", state.to_str().expect("a path"));
    std::fs::write(&file, text).expect("written");
    let start = || Launch { operations: Some(&file), ..Launch::default() }.start();
    // Waits for the scheduler's next join request and returns the epoch in it.
    let next_joined_epoch = |scheduler: &Scheduler| loop {
        let mut bytes = [0; 256];
        let count = scheduler.peer.recv(&mut bytes).expect("a datagram");
        if let (0xf2, Ok(Message::JoinRequest { latest_epoch, .. })) =
            (bytes[0], Message::decode(&bytes[1..count]))
        {
            return latest_epoch;
        }
    };
    let mut scheduler = start();
    assert_eq!(next_joined_epoch(&scheduler), Epoch::default());
    // Another member knows an epoch whose era is far ahead of all clocks.
    let later_epoch = Epoch { era: 4_000_000_000, number: 7 };
    let join_request =
        Message::JoinRequest { from: ProcessId { ordinal: 1, incarnation: 1 }, latest_epoch: later_epoch }
            .encode();
    scheduler.peer.send_to(&[&[0xf2], &join_request[..]].concat(), scheduler.peer_address).expect("sent");
    while next_joined_epoch(&scheduler) != later_epoch {}
    scheduler.child.kill().expect("killed");
    scheduler.child.wait().expect("the process ends");
    // A new process with the same ordinal sends the stored epoch in its first join request.
    let scheduler = start();
    assert_eq!(next_joined_epoch(&scheduler), later_epoch);
    drop(scheduler);
    // If the epoch file can't be read, the start fails, since the process might otherwise use an outdated
    // epoch.
    std::fs::write(state.join("tier-0.json"), "{\"era\":").expect("written");
    let config = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings(),
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1", "127.0.0.1:2"]});
    let output = run(&["serve", "--operations", file.to_str().expect("a path")], Some(&config));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{message}");
    assert!(message.contains("tier.state_dir: ") && message.contains("tier-0.json: "), "{message}");
}
