//! The rules that a history is judged by, and that a scenario may expect to be broken.

/// The rules by name: one answer to each attempt in time (`answers`), no retry beyond the class (`repeats`), nothing new
/// to a worker that drains (`drains`), no worker overloaded while it warms up (`cold`), no datagram over 256 bytes
/// (`messages`), no claim held by two (`claims`).
pub const RULES: [&str; 6] = ["answers", "repeats", "drains", "cold", "messages", "claims"];
