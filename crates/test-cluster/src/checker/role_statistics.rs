//! Who held which role's lease, how long a role was vacant, and how many fenced messages there were.

use super::report::{Report, RoleHolder};
use crate::Millis;
use crate::history::{HistoryEvent, ProcessEvent};
use brackenledge_leases::{Role, Term};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The duration of a role's lease, as operators have it by default.
const LEASE_DURATION: Millis = 1_500.0;

/// Adds lease holders, vacancies and fenced messages to the report.
pub fn add(report: &mut Report, history: &[HistoryEvent]) {
    let mut roles = Roles { max_vacancy: 0.0, ..Roles::default() };
    let mut messages = FencedMessages::default();
    for event in history {
        roles.add(event);
        messages.add(event);
    }
    report.max_vacancy = roles.vacant.is_empty().then_some(roles.max_vacancy);
    report.role_holders = roles.named;
    report.fenced_messages = messages.sent;
    report.late_fenced_messages = messages.late;
}

/// A role whose holder is lost.
struct Vacancy {
    since: Millis,
    former_holder: usize,
}

#[derive(Default)]
struct Roles {
    named: Vec<RoleHolder>,
    holders: BTreeMap<Role, usize>,
    vacant: BTreeMap<Role, Vacancy>,
    /// Schedulers that have come back since they were lost last.
    returned: BTreeSet<usize>,
    max_vacancy: Millis,
}

impl Roles {
    fn add(&mut self, event: &HistoryEvent) {
        match *event {
            HistoryEvent::RoleAnnounced { at, role, holder, receiver: None, .. } => {
                self.add_holder(RoleHolder { at, role, holder });
            }
            HistoryEvent::Process { at, scheduler, change } => match change {
                ProcessEvent::Started | ProcessEvent::Resumed => {
                    self.returned.insert(scheduler);
                }
                ProcessEvent::Killed | ProcessEvent::Paused | ProcessEvent::Terminated => {
                    self.add_loss(at, scheduler);
                }
            },
            _ => {}
        }
    }

    fn add_loss(&mut self, at: Millis, scheduler: usize) {
        self.returned.remove(&scheduler);
        for (role, _) in self.holders.iter().filter(|(_, holder)| **holder == scheduler) {
            let vacancy = || Vacancy { since: at, former_holder: scheduler };
            self.vacant.entry(*role).or_insert_with(vacancy);
        }
    }

    fn add_holder(&mut self, named: RoleHolder) {
        let RoleHolder { at, role, holder } = named;
        if self.holders.insert(role, holder) != Some(holder) {
            self.named.push(named);
        }
        // The role is filled by another holder, or by the same one once it is back.
        let is_filled = self.vacant.get(&role).is_some_and(|vacancy| {
            vacancy.former_holder != holder || self.returned.contains(&vacancy.former_holder)
        });
        if !is_filled {
            return;
        }
        let Some(vacancy) = self.vacant.remove(&role) else { return };
        // A holder that was back before its lease had expired has simply continued.
        let length = at - vacancy.since;
        if vacancy.former_holder != holder || length > LEASE_DURATION {
            self.max_vacancy = self.max_vacancy.max(length);
        }
    }
}

#[derive(Default)]
struct FencedMessages {
    sent: usize,
    late: usize,
    /// The newest term that each receiver has got, by role.
    newest: HashMap<(Role, usize), Term>,
}

impl FencedMessages {
    fn add(&mut self, event: &HistoryEvent) {
        match *event {
            HistoryEvent::FencedMessage { receiver: None, .. } => self.sent += 1,
            HistoryEvent::FencedMessage { role, term, receiver: Some(receiver), .. } => {
                self.late += usize::from(self.receive(role, term, receiver));
            }
            HistoryEvent::RoleAnnounced { role, term, receiver: Some(receiver), .. } => {
                self.receive(role, term, receiver);
            }
            _ => {}
        }
    }

    /// Whether the receiver has got a newer term before.
    fn receive(&mut self, role: Role, term: Term, receiver: usize) -> bool {
        let newest = self.newest.entry((role, receiver)).or_insert(term);
        let is_late = term < *newest;
        *newest = term.max(*newest);
        is_late
    }
}
