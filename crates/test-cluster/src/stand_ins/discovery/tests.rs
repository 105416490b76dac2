use super::*;

fn names(list: &Value) -> Vec<String> {
    let endpoints = list["endpoints"].as_array().expect("a list");
    endpoints
        .iter()
        .map(|e| format!("{} {}", e["name"].as_str().unwrap(), e["status"].as_str().unwrap()))
        .collect()
}

fn since(list: &EndpointList, revision: u64) -> Value {
    list.since(revision, |w| format!("127.0.0.1:{w}"), |_| "north".into()).document
}

#[test]
fn changes_are_announced_in_order_after_the_delay_and_a_stale_list_does_not_change() {
    let mut list = EndpointList::new(3);
    list.delay = 100.0;
    list.change(0.0, 1, EndpointStatus::Draining, None);
    assert!(!list.apply_due(99.0));
    assert!(list.apply_due(100.0));
    assert_eq!((list.revision(), names(&since(&list, 1))), (2, vec!["w1 draining".into()]));
    list.set_stale(true);
    list.delay = 0.0;
    list.change(101.0, 1, EndpointStatus::Gone, None);
    list.change(101.0, 2, EndpointStatus::Ready, Some(5_000.0));
    assert!(list.apply_due(101.0));
    assert_eq!(names(&since(&list, 0)), ["w0 ready", "w1 draining", "w2 ready"]);
    list.set_stale(false);
    assert_eq!(names(&since(&list, 2)), ["w1 gone", "w2 ready"]);
    assert_eq!(
        names(&since(&list, 0)),
        ["w0 ready", "w2 ready"],
        "the complete list leaves out workers that are gone"
    );
    assert_eq!(since(&list, 2)["endpoints"][1]["since_ms"], 5_000.0);
    assert_eq!(since(&list, 9)["snapshot"], true, "the complete list for an unknown revision");
}
