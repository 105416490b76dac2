//! The dispatcher instances that this process hosts. Each numbers its workers on its own.

use crate::error::BatchError;
use crate::wire::{DirectoryEntry, JOB_PROGRESS, JOB_STARTED, WireAction, WireEvent, WireListKind, outcome};
use brackenledge_policy::{
    Action, AttemptResult, Dispatcher, Event, ListKind, Settings, SettingsDocument, WorkerEntry, WorkerId,
};
use std::any::Any;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// Number of directory slots; they are numbered from 0.
const DIRECTORY_SLOTS: usize = 16;

/// The directories by slot; `None` where none has been received.
type Directories = [Option<Rc<Vec<DirectoryEntry>>>; DIRECTORY_SLOTS];

/// One dispatcher instance. Workers get ids in the order in which its lists first name them.
struct Instance {
    dispatcher: Dispatcher,
    worker_ids: HashMap<String, WorkerId>,
    /// Names of the workers, by id.
    worker_names: Vec<String>,
}

impl Instance {
    fn new(now: f64, settings: &SettingsDocument, seed: u64) -> Self {
        Instance {
            dispatcher: Dispatcher::new(now, Settings::from(settings), seed),
            worker_ids: HashMap::new(),
            worker_names: Vec::new(),
        }
    }

    /// The id of a worker, which is assigned when the worker is first named.
    fn worker_id(&mut self, worker: &str) -> WorkerId {
        if let Some(&id) = self.worker_ids.get(worker) {
            return id;
        }
        let id = self.worker_names.len();
        self.worker_ids.insert(worker.to_owned(), id);
        self.worker_names.push(worker.to_owned());
        id
    }

    fn worker_entries(&mut self, directory: &[DirectoryEntry]) -> Vec<WorkerEntry> {
        directory.iter().map(|entry| entry.worker_entry(self.worker_id(&entry.worker))).collect()
    }

    /// Converts an event of the wire to an event of the decision module; `None` if the module has no such
    /// event.
    fn event(&mut self, directories: &Directories, event: WireEvent) -> Result<Option<Event>, BatchError> {
        Ok(Some(match event {
            WireEvent::BackendsChanged { kind, slot, .. } => self.list_event(directories, kind, slot)?,
            WireEvent::Ask(job) => Event::Job(job.into()),
            WireEvent::Opened { job, attempt, .. } => Event::StreamOpened { job, attempt },
            WireEvent::Change { job, attempt, change_kind, fraction_done, .. } => match change_kind {
                JOB_STARTED => Event::JobStarted { job, attempt },
                JOB_PROGRESS => Event::JobProgress { job, attempt, done: fraction_done },
                _ => return Ok(None),
            },
            WireEvent::Response { job, attempt, code, job_answered, report, .. } => {
                let (outcome, report) = (outcome(code)?, report.map(Into::into));
                Event::AttemptEnded(AttemptResult { job, attempt, outcome, job_answered, report })
            }
            WireEvent::TimedOutClient { job, .. } => Event::ClientDisconnected { job },
            WireEvent::Timer { .. } => Event::Timer,
            WireEvent::StatusBack { worker, code, report, .. } => {
                let (outcome, report) = (outcome(code)?, report.map(Into::into));
                Event::HealthChecked { worker: self.worker_id(&worker), outcome, report }
            }
            WireEvent::Inbox { from, text, .. } => Event::PeerMessage { from, text },
            WireEvent::Directory { .. } | WireEvent::Boot { .. } | WireEvent::Kill { .. } => return Ok(None),
        }))
    }

    fn list_event(
        &mut self,
        directories: &Directories,
        kind: WireListKind,
        slot: Option<usize>,
    ) -> Result<Event, BatchError> {
        let kind = ListKind::from(kind);
        if kind == ListKind::Failed {
            return Ok(Event::Workers { kind, entries: Vec::new() });
        }
        let slot = slot.ok_or(BatchError::MissingSlot)?;
        let directory = directories.get(slot).and_then(Option::as_ref).ok_or(BatchError::EmptySlot(slot))?;
        Ok(Event::Workers { kind, entries: self.worker_entries(directory) })
    }
}

/// All instances of this process, and the directories to which their list events refer.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    directories: Directories,
    /// Actions of the event that is being handled. Empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Host {
    /// Handles an event and appends the resulting actions of its instance to `outbox`.
    pub fn handle(
        &mut self,
        now: f64,
        event: WireEvent,
        outbox: &mut Vec<WireAction>,
    ) -> Result<(), BatchError> {
        match event {
            WireEvent::Directory { slot, entries } => {
                let directory = self.directories.get_mut(slot).ok_or(BatchError::InvalidSlot(slot))?;
                *directory = Some(Rc::new(entries));
            }
            WireEvent::Kill { dispatcher } => {
                if self.instances.remove(&dispatcher).is_none() {
                    return Err(BatchError::UnknownInstance(dispatcher));
                }
                // Actions of the killed instance that are already in this batch's outbox must not be
                // attributed to an instance that is booted under the same name later in the batch.
                outbox.retain(|action| action.dispatcher() != dispatcher);
            }
            WireEvent::Boot { dispatcher, seed, settings } => {
                self.instances.insert(dispatcher, Instance::new(now, &settings, seed));
            }
            event => {
                let name = event.dispatcher().unwrap_or_default().to_owned();
                self.handle_for_instance(now, name, event, outbox)?;
            }
        }
        Ok(())
    }

    fn handle_for_instance(
        &mut self,
        now: f64,
        name: String,
        event: WireEvent,
        outbox: &mut Vec<WireAction>,
    ) -> Result<(), BatchError> {
        let Some(instance) = self.instances.get_mut(&name) else {
            return Err(BatchError::UnknownInstance(name));
        };
        let Some(event) = instance.event(&self.directories, event)? else { return Ok(()) };
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, actions)));
        let wire_action = |action| WireAction::new(&name, &instance.worker_names, action);
        outbox.extend(actions.drain(..).map(wire_action));
        if let Err(panic) = handled {
            outbox.push(WireAction::Fatal { message: panic_message(panic.as_ref()), dispatcher: name });
        }
        Ok(())
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_owned()
}
