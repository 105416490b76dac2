use super::*;

#[test]
fn every_class_shows_three_counts_and_the_gauges_follow() {
    let mut figures = Figures::new(2);
    figures.ended(0, End::Fulfilled);
    figures.ended(0, End::Fulfilled);
    figures.ended(1, End::Throttled);
    figures.ended(1, End::Faulted);
    figures.relayed = 5;
    let names = ["farm-view".to_string(), "coin-buy".to_string()];
    let gauges = Gauges { open_requests: 3, registry_entries: 12, out_of_rotation: 1 };
    let shown = lines(&figures, &names, &gauges);
    assert_eq!(
        shown,
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
