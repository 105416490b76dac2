//! The endpoint directory, which connects the discovery client, the endpoint table and gossip.

use crate::anti_entropy::{AntiEntropy, PullFrom};
use crate::client::{
    ClientCommand, DiscoveryClient, Freshness, OpenReason, RequestEnd, RequestId, RequestKind,
};
use crate::command::{Command, WorkerUpdate};
use crate::counts::Counts;
use crate::endpoint::{EndpointRecord, EndpointStatus, StatusSource};
use crate::event::{Event, RequestEvent};
use crate::gossip::{EndpointChange, Gossip, ReceivedGossip, ReportedChange, is_gossip};
use crate::revision_gap::RevisionGap;
use crate::settings::DiscoverySettings;
use crate::signals::EndpointSignal;
use crate::table::{Availability, EndpointTable, ListUpdate};
use brackenledge_policy::{ListKind, Millis, Readiness, WorkerId};
use fastrand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Combined with the seed, so that the random sequence differs from those of other components with the same
/// seed.
const SEED_MASK: u64 = 0x05ea_5011;
/// Likewise, for the random numbers of anti-entropy.
const ANTI_ENTROPY_SEED_MASK: u64 = 0x0a17_e217;

/// The entries that a request has received since its last complete update.
struct PartialUpdate {
    /// When the request was opened.
    requested_at: Millis,
    records: Vec<EndpointRecord>,
}

/// One scheduler's knowledge of the endpoints. The crate documentation describes the invariant and the
/// inputs.
pub struct EndpointDirectory {
    table: EndpointTable,
    client: DiscoveryClient,
    gossip: Option<Gossip>,
    anti_entropy: AntiEntropy,
    revision_gap: RevisionGap,
    rng: Rng,
    anti_entropy_rng: Rng,
    partial_updates: BTreeMap<RequestId, PartialUpdate>,
    /// Whether discovery has sent a list since the start.
    list_received: bool,
    freshness: Freshness,
    /// Since when `freshness` has been `Fresh` without interruption; `None` while it is not.
    fresh_since: Option<Millis>,
    commands: VecDeque<Command>,
    counts: Counts,
}

