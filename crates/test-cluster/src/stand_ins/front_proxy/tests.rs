use super::*;
use std::path::Path;

fn scenario() -> Scenario {
    let text = "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 4\nzones = [\"n\", \"s\"]\n";
    Scenario::parse(Path::new("a.toml"), text).expect("a scenario")
}

#[test]
fn clients_stay_in_their_zone_and_a_silent_scheduler_is_in_use_until_the_detection_delay_is_over() {
    let mut front = FrontProxy::new(&scenario());
    assert_eq!(front.select(0), None);
    (0..4).for_each(|at| front.handle_health(0.0, at, Health::Up));
    assert!(front.all_up());
    let selected = |front: &mut FrontProxy| {
        let mut all: Vec<_> = (0..40).filter_map(|_| front.select(0)).collect();
        all.sort_unstable();
        all.dedup();
        all
    };
    assert_eq!(selected(&mut front), [0, 2]);
    front.handle_health(100.0, 0, Health::NoAnswer);
    front.handle_health(2_000.0, 0, Health::NoAnswer);
    assert_eq!(selected(&mut front), [0, 2], "not detected yet");
    front.handle_health(2_100.0, 0, Health::NoAnswer);
    assert_eq!(selected(&mut front), [2]);
    front.handle_health(2_200.0, 2, Health::Down);
    assert_eq!(selected(&mut front), [1, 3], "an answer counts at once");
}
