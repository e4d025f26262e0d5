//! Comparison with golden files.

use std::path::{Path, PathBuf};

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Reads a golden file.
pub fn read_golden(name: &str) -> String {
    let path = golden_path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Asserts that `text` equals a golden file byte for byte. With `GOLDEN_WRITE` set, creates the file if it is
/// missing.
pub fn check_golden(name: &str, text: &str) {
    let path = golden_path(name);
    if std::env::var_os("GOLDEN_WRITE").is_some() && !path.exists() {
        std::fs::write(&path, text).expect("the golden file can be written");
    }
    assert_eq!(text, read_golden(name), "{}", path.display());
}

/// Formats bytes as hexadecimal digits, 32 bytes per line.
pub fn to_hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for line in bytes.chunks(32) {
        for byte in line {
            text.push_str(&format!("{byte:02x}"));
        }
        text.push('\n');
    }
    text
}

/// Parses the output of [`to_hex`].
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().filter(|digit| !digit.is_whitespace()).collect();
    let parse_byte =
        |pair: &[char]| u8::from_str_radix(&String::from_iter(pair), 16).expect("two hexadecimal digits");
    digits.chunks(2).map(parse_byte).collect()
}
