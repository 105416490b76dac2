//! The message with which a scheduler reports its observed load to the leader.

use brackenledge_zone_routing::SchedulerZoneReport;
use serde::{Deserialize, Serialize};

/// A scheduler's zone, and the load that it observed. It is encoded with `postcard`.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ZoneReport {
    pub zone: u8,
    pub observed: SchedulerZoneReport,
}

/// Why a zone report can't be decoded.
#[derive(Debug, thiserror::Error)]
pub(super) enum DecodeReportError {
    /// The bytes are truncated, or a number is out of range.
    #[error("malformed zone report")]
    Malformed(#[from] postcard::Error),
    /// The zone index is not one of the configured zones.
    #[error("zone report of unknown zone {0}")]
    UnknownZone(u8),
}

impl ZoneReport {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a report whose zone must be below `zone_count`.
    pub fn decode(bytes: &[u8], zone_count: usize) -> Result<ZoneReport, DecodeReportError> {
        let report: ZoneReport = postcard::from_bytes(bytes)?;
        if usize::from(report.zone) >= zone_count {
            return Err(DecodeReportError::UnknownZone(report.zone));
        }
        Ok(report)
    }
}
