//! The transitions of the model: the effect of each action on the state.

use crate::cluster::{
    Action, Cluster, Driver, InjectedBug, NEVER, NOW, PendingAction, State, key, members, process, term,
};
use brackenledge_failover::{JobOutcome, Message};
use std::collections::BTreeSet;
use std::sync::Arc;

impl Cluster {
    /// Applies an action to the state; returns `None` if it is not possible.
    pub fn apply(&self, state: &mut State, action: Action) -> Option<()> {
        match action {
            Action::Deliver(from, to) => self.deliver(state, from, to),
            Action::PerformPending(node) => self.perform_pending(state, node),
            Action::WorkerUnavailable(node) => self.reach_no_worker(state, node),
            Action::Reject(node) => self.reject(state, node),
            Action::EndAttempt(node, index, served) => self.end_attempt(state, node, index, served),
            Action::Crash(node) => self.crash(state, node),
            Action::LeaseExpires(node) => self.expire_lease(state, node),
            Action::NewMemberList => self.publish_member_list(state),
            Action::Rejoin(node) => self.rejoin(state, node),
            Action::ApplyMemberList(node) => self.apply_member_list(state, node),
            Action::Resubmit(node) => self.resubmit(state, node),
            Action::Disconnect(index) => self.disconnect(state, index),
        }
    }

    fn deliver(&self, state: &mut State, from: u16, to: u16) -> Option<()> {
        let message = state.in_transit.get_mut(&(from, to))?.pop_front()?;
        if state.in_transit[&(from, to)].is_empty() {
            state.in_transit.remove(&(from, to));
        }
        state.nodes[usize::from(to)].as_mut()?.handle_message(NOW, process(from), message);
        self.execute_commands(state, to);
        Some(())
    }

    /// A node carries out the first of its pending actions.
    fn perform_pending(&self, state: &mut State, node: u16) -> Option<()> {
        match state.drivers[usize::from(node)].actions.pop_front()? {
            PendingAction::Attempt(attempt) => {
                state.executions += 1;
                let execution = state.executions;
                state.drivers[usize::from(node)].running_attempts.push((attempt, execution));
            }
            PendingAction::Answer(waiters, outcome) => {
                if let Some((at, waiter)) = state.client
                    && at == node
                    && waiters.contains(&waiter)
                {
                    state.client = None;
                    if matches!(outcome, JobOutcome::Rejected(_)) {
                        state.last_answer_rejected = true;
                    } else {
                        state.client_outcomes.push(outcome);
                    }
                }
            }
        }
        Some(())
    }

    /// An attempt reaches no worker, and the node requests another.
    fn reach_no_worker(&self, state: &mut State, node: u16) -> Option<()> {
        let at = usize::from(node);
        let PendingAction::Attempt(attempt) = state.drivers[at].actions.pop_front()? else {
            return None;
        };
        state.unavailable_workers_left -= 1;
        state.nodes[at].as_mut()?.attempt_never_ran(NOW, &key(), attempt);
        self.execute_commands(state, node);
        self.start_attempt(state, node);
        self.execute_commands(state, node);
        Some(())
    }

    fn reject(&self, state: &mut State, node: u16) -> Option<()> {
        state.rejections_left -= 1;
        state.rejected_by = Some(node);
        self.finish_job(state, node, JobOutcome::Rejected(None));
        self.execute_commands(state, node);
        Some(())
    }

    /// An execution ends with a result (`served`), or without one.
    fn end_attempt(&self, state: &mut State, node: u16, index: usize, served: bool) -> Option<()> {
        let (_, execution) = state.drivers[usize::from(node)].running_attempts.remove(index);
        let outcome = if served { JobOutcome::Served(Arc::from([execution])) } else { JobOutcome::Failed };
        if state.drivers[usize::from(node)].running.is_some() {
            self.finish_job(state, node, outcome);
            self.execute_commands(state, node);
        }
        Some(())
    }

    fn crash(&self, state: &mut State, node: u16) -> Option<()> {
        state.crashes_left -= 1;
        state.nodes[usize::from(node)] = None;
        state.drivers[usize::from(node)] = Driver::default();
        // Messages that the node had sent may still be delivered.
        state.in_transit.retain(|ends, _| ends.1 != node);
        state.client = state.client.filter(|client| client.0 != node);
        state.without_lease.insert(node);
        // Its discard may be lost too; another node may then take the job over.
        state.rejected_by = state.rejected_by.filter(|&by| by != node);
        Some(())
    }

    fn expire_lease(&self, state: &mut State, node: u16) -> Option<()> {
        state.exclusions_left -= 1;
        state.without_lease.insert(node);
        state.rejected_by = state.rejected_by.filter(|&by| by != node);
        state.nodes[usize::from(node)].as_mut()?.set_member_lease(NOW, 0);
        self.execute_commands(state, node);
        Some(())
    }

    /// The leader publishes a member list without the nodes that have no lease.
    fn publish_member_list(&self, state: &mut State) -> Option<()> {
        let member_list =
            state.member_lists.last()?.difference(&state.without_lease).copied().collect::<BTreeSet<u16>>();
        if member_list.is_empty() {
            return None;
        }
        state.member_lists.push(member_list);
        Some(())
    }

    fn rejoin(&self, state: &mut State, node: u16) -> Option<()> {
        state.rejoins_left -= 1;
        let mut member_list = state.member_lists.last()?.clone();
        member_list.insert(node);
        state.without_lease.remove(&node);
        state.member_lists.push(member_list);
        Some(())
    }

    fn apply_member_list(&self, state: &mut State, node: u16) -> Option<()> {
        let newest = state.member_lists.len() - 1;
        state.applied[usize::from(node)] = newest;
        let member_list = state.member_lists[newest].clone();
        let expiry = if state.without_lease.contains(&node) { 0 } else { NEVER };
        let failover = state.nodes[usize::from(node)].as_mut()?;
        failover.apply_member_list(NOW, term(newest), &members(&member_list));
        if member_list.contains(&node) {
            failover.set_member_lease(NOW, expiry);
        }
        if self.injected_bug == Some(InjectedBug::SkipsReports) {
            for &other in member_list.iter().filter(|&&other| other != node) {
                failover.handle_message(NOW, process(other), Message::ReportComplete { term: term(newest) });
            }
        }
        self.execute_commands(state, node);
        Some(())
    }

    /// The client disconnects and submits the job again, at the same node or at another one.
    fn resubmit(&self, state: &mut State, node: u16) -> Option<()> {
        state.resubmissions_left -= 1;
        state.disconnects.extend(state.client.take());
        self.submit(state, node);
        Some(())
    }

    /// A node is notified that its client has disconnected.
    fn disconnect(&self, state: &mut State, index: usize) -> Option<()> {
        let (node, waiter) = state.disconnects.remove(index);
        state.nodes[usize::from(node)].as_mut()?.client_disconnected(NOW, waiter);
        self.execute_commands(state, node);
        Some(())
    }
}
