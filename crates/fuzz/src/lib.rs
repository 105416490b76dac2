//! One fuzz target for each decoder of external input, which comes from clients, workers, discovery, other
//! schedulers or operators. Each target accepts any bytes, and must neither panic nor buffer more than its
//! limits allow. Decoded messages are passed on to the state machine that handles them, since a message that
//! decodes may still carry a number that overflows there.
//!
//! `tests/decoders.rs` runs the targets on random input as part of the test suite. To fuzz one of them with
//! libFuzzer for any length of time: `cargo bolero test -p brackenledge-fuzz --test decoders leases`. An
//! input that fails is added to the unit tests of the crate at fault.

use brackenledge_discovery::{DiscoverySettings, EndpointDirectory, EndpointRecord};
use brackenledge_failover::{Failover, Frame, Session};
use brackenledge_leases::{
    Command, Epoch, FencingGuard, FencingToken, LeaseManager, MAX_MESSAGE_LENGTH, Message, View,
};
use brackenledge_membership::{Membership, ProcessId, SwimConfig};
use brackenledge_policy::{Dispatcher, Event, ListKind, Readiness, Settings, WorkerEntry};
use brackenledge_protocol::http::{Buffer, MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestHead, ResponseHead};
use brackenledge_protocol::job_head::{ClassRule, JobHead, JobRules, MAX_TRACE_ID_LEN};
use brackenledge_protocol::list_stream::{ListFraming, ListItem, ListReader};
use brackenledge_protocol::{control, operations::Operations, worker};
use std::path::Path;

/// Splits an input into length-prefixed messages. The prefix is one byte; the last message may be cut short.
fn messages(mut input: &[u8]) -> Vec<&[u8]> {
    let mut messages = Vec::new();
    while let Some((&length, rest)) = input.split_first() {
        let (message, rest) = rest.split_at(rest.len().min(usize::from(length)));
        messages.push(message);
        input = rest;
    }
    messages
}

/// Converts bytes to encoded numbers, most of them small, as the numbers of one cluster are, so that more
/// messages refer to the same members, views and jobs. The other numbers are the largest of their type.
fn with_small_numbers(bytes: &[u8]) -> Vec<u8> {
    let number = |&byte: &u8| match byte {
        0xf8..=0xff => vec![0xff, 0xff, 0xff, 0xff, 0x0f],
        0xf0..=0xf7 => [vec![0xff; 9], vec![0x01]].concat(),
        byte => vec![byte & 3],
    };
    bytes.iter().flat_map(number).collect()
}

const fn process(ordinal: u16) -> ProcessId {
    ProcessId { ordinal, incarnation: 1 }
}

/// Datagrams of the membership protocol, handled by one of five members.
pub fn membership(input: &[u8]) {
    let mut member = Membership::new(0.0, process(0), vec![1, 2, 3, 4], &SwimConfig::for_cluster_size(5), 1);
    for (at, bytes) in messages(input).into_iter().enumerate() {
        member.handle_message(at as f64, bytes);
        member.handle_timeout(at as f64);
        while let Some(command) = member.poll_command() {
            if let brackenledge_membership::Command::Send { bytes, .. } = command {
                assert!(bytes.len() <= brackenledge_membership::MAX_MESSAGE_BYTES);
            }
        }
    }
}

/// Number of message kinds of the lease protocol.
const MESSAGE_KINDS: u8 = 17;

/// Datagrams of the lease protocol, handled by a voter of a three-voter view and by a process that has just
/// started. Each message is handled as if it came from its stated sender.
pub fn leases(input: &[u8]) {
    let settings = brackenledge_leases::Settings {
        member_lease_duration: 2_500_000,
        ..brackenledge_leases::Settings::new(5, 2)
    };
    let view = View { epoch: Epoch { era: 1, number: 1 }, voters: (0..3).map(process).collect() };
    let in_view = LeaseManager::in_view(1_000_000, process(0), settings, view);
    let starting = LeaseManager::new(1_000_000, process(0), 1, settings);
    for mut manager in [in_view, starting] {
        manager.set_alive_members((0..5).map(process));
        let mut now = 1_000_000;
        for bytes in messages(input) {
            now += 100_000;
            // The bytes unchanged, and all prefixes of the bytes with a valid message kind and small numbers.
            // Inputs that decode are handled.
            let mut inputs = vec![bytes.to_vec()];
            if let Some((&kind, rest)) = bytes.split_first() {
                let input: Vec<u8> =
                    std::iter::once(kind % MESSAGE_KINDS).chain(with_small_numbers(rest)).collect();
                inputs.extend((1..=input.len()).map(|end| input[..end].to_vec()));
            }
            for message in inputs.iter().filter_map(|input| Message::decode(input).ok()) {
                manager.handle_message(now, message.from().ordinal, message);
            }
            manager.handle_timeout(now);
            let _ = (manager.next_timeout(now), manager.member_lease(now), manager.active_member_count(now));
            let _ = (manager.status(now), manager.holds_lease(now, 0));
            while let Some(command) = manager.poll_command() {
                if let Command::Send { message, .. } | Command::Broadcast(message) = command {
                    assert!(message.encode().len() <= MAX_MESSAGE_LENGTH, "{message:?}");
                }
            }
        }
    }
}

