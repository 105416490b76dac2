use super::*;

#[test]
fn each_class_has_three_counts_and_the_gauges_follow() {
    let mut stats = JobStats::new(2);
    stats.record(0, JobEnd::Served);
    stats.record(0, JobEnd::Served);
    stats.record(1, JobEnd::Rejected);
    stats.record(1, JobEnd::Failed);
    stats.sent_attempts = 5;
    let names = ["farm-view".to_string(), "coin-buy".to_string()];
    let gauges = Gauges { pending_jobs: 3, endpoints: 12, unready_endpoints: 1 };
    let lines = render_lines(&stats, &names, &gauges);
    assert_eq!(
        lines,
        [
            "svc.fulfilled.farm-view=2",
            "svc.throttled.farm-view=0",
            "svc.faulted.farm-view=0",
            "svc.fulfilled.coin-buy=0",
            "svc.throttled.coin-buy=1",
            "svc.faulted.coin-buy=1",
            "svc.relayed=5",
            "svc.open_requests=3",
            "svc.registry_entries=12",
            "svc.out_of_rotation=1",
        ]
    );
}
