//! How calls and answers get from one place to another.

use rpc::CallError;
use state::ServerEntry;

use super::Event;
use super::Fleet;
use super::Machine;
use super::Pending;
use super::RESEND;
use super::RESENDS_MOST;
use crate::servers::ModelServer;
use crate::wire::Outcome;
use crate::wire::Outgoing;
use crate::wire::Place;

impl Fleet {
    /// Puts on their way what processes have sent.
    pub(super) fn collect(&mut self) {
        let sent = self.wire.take();
        for outgoing in sent.calls {
            self.send(outgoing);
        }
        for (call, outcome) in sent.answers {
            self.transcript.note_answer(self.now, call, &outcome);
            let Some(pending) = self.calls.get(&call) else { continue };
            let (from, to) = (pending.to, Place::Machine(pending.from));
            let bytes = outcome.as_ref().map_or(0, |(_, body)| body.len());
            let carried = self.links.carry(self.now, from, to, bytes);
            for delay in self.network.delays(&mut self.random, from, to) {
                self.schedule(carried + delay, Event::Answer { call, outcome: outcome.clone(), tries: 0 });
            }
        }
        for (call, reply) in sent.replies {
            for delay in self.network.delays(&mut self.random, Place::Outside, Place::Platform) {
                self.schedule(delay, Event::Reply { call, reply: reply.clone() });
            }
        }
    }

    pub(super) fn send(&mut self, outgoing: Outgoing) {
        let Outgoing { from, to, path, body, answer } = outgoing;
        self.transcript.note_call(self.now, from, to, &path, &body);
        self.numbers += 1;
        let call = self.numbers;
        let life = self.machines[from].life;
        let carried = self.links.carry(self.now, Place::Machine(from), to, body.len());
        let pending = Pending { from, life, to, path, body, answer: Some(answer), taken_by: None };
        self.calls.insert(call, pending);
        for delay in self.network.delays(&mut self.random, Place::Machine(from), to) {
            self.schedule(carried + delay, Event::Call { call, tries: 0 });
        }
    }

    pub(super) fn deliver_call(&mut self, call: u64, tries: u32) {
        let Some(pending) = self.calls.get(&call) else { return };
        let (from, to) = (Place::Machine(pending.from), pending.to);
        if self.network.is_cut(from, to) {
            if tries < RESENDS_MOST {
                self.schedule(RESEND, Event::Call { call, tries: tries + 1 });
            }
            return;
        }
        match to {
            Place::Machine(machine) => self.deliver_to_machine(machine, call),
            Place::Server(server) => {
                let answer = self.servers[server].answer(self.now, &pending.path, &pending.body);
                self.answer_soon(call, Ok(answer));
            }
            Place::Platform => {
                let listed: Vec<ServerEntry> = self.servers.iter().map(ModelServer::listed).collect();
                self.answer_soon(call, Ok((200, rpc::encode(&listed).into())));
            }
            Place::Outside => {}
        }
    }

    pub(super) fn deliver_to_machine(&mut self, index: usize, call: u64) {
        let is_there = index < self.machines.len();
        let machine = is_there.then(|| &mut self.machines[index]);
        let Some(pending) = self.calls.get_mut(&call) else { return };
        match machine {
            Some(machine) if machine.is_frozen => machine.held_up.push_back(Event::Call { call, tries: 0 }),
            Some(Machine { process: Some(process), life, .. }) => {
                pending.taken_by = Some(*life);
                process.call(call, pending.path.clone(), pending.body.clone());
            }
            _ => self.answer_soon(call, Err(CallError::NotSent("nobody listens there".into()))),
        }
    }

    pub(super) fn answer_soon(&mut self, call: u64, outcome: Outcome) {
        let Some(pending) = self.calls.get(&call) else { return };
        let (from, to) = (pending.to, Place::Machine(pending.from));
        for delay in self.network.delays(&mut self.random, from, to) {
            self.schedule(delay, Event::Answer { call, outcome: outcome.clone(), tries: 0 });
        }
    }

    pub(super) fn deliver_answer(&mut self, call: u64, outcome: Outcome, tries: u32) {
        let Some(pending) = self.calls.get(&call) else { return };
        let caller = pending.from;
        if self.machines[caller].life != pending.life {
            self.calls.remove(&call);
            return;
        }
        if self.network.is_cut(pending.to, Place::Machine(caller)) {
            if tries < RESENDS_MOST {
                self.schedule(RESEND, Event::Answer { call, outcome, tries: tries + 1 });
            }
            return;
        }
        if self.machines[caller].is_frozen {
            self.machines[caller].held_up.push_back(Event::Answer { call, outcome, tries });
            return;
        }
        if let Some(answer) = self.calls.remove(&call).and_then(|pending| pending.answer) {
            // The caller may have gone on.
            let _ = answer.send(outcome);
        }
    }
}
