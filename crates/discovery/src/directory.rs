//! The endpoint directory: ties the discovery client, the endpoint table and gossip together.

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

/// Keeps the random numbers apart from those of other parts that are given the same seed.
const SEED_MASK: u64 = 0x05ea_5011;
const ANTI_ENTROPY_SEED_MASK: u64 = 0x0a17_e217;

/// What a request has brought of an update that is not complete yet.
struct PartialUpdate {
    /// When the request was opened.
    requested_at: Millis,
    records: Vec<EndpointRecord>,
}

/// What one scheduler knows of the endpoints; see the crate's page for the invariant and the table of inputs.
pub struct EndpointDirectory {
    table: EndpointTable,
    client: DiscoveryClient,
    gossip: Option<Gossip>,
    anti_entropy: AntiEntropy,
    revision_gap: RevisionGap,
    rng: Rng,
    anti_entropy_rng: Rng,
    partial_updates: BTreeMap<RequestId, PartialUpdate>,
    /// Discovery has sent a list since the start.
    list_received: bool,
    freshness: Freshness,
    /// Since when it has been fresh without a break, if it is.
    fresh_since: Option<Millis>,
    commands: VecDeque<Command>,
    counts: Counts,
}

impl EndpointDirectory {
    /// A directory without endpoints.
    pub fn new(now: Millis, settings: DiscoverySettings) -> Self {
        let mut rng = Rng::with_seed(settings.seed ^ SEED_MASK);
        // Its own, so that the other parts draw the same numbers whether there are pulls or not.
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

    /// Where an endpoint listens.
    pub fn address(&self, id: WorkerId) -> Option<SocketAddr> {
        self.table.get(id)?.record.address
    }

    /// Whether an endpoint takes new work.
    pub fn is_ready(&self, id: WorkerId) -> bool {
        self.table.get(id).is_some_and(|endpoint| endpoint.readiness() == Readiness::Ready)
    }

    /// An endpoint's status, who reported it, and for how long it has been so.
    pub fn status(&self, now: Millis, id: WorkerId) -> Option<EndpointStatus> {
        self.table.status(now, id)
    }

    /// Whether jobs can be served: discovery has sent a list, or the cached one names an endpoint that takes work. An
    /// empty cached list says nothing, and jobs sent to this scheduler on it would be rejected.
    pub fn can_serve(&self) -> bool {
        self.list_received || self.table.listed_ready() > 0
    }

    /// All endpoints with their statuses.
    pub fn endpoints(&self) -> impl Iterator<Item = (WorkerId, &EndpointRecord, Readiness)> {
        self.table.endpoints()
    }

    /// The zone of an endpoint.
    pub fn zone(&self, id: WorkerId) -> Option<u32> {
        Some(self.table.get(id)?.record.zone)
    }

    /// The revision of the list held.
    pub fn revision(&self) -> Option<u64> {
        self.table.revision()
    }

    /// How far discovery's list can be relied on now.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Endpoints in the table, gone ones that are not yet forgotten included.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no endpoint is known at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many endpoints there are, gone ones left out, and how many of them take work.
    pub fn availability(&self) -> Availability {
        self.table.availability()
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The endpoint of this name.
    pub fn find(&self, name: &str) -> Option<WorkerId> {
        self.table.find(name)
    }

    /// The name of an endpoint.
    pub fn name(&self, id: WorkerId) -> Option<&str> {
        self.table.name(id)
    }

    // ---- Discovery.

    /// Takes in the list as it was cached before a restart.
    pub fn load_cached(&mut self, now: Millis, revision: u64, records: Vec<EndpointRecord>) {
        let update =
            ListUpdate { revision, source: StatusSource::Cached, is_snapshot: false, requested_at: now };
        self.table.apply_update(now, &update, records);
        self.publish_entries(ListKind::Cached);
    }

    /// The policy subscribes to changes, or ends its subscription.
    pub fn set_watching(&mut self, now: Millis, watching: bool) {
        self.client.set_watching(now, watching);
        self.advance(now);
    }

    /// The policy asks for the whole list once.
    pub fn request_poll(&mut self, now: Millis) {
        self.client.request_poll(now);
        self.advance(now);
    }

    /// Discovery has a new address: requests to the old one are suspected, and a new watch is opened at once.
    pub fn handle_address_change(&mut self, now: Millis) {
        self.client.handle_address_change(now);
        self.advance(now);
    }

    /// A request's connection is up.
    pub fn handle_connected(&mut self, now: Millis, request: RequestId) {
        self.client.handle_connected(now, request);
        self.advance(now);
    }

    /// The head of a request's response has come.
    pub fn handle_response_head(&mut self, now: Millis, request: RequestId) {
        self.client.handle_response_head(now, request);
        self.advance(now);
    }

    /// Bytes of a response have come; to be called after the entries and updates that they completed were handled.
    /// `mid_update`: they end within an update.
    pub fn handle_bytes(&mut self, now: Millis, request: RequestId, mid_update: bool) {
        self.client.handle_bytes(now, request, mid_update);
        if mid_update {
            // Status changes are logged once the update is complete, or has stood still for long enough to be late.
            self.advance_without_status_events(now);
        } else {
            self.advance(now);
        }
    }

    /// A keep-alive has come: nothing has changed.
    pub fn handle_keep_alive(&mut self, now: Millis, request: RequestId) {
        self.client.handle_update(now, request, false);
        self.advance(now);
    }

    /// One entry of an update has come. What takes an endpoint out of use counts at once, for the update may break off;
    /// all else waits until the update is complete.
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

    /// An update is complete: the entries since the last one are changes, or all there is (`is_snapshot`).
    pub fn handle_update(&mut self, now: Millis, request: RequestId, revision: u64, is_snapshot: bool) {
        let Some(partial) = self.partial_updates.get_mut(&request) else { return };
        let records = std::mem::take(&mut partial.records);
        let requested_at = partial.requested_at;
        let source = if self.client.is_watch(request) { StatusSource::Watch } else { StatusSource::Poll };
        let update = ListUpdate { revision, source, is_snapshot, requested_at };
        let held = self.table.revision();
        self.client.handle_update(now, request, held != Some(revision));
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
            self.spread(now, revision, &changes);
        }
        self.reapply_gossip(now, revision, &changes);
        self.revision_gap.on_update(revision);
        self.publish_entries(ListKind::Delta);
        self.advance(now);
    }

    /// Discovery has restarted and counts its revisions from anew.
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

    /// A peer may have reported a newer change of an endpoint that this update makes ready: of one that was not known, or was
    /// out of use already, so that the report was of no use then.
    fn reapply_gossip(&mut self, now: Millis, held: u64, changes: &[EndpointChange]) {
        let made_ready = changes.iter().filter(|change| change.readiness == Readiness::Ready);
        let Some(gossip) = &self.gossip else { return };
        let newer: Vec<ReportedChange> =
            made_ready.filter_map(|change| gossip.change_beyond(held, change.tag)).collect();
        for ReportedChange { reporter, change } in newer {
            self.apply_gossip(now, reporter, change);
        }
    }

    fn spread(&mut self, now: Millis, revision: u64, changes: &[EndpointChange]) {
        if let Some(gossip) = &mut self.gossip {
            gossip.on_list_change(now, revision, changes);
        }
    }

    /// A request has ended.
    pub fn handle_request_end(&mut self, now: Millis, request: RequestId, end: RequestEnd) {
        self.partial_updates.remove(&request);
        if let Some(failure) = self.client.handle_end(now, request, end) {
            self.counts.failed_requests += 1;
            self.event(Event::Request(RequestEvent::Failed(failure)));
        }
        self.advance(now);
    }

    // ---- Peers and the endpoints themselves.

    /// Handles a message of another scheduler. Returns whether it is gossip on endpoints; gossip that does not decode is
    /// ignored.
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
        self.anti_entropy.on_revision_heard_of(now, from, known, held, &mut self.anti_entropy_rng);
        self.take_in_gossip(now, from, &received);
        if self.list_received {
            self.revision_gap.on_claim(now, received.held_revision, held, &mut self.rng);
        }
        self.publish_entries(ListKind::Delta);
        self.advance(now);
        true
    }

