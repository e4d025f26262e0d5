//! Decodes a server list from JSON text that arrives in chunks. At most the text of one entry is buffered.

use serde::de::IgnoredAny;
use serde::Deserialize;

use super::value_scanner::ValueScanner;
use super::{ListError, ListedMember, ServerList, UnreadableEntries};

/// Memory of a listed server beyond the text of its entry, in bytes: about 0.8 KiB in all tables together,
/// and 1.1 KiB more while the list replaces one that names other servers.
const SERVER_MEMORY_BYTES: usize = 2000;

const INVALID_JSON: ListError = ListError::Malformed("the text is not valid JSON");

/// The part of the text that a [`ListDecoder`] expects next. The `bool` is true directly after an opening
/// bracket, where the closing bracket may follow.
#[derive(Clone, Copy)]
enum ParserState {
    Start,
    Key(bool),
    Colon,
    Value,
    AfterValue,
    Entry(bool),
    AfterEntry,
    End,
}

/// Id of an entry that does not describe a server.
#[derive(Deserialize)]
struct NamedEntry {
    id: String,
}

/// Decodes a server list chunk by chunk. An entry that is valid JSON but does not describe a server is
/// skipped and counted in [`ServerList::unreadable`]. Invalid JSON anywhere in the text invalidates the
/// complete list.
pub struct ListDecoder {
    /// Maximum memory of the decoded list, in bytes.
    max_bytes: usize,
    /// Memory of the entries decoded so far, in bytes.
    used_bytes: usize,
    state: ParserState,
    /// Scanner of the key or value that is being read; `None` between two of them.
    scanner: Option<ValueScanner>,
    /// Text received so far of the key or value that is being read.
    text: Vec<u8>,
    /// Last key that was read.
    key: String,
    revision: Option<u64>,
    complete: Option<bool>,
    /// Number of entries read so far, including unreadable ones.
    entries: usize,
    members: Option<Vec<ListedMember>>,
    /// Number of leading `members` that [`drop_unchanged`](Self::drop_unchanged) has checked already.
    filtered: usize,
    unreadable: UnreadableEntries,
}

