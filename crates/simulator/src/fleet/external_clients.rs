//! Requests of operators and trainers to the fleet, and a check of the orders that model servers have
//! received.

use std::time::Duration;

use super::events::FleetEvent;
use super::Fleet;
use crate::external_requests::{ExternalReply, ExternalRequest, JobCall, OperatorOrder};
use crate::model_server::ReceivedOrder;
use crate::transport::Endpoint;

/// Time for which [`Fleet::request_and_wait`] waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after an attempt without a conclusive reply.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl Fleet {
    /// Sends a request to a node without waiting. Returns the number by which [`Fleet::take_reply`] takes the
    /// reply.
    pub fn send_request(&mut self, node: usize, request: ExternalRequest) -> u64 {
        let call = self.events.next_number();
        let (from, to) = (Endpoint::ExternalClients, Endpoint::Machine(node));
        for delay in self.network.delays(&mut self.random, self.now, from, to) {
            self.schedule(delay, FleetEvent::ExternalRequestArrives { node, call, request: request.clone() });
        }
        call
    }

    /// Passes a request to the process of a node. The request is lost if no process runs there.
    pub(super) fn deliver_external_request(&mut self, node: usize, call: u64, request: ExternalRequest) {
        let machine = &mut self.machines[node];
        if machine.is_frozen() {
            machine.defer(FleetEvent::ExternalRequestArrives { node, call, request });
        } else if let Some(process) = machine.process() {
            process.handle_external_request(call, request);
        }
    }

    /// Removes and returns the reply to a request; `None` if no reply has arrived.
    pub fn take_reply(&mut self, call: u64) -> Option<ExternalReply> {
        self.calls.external_replies.remove(&call)
    }

    /// Sends a request to a node and waits for the reply. Returns `None` if none arrives within 1.5 s.
    pub fn request_and_wait(&mut self, node: usize, request: ExternalRequest) -> Option<ExternalReply> {
        let call = self.send_request(node, request);
        self.run_until(REPLY_TIMEOUT, |fleet| fleet.calls.external_replies.contains_key(&call));
        self.take_reply(call)
    }

    /// Sends an operator's order to random nodes, one after another, until one gives a conclusive reply.
    ///
    /// # Panics
    ///
    /// If no node gives a conclusive reply within `timeout`.
    pub fn execute_order(&mut self, timeout: Duration, order: &OperatorOrder) -> ExternalReply {
        self.call_until_conclusive(timeout, &ExternalRequest::Operator(order.clone()))
    }

    /// Sends a call about a batch job to random nodes, one after another, until one gives a conclusive reply.
    ///
    /// # Panics
    ///
    /// If no node gives a conclusive reply within `timeout`.
    pub fn execute_job_call(&mut self, timeout: Duration, job: &str, call: JobCall) -> ExternalReply {
        self.call_until_conclusive(timeout, &ExternalRequest::Job(job.into(), call))
    }

    fn call_until_conclusive(&mut self, timeout: Duration, request: &ExternalRequest) -> ExternalReply {
        let deadline = self.now + timeout;
        while self.now < deadline {
            let nodes = self.present_nodes();
            let node = nodes[self.random.usize(..nodes.len())];
            match self.request_and_wait(node, request.clone()) {
                Some(reply) if reply.is_conclusive() => return reply,
                _ => self.run_for(RETRY_INTERVAL),
            }
        }
        panic!("no node gave a conclusive reply to {request:?} within {timeout:?}");
    }

    /// Finds two successive orders at a server that must not follow each other: a lower fencing token after a
    /// higher one, or orders of two lease holders less than `min_gap` apart.
    #[must_use]
    pub fn conflicting_orders(&self, min_gap: Duration) -> Option<[ReceivedOrder; 2]> {
        let mut pairs = self.servers.iter().flat_map(|server| server.received_orders.windows(2));
        let conflicting = pairs.find(|pair| pair[1].conflicts_with(&pair[0], min_gap))?;
        Some([conflicting[0].clone(), conflicting[1].clone()])
    }
}
