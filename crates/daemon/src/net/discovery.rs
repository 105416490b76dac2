//! I/O driver for the endpoint directory of the crate `discovery`: opens the HTTP requests that the directory
//! commands, decodes their responses, and logs the directory's events.

use super::Context;
use super::buffered_stream::BufferedStream;
use super::connector::connect;
use super::event_loop::{Alarm, Connection, Flow, Millis, Owner, drive};
use brackenledge_discovery::{
    EndpointRecord, Event, RequestEnd, RequestEvent, RequestId, RequestKind, readiness_name,
};
use brackenledge_policy::Readiness;
use brackenledge_protocol::config::Endpoint;
use brackenledge_protocol::http::{MAX_HEAD_BYTES, ResponseHead};
use brackenledge_protocol::list_stream::{ListFraming, ListItem, ListReader};
use slab::Slab;
use slog::{Logger, info, warn};
use std::net::SocketAddr;

/// Upper limit of a response body in bytes. Lists are decoded as they arrive, so this only stops endless
/// responses.
const MAX_LIST_BYTES: usize = 256 * 1024 * 1024;
/// Maximum number of body bytes that are buffered before they are decoded.
const MAX_INPUT_BYTES: usize = 64 * 1024;
const STATUS_OK: u16 = 200;
/// Index for a zone or machine kind that is missing from the settings.
const UNKNOWN_PLACEMENT: u32 = u32::MAX;

/// The configured names of zones and machine kinds, by the indices that [`EndpointRecord`] uses for them.
pub struct PlacementNames {
    /// Zone names, by zone index.
    pub zones: Vec<String>,
    /// Names of machine kinds, by kind index.
    pub kinds: Vec<String>,
}

impl PlacementNames {
    /// Converts an entry of a discovery list to a record of the endpoint directory.
    pub fn endpoint_record(&self, endpoint: Endpoint) -> EndpointRecord {
        EndpointRecord {
            zone: index_of(&self.zones, endpoint.zone.as_deref()),
            kind: index_of(&self.kinds, endpoint.kind.as_deref()),
            cell: endpoint.group.unwrap_or(0),
            readiness: readiness(endpoint.status.as_deref()),
            address: endpoint.address.parse().ok(),
            weight: endpoint.weight.unwrap_or(1.0),
            started_at: endpoint.since_ms.filter(|&since| since > 0.0),
            name: endpoint.name,
        }
    }
}

fn index_of(names: &[String], name: Option<&str>) -> u32 {
    let index = name.and_then(|name| names.iter().position(|known| known == name));
    index.map_or(UNKNOWN_PLACEMENT, |index| index as u32)
}

/// The readiness for a status from discovery. An unrecognized status counts as draining, so that the endpoint
/// gets no new jobs.
fn readiness(status: Option<&str>) -> Readiness {
    match status {
        None | Some("ready") => Readiness::Ready,
        Some("gone") => Readiness::Gone,
        Some(_) => Readiness::Draining,
    }
}

/// A request to discovery, either a watch or a poll, with its connection.
struct Request {
    stream: BufferedStream,
    id: RequestId,
    kind: RequestKind,
    is_connecting: bool,
    /// The response head, once it has been received.
    head: Option<ResponseHead>,
    reader: ListReader,
    /// The result to report if the connection is closed now.
    end: RequestEnd,
}

impl Request {
    /// Sets the result of the request and requests that its connection be closed.
    fn close(&mut self, end: RequestEnd) -> Flow {
        self.end = end;
        Flow::Close
    }

    /// Parses the response head, if it is complete. Returns `Flow::Close` if it is malformed or its status is
    /// not 200.
    fn read_head(&mut self, cx: &mut Context) -> Flow {
        match ResponseHead::take(&mut self.stream.buffer, MAX_LIST_BYTES) {
            Ok(Some(head)) if head.status == STATUS_OK => {
                self.head = Some(head);
                cx.endpoints.handle_response_head(cx.now, self.id);
                Flow::Keep
            }
            Ok(Some(_)) => self.close(RequestEnd::Rejected),
            Ok(None) => Flow::Keep,
            Err(_) => self.close(RequestEnd::InvalidResponse),
        }
    }

