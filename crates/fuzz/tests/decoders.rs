//! Runs each target on random input, with few enough iterations for CI.
#![allow(missing_docs)]

macro_rules! targets {
    ($($target:ident)*) => {
        $(#[test]
        fn $target() {
            bolero::check!()
                .with_iterations(20_000)
                .for_each(|input: &[u8]| brackenledge_fuzz::$target(input));
        })*
    };
}

targets! {
    membership leases fenced_messages failover peer_messages
    responses request_heads chunked_bodies endpoint_lists operator_input
}
