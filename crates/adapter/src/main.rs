//! Hosts dispatchers of the decision module on the simulator's wire: batches of events on standard input, replies with
//! actions on standard output.
//!
//! **Invariant.** Each batch gets one reply, with the same number. Nothing is decided here.
//!
//! | module | its job |
//! | --- | --- |
//! | `wire` | the lines, and what their events and actions are for the decision module |
//! | `host` | the instances and their workers' ids |
//! | `error` | what can be wrong with the input |

mod error;
mod host;
mod wire;

use error::{AdapterError, BatchError};
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Batch, Reply, WireAction};

/// Answers batches until the input ends.
fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut outbox = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let line = line.map_err(BatchError::from);
        let answered = line.and_then(|line| answer_batch(&mut host, &mut outbox, &line, &mut output));
        answered.map_err(|source| AdapterError { line: index + 1, source })?;
        outbox.clear();
    }
    Ok(())
}

/// Handles the events of a batch and writes its reply. `outbox` is empty before.
fn answer_batch(
    host: &mut Host,
    outbox: &mut Vec<WireAction>,
    line: &str,
    output: &mut impl Write,
) -> Result<(), BatchError> {
    let batch: Batch = serde_json::from_str(line).map_err(BatchError::Malformed)?;
    for event in batch.events {
        host.handle(batch.sim_time, event, outbox)?;
    }
    let reply = Reply { round: batch.round, actions: outbox };
    serde_json::to_writer(&mut *output, &reply).map_err(BatchError::Reply)?;
    output.write_all(b"\n")?;
    output.flush()?;
    Ok(())
}

fn main() -> ExitCode {
    let output = io::BufWriter::new(io::stdout().lock());
    match serve(io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("brackenledge-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
