//! Statistics for operators: how the jobs of each class ended, and how many jobs and endpoints there are now.
//!
//! Ends are counted where the engine ends a job, so that each job counts exactly once, whichever frontend
//! submitted it and however it ended. A job that a frontend rejects without submitting it is counted by
//! [`Engine::rejected_at_admission`](crate::Engine::rejected_at_admission). Counts start at zero with the
//! process and only grow. The module does no I/O and reads no clock.

/// How the jobs of one class ended since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassStats {
    /// Jobs that ended as [`JobEnd::Served`].
    pub served: u64,
    /// Jobs that ended as [`JobEnd::Rejected`].
    pub rejected: u64,
    /// Jobs that ended as [`JobEnd::Failed`].
    pub failed: u64,
}

/// Counts since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobStats {
    /// Indexed by class, in the order of the settings.
    pub classes: Vec<ClassStats>,
    /// Jobs that [`Engine::abandon_job`](crate::Engine::abandon_job) ended before their answer.
    pub abandoned: u64,
    /// Attempts whose request was written completely to a worker.
    pub sent_attempts: u64,
}

/// How an answered job ended; one value for each kind of [`Answer`](crate::Answer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// [`Answer::Served`](crate::Answer::Served).
    Served,
    /// [`Answer::Rejected`](crate::Answer::Rejected), by the decision module or at admission.
    Rejected,
    /// [`Answer::Failed`](crate::Answer::Failed).
    Failed,
}

impl JobStats {
    /// Counts for `classes` classes, all zero.
    pub fn new(classes: usize) -> Self {
        JobStats { classes: vec![ClassStats::default(); classes], ..JobStats::default() }
    }

    /// Counts the end of a job of this class.
    pub fn record(&mut self, class: usize, end: JobEnd) {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassStats::default());
        }
        let stats = &mut self.classes[class];
        *match end {
            JobEnd::Served => &mut stats.served,
            JobEnd::Rejected => &mut stats.rejected,
            JobEnd::Failed => &mut stats.failed,
        } += 1;
    }

    /// The sums over all classes.
    pub fn totals(&self) -> ClassStats {
        self.classes.iter().fold(ClassStats::default(), |sum, class| ClassStats {
            served: sum.served + class.served,
            rejected: sum.rejected + class.rejected,
            failed: sum.failed + class.failed,
        })
    }
}

/// Formats the statistics as lines of `name=value`: the classes in the order of the settings, then the sent
/// attempts and the gauges. The admin endpoint shows these names to operators' tools, so they must not
/// change.
pub fn render_lines(stats: &JobStats, class_names: &[String], gauges: &Gauges) -> Vec<String> {
    let mut lines = Vec::new();
    for (index, name) in class_names.iter().enumerate() {
        let class = stats.classes.get(index).copied().unwrap_or_default();
        lines.push(format!("svc.fulfilled.{name}={}", class.served));
        lines.push(format!("svc.throttled.{name}={}", class.rejected));
        lines.push(format!("svc.faulted.{name}={}", class.failed));
    }
    lines.push(format!("svc.relayed={}", stats.sent_attempts));
    lines.push(format!("svc.open_requests={}", gauges.pending_jobs));
    lines.push(format!("svc.registry_entries={}", gauges.endpoints));
    lines.push(format!("svc.out_of_rotation={}", gauges.unready_endpoints));
    lines
}

/// Current values, as opposed to counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Jobs admitted and not yet answered.
    pub pending_jobs: usize,
    /// Workers in the endpoint table.
    pub endpoints: usize,
    /// Workers in the endpoint table that currently receive no new attempts.
    pub unready_endpoints: usize,
}

#[cfg(test)]
mod tests;
