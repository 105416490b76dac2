//! Statistics of role leases: their holders, how long roles were vacant, and fenced messages.

use super::report::{Report, RoleHolder};
use crate::Millis;
use crate::history::{HistoryEvent, ProcessEvent};
use brackenledge_leases::{Role, Term};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Duration of a role's lease, by default in the operators' settings.
const LEASE_DURATION: Millis = 1_500.0;

/// Adds lease holders, the maximum vacancy and fenced messages to the report.
pub fn add(report: &mut Report, history: &[HistoryEvent]) {
    let mut roles = Roles { max_vacancy: 0.0, ..Roles::default() };
    let mut messages = FencedMessages::default();
    for event in history {
        roles.add(event);
        messages.add(event);
    }
    report.max_vacancy = roles.vacant.is_empty().then_some(roles.max_vacancy);
    report.role_holders = roles.announced;
    report.fenced_messages = messages.sent;
    report.late_fenced_messages = messages.late;
}

/// A role whose lease holder was killed, paused or terminated and has no successor yet.
struct Vacancy {
    since: Millis,
    former_holder: usize,
}

#[derive(Default)]
struct Roles {
    /// Each change of holder, in the order of the announcements.
    announced: Vec<RoleHolder>,
    /// The holder announced last.
    holders: BTreeMap<Role, usize>,
    vacant: BTreeMap<Role, Vacancy>,
    /// Schedulers that were started or resumed and not lost since.
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

    fn add_holder(&mut self, announced: RoleHolder) {
        let RoleHolder { at, role, holder } = announced;
        if self.holders.insert(role, holder) != Some(holder) {
            self.announced.push(announced);
        }
        // The vacancy ends with another holder, or with the same one once it has returned.
        let is_filled = self.vacant.get(&role).is_some_and(|vacancy| {
            vacancy.former_holder != holder || self.returned.contains(&vacancy.former_holder)
        });
        if !is_filled {
            return;
        }
        let Some(vacancy) = self.vacant.remove(&role) else { return };
        // A holder that returned before its lease expired kept the lease, so the role was not vacant.
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
    /// The newest term that each receiver has got, by role and receiver.
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

    /// Records a term at its receiver. Returns whether the receiver had got a newer one before.
    fn receive(&mut self, role: Role, term: Term, receiver: usize) -> bool {
        let newest = self.newest.entry((role, receiver)).or_insert(term);
        let is_late = term < *newest;
        *newest = term.max(*newest);
        is_late
    }
}
