//! A scenario's file: the tier, its workers and traffic, the links, and the faults by time. Every error names the
//! file, the line, the key and what would be right.

use crate::Millis;
use crate::network_conditions::Weather;
use crate::rules::RULES;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use toml::Spanned;

/// The classes of all scenarios: name, effect, part of the traffic where the file says nothing.
pub const CLASSES: [(&str, &str); 3] =
    [("farm-view", "pure"), ("market-sale", "side_effect"), ("coin-buy", "token")];

/// How long a keyed class's repeats are dropped by its zone's workers.
pub const KEYED_WINDOW: Millis = 7_500.0;

/// Who a link ends at.
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
    /// The scheduler that owns the first duty when the fault begins.
    Owner,
    /// The scheduler that is the steward when the fault begins.
    Steward,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct TierDocument {
    schedulers: Spanned<usize>,
    #[serde(default)]
    zones: Option<Vec<String>>,
    #[serde(default)]
    regions: BTreeMap<String, Spanned<Vec<String>>>,
    descriptors: Option<Spanned<usize>>,
    #[serde(default)]
    operations: Option<String>,
    #[serde(default)]
    handover: Option<String>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
struct WorkersDocument {
    count: Option<Spanned<usize>>,
    slots: Option<Spanned<usize>>,
    room: Option<Spanned<usize>>,
    run_ms: Option<Spanned<f64>>,
    cold_ms: Option<Spanned<f64>>,
    cold_share: Option<Spanned<f64>>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
struct TrafficDocument {
    per_second: Option<Spanned<f64>>,
    seconds: Option<Spanned<f64>>,
    deadline_ms: Option<Spanned<f64>>,
    tries: Option<Spanned<usize>>,
    again_ms: Option<Spanned<f64>>,
    notice_ms: Option<Spanned<f64>>,
    farm_view: Option<Spanned<f64>>,
    market_sale: Option<Spanned<f64>>,
    coin_buy: Option<Spanned<f64>>,
    body_bytes: Option<Spanned<usize>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct FaultDocument {
    kind: Spanned<String>,
    at: Spanned<f64>,
    until: Option<Spanned<f64>>,
    #[serde(default)]
    who: Vec<Spanned<String>>,
    #[serde(default)]
    from: Vec<Spanned<String>>,
    #[serde(default)]
    to: Vec<Spanned<String>>,
    #[serde(default)]
    both_ways: bool,
    #[serde(default)]
    silent: bool,
    delay_ms: Option<Spanned<f64>>,
    jitter_ms: Option<Spanned<f64>>,
    loss: Option<Spanned<f64>>,
    duplicate: Option<Spanned<f64>>,
    reorder: Option<Spanned<f64>>,
    bytes_per_s: Option<Spanned<f64>>,
    cut_at_byte: Option<Spanned<u64>>,
    times: Option<Spanned<f64>>,
    part: Option<Spanned<f64>>,
    step_ms: Option<Spanned<f64>>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct ExpectDocument {
    #[serde(default)]
    broken: Vec<Spanned<String>>,
    doubles: Option<Spanned<usize>>,
    lost: Option<Spanned<usize>>,
    service: Option<Spanned<f64>>,
    back_in_ms: Option<Spanned<f64>>,
    owner_within_ms: Option<Spanned<f64>>,
    adopted: Option<Spanned<usize>>,
    answered: Option<Spanned<f64>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Document {
    name: String,
    why: String,
    #[serde(default)]
    seed: u64,
    tier: TierDocument,
    #[serde(default)]
    workers: WorkersDocument,
    #[serde(default)]
    traffic: TrafficDocument,
    #[serde(default, rename = "fault")]
    faults: Vec<FaultDocument>,
    #[serde(default)]
    expect: ExpectDocument,
}

impl Deed {
    /// The same with the owner and the steward by their numbers; who is unknown is left out.
    pub fn resolved(&self, owner: Option<usize>, steward: Option<usize>) -> Deed {
        let one = |node: &Node| match node {
            Node::Owner => owner.map(Node::Scheduler),
            Node::Steward => steward.map(Node::Scheduler),
            node => Some(*node),
        };
        let all = |nodes: &[Node]| {
            let mut nodes: Vec<Node> = nodes.iter().filter_map(one).collect();
            nodes.sort_unstable();
            nodes.dedup();
            nodes
        };
        let pairs = |links: &[(Node, Node)]| {
            let found = links.iter().filter_map(|(a, b)| Some((one(a)?, one(b)?)));
            found.filter(|(a, b)| a != b).collect()
        };
        match self {
            Deed::Kill(who) => Deed::Kill(all(who)),
            Deed::Term(who) => Deed::Term(all(who)),
            Deed::Stop(who) => Deed::Stop(all(who)),
            Deed::Twin(who) => Deed::Twin(all(who)),
            Deed::Link(links, weather) => Deed::Link(pairs(links), weather.clone()),
            Deed::Reset(links) => Deed::Reset(pairs(links)),
            Deed::HalfClose(links) => Deed::HalfClose(pairs(links)),
            other => other.clone(),
        }
    }
}

/// What is done to whom.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// SIGKILL to schedulers, sudden death of workers; back at the fault's end, where it has one.
    Kill(Vec<Node>),
    /// SIGTERM to schedulers; a new process under the same name at the fault's end.
    Term(Vec<Node>),
    /// SIGSTOP, and SIGCONT at the end.
    Stop(Vec<Node>),
    /// A second process under the same name and addresses, killed at the end.
    Twin(Vec<Node>),
    /// A link's weather, one way.
    Link(Vec<(Node, Node)>, Weather),
    /// Connections on these links are reset, once.
    Reset(Vec<(Node, Node)>),
    /// The sender of these links ends its sending, once; what comes back still arrives.
    HalfClose(Vec<(Node, Node)>),
    /// Discovery is down.
    Outage,
    /// Discovery tells of changes so much later.
    Lag(Millis),
    /// Discovery gives its list as it was when this began.
    Stale,
    /// Workers drain; ready again at the end.
    Drain(Vec<Node>),
    /// Workers restart and are cold; what they held is lost.
    Restart(Vec<Node>),
    /// Workers take so many times as long.
    Slow(Vec<Node>, f64),
    /// Workers fail this part of what they are sent.
    Failing(Vec<Node>, f64),
    /// The clock that discovery writes `since_ms` by is off by this.
    Clock(Millis),
    /// So many times the traffic.
    Burst(f64),
}

/// A deed and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// From when.
    pub at: Millis,
    /// Until when; `None`: for good, or no matter.
    pub until: Option<Millis>,
    /// What.
    pub deed: Deed,
    /// For reports: the file's words.
    pub label: String,
}

/// What a run must show, beside all rules kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expect {
    /// Rules that this scenario is known to break.
    pub broken: Vec<String>,
    /// Jobs that must not run twice and did, at most.
    pub doubles: Option<usize>,
    /// Jobs with no answer, at most.
    pub lost: Option<usize>,
    /// Part of the jobs served, at least.
    pub service: Option<f64>,
    /// Time from the last fault's end until service is back at 95% of calm, at most.
    pub back_in: Option<Millis>,
    /// Time from the death, stop or end of a duty's owner until another is named, at most.
    pub owner_within: Option<Millis>,
    /// Jobs taken over, at least.
    pub adopted: Option<usize>,
    /// Part of the covered jobs in hand at a fault, with 2 s left, whose clients were answered, at least.
    pub answered: Option<f64>,
}

/// A scenario, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is to show.
    pub why: String,
    /// For all that is random.
    pub seed: u64,
    /// Processes.
    pub schedulers: usize,
    /// Zones' names; schedulers and workers are dealt out to them in turn.
    pub zones: Vec<String>,
    /// Regions and the numbers of their zones.
    pub regions: BTreeMap<String, Vec<usize>>,
    /// Descriptors that a scheduler may hold.
    pub descriptors: Option<usize>,
    /// The text of the operators' file that the processes get.
    pub operations: Option<String>,
    /// Jobs in hand are kept by other schedulers; more keys of the operators' file for that.
    pub handover: Option<String>,
    /// Workers.
    pub workers: usize,
    /// Jobs that a worker runs at a time.
    pub slots: usize,
    /// Jobs that may wait at a worker.
    pub room: usize,
    /// Mean running time.
    pub run: Millis,
    /// How long a started worker is cold.
    pub cold: Millis,
    /// What it can do at first, as a part.
    pub cold_share: f64,
    /// Jobs a second.
    pub per_second: f64,
    /// How long jobs come.
    pub length: Millis,
    /// How long a client waits, over all its tries.
    pub deadline: Millis,
    /// Tries of a client at most.
    pub tries: usize,
    /// A client whose connection was lost comes again after this.
    pub again: Millis,
    /// The front notices a death this late.
    pub notice: Millis,
    /// Parts of the traffic by class.
    pub mix: [f64; 3],
    /// Length of a job's body.
    pub body: usize,
    /// What happens when.
    pub faults: Vec<Fault>,
    /// What must come of it.
    pub expect: Expect,
}

/// Reads values and keeps what was wrong with them.
struct Reader<'a> {
    path: &'a Path,
    text: &'a str,
    wrong: Vec<String>,
}

