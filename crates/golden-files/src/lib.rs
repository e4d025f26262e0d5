//! Comparison with golden files, for the tests of all crates.
//!
//! A golden file has the bytes or the text that an earlier version wrote or sent. A difference means that this
//! version and earlier ones cannot read each other's data. A missing file is a failure, unless the environment
//! variable `GOLDEN_WRITE` is set: then it is created. Existing files are never changed.
//!
//! ```no_run
//! let golden = golden_files::GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"));
//! golden.check("greeting.txt", "hello\n");
//! ```

use std::path::{Path, PathBuf};

/// Environment variable with which missing golden files are created.
const WRITE_VARIABLE: &str = "GOLDEN_WRITE";
/// Number of bytes in one line of hexadecimal digits.
const BYTES_PER_LINE: usize = 32;

/// The golden files in one directory.
#[derive(Clone, Debug)]
pub struct GoldenFiles {
    directory: PathBuf,
}

impl GoldenFiles {
    /// Returns the golden files of a crate, which are in its `tests/golden`. `manifest_directory` is the value
    /// of `env!("CARGO_MANIFEST_DIR")` in the crate.
    #[must_use]
    pub fn of_crate(manifest_directory: &str) -> Self {
        Self { directory: Path::new(manifest_directory).join("tests/golden") }
    }

    /// Returns the path of a golden file.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// Returns the text of a golden file.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be read.
    #[must_use]
    pub fn read(&self, name: &str) -> String {
        let path = self.path(name);
        std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// Asserts that `text` equals a golden file byte for byte, and returns the text of the file.
    ///
    /// # Panics
    ///
    /// Panics if it does not, or if the file cannot be read or created.
    pub fn check(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        if std::env::var_os(WRITE_VARIABLE).is_some() && !path.exists() {
            std::fs::write(&path, text).expect("the golden file can be created");
        }
        let golden = self.read(name);
        assert_eq!(text, golden, "{} differs from what is written or sent now", path.display());
        golden
    }

    /// Asserts that `bytes` equal those of a golden file, which has them as hexadecimal digits, and returns the
    /// bytes of the file.
    ///
    /// # Panics
    ///
    /// Panics if they do not, or if the file cannot be read or created.
    pub fn check_bytes(&self, name: &str, bytes: &[u8]) -> Vec<u8> {
        from_hex(&self.check(name, &to_hex(bytes)))
    }

    /// Returns the bytes that a golden file has as hexadecimal digits.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be read or has anything but pairs of hexadecimal digits and white space.
    #[must_use]
    pub fn read_bytes(&self, name: &str) -> Vec<u8> {
        from_hex(&self.read(name))
    }
}

/// Formats bytes as lowercase hexadecimal digits, 32 bytes per line.
#[must_use]
pub fn to_hex(bytes: &[u8]) -> String {
    let line = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + "\n";
    bytes.chunks(BYTES_PER_LINE).map(line).collect()
}

/// Parses the output of [`to_hex`].
///
/// # Panics
///
/// Panics if `text` has anything but pairs of hexadecimal digits and white space.
#[must_use]
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().filter(|digit| !digit.is_whitespace()).collect();
    let byte = |pair: &[char]| {
        assert_eq!(pair.len(), 2, "an odd number of hexadecimal digits");
        u8::from_str_radix(&String::from_iter(pair), 16).expect("two hexadecimal digits")
    };
    digits.chunks(2).map(byte).collect()
}
