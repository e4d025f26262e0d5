//! Describes the state of a store as text, for logs and diagnosis.

use std::fmt::Write;

use batch::{JobId, LogEntry, OwnershipPhase, OwnershipTerm, ReplicaLog};

use super::{OwnedEntry, ReplicationState};

impl ReplicationState {
    /// Describes what is in memory, then each batch job in one line: its log, and the ownership or claim of this
    /// store if there is one.
    pub fn describe(&self) -> String {
        let jobs = self.replicas.logs().map(|(job, log)| self.describe_job(job, log));
        let lines: Vec<String> = std::iter::once(self.describe_memory()).chain(jobs).collect();
        lines.join("\n")
    }

    fn describe_memory(&self) -> String {
        let entries = self.replicas.logs().flat_map(|(_, log)| &log.entries);
        let resident = entries.filter(|entry| entry.resident().is_some()).map(LogEntry::size_bytes);
        let parsed = self.ownerships.iter().filter(|(_, owned)| owned.job.is_some()).count();
        format!(
            "in memory: {} bytes of entries, {} bytes sent ahead, {parsed} parsed batch jobs",
            resident.sum::<usize>(),
            self.replicas.staged_bytes_of_others(""),
        )
    }

    fn describe_job(&self, job: &JobId, log: &ReplicaLog) -> String {
        let (promised, accepted) = (describe_term(log.promised), describe_term(log.accepted));
        let mut line =
            format!("{job}: {} entries, promised {promised}, accepted {accepted}", log.entries.len());
        // Writing to a string cannot fail.
        if let Some(epoch) = self.job_status.get(job).committed_epoch {
            let _ = write!(line, ", committed in epoch {epoch}");
        }
        if let Some(owned) = self.ownerships.get(job) {
            let _ = write!(line, ", {} in {}", describe_phase(owned), describe_term(owned.ownership.term()));
        }
        line
    }
}

fn describe_term(term: OwnershipTerm) -> String {
    format!("term {}.{} of store {}", term.epoch, term.number, term.owner)
}

fn describe_phase(owned: &OwnedEntry) -> String {
    match owned.ownership.phase() {
        OwnershipPhase::Preparing => "claimed here".to_owned(),
        OwnershipPhase::Leading => "owned here".to_owned(),
        OwnershipPhase::Superseded(promised) => format!("superseded by {}", describe_term(promised)),
    }
}
