//! Dispatches datagrams from other schedulers to the cluster, zone routing, discovery or the engine.

use super::Context;
use super::cluster::Received;
use super::peer_socket::{PeerSocket, ReceiveBuffer};

/// Reads all datagrams that have arrived, and dispatches each to the component that it is addressed to.
pub fn dispatch_datagrams(socket: &PeerSocket, cx: &mut Context) {
    let mut buffer = ReceiveBuffer::new();
    while let Some((from, datagram)) = socket.receive(&mut buffer) {
        let received = cx.cluster.as_mut().and_then(|cluster| cluster.handle_message(from, datagram));
        match received {
            Some(received) => dispatch_cluster_payload(from, received, cx),
            None => dispatch_text(from, datagram, cx),
        }
    }
}

fn dispatch_cluster_payload(from: u16, received: Received, cx: &mut Context) {
    match (received, &mut *cx.zones) {
        (Received::AggregatedLoads(text), _) => cx.engine.handle_message(from, text),
        (Received::ZonePlan(bytes), Some(zones)) => zones.handle_plan(cx.now, &bytes),
        (Received::ZoneReport(bytes), Some(zones)) => zones.handle_report(cx.now, from, &bytes),
        _ => {}
    }
}

/// Dispatches a text message: gossip to discovery, anything else to the engine. Datagrams that are not UTF-8
/// are ignored.
fn dispatch_text(from: u16, datagram: &[u8], cx: &mut Context) {
    let Ok(text) = std::str::from_utf8(datagram) else { return };
    if !cx.endpoints.handle_message(cx.now, from, text) {
        cx.engine.handle_message(from, text.to_owned());
    }
}
