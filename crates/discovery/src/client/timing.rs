//! Timeouts, retry pauses and rates of the discovery client, all in milliseconds.

use crate::settings::DiscoverySettings;
use brackenledge_policy::Millis;
use std::fmt;

/// Interval of a watch's keep-alives, which are empty lines, as set by the protocol.
const KEEP_ALIVE_INTERVAL: Millis = 2_000.0;
/// A keep-alive that is late by this much is suspicious: the largest network jitter observed is far smaller
/// (0.3 of 5 ms).
const KEEP_ALIVE_GRACE: Millis = 250.0;
/// An update that stalls in its middle for this long is late: its parts arrive within 2 ms of one another.
const MID_UPDATE_LATE: Millis = 150.0;
/// A response that has not begun is late after this time for each scheduler, since all of them may send
/// requests at once and discovery takes about 0.3 s for each. The next two constants are the bounds of the
/// product.
const RESPONSE_LATE_PER_SCHEDULER: Millis = 300.0;
const MIN_RESPONSE_LATE: Millis = 1_200.0;
/// A request waits in discovery's queue for at most 3 s. If it has no response after this time, its
/// connection may be dead.
pub(super) const MAX_RESPONSE_LATE: Millis = 3_500.0;
/// A request that receives no byte for this long is given up: neither the wait in discovery's queue nor two
/// keep-alive intervals take longer.
const IDLE_TIMEOUT: Millis = 4_500.0;
/// A connection that is not established within this time is given up: TCP itself retries only after 1, 3 and
/// 7 s.
const CONNECT_TIMEOUT: Millis = 400.0;
/// Retry pauses where one discovery service serves all schedulers.
const RETRY: Backoff = Backoff { initial: 60.0, max: 2_000.0 };
/// Retry pauses in push mode. The service that pushes the list serves only this scheduler, so retries do not
/// overload it. Updates that it sends once it works again count as received at once, so a retry must come
/// within the grace period of a draining endpoint.
const PUSH_MODE_RETRY: Backoff = Backoff { initial: 30.0, max: 80.0 };
/// In push mode a response that has not begun is late after this time.
const PUSH_MODE_RESPONSE_LATE: Millis = 60.0;
/// In push mode a request whose response has not begun is given up after this time.
const PUSH_MODE_IDLE_TIMEOUT: Millis = 200.0;
/// First retry pause after a rejection. Discovery rejects requests when it is overloaded.
const INITIAL_REJECTED_RETRY: Millis = 500.0;
/// Longest retry pause after a rejection, per scheduler: the load on discovery grows with their number.
const MAX_REJECTED_RETRY_PER_SCHEDULER: Millis = 200.0;
/// Sustained rate of requests by all schedulers together. Discovery handles 3 to 5 requests a second.
const TOTAL_REQUESTS_PER_SECOND: f64 = 4.0;
/// Upper bound of one scheduler's share of [`TOTAL_REQUESTS_PER_SECOND`]. The lower bound is one request per
/// longest retry pause, whatever the number of schedulers.
const MAX_REQUESTS_PER_SECOND: f64 = 1.0;
/// The longest pause between two requests while no watch works, in units of `max_list_age`. A list may be
/// used for one `max_list_age` after a request, and for four after a failed request.
const MAX_RETRY_PAUSE_IN_LIST_AGES: f64 = 2.0;
/// A watch is replaced at this interval even if it works. A watch that sends keep-alives but no updates would
/// otherwise be trusted forever.
const WATCH_ROTATION_INTERVAL: Millis = 20_000.0;
/// Lower bound of the rotation interval, per scheduler, since discovery serves their requests one after
/// another.
const WATCH_ROTATION_INTERVAL_PER_SCHEDULER: Millis = 2_000.0;

/// Retry pauses that double with each failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    initial: Millis,
    max: Millis,
}

impl Backoff {
    /// The pause, without jitter, after a failure that follows this many consecutive earlier ones.
    pub(super) fn pause(self, earlier_failures: u32) -> Millis {
        const MAX_DOUBLINGS: u32 = 10;
        (self.initial * f64::from(1 << earlier_failures.min(MAX_DOUBLINGS))).min(self.max)
    }
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// Its connection is not established.
    Connecting,
    /// Its connection is established, and its response has not begun.
    AwaitingResponse,
    /// Its response has begun.
    Streaming {
        /// The bytes received last ended within an update.
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

/// How long a request may be silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceLimits {
    /// After this time it is late, and a second watch may be opened beside it.
    pub(super) late_after: Millis,
    /// After this time it is given up.
    pub(super) give_up_after: Millis,
}

/// Timeouts, retry pauses and rates of one scheduler, derived from its settings.
pub(super) struct ClientTiming {
    pub(super) retry: Backoff,
    pub(super) rejected_retry: Backoff,
    /// The longest pause between two requests while no watch works.
    pub(super) max_retry_pause: Millis,
    /// Sustained rate of requests, per millisecond.
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

    /// How long a request may be silent in this phase.
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
