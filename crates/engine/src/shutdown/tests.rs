use super::*;

#[test]
fn every_job_is_answered_before_sigkill_whatever_the_deadlines() {
    for max_deadline in [50.0, 200.0, 800.0, 1_500.0, 3_000.0, 5_000.0, 60_000.0] {
        let shutdown = Shutdown::new(10.0, max_deadline);
        let sigkill = 10.0 + max_deadline.min(3_000.0) + 700.0;
        assert!(shutdown.answer_by() < sigkill, "{max_deadline}");
        // The front proxy sends new clients for up to 0.4 s after SIGTERM; they are served.
        assert!(
            shutdown.serve_until() >= 10.0 + 400.0 && !shutdown.is_closing_connections(410.0),
            "{max_deadline}"
        );
        assert!(shutdown.serve_until() <= shutdown.answer_by(), "{max_deadline}");
        assert_eq!(shutdown.time_left(shutdown.answer_by() + 1.0), 0.0);
    }
}

#[test]
fn with_long_deadlines_clients_are_served_for_two_seconds() {
    let shutdown = Shutdown::new(0.0, 6_000.0);
    assert_eq!((shutdown.answer_by(), shutdown.serve_until()), (3_400.0, 2_040.0));
}