impl EndpointDirectory {
    /// Creates a directory without endpoints.
    pub fn new(now: Millis, settings: DiscoverySettings) -> Self {
        let mut rng = Rng::with_seed(settings.seed ^ SEED_MASK);
        // A generator of its own, so that pulls do not shift the random sequence of the other components.
        let mut anti_entropy_rng = Rng::with_seed(settings.seed ^ ANTI_ENTROPY_SEED_MASK);
        let gossip = (settings.gossip && settings.schedulers > 1)
            .then(|| Gossip::new(now, settings.ordinal, settings.schedulers));
        EndpointDirectory {
            table: EndpointTable::default(),
            client: DiscoveryClient::new(now, &settings, rng.u64(..)),
            gossip,
            anti_entropy: AntiEntropy::new(now, &mut anti_entropy_rng),
            revision_gap: RevisionGap::new(settings.schedulers),
            rng,
            anti_entropy_rng,
            partial_updates: BTreeMap::new(),
            list_received: false,
            freshness: Freshness::Stale,
            fresh_since: None,
            commands: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    // ---- Queries.

    /// The address on which an endpoint listens for this scheduler; `None` if the endpoint or its address is
    /// unknown.
    pub fn address(&self, id: WorkerId) -> Option<SocketAddr> {
        self.table.get(id)?.record.address
    }

    /// Whether an endpoint accepts new jobs.
    pub fn is_ready(&self, id: WorkerId) -> bool {
        self.table.get(id).is_some_and(|endpoint| endpoint.readiness() == Readiness::Ready)
    }

    /// An endpoint's status, its source and its age.
    pub fn status(&self, now: Millis, id: WorkerId) -> Option<EndpointStatus> {
        self.table.status(now, id)
    }

    /// Whether jobs can be served: discovery has sent a list, or the cached list contains a ready endpoint. A
    /// cached list without one does not count, because this scheduler would reject every job.
    pub fn can_serve(&self) -> bool {
        self.list_received || self.table.listed_ready() > 0
    }

    /// All endpoints with their records and current readiness, including gone ones that are not removed yet.
    pub fn endpoints(&self) -> impl Iterator<Item = (WorkerId, &EndpointRecord, Readiness)> {
        self.table.endpoints()
    }

    /// The zone of an endpoint, as an index into the zones of the settings.
    pub fn zone(&self, id: WorkerId) -> Option<u32> {
        Some(self.table.get(id)?.record.zone)
    }

    /// The revision of the held list; `None` before the first list, cached or not.
    pub fn revision(&self) -> Option<u64> {
        self.table.revision()
    }

    /// How current the held list is, as of the last input.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Number of endpoints in the table, including gone ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether the table contains no endpoint, not even a gone one.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of endpoints that are not gone, and how many of them are ready.
    pub fn availability(&self) -> Availability {
        self.table.availability()
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The id of the endpoint with this name.
    pub fn find(&self, name: &str) -> Option<WorkerId> {
        self.table.find(name)
    }

    /// The name of an endpoint.
    pub fn name(&self, id: WorkerId) -> Option<&str> {
        self.table.name(id)
    }

    // ---- Discovery.

    /// Loads the list that was cached before a restart.
    pub fn load_cached(&mut self, now: Millis, revision: u64, records: Vec<EndpointRecord>) {
        let update =
            ListUpdate { revision, source: StatusSource::Cached, is_snapshot: false, requested_at: now };
        self.table.apply_update(now, &update, records);
        self.publish_entries(ListKind::Cached);
    }

    /// Subscribes the policy to changes, or ends its subscription.
    pub fn set_watching(&mut self, now: Millis, watching: bool) {
        self.client.set_watching(now, watching);
        self.advance(now);
    }

    /// Requests the complete list once, on behalf of the policy.
    pub fn request_poll(&mut self, now: Millis) {
        self.client.request_poll(now);
        self.advance(now);
    }

    /// Handles a new address of discovery: requests to the old address become suspect, and a new watch is
    /// opened at once.
    pub fn handle_address_change(&mut self, now: Millis) {
        self.client.handle_address_change(now);
        self.advance(now);
    }

    /// Handles the establishment of a request's connection.
    pub fn handle_connected(&mut self, now: Millis, request: RequestId) {
        self.client.handle_connected(now, request);
        self.advance(now);
    }

    /// Handles the head of a request's response.
    pub fn handle_response_head(&mut self, now: Millis, request: RequestId) {
        self.client.handle_response_head(now, request);
        self.advance(now);
    }

    /// Handles the receipt of response bytes. Call it after the entries and updates that the bytes completed
    /// have been handled. `mid_update`: the bytes end within an update.
    pub fn handle_bytes(&mut self, now: Millis, request: RequestId, mid_update: bool) {
        self.client.handle_bytes(now, request, mid_update);
        if mid_update {
            // Status changes are logged once the update is complete, or is late because it makes no progress.
            self.advance_without_status_events(now);
        } else {
            self.advance(now);
        }
    }

    /// Handles a keep-alive, which confirms the held list.
    pub fn handle_keep_alive(&mut self, now: Millis, request: RequestId) {
        self.client.handle_update(now, request, false);
        self.advance(now);
    }

    /// Handles one entry of an update. An entry that marks an endpoint as draining or gone takes effect at
    /// once, since the update may break off; all others are applied when the update is complete.
    pub fn handle_entry(&mut self, now: Millis, request: RequestId, record: EndpointRecord) {
        if record.readiness != Readiness::Ready
            && let Some(id) = self.table.find(&record.name)
        {
            self.table.withdraw(now, id, record.readiness);
            self.publish_entries(ListKind::Delta);
        }
        if let Some(partial) = self.partial_updates.get_mut(&request) {
            partial.records.push(record);
        }
    }

    /// Handles the end of an update. Its entries are those received since the previous update of the request.
    /// `is_snapshot`: they are the complete list rather than changes.
    pub fn handle_update(&mut self, now: Millis, request: RequestId, revision: u64, is_snapshot: bool) {
        let Some(partial) = self.partial_updates.get_mut(&request) else { return };
        let records = std::mem::take(&mut partial.records);
        let requested_at = partial.requested_at;
        let source = if self.client.is_watch(request) { StatusSource::Watch } else { StatusSource::Poll };
        let update = ListUpdate { revision, source, is_snapshot, requested_at };
        let held = self.table.revision();
        self.client.handle_update(now, request, held != Some(revision));
        // The revision is lower than the held one if a newer list arrived while a poll was under way, or if
        // discovery has restarted its revision numbering.
        if held.is_some_and(|held| revision < held) {
            if source == StatusSource::Poll && requested_at < self.table.revision_at() {
                self.event(Event::OutdatedListIgnored { revision });
                return self.advance(now);
            }
            self.restart_revisions(now, &update);
        }
        self.list_received = true;
        let held = self.table.revision();
        let changes = self.table.apply_update(now, &update, records);
        if held != Some(revision) || !changes.is_empty() {
            self.advertise_changes(now, revision, &changes);
        }
        self.reapply_peer_changes(now, revision, &changes);
        self.revision_gap.on_update(revision);
        self.publish_entries(ListKind::Delta);
        self.advance(now);
    }

    /// Handles a restart of discovery, after which its revision numbering starts over.
    fn restart_revisions(&mut self, now: Millis, update: &ListUpdate) {
        let held = self.table.revision().unwrap_or(0);
        self.event(Event::RevisionsRestarted { revision: update.revision });
        self.table.restart_revisions();
        self.anti_entropy.restart_revisions();
        if let Some(gossip) = &mut self.gossip {
            gossip.restart_revisions(now, held);
        }
        if !update.is_snapshot {
            self.client.request_poll(now);
        }
    }

    /// Applies peers' newer changes to endpoints that this update has made ready. Such a change had no effect
    /// when it arrived if the endpoint was not known then or was not ready by the list.
    fn reapply_peer_changes(&mut self, now: Millis, held: u64, changes: &[EndpointChange]) {
        let made_ready = changes.iter().filter(|change| change.readiness == Readiness::Ready);
        let Some(gossip) = &self.gossip else { return };
        let newer: Vec<ReportedChange> =
            made_ready.filter_map(|change| gossip.change_newer_than(held, change.tag)).collect();
        for ReportedChange { reporter, change } in newer {
            self.apply_peer_change(now, reporter, change);
        }
    }

    fn advertise_changes(&mut self, now: Millis, revision: u64, changes: &[EndpointChange]) {
        if let Some(gossip) = &mut self.gossip {
            gossip.on_list_change(now, revision, changes);
        }
    }

    /// Handles the end of a request.
    pub fn handle_request_end(&mut self, now: Millis, request: RequestId, end: RequestEnd) {
        self.partial_updates.remove(&request);
        if let Some(failure) = self.client.handle_end(now, request, end) {
            self.counts.failed_requests += 1;
            self.event(Event::Request(RequestEvent::Failed(failure)));
        }
        self.advance(now);
    }

    // ---- Peers and the endpoints themselves.

    /// Handles a message from another scheduler. Returns whether it is endpoint gossip; gossip that is
    /// invalid is ignored.
    pub fn handle_message(&mut self, now: Millis, from: u16, text: &str) -> bool {
        if !is_gossip(text) {
            return false;
        }
        let held = self.table.revision().unwrap_or(0);
        let Some(gossip) = &mut self.gossip else { return true };
        let Ok(received) = gossip.handle_message(now, from, text, held) else { return true };
        let known = received.known_revision;
        if received.is_reply {
            self.anti_entropy.on_reply(from, known);
        }
        self.anti_entropy.on_revision_mentioned(now, from, known, held, &mut self.anti_entropy_rng);
        self.apply_new_changes(now, from, &received);
        if self.list_received {
            self.revision_gap.on_claim(now, received.held_revision, held, &mut self.rng);
        }
        self.publish_entries(ListKind::Delta);
        self.advance(now);
        true
    }

    fn apply_new_changes(&mut self, now: Millis, from: u16, received: &ReceivedGossip) {
        if received.new_changes.is_empty() {
            return;
        }
        let reported_before = self.counts.first_reported_by_peer;
        for &change in &received.new_changes {
            self.apply_peer_change(now, from, change);
        }
        self.event(Event::ChangesLearned {
            from,
            revision: received.known_revision,
            changes: received.new_changes.len(),
            withdrawn: self.counts.first_reported_by_peer - reported_before,
            held_revision: self.table.revision().unwrap_or(0),
        });
    }

    fn apply_peer_change(&mut self, now: Millis, from: u16, change: EndpointChange) {
        let Some(id) = self.table.find_by_tag(change.tag) else { return };
        let source = StatusSource::Peer(from);
        if self.table.set_override(now, id, change.readiness, change.revision, source) {
            self.counts.first_reported_by_peer += 1;
        }
    }

    /// Handles a signal derived from an endpoint's behaviour.
    pub fn handle_signal(&mut self, now: Millis, id: WorkerId, signal: EndpointSignal) {
        if self.table.add_signal(now, id, signal) {
            self.table.update_inferred_statuses(now, self.freshness);
            self.publish_entries(ListKind::Delta);
            self.publish_status_changes();
        }
    }

    // ---- Time and commands.

    /// When [`EndpointDirectory::handle_timeout`] is to be called next; infinite if no timeout is pending.
    pub fn next_timeout(&self) -> Millis {
        let gossip = self
            .gossip
            .as_ref()
            .map_or(Millis::INFINITY, |gossip| gossip.next_timeout().min(self.anti_entropy.next_timeout()));
        let gap = self.revision_gap.next_timeout();
        self.client.next_timeout().min(gossip).min(gap).min(self.table.next_timeout())
    }

    /// Handles all timeouts that are due.
    pub fn handle_timeout(&mut self, now: Millis) {
        if let Some(revision) = self.revision_gap.take_missing(now) {
            self.event(Event::RevisionMissing { revision });
            self.client.suspect_watch();
        }
        self.table.expire(now, self.fresh_since);
        self.publish_entries(ListKind::Delta);
        self.advance(now);
    }

    /// Takes the next command to execute; `None` if there is none.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Executes what has become due with the latest input, and publishes all changes.
    fn advance(&mut self, now: Millis) {
        self.advance_without_status_events(now);
        self.publish_status_changes();
    }

    fn advance_without_status_events(&mut self, now: Millis) {
        self.client.handle_timeout(now);
        while let Some(command) = self.client.poll_command() {
            self.execute_client_command(now, command);
        }
        let freshness = self.client.freshness(now);
        if freshness != self.freshness {
            let (from, revision) = (self.freshness, self.table.revision().unwrap_or(0));
            self.event(Event::FreshnessChanged { from, to: freshness, revision });
            self.freshness = freshness;
            self.anti_entropy.on_freshness(now, freshness, &mut self.anti_entropy_rng);
            self.fresh_since = (freshness == Freshness::Fresh).then_some(now);
            self.table.update_inferred_statuses(now, freshness);
            self.publish_entries(ListKind::Delta);
        }
        self.send_gossip(now);
    }

    fn execute_client_command(&mut self, now: Millis, command: ClientCommand) {
        match command {
            ClientCommand::Open { request, kind, reason, is_second_watch } => {
                self.open_request(now, request, kind, reason);
                self.counts.second_watches += u64::from(is_second_watch);
            }
            ClientCommand::Event(event) => self.event(Event::Request(event)),
            ClientCommand::Cancel { request } => {
                self.partial_updates.remove(&request);
                self.commands.push_back(Command::CancelRequest { request });
            }
        }
    }

    fn open_request(&mut self, now: Millis, request: RequestId, kind: RequestKind, reason: OpenReason) {
        self.counts.requests += 1;
        self.partial_updates.insert(request, PartialUpdate { requested_at: now, records: Vec::new() });
        let since_revision = self.table.revision().unwrap_or(0);
        let opened = RequestEvent::Opened { request, kind, reason, since_revision };
        self.event(Event::Request(opened));
        self.commands.push_back(Command::OpenRequest { request, kind, since_revision });
    }

    fn send_gossip(&mut self, now: Millis) {
        let Some(gossip) = &mut self.gossip else { return };
        let held = self.table.revision().unwrap_or(0);
        let rng = &mut self.anti_entropy_rng;
        match self.anti_entropy.take_due(now, self.freshness, held, rng) {
            Some(PullFrom::Peer(peer)) => gossip.pull_from(peer),
            Some(PullFrom::Any) => gossip.pull_from_random(1, rng),
            None => {}
        }
        for message in gossip.due_messages(now, held, &mut self.rng) {
            self.counts.messages_sent += 1;
            self.counts.message_bytes_sent += message.text.len() as u64;
            self.commands.push_back(Command::SendMessage { to: message.to, text: message.text });
        }
    }

    /// Sends changed entries to the policy, never a complete list. Endpoints missing from a snapshot are sent
    /// as gone.
    fn publish_entries(&mut self, kind: ListKind) {
        let entries = self.table.take_changed_entries();
        if !entries.is_empty() {
            let entries = entries.into_iter().map(WorkerUpdate).collect();
            self.commands.push_back(Command::UpdateEndpoints { kind, entries });
        }
    }

    fn publish_status_changes(&mut self) {
        let events = self.table.take_status_events();
        self.commands.extend(events.into_iter().map(Command::Event));
    }

    fn event(&mut self, event: Event) {
        self.commands.push_back(Command::Event(event));
    }
}
