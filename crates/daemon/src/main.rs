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
    /// Print the version
    Version,
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

    /// The operators' settings; without a file, the defaults.
    fn operations(&self) -> Result<Operations, String> {
        let Some(path) = &self.operations else { return Ok(Operations::default()) };
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Operations::parse(path, &text)
    }
}

/// Lines queued for the log's own thread; beyond that they are counted and dropped, so that whoever reads
/// standard error slowly never holds up the event loop.
const LOG_QUEUE: usize = 1_024;

fn logger() -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(options) => {
            let config = options.load()?;
            let operations = options.operations()?;
            let (log, _guard) = logger();
            net::serve(config, operations, &|| options.load(), log)
        }
        Command::Check(options) => {
            let config = options.load()?;
            options.operations()?;
            println!("{config}");
            Ok(())
        }
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
