//! Finds the end of a JSON value without decoding it.

/// Scanner that finds the end of a JSON value in text that arrives in chunks.
#[derive(Clone, Copy)]
pub(super) struct ValueScanner {
    /// Number of objects and lists that are open.
    depth: usize,
    in_string: bool,
    /// Whether the last byte was a backslash in a string that escapes the next byte.
    escaped: bool,
    /// Whether the value is a number, `true`, `false` or `null`, which ends at the next delimiter.
    bare: bool,
}

impl ValueScanner {
    /// Creates the scanner of a value that begins with this byte; `None` if no JSON value begins with it.
    pub(super) fn from_first_byte(byte: u8) -> Option<Self> {
        let initial = Self { depth: 0, in_string: false, escaped: false, bare: false };
        match byte {
            b'{' | b'[' => Some(Self { depth: 1, ..initial }),
            b'"' => Some(Self { in_string: true, ..initial }),
            b'-' | b'0'..=b'9' | b'a'..=b'z' => Some(Self { bare: true, ..initial }),
            _ => None,
        }
    }

    /// Scans further bytes. Returns how many of them belong to the value, and whether the value ends with
    /// them.
    pub(super) fn scan(&mut self, bytes: &[u8]) -> (usize, bool) {
        for (index, byte) in bytes.iter().enumerate() {
            if self.bare {
                if matches!(byte, b',' | b']' | b'}' | b' ' | b'\t' | b'\r' | b'\n') {
                    return (index, true);
                }
            } else {
                self.process_byte(*byte);
                if self.depth == 0 && !self.in_string {
                    return (index + 1, true);
                }
            }
        }
        (bytes.len(), false)
    }

    /// Processes a byte of a string, an object or a list.
    fn process_byte(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth -= 1,
            _ => {}
        }
    }
}
