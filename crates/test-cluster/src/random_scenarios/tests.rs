use super::*;
use crate::Scenario;
use std::path::Path;

#[test]
fn every_seed_draws_a_scenario_that_is_valid_and_the_same_one_each_time() {
    for seed in 0..400 {
        for draw in [draw, draw_failover] {
            let text = draw(seed);
            let scenario = Scenario::parse(Path::new("drawn.toml"), &text);
            assert!(scenario.is_ok(), "{seed}: {scenario:?}\n{text}");
            assert_eq!(text, draw(seed));
        }
    }
}
