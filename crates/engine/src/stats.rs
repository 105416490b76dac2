//! The figures that operators read: what became of the jobs of each class, and what is held now.
//!
//! Counted where the core decides a job's end, so that every front and every way of ending a job is counted
//! once and alike. Counts start with the process and only grow; no I/O, no clock.

/// What became of one class's jobs since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassFigures {
    /// Served: the client was given what a backend server made.
    pub fulfilled: u64,
    /// Refused: trying again is harmless.
    pub throttled: u64,
    /// Failed: nothing is promised.
    pub faulted: u64,
}

/// Counts since the start, per class and in all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// By the class's number in the settings.
    pub classes: Vec<ClassFigures>,
    /// Dispatches whose request was written whole to a backend server.
    pub relayed: u64,
}

/// How a job ended, as the figures count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Fulfilled,
    /// Refused.
    Throttled,
    /// Failed.
    Faulted,
}

impl Figures {
    /// Counts for `classes` classes, all naught.
    pub fn new(classes: usize) -> Self {
        Figures { classes: vec![ClassFigures::default(); classes], relayed: 0 }
    }

    /// A job of this class has ended so.
    pub fn ended(&mut self, class: usize, end: End) {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassFigures::default());
        }
        let figures = &mut self.classes[class];
        *match end {
            End::Fulfilled => &mut figures.fulfilled,
            End::Throttled => &mut figures.throttled,
            End::Faulted => &mut figures.faulted,
        } += 1;
    }
}

/// The figures as lines of `name=value`, class names in the order of the settings, then what is held now.
pub fn lines(figures: &Figures, class_names: &[String], gauges: &Gauges) -> Vec<String> {
    let mut lines = Vec::new();
    for (at, name) in class_names.iter().enumerate() {
        let class = figures.classes.get(at).copied().unwrap_or_default();
        lines.push(format!("svc.fulfilled.{name}={}", class.fulfilled));
        lines.push(format!("svc.throttled.{name}={}", class.throttled));
        lines.push(format!("svc.faulted.{name}={}", class.faulted));
    }
    lines.push(format!("svc.relayed={}", figures.relayed));
    lines.push(format!("svc.open_requests={}", gauges.open_requests));
    lines.push(format!("svc.registry_entries={}", gauges.registry_entries));
    lines.push(format!("svc.out_of_rotation={}", gauges.out_of_rotation));
    lines
}

/// What is held at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Jobs taken and not yet ended.
    pub open_requests: usize,
    /// Backend servers in the server table.
    pub registry_entries: usize,
    /// Of those, the ones that get no new work now.
    pub out_of_rotation: usize,
}

#[cfg(test)]
mod tests;
