//! Timeouts, retry pauses and rates of the discovery client, all in milliseconds.

use crate::settings::DiscoverySettings;
use brackenledge_policy::Millis;
use std::fmt;

/// Between the empty lines of a watch, by the protocol.
const KEEP_ALIVE_INTERVAL: Millis = 2_000.0;
/// A keep-alive this late is suspicious: far more than the jitter of any network seen (0.3 of 5 ms).
const KEEP_ALIVE_GRACE: Millis = 250.0;
/// An update that makes no progress in its middle for so long is late: its pieces come within 2 ms of one another.
const MID_UPDATE_LATE: Millis = 150.0;
/// A response that has not begun is late after this time for each scheduler, since all may be asking at once and a
/// request takes discovery some 0.3 s; within the two bounds that follow.
const RESPONSE_LATE_PER_SCHEDULER: Millis = 300.0;
const MIN_RESPONSE_LATE: Millis = 1_200.0;
/// A request waits in discovery's queue for 3 s at most: after this its connection may be dead.
pub(super) const MAX_RESPONSE_LATE: Millis = 3_500.0;
/// A request without a byte for so long is given up: neither the queue nor two keep-alives can take longer.
const IDLE_TIMEOUT: Millis = 4_500.0;
/// A connection that is not up by then won't be soon: TCP alone retries after 1, 3 and 7 s only.
const CONNECT_TIMEOUT: Millis = 400.0;
/// Pauses after a failure, where one discovery service serves all schedulers.
const RETRY: Backoff = Backoff { initial: 60.0, max: 2_000.0 };
/// Pauses after a failure in push mode. The service that pushes the list serves this scheduler alone, so retries do not
/// overload it. What it sends once it works again counts as received at once, so a retry must come within the grace
/// period of a draining endpoint.
const PUSH_MODE_RETRY: Backoff = Backoff { initial: 30.0, max: 80.0 };
/// In push mode a response that has not begun is late after this.
const PUSH_MODE_RESPONSE_LATE: Millis = 60.0;
/// In push mode a request whose response has not begun is given up after this.
const PUSH_MODE_IDLE_TIMEOUT: Millis = 200.0;
/// First pause after a rejection, by which discovery says that it is overloaded.
const INITIAL_REJECTED_RETRY: Millis = 500.0;
/// The longest pause after a rejection, for each scheduler: the more of them ask, the more it is overloaded.
const MAX_REJECTED_RETRY_PER_SCHEDULER: Millis = 200.0;
/// Requests a second that all schedulers together may keep up, for a discovery service that handles 3 to 5.
const TOTAL_REQUESTS_PER_SECOND: f64 = 4.0;
/// Upper bound of one scheduler's part of [`TOTAL_REQUESTS_PER_SECOND`]. The lower bound is one request in each longest
/// pause, whatever the number of schedulers.
const MAX_REQUESTS_PER_SECOND: f64 = 1.0;
/// The longest pause between two requests while no watch works, in units of `max_list_age`. A list may be used for one
/// such age after a request, and for four after a request that failed.
const MAX_RETRY_PAUSE_IN_LIST_AGES: f64 = 2.0;
/// A watch is replaced this often, however well it works: one that sends keep-alives but no updates would otherwise be
/// trusted for ever.
const WATCH_ROTATION_INTERVAL: Millis = 20_000.0;
/// Lower bound of the rotation interval for each scheduler, since discovery serves their requests one after another.
const WATCH_ROTATION_INTERVAL_PER_SCHEDULER: Millis = 2_000.0;

/// A pause between retries that doubles with each failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    initial: Millis,
    max: Millis,
}

