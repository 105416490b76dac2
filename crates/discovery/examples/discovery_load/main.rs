//! Measures the load that 4 and 40 schedulers put on discovery without faults, with faulty connections and in
//! an outage, for the endpoint directory and for the rules that it replaced. Runs on a virtual clock: `cargo
//! run --release -p brackenledge-discovery --example discovery_load`.
#![allow(missing_docs)]

mod earlier_rules;
mod measurement;
#[path = "../../tests/support/simulated_discovery/mod.rs"]
mod simulated_discovery;

use brackenledge_discovery::EndpointDirectory;
use earlier_rules::EarlierRules;
use measurement::{CHANGING_ENDPOINT, Conditions, Load, measure};
use simulated_discovery::directory;

fn measure_earlier_rules(scheduler_count: u16, conditions: Conditions) -> Load {
    let nodes = (0..scheduler_count).map(|ordinal| EarlierRules::new(u64::from(ordinal))).collect();
    measure(nodes, conditions, |node: &EarlierRules, revision| node.revision < revision)
}

fn measure_directory(scheduler_count: u16, conditions: Conditions) -> Load {
    let nodes = (0..scheduler_count).map(|ordinal| directory(0.0, ordinal, scheduler_count, true)).collect();
    let is_unaware =
        |node: &EndpointDirectory, _| node.find(CHANGING_ENDPOINT).is_some_and(|id| node.is_ready(id));
    measure(nodes, conditions, is_unaware)
}

fn print_row(conditions: Conditions, scheduler_count: u16, rules: &str, load: &Load) {
    let Load { requests_per_second, max_requests_in_one_second, mean_unaware } = load;
    let name = format!("{conditions:?}").to_lowercase();
    let unaware = mean_unaware.map_or("-".to_owned(), |mean| format!("{mean:.0}"));
    println!(
        "{name:<8} {scheduler_count:>10} {rules:>9} {requests_per_second:>10.2} \
         {max_requests_in_one_second:>14} {unaware:>20}"
    );
}

fn main() {
    println!(
        "{:<8} {:>10} {:>9} {:>10} {:>14} {:>20}",
        "", "schedulers", "rules", "requests/s", "most in 1 s", "unaware, ms of 5000"
    );
    for conditions in [Conditions::Calm, Conditions::Faults, Conditions::Outage] {
        for scheduler_count in [4, 40] {
            let earlier = measure_earlier_rules(scheduler_count, conditions);
            let directory = measure_directory(scheduler_count, conditions);
            print_row(conditions, scheduler_count, "earlier", &earlier);
            print_row(conditions, scheduler_count, "directory", &directory);
        }
    }
}
