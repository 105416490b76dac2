//! Command line of the job scheduler `brackenledge`.

mod admin_call;
mod error;
mod net;

use crate::error::{LoadError, ProgramError};
use brackenledge_protocol::config::{Config, Overrides};
use brackenledge_protocol::operations::{Deployment, Operations};
use clap::{Parser, Subcommand};
use slog::{Drain, Logger, o};
use std::path::{Path, PathBuf};
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
    /// Validate the configuration and the operators' file, print a summary, and exit
    Check(Options),
    /// Show the cluster's view and members, as a running scheduler knows them
    Members(StatusOptions),
    /// Show the cluster's roles and which scheduler holds the lease of each
    Duties(StatusOptions),
    /// Show the traffic plan in force: which share of each zone's work goes to which zone
    Zones(StatusOptions),
    /// Print the version
    Version,
}

#[derive(Clone, clap::Args)]
struct StatusOptions {
    /// The running scheduler's admin endpoint
    #[arg(long, env = "PROXY_CONTROL", value_name = "ADDRESS")]
    control: String,
    /// Print a JSON object per line in place of columns
    #[arg(long)]
    json: bool,
}

#[derive(Clone, clap::Args)]
struct Options {
    /// The JSON configuration
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// This scheduler's name; overrides `name` of the configuration
    #[arg(long, env = "PROXY_NAME")]
    name: Option<String>,
    /// Where clients connect; overrides `listen` of the configuration
    #[arg(long, env = "PROXY_LISTEN", value_name = "ADDRESS")]
    listen: Option<String>,
    /// Where discovery is; overrides `discovery` of the configuration
    #[arg(long, env = "PROXY_DISCOVERY", value_name = "ADDRESS")]
    discovery: Option<String>,
    /// Where the admin endpoint listens; overrides `control` of the configuration
    #[arg(long, env = "PROXY_CONTROL", value_name = "ADDRESS")]
    control: Option<String>,
    /// The operators' file (TOML): admin endpoint, drain, cluster, failover, zone routing
    #[arg(long, env = "PROXY_OPERATIONS", value_name = "FILE")]
    operations: Option<PathBuf>,
    /// The least severe log lines that are written; `debug` adds lines on each attempt
    #[arg(long, env = "PROXY_LOG_LEVEL", value_name = "LEVEL", default_value = "info")]
    log_level: LogLevel,
}

/// The lowest severity of log lines that are written.
#[derive(Clone, Copy, clap::ValueEnum)]
enum LogLevel {
    Warning,
    Info,
    Debug,
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Warning => slog::Level::Warning,
            LogLevel::Info => slog::Level::Info,
            LogLevel::Debug => slog::Level::Debug,
        }
    }
}

impl Options {
    /// Reads the configuration file and applies the overrides of the command line and the environment.
    fn load_config(&self) -> Result<Config, LoadError> {
        let Options { config, name, listen, discovery, control, .. } = self.clone();
        let path = config.ok_or(LoadError::NoConfiguration)?;
        let text = read_file(&path)?;
        Ok(Config::parse(&path, &text, Overrides { name, listen, discovery, control })?)
    }

    /// Reads the operators' file and validates it against the configuration. Without a file, the defaults
    /// apply.
    fn load_operations(&self, config: &Config) -> Result<Operations, LoadError> {
        let Some(path) = &self.operations else { return Ok(Operations::default()) };
        let operations = Operations::parse(path, &read_file(path)?)?;
        let deployment = Deployment {
            classes: config.settings.class_names(),
            zones: config.settings.zone_names(),
            schedulers: config.peer.as_ref().map_or(0, |peer| peer.peers.len()),
        };
        operations.validate(path, &deployment)?;
        Ok(operations)
    }
}

fn read_file(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::ReadFile { path: path.to_owned(), source })
}

/// Maximum number of lines queued for the logging thread. Further lines are dropped and counted, so that a
/// slow reader of standard error never blocks the event loop.
const LOG_QUEUE_LEN: usize = 1_024;

fn logger(level: LogLevel) -> (Logger, slog_async::AsyncGuard) {
    // Standard error is unbuffered: without a line buffer, each field of a line would take several writes.
    let decorator = slog_term::PlainDecorator::new(std::io::LineWriter::new(std::io::stderr()));
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_LEN)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.filter_level(level.into()).fuse(), o!()), guard)
}

/// Makes a call to a scheduler's admin endpoint and prints the rows of its reply, as columns or as JSON
/// objects.
fn print_status(call: &str, options: &StatusOptions) -> Result<(), ProgramError> {
    for line in admin_call::call(&options.control, call)? {
        let row: Vec<(&str, &str)> = line.split(' ').filter_map(|pair| pair.split_once('=')).collect();
        println!("{}", if options.json { format_object(&row) } else { format_columns(&row) });
    }
    Ok(())
}

fn format_object(row: &[(&str, &str)]) -> String {
    let object: serde_json::Map<String, serde_json::Value> =
        row.iter().map(|&(name, value)| (name.to_owned(), value.into())).collect();
    serde_json::Value::Object(object).to_string()
}

fn format_columns(row: &[(&str, &str)]) -> String {
    let cells: Vec<String> = row.iter().map(|(name, value)| format!("{name} {value:<14}")).collect();
    cells.join(" ").trim_end().to_owned()
}

fn run(command: Command) -> Result<(), ProgramError> {
    match command {
        Command::Serve(options) => {
            let config = options.load_config()?;
            let operations = options.load_operations(&config)?;
            let (log, _guard) = logger(options.log_level);
            let reload = || options.load_config();
            Ok(net::serve(config, operations, &reload, log)?)
        }
        Command::Check(options) => {
            let config = options.load_config()?;
            options.load_operations(&config)?;
            println!("{config}");
            Ok(())
        }
        Command::Members(options) => print_status("MEMBERS", &options),
        Command::Duties(options) => print_status("DUTIES", &options),
        Command::Zones(options) => print_status("ZONES", &options),
        Command::Version => {
            println!("brackenledge {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("brackenledge: {error}");
            ExitCode::FAILURE
        }
    }
}
