//! The faults in effect.

use crate::network_conditions::NetworkConditions;
use crate::scenario::{FaultAction, Link};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The faults in effect, by their index in the scenario.
#[derive(Debug, Default)]
pub struct ActiveFaults {
    /// Actions in which the lease holder and the leader are resolved to schedulers as of the time the fault
    /// began.
    active: HashMap<usize, FaultAction>,
    /// Faults in effect that have an end time.
    awaiting_end: BTreeSet<usize>,
    /// Links affected by each network fault in effect, and the conditions it sets on them.
    link_conditions: BTreeMap<usize, (Vec<Link>, NetworkConditions)>,
}

impl ActiveFaults {
    /// Adds a fault. The run waits for its end only if `will_end` is set.
    pub fn begin(&mut self, number: usize, action: FaultAction, will_end: bool) {
        self.active.insert(number, action);
        if will_end {
            self.awaiting_end.insert(number);
        }
    }

    /// Removes a fault and returns its action; `None` if it was not in effect.
    pub fn end(&mut self, number: usize) -> Option<FaultAction> {
        self.awaiting_end.remove(&number);
        self.active.remove(&number)
    }

    /// Sets the conditions that a fault imposes on links.
    pub fn add_conditions(&mut self, number: usize, links: &[Link], conditions: &NetworkConditions) {
        self.link_conditions.insert(number, (links.to_vec(), conditions.clone()));
    }

    /// Removes the conditions that a fault imposes on links.
    pub fn remove_conditions(&mut self, number: usize) {
        self.link_conditions.remove(&number);
    }

    /// Whether a fault with an end time is in effect.
    pub fn has_unfinished(&self) -> bool {
        !self.awaiting_end.is_empty()
    }

    /// The conditions of all links that faults affect. Those of several faults on one link are combined.
    pub fn conditions(&self) -> HashMap<Link, NetworkConditions> {
        let mut all: HashMap<Link, NetworkConditions> = HashMap::new();
        for (links, conditions) in self.link_conditions.values() {
            for link in links {
                let combined = match all.get(link) {
                    Some(others) => others.combined_with(conditions),
                    None => conditions.clone(),
                };
                all.insert(*link, combined);
            }
        }
        all
    }
}
