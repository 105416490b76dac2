//! The nodes of a cluster, the links between them, and their names in scenario files.

use super::Scenario;

/// One end of a link, or the target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Node {
    /// The scheduler with this number.
    Scheduler(usize),
    /// The worker with this number.
    Worker(usize),
    /// The discovery service.
    Discovery,
    /// All clients of the zone with this index.
    Clients(usize),
    /// The scheduler that holds the lease of the first role when the fault begins; see
    /// [`FaultAction::resolved`](super::FaultAction::resolved).
    LeaseHolder,
    /// The scheduler that is the leader when the fault begins; see
    /// [`FaultAction::resolved`](super::FaultAction::resolved).
    Leader,
}

impl Node {
    /// Also true for the lease holder and the leader, before they are resolved to a number.
    pub fn is_scheduler(&self) -> bool {
        matches!(self, Node::Scheduler(_) | Node::LeaseHolder | Node::Leader)
    }

    /// Whether the node is a worker.
    pub fn is_worker(&self) -> bool {
        matches!(self, Node::Worker(_))
    }

    fn is_clients(&self) -> bool {
        matches!(self, Node::Clients(_))
    }
}

/// One direction of the traffic between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: Node,
    /// The receiver.
    pub to: Node,
}

impl Link {
    /// The link that carries traffic from `from` to `to`.
    pub fn new(from: Node, to: Node) -> Link {
        Link { from, to }
    }

    /// The opposite direction between the same nodes.
    pub fn reverse(self) -> Link {
        Link { from: self.to, to: self.from }
    }
}

impl Scenario {
    /// Index of the zone that a node is in. `None` for discovery, and for a lease holder or leader that has
    /// not been resolved to a scheduler.
    pub fn zone(&self, node: Node) -> Option<usize> {
        match node {
            Node::Scheduler(number) | Node::Worker(number) => Some(self.zone_of(number)),
            Node::Clients(zone) => Some(zone),
            Node::Discovery | Node::LeaseHolder | Node::Leader => None,
        }
    }

    /// All nodes of the cluster: schedulers, workers, the clients of each zone, and discovery.
    pub fn nodes(&self) -> Vec<Node> {
        let mut nodes: Vec<Node> = (0..self.schedulers).map(Node::Scheduler).collect();
        nodes.extend((0..self.workers).map(Node::Worker));
        nodes.extend((0..self.zones.len()).map(Node::Clients));
        nodes.push(Node::Discovery);
        nodes
    }

    /// The nodes that a name such as `scheduler 1`, `workers` or `zone north` stands for; `None` if it is
    /// unknown.
    pub fn nodes_named(&self, text: &str) -> Option<Vec<Node>> {
        let (kind, name) = text.split_once(' ').unwrap_or((text, ""));
        if name.is_empty() { self.nodes_of_kind(kind) } else { self.nodes_of_kind_and_name(kind, name) }
    }

    fn nodes_of_kind(&self, kind: &str) -> Option<Vec<Node>> {
        let all = self.nodes().into_iter();
        let nodes = match kind {
            "all" => all.collect(),
            "discovery" => vec![Node::Discovery],
            "lease-holder" | "owner" => vec![Node::LeaseHolder],
            "leader" | "steward" => vec![Node::Leader],
            "clients" => all.filter(Node::is_clients).collect(),
            "schedulers" => all.filter(Node::is_scheduler).collect(),
            "workers" => all.filter(Node::is_worker).collect(),
            _ => return None,
        };
        Some(nodes)
    }

    fn nodes_of_kind_and_name(&self, kind: &str, name: &str) -> Option<Vec<Node>> {
        let all = self.nodes().into_iter();
        let number = || name.parse::<usize>().ok();
        let nodes = match kind {
            "scheduler" => vec![Node::Scheduler(number().filter(|&n| n < self.schedulers)?)],
            "worker" => vec![Node::Worker(number().filter(|&n| n < self.workers)?)],
            "zone" => {
                let zone = self.zones.iter().position(|zone| zone == name)?;
                all.filter(|&node| self.zone(node) == Some(zone)).collect()
            }
            "region" => {
                let zones = self.regions.get(name)?;
                all.filter(|&node| self.zone(node).is_some_and(|zone| zones.contains(&zone))).collect()
            }
            _ => return None,
        };
        Some(nodes)
    }
}
