//! Drives balancers over the text protocol on standard input and output, one for each instance.
//!
//! The host sends batches of lines; each batch is answered with the actions it leads to and a line `NEXT`. Errors of
//! the protocol end the program with one line on standard error.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use balancer::wire::{one_line, Dialect, Line, RosterMember, Rosters, WireError, ROSTERS};
use balancer::{Balancer, BalancerAction};

/// One instance: its balancer, and its mapping of server names to numbers.
struct Instance {
    balancer: Balancer,
    dialect: Dialect,
}

/// A list of which some entries have not arrived yet.
struct PartialRoster {
    number: usize,
    /// Entries that it will have.
    length: usize,
    members: Vec<RosterMember>,
}

/// All instances, and what they share.
#[derive(Default)]
struct SimulatedHost {
    /// Time of the simulated clock, in milliseconds.
    now: f64,
    instances: BTreeMap<String, Instance>,
    rosters: Rosters,
    partial_roster: Option<PartialRoster>,
    /// Messages and instances that have been reported as ignored.
    ignored: BTreeSet<String>,
    reply: String,
    actions: Vec<BalancerAction>,
}

#[derive(PartialEq)]
enum Progress {
    WithinBatch,
    EndOfBatch,
}

impl SimulatedHost {
    fn take_line(&mut self, text: &str) -> Result<Progress, WireError> {
        if let Some(roster) = self.partial_roster.take() {
            self.take_roster_member(roster, text)?;
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
            "FROM_PEER" => {} // balancers exchange no messages
            other => self.ignore(other, "passed over an unknown message"),
        }
        Ok(Progress::WithinBatch)
    }

    fn start_instance(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let mut dialect = Dialect::default();
        let settings = dialect.settings(line.text("facts")?)?;
        let seed = line.optional_integer("seed")?.unwrap_or(0);
        let balancer = Balancer::new(settings, seed).map_err(|error| WireError::other(&error))?;
        self.instances.insert(line.text("node")?.to_owned(), Instance { balancer, dialect });
        Ok(())
    }

    fn start_roster(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let (number, length) = (line.integer("roster_id")? as usize, line.integer("hosts")? as usize);
        if number >= ROSTERS {
            return Err(WireError::malformed("roster_id", &number.to_string(), "is out of range"));
        }
        if length == 0 {
            self.rosters[number] = Some(Vec::new());
        } else {
            self.partial_roster = Some(PartialRoster { number, length, members: Vec::new() });
        }
        Ok(())
    }

    fn take_roster_member(&mut self, mut roster: PartialRoster, text: &str) -> Result<(), WireError> {
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
            self.ignore(node, "passed over a message to an instance that is not running");
            return Ok(());
        };
        let Some(event) = instance.dialect.event(line, &self.rosters)? else {
            return Ok(());
        };
        let (now, actions) = (self.now, &mut self.actions);
        let handled = panic::catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)));
        if handled.is_ok() {
            for action in self.actions.drain(..) {
                instance.dialect.print(node, &action, &mut self.reply);
            }
        } else {
            self.actions.clear();
            self.reply.push_str(&format!("INTERNAL_ERROR node={node} note_text=the balancer panicked\n"));
            self.instances.remove(node);
        }
        Ok(())
    }

    /// Reports once that messages of a kind, or to an instance, are ignored.
    fn ignore(&mut self, what: &str, reason: &str) {
        if self.ignored.insert(what.to_owned()) {
            eprintln!("balancer-simhost: {reason}: {}", one_line(what));
        }
    }
}

/// Why the program ends before its input does.
enum HostError {
    Read(io::Error),
    Reply(io::Error),
    Line { message: String, error: WireError },
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => error.fmt(f),
            Self::Reply(error) => write!(f, "cannot reply: {error}"),
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

/// Answers batches until the input ends; `line_number` is that of the line read last.
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
        let progress = host.take_line(line).map_err(|error| {
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
