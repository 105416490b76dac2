//! Derives the states of the proxy's listeners from the network conditions, dead workers and discovery
//! outages.

use super::event_loop::Cluster;
use super::listener::ListenerState;
use crate::Error;
use crate::scenario::Node;

impl Cluster<'_> {
    /// Updates all listeners to the state required by the faults in effect.
    pub fn update_listeners(&mut self) {
        for index in 0..self.context.network.listeners.len() {
            let state = self.listener_state(index);
            if self.context.network.listeners[index].listener.state() != state {
                self.set_listener_state(index, state);
            }
        }
    }

    fn listener_state(&self, index: usize) -> ListenerState {
        let network = &self.context.network;
        let (scheduler, remote_node) =
            (network.listeners[index].scheduler, network.listeners[index].remote_node);
        let is_dead = match remote_node {
            Node::Worker(worker) => !self.workers.pool.is_alive(worker),
            Node::Discovery => self.discovery.is_down,
            _ => false,
        };
        if network.is_blackholed(Node::Scheduler(scheduler), remote_node) {
            ListenerState::Unreachable
        } else if is_dead {
            ListenerState::Refusing
        } else {
            ListenerState::Open
        }
    }

    fn set_listener_state(&mut self, index: usize, state: ListenerState) {
        match self.context.network.listeners[index].listener.set_state(state) {
            Ok(accepted) => {
                for stream in accepted {
                    self.handle_connection(index, stream);
                }
            }
            Err(source) => {
                self.context
                    .runtime
                    .fail(Error::Io { operation: "changing the state of a listener", source });
            }
        }
    }
}
