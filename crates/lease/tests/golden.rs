//! Checks with golden files that the encoding of the messages between processes does not change.

use std::fmt::Debug;
use std::path::Path;

use lease::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
use serde::de::DeserializeOwned;
use serde::Serialize;
use yare::parameterized;

#[test]
fn given_a_request_when_encoded_then_it_is_equal_to_the_golden_file() {
    let request = LeaseRequest {
        holder: "machine-1/17a2".to_owned(),
        term: 300,
        ttl_ms: 1500,
        revision: 70_000,
        grantors: vec![GrantorId(0xfeed_0000_0000_0001), GrantorId(2), GrantorId(0xfeed_0000_0000_0003)],
    };
    assert_golden("request.hex", &request);
    assert_golden("grantor_id.hex", &request.grantors[0]);
}

#[parameterized(
    granted = { "reply_granted.hex", LeaseReply::Granted { committed_for_ms: 1700 } },
    rejected = { "reply_held.hex", LeaseReply::Rejected { holder: "machine-2/8f".to_owned(), remaining_ms: 900 } },
    rejected_without_holder = { "reply_held_by_nobody.hex", LeaseReply::Rejected { holder: String::new(), remaining_ms: 0 } },
)]
fn given_a_reply_when_encoded_then_it_is_equal_to_the_golden_file(name: &str, reply: LeaseReply) {
    assert_golden(name, &reply);
}

#[test]
fn given_a_release_when_encoded_then_it_is_equal_to_the_golden_file() {
    assert_golden("release.hex", &LeaseRelease { holder: "machine-1/17a2".to_owned(), term: 301 });
}

/// Checks that the encoding of a message equals its golden file, and that the file decodes to an equal
/// message.
///
/// A missing file is a failure, unless `GOLDEN_WRITE=1` is set: then the file is created.
fn assert_golden<T>(name: &str, message: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let encoded = to_hex(&rpc::encode(message));
    if std::env::var_os("GOLDEN_WRITE").is_some() && !path.exists() {
        std::fs::write(&path, &encoded).expect("the golden file can be written");
    }
    let golden = std::fs::read_to_string(&path).expect("the golden file exists");
    assert_eq!(encoded, golden, "{name}");
    let decoded: T = rpc::decode(&from_hex(&golden)).expect("the golden file can be decoded");
    assert_eq!(&decoded, message, "{name}");
}

/// Encodes bytes as lowercase hexadecimal digits, 32 bytes per line.
fn to_hex(bytes: &[u8]) -> String {
    let line = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + "\n";
    bytes.chunks(32).map(line).collect()
}

/// Decodes hexadecimal digits, and ignores white space between them.
fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().filter(|character| !character.is_whitespace()).collect();
    let byte = |pair: &[char]| u8::from_str_radix(&String::from_iter(pair), 16).expect("hexadecimal digits");
    digits.chunks(2).map(byte).collect()
}
