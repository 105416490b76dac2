//! Parses and validates a whole scenario file.

use super::document::{ClusterDocument, Document};
use super::errors::{Problem, ScenarioErrors};
use super::reader::Reader;
use super::{Expectations, Scenario, expectations, faults};
use std::collections::BTreeMap;
use std::path::Path;

/// Parses and validates the text of a scenario file.
pub fn read(path: &Path, text: &str) -> Result<Scenario, ScenarioErrors> {
    let mut reader = Reader::new(path, text);
    let document: Document = match toml::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let position = error.span().map_or(0, |span| span.start);
            reader.report(position, Problem::Syntax(error.message().to_owned()));
            return Err(reader.into_errors());
        }
    };
    let mut scenario = read_cluster_and_traffic(&mut reader, &document);
    if scenario.mix.iter().sum::<f64>() <= 0.0 {
        reader.report(0, Problem::NoTraffic);
    }
    for (index, fault) in document.faults.iter().enumerate() {
        let fault = faults::read(&mut reader, &scenario, index + 1, fault);
        scenario.faults.extend(fault);
    }
    scenario.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    scenario.expect = expectations::read(&mut reader, &document.expect);
    let errors = reader.into_errors();
    if errors.0.is_empty() { Ok(scenario) } else { Err(errors) }
}

/// Reads everything except faults and expectations.
fn read_cluster_and_traffic(r: &mut Reader, document: &Document) -> Scenario {
    let (cluster, workers, traffic) = (&document.cluster, &document.workers, &document.traffic);
    let zones = cluster.zones.clone().filter(|z| !z.is_empty()).unwrap_or_else(|| vec!["north".into()]);
    let descriptors = cluster.descriptors.as_ref();
    Scenario {
        name: document.name.clone(),
        why: document.why.clone(),
        seed: document.seed,
        regions: read_regions(r, cluster, &zones),
        schedulers: r.count("cluster.schedulers", &Some(cluster.schedulers.clone()), 0, 1, 32),
        descriptors: descriptors.map(|_| r.count("cluster.descriptors", &cluster.descriptors, 0, 64, 65_536)),
        zones,
        operations: cluster.operations.clone(),
        failover: cluster.failover.clone(),
        workers: r.count("workers.count", &workers.count, 12, 1, 200),
        slots: r.count("workers.slots", &workers.slots, 3, 1, 64),
        queue: r.count("workers.queue", &workers.queue, 6, 0, 1_000),
        run_time: r.number("workers.run-time-ms", &workers.run_time_ms, 120.0, 1.0, 10_000.0),
        warm_up: r.number("workers.warm-up-ms", &workers.warm_up_ms, 3_000.0, 0.0, 60_000.0),
        initial_capacity: r.number("workers.initial-capacity", &workers.initial_capacity, 0.3, 0.05, 1.0),
        per_second: r.number("traffic.per-second", &traffic.per_second, 90.0, 1.0, 2_000.0),
        length: 1_000.0 * r.number("traffic.seconds", &traffic.seconds, 8.0, 0.5, 3_600.0),
        deadline: r.number("traffic.deadline-ms", &traffic.deadline_ms, 3_000.0, 100.0, 5_000.0),
        max_requests: r.count("traffic.max-requests", &traffic.max_requests, 3, 1, 10),
        retry_backoff: r.number("traffic.retry-backoff-ms", &traffic.retry_backoff_ms, 150.0, 1.0, 5_000.0),
        detection_delay: r.number(
            "traffic.detection-delay-ms",
            &traffic.detection_delay_ms,
            2_000.0,
            100.0,
            60_000.0,
        ),
        mix: [
            r.number("traffic.farm-view", &traffic.farm_view, 0.6, 0.0, 1.0),
            r.number("traffic.market-sale", &traffic.market_sale, 0.2, 0.0, 1.0),
            r.number("traffic.coin-buy", &traffic.coin_buy, 0.2, 0.0, 1.0),
        ],
        body_bytes: r.count("traffic.body-bytes", &traffic.body_bytes, 48, 1, 65_536),
        faults: Vec::new(),
        expect: Expectations::default(),
    }
}

fn read_regions(
    reader: &mut Reader,
    cluster: &ClusterDocument,
    zones: &[String],
) -> BTreeMap<String, Vec<usize>> {
    let mut regions = BTreeMap::new();
    for (region, zone_names) in &cluster.regions {
        let indices: Vec<Option<usize>> =
            (zone_names.get_ref().iter()).map(|name| zones.iter().position(|zone| zone == name)).collect();
        if indices.contains(&None) {
            let problem = Problem::UnknownZone { region: region.clone(), zones: zones.join(", ") };
            reader.report(zone_names.span().start, problem);
        }
        regions.insert(region.clone(), indices.into_iter().flatten().collect());
    }
    regions
}
