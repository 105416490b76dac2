//! Faults: what happens to whom, and when.

use super::Scenario;
use super::document::FaultDocument;
use super::errors::Problem;
use super::nodes::{Link, Node};
use super::reader::Reader;
use crate::Millis;
use crate::network_conditions::NetworkConditions;
use toml::Spanned;

/// What happens to whom.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// SIGKILL to schedulers, sudden death of workers; they are started again at the fault's end, where it has one.
    Kill(Vec<Node>),
    /// SIGTERM to schedulers; a new process under the same name at the fault's end.
    Terminate(Vec<Node>),
    /// SIGSTOP, and SIGCONT at the end.
    Pause(Vec<Node>),
    /// A second process under the same name and addresses, killed at the end.
    DuplicateProcess(Vec<Node>),
    /// Network conditions of links.
    Network(Vec<Link>, NetworkConditions),
    /// Connections on these links are reset, once.
    Reset(Vec<Link>),
    /// The senders of these links end their sending, once; the other direction goes on.
    HalfClose(Vec<Link>),
    /// Discovery is down.
    DiscoveryOutage,
    /// Open watches fall silent for good, once; their connections stay open.
    SilentWatches,
    /// Discovery answers only so many requests a second, one after another, and rejects those that have waited for long.
    DiscoveryOverload(f64),
    /// Discovery announces changes this much later.
    DiscoveryDelay(Millis),
    /// Discovery serves its list as it was when the fault began.
    StaleEndpointList,
    /// Workers drain; ready again at the end.
    Drain(Vec<Node>),
    /// Workers restart and warm up; what they held is lost.
    Restart(Vec<Node>),
    /// Workers take so many times as long.
    Slow(Vec<Node>, f64),
    /// Workers fail this fraction of what they are sent.
    Failing(Vec<Node>, f64),
    /// The clock by which discovery writes `since_ms` is off by this.
    ClockSkew(Millis),
    /// So many times the traffic.
    Burst(f64),
}

impl FaultAction {
    /// The action with the lease holder and the leader replaced by their schedulers. Who is unknown is left out.
    pub fn resolved(&self, lease_holder: Option<usize>, leader: Option<usize>) -> FaultAction {
        let resolve = |node: Node| match node {
            Node::LeaseHolder => lease_holder.map(Node::Scheduler),
            Node::Leader => leader.map(Node::Scheduler),
            node => Some(node),
        };
        let nodes = |nodes: &[Node]| {
            let mut nodes: Vec<Node> = nodes.iter().filter_map(|&node| resolve(node)).collect();
            nodes.sort_unstable();
            nodes.dedup();
            nodes
        };
        let links = |links: &[Link]| {
            let resolved =
                links.iter().filter_map(|link| Some(Link::new(resolve(link.from)?, resolve(link.to)?)));
            resolved.filter(|link| link.from != link.to).collect()
        };
        match self {
            FaultAction::Kill(of) => FaultAction::Kill(nodes(of)),
            FaultAction::Terminate(of) => FaultAction::Terminate(nodes(of)),
            FaultAction::Pause(of) => FaultAction::Pause(nodes(of)),
            FaultAction::DuplicateProcess(of) => FaultAction::DuplicateProcess(nodes(of)),
            FaultAction::Network(of, conditions) => FaultAction::Network(links(of), conditions.clone()),
            FaultAction::Reset(of) => FaultAction::Reset(links(of)),
            FaultAction::HalfClose(of) => FaultAction::HalfClose(links(of)),
            other => other.clone(),
        }
    }
}

/// A fault action and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins.
    pub at: Millis,
    /// When it ends; `None`: never, or it is over at once.
    pub until: Option<Millis>,
    /// What happens.
    pub action: FaultAction,
    /// For reports: the file's words.
    pub label: String,
}

