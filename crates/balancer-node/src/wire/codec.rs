//! Conversion of messages to events of one instance, and of its actions to messages.

use std::collections::HashMap;
use std::fmt::Write as _;

use serde_json::Value;

use super::line::number;
use super::{one_line, read_settings, Line, Rosters, WireError};
use crate::interface::*;

/// Bits of the pair `marks` of the message `CALL`.
const FLAG_COST_KNOWN: u64 = 1;
const FLAG_RETRY: u64 = 2;

/// Converter of one instance's messages and actions, with the numbers of its servers and the columns of its
/// load reports.
#[derive(Debug, Default)]
pub struct MessageCodec {
    /// Names of servers, by server number.
    names: Vec<String>,
    numbers: HashMap<String, usize>,
    /// Columns of a load report with the requests in flight and the queued ones; `None` if not reported.
    in_flight_column: Option<usize>,
    queued_column: Option<usize>,
}

impl MessageCodec {
    /// Returns the number of a server. An unknown name is assigned the next number.
    fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(number) = self.numbers.get(name) {
            return ServerId(*number);
        }
        let number = self.names.len();
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        ServerId(number)
    }

    fn load_report(&self, line: &Line<'_>) -> Result<Option<LoadReport>, WireError> {
        const ROW: &str = "server_stats";
        let Some(row) = line.get(ROW).filter(|row| !row.is_empty() && *row != "-") else {
            return Ok(None);
        };
        let values: Vec<f64> = row.split(',').map(|value| number(ROW, value)).collect::<Result<_, _>>()?;
        let at = |column: Option<usize>| column.and_then(|column| values.get(column).copied());
        Ok(Some(LoadReport { in_flight: at(self.in_flight_column), queued: at(self.queued_column) }))
    }

    /// Parses the settings of the message `BOOT`, and stores the columns of its load reports.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a JSON object, a setting has the wrong type, or a class has no deadline.
    pub fn settings(&mut self, facts: &str) -> Result<DecisionSettings, WireError> {
        let facts: Value =
            serde_json::from_str(facts).map_err(|error| WireError::InvalidJson(error.to_string()))?;
        if !facts.is_object() {
            return Err(WireError::SettingsNotAnObject);
        }
        let columns = facts["stats"]["fields"].as_array().map_or(&[][..], Vec::as_slice);
        self.in_flight_column = columns.iter().position(|column| column == "active");
        self.queued_column = columns.iter().position(|column| column == "waiting");
        read_settings(&facts)
    }

    /// Converts a message to an event of the instance. Returns `None` for an unknown message, and for a timer
    /// that the instance did not set. `rosters` are the server lists received so far.
    ///
    /// # Errors
    ///
    /// Fails if the line is malformed or refers to an unknown roster.
    pub fn event(&mut self, line: &Line<'_>, rosters: &Rosters) -> Result<Option<BalancerEvent>, WireError> {
        Ok(Some(match line.message {
            "REGISTRY" => BalancerEvent::EndpointsUpdated(self.endpoint_update(line, rosters)?),
            "CALL" => BalancerEvent::RequestArrived(client_request(line)?),
            "ACK_FIRST" => {
                BalancerEvent::StreamStarted { request: request_id(line)?, attempt: line.index("try")? }
            }
            "ENDED" => BalancerEvent::AttemptEnded(self.attempt_end(line)?),
            "HANGUP" => BalancerEvent::ClientDisconnected(request_id(line)?),
            // The instance identifies its timers by numbers: any other token belongs to none of them.
            "FIRED" => match line.text("nonce")?.parse() {
                Ok(timer) => BalancerEvent::TimerFired(timer),
                Err(_) => return Ok(None),
            },
            "HEALTH" => BalancerEvent::ProbeEnded {
                server: self.server_id(line.text("server")?),
                outcome: attempt_outcome(line)?,
                report: self.load_report(line)?,
            },
            _ => return Ok(None),
        }))
    }

    fn attempt_end(&self, line: &Line<'_>) -> Result<AttemptEnd, WireError> {
        Ok(AttemptEnd {
            request: request_id(line)?,
            attempt: line.index("try")?,
            elapsed_ms: line.number("rtt_ms")?,
            outcome: attempt_outcome(line)?,
            complete: match line.text("complete")? {
                "1" => true,
                "0" => false,
                other => return Err(WireError::malformed("complete", other, "is neither 1 nor 0")),
            },
            report: self.load_report(line)?,
        })
    }

    fn endpoint_update(&mut self, line: &Line<'_>, rosters: &Rosters) -> Result<EndpointUpdate, WireError> {
        let mode = line.text("mode")?;
        if mode == "3" {
            return Ok(EndpointUpdate::Unavailable);
        }
        let roster = rosters.get(line.index("roster_id")?).and_then(Option::as_ref);
        let Some(roster) = roster else {
            return Err(WireError::malformed(
                "roster_id",
                line.text("roster_id")?,
                "is not the number of a known server list",
            ));
        };
        let entry = |member: &super::RosterMember| ServerEntry {
            server: self.server_id(&member.server),
            ..member.entry.clone()
        };
        let entries = roster.iter().map(entry).collect();
        match mode {
            "0" => Ok(EndpointUpdate::Delta(entries)),
            "1" => Ok(EndpointUpdate::Snapshot(entries)),
            "2" => Ok(EndpointUpdate::CachedSnapshot(entries)),
            other => Err(WireError::malformed("mode", other, "is not a known mode")),
        }
    }

    /// Appends an action of the instance `node` to `out`, as one line. This codec must have assigned the
    /// number of the action's server.
    pub fn print(&self, node: &str, action: &BalancerAction, out: &mut String) {
        let printed = match action {
            BalancerAction::Send { request, server, .. } => {
                write!(out, "PLACE node={node} txn={} server={}", request.0, self.names[server.0])
            }
            BalancerAction::Probe { server } => {
                write!(out, "SOUND_OUT node={node} server={}", self.names[server.0])
            }
            BalancerAction::Cancel { request, attempt } => {
                write!(out, "STOP_ATTEMPT node={node} txn={} try={attempt}", request.0)
            }
            BalancerAction::Reject { request, retry_after_ms: None } => {
                write!(out, "PUSH_BACK node={node} txn={}", request.0)
            }
            BalancerAction::Reject { request, retry_after_ms: Some(ms) } => {
                write!(out, "PUSH_BACK node={node} txn={} stay_away_ms={ms:.3}", request.0)
            }
            BalancerAction::Fail { request } => write!(out, "REPORT_FAILURE node={node} txn={}", request.0),
            BalancerAction::Subscribe => write!(out, "TRACK node={node} want=1"),
            BalancerAction::SetTimer { timer, after_ms } => {
                write!(out, "SCHEDULE node={node} nonce={timer} offset_ms={after_ms:.3}")
            }
            BalancerAction::Log(line) => {
                write!(out, "NOTE_DOWN node={node} note_text={}", one_line(line))
            }
        };
        debug_assert!(printed.is_ok(), "writing to a string cannot fail");
        out.push('\n');
    }
}

