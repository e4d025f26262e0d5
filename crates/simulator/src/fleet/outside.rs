//! Requests of the operator and the trainers, and what servers have seen.

use std::time::Duration;

use super::Event;
use super::Fleet;
use super::OUTSIDE_PAUSE;
use super::OUTSIDE_WAIT;
use crate::requests::JobCall;
use crate::requests::OperatorOrder;
use crate::requests::Reply;
use crate::requests::Request;
use crate::wire::Place;

impl Fleet {
    /// Sends a request from outside to a node; the reply, if one comes, is had by [`Fleet::reply`].
    pub fn request(&mut self, node: usize, request: Request) -> u64 {
        self.numbers += 1;
        let call = self.numbers;
        for delay in self.network.delays(&mut self.random, Place::Outside, Place::Machine(node)) {
            self.schedule(delay, Event::Request { node, call, request: request.clone() });
        }
        call
    }

    /// The reply to a request from outside, once it has come.
    pub fn reply(&mut self, call: u64) -> Option<Reply> {
        self.replies.remove(&call)
    }

    /// One call from outside to one node; `None` after a while without an answer.
    pub fn call(&mut self, node: usize, request: Request) -> Option<Reply> {
        let call = self.request(node, request);
        self.run_until(OUTSIDE_WAIT, |fleet| fleet.replies.contains_key(&call));
        self.reply(call)
    }

    /// Sends the same order to one node after the other until it is answered clearly.
    ///
    /// # Panics
    ///
    /// When it has no clear answer within `most`.
    pub fn order(&mut self, most: Duration, order: &OperatorOrder) -> Reply {
        self.ask_until_clear(most, &Request::Operator(order.clone()))
    }

    /// A call about a batch job, sent to one node after the other until it is answered clearly.
    ///
    /// # Panics
    ///
    /// When it has no clear answer within `most`.
    pub fn job(&mut self, most: Duration, job: &str, asked: JobCall) -> Reply {
        self.ask_until_clear(most, &Request::Job(job.into(), asked))
    }

    pub(super) fn ask_until_clear(&mut self, most: Duration, request: &Request) -> Reply {
        let until = self.now + most;
        while self.now < until {
            let present = self.present_nodes();
            let node = present[self.random.usize(..present.len())];
            match self.call(node, request.clone()) {
                None | Some(Reply::Status(503 | 504)) => self.run(OUTSIDE_PAUSE),
                Some(reply) => return reply,
            }
        }
        panic!("no clear answer to {request:?} within {most:?}");
    }

    /// The first turn of holders at a server that the rules forbid, if any: a lower fencing token after a higher one,
    /// or two holders within `between`.
    #[must_use]
    pub fn forbidden_orders(&self, between: Duration) -> Option<String> {
        let pairs = self.servers.iter().flat_map(|server| server.orders.windows(2));
        let mut forbidden = pairs.filter(|pair| {
            let takes_turn = pair[0].holder != pair[1].holder;
            pair[1].fence < pair[0].fence || (takes_turn && pair[1].at < pair[0].at + between)
        });
        forbidden.next().map(|pair| format!("{pair:?}"))
    }
}