/// Fenced messages, handled by a fencing guard.
pub fn fenced_messages(input: &[u8]) {
    let mut guard = FencingGuard::default();
    for bytes in messages(input) {
        if let Ok((token, _)) = FencingToken::decode_message(bytes) {
            let accepted = guard.accept(token.role, token.term, token.holder);
            guard.observe(token.role, token.term, token.holder);
            // A guard accepts a term that it has observed, unless it has already seen a later term.
            assert!(accepted.is_err() || guard.accept(token.role, token.term, token.holder).is_ok());
        }
    }
}

/// Frames between schedulers, handled by a session and by the replica and job owner behind it.
pub fn failover(input: &[u8]) {
    let mut session = Session::new(process(1));
    let mut failover = Failover::new(process(0), 0, brackenledge_failover::Settings::default());
    let members = (0..3).map(process).collect();
    let term = brackenledge_leases::Term { epoch: Epoch { era: 1, number: 1 }, ..Default::default() };
    failover.set_member_lease(1_000_000, 3_000_000);
    failover.apply_member_list(1_000_000, term, &members);
    for (at, bytes) in messages(input).into_iter().enumerate() {
        let now = 1_000_000 + at as u64 * 1_000;
        if let Ok(frame) = Frame::decode(&mut bytes.to_vec())
            && let Ok(Some(message)) = session.handle_frame(frame)
        {
            failover.handle_message(now, process(1), message);
        }
        // Random bytes are rarely a valid frame, so the messages that frames carry are also decoded without
        // one.
        for payload in [bytes.to_vec(), with_small_numbers(bytes)] {
            if let Ok((message, _)) = postcard::take_from_bytes(&payload) {
                failover.handle_message(now, process(1), message);
            }
        }
        failover.handle_timeout(now);
        while let Some(command) = failover.poll_command() {
            if let brackenledge_failover::Command::Send { message, urgent, .. } = command {
                session.enqueue(message, urgent);
            }
        }
        while session.poll_frame().is_some() {}
    }
}

/// Text messages between schedulers: gossip about endpoints, and the loads and aggregated loads of the policy
/// module.
pub fn peer_messages(input: &[u8]) {
    let settings = DiscoverySettings {
        ordinal: 0,
        schedulers: 12,
        gossip: true,
        push_mode: false,
        max_list_age: 10_000.0,
        seed: 1,
    };
    let mut directory = EndpointDirectory::new(0.0, settings);
    let record = |name: &str| EndpointRecord {
        name: name.to_owned(),
        address: None,
        zone: 0,
        kind: 0,
        cell: 0,
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: None,
    };
    directory.load_cached(0.0, 1, vec![record("s-a"), record("s-b")]);
    let settings = Settings { schedulers: 12, peer_messages: true, ..Settings::default() };
    let mut dispatcher = Dispatcher::new(0.0, settings, 1);
    let entry = |id: usize| WorkerEntry {
        id,
        name: format!("s-{id}"),
        readiness: Readiness::Ready,
        weight: 1.0,
        ..WorkerEntry::default()
    };
    let mut actions = Vec::new();
    let list = Event::Workers { kind: ListKind::Full, entries: (0..3).map(entry).collect() };
    dispatcher.handle(0.0, list, &mut actions);
    for (at, bytes) in messages(input).into_iter().enumerate() {
        let Ok(text) = std::str::from_utf8(bytes) else { continue };
        // The first character of a text states its kind, which random bytes rarely do.
        for text in [text.to_owned(), format!("d{text}"), format!("{{{text}}}")] {
            let now = 1.0 + at as f64;
            if !directory.handle_message(now, 1, &text) {
                dispatcher.handle(now, Event::PeerMessage { from: 1, text }, &mut actions);
            }
        }
        while directory.poll_command().is_some() {}
        actions.clear();
    }
}

/// Responses of a worker, received in pieces of any size.
pub fn responses(input: &[u8]) {
    let mut buffer = Buffer::default();
    let (mut head, mut buffered) = (None, 0);
    for piece in messages(input) {
        let mut source = piece;
        while let Ok(1..) = buffer.read_from(&mut source) {}
        if head.is_none() {
            match ResponseHead::take(&mut buffer, MAX_BODY_BYTES) {
                Ok(found) => head = found,
                Err(_) => return,
            }
        }
        let Some(head) = &mut head else { continue };
        let Ok(ended) = head.body.advance(&mut buffer) else { return };
        while let Some(line) = head.body.take_line(&mut buffer) {
            let _ = (worker::decode_line(&line), worker::decode_load(&line));
        }
        buffered = buffered.max(head.body.ready());
        if ended {
            head.body.take_all(&mut buffer);
            return;
        }
    }
    assert!(buffered <= MAX_BODY_BYTES, "{buffered} bytes buffered, at most {MAX_BODY_BYTES} allowed");
}

