//! The message by which a scheduler reports its observed load to the leader.

use brackenledge_zone_routing::SchedulerZoneReport;
use serde::{Deserialize, Serialize};

/// A scheduler's observed load and its zone.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ZoneReport {
    pub zone: u8,
    pub observed: SchedulerZoneReport,
}

/// Why bytes are not a report.
#[derive(Debug, thiserror::Error)]
pub(super) enum DecodeReportError {
    /// The bytes end early or hold a number out of range.
    #[error("malformed zone report")]
    Malformed(#[from] postcard::Error),
    /// The settings have no such zone.
    #[error("zone report of unknown zone {0}")]
    UnknownZone(u8),
}

impl ZoneReport {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// A report of one of so many zones.
    pub fn decode(bytes: &[u8], zone_count: usize) -> Result<ZoneReport, DecodeReportError> {
        let report: ZoneReport = postcard::from_bytes(bytes)?;
        if usize::from(report.zone) >= zone_count {
            return Err(DecodeReportError::UnknownZone(report.zone));
        }
        Ok(report)
    }
}
