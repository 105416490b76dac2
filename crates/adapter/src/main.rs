//! Runs dispatchers of the decision module behind the simulator's wire protocol: reads batches of events from
//! standard input, and writes replies with actions to standard output.
//!
//! **Invariant.** Each batch gets exactly one reply, which repeats the batch's number. The adapter makes no
//! decisions.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `wire` | the format of the lines, and the conversion of events and actions |
//! | `host` | the dispatcher instances and the ids of their workers |
//! | `error` | errors in the input and on the output stream |

mod error;
mod host;
mod wire;

use error::{AdapterError, BatchError};
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Batch, Reply, WireAction};

/// Answers batches until the input ends or a batch is invalid.
fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut outbox = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let line = line.map_err(BatchError::from);
        let result = line.and_then(|line| answer_batch(&mut host, &mut outbox, &line, &mut output));
        result.map_err(|source| AdapterError { line: index + 1, source })?;
        outbox.clear();
    }
    Ok(())
}

/// Handles the events of one batch and writes its reply. `outbox` must be empty.
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
