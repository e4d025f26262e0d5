//! Documents: how they are stored, sent and read.

use state::{Document, DocumentError};
use yare::parameterized;

const STANDARD: bincode::config::Configuration = bincode::config::standard();

fn encode(document: &Document) -> Vec<u8> {
    bincode::serde::encode_to_vec(document, STANDARD).expect("it can be serialized")
}

fn decode(bytes: &[u8]) -> Option<Document> {
    let read = bincode::serde::decode_from_slice(bytes, STANDARD).ok();
    read.map(|(document, _)| document)
}

/// A configuration with this many routes, as operators send them.
fn routes(count: usize) -> String {
    let mut random = fastrand::Rng::with_seed(1);
    let mut word = |length: usize| (0..length).map(|_| random.lowercase()).collect::<String>();
    let route = |index| {
        let (name, host, path) = (word(7), word(4), word(6));
        format!(
            r#"{{"name":"r-{name}","depot":"{host}{index}.example","lanePrefix":"/{path}/","kind":"safe","expiryMs":1500,"dueMs":150,"urgency":2,"postalLine":"wuno96b","tries":4}}"#
        )
    };
    format!("[{}]", (0..count).map(route).collect::<Vec<_>>().join(","))
}

#[parameterized(empty = { String::new() }, short = { "{}".to_owned() }, long = { routes(1400) })]
fn given_a_document_when_sent_then_its_text_and_identity_are_the_same(text: String) {
    let document = Document::new(text.clone());
    let received = decode(&encode(&document)).expect("it can be read");
    assert_eq!(received, document);
    assert_eq!(received.text(), Ok(&*text));
    assert_eq!(received.clone().text(), Ok(&*text));
    assert_ne!(received, Document::new(text + " "));
}

#[test]
fn given_a_configuration_of_many_routes_when_sent_then_it_takes_at_most_a_quarter_of_its_length() {
    let text = routes(1400);
    let bytes = encode(&Document::new(text.clone())).len();
    println!("{} bytes for a text of {}", bytes, text.len());
    assert!(bytes * 4 < text.len());
}

#[test]
fn given_a_document_with_any_changed_byte_when_it_is_read_then_it_is_an_error_and_no_other_text() {
    let text = routes(20);
    let bytes = encode(&Document::new(text.clone()));
    for changed in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[changed] ^= 0x55;
        let Some(document) = decode(&spoilt) else { continue };
        let read = document.text();
        assert!(read == Err(DocumentError) || read == Ok(&*text), "byte {changed}");
    }
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_none(), "cut after {length} bytes");
    }
}