fn request_id(line: &Line<'_>) -> Result<RequestId, WireError> {
    Ok(RequestId(line.integer("txn")?))
}

fn client_request(line: &Line<'_>) -> Result<ClientRequest, WireError> {
    let marks = line.optional_integer("marks")?.unwrap_or(0);
    Ok(ClientRequest {
        id: request_id(line)?,
        class: line.index("grade")?,
        tenant: line.optional_integer("party")?.unwrap_or(0) as usize,
        budget_ms: line.number("budget_ms")?,
        cost_ms: line.optional_number("cost_ms")?.filter(|_| marks & FLAG_COST_KNOWN != 0),
        is_retry: marks & FLAG_RETRY != 0,
    })
}

fn attempt_outcome(line: &Line<'_>) -> Result<AttemptOutcome, WireError> {
    Ok(match line.text("ending")? {
        "S" => AttemptOutcome::Served,
        "E" => AttemptOutcome::Error,
        "F" => AttemptOutcome::Rejected,
        "T" => AttemptOutcome::TimedOut,
        "C" => AttemptOutcome::Unreachable,
        "R" => AttemptOutcome::Reset,
        "X" => AttemptOutcome::Cancelled,
        "N" => AttemptOutcome::NotSent,
        other => return Err(WireError::malformed("ending", other, "is not a known outcome")),
    })
}
