//! Hosts one brackenledge dispatcher per instance on the simulator's wire: batches on standard input, replies on
//! standard output. It translates and decides nothing.

mod wire;

use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;

use brackenledge_policy::{
    Action, AttemptResult, Dispatcher, Event, ListKind, Settings, WorkerEntry, WorkerId,
};
use wire::{Batch, Happening, Member, Order, Reply};

/// Directories are numbered from 0 to one less than this.
const DIRECTORIES: usize = 16;

/// One instance: a dispatcher, and how it numbers the runners that its lists have named.
struct Instance {
    dispatcher: Dispatcher,
    ids: HashMap<String, WorkerId>,
    names: Vec<String>,
}

impl Instance {
    fn number(&mut self, runner: &str) -> WorkerId {
        if let Some(&id) = self.ids.get(runner) {
            return id;
        }
        let id = self.names.len();
        self.ids.insert(runner.to_owned(), id);
        self.names.push(runner.to_owned());
        id
    }

    fn entries(&mut self, members: &[Member]) -> Vec<WorkerEntry> {
        members.iter().map(|member| member.entry(self.number(&member.runner))).collect()
    }
}

/// All instances of this process, and the directories that their list events point to.
#[derive(Default)]
struct Host {
    instances: HashMap<String, Instance>,
    directories: [Option<Rc<Vec<Member>>>; DIRECTORIES],
    actions: Vec<Action>,
}

impl Host {
    /// Plays one event and appends what its instance orders.
    fn play(&mut self, now: f64, happening: Happening, outbox: &mut Vec<Order>) -> Result<(), String> {
        let name = match happening {
            Happening::Directory { slot, members } => {
                let place = self.directories.get_mut(slot).ok_or(format!("directory slot {slot}"))?;
                *place = Some(Rc::new(members));
                return Ok(());
            }
            Happening::Kill { dispatcher } => {
                self.instances.remove(&dispatcher).ok_or(unknown(&dispatcher))?;
                // What it ordered earlier in this batch must not reach a successor booted in it.
                outbox.retain(|order| order.dispatcher() != dispatcher);
                return Ok(());
            }
            Happening::Boot { dispatcher, seed, settings } => {
                let fresh = Dispatcher::new(now, Settings::from(&*settings), seed);
                let instance = Instance { dispatcher: fresh, ids: HashMap::new(), names: Vec::new() };
                self.instances.insert(dispatcher, instance);
                return Ok(());
            }
            ref other => other.dispatcher().unwrap_or_default().to_owned(),
        };
        let instance = self.instances.get_mut(&name).ok_or(unknown(&name))?;
        let Some(event) = translate(instance, &self.directories, happening)? else { return Ok(()) };
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, actions)));
        outbox.extend(actions.drain(..).map(|action| wire::order(&name, &instance.names, action)));
        if let Err(cause) = handled {
            let text = cause.downcast_ref::<String>().map(String::as_str);
            let words = text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("panic").to_owned();
            outbox.push(Order::Fatal { dispatcher: name, words });
        }
        Ok(())
    }
}

fn unknown(dispatcher: &str) -> String {
    format!("event for {dispatcher:?}, which was never booted")
}

/// The event in the module's terms; `None` where it has none for it.
fn translate(
    instance: &mut Instance,
    directories: &[Option<Rc<Vec<Member>>>],
    happening: Happening,
) -> Result<Option<Event>, String> {
    Ok(Some(match happening {
        Happening::BackendsChanged { kind, slot, .. } => {
            let kind = ListKind::from(kind);
            let entries = if kind == ListKind::Failed {
                Vec::new()
            } else {
                let slot = slot.ok_or("BackendsChanged without a slot")?;
                let list = directories.get(slot).and_then(Option::clone);
                instance.entries(&list.ok_or(format!("no directory in slot {slot}"))?)
            };
            Event::Workers { kind, entries }
        }
        Happening::Ask(ask) => Event::from(ask),
        Happening::Opened { job, leg, .. } => Event::StreamOpened { job, attempt: leg },
        Happening::Change { job, leg, sort, value, .. } => match sort {
            1 => Event::JobStarted { job, attempt: leg },
            2 => Event::JobProgress { job, attempt: leg, done: value },
            _ => return Ok(None),
        },
        Happening::Response { job, leg, code, settled, telemetry, .. } => {
            let (outcome, report) = (wire::outcome(code)?, telemetry.map(Into::into));
            Event::AttemptEnded(AttemptResult { job, attempt: leg, outcome, job_answered: settled, report })
        }
        Happening::TimedOutClient { job, .. } => Event::ClientDisconnected { job },
        Happening::Timer { .. } => Event::Timer,
        Happening::StatusBack { runner, code, telemetry, .. } => {
            let (outcome, report) = (wire::outcome(code)?, telemetry.map(Into::into));
            Event::HealthChecked { worker: instance.number(&runner), outcome, report }
        }
        Happening::Inbox { from, data, .. } => Event::PeerMessage { from, text: data },
        Happening::Directory { .. } | Happening::Boot { .. } | Happening::Kill { .. } => return Ok(None),
    }))
}

/// Answers batches until the input ends.
fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut outbox = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let place = |what: String| format!("line {}: {what}", index + 1);
        let line = line.map_err(|e| place(e.to_string()))?;
        let batch: Batch = serde_json::from_str(&line).map_err(|e| place(format!("not a batch: {e}")))?;
        for happening in batch.happened {
            host.play(batch.sim_time, happening, &mut outbox).map_err(place)?;
        }
        serde_json::to_writer(&mut output, &Reply { round: batch.round, outbox: &outbox })
            .map_err(|e| place(e.to_string()))?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| place(e.to_string()))?;
        outbox.clear();
    }
    Ok(())
}

fn main() -> ExitCode {
    let output = io::BufWriter::new(io::stdout().lock());
    match serve(io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("brackenledge-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
