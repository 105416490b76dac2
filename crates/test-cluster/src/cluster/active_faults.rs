//! The faults that have begun and are not over.

use crate::network_conditions::NetworkConditions;
use crate::scenario::{FaultAction, Link};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The faults that have begun.
#[derive(Debug, Default)]
pub struct ActiveFaults {
    /// By number, with the lease holder and the leader of the time when they began.
    begun: HashMap<usize, FaultAction>,
    /// Faults that have begun and will end.
    unfinished: BTreeSet<usize>,
    /// Conditions of links that faults ask for now.
    network: BTreeMap<usize, (Vec<Link>, NetworkConditions)>,
}

impl ActiveFaults {
    /// A fault begins. One that will not end does not keep the run from ending.
    pub fn begin(&mut self, number: usize, action: FaultAction, will_end: bool) {
        self.begun.insert(number, action);
        if will_end {
            self.unfinished.insert(number);
        }
    }

    /// A fault ends; gives its action, if it has begun.
    pub fn end(&mut self, number: usize) -> Option<FaultAction> {
        self.unfinished.remove(&number);
        self.begun.remove(&number)
    }

    /// A fault asks for conditions of links.
    pub fn add_conditions(&mut self, number: usize, links: &[Link], conditions: &NetworkConditions) {
        self.network.insert(number, (links.to_vec(), conditions.clone()));
    }

    /// A fault's conditions are over.
    pub fn remove_conditions(&mut self, number: usize) {
        self.network.remove(&number);
    }

    /// Whether a fault has begun that will end.
    pub fn has_unfinished(&self) -> bool {
        !self.unfinished.is_empty()
    }

    /// The conditions of all links; several faults on one link are combined.
    pub fn conditions(&self) -> HashMap<Link, NetworkConditions> {
        let mut all: HashMap<Link, NetworkConditions> = HashMap::new();
        for (links, conditions) in self.network.values() {
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
