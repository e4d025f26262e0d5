//! Runs one balancer per instance, driven by a simulated host over a text protocol on standard input and
//! output.
//!
//! The host sends batches of lines, each ended by `EOB`. The program answers a batch with the resulting
//! actions and a line `NEXT`. A protocol error ends the program with one line on standard error.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use balancer::wire::{one_line, Line, MessageCodec, RosterMember, Rosters, WireError, MAX_ROSTERS};
use balancer::{Balancer, BalancerAction};

/// One instance: its balancer and the conversion of its messages.
struct Instance {
    balancer: Balancer,
    codec: MessageCodec,
}

/// A roster of which some entries have not arrived yet.
struct PartialRoster {
    number: usize,
    /// Number of entries of the complete roster.
    length: usize,
    members: Vec<RosterMember>,
}

/// All instances, and the state that they share.
#[derive(Default)]
struct SimulatedHost {
    /// Time of the simulated clock in milliseconds, from the last message `CLOCK`.
    now: f64,
    instances: BTreeMap<String, Instance>,
    rosters: Rosters,
    partial_roster: Option<PartialRoster>,
    /// Names of messages and instances that were reported as ignored, so that each is reported once.
    ignored: BTreeSet<String>,
    reply: String,
    actions: Vec<BalancerAction>,
}

/// Position in the input after a line.
#[derive(PartialEq)]
enum Progress {
    WithinBatch,
    EndOfBatch,
}

impl SimulatedHost {
    /// Processes one line of input and appends the resulting actions to the reply.
    fn process_line(&mut self, text: &str) -> Result<Progress, WireError> {
        if let Some(roster) = self.partial_roster.take() {
            self.add_roster_member(roster, text)?;
            return Ok(Progress::WithinBatch);
        }
        // A blank line separates batches.
        if text.is_empty() {
            return Ok(Progress::WithinBatch);
        }
        let line = Line::parse(text)?;
        match line.message {
            "CLOCK" => self.now = line.number("wall_ms")?,
            "EOB" => {
                self.reply.push_str("NEXT\n");
                return Ok(Progress::EndOfBatch);
            }
            "CENSUS" => self.start_roster(&line)?,
            "BOOT" => self.start_instance(&line)?,
            "TEARDOWN" => drop(self.instances.remove(line.text("node")?)),
            "REGISTRY" | "CALL" | "ACK_FIRST" | "ENDED" | "HANGUP" | "FIRED" | "HEALTH" => {
                self.handle_event(&line)?;
            }
            "FROM_PEER" => {} // balancers do not exchange messages
            other => self.ignore(other, "ignoring messages of an unknown kind"),
        }
        Ok(Progress::WithinBatch)
    }

    fn start_instance(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let mut codec = MessageCodec::default();
        let settings = codec.settings(line.text("facts")?)?;
        let seed = line.optional_integer("seed")?.unwrap_or(0);
        let balancer = Balancer::new(settings, seed).map_err(|error| WireError::other(&error))?;
        self.instances.insert(line.text("node")?.to_owned(), Instance { balancer, codec });
        Ok(())
    }

    fn start_roster(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let (number, length) = (line.integer("roster_id")? as usize, line.integer("hosts")? as usize);
        if number >= MAX_ROSTERS {
            return Err(WireError::malformed("roster_id", &number.to_string(), "is out of range"));
        }
        if length == 0 {
            self.rosters[number] = Some(Vec::new());
        } else {
            self.partial_roster = Some(PartialRoster { number, length, members: Vec::new() });
        }
        Ok(())
    }

    /// Adds the next entry to an incomplete roster; the last entry completes it.
    fn add_roster_member(&mut self, mut roster: PartialRoster, text: &str) -> Result<(), WireError> {
        roster.members.push(RosterMember::parse(text)?);
        if roster.members.len() < roster.length {
            self.partial_roster = Some(roster);
        } else {
            self.rosters[roster.number] = Some(roster.members);
        }
        Ok(())
    }

    fn handle_event(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let node = line.text("node")?;
        let Some(instance) = self.instances.get_mut(node) else {
            self.ignore(node, "ignoring messages to an instance that is not running");
            return Ok(());
        };
        let Some(event) = instance.codec.event(line, &self.rosters)? else {
            return Ok(());
        };
        let (now, actions) = (self.now, &mut self.actions);
        let handled = panic::catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)));
        if handled.is_ok() {
            for action in self.actions.drain(..) {
                instance.codec.print(node, &action, &mut self.reply);
            }
        } else {
            self.actions.clear();
            self.reply.push_str(&format!("INTERNAL_ERROR node={node} note_text=the balancer panicked\n"));
            self.instances.remove(node);
        }
        Ok(())
    }

    /// Reports on standard error that messages of a kind or to an instance are ignored, once for each `what`.
    fn ignore(&mut self, what: &str, reason: &str) {
        if self.ignored.insert(what.to_owned()) {
            eprintln!("balancer-simhost: {reason}: {}", one_line(what));
        }
    }
}

/// Error that ends the program before the end of its input.
enum HostError {
    Read(io::Error),
    Reply(io::Error),
    Line { message: String, error: WireError },
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "cannot read standard input: {error}"),
            Self::Reply(error) => write!(f, "cannot write the reply to standard output: {error}"),
            Self::Line { message, error } => write!(f, "{message}: {error}"),
        }
    }
}

fn main() -> ExitCode {
    let mut line_number = 0;
    match run(&mut io::stdin().lock(), &mut io::stdout().lock(), &mut line_number) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balancer-simhost: line {line_number}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends. Stores the number of the last line read in `line_number`.
fn run(input: &mut impl BufRead, output: &mut impl Write, line_number: &mut u64) -> Result<(), HostError> {
    let mut host = SimulatedHost::default();
    let mut text = String::new();
    loop {
        text.clear();
        *line_number += 1;
        if input.read_line(&mut text).map_err(HostError::Read)? == 0 {
            return Ok(());
        }
        let line = text.trim_end_matches(['\n', '\r']);
        let progress = host.process_line(line).map_err(|error| {
            let message = line.split(' ').next().unwrap_or_default().to_owned();
            HostError::Line { message, error }
        })?;
        if progress == Progress::EndOfBatch {
            let written = output.write_all(host.reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(HostError::Reply)?;
            host.reply.clear();
        }
    }
}