/// Headers that a request head may have.
const REQUEST_HEADERS: [&str; 12] = [
    "X-Qos",
    "X-Trace-Id",
    "X-Customer",
    "X-Expires-In-Ms",
    "X-Size-Hint",
    "Idempotency-Key",
    "X-Props",
    "Content-Type",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Expect",
];

/// Heads of clients' requests: the input unchanged, and the input as the values of a job's headers.
pub fn request_heads(input: &[u8]) {
    let mut text = b"POST /buy/k1 HTTP/1.1\r\nX-Qos: buy\r\nX-Trace-Id: t1\r\n".to_vec();
    for line in messages(input) {
        let Some((&header, value)) = line.split_first() else { continue };
        let name = REQUEST_HEADERS[usize::from(header) % REQUEST_HEADERS.len()];
        text.extend([name.as_bytes(), b": ", value, b"\r\n"].concat());
    }
    text.extend(b"\r\n");
    request_head(input);
    request_head(&text);
}

/// Checks that a head is complete at its length and not before, and that the job in it respects the limits.
fn request_head(input: &[u8]) {
    let Ok(Some(head)) = RequestHead::decode(input) else { return };
    assert!(head.length <= input.len().min(MAX_HEAD_BYTES));
    let exact_length = RequestHead::decode(&input[..head.length]).ok().flatten().map(|head| head.length);
    assert_eq!(exact_length, Some(head.length));
    assert!(matches!(RequestHead::decode(&input[..head.length - 1]), Ok(None)));
    let _ = head.body();
    let class = ClassRule { name: "buy".to_owned(), requires_idempotency_key: input.len() % 2 == 1 };
    let rules = JobRules { classes: vec![class], tenants: Vec::new() };
    let Ok(job) = JobHead::decode(&head, &rules) else { return };
    assert!((1..=MAX_TRACE_ID_LEN).contains(&job.trace_id.len()));
    let numbers =
        [job.expires_in, job.size_hint_micros, Some(job.resources.slots), Some(job.resources.memory)];
    assert!(numbers.into_iter().flatten().all(|number| number.is_finite() && number >= 0.0));
}

/// Bodies in chunked encoding: the content must not depend on how the input is split.
pub fn chunked_bodies(input: &[u8]) {
    let head = RequestHead::decode(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    let head = head.ok().flatten().expect("the head is complete");
    let read = |pieces: &[&[u8]]| {
        let mut body = head.body().ok()?;
        let mut buffer = Buffer::default();
        for piece in pieces {
            let mut source = *piece;
            while let Ok(1..) = buffer.read_from(&mut source) {}
            if body.advance(&mut buffer).ok()? {
                break;
            }
        }
        Some(body.take_all(&mut buffer))
    };
    let single_bytes: Vec<&[u8]> = input.chunks(1).collect();
    if let (Some(whole), Some(pieces)) = (read(&[input]), read(&single_bytes)) {
        assert_eq!(whole, pieces);
    }
    assert!(
        input.len() > MAX_HEAD_BYTES || read(&[input]).is_none_or(|content| content.len() <= input.len())
    );
}

/// Endpoint lists of discovery, received in pieces of any size: the result must not depend on how the input
/// is split.
pub fn endpoint_lists(input: &[u8]) {
    let read = |pieces: &mut dyn Iterator<Item = &[u8]>, framing: ListFraming| {
        let mut reader = ListReader::new(framing);
        let mut items = Vec::new();
        for piece in pieces {
            let result = reader.feed(piece, |item| {
                items.push(match item {
                    ListItem::Entry(entry) => format!("{} {:?}", entry.name, entry.status),
                    ListItem::List { index, snapshot } => format!("{index} {snapshot}"),
                    ListItem::KeepAlive => "keep-alive".into(),
                });
            });
            if result.is_err() {
                return None;
            }
        }
        Some(items)
    };
    for framing in [ListFraming::ListPerLine, ListFraming::SingleList] {
        let whole = read(&mut std::iter::once(input), framing);
        let split = read(&mut input.chunks(1), framing);
        assert_eq!(whole, split);
    }
}

/// Calls to the admin endpoint, and the operators' file.
pub fn operator_input(input: &[u8]) {
    let _ = (control::parse_line(input), control::parse_last_line(input));
    if let Ok(text) = std::str::from_utf8(input) {
        let _ = Operations::parse(Path::new("operations.toml"), text);
    }
}
