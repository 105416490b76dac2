//! The operators' own file: settings of the door and the drain, apart from the site's configuration, which the
//! operators do not change. Every key is optional; what is missing keeps its default. Every error names the file,
//! the line, the key and what would be right.

use brackenledge_policy::Millis;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};

/// What the operators' file sets of the failover of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverOptions {
    /// Whether records of jobs are replicated to other schedulers.
    pub on: bool,
    /// Where each scheduler takes links from the others, by number; our own entry is where we listen.
    pub links: Vec<SocketAddr>,
    /// Classes whose jobs are replicated, by name.
    pub replicated_classes: Vec<String>,
    /// Of these, the ones whose jobs are rejected rather than run without replicas.
    pub replication_required: Vec<String>,
    /// Replicas of each record beside its owner's.
    pub replication_factor: usize,
    /// Most records held.
    pub max_records: usize,
    /// Most bytes of replicated records.
    pub max_bytes: usize,
    /// How long a record outlives its job, in milliseconds.
    pub retention: Millis,
    /// How long a job waits for its claim to be granted, in milliseconds.
    pub claim_timeout: Millis,
    /// Where the lists stand in the file.
    pub lines: FailoverLines,
}

/// Lines of the lists of `[handover]` in the operators' file, from 1; 0 where a list is not in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverLines {
    /// Of `links`.
    pub links: usize,
    /// Of `covered`.
    pub covered: usize,
    /// Of `refused`.
    pub refused: usize,
}

impl Default for FailoverOptions {
    fn default() -> Self {
        FailoverOptions {
            on: false,
            links: Vec::new(),
            replicated_classes: Vec::new(),
            replication_required: Vec::new(),
            replication_factor: 2,
            max_records: 20_000,
            max_bytes: 64 << 20,
            retention: 10_000.0,
            claim_timeout: 4_000.0,
            lines: FailoverLines::default(),
        }
    }
}

/// What the operators' file sets of failover between zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneOptions {
    /// Whether an owner plans where each zone's work goes.
    pub on: bool,
    /// Zones that are near one another, by name; those that are in none share one region.
    pub regions: Vec<Vec<String>>,
    /// The line of `regions` in the file.
    pub line: usize,
}

/// What the operators' file sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Operations {
    /// Callers the door holds at once; a newer one pushes out the one that came first.
    pub callers_most: usize,
    /// Time a caller has for its line, in milliseconds.
    pub line_time: Millis,
    /// How long after LAMEDUCK jobs are still taken, in milliseconds.
    pub takes_work_for: Millis,
    /// Whether schedulers agree on members, and on one owner for each duty on behalf of the tier.
    pub tier: bool,
    /// An owner's lease, in milliseconds.
    pub lease: Millis,
    /// How many vote on it.
    pub voters: usize,
    /// Where each scheduler keeps the tier's latest epoch, if anywhere.
    pub state_dir: Option<PathBuf>,
    /// Failover of jobs.
    pub failover: FailoverOptions,
    /// Failover between zones.
    pub zones: ZoneOptions,
}

impl Default for Operations {
    fn default() -> Self {
        // Reasons with the constants where they are used: the door's module and engine::drain.
        Operations {
            callers_most: 16,
            line_time: 8_000.0,
            takes_work_for: 1_500.0,
            tier: false,
            lease: 1_500.0,
            voters: 5,
            state_dir: None,
            failover: FailoverOptions::default(),
            zones: ZoneOptions::default(),
        }
    }
}

