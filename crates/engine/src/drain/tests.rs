use super::*;

#[derive(Clone, Copy, Debug)]
enum Call {
    LameDuck,
    Rejoin,
}

fn apply(drain: &mut Drain, call: Call, now: Millis) -> Change {
    match call {
        Call::LameDuck => drain.lame_duck(now),
        Call::Rejoin => drain.rejoin(),
    }
}

#[test]
fn of_two_calls_the_last_determines_the_state() {
    use Call::*;
    let cases = [
        (LameDuck, LameDuck, Change::Draining, Change::StillDraining, false),
        (LameDuck, Rejoin, Change::Draining, Change::Rejoined, true),
        (Rejoin, LameDuck, Change::StillServing, Change::Draining, false),
        (Rejoin, Rejoin, Change::StillServing, Change::StillServing, true),
    ];
    for (first, second, first_change, second_change, ready) in cases {
        let mut drain = Drain::default();
        assert_eq!(apply(&mut drain, first, 1_000.0), first_change, "{first:?} then {second:?}");
        assert_eq!(apply(&mut drain, second, 2_000.0), second_change, "{first:?} then {second:?}");
        assert_eq!(drain.is_ready(), ready, "{first:?} then {second:?}");
        assert_eq!(drain.keeps_connections(), ready);
        assert_eq!(drain.closes_idle_connections(), !ready);
    }
}

#[test]
fn a_repeated_lame_duck_does_not_restart_the_drain() {
    let mut drain = Drain::default();
    drain.lame_duck(1_000.0);
    drain.lame_duck(2_000.0);
    assert_eq!(drain.state(), State::Draining { since: 1_000.0 });
    assert!(!drain.admits_jobs(1_000.0 + ADMISSION_GRACE));
}

#[test]
fn jobs_are_admitted_while_the_front_proxy_may_still_send_them_and_rejected_after() {
    let mut drain = Drain::default();
    let start = 50_000.0;
    assert!(drain.admits_jobs(start));
    drain.lame_duck(start);
    // The front proxy checks health every 0.1 s and sends new connections for 0.2 s after the first failed
    // check.
    for after in [0.0, 100.0, 300.0, 1_000.0] {
        assert!(drain.admits_jobs(start + after), "{after} ms after the call");
    }
    // 4 s after the call no job younger than 2 s may be in flight, so that no job may be admitted after 2 s.
    for after in [ADMISSION_GRACE, 2_000.0, 4_000.0] {
        assert!(!drain.admits_jobs(start + after), "{after} ms after the call");
    }
    drain.rejoin();
    assert!(drain.admits_jobs(start + 4_000.0) && drain.is_ready());
}

#[test]
fn the_configured_admission_grace_applies() {
    for (admission_grace, after, admitted) in [(0.0, 0.0, false), (500.0, 400.0, true), (500.0, 500.0, false)]
    {
        let mut drain = Drain::new(admission_grace);
        drain.lame_duck(10_000.0);
        assert_eq!(
            drain.admits_jobs(10_000.0 + after),
            admitted,
            "grace {admission_grace}, {after} ms after the call"
        );
    }
}
