//! Delivery of calls and replies between endpoints, with the delays, losses and partitions of the network.

use std::time::Duration;

use bytes::Bytes;
use control_plane::ORDER_DELIVERY_TIMEOUT;
use rpc::CallError;
use state::ServerEntry;

use super::calls::PendingCall;
use super::events::FleetEvent;
use super::Fleet;
use crate::external_requests::ExternalReply;
use crate::model_server::ModelServer;
use crate::transport::{CallOutcome, Endpoint, OutgoingCall};

/// Time after which a message that a partition has stopped is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Number of times that a message stopped by a partition is sent again before it is dropped.
const MAX_RESENDS: u32 = 8;

/// Returns a copy of a message that is no memory of the process that sent it.
fn detached(message: &Bytes) -> Bytes {
    Bytes::copy_from_slice(message)
}

impl Fleet {
    /// Takes the messages that processes have sent, and schedules their arrival.
    pub(super) fn collect_sent(&mut self) {
        let sent = self.outbox.take_messages();
        for call in sent.calls {
            self.send_call(call);
        }
        for (call, outcome) in sent.replies {
            self.send_reply(call, &outcome.map(|(status, body)| (status, detached(&body))));
        }
        for (call, reply) in sent.external_replies {
            self.send_external_reply(call, &reply);
        }
    }

    /// Registers a call as pending and schedules its arrival.
    fn send_call(&mut self, outgoing: OutgoingCall) {
        let OutgoingCall { caller, to, path, body, reply } = outgoing;
        self.transcript.record_call(self.now, caller, to, &path, &body);
        let body = detached(&body);
        let call = self.events.next_number();
        let from = Endpoint::Machine(caller);
        let transmission = self.links.transmit(self.now, from, to, body.len());
        let caller_process_exits = self.machines[caller].process_exits();
        let pending = PendingCall { caller, caller_process_exits, to, path, body, reply: Some(reply) };
        self.calls.pending.insert(call, pending);
        let delays = self.network.delays(&mut self.random, self.now, from, to);
        if delays.is_empty() && matches!(to, Endpoint::Server(_)) {
            self.schedule(ORDER_DELIVERY_TIMEOUT, FleetEvent::ConnectionFails { call });
        }
        for delay in delays {
            self.schedule(transmission + delay, FleetEvent::CallArrives { call, resends: 0 });
        }
    }

    /// Sends the reply of a process to a call of another process.
    fn send_reply(&mut self, call: u64, outcome: &CallOutcome) {
        self.transcript.record_reply(self.now, call, outcome);
        let Some(pending) = self.calls.pending.get(&call) else { return };
        let (from, to) = (pending.to, Endpoint::Machine(pending.caller));
        let bytes = outcome.as_ref().map_or(0, |(_, body)| body.len());
        let transmission = self.links.transmit(self.now, from, to, bytes);
        self.schedule_reply(call, from, to, transmission, outcome);
    }

    /// Sends the reply of a node to an operator or trainer.
    fn send_external_reply(&mut self, call: u64, reply: &ExternalReply) {
        for delay in
            self.network.delays(&mut self.random, self.now, Endpoint::ExternalClients, Endpoint::Platform)
        {
            self.schedule(delay, FleetEvent::ExternalReplyArrives { call, reply: reply.clone() });
        }
    }

    /// Sends a reply without transmission time on a link: a reply of a server or the platform, or a refused
    /// connection.
    fn reply_directly(&mut self, call: u64, outcome: &CallOutcome) {
        let Some(pending) = self.calls.pending.get(&call) else { return };
        let (from, to) = (pending.to, Endpoint::Machine(pending.caller));
        self.schedule_reply(call, from, to, Duration::ZERO, outcome);
    }

    fn schedule_reply(
        &mut self,
        call: u64,
        from: Endpoint,
        to: Endpoint,
        transmission: Duration,
        outcome: &CallOutcome,
    ) {
        let delays = self.network.delays(&mut self.random, self.now, from, to);
        if delays.is_empty() && matches!(from, Endpoint::Server(_)) {
            self.schedule(ORDER_DELIVERY_TIMEOUT, FleetEvent::ConnectionFails { call });
        }
        for delay in delays {
            let event = FleetEvent::ReplyArrives { call, outcome: outcome.clone(), resends: 0 };
            self.schedule(transmission + delay, event);
        }
    }

    /// Passes a call to its receiver, or schedules its arrival again if a partition stops it.
    pub(super) fn deliver_call(&mut self, call: u64, resends: u32) {
        let Some(pending) = self.calls.pending.get(&call) else { return };
        let (from, to) = (Endpoint::Machine(pending.caller), pending.to);
        if self.network.is_partitioned(from, to) {
            if resends < MAX_RESENDS {
                self.schedule(RESEND_INTERVAL, FleetEvent::CallArrives { call, resends: resends + 1 });
            }
            return;
        }
        match to {
            Endpoint::Machine(machine) => self.deliver_to_machine(machine, call),
            Endpoint::Server(server) => {
                let reply = self.servers[server].respond(self.now, &pending.path, &pending.body);
                self.reply_directly(call, &Ok(reply));
            }
            Endpoint::Platform => {
                let list: Vec<ServerEntry> = self.servers.iter().map(ModelServer::list_entry).collect();
                self.reply_directly(call, &Ok((200, rpc::encode(&list).into())));
            }
            Endpoint::ExternalClients => {}
        }
    }

    /// Passes a call to the process of a machine, or defers it if the machine is frozen.
    fn deliver_to_machine(&mut self, index: usize, call: u64) {
        let Some(pending) = self.calls.pending.get(&call) else { return };
        match self.machines.get_mut(index) {
            Some(machine) if machine.is_frozen() => {
                machine.defer(FleetEvent::CallArrives { call, resends: 0 });
            }
            Some(machine) => match machine.process() {
                Some(process) => process.handle_call(call, pending.path.clone(), pending.body.clone()),
                None => self.refuse_connection(call),
            },
            None => self.refuse_connection(call),
        }
    }

    /// Replies that the call was not sent, because no process listens at the address.
    fn refuse_connection(&mut self, call: u64) {
        self.reply_directly(
            call,
            &Err(CallError::NotSent("connection refused: no process listens at the address".into())),
        );
    }

    /// Passes a reply to the process that made the call, if that process still exists.
    pub(super) fn deliver_reply(&mut self, call: u64, outcome: CallOutcome, resends: u32) {
        let Some(pending) = self.calls.pending.get(&call) else { return };
        let caller = pending.caller;
        if self.machines[caller].process_exits() != pending.caller_process_exits {
            self.calls.pending.remove(&call);
            return;
        }
        if self.network.is_partitioned(pending.to, Endpoint::Machine(caller)) {
            if resends < MAX_RESENDS {
                let event = FleetEvent::ReplyArrives { call, outcome, resends: resends + 1 };
                self.schedule(RESEND_INTERVAL, event);
            }
            return;
        }
        if self.machines[caller].is_frozen() {
            self.machines[caller].defer(FleetEvent::ReplyArrives { call, outcome, resends });
            return;
        }
        if let Some(reply) = self.calls.pending.remove(&call).and_then(|pending| pending.reply) {
            // Sending fails if the caller no longer waits for the reply.
            let _ = reply.send(outcome);
        }
    }
}
