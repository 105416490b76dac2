//! The nodes of a cluster, the links between them, and the names that files give them.

use super::Scenario;

/// What a link ends at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Node {
    /// A scheduler, by number.
    Scheduler(usize),
    /// A worker, by number.
    Worker(usize),
    /// Discovery.
    Discovery,
    /// The clients of a zone.
    Clients(usize),
    /// The scheduler that holds the lease of the first role when the fault begins.
    LeaseHolder,
    /// The scheduler that is the leader when the fault begins.
    Leader,
}

impl Node {
    /// Whether it is a scheduler, whichever that is.
    pub fn is_scheduler(&self) -> bool {
        matches!(self, Node::Scheduler(_) | Node::LeaseHolder | Node::Leader)
    }

    /// Whether it is a worker.
    pub fn is_worker(&self) -> bool {
        matches!(self, Node::Worker(_))
    }

    fn is_clients(&self) -> bool {
        matches!(self, Node::Clients(_))
    }
}

/// One direction between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: Node,
    /// The receiver.
    pub to: Node,
}

impl Link {
    /// The direction from one node to another.
    pub fn new(from: Node, to: Node) -> Link {
        Link { from, to }
    }

    /// The other direction.
    pub fn reverse(self) -> Link {
        Link { from: self.to, to: self.from }
    }
}

impl Scenario {
    /// The zone that a node is in; discovery is in none.
    pub fn zone(&self, node: Node) -> Option<usize> {
        match node {
            Node::Scheduler(number) | Node::Worker(number) => Some(self.zone_of(number)),
            Node::Clients(zone) => Some(zone),
            Node::Discovery | Node::LeaseHolder | Node::Leader => None,
        }
    }

    /// All nodes.
    pub fn nodes(&self) -> Vec<Node> {
        let mut nodes: Vec<Node> = (0..self.schedulers).map(Node::Scheduler).collect();
        nodes.extend((0..self.workers).map(Node::Worker));
        nodes.extend((0..self.zones.len()).map(Node::Clients));
        nodes.push(Node::Discovery);
        nodes
    }

    /// The nodes that a name such as `scheduler 1`, `workers` or `zone north` stands for.
    pub fn nodes_named(&self, text: &str) -> Option<Vec<Node>> {
        let (kind, name) = text.split_once(' ').unwrap_or((text, ""));
        if name.is_empty() { self.group(kind) } else { self.member(kind, name) }
    }

    fn group(&self, kind: &str) -> Option<Vec<Node>> {
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

    fn member(&self, kind: &str, name: &str) -> Option<Vec<Node>> {
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
