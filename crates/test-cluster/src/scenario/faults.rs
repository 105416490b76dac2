//! Faults: their actions, targets and times, read from the `[[fault]]` tables of a scenario file.

use super::Scenario;
use super::document::FaultDocument;
use super::errors::Problem;
use super::nodes::{Link, Node};
use super::reader::Reader;
use crate::Millis;
use crate::network_conditions::NetworkConditions;
use toml::Spanned;

/// What a fault does, and to which nodes or links.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Sends SIGKILL to schedulers and drops workers with all their jobs. They are started again at the
    /// fault's end, if it has one.
    Kill(Vec<Node>),
    /// Sends SIGTERM to schedulers; at the fault's end, if it has one, a new process with the same name is
    /// started.
    Terminate(Vec<Node>),
    /// Sends SIGSTOP to schedulers, and SIGCONT at the fault's end.
    Pause(Vec<Node>),
    /// Starts a second process with the same name and addresses, and kills it at the fault's end.
    DuplicateProcess(Vec<Node>),
    /// Applies network conditions to links until the fault's end.
    Network(Vec<Link>, NetworkConditions),
    /// Resets the connections that are open on these links when the fault begins.
    Reset(Vec<Link>),
    /// Half-closes the connections that are open when the fault begins: the sending side of each link ends,
    /// the opposite direction stays open.
    HalfClose(Vec<Link>),
    /// Discovery resets its connections, and refuses new ones until the fault's end.
    DiscoveryOutage,
    /// Watches that are open when the fault begins never receive anything again; their connections stay open.
    SilentWatches,
    /// Discovery answers at most this many requests per second, one after another, and rejects requests that
    /// have waited too long.
    DiscoveryOverload(f64),
    /// Discovery announces changes with this delay.
    DiscoveryDelay(Millis),
    /// Discovery serves the endpoint list as it was when the fault began, until the fault's end.
    StaleEndpointList,
    /// Workers drain, and are ready again at the fault's end.
    Drain(Vec<Node>),
    /// Workers restart and warm up again; the jobs they held are lost.
    Restart(Vec<Node>),
    /// Multiplies the run time of jobs on these workers.
    Slow(Vec<Node>, f64),
    /// Workers fail this fraction of their attempts.
    Failing(Vec<Node>, f64),
    /// Offsets the clock from which discovery takes `since_ms`.
    ClockSkew(Millis),
    /// Multiplies the arrival rate of jobs.
    Burst(f64),
}

impl FaultAction {
    /// The action with [`Node::LeaseHolder`] and [`Node::Leader`] replaced by the schedulers that hold these
    /// roles now. A role without a known holder is left out.
    pub fn resolved(&self, lease_holder: Option<usize>, leader: Option<usize>) -> FaultAction {
        let resolve = |node: Node| match node {
            Node::LeaseHolder => lease_holder.map(Node::Scheduler),
            Node::Leader => leader.map(Node::Scheduler),
            node => Some(node),
        };
        let resolve_nodes = |nodes: &[Node]| {
            let mut nodes: Vec<Node> = nodes.iter().filter_map(|&node| resolve(node)).collect();
            nodes.sort_unstable();
            nodes.dedup();
            nodes
        };
        let resolve_links = |links: &[Link]| {
            let resolved =
                links.iter().filter_map(|link| Some(Link::new(resolve(link.from)?, resolve(link.to)?)));
            resolved.filter(|link| link.from != link.to).collect()
        };
        match self {
            FaultAction::Kill(nodes) => FaultAction::Kill(resolve_nodes(nodes)),
            FaultAction::Terminate(nodes) => FaultAction::Terminate(resolve_nodes(nodes)),
            FaultAction::Pause(nodes) => FaultAction::Pause(resolve_nodes(nodes)),
            FaultAction::DuplicateProcess(nodes) => FaultAction::DuplicateProcess(resolve_nodes(nodes)),
            FaultAction::Network(links, conditions) => {
                FaultAction::Network(resolve_links(links), conditions.clone())
            }
            FaultAction::Reset(links) => FaultAction::Reset(resolve_links(links)),
            FaultAction::HalfClose(links) => FaultAction::HalfClose(resolve_links(links)),
            other => other.clone(),
        }
    }
}

/// A fault action with its start and end.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start time.
    pub at: Millis,
    /// End time; `None`: the fault lasts until the end of the run, or has no duration.
    pub until: Option<Millis>,
    /// What the fault does.
    pub action: FaultAction,
    /// Description for reports, in the words of the scenario file.
    pub label: String,
}

/// Reads a `[[fault]]` table; `number` is its position in the file, from 1. On errors, reports them to the
/// reader.
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
    let parameters = FaultParameters::read(reader, &name, document);
    let fault = FaultReader { document, targets, links, parameters };
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

