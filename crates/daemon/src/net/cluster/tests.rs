//! The first byte of each kind of datagram between schedulers, and the duties' numbers, pinned: they are the same in all
//! builds of a tier. The expected values are those of commit 72e1d57.

use super::*;

#[test]
fn each_kind_of_datagram_begins_with_this_byte() {
    assert_eq!([MEMBERSHIP, OWNERSHIP, DEED, SEEN], [0xf1, 0xf2, 0xf3, 0xf4]);
}

#[test]
fn each_duty_has_this_number() {
    assert_eq!((RELAY, ZONES), (0, 1));
}
