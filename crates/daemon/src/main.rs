//! The job scheduler brackenledge: the command line.

mod net;

use brackenledge_protocol::config::{Config, Overrides};
use brackenledge_protocol::operations::Operations;
use clap::{Parser, Subcommand};
use slog::{Drain, Logger, o};
use std::path::PathBuf;
use std::process::ExitCode;

/// A job scheduler: takes jobs from clients and pushes each to a worker.
#[derive(Parser)]
#[command(name = "brackenledge", version, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scheduler until SIGTERM
    Serve(Options),
    /// Read the configuration, say what it holds, and exit
    Check(Options),
    /// Ask a running scheduler who is in the tier
    Members(Question),
    /// Ask a running scheduler who owns which duty on behalf of the tier
    Duties(Question),
    /// Ask a running scheduler where each zone's work goes
    Zones(Question),
    /// Print the version
    Version,
}

#[derive(Clone, clap::Args)]
struct Question {
    /// The scheduler's door for operators
    #[arg(long, env = "PROXY_CONTROL", value_name = "ADDRESS")]
    control: String,
    /// An object a line in place of the table
    #[arg(long)]
    json: bool,
}

#[derive(Clone, clap::Args)]
struct Options {
    /// The JSON configuration
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// This scheduler's name, in place of the file's
    #[arg(long, env = "PROXY_NAME")]
    name: Option<String>,
    /// Where clients connect, in place of the file's
    #[arg(long, env = "PROXY_LISTEN", value_name = "ADDRESS")]
    listen: Option<String>,
    /// Where discovery is, in place of the file's
    #[arg(long, env = "PROXY_DISCOVERY", value_name = "ADDRESS")]
    discovery: Option<String>,
    /// Where the operators' door listens, in place of the file's
    #[arg(long, env = "PROXY_CONTROL", value_name = "ADDRESS")]
    control: Option<String>,
    /// The operators' own settings of the door and the drain (TOML)
    #[arg(long, env = "PROXY_OPERATIONS", value_name = "FILE")]
    operations: Option<PathBuf>,
}

impl Options {
    fn load(&self) -> Result<Config, String> {
        let Options { config, name, listen, discovery, control, .. } = self.clone();
        let path = config.ok_or("no configuration: give --config FILE or set PROXY_CONFIG")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Config::parse(&path, &text, Overrides { name, listen, discovery, control })
    }

    /// The operators' settings, held against the configuration; without a file, the defaults.
    fn operations(&self, config: &Config) -> Result<Operations, String> {
        let Some(path) = &self.operations else { return Ok(Operations::default()) };
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let operations = Operations::parse(path, &text)?;
        let schedulers = config.peer.as_ref().map_or(0, |peer| peer.peers.len());
        let (classes, zones) = (config.settings.class_names(), config.settings.zone_names());
        operations.fits(path, &classes, &zones, schedulers)?;
        Ok(operations)
    }
}

/// Lines queued for the log's own thread; beyond that they are counted and dropped, so that whoever reads
/// standard error slowly never holds up the event loop.
const LOG_QUEUE: usize = 1_024;

fn logger() -> (Logger, slog_async::AsyncGuard) {
    // By lines: standard error itself would take each field of a line by several writes.
    let decorator = slog_term::PlainDecorator::new(std::io::LineWriter::new(std::io::stderr()));
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}

/// A running scheduler answers at once; longer means that it is stopped or gone.
const ANSWER: std::time::Duration = std::time::Duration::from_secs(5);

/// Asks at a scheduler's door and prints the answer: lines of `name=value`, as columns or as objects.
fn ask(call: &str, question: &Question) -> Result<(), String> {
    use std::io::{Read, Write};
    let at = &question.control;
    let bad = |error: std::io::Error| format!("{at}: {error}");
    let address: std::net::SocketAddr =
        at.parse().map_err(|_| format!("--control {at:?} is not an address with a port"))?;
    let mut door = std::net::TcpStream::connect_timeout(&address, ANSWER).map_err(bad)?;
    door.set_read_timeout(Some(ANSWER)).map_err(bad)?;
    door.write_all(format!("{call}\n").as_bytes()).map_err(bad)?;
    let mut reply = String::new();
    door.read_to_string(&mut reply).map_err(bad)?;
    let mut lines = reply.lines();
    match lines.next() {
        Some("done") => {}
        Some(other) => return Err(format!("{at}: {other}")),
        None => return Err(format!("{at}: no answer")),
    }
    let rows = lines
        .take_while(|&line| line != "end")
        .map(|line| line.split(' ').filter_map(|pair| pair.split_once('=')).collect::<Vec<(&str, &str)>>());
    for row in rows {
        if question.json {
            let object: serde_json::Map<String, serde_json::Value> =
                row.iter().map(|&(name, value)| (name.to_owned(), value.into())).collect();
            println!("{}", serde_json::Value::Object(object));
        } else {
            let cells: Vec<String> = row.iter().map(|(name, value)| format!("{name} {value:<14}")).collect();
            println!("{}", cells.join(" ").trim_end());
        }
    }
    Ok(())
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(options) => {
            let config = options.load()?;
            let operations = options.operations(&config)?;
            let (log, _guard) = logger();
            let reload = || options.load().map_err(net::StartError::Configuration);
            net::serve(config, operations, &reload, log).map_err(|error| error.to_string())
        }
        Command::Check(options) => {
            let config = options.load()?;
            options.operations(&config)?;
            println!("{config}");
            Ok(())
        }
        Command::Members(question) => ask("MEMBERS", &question),
        Command::Duties(question) => ask("DUTIES", &question),
        Command::Zones(question) => ask("ZONES", &question),
        Command::Version => {
            println!("brackenledge {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("brackenledge: {message}");
            ExitCode::FAILURE
        }
    }
}
