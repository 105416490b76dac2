use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn shares_round_trip_within_one_unit_and_fit_into_a_datagram(
        zones in 1..=MAX_ZONES,
        weights in proptest::collection::vec(0.0..1.0f64, MAX_ZONES * MAX_ZONES),
        served in proptest::collection::vec(0.0..=1.0f64, MAX_ZONES),
    ) {
        let shares: Vec<Vec<f64>> = (0..zones)
            .map(|origin| {
                let row = &weights[origin * zones..(origin + 1) * zones];
                let sum = row.iter().sum::<f64>().max(1e-9);
                row.iter().map(|weight| weight / sum * served[origin]).collect()
            })
            .collect();
        let plan =
            Plan::new(PlanVersion { term: [u32::MAX; 5].into(), sequence: u32::MAX }, u64::MAX, &shares);
        let bytes = plan.encode();
        prop_assert!(bytes.len() <= MAX_PLAN_BYTES, "{} bytes", bytes.len());
        prop_assert_eq!(Plan::decode(&bytes), Ok(plan.clone()));
        for (origin, row) in shares.iter().enumerate() {
            prop_assert!(
                (plan.rejected_share(origin) - (1.0 - served[origin])).abs() <= 1.0 / f64::from(SHARE_UNITS),
                "{:?}",
                row
            );
            for (target, share) in row.iter().enumerate() {
                prop_assert!((plan.share(origin, target) - share).abs() <= 1.0 / f64::from(SHARE_UNITS));
            }
        }
    }

    #[test]
    fn random_bytes_decode_to_a_valid_plan_or_an_error(
        bytes in proptest::collection::vec(any::<u8>(), 0..260),
    ) {
        if let Ok(plan) = Plan::decode(&bytes) {
            for origin in 0..plan.zone_count() {
                prop_assert!((-1e-9..=1.0).contains(&plan.rejected_share(origin)));
            }
        }
    }
}

#[test]
fn invalid_bytes_are_rejected_with_the_reason() {
    let plan = Plan::new(PlanVersion::default(), 0, &[vec![0.75, 0.25], vec![0.0, 1.0]]);
    let encode = |plan: Plan| plan.encode();
    let cases = [
        (vec![0; MAX_PLAN_BYTES + 1], DecodePlanError::TooLong { length: MAX_PLAN_BYTES + 1 }),
        (vec![0; 3], DecodePlanError::Malformed(postcard::Error::DeserializeUnexpectedEnd)),
        ([plan.encode(), vec![7]].concat(), DecodePlanError::TrailingBytes { length: 1 }),
        (encode(Plan { zone_count: 0, ..plan.clone() }), DecodePlanError::ZoneCount { zone_count: 0 }),
        (encode(Plan { zone_count: 13, ..plan.clone() }), DecodePlanError::ZoneCount { zone_count: 13 }),
        (
            encode(Plan { zone_count: 3, ..plan.clone() }),
            DecodePlanError::ShareCount { share_count: 4, zone_count: 3 },
        ),
        (
            encode(Plan { share_units: vec![150, 50, 100, 101], ..plan }),
            DecodePlanError::ShareSum { origin: 1 },
        ),
    ];
    for (bytes, reason) in cases {
        assert_eq!(Plan::decode(&bytes), Err(reason));
    }
}
