use super::*;
use crate::Scenario;
use std::path::Path;

#[test]
fn every_seed_gives_a_valid_scenario_and_the_same_one_each_time() {
    for seed in 0..400 {
        for draw in [draw, draw_failover] {
            let text = draw(seed);
            let scenario = Scenario::parse(Path::new("random.toml"), &text);
            assert!(scenario.is_ok(), "{seed}: {scenario:?}\n{text}");
            assert_eq!(text, draw(seed));
        }
    }
}