impl Reader<'_> {
    fn line(&self, at: usize) -> usize {
        self.text[..at.min(self.text.len())].matches('\n').count() + 1
    }

    fn bad(&mut self, at: usize, what: String) {
        let line = self.line(at);
        self.wrong.push(format!("{}:{line}: {what}", self.path.display()));
    }

    fn number(
        &mut self,
        key: &str,
        value: &Option<Spanned<f64>>,
        otherwise: f64,
        least: f64,
        most: f64,
    ) -> f64 {
        let Some(value) = value else { return otherwise };
        let number = *value.get_ref();
        if !(least..=most).contains(&number) {
            self.bad(value.span().start, format!("{key} = {number}: give a number from {least} to {most}"));
        }
        number
    }

    fn count(
        &mut self,
        key: &str,
        value: &Option<Spanned<usize>>,
        otherwise: usize,
        least: usize,
        most: usize,
    ) -> usize {
        let Some(value) = value else { return otherwise };
        let number = *value.get_ref();
        if !(least..=most).contains(&number) {
            self.bad(
                value.span().start,
                format!("{key} = {number}: give a whole number from {least} to {most}"),
            );
        }
        number
    }

    /// The nodes that words like `scheduler 1`, `workers` or `zone north` name.
    fn nodes(&mut self, key: &str, words: &[Spanned<String>], scenario: &Scenario) -> Vec<Node> {
        let mut nodes = Vec::new();
        for word in words {
            match scenario.named(word.get_ref()) {
                Some(some) => nodes.extend(some),
                None => {
                    let (zones, regions) =
                        (scenario.zones.join(", "), scenario.regions.keys().cloned().collect::<Vec<_>>());
                    self.bad(
                        word.span().start,
                        format!(
                            "{key} = {:?}: give all, discovery, clients, schedulers, workers, owner, steward, scheduler N (0 to {}), \
                             worker N (0 to {}), zone NAME ({zones}) or region NAME ({})",
                            word.get_ref(),
                            scenario.schedulers.saturating_sub(1),
                            scenario.workers.saturating_sub(1),
                            regions.join(", ")
                        ),
                    );
                }
            }
        }
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }
}

