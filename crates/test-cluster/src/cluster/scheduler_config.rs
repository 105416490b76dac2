//! Builds the configuration file of a scheduler's process.

use super::context::Context;
use super::sources::DatagramRoute;
use crate::scenario::{CLASSES, Class, DEDUPLICATION_WINDOW, Node};
use crate::stand_ins::clients::TENANTS;
use serde_json::{Value, json};
use std::io;

/// Limit on a scheduler's descriptors if the scenario does not set one.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// Builds the configuration of the scheduler with this index, as JSON.
pub fn configuration(context: &Context, number: usize) -> io::Result<Value> {
    let scenario = context.scenario;
    let addresses = context.supervisor.addresses(number);
    let discovery = context.network.listener_address(number, Node::Discovery);
    let discovery = discovery.ok_or_else(|| io::Error::other("no proxy listener for discovery"))?;
    Ok(json!({
        "name": format!("s{number}"),
        "listen": addresses.clients.to_string(),
        "control": addresses.admin.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", scenario.seed ^ (number as u64 + 1)),
        "limits": {
            "cores": 1.0,
            "memory_mb": 192,
            "sockets": scenario.descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
        },
        "peer_listen": addresses.datagrams.to_string(),
        "peers": peers(context, number)?,
        "peers_all": datagram_address(context, DatagramRoute { from: number, to: None })?,
        "settings": settings(context, number),
    }))
}

/// The addresses to which a scheduler sends datagrams, by receiving scheduler. Its own entry is its real
/// address.
fn peers(context: &Context, number: usize) -> io::Result<Vec<String>> {
    let address = |other: usize| {
        if other == number {
            return Ok(context.supervisor.addresses(number).datagrams.to_string());
        }
        datagram_address(context, DatagramRoute { from: number, to: Some(other) })
    };
    (0..context.scenario.schedulers).map(address).collect()
}

fn datagram_address(context: &Context, route: DatagramRoute) -> io::Result<String> {
    let address = context.datagrams.address(route);
    let address = address.unwrap_or_else(|| Err(io::Error::other("no datagram socket for a route")))?;
    Ok(address.to_string())
}

fn settings(context: &Context, number: usize) -> Value {
    let scenario = context.scenario;
    json!({
        "ordinal": number,
        "balancers": scenario.schedulers,
        "zone": scenario.zone_of(number),
        "zones": scenario.zones,
        "shapes": ["box"],
        "classes": classes(),
        "tenants": tenants(scenario.per_second),
        "discovery": "on_request",
        "report": {"fields": ["x0", "x1", "concurrent"], "source": "answers"},
        "specifics": {"tells-start": true, "class-stretch": [2.0, 2.0, 2.5]},
        "limits": {
            "max-attempts": 4,
            "connect-timeout": 150.0,
            "conn-idle": 15000.0,
            "retry-after": true,
            "max-retry-after": 2000.0,
            "peer-messages": true,
            "second-copies": true,
            "cancelling": true,
        },
        "obligations": {
            "answer-slack": 8.0,
            "ask-within": 2000.0,
            "drain-grace": 250.0,
            "cold-share": scenario.initial_capacity,
            "warm-within": scenario.warm_up,
            "fall-multiple": 4.0,
            "overload-for": 3000.0,
        },
    })
}

fn classes() -> Vec<Value> {
    let class = |class: &Class| {
        json!({"name": class.name, "effect": class.effect, "group": "zone", "window": DEDUPLICATION_WINDOW,
            "goal-time": 400.0, "hard-limit": 5000.0, "importance": 2.0, "late-value": 0.5,
            "streamed": false})
    };
    CLASSES.iter().map(class).collect()
}

/// The tenants, with equal shares of the traffic.
fn tenants(per_second: f64) -> Vec<Value> {
    let fraction = 1.0 / TENANTS.len() as f64;
    let tenant =
        |name: &&str| json!({"name": name, "fraction": fraction, "quota-per-s": per_second * fraction});
    TENANTS.iter().map(tenant).collect()
}
