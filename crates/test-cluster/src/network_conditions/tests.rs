use super::*;
use rand::SeedableRng;

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered_in_the_configured_fractions() {
    let mut rng = rng();
    let table = [
        (NetworkConditions { loss: 0.3, ..NetworkConditions::default() }, 0.7),
        (NetworkConditions { duplicate: 0.2, ..NetworkConditions::default() }, 1.2),
        (NetworkConditions { blackhole: true, ..NetworkConditions::default() }, 0.0),
        (NetworkConditions { loss: 1.0, ..NetworkConditions::default() }, 0.0),
    ];
    for (conditions, mean) in table {
        let arrived: usize = (0..10_000).map(|_| conditions.arrivals(0.0, &mut rng).len()).sum();
        assert!((arrived as f64 / 10_000.0 - mean).abs() < 0.02, "{conditions:?}: {arrived}");
    }
    let conditions =
        NetworkConditions { delay: 5.0, jitter: 10.0, reorder: 0.25, ..NetworkConditions::default() };
    let times: Vec<f64> = (0..10_000).flat_map(|_| conditions.arrivals(100.0, &mut rng)).collect();
    assert!(times.iter().all(|t| (105.0..=155.0).contains(t)));
    let late = times.iter().filter(|&&t| t >= 145.0).count();
    assert!((2_200..2_800).contains(&late), "{late}");
}

#[test]
fn a_pipe_keeps_the_order_delivers_nothing_in_a_blackhole_and_is_cut_at_the_configured_byte() {
    let mut rng = rng();
    let slow = NetworkConditions { delay: 10.0, jitter: 20.0, ..NetworkConditions::default() };
    let mut pipe = Pipe::default();
    for byte in 0..50_u8 {
        pipe.push(f64::from(byte), Packet::Bytes(vec![byte]), &slow, &mut rng);
    }
    let blackhole = NetworkConditions { blackhole: true, ..slow.clone() };
    assert_eq!(pipe.take(1_000.0, &blackhole), None);
    assert_eq!(pipe.take(5.0, &slow), None, "the first byte arrives after 10 ms at the earliest");
    for byte in 0..50_u8 {
        assert_eq!(pipe.take(1_000.0, &slow), Some(Packet::Bytes(vec![byte])));
    }
    let cut = NetworkConditions { cut_at_byte: Some(3), ..NetworkConditions::default() };
    let mut pipe = Pipe::default();
    pipe.push(0.0, Packet::Bytes(vec![1, 2]), &cut, &mut rng);
    pipe.push(0.0, Packet::Bytes(vec![3, 4]), &cut, &mut rng);
    pipe.push(0.0, Packet::Bytes(vec![5]), &cut, &mut rng);
    let got: Vec<Packet> = std::iter::from_fn(|| pipe.take(0.0, &cut)).collect();
    assert_eq!(got, [Packet::Bytes(vec![1, 2]), Packet::Bytes(vec![3]), Packet::Reset]);
}

#[test]
fn a_bandwidth_limit_spreads_bytes_over_time() {
    let mut rng = rng();
    let conditions = NetworkConditions { bytes_per_s: 1_000.0, ..NetworkConditions::default() };
    let mut pipe = Pipe::default();
    for _ in 0..10 {
        pipe.push(0.0, Packet::Bytes(vec![0; 100]), &conditions, &mut rng);
    }
    let taken = |pipe: &mut Pipe, now| std::iter::from_fn(|| pipe.take(now, &conditions)).count();
    assert_eq!((taken(&mut pipe, 501.0), taken(&mut pipe, 1_001.0)), (5, 5));
}

#[test]
fn conditions_of_two_faults_on_one_link_are_combined() {
    let a = NetworkConditions { delay: 5.0, loss: 0.5, bytes_per_s: 100.0, ..NetworkConditions::default() };
    let b = NetworkConditions {
        loss: 0.5,
        cut_at_byte: Some(9),
        blackhole: true,
        ..NetworkConditions::default()
    };
    let both = a.combined_with(&b);
    assert_eq!((both.delay, both.loss, both.bytes_per_s), (5.0, 0.75, 100.0));
    assert_eq!((both.cut_at_byte, both.blackhole), (Some(9), true));
}
