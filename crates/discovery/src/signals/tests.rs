use super::*;

#[test]
fn no_single_signal_suffices_and_evidence_that_is_not_repeated_decays() {
    for signal in [
        EndpointSignal::ReturnedWithCapacity,
        EndpointSignal::Returned,
        EndpointSignal::ConnectionRefused,
        EndpointSignal::ConnectionClosed,
    ] {
        let mut evidence = DrainEvidence::default();
        evidence.add(0.0, signal);
        assert!(evidence.value(0.0) < SUSPECT_THRESHOLD && evidence.is_negligible(60_000.0));
    }
    let mut evidence = DrainEvidence::default();
    evidence.add(0.0, EndpointSignal::ReturnedWithCapacity);
    evidence.add(100.0, EndpointSignal::ConnectionRefused);
    assert!(evidence.value(100.0) >= SUSPECT_THRESHOLD);
    (0..5).for_each(|_| evidence.add(100.0, EndpointSignal::JobServed));
    assert!(evidence.value(100.0) < SUSPECT_THRESHOLD);
}