/// A key, the table it stands in, and the range it must keep: (table, key, least, most, remedy).
type Known = (&'static str, &'static str, f64, f64, &'static str);

const KEYS: [Known; 13] = [
    ("control", "callers_most", 1.0, 256.0, "a whole number of callers, 1 to 256"),
    // Longer than the 4 s that slow callers take, and no more than a minute of a descriptor held.
    ("control", "line_time_ms", 4_500.0, 60_000.0, "milliseconds, 4500 to 60000"),
    // 4 s after the call no job younger than 2 s may be held.
    ("drain", "takes_work_for_ms", 0.0, 1_900.0, "milliseconds, 0 to 1900"),
    // Yes or no, as 1 or 0 to the range.
    ("tier", "on", 0.0, 1.0, "true or false"),
    // A fifth of it is the time between two renewals; half a minute without an owner is more than anybody wants.
    ("tier", "lease_ms", 500.0, 30_000.0, "milliseconds, 500 to 30000"),
    ("tier", "voters", 3.0, 5.0, "3 or 5"),
    ("zones", "on", 0.0, 1.0, "true or false"),
    ("handover", "on", 0.0, 1.0, "true or false"),
    // A scheduler and all its keepers must be lost at once for a job to be; more than four only cost.
    ("handover", "copies", 1.0, 4.0, "a whole number of keepers, 1 to 4"),
    ("handover", "records_most", 100.0, 1e6, "a whole number of records, 100 to 1000000"),
    ("handover", "megabytes_most", 1.0, 4_096.0, "megabytes, 1 to 4096"),
    // Clients that lost their connection come again within seconds.
    ("handover", "keep_ms", 1_000.0, 600_000.0, "milliseconds, 1000 to 600000"),
    ("handover", "patience_ms", 100.0, 60_000.0, "milliseconds, 100 to 60000"),
];

/// The key that takes a path.
const STATE_DIR: (&str, &str) = ("tier", "state_dir");

/// Keys that take a list of words.
const LISTS: [(&str, &str, &str); 4] = [
    (
        "handover",
        "links",
        "a list of addresses with ports, one for each scheduler, such as [\"10.0.0.1:7100\"]",
    ),
    (
        "zones",
        "regions",
        "a list of regions, each the names of its zones, such as [\"north-a north-b\", \"south\"]",
    ),
    ("handover", "covered", "a list of classes, such as [\"market-sale\"]"),
    ("handover", "refused", "a list of classes, such as [\"market-sale\"]"),
];

/// The words of a list, if it is one.
fn words(value: &DeValue) -> Option<Vec<String>> {
    let DeValue::Array(items) = value else { return None };
    let word = |item: &toml::Spanned<DeValue>| match item.get_ref() {
        DeValue::String(text) => Some(text.to_string()),
        _ => None,
    };
    items.iter().map(word).collect()
}

impl Operations {
    /// Reads the file's text.
    pub fn parse(path: &Path, text: &str) -> Result<Operations, String> {
        let line_of = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let bad = |at: usize, what: String| format!("{}:{}: {what}", path.display(), line_of(at));
        let document = DeTable::parse(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            bad(at, format!("not TOML: {}", error.message()))
        })?;
        let mut operations = Operations::default();
        for (table, value) in document.get_ref() {
            let (name, at) = (table.get_ref().as_ref(), table.span().start);
            let DeValue::Table(entries) = value.get_ref() else {
                return Err(bad(
                    at,
                    format!("`{name}` must be a table: [control], [drain], [tier], [zones] or [handover]"),
                ));
            };
            if !KEYS.iter().any(|known| known.0 == name) {
                return Err(bad(
                    at,
                    format!(
                        "unknown table [{name}]: [control], [drain], [tier], [zones] and [handover] are known"
                    ),
                ));
            }
            for (key, value) in entries {
                let (key_name, at) = (key.get_ref().as_ref(), key.span().start);
                if let Some(&(_, _, remedy)) =
                    LISTS.iter().find(|known| (known.0, known.1) == (name, key_name))
                {
                    let wrong = || bad(value.span().start, format!("{name}.{key_name} must be {remedy}"));
                    let words = words(value.get_ref()).ok_or_else(wrong)?;
                    let (failover, line) = (&mut operations.failover, line_of(at));
                    match key_name {
                        "links" => {
                            failover.links = words
                                .iter()
                                .map(|word| word.parse().map_err(|_| wrong()))
                                .collect::<Result<_, _>>()?;
                            failover.lines.links = line;
                        }
                        "regions" => {
                            let zones = |word: &String| word.split_whitespace().map(str::to_owned).collect();
                            operations.zones.regions = words.iter().map(zones).collect();
                            operations.zones.line = line;
                        }
                        "covered" => (failover.replicated_classes, failover.lines.covered) = (words, line),
                        _ => (failover.replication_required, failover.lines.refused) = (words, line),
                    }
                    continue;
                }
                if (name, key_name) == STATE_DIR {
                    operations.state_dir = match value.get_ref() {
                        DeValue::String(text) if !text.is_empty() => Some(PathBuf::from(text.as_ref())),
                        _ => {
                            let what = "tier.state_dir must be a directory's path, such as \"/var/lib/brackenledge\"";
                            return Err(bad(value.span().start, what.into()));
                        }
                    };
                    continue;
                }
                let Some(&(_, _, least, most, remedy)) =
                    KEYS.iter().find(|known| known.0 == name && known.1 == key_name)
                else {
                    let known: Vec<&str> = KEYS
                        .iter()
                        .map(|k| (k.0, k.1))
                        .chain(LISTS.iter().map(|k| (k.0, k.1)))
                        .chain([STATE_DIR])
                        .filter(|k| k.0 == name)
                        .map(|k| k.1)
                        .collect();
                    return Err(bad(
                        at,
                        format!("unknown key {name}.{key_name}: known are {}", known.join(", ")),
                    ));
                };
                let number = match value.get_ref() {
                    DeValue::Integer(integer) if key_name != "on" => {
                        integer.as_str().replace('_', "").parse::<f64>().ok()
                    }
                    DeValue::Boolean(yes) if key_name == "on" => Some(f64::from(u8::from(*yes))),
                    _ => None,
                };
                let number = number
                    .filter(|n| (least..=most).contains(n) && !(key_name == "voters" && *n == 4.0))
                    .ok_or_else(|| bad(value.span().start, format!("{name}.{key_name} must be {remedy}")))?;
                let failover = &mut operations.failover;
                match key_name {
                    "on" if name == "handover" => failover.on = number > 0.0,
                    "on" if name == "zones" => operations.zones.on = number > 0.0,
                    "copies" => failover.replication_factor = number as usize,
                    "records_most" => failover.max_records = number as usize,
                    "megabytes_most" => failover.max_bytes = (number * (1 << 20) as f64) as usize,
                    "keep_ms" => failover.retention = number,
                    "patience_ms" => failover.claim_timeout = number,
                    "callers_most" => operations.callers_most = number as usize,
                    "line_time_ms" => operations.line_time = number,
                    "on" => operations.tier = number > 0.0,
                    "lease_ms" => operations.lease = number,
                    "voters" => operations.voters = number as usize,
                    _ => operations.takes_work_for = number,
                }
            }
        }
        if operations.zones.on && !operations.tier {
            let at = text.find("[zones]").unwrap_or(0);
            return Err(bad(at, "zones.on needs tier.on = true: one owner plans for all".into()));
        }
        if operations.failover.on && !operations.tier {
            let at = text.find("[handover]").unwrap_or(0);
            return Err(bad(
                at,
                "handover.on needs tier.on = true: keepers go by the roll that the tier agrees on".into(),
            ));
        }
        Ok(operations)
    }

    /// Holds what it says of the others and of classes against the configuration.
    pub fn fits(
        &self,
        path: &Path,
        classes: &[String],
        zones: &[String],
        schedulers: usize,
    ) -> Result<(), String> {
        let FailoverOptions { on, links, replicated_classes, replication_required, lines, .. } =
            &self.failover;
        let bad = |line: usize, what: String| Err(format!("{}:{}: {what}", path.display(), line.max(1)));
        let named: Vec<&String> = self.zones.regions.iter().flatten().collect();
        if let Some(unknown) = named.iter().find(|name| !zones.contains(name)) {
            let known = zones.join(", ");
            return bad(
                self.zones.line,
                format!("zones.regions names {unknown:?}, which is no zone: known are {known}"),
            );
        }
        if let Some(twice) = named.iter().enumerate().find(|(at, name)| named[..*at].contains(name)) {
            return bad(
                self.zones.line,
                format!("zones.regions names {:?} twice: a zone is in one region", twice.1),
            );
        }
        if !on {
            return Ok(());
        }
        if links.len() != schedulers {
            let what = format!(
                "handover.links has {} addresses and there are {schedulers} schedulers: give one for each, by number",
                links.len()
            );
            return bad(lines.links, what);
        }
        for (list, line, key) in
            [(replicated_classes, lines.covered, "covered"), (replication_required, lines.refused, "refused")]
        {
            if let Some(unknown) = list.iter().find(|name| !classes.contains(name)) {
                let what = format!(
                    "handover.{key} names {unknown:?}, which is no class: known are {}",
                    classes.join(", ")
                );
                return bad(line, what);
            }
        }
        if let Some(name) = replication_required.iter().find(|name| !replicated_classes.contains(name)) {
            return bad(
                lines.refused,
                format!("handover.refused names {name:?}, which handover.covered does not: add it there"),
            );
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Operations, String> {
        Operations::parse(Path::new("deploy/operations.toml"), text)
    }

    #[test]
    fn regions_name_zones_that_there_are_once_each() {
        let fits = |regions: &str| {
            let text = format!("[tier]\non = true\n[zones]\non = true\nregions = {regions}\n");
            let zones = ["north".into(), "south".into()];
            read(&text).expect("it reads").fits(Path::new("deploy/operations.toml"), &[], &zones, 2)
        };
        assert_eq!(fits("[\"north south\"]"), Ok(()));
        assert_eq!(fits("[]"), Ok(()));
        let unknown = fits("[\"nort\"]").expect_err("no such zone");
        assert!(unknown.starts_with("deploy/operations.toml:5: zones.regions names \"nort\""), "{unknown}");
        let twice = fits("[\"north\", \"south north\"]").expect_err("twice");
        assert!(
            twice.starts_with("deploy/operations.toml:5: zones.regions names \"north\" twice"),
            "{twice}"
        );
    }

    #[test]
    fn the_file_as_shipped_and_an_empty_one_read_as_the_defaults() {
        let shipped = include_str!("../../../deploy/operations.toml");
        let mut read_shipped = read(shipped).expect("the file as shipped");
        (read_shipped.failover.lines, read_shipped.zones.line) = (FailoverLines::default(), 0);
        assert_eq!(read_shipped, Operations::default());
        assert_eq!(read(""), Ok(Operations::default()));
        let set =
            read("[control]\ncallers_most = 32\nline_time_ms = 10_000\n[drain]\ntakes_work_for_ms = 0\n");
        let wanted = Operations {
            callers_most: 32,
            line_time: 10_000.0,
            takes_work_for: 0.0,
            ..Operations::default()
        };
        assert_eq!(set, Ok(wanted));
        let set = read("[tier]\non = true\nlease_ms = 2_000\nvoters = 3\n");
        assert_eq!(set, Ok(Operations { tier: true, lease: 2_000.0, voters: 3, ..Operations::default() }));
    }

    #[test]
    fn what_does_not_fit_the_configuration_is_told_by_line_and_key() {
        let classes = ["farm-view".to_owned(), "market-sale".to_owned()];
        let fits = |text: &str| {
            let path = Path::new("deploy/operations.toml");
            let text = format!("[tier]\non = true\n[handover]\non = true\n{text}");
            Operations::parse(path, &text)?.fits(path, &classes, &["north".into(), "south".into()], 2)
        };
        let links = "links = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n";
        assert_eq!(
            fits(&format!("{links}covered = [\"market-sale\"]\nrefused = [\"market-sale\"]\n")),
            Ok(())
        );
        let cases = [
            ("links = [\"127.0.0.1:1\"]\n".to_owned(), ":5: handover.links has 1 addresses and there are 2"),
            (format!("{links}covered = [\"x\"]\n"), ":6: handover.covered names \"x\", which is no class"),
            (
                format!("{links}refused = [\"farm-view\"]\n"),
                ":6: handover.refused names \"farm-view\", which handover.c",
            ),
        ];
        for (text, wanted) in cases {
            let error = fits(&text).expect_err(&text);
            assert!(error.starts_with(&format!("deploy/operations.toml{wanted}")), "{error}");
        }
    }

    #[test]
    fn each_error_names_the_file_the_line_the_key_and_the_remedy() {
        let cases = [
            (
                "[control]\ncallers_most = 0\n",
                "deploy/operations.toml:2: control.callers_most must be a whole number",
            ),
            (
                "[control]\n\nline_time_ms = \"8s\"\n",
                "deploy/operations.toml:3: control.line_time_ms must be milliseconds",
            ),
            (
                "[drain]\ntakes_work_for_ms = 2500\n",
                "deploy/operations.toml:2: drain.takes_work_for_ms must be milliseconds, 0 to 1900",
            ),
            (
                "[drain]\nlinger = 3\n",
                "deploy/operations.toml:2: unknown key drain.linger: known are takes_work_for_ms",
            ),
            ("[tier]\non = 1\n", "deploy/operations.toml:2: tier.on must be true or false"),
            (
                "[tier]\nstate_dir = 1\n",
                "deploy/operations.toml:2: tier.state_dir must be a directory's path",
            ),
            (
                "[tier]\nstate_dir = \"\"\n",
                "deploy/operations.toml:2: tier.state_dir must be a directory's path",
            ),
            ("[tier]\nvoters = 4\n", "deploy/operations.toml:2: tier.voters must be 3 or 5"),
            ("[tier]\nlease_ms = 100\n", "deploy/operations.toml:2: tier.lease_ms must be milliseconds, 500"),
            ("[zones]\non = true\n", "deploy/operations.toml:1: zones.on needs tier.on = true"),
            ("[zones]\nregions = [1]\n", "deploy/operations.toml:2: zones.regions must be a list of regions"),
            ("[handover]\non = true\n", "deploy/operations.toml:1: handover.on needs tier.on = true"),
            (
                "[handover]\nlinks = [\"here\"]\n",
                "deploy/operations.toml:2: handover.links must be a list of addresses",
            ),
            (
                "[handover]\ncovered = \"all\"\n",
                "deploy/operations.toml:2: handover.covered must be a list of classes",
            ),
            (
                "[handover]\ncopies = 0\n",
                "deploy/operations.toml:2: handover.copies must be a whole number of keepers",
            ),
            ("[doors]\n", "deploy/operations.toml:1: unknown table [doors]"),
            ("callers_most = 3\n", "deploy/operations.toml:1: `callers_most` must be a table"),
            ("[control]\ncallers_most = \n", "deploy/operations.toml:2: not TOML"),
        ];
        for (text, start) in cases {
            let error = read(text).expect_err(text);
            assert!(error.starts_with(start), "{text:?}: {error}");
        }
    }
}