    /// Decodes the part of the body that has been received.
    fn read_body(&mut self, cx: &mut Context) -> Flow {
        let Some(head) = &mut self.head else { return Flow::Keep };
        let Ok(body_ended) = head.body.advance(&mut self.stream.buffer) else {
            return self.close(RequestEnd::InvalidResponse);
        };
        let bytes = head.body.take_all(&mut self.stream.buffer);
        let (now, id, endpoints) = (cx.now, self.id, &mut *cx.endpoints);
        let mut list_complete = false;
        let read = self.reader.feed(&bytes, |item| match item {
            ListItem::Entry(entry) => {
                endpoints.handle_entry(now, id, cx.placement_names.endpoint_record(entry))
            }
            ListItem::List { index, snapshot } => {
                list_complete = true;
                endpoints.handle_update(now, id, index, snapshot);
            }
            ListItem::KeepAlive => endpoints.handle_keep_alive(now, id),
        });
        if let Err(error) = read {
            warn!(cx.log, "discovery_response_invalid"; "error" => %error);
            return self.close(RequestEnd::InvalidResponse);
        }
        endpoints.handle_bytes(now, id, self.reader.is_mid_list());
        if list_complete && self.kind == RequestKind::Poll {
            return self.close(RequestEnd::Complete);
        }
        if body_ended { Flow::Close } else { Flow::Keep }
    }
}

impl Connection<Context<'_>> for Request {
    fn stream(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn is_connecting(&self) -> bool {
        self.is_connecting
    }

    fn on_open(&mut self, cx: &mut Context) -> Flow {
        self.is_connecting = false;
        self.end = RequestEnd::Closed;
        cx.endpoints.handle_connected(cx.now, self.id);
        Flow::Keep
    }

    fn on_input(&mut self, cx: &mut Context) -> Flow {
        if self.head.is_none()
            && let Flow::Close = self.read_head(cx)
        {
            return Flow::Close;
        }
        self.read_body(cx)
    }

    // Nothing is left to decode: `on_input` has decoded everything that was received.
    fn on_end(&mut self, _: &mut Context) {}

    fn max_input(&self) -> usize {
        MAX_INPUT_BYTES + MAX_HEAD_BYTES
    }
}

/// The open requests to the discovery service, each on its own connection.
pub struct DiscoveryConnections {
    address: SocketAddr,
    requests: Slab<Request>,
    /// Due time of the earliest alarm set for the endpoint directory; infinity if none is set.
    armed_for: Millis,
}

impl DiscoveryConnections {
    pub fn new(address: SocketAddr) -> Self {
        DiscoveryConnections { address, requests: Slab::new(), armed_for: Millis::INFINITY }
    }

    /// Applies a new address of discovery: a watch is opened there at once, starting from the revision that
    /// is held. The service at the old address is expected to end the requests that are open there.
    pub fn set_address(&mut self, address: SocketAddr, cx: &mut Context) {
        self.address = address;
        cx.endpoints.handle_address_change(cx.now);
    }

    /// Opens a request. `since_revision` is the revision from which a watch continues; polls ignore it.
    pub fn open_request(&mut self, id: RequestId, kind: RequestKind, since_revision: u64, cx: &mut Context) {
        if self.connect(id, kind, since_revision, cx).is_err() {
            cx.endpoints.handle_request_end(cx.now, id, RequestEnd::NoConnection);
        }
    }

