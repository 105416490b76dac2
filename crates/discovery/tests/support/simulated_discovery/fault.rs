//! Faults of connections to discovery.

/// The fault of one scheduler's connections to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connections work.
    None,
    /// Bytes are accepted and never delivered, and new connections are never established.
    BlackHole,
    /// Connections are established and requests arrive, but no response is delivered.
    OneWay,
    /// Updates break off in their middle, and the connection ends.
    EndMidUpdate,
    /// Updates break off in their middle, and the rest never arrives.
    StallMidUpdate,
    /// Watches that were open when the fault began deliver keep-alives but no updates.
    KeepAlivesOnly,
    /// Connections are refused, and those that were open have ended.
    RefuseConnections,
}

pub const FAULTS: [Fault; 6] = [
    Fault::BlackHole,
    Fault::OneWay,
    Fault::EndMidUpdate,
    Fault::StallMidUpdate,
    Fault::KeepAlivesOnly,
    Fault::RefuseConnections,
];
