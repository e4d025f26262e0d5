//! Replicas whose entries are on the disk already when an owner sends them again.

use std::ops::Range;
use std::sync::Arc;

use batch::{
    Entry, ItemCondition, ItemResult, JobId, LoadError, LogEntry, OwnershipTerm, Record, ReplicaReply,
    ReplicaRequest, Replicas, StoredEntry, SubmittedJob,
};
use bytes::Bytes;

/// An entry on a disk in memory.
struct MemoryEntry(Entry);

impl StoredEntry for MemoryEntry {
    fn load(&self) -> Result<Entry, LoadError> {
        Ok(self.0.clone())
    }

    fn read(&self, _range: Range<u64>) -> Result<Vec<u8>, LoadError> {
        Err(LoadError("parts of it are not read in these tests".to_owned()))
    }

    fn encoded_form(&self) -> (u64, u32) {
        (0, 0)
    }
}

fn term(number: u64) -> OwnershipTerm {
    OwnershipTerm { epoch: 1, number, owner: number, nonce: 7 }
}

fn entry(index: usize) -> Entry {
    if index == 0 {
        let body = Bytes::from_static(br#"{"parcels":[]}"#);
        return Entry::Job(SubmittedJob { host: "h".into(), path: "/p".into(), body, total: 9 });
    }
    Entry::Result(result(index, "text"))
}

fn result(index: usize, text: &str) -> ItemResult {
    ItemResult {
        id: format!("item-{index}").into(),
        condition: ItemCondition::Delivered,
        text: text.to_owned(),
        versions: vec![1],
        grade: None,
    }
}

fn entries(range: Range<usize>) -> Vec<LogEntry> {
    range.map(|index| LogEntry::from(entry(index))).collect()
}

/// Creates a replica whose log has `count` entries, of which the first `stored` are on the disk.
fn replicas_with(job: &JobId, count: usize, stored: usize) -> (Replicas, Vec<Record>) {
    let mut replicas = Replicas::default();
    let append =
        ReplicaRequest::Append { term: term(1), adopted: term(1), start: 0, entries: entries(0..count) };
    let (_, records) = replicas.handle(job, append);
    for entry in &replicas.log(job).expect("the log exists").entries[..stored] {
        entry.set_stored(Arc::new(MemoryEntry((*entry.load().expect("it is in memory")).clone())));
        entry.evict();
    }
    (replicas, records)
}

/// Guards against stores that write all batch jobs again after a change of the owner, which fills their disks and
/// their memory (docs/incidents/store-memory.md).
#[test]
fn given_entries_on_the_disk_when_the_next_owner_sends_them_again_then_only_the_others_are_written() {
    let job: JobId = "job".into();
    let (mut replicas, mut records) = replicas_with(&job, 4, 3);
    let sent = entries(0..6);
    let request = ReplicaRequest::Append { term: term(2), adopted: term(1), start: 0, entries: sent.clone() };
    let written = replicas.written_bytes(&job, &request);

    let (reply, new_records) = replicas.handle(&job, request);

    assert_eq!(reply, ReplicaReply::Appended { term: term(2), length: 6 });
    let expected = Record::Append { job: job.clone(), term: term(2), start: 3, entries: entries(3..6) };
    assert_eq!(new_records, [expected]);
    assert_eq!(written, new_records[0].size_bytes());
    assert!(sent[..3].iter().all(|entry| entry.resident().is_none()), "the owner's copies need no memory");
    records.extend(new_records);
    let mut recovered = Replicas::default();
    records.into_iter().for_each(|record| recovered.replay(record));
    for replicas in [&replicas, &recovered] {
        let log = replicas.log(&job).expect("the log exists");
        assert_eq!((&log.entries, log.accepted), (&entries(0..6), term(2)));
    }
}

#[test]
fn given_another_content_on_the_disk_when_an_owner_sends_its_log_then_it_is_replaced() {
    let job: JobId = "job".into();
    let (mut replicas, _) = replicas_with(&job, 4, 4);
    let mut sent = entries(0..4);
    sent[2] = LogEntry::from(Entry::Result(result(2, "exts")));
    let request = ReplicaRequest::Append { term: term(2), adopted: term(1), start: 0, entries: sent.clone() };

    let (_, records) = replicas.handle(&job, request);

    let expected = Record::Append { job: job.clone(), term: term(2), start: 2, entries: sent[2..].to_vec() };
    assert_eq!(records, [expected]);
    assert_eq!(replicas.log(&job).expect("the log exists").entries, sent);
}

#[test]
fn given_a_shorter_log_of_the_next_owner_when_it_is_sent_then_the_rest_is_removed() {
    let job: JobId = "job".into();
    let (mut replicas, mut records) = replicas_with(&job, 4, 4);
    let request =
        ReplicaRequest::Append { term: term(2), adopted: term(1), start: 0, entries: entries(0..2) };

    let (reply, new_records) = replicas.handle(&job, request);

    assert_eq!(reply, ReplicaReply::Appended { term: term(2), length: 2 });
    records.extend(new_records);
    let mut recovered = Replicas::default();
    records.into_iter().for_each(|record| recovered.replay(record));
    assert_eq!(recovered.log(&job).expect("the log exists").entries, entries(0..2));
    assert_eq!(replicas.log(&job).expect("the log exists").entries, entries(0..2));
}