    fn connect(
        &mut self,
        id: RequestId,
        kind: RequestKind,
        since_revision: u64,
        cx: &mut Context,
    ) -> std::io::Result<()> {
        let mut stream = BufferedStream::new(connect(self.address)?);
        let (target, framing) = match kind {
            RequestKind::Watch => {
                (format!("/discovery/hosts?follow=1&since={since_revision}"), ListFraming::ListPerLine)
            }
            RequestKind::Poll => ("/discovery/hosts".to_owned(), ListFraming::SingleList),
        };
        let head =
            format!("GET {target} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.address);
        stream.buffer.push(head.as_bytes());
        let slot = self.requests.vacant_entry();
        cx.event_loop.register(&mut stream.socket, Owner::Discovery(slot.key()))?;
        slot.insert(Request {
            stream,
            id,
            kind,
            is_connecting: true,
            head: None,
            reader: ListReader::new(framing),
            end: RequestEnd::NoConnection,
        });
        Ok(())
    }

    /// Closes the connection of a request without reporting its end to the endpoint directory.
    pub fn cancel_request(&mut self, id: RequestId, cx: &mut Context) {
        if let Some(at) = self.requests.iter().find(|(_, request)| request.id == id).map(|(at, _)| at) {
            cx.event_loop.deregister(&mut self.requests.remove(at).stream.socket);
        }
    }

    /// Handles a readiness event of the connection in slot `at`.
    pub fn on_ready(&mut self, at: usize, cx: &mut Context) {
        let Some(request) = self.requests.get_mut(at) else { return };
        match drive(request, cx) {
            Flow::Keep => {}
            Flow::Requeue => cx.event_loop.requeue(Owner::Discovery(at)),
            Flow::Close => {
                let mut request = self.requests.remove(at);
                cx.event_loop.deregister(&mut request.stream.socket);
                cx.endpoints.handle_request_end(cx.now, request.id, request.end);
            }
        }
    }

    /// Handles an alarm set by [`DiscoveryConnections::arm`].
    pub fn on_alarm(&mut self, cx: &mut Context) {
        if cx.now >= self.armed_for {
            self.armed_for = Millis::INFINITY;
        }
        cx.endpoints.handle_timeout(cx.now);
    }

    /// Sets an alarm for the endpoint directory's next timeout, unless one is set for that time or earlier.
    pub fn arm(&mut self, cx: &mut Context) {
        let next = cx.endpoints.next_timeout();
        if next < self.armed_for {
            self.armed_for = next;
            cx.event_loop.set_alarm(next, Alarm::Discovery);
        }
    }
}

/// Logs an event of the endpoint directory. The logger prints fields in reverse order of their declaration.
pub fn log_event(log: &Logger, event: Event) {
    match event {
        Event::EndpointStatusChanged(change) => info!(log, "endpoint_status_changed";
            "revision" => change.revision, "source" => %change.source, "to" => readiness_name(change.to),
            "from" => readiness_name(change.from), "endpoint" => change.endpoint),
        Event::EndpointStatusChangedMany(summary) => info!(log, "endpoint_status_changed_many";
            "revision" => summary.revision,
            "source" => summary.source.map_or("mixed".to_owned(), |source| source.to_string()),
            "to_gone" => summary.to_gone, "to_draining" => summary.to_draining, "to_ready" => summary.to_ready),
        Event::FreshnessChanged { from, to, revision } => info!(log, "discovery_freshness_changed";
            "revision" => revision, "to" => %to, "from" => %from),
        Event::ChangesLearned { from, revision, changes, withdrawn, held_revision } => {
            info!(log, "gossip_changes_learned"; "held_revision" => held_revision, "withdrawn" => withdrawn,
                "changes" => changes, "revision" => revision, "peer" => from);
        }
        Event::OutdatedListIgnored { revision } => {
            info!(log, "discovery_outdated_list_ignored"; "revision" => revision);
        }
        Event::RevisionsRestarted { revision } => {
            info!(log, "discovery_revisions_restarted"; "revision" => revision);
        }
        Event::RevisionMissing { revision } => {
            info!(log, "discovery_revision_missing"; "revision" => revision);
        }
        Event::Request(event) => log_request_event(log, event),
    }
}

fn log_request_event(log: &Logger, event: RequestEvent) {
    match event {
        RequestEvent::Opened { request, kind, reason, since_revision } => {
            info!(log, "discovery_request_opened";
            "since_revision" => since_revision, "reason" => %reason, "kind" => %kind, "request" => %request)
        }
        RequestEvent::Late { request, phase } => info!(log, "discovery_request_late";
            "phase" => %phase, "request" => %request),
        RequestEvent::GivenUp { request, phase, retry_after } => info!(log, "discovery_request_given_up";
            "retry_after_ms" => retry_after.round() as u64, "phase" => %phase, "request" => %request),
        RequestEvent::Failed(failure) => info!(log, "discovery_request_failed";
            "retry_after_ms" => failure.retry_after.round() as u64, "cause" => %failure.cause,
            "kind" => %failure.kind, "request" => %failure.request),
    }
}
