//! The states of all listeners, as they follow from the network's conditions, dead workers and outages of discovery.

use super::event_loop::Cluster;
use super::listener::ListenerState;
use crate::Error;
use crate::scenario::Node;

impl Cluster<'_> {
    /// Brings all listeners into the states that they must have now.
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
        let (scheduler, far) = (network.listeners[index].scheduler, network.listeners[index].far);
        let is_dead = match far {
            Node::Worker(worker) => !self.workers.pool.is_alive(worker),
            Node::Discovery => self.discovery.is_down,
            _ => false,
        };
        if network.is_cut(Node::Scheduler(scheduler), far) {
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
            Err(source) => self.context.runtime.fail(Error::Io { operation: "a listener", source }),
        }
    }
}
