//! Tests of the parser of event streams.

use data_plane::{EventParser, StreamEvent};
use yare::parameterized;

/// Parses the chunks; returns the complete events, and whether the parser holds part of another event.
fn parse_chunks(chunks: &[&str]) -> (Vec<StreamEvent>, bool) {
    let mut parser = EventParser::default();
    let mut events = Vec::new();
    for chunk in chunks {
        parser.push(chunk.as_bytes());
        events.extend(std::iter::from_fn(|| parser.next_event()));
    }
    (events, parser.has_partial())
}

/// Returns the data of each event as text.
fn data_texts(events: &[StreamEvent]) -> Vec<&str> {
    events.iter().map(|event| std::str::from_utf8(&event.data).expect("valid UTF-8")).collect()
}

#[parameterized(
    plain = {&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], &["a", "b"]},
    carriage_returns = {&["id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"], &["a", "b"]},
    no_space_after_colon = {&["id:1\ndata:a\n\nid:2\ndata:  b\n\n"], &["a", " b"]},
    several_data_lines = {&["id: 1\ndata: a\ndata: b\n\nid: 2\ndata:\ndata: c\n\n"], &["a\nb", "\nc"]},
    split_within_lines = {&["i", "d: 1\nda", "ta: a\n", "\nid: 2\ndata: b", "\n\n"], &["a", "b"]},
    colon_in_data = {&["id: 1\ndata: a:b\n\nid: 2\ndata\n\n"], &["a:b", ""]},
)]
fn given_chunks_when_parsed_then_all_events_are_returned(chunks: &[&str], data: &[&str]) {
    let (events, has_partial) = parse_chunks(chunks);
    assert_eq!(data_texts(&events), data);
    assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(1), Some(2)]);
    assert!(!has_partial);
}

#[test]
fn given_an_incomplete_event_when_parsed_then_it_stays_in_the_buffer() {
    let (events, has_partial) = parse_chunks(&["id: 1\ndata: a\n\nid: 2\ndata: b\n"]);
    assert_eq!(data_texts(&events), ["a"]);
    assert!(has_partial);
}

#[test]
fn given_a_change_of_version_when_parsed_then_the_event_announces_it() {
    let (events, _) = parse_chunks(&["weight-editions: 7\nid: 3\ndata: a\n\nid: 4\ndata: b\n\n"]);
    assert_eq!(events.iter().map(|event| event.version).collect::<Vec<_>>(), [Some(7), None]);
}

#[test]
fn given_events_when_parsed_then_their_raw_bytes_make_up_the_stream() {
    let stream = ": hello\n\nid: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
    let (events, _) = parse_chunks(&[&stream[..13], &stream[13..]]);
    let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
    assert_eq!(raw, stream.as_bytes());
    assert!(events[0].is_comment());
}