/// Reads `[[fault]]`, the one of this number.
pub fn read(
    reader: &mut Reader,
    scenario: &Scenario,
    number: usize,
    document: &FaultDocument,
) -> Option<Fault> {
    let kind = document.kind.get_ref().as_str();
    let name = format!("fault {number} ({kind})");
    let end = scenario.length / 1_000.0;
    let at = reader.number(&format!("{name}: at"), &Some(document.at.clone()), 0.0, 0.0, end);
    let until = reader.optional_number(&format!("{name}: until"), &document.until, at, end);
    let targets = reader.nodes(&format!("{name}: targets"), &document.targets, scenario);
    let links = read_links(reader, scenario, &name, document);
    let amounts = Amounts::read(reader, &name, document);
    let fault = FaultReader { document, targets, links, amounts };
    let action = match fault.action(kind) {
        Ok(action) => action,
        Err(remedy) => {
            let problem = Problem::Fault { fault: name, remedy };
            reader.report(document.kind.span().start, problem);
            return None;
        }
    };
    Some(Fault {
        at: at * 1_000.0,
        until: until.map(|until| until * 1_000.0),
        action,
        label: label(kind, document),
    })
}

/// The links from each of `from` to each of `to`, and back where the fault is bidirectional.
fn read_links(reader: &mut Reader, scenario: &Scenario, name: &str, document: &FaultDocument) -> Vec<Link> {
    let from = reader.nodes(&format!("{name}: from"), &document.from, scenario);
    let to = reader.nodes(&format!("{name}: to"), &document.to, scenario);
    let pairs = from.iter().flat_map(|&from| to.iter().map(move |&to| Link::new(from, to)));
    let mut links: Vec<Link> = pairs.filter(|link| link.from != link.to).collect();
    if document.bidirectional {
        links.extend(links.clone().into_iter().map(Link::reverse));
    }
    links.sort_unstable();
    links.dedup();
    links
}

/// The numbers of a fault, apart from its times.
struct Amounts {
    conditions: NetworkConditions,
    factor: f64,
    fraction: f64,
    offset: Millis,
    requests_per_s: f64,
}

impl Amounts {
    fn read(reader: &mut Reader, name: &str, document: &FaultDocument) -> Amounts {
        let mut number = |key: &str, value: &Option<Spanned<f64>>, default, min, max| {
            reader.number(&format!("{name}: {key}"), value, default, min, max)
        };
        let conditions = NetworkConditions {
            blackhole: document.blackhole,
            delay: number("delay-ms", &document.delay_ms, 0.0, 0.0, 60_000.0),
            jitter: number("jitter-ms", &document.jitter_ms, 0.0, 0.0, 60_000.0),
            loss: number("loss", &document.loss, 0.0, 0.0, 1.0),
            duplicate: number("duplicate", &document.duplicate, 0.0, 0.0, 1.0),
            reorder: number("reorder", &document.reorder, 0.0, 0.0, 1.0),
            bytes_per_s: number("bytes-per-s", &document.bytes_per_s, 0.0, 1.0, 1e9),
            cut_at_byte: document.cut_at_byte.as_ref().map(|at| *at.get_ref()),
        };
        Amounts {
            conditions,
            factor: number("factor", &document.factor, 1.0, 0.01, 100.0),
            fraction: number("fraction", &document.fraction, 0.0, 0.0, 1.0),
            requests_per_s: number("requests-per-s", &document.requests_per_s, 1.0, 0.01, 1_000.0),
            offset: number("offset-ms", &document.offset_ms, 0.0, -1e9, 1e9),
        }
    }
}

const UNTIL: &str = "give until, a time in seconds";
const UNKNOWN_KIND: &str = "no such kind: give kill, terminate, pause, duplicate-process, network, reset, half-close, \
                            discovery-outage, discovery-overload, discovery-delay, silent-watches, \
                            stale-endpoint-list, drain, restart, slow, failing, clock-skew or burst";

/// What has been read of a fault, before it is checked for completeness.
struct FaultReader<'a> {
    document: &'a FaultDocument,
    targets: Vec<Node>,
    links: Vec<Link>,
    amounts: Amounts,
}

