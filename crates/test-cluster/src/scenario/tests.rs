use super::*;

fn read(text: &str) -> Result<Scenario, ScenarioErrors> {
    Scenario::parse(Path::new("a.toml"), text)
}

const HEAD: &str = "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 4\nzones = [\"north\", \"south\"]\n\
                    regions = { west = [\"north\"] }\n";

#[test]
fn a_zone_name_stands_for_its_schedulers_workers_and_clients_and_a_bidirectional_fault_isolates_them() {
    let text = format!(
        "{HEAD}[[fault]]\nkind = \"network\"\nat = 1.0\nuntil = 2\nfrom = [\"region west\"]\n\
         to = [\"zone south\", \"discovery\"]\nbidirectional = true\nblackhole = true\n"
    );
    let scenario = read(&text).expect("a scenario");
    let FaultAction::Network(links, conditions) = &scenario.faults[0].action else {
        panic!("{:?}", scenario.faults)
    };
    assert!(conditions.blackhole);
    for (from, to) in [
        (Node::Scheduler(0), Node::Scheduler(1)),
        (Node::Worker(3), Node::Scheduler(2)),
        (Node::Clients(0), Node::Scheduler(3)),
        (Node::Discovery, Node::Scheduler(2)),
    ] {
        assert!(links.contains(&Link::new(from, to)), "{from:?} to {to:?}");
    }
    let within_the_north = Link::new(Node::Scheduler(0), Node::Scheduler(2));
    assert!(!links.contains(&within_the_north), "both are in the north");
    assert_eq!(scenario.faults[0].until, Some(2_000.0));
}

#[test]
fn each_error_names_the_file_the_line_the_key_and_the_accepted_values() {
    let table = [
        ("[cluster]\nschedulers = 0", "a.toml:4: cluster.schedulers = 0: give a whole number from 1 to 32"),
        ("[cluster]\nschedulers = 2\nzone = 1", "a.toml:5: unknown field `zone`"),
        ("[cluster]\nschedulers = ", "a.toml:4: "),
        (
            "[cluster]\nschedulers = 2\nregions = { a = [\"x\"] }",
            "a.toml:5: cluster.regions.a: name zones of",
        ),
        (
            "[cluster]\nschedulers = 2\n[traffic]\nseconds = 0",
            "a.toml:6: traffic.seconds = 0: give a number from 0.5",
        ),
        (
            "[cluster]\nschedulers = 2\n[[fault]]\nkind = \"kill\"\nat = 9\ntargets = [\"scheduler 0\"]",
            "a.toml:7: fault 1 (kill): at = 9: give a number from 0 to 8",
        ),
        (
            "[cluster]\nschedulers = 2\n[[fault]]\nkind = \"kill\"\nat = 1\ntargets = [\"scheduler 2\"]",
            "a.toml:8: fault 1 (kill): targets = \"scheduler 2\": give all, discovery, clients, schedulers, workers, \
             lease-holder, leader, scheduler N (0 to 1)",
        ),
        (
            "[cluster]\nschedulers = 2\n[[fault]]\nkind = \"pause\"\nat = 1\ntargets = [\"scheduler 1\"]",
            "a.toml:6: fault 1 (pause): give until",
        ),
        (
            "[cluster]\nschedulers = 2\n[[fault]]\nkind = \"network\"\nat = 1\nfrom = [\"all\"]\nto = [\"all\"]",
            "a.toml:6: fault 1 (network): no network condition is set",
        ),
        (
            "[cluster]\nschedulers = 2\n[[fault]]\nkind = \"boom\"\nat = 1",
            "a.toml:6: fault 1 (boom): no such kind",
        ),
        (
            "[cluster]\nschedulers = 2\n[expect]\nviolations = [\"x\"]",
            "a.toml:6: expect.violations = \"x\": give rules of",
        ),
    ];
    for (text, start) in table {
        let text = format!("name = \"a\"\nwhy = \"b\"\n{text}\n");
        let error = read(&text).expect_err(&text).to_string();
        assert!(error.starts_with(start), "{text}\n-> {error}");
    }
    let two = "name = \"a\"\nwhy = \"b\"\n[cluster]\nschedulers = 0\n[workers]\ncount = 0\n";
    assert_eq!(
        read(two).expect_err("two errors").to_string().lines().count(),
        2,
        "all errors are reported at once"
    );
}

/// The same scenario with the current keys, kinds and names, and with those that files used up to commit
/// 365a0cf.
const CURRENT: &str = include_str!("tests/today.toml");
const FORMER: &str = include_str!("tests/former.toml");

#[test]
fn former_keys_and_kinds_are_read_as_the_current_ones() {
    let current = read(CURRENT).expect("a scenario");
    let mut former = read(FORMER).expect("a scenario");
    assert_eq!(current.faults.len(), 16, "all kinds except silent-watches and discovery-overload");
    for (former, current) in former.faults.iter_mut().zip(&current.faults) {
        // Labels repeat the words of the file, so they differ.
        former.label = current.label.clone();
    }
    assert_eq!(former, current);
}
