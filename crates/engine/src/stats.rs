//! Statistics for operators: how the jobs of each class ended, and what is in flight now.
//!
//! Counted where the engine ends a job, so that every frontend and every way of ending a job is counted once and alike.
//! Counts start with the process and only grow; no I/O, no clock.

/// How one class's jobs ended since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassStats {
    /// [`JobEnd::Served`].
    pub served: u64,
    /// [`JobEnd::Rejected`].
    pub rejected: u64,
    /// [`JobEnd::Failed`].
    pub failed: u64,
}

/// Counts since the start, per class and in all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobStats {
    /// By the class's number in the settings.
    pub classes: Vec<ClassStats>,
    /// Jobs whose client disconnected before the answer.
    pub abandoned: u64,
    /// Attempts whose request was written completely to a worker.
    pub sent_attempts: u64,
}

/// How an answered job ended: the kinds of an [`Answer`](crate::Answer).
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

/// The statistics as lines of `name=value`: classes in the order of the settings, then what is in flight now. The names are
/// the admin endpoint's and do not change.
pub fn render_lines(stats: &JobStats, class_names: &[String], gauges: &Gauges) -> Vec<String> {
    let mut lines = Vec::new();
    for (at, name) in class_names.iter().enumerate() {
        let class = stats.classes.get(at).copied().unwrap_or_default();
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

/// What is in flight at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Jobs admitted and not yet answered.
    pub pending_jobs: usize,
    /// Workers in the endpoint table.
    pub endpoints: usize,
    /// Of those, the ones that get no new attempt now.
    pub unready_endpoints: usize,
}

#[cfg(test)]
mod tests;