impl FaultReader<'_> {
    /// The action of a kind, by its name of today or the one up to 365a0cf; or what is missing for it.
    fn action(self, kind: &str) -> Result<FaultAction, &'static str> {
        match kind {
            "kill" => self.kill(),
            "terminate" | "term" => Ok(FaultAction::Terminate(self.schedulers()?)),
            "pause" | "stop" => {
                let schedulers = self.schedulers()?;
                self.require_until(FaultAction::Pause(schedulers))
            }
            "duplicate-process" | "twin" => {
                let schedulers = self.schedulers()?;
                self.require_until(FaultAction::DuplicateProcess(schedulers))
            }
            "network" | "link" => self.network(),
            "reset" => Ok(FaultAction::Reset(self.links("give from and to")?)),
            "half-close" => Ok(FaultAction::HalfClose(self.links("give from and to")?)),
            "drain" | "restart" | "slow" | "failing" => self.worker_action(kind),
            _ => self.discovery_or_traffic_action(kind),
        }
    }

    fn kill(self) -> Result<FaultAction, &'static str> {
        // A zone includes its clients; they can't be killed.
        let can_die = |node: &Node| node.is_scheduler() || node.is_worker();
        let targets: Vec<Node> = self.targets.into_iter().filter(can_die).collect();
        if targets.is_empty() {
            return Err("give targets, schedulers or workers");
        }
        Ok(FaultAction::Kill(targets))
    }

    fn network(self) -> Result<FaultAction, &'static str> {
        let links = self.links("give from and to, such as from = [\"zone north\"], to = [\"workers\"]")?;
        if self.amounts.conditions == NetworkConditions::default() {
            return Err(
                "nothing happens on it: give blackhole, delay-ms, jitter-ms, loss, duplicate, reorder, \
                        bytes-per-s or cut-at-byte",
            );
        }
        Ok(FaultAction::Network(links, self.amounts.conditions))
    }

    fn worker_action(self, kind: &str) -> Result<FaultAction, &'static str> {
        let workers = self.targets;
        if workers.is_empty() || !workers.iter().all(Node::is_worker) {
            return Err("give targets, workers only");
        }
        match kind {
            "drain" => Ok(FaultAction::Drain(workers)),
            "restart" => Ok(FaultAction::Restart(workers)),
            "slow" if self.document.factor.is_none() => Err("give factor, such as factor = 4.0"),
            "slow" => Ok(FaultAction::Slow(workers, self.amounts.factor)),
            _ if self.document.fraction.is_none() => Err("give fraction, such as fraction = 0.5"),
            _ => Ok(FaultAction::Failing(workers, self.amounts.fraction)),
        }
    }

    fn discovery_or_traffic_action(self, kind: &str) -> Result<FaultAction, &'static str> {
        let document = self.document;
        match kind {
            "discovery-outage" | "outage" => self.require_until(FaultAction::DiscoveryOutage),
            "silent-watches" => Ok(FaultAction::SilentWatches),
            "discovery-overload" if document.requests_per_s.is_none() => Err("give requests-per-s"),
            "discovery-overload" => {
                let overload = FaultAction::DiscoveryOverload(self.amounts.requests_per_s);
                self.require_until(overload)
            }
            "stale-endpoint-list" | "stale" => self.require_until(FaultAction::StaleEndpointList),
            "discovery-delay" | "lag" if document.delay_ms.is_none() => Err("give delay-ms"),
            "discovery-delay" | "lag" => Ok(FaultAction::DiscoveryDelay(self.amounts.conditions.delay)),
            "clock-skew" | "clock" if document.offset_ms.is_none() => Err("give offset-ms"),
            "clock-skew" | "clock" => Ok(FaultAction::ClockSkew(self.amounts.offset)),
            "burst" if document.factor.is_none() || document.until.is_none() => Err("give factor and until"),
            "burst" => Ok(FaultAction::Burst(self.amounts.factor)),
            _ => Err(UNKNOWN_KIND),
        }
    }

    fn schedulers(&self) -> Result<Vec<Node>, &'static str> {
        if self.targets.is_empty() || !self.targets.iter().all(Node::is_scheduler) {
            return Err("give targets, schedulers only");
        }
        Ok(self.targets.clone())
    }

    fn links(&self, remedy: &'static str) -> Result<Vec<Link>, &'static str> {
        if self.links.is_empty() { Err(remedy) } else { Ok(self.links.clone()) }
    }

    fn require_until(&self, action: FaultAction) -> Result<FaultAction, &'static str> {
        if self.document.until.is_none() { Err(UNTIL) } else { Ok(action) }
    }
}

/// The fault in the file's words.
fn label(kind: &str, document: &FaultDocument) -> String {
    let names =
        |of: &[Spanned<String>]| of.iter().map(|name| name.get_ref().as_str()).collect::<Vec<_>>().join("+");
    if document.from.is_empty() {
        return format!("{kind} {}", names(&document.targets)).trim_end().to_owned();
    }
    let arrow = if document.bidirectional { "<->" } else { "->" };
    format!("{kind} {}{arrow}{}", names(&document.from), names(&document.to))
}
