//! Documents: encoding, decoding, compression, and detection of corrupt bytes.

use state::{Document, DocumentError};
use yare::parameterized;

const STANDARD: bincode::config::Configuration = bincode::config::standard();

fn encode(document: &Document) -> Vec<u8> {
    bincode::serde::encode_to_vec(document, STANDARD).expect("a document can be encoded")
}

fn decode(bytes: &[u8]) -> Option<Document> {
    let read = bincode::serde::decode_from_slice(bytes, STANDARD).ok();
    read.map(|(document, _)| document)
}

/// Returns the JSON text of `count` routes with random names, similar to an operator's configuration.
fn routes_json(count: usize) -> String {
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

#[parameterized(empty = { String::new() }, short = { "{}".to_owned() }, long = { routes_json(1400) })]
fn given_a_document_when_encoded_and_decoded_then_its_text_and_digest_are_unchanged(text: String) {
    let document = Document::new(text.clone());
    let received = decode(&encode(&document)).expect("the encoded document can be decoded");
    assert_eq!(received, document);
    assert_eq!(received.text(), Ok(&*text));
    assert_eq!(received.clone().text(), Ok(&*text));
    assert_ne!(received, Document::new(text + " "));
}

#[test]
fn given_a_configuration_of_many_routes_when_encoded_then_it_takes_less_than_a_quarter_of_its_length() {
    let text = routes_json(1400);
    let bytes = encode(&Document::new(text.clone())).len();
    println!("{} bytes for a text of {}", bytes, text.len());
    assert!(bytes * 4 < text.len());
}

#[test]
fn given_an_encoded_document_when_a_byte_is_changed_or_the_end_is_missing_then_no_other_text_is_read() {
    let text = routes_json(20);
    let bytes = encode(&Document::new(text.clone()));
    for changed in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[changed] ^= 0x55;
        let Some(document) = decode(&corrupted) else { continue };
        let read = document.text();
        assert!(
            read == Err(DocumentError) || read == Ok(&*text),
            "a change of byte {changed} is not detected"
        );
    }
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_none(), "a document truncated to {length} bytes is decoded");
    }
}
