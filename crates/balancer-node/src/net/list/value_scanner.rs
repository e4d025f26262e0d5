//! Finds where a JSON value ends.

/// Finds the end of a JSON value in text that arrives in chunks.
#[derive(Clone, Copy)]
pub(super) struct ValueScanner {
    depth: usize,
    /// Inside a string, and there behind a backslash.
    in_string: bool,
    escaped: bool,
    /// A number, `true`, `false` or `null`, which ends at the next delimiter.
    bare: bool,
}

impl ValueScanner {
    /// The scanner of a value that begins with this byte; `None` where none does.
    pub(super) fn starting(byte: u8) -> Option<Self> {
        let none = Self { depth: 0, in_string: false, escaped: false, bare: false };
        match byte {
            b'{' | b'[' => Some(Self { depth: 1, ..none }),
            b'"' => Some(Self { in_string: true, ..none }),
            b'-' | b'0'..=b'9' | b'a'..=b'z' => Some(Self { bare: true, ..none }),
            _ => None,
        }
    }

    /// How many of these bytes belong to it, and whether it ends with them.
    pub(super) fn extent(&mut self, bytes: &[u8]) -> (usize, bool) {
        for (index, byte) in bytes.iter().enumerate() {
            if self.bare {
                if matches!(byte, b',' | b']' | b'}' | b' ' | b'\t' | b'\r' | b'\n') {
                    return (index, true);
                }
            } else {
                self.take(*byte);
                if self.depth == 0 && !self.in_string {
                    return (index + 1, true);
                }
            }
        }
        (bytes.len(), false)
    }

    /// Takes a byte of a string, an object or a list.
    fn take(&mut self, byte: u8) {
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