    fn take_in_gossip(&mut self, now: Millis, from: u16, received: &ReceivedGossip) {
        if received.news.is_empty() {
            return;
        }
        let reported_before = self.counts.first_reported_by_peer;
        for &change in &received.news {
            self.apply_gossip(now, from, change);
        }
        self.event(Event::ChangesLearned {
            from,
            revision: received.known_revision,
            changes: received.news.len(),
            withdrawn: self.counts.first_reported_by_peer - reported_before,
            held_revision: self.table.revision().unwrap_or(0),
        });
    }

    fn apply_gossip(&mut self, now: Millis, from: u16, change: EndpointChange) {
        let Some(id) = self.table.find_by_tag(change.tag) else { return };
        let source = StatusSource::Peer(from);
        if self.table.set_override(now, id, change.readiness, change.revision, source) {
            self.counts.first_reported_by_peer += 1;
        }
    }

    /// Takes in a signal from an endpoint's own behaviour.
    pub fn handle_signal(&mut self, now: Millis, id: WorkerId, signal: EndpointSignal) {
        if self.table.add_signal(now, id, signal) {
            self.table.review(now, self.freshness);
            self.publish_entries(ListKind::Delta);
            self.publish_status_changes();
        }
    }

    // ---- Time and commands.

    /// When [`EndpointDirectory::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Millis {
        let gossip = self
            .gossip
            .as_ref()
            .map_or(Millis::INFINITY, |gossip| gossip.next_timeout().min(self.anti_entropy.next_timeout()));
        let gap = self.revision_gap.next_timeout();
        self.client.next_timeout().min(gossip).min(gap).min(self.table.next_timeout())
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Millis) {
        if let Some(revision) = self.revision_gap.take_missing(now) {
            self.event(Event::RevisionMissing { revision });
            self.client.suspect_watch();
        }
        self.table.expire(now, self.fresh_since);
        self.publish_entries(ListKind::Delta);
        self.advance(now);
    }

    /// The next thing to do.
    pub fn poll_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Executes what the latest input has made due, and publishes all changes.
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
            self.table.review(now, freshness);
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

    /// Hands changed entries to the policy. That is never a whole list: an endpoint missing in one is reported as gone.
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