/// The links from each node in `from` to each node in `to`, and their opposites if the fault is
/// bidirectional.
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

/// The numeric keys of a fault, apart from its times.
struct FaultParameters {
    conditions: NetworkConditions,
    factor: f64,
    fraction: f64,
    offset: Millis,
    requests_per_s: f64,
}

impl FaultParameters {
    fn read(reader: &mut Reader, name: &str, document: &FaultDocument) -> FaultParameters {
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
        FaultParameters {
            conditions,
            factor: number("factor", &document.factor, 1.0, 0.01, 100.0),
            fraction: number("fraction", &document.fraction, 0.0, 0.0, 1.0),
            requests_per_s: number("requests-per-s", &document.requests_per_s, 1.0, 0.01, 1_000.0),
            offset: number("offset-ms", &document.offset_ms, 0.0, -1e9, 1e9),
        }
    }
}

const UNTIL_MISSING: &str = "give until, a time in seconds";
const UNKNOWN_KIND: &str = "no such kind: give kill, terminate, pause, duplicate-process, network, reset, half-close, \
                            discovery-outage, discovery-overload, discovery-delay, silent-watches, \
                            stale-endpoint-list, drain, restart, slow, failing, clock-skew or burst";

/// The values of a fault table, before the check that its kind has the keys and targets it requires.
struct FaultReader<'a> {
    document: &'a FaultDocument,
    targets: Vec<Node>,
    links: Vec<Link>,
    parameters: FaultParameters,
}

impl FaultReader<'_> {
    /// The action of a kind, or how to correct the table. Also accepts the names that kinds had in files up
    /// to commit 365a0cf.
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
        // The name of a zone also stands for its clients, which can't be killed.
        let is_killable = |node: &Node| node.is_scheduler() || node.is_worker();
        let targets: Vec<Node> = self.targets.into_iter().filter(is_killable).collect();
        if targets.is_empty() {
            return Err("give targets, schedulers or workers");
        }
        Ok(FaultAction::Kill(targets))
    }

    fn network(self) -> Result<FaultAction, &'static str> {
        let links = self.links("give from and to, such as from = [\"zone north\"], to = [\"workers\"]")?;
        if self.parameters.conditions == NetworkConditions::default() {
            return Err(
                "no network condition is set: give blackhole, delay-ms, jitter-ms, loss, duplicate, reorder, \
                        bytes-per-s or cut-at-byte",
            );
        }
        Ok(FaultAction::Network(links, self.parameters.conditions))
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
            "slow" => Ok(FaultAction::Slow(workers, self.parameters.factor)),
            _ if self.document.fraction.is_none() => Err("give fraction, such as fraction = 0.5"),
            _ => Ok(FaultAction::Failing(workers, self.parameters.fraction)),
        }
    }

    fn discovery_or_traffic_action(self, kind: &str) -> Result<FaultAction, &'static str> {
        let document = self.document;
        match kind {
            "discovery-outage" | "outage" => self.require_until(FaultAction::DiscoveryOutage),
            "silent-watches" => Ok(FaultAction::SilentWatches),
            "discovery-overload" if document.requests_per_s.is_none() => Err("give requests-per-s"),
            "discovery-overload" => {
                let overload = FaultAction::DiscoveryOverload(self.parameters.requests_per_s);
                self.require_until(overload)
            }
            "stale-endpoint-list" | "stale" => self.require_until(FaultAction::StaleEndpointList),
            "discovery-delay" | "lag" if document.delay_ms.is_none() => Err("give delay-ms"),
            "discovery-delay" | "lag" => Ok(FaultAction::DiscoveryDelay(self.parameters.conditions.delay)),
            "clock-skew" | "clock" if document.offset_ms.is_none() => Err("give offset-ms"),
            "clock-skew" | "clock" => Ok(FaultAction::ClockSkew(self.parameters.offset)),
            "burst" if document.factor.is_none() || document.until.is_none() => Err("give factor and until"),
            "burst" => Ok(FaultAction::Burst(self.parameters.factor)),
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
        if self.document.until.is_none() { Err(UNTIL_MISSING) } else { Ok(action) }
    }
}

/// Describes the fault in the words of the scenario file: the kind, and its targets or links as written
/// there.
fn label(kind: &str, document: &FaultDocument) -> String {
    let names = |list: &[Spanned<String>]| {
        list.iter().map(|name| name.get_ref().as_str()).collect::<Vec<_>>().join("+")
    };
    if document.from.is_empty() {
        return format!("{kind} {}", names(&document.targets)).trim_end().to_owned();
    }
    let arrow = if document.bidirectional { "<->" } else { "->" };
    format!("{kind} {}{arrow}{}", names(&document.from), names(&document.to))
}
