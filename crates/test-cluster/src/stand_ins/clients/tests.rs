use super::*;
use std::path::Path;

fn scenario() -> Scenario {
    let text = "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 4\nzones = [\"n\", \"s\"]\n";
    Scenario::parse(Path::new("a.toml"), text).expect("a scenario")
}

#[test]
fn clients_retry_lost_connections_and_rejections_while_time_is_left_but_not_failures() {
    let mut clients = ClientPopulation::new(&scenario());
    let mut rng = rand::SeedableRng::seed_from_u64(1);
    let not_served = NextStep::Done { served: false };
    let table = [
        (RequestEnd::ConnectionLost, 0.0, 1, None, NextStep::RetryAt(150.0)),
        (RequestEnd::Rejected, 0.0, 1, Some(900.0), NextStep::RetryAt(900.0)),
        (RequestEnd::Rejected, 2_500.0, 1, Some(900.0), not_served),
        (RequestEnd::ConnectionLost, 0.0, 3, None, not_served),
        (RequestEnd::Failed, 0.0, 1, None, not_served),
        (RequestEnd::Served("x".into()), 0.0, 1, None, NextStep::Done { served: true }),
    ];
    for (end, now, requests, retry_after, next) in table {
        let job = clients.create_job(0.0, &mut rng);
        clients.jobs[job].requests = requests;
        assert_eq!(clients.handle_request_end(now, job, &end, retry_after), next, "{end:?} at {now}");
    }
}
