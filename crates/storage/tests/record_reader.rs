//! Records whose contents are read again by their location, and long records that are written in parts.

use std::io::Read;
use std::path::Path;
use std::sync::Arc;

use storage::simulated::{LoseUnsynced, SimulatedDisk};
use storage::{Journal, RecordLocation, RecordSource, RingLocation, RingOptions};
use yare::parameterized;

const MIB: usize = 1024 * 1024;
/// A ring whose segments have space for several parts of a long record.
const OPTIONS: RingOptions = RingOptions { segment_bytes: 4 * MIB as u64, segments: 5 };

fn location_of(disk: &SimulatedDisk) -> RingLocation {
    RingLocation {
        file_system: disk.file_system(),
        directory: Path::new("/data").to_owned(),
        options: OPTIONS,
    }
}

fn open(disk: &SimulatedDisk) -> Journal {
    let RingLocation { file_system, directory, options } = location_of(disk);
    Journal::open_inline(file_system, &directory, options).expect("the journal opens").0
}

/// Returns a record whose bytes differ from one another over the length of a part.
fn record(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

fn append(journal: &Journal, record: &[u8]) -> RecordLocation {
    let appended = journal.append_content(Box::new(record.to_vec()));
    futures_util::FutureExt::now_or_never(appended).expect("it is written at once").expect("it is durable")
}

/// Returns the location and the content of each record that an open finds.
fn recover(disk: &SimulatedDisk) -> Vec<(RecordLocation, Vec<u8>)> {
    let mut found = Vec::new();
    let opened = Journal::open_paced_with(
        &location_of(disk),
        |mut record| {
            let mut content = Vec::new();
            record.read_to_end(&mut content)?;
            assert_eq!(content.len(), record.content_length());
            found.push((record.location().clone(), content));
            Ok(())
        },
        || Box::pin(async {}),
    );
    drop(opened.expect("the journal opens"));
    found
}

#[parameterized(
    short = { 10 },
    longest_in_one_part = { MIB },
    in_two_parts = { MIB + 1 },
    longer_than_a_segment = { 9 * MIB + 12_345 },
)]
fn given_records_when_power_is_lost_then_each_is_read_again_by_its_location(length: usize) {
    let disk = SimulatedDisk::new(71);
    let journal = open(&disk);
    let records = [record(3 * MIB - 100), record(length), b"after".to_vec()];
    let written: Vec<_> = records.iter().map(|record| append(&journal, record)).collect();

    disk.lose_power(&mut LoseUnsynced);

    let expected: Vec<_> = written.into_iter().zip(records).collect();
    assert!(recover(&disk) == expected, "the records and their locations are those that were written");
    let reader: Arc<dyn RecordSource> = Arc::new(location_of(&disk).reader());
    for (location, record) in expected {
        let (start, end) = (record.len() / 3, record.len() - record.len() / 5);
        let read = reader.read(&location, start as u64..end as u64).expect("the record can be read");
        assert!(read == record[start..end], "bytes {start} to {end} of {} differ", record.len());
    }
}

#[test]
fn given_a_long_record_when_a_sync_fails_then_neither_it_nor_a_part_of_it_is_recovered() {
    let disk = SimulatedDisk::new(72);
    let journal = open(&disk);
    append(&journal, b"before");
    disk.fail_syncs(1);
    let appended = journal.append_content(Box::new(record(3 * MIB)));
    let failed = futures_util::FutureExt::now_or_never(appended).expect("it is written at once");
    append(&journal, b"after");

    disk.lose_power(&mut LoseUnsynced);

    assert!(failed.is_err());
    let contents: Vec<_> = recover(&disk).into_iter().map(|(_, content)| content).collect();
    assert_eq!(contents, [b"before".to_vec(), b"after".to_vec()]);
}

/// Guards against segments of which a part stays empty, so that a ring has less space than its size.
#[test]
fn given_records_of_two_thirds_of_a_segment_when_appended_then_they_fill_the_ring() {
    let disk = SimulatedDisk::new(73);
    let options = RingOptions { segment_bytes: 64 * 1024, segments: 6 };
    let directory = Path::new("/data");
    let (journal, _) = Journal::open_inline(disk.file_system(), directory, options).expect("it opens");
    for _ in 0..8 {
        append(&journal, &record(44_000));
    }
    assert!(journal.usage().used_bytes < 6 * 64 * 1024);
}

#[test]
fn given_records_in_several_segments_when_read_alternately_then_each_is_returned_also_where_files_are_reused()
{
    let disk = SimulatedDisk::new(74);
    let options = RingOptions { segment_bytes: 64 * 1024, segments: 3 };
    let directory = Path::new("/data");
    let (journal, _) = Journal::open_inline(disk.file_system(), directory, options).expect("it opens");
    let reader = journal.reader();
    let mut written: Vec<(RecordLocation, Vec<u8>)> = Vec::new();
    for number in 0..24 {
        let record = vec![number; 20_000];
        let location = append(&journal, &record);
        written.push((location, record));
        if let [.., (oldest, _), _, _] = &written[..] {
            journal.release(oldest.position);
        }
        for (location, record) in written.iter().rev().take(3).chain(written.iter().rev().take(3).rev()) {
            let read = reader.read(location, 0..record.len() as u64).expect("the record can be read");
            assert!(read == *record, "record {} is read after record {number} was written", record[0]);
        }
    }
}