impl Scenario {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Scenario, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Scenario::parse(path, &text)
    }

    /// Reads a file's text.
    #[expect(
        clippy::too_many_lines,
        reason = "split with the test cluster, third part of the work on readable code"
    )]
    pub fn parse(path: &Path, text: &str) -> Result<Scenario, String> {
        let mut reader = Reader { path, text, wrong: Vec::new() };
        let document: Document = toml::from_str(text).map_err(|error| {
            let line = reader.line(error.span().map_or(0, |span| span.start));
            format!("{}:{line}: {}", path.display(), error.message())
        })?;
        let r = &mut reader;
        let (tier, work, traffic) = (&document.tier, &document.workers, &document.traffic);
        let zones = tier.zones.clone().filter(|z| !z.is_empty()).unwrap_or_else(|| vec!["north".into()]);
        let mut regions = BTreeMap::new();
        for (name, members) in &tier.regions {
            let numbers: Vec<Option<usize>> =
                members.get_ref().iter().map(|zone| zones.iter().position(|z| z == zone)).collect();
            if numbers.contains(&None) {
                let what = format!("tier.regions.{name}: name zones of tier.zones ({})", zones.join(", "));
                r.bad(members.span().start, what);
            }
            regions.insert(name.clone(), numbers.into_iter().flatten().collect());
        }
        let schedulers = r.count("tier.schedulers", &Some(tier.schedulers.clone()), 0, 1, 32);
        let descriptors =
            tier.descriptors.is_some().then(|| r.count("tier.descriptors", &tier.descriptors, 0, 64, 65_536));
        let mix = [("farm-view", &traffic.farm_view, 0.6), ("market-sale", &traffic.market_sale, 0.2)]
            .map(|(name, value, usual)| r.number(&format!("traffic.{name}"), value, usual, 0.0, 1.0));
        let mix = [mix[0], mix[1], r.number("traffic.coin-buy", &traffic.coin_buy, 0.2, 0.0, 1.0)];
        let mut scenario = Scenario {
            name: document.name.clone(),
            why: document.why.clone(),
            seed: document.seed,
            schedulers,
            zones,
            regions,
            descriptors,
            operations: tier.operations.clone(),
            handover: tier.handover.clone(),
            workers: r.count("workers.count", &work.count, 12, 1, 200),
            slots: r.count("workers.slots", &work.slots, 3, 1, 64),
            room: r.count("workers.room", &work.room, 6, 0, 1_000),
            run: r.number("workers.run-ms", &work.run_ms, 120.0, 1.0, 10_000.0),
            cold: r.number("workers.cold-ms", &work.cold_ms, 3_000.0, 0.0, 60_000.0),
            cold_share: r.number("workers.cold-share", &work.cold_share, 0.3, 0.05, 1.0),
            per_second: r.number("traffic.per-second", &traffic.per_second, 90.0, 1.0, 2_000.0),
            length: 1_000.0 * r.number("traffic.seconds", &traffic.seconds, 8.0, 0.5, 3_600.0),
            deadline: r.number("traffic.deadline-ms", &traffic.deadline_ms, 3_000.0, 100.0, 5_000.0),
            tries: r.count("traffic.tries", &traffic.tries, 3, 1, 10),
            again: r.number("traffic.again-ms", &traffic.again_ms, 150.0, 1.0, 5_000.0),
            notice: r.number("traffic.notice-ms", &traffic.notice_ms, 2_000.0, 100.0, 60_000.0),
            mix,
            body: r.count("traffic.body-bytes", &traffic.body_bytes, 48, 1, 65_536),
            faults: Vec::new(),
            expect: Expect::default(),
        };
        if scenario.mix.iter().sum::<f64>() <= 0.0 {
            r.bad(0, "traffic: give farm-view, market-sale or coin-buy a part above 0".into());
        }
        for (number, fault) in document.faults.iter().enumerate() {
            if let Some(fault) = read_fault(r, &scenario, number + 1, fault) {
                scenario.faults.push(fault);
            }
        }
        scenario.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        let expect = &document.expect;
        for rule in &expect.broken {
            if !RULES.contains(&rule.get_ref().as_str()) {
                let known = RULES.join(", ");
                let what = format!("expect.broken = {:?}: give rules of {known}", rule.get_ref());
                r.bad(rule.span().start, what);
            }
        }
        let most = |value: &Option<Spanned<usize>>| value.as_ref().map(|value| *value.get_ref());
        let (doubles, lost) = (most(&expect.doubles), most(&expect.lost));
        let service =
            expect.service.is_some().then(|| r.number("expect.service", &expect.service, 0.0, 0.0, 1.0));
        let back_in = (expect.back_in_ms.is_some())
            .then(|| r.number("expect.back-in-ms", &expect.back_in_ms, 0.0, 0.0, 600_000.0));
        let owner_within = (expect.owner_within_ms.is_some())
            .then(|| r.number("expect.owner-within-ms", &expect.owner_within_ms, 0.0, 0.0, 600_000.0));
        let adopted = most(&expect.adopted);
        let answered =
            expect.answered.is_some().then(|| r.number("expect.answered", &expect.answered, 0.0, 0.0, 1.0));
        let broken = expect.broken.iter().map(|rule| rule.get_ref().clone()).collect();
        scenario.expect = Expect { broken, doubles, lost, service, back_in, owner_within, adopted, answered };
        if reader.wrong.is_empty() { Ok(scenario) } else { Err(reader.wrong.join("\n")) }
    }

    /// The zone that a scheduler or worker of this number is in.
    pub fn zone_of(&self, number: usize) -> usize {
        number % self.zones.len()
    }

    /// The zone that a node is in; discovery is in none.
    pub fn zone(&self, node: Node) -> Option<usize> {
        match node {
            Node::Scheduler(number) | Node::Worker(number) => Some(self.zone_of(number)),
            Node::Clients(zone) => Some(zone),
            Node::Discovery | Node::Owner | Node::Steward => None,
        }
    }

    /// All there are.
    pub fn nodes(&self) -> Vec<Node> {
        let mut nodes: Vec<Node> = (0..self.schedulers).map(Node::Scheduler).collect();
        nodes.extend((0..self.workers).map(Node::Worker));
        nodes.extend((0..self.zones.len()).map(Node::Clients));
        nodes.push(Node::Discovery);
        nodes
    }

    fn named(&self, word: &str) -> Option<Vec<Node>> {
        let all = self.nodes().into_iter();
        let (what, name) = word.split_once(' ').unwrap_or((word, ""));
        let number = || name.parse::<usize>().ok();
        let some: Vec<Node> = match (what, name) {
            ("all", "") => all.collect(),
            ("discovery", "") => vec![Node::Discovery],
            ("owner", "") => vec![Node::Owner],
            ("steward", "") => vec![Node::Steward],
            ("clients", "") => all.filter(|n| matches!(n, Node::Clients(_))).collect(),
            ("schedulers", "") => all.filter(|n| matches!(n, Node::Scheduler(_))).collect(),
            ("workers", "") => all.filter(|n| matches!(n, Node::Worker(_))).collect(),
            ("scheduler", _) => vec![Node::Scheduler(number().filter(|&n| n < self.schedulers)?)],
            ("worker", _) => vec![Node::Worker(number().filter(|&n| n < self.workers)?)],
            ("zone", _) => {
                let zone = self.zones.iter().position(|z| z == name)?;
                all.filter(|&n| self.zone(n) == Some(zone)).collect()
            }
            ("region", _) => {
                let zones = self.regions.get(name)?;
                all.filter(|&n| self.zone(n).is_some_and(|zone| zones.contains(&zone))).collect()
            }
            _ => return None,
        };
        Some(some)
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "split with the test cluster, third part of the work on readable code"
)]
fn read_fault(r: &mut Reader, scenario: &Scenario, number: usize, document: &FaultDocument) -> Option<Fault> {
    let kind = document.kind.get_ref().as_str();
    let name = format!("fault {number} ({kind})");
    let end = scenario.length / 1_000.0;
    let at = r.number(&format!("{name}: at"), &Some(document.at.clone()), 0.0, 0.0, end);
    let until =
        document.until.is_some().then(|| r.number(&format!("{name}: until"), &document.until, 0.0, at, end));
    let start = document.kind.span().start;
    let who = r.nodes(&format!("{name}: who"), &document.who, scenario);
    let from = r.nodes(&format!("{name}: from"), &document.from, scenario);
    let to = r.nodes(&format!("{name}: to"), &document.to, scenario);
    let only_schedulers =
        |nodes: &[Node]| nodes.iter().all(|n| matches!(n, Node::Scheduler(_) | Node::Owner | Node::Steward));
    let only_workers = |nodes: &[Node]| nodes.iter().all(|n| matches!(n, Node::Worker(_)));
    // A zone names its clients too; they can neither be killed nor stopped.
    let who: Vec<Node> = match kind {
        "kill" => who.into_iter().filter(|n| !matches!(n, Node::Clients(_) | Node::Discovery)).collect(),
        _ => who,
    };
    let mut links: Vec<(Node, Node)> =
        from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b))).filter(|(a, b)| a != b).collect();
    if document.both_ways {
        links.extend(links.clone().into_iter().map(|(a, b)| (b, a)));
    }
    links.sort_unstable();
    links.dedup();
    let mut need = |right: bool, what: &str| {
        if !right {
            r.bad(start, format!("{name}: {what}"));
        }
        right
    };
    let until_given = document.until.is_some();
    let whole = match kind {
        "kill" => need(!who.is_empty(), "give who, schedulers or workers"),
        "term" | "stop" | "twin" => {
            need(!who.is_empty() && only_schedulers(&who), "give who, schedulers only")
                && need(kind == "term" || until_given, "give until, a time in seconds")
        }
        "link" => {
            need(!links.is_empty(), "give from and to, such as from = [\"zone north\"], to = [\"workers\"]")
        }
        "reset" | "half-close" => need(!links.is_empty(), "give from and to"),
        "drain" | "restart" | "slow" | "failing" => {
            need(!who.is_empty() && only_workers(&who), "give who, workers only")
                && need(kind != "slow" || document.times.is_some(), "give times, such as times = 4.0")
                && need(kind != "failing" || document.part.is_some(), "give part, such as part = 0.5")
        }
        "outage" | "stale" => need(until_given, "give until, a time in seconds"),
        "lag" => need(document.delay_ms.is_some(), "give delay-ms"),
        "clock" => need(document.step_ms.is_some(), "give step-ms"),
        "burst" => need(document.times.is_some() && until_given, "give times and until"),
        _ => need(
            false,
            "no such kind: give kill, term, stop, twin, link, reset, half-close, outage, lag, stale, drain, restart, \
             slow, failing, clock or burst",
        ),
    };
    let part = |r: &mut Reader, key: &str, value: &Option<Spanned<f64>>| {
        r.number(&format!("{name}: {key}"), value, 0.0, 0.0, 1.0)
    };
    let loss = part(r, "loss", &document.loss);
    let duplicate = part(r, "duplicate", &document.duplicate);
    let reorder = part(r, "reorder", &document.reorder);
    let failing = part(r, "part", &document.part);
    let delay = r.number(&format!("{name}: delay-ms"), &document.delay_ms, 0.0, 0.0, 60_000.0);
    let jitter = r.number(&format!("{name}: jitter-ms"), &document.jitter_ms, 0.0, 0.0, 60_000.0);
    let bytes_per_s = r.number(&format!("{name}: bytes-per-s"), &document.bytes_per_s, 0.0, 1.0, 1e9);
    let times = r.number(&format!("{name}: times"), &document.times, 1.0, 0.01, 100.0);
    let step = r.number(&format!("{name}: step-ms"), &document.step_ms, 0.0, -1e9, 1e9);
    let weather = Weather {
        silent: document.silent,
        delay,
        jitter,
        loss,
        duplicate,
        reorder,
        bytes_per_s,
        cut_at_byte: document.cut_at_byte.as_ref().map(|at| *at.get_ref()),
    };
    if kind == "link" && weather == Weather::default() {
        r.bad(
            start,
            format!(
                "{name}: nothing happens on it: give silent, delay-ms, jitter-ms, loss, duplicate, reorder, \
                 bytes-per-s or cut-at-byte"
            ),
        );
    }
    if !whole {
        return None;
    }
    let deed = match kind {
        "kill" => Deed::Kill(who),
        "term" => Deed::Term(who),
        "stop" => Deed::Stop(who),
        "twin" => Deed::Twin(who),
        "link" => Deed::Link(links, weather),
        "reset" => Deed::Reset(links),
        "half-close" => Deed::HalfClose(links),
        "outage" => Deed::Outage,
        "lag" => Deed::Lag(delay),
        "stale" => Deed::Stale,
        "drain" => Deed::Drain(who),
        "restart" => Deed::Restart(who),
        "slow" => Deed::Slow(who, times),
        "failing" => Deed::Failing(who, failing),
        "clock" => Deed::Clock(step),
        _ => Deed::Burst(times),
    };
    let words =
        |of: &[Spanned<String>]| of.iter().map(|w| w.get_ref().as_str()).collect::<Vec<_>>().join("+");
    let arrow = if document.both_ways { "<->" } else { "->" };
    let label = match kind {
        "link" | "reset" | "half-close" => {
            format!("{kind} {}{arrow}{}", words(&document.from), words(&document.to))
        }
        _ => format!("{kind} {}", words(&document.who)).trim_end().to_owned(),
    };
    Some(Fault { at: at * 1_000.0, until: until.map(|until| until * 1_000.0), deed, label })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Scenario, String> {
        Scenario::parse(Path::new("a.toml"), text)
    }

    const HEAD: &str = "name = \"a\"\nwhy = \"b\"\n[tier]\nschedulers = 4\nzones = [\"north\", \"south\"]\n\
                        regions = { west = [\"north\"] }\n";

    #[test]
    fn a_zone_names_its_schedulers_workers_and_clients_and_one_line_cuts_it_off_both_ways() {
        let text = format!(
            "{HEAD}[[fault]]\nkind = \"link\"\nat = 1.0\nuntil = 2\nfrom = [\"region west\"]\n\
             to = [\"zone south\", \"discovery\"]\nboth-ways = true\nsilent = true\n"
        );
        let scenario = read(&text).expect("a scenario");
        let Deed::Link(links, weather) = &scenario.faults[0].deed else { panic!("{:?}", scenario.faults) };
        assert!(weather.silent);
        for pair in [
            (Node::Scheduler(0), Node::Scheduler(1)),
            (Node::Worker(3), Node::Scheduler(2)),
            (Node::Clients(0), Node::Scheduler(3)),
            (Node::Discovery, Node::Scheduler(2)),
        ] {
            assert!(links.contains(&pair), "{pair:?}");
        }
        assert!(!links.contains(&(Node::Scheduler(0), Node::Scheduler(2))), "both are in the north");
        assert_eq!(scenario.faults[0].until, Some(2_000.0));
    }

    #[test]
    fn each_error_names_the_file_the_line_the_key_and_the_remedy() {
        let table = [
            ("[tier]\nschedulers = 0", "a.toml:4: tier.schedulers = 0: give a whole number from 1 to 32"),
            ("[tier]\nschedulers = 2\nzone = 1", "a.toml:5: unknown field `zone`"),
            ("[tier]\nschedulers = ", "a.toml:4: "),
            ("[tier]\nschedulers = 2\nregions = { a = [\"x\"] }", "a.toml:5: tier.regions.a: name zones of"),
            (
                "[tier]\nschedulers = 2\n[traffic]\nseconds = 0",
                "a.toml:6: traffic.seconds = 0: give a number from 0.5",
            ),
            (
                "[tier]\nschedulers = 2\n[[fault]]\nkind = \"kill\"\nat = 9\nwho = [\"scheduler 0\"]",
                "a.toml:7: fault 1 (kill): at = 9: give a number from 0 to 8",
            ),
            (
                "[tier]\nschedulers = 2\n[[fault]]\nkind = \"kill\"\nat = 1\nwho = [\"scheduler 2\"]",
                "a.toml:8: fault 1 (kill): who = \"scheduler 2\": give all, discovery, clients, schedulers, workers, \
                 owner, steward, scheduler N (0 to 1)",
            ),
            (
                "[tier]\nschedulers = 2\n[[fault]]\nkind = \"stop\"\nat = 1\nwho = [\"scheduler 1\"]",
                "a.toml:6: fault 1 (stop): give until",
            ),
            (
                "[tier]\nschedulers = 2\n[[fault]]\nkind = \"link\"\nat = 1\nfrom = [\"all\"]\nto = [\"all\"]",
                "a.toml:6: fault 1 (link): nothing happens on it",
            ),
            (
                "[tier]\nschedulers = 2\n[[fault]]\nkind = \"boom\"\nat = 1",
                "a.toml:6: fault 1 (boom): no such kind",
            ),
            (
                "[tier]\nschedulers = 2\n[expect]\nbroken = [\"x\"]",
                "a.toml:6: expect.broken = \"x\": give rules of",
            ),
        ];
        for (text, start) in table {
            let text = format!("name = \"a\"\nwhy = \"b\"\n{text}\n");
            let error = read(&text).expect_err(&text);
            assert!(error.starts_with(start), "{text}\n-> {error}");
        }
        let two = "name = \"a\"\nwhy = \"b\"\n[tier]\nschedulers = 0\n[workers]\ncount = 0\n";
        assert_eq!(read(two).expect_err("two errors").lines().count(), 2, "all errors in one go");
    }
}