impl Backoff {
    /// The pause after so many consecutive failures, without jitter.
    pub(super) fn pause(self, earlier_failures: u32) -> Millis {
        const MAX_DOUBLINGS: u32 = 10;
        (self.initial * f64::from(1 << earlier_failures.min(MAX_DOUBLINGS))).min(self.max)
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// Its connection is not up.
    Connecting,
    /// Its connection is up, and no response has begun.
    AwaitingResponse,
    /// Its response has begun.
    Streaming {
        /// The last bytes ended within an update.
        mid_update: bool,
    },
}

impl fmt::Display for RequestPhase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RequestPhase::Connecting => "connecting",
            RequestPhase::AwaitingResponse => "awaiting_response",
            RequestPhase::Streaming { mid_update: true } => "within_update",
            RequestPhase::Streaming { mid_update: false } => "between_updates",
        })
    }
}

/// For how long a request may be silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceLimits {
    /// After this it is late, and a second watch may be opened beside it.
    pub(super) late_after: Millis,
    /// After this it is given up.
    pub(super) give_up_after: Millis,
}

/// The times that hold for one scheduler, by its settings.
pub(super) struct ClientTiming {
    pub(super) retry: Backoff,
    pub(super) rejected_retry: Backoff,
    /// The longest pause between requests while no watch works.
    pub(super) max_retry_pause: Millis,
    /// Requests a millisecond that may be kept up.
    pub(super) request_rate: f64,
    pub(super) watch_rotation_interval: Millis,
    pub(super) response_late_after: Millis,
    response_give_up_after: Millis,
}

impl ClientTiming {
    pub(super) fn new(settings: &DiscoverySettings) -> Self {
        let schedulers = f64::from(settings.schedulers.max(1));
        let max_retry_pause = MAX_RETRY_PAUSE_IN_LIST_AGES * settings.max_list_age.max(1.0);
        let watch_rotation_interval =
            WATCH_ROTATION_INTERVAL.max(WATCH_ROTATION_INTERVAL_PER_SCHEDULER * schedulers);
        if settings.push_mode {
            return ClientTiming {
                retry: PUSH_MODE_RETRY,
                rejected_retry: Backoff { initial: PUSH_MODE_RETRY.max, max: PUSH_MODE_RETRY.max },
                max_retry_pause,
                request_rate: 1.0 / PUSH_MODE_RETRY.initial,
                watch_rotation_interval,
                response_late_after: PUSH_MODE_RESPONSE_LATE,
                response_give_up_after: PUSH_MODE_IDLE_TIMEOUT,
            };
        }
        let max_rejected_retry =
            RETRY.max.max(MAX_REJECTED_RETRY_PER_SCHEDULER * schedulers).min(max_retry_pause);
        let requests_per_second = (TOTAL_REQUESTS_PER_SECOND / schedulers)
            .min(MAX_REQUESTS_PER_SECOND)
            .max(1_000.0 / max_retry_pause);
        ClientTiming {
            retry: RETRY,
            rejected_retry: Backoff {
                initial: INITIAL_REJECTED_RETRY.min(max_rejected_retry),
                max: max_rejected_retry,
            },
            max_retry_pause,
            request_rate: requests_per_second / 1_000.0,
            watch_rotation_interval,
            response_late_after: (RESPONSE_LATE_PER_SCHEDULER * schedulers)
                .clamp(MIN_RESPONSE_LATE, MAX_RESPONSE_LATE),
            response_give_up_after: IDLE_TIMEOUT,
        }
    }

    /// For how long a request may be silent in this phase.
    pub(super) fn silence_limits(&self, phase: RequestPhase) -> SilenceLimits {
        let late_keep_alive = KEEP_ALIVE_INTERVAL + KEEP_ALIVE_GRACE;
        let (late_after, give_up_after) = match phase {
            RequestPhase::Connecting => (CONNECT_TIMEOUT, CONNECT_TIMEOUT),
            RequestPhase::AwaitingResponse => (self.response_late_after, self.response_give_up_after),
            RequestPhase::Streaming { mid_update: true } => (MID_UPDATE_LATE, late_keep_alive),
            RequestPhase::Streaming { mid_update: false } => (late_keep_alive, IDLE_TIMEOUT),
        };
        SilenceLimits { late_after, give_up_after }
    }
}
