//! Faults of connections to discovery.

/// What is wrong with one scheduler's connections to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing is.
    None,
    /// Bytes are accepted and never delivered, and new connections don't come up.
    BlackHole,
    /// Connections come up and requests arrive, but nothing comes back.
    OneWay,
    /// Updates break off in their middle, and the connection ends.
    EndMidUpdate,
    /// Updates break off in their middle, and the rest never comes.
    StallMidUpdate,
    /// A watch that was open when it began sends keep-alives and no news.
    NoNews,
    /// The machine refuses connections and has ended those that were open.
    RefuseConnections,
}

pub const FAULTS: [Fault; 6] = [
    Fault::BlackHole,
    Fault::OneWay,
    Fault::EndMidUpdate,
    Fault::StallMidUpdate,
    Fault::NoNews,
    Fault::RefuseConnections,
];