impl ListDecoder {
    /// Creates a decoder that fails if the decoded list exceeds `max_bytes` bytes of memory.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            state: ParserState::Start,
            scanner: None,
            text: Vec::new(),
            key: String::new(),
            revision: None,
            complete: None,
            entries: 0,
            members: None,
            filtered: 0,
            unreadable: UnreadableEntries::default(),
        }
    }

    /// Decodes the next chunk of the text.
    ///
    /// # Errors
    ///
    /// Fails if the text so far cannot be the beginning of a valid list, or exceeds the memory limit.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), ListError> {
        while let Some(byte) = bytes.first() {
            if let Some(scanner) = &mut self.scanner {
                let (length, ended) = scanner.scan(bytes);
                if self.used_bytes + self.text.len() + length > self.max_bytes {
                    return Err(ListError::TooLarge);
                }
                self.text.extend_from_slice(&bytes[..length]);
                bytes = &bytes[length..];
                if ended {
                    self.scanner = None;
                    self.process_value()?;
                    self.text.clear();
                }
            } else {
                if !byte.is_ascii_whitespace() {
                    self.process_punctuation(*byte)?;
                }
                bytes = &bytes[1..];
            }
        }
        Ok(())
    }

    /// Drops the unchanged entries among those decoded since the last call. A complete list with few changes
    /// then takes little memory, and little work when it is applied.
    pub fn drop_unchanged(&mut self, mut is_unchanged: impl FnMut(&ListedMember) -> bool) {
        if let Some(members) = &mut self.members {
            let new = members.split_off(self.filtered);
            members.extend(new.into_iter().filter(|member| !is_unchanged(member)));
            self.filtered = members.len();
        }
    }

    /// Returns the list after the complete text has been fed.
    ///
    /// # Errors
    ///
    /// Fails if the text is incomplete or lacks a key. Also fails if no entry of a non-empty complete list
    /// has an id: the entries must then have another form, and applying the list would remove all servers.
    pub fn finish(self) -> Result<ServerList, ListError> {
        let ParserState::End = self.state else { return Err(ListError::Malformed("the text is incomplete")) };
        let revision =
            self.revision.ok_or(ListError::Malformed("`revision` is missing or not a whole number"))?;
        let complete = self.complete.ok_or(ListError::Malformed("`complete` is missing or not a boolean"))?;
        let members = self.members.ok_or(ListError::Malformed("`members` is missing or not a list"))?;
        if complete && self.entries > 0 && self.unreadable.nameless == self.entries {
            return Err(ListError::Malformed("no entry has an id"));
        }
        Ok(ServerList { revision, complete, entries: self.entries, members, unreadable: self.unreadable })
    }

    /// Processes a byte between two values, or the first byte of a value.
    fn process_punctuation(&mut self, byte: u8) -> Result<(), ListError> {
        self.state = match (self.state, byte) {
            (ParserState::Start, b'{') => ParserState::Key(true),
            (ParserState::Key(true) | ParserState::AfterValue, b'}') => ParserState::End,
            (ParserState::Colon, b':') => ParserState::Value,
            (ParserState::AfterValue, b',') => ParserState::Key(false),
            (ParserState::Value, b'[') if self.key == "members" && self.members.is_none() => {
                self.members = Some(Vec::new());
                ParserState::Entry(true)
            }
            (ParserState::Entry(true) | ParserState::AfterEntry, b']') => ParserState::AfterValue,
            (ParserState::AfterEntry, b',') => ParserState::Entry(false),
            (ParserState::Key(_), b'"') | (ParserState::Value | ParserState::Entry(_), _) => {
                let scanner = ValueScanner::from_first_byte(byte).ok_or(INVALID_JSON)?;
                // The first byte is consumed here, so that the opening quote of a string is not taken for the
                // closing one.
                self.scanner = Some(scanner);
                self.text.push(byte);
                self.state
            }
            _ => return Err(INVALID_JSON),
        };
        Ok(())
    }

    /// Processes a key or value, whose complete text is in `text`.
    fn process_value(&mut self) -> Result<(), ListError> {
        self.state = match self.state {
            ParserState::Key(_) => {
                self.key = serde_json::from_slice(&self.text).map_err(|_| INVALID_JSON)?;
                ParserState::Colon
            }
            ParserState::Entry(_) => {
                self.used_bytes += SERVER_MEMORY_BYTES + self.text.len();
                self.entries += 1;
                self.process_entry()?;
                ParserState::AfterEntry
            }
            _ => {
                self.process_field()?;
                ParserState::AfterValue
            }
        };
        Ok(())
    }

    /// Processes the value of a top-level key of the list.
    fn process_field(&mut self) -> Result<(), ListError> {
        match self.key.as_str() {
            "revision" => self.revision = serde_json::from_slice(&self.text).ok(),
            "complete" => self.complete = serde_json::from_slice(&self.text).ok(),
            "members" => return Err(ListError::Malformed("`members` is not a list, or occurs twice")),
            _ => drop(serde_json::from_slice::<IgnoredAny>(&self.text).map_err(|_| INVALID_JSON)?),
        }
        Ok(())
    }

    /// Processes an entry of the list, whose complete text is in `text`.
    fn process_entry(&mut self) -> Result<(), ListError> {
        let error = match serde_json::from_slice::<ListedMember>(&self.text) {
            Ok(member) => {
                self.members.get_or_insert_default().push(member);
                return Ok(());
            }
            Err(error) => error,
        };
        // Invalid JSON was corrupted in transit, so the beginning of the next entry cannot be determined.
        if serde_json::from_slice::<IgnoredAny>(&self.text).is_err() {
            return Err(INVALID_JSON);
        }
        let named = serde_json::from_slice::<NamedEntry>(&self.text).ok();
        self.unreadable.first.get_or_insert_with(|| match &named {
            Some(named) => format!("{}: {error}", named.id),
            None => error.to_string(),
        });
        match named {
            Some(named) => self.unreadable.ids.push(named.id),
            None => self.unreadable.nameless += 1,
        }
        Ok(())
    }
}
