use super::*;

/// Sends each job to the zone with the lowest cost, as if all zones had capacity, and returns the fraction of
/// the jobs that each zone received.
fn sent_fractions(shares: &[f64], jobs: usize) -> Vec<f64> {
    let mut cost_model = RouteCostModel::new(0, shares.len());
    let mut sent = vec![0.0; shares.len()];
    let mut costs = cost_model.costs(0, shares);
    for job in 0..jobs {
        let cheapest = (0..shares.len()).min_by(|&a, &b| costs[a].total_cmp(&costs[b])).expect("zones");
        cost_model.on_job_sent(cheapest);
        sent[cheapest] += 1.0 / jobs as f64;
        // Ten jobs are sent per second; costs are updated after every third job.
        if job % 3 == 0 {
            costs = cost_model.costs(job as Millis * 100, shares);
        }
    }
    sent
}

#[test]
fn costs_keep_the_shares() {
    for shares in [vec![1.0, 0.0, 0.0], vec![0.7, 0.3, 0.0], vec![0.0, 0.5, 0.5], vec![0.4, 0.2, 0.4]] {
        let sent = sent_fractions(&shares, 2_000);
        for (sent, share) in sent.iter().zip(&shares) {
            assert!((sent - share).abs() < 0.06, "sent {sent} instead of {share}, shares {shares:?}");
        }
    }
}

#[test]
fn the_local_zone_costs_nothing_and_zones_without_a_share_cost_most() {
    let mut cost_model = RouteCostModel::new(1, 2);
    assert_eq!(cost_model.costs(0, &[0.0, 1.0]), [MAX_COST, 0.0]);
    (0..100).for_each(|_| cost_model.on_job_sent(1));
    assert_eq!(cost_model.costs(10, &[0.0, 1.0]), [MAX_COST, 0.0]);
    assert_eq!(cost_model.costs(10, &[]), [MAX_COST, MAX_COST]);
}
