//! Decodes a list from text that arrives in chunks: no more than the text of one entry is buffered.

use serde::de::IgnoredAny;
use serde::Deserialize;

use super::value_scanner::ValueScanner;
use super::{ListError, ListedMember, ServerList, UnreadableEntries};

/// Memory that a listed server takes beyond the text of its entry, in bytes: some 0.8 KiB in all tables together, and
/// 1.1 KiB more while a list replaces one that names other servers. Measured.
const SERVER_MEMORY_BYTES: usize = 2000;

const NO_JSON: ListError = ListError::Malformed("it is no JSON");

/// Where in the text a [`ListDecoder`] is; each `bool` says that nothing has come yet in these brackets.
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

/// What remains of an entry that describes no server.
#[derive(Deserialize)]
struct NamedEntry {
    id: String,
}

/// Decodes a list chunk by chunk. An entry that is valid JSON but no server is left out; a text that is no JSON is no
/// list.
pub struct ListDecoder {
    /// Bytes of memory that the list may take, and that it takes so far.
    max_bytes: usize,
    used_bytes: usize,
    state: ParserState,
    /// The value that has begun, and its text so far.
    value: Option<ValueScanner>,
    text: Vec<u8>,
    key: String,
    revision: Option<u64>,
    complete: Option<bool>,
    entries: usize,
    members: Option<Vec<ListedMember>>,
    /// So many of them have passed [`drop_unchanged`](Self::drop_unchanged).
    filtered: usize,
    unreadable: UnreadableEntries,
}

impl ListDecoder {
    /// A decoder of a list that may take so many bytes of memory once it is decoded.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            state: ParserState::Start,
            value: None,
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

    /// Decodes the next chunk.
    ///
    /// # Errors
    ///
    /// The text is no list, whatever follows.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), ListError> {
        while let Some(byte) = bytes.first() {
            if let Some(value) = &mut self.value {
                let (length, ended) = value.extent(bytes);
                if self.used_bytes + self.text.len() + length > self.max_bytes {
                    return Err(ListError::TooLarge);
                }
                self.text.extend_from_slice(&bytes[..length]);
                bytes = &bytes[length..];
                if ended {
                    self.value = None;
                    self.take_value()?;
                    self.text.clear();
                }
            } else {
                if !byte.is_ascii_whitespace() {
                    self.punctuation(*byte)?;
                }
                bytes = &bytes[1..];
            }
        }
        Ok(())
    }

    /// Drops the unchanged ones of the entries that have come since the last call: a complete list with few changes
    /// then takes little memory and little work at once.
    pub fn drop_unchanged(&mut self, mut is_unchanged: impl FnMut(&ListedMember) -> bool) {
        if let Some(members) = &mut self.members {
            let new = members.split_off(self.filtered);
            members.extend(new.into_iter().filter(|member| !is_unchanged(member)));
            self.filtered = members.len();
        }
    }

    /// The list, once all of its text has come.
    ///
    /// # Errors
    ///
    /// The text has ended too soon, lacks a key, or is a complete list of which not one entry names a server: that is
    /// another form, and by it all servers would be removed.
    pub fn finish(self) -> Result<ServerList, ListError> {
        let ParserState::End = self.state else { return Err(ListError::Malformed("it ends too soon")) };
        let revision =
            self.revision.ok_or(ListError::Malformed("`revision` is missing or no whole number"))?;
        let complete = self.complete.ok_or(ListError::Malformed("`complete` is missing or not yes or no"))?;
        let members = self.members.ok_or(ListError::Malformed("`members` is missing or no list"))?;
        if complete && self.entries > 0 && self.unreadable.nameless == self.entries {
            return Err(ListError::Malformed("none of its entries names a server"));
        }
        Ok(ServerList { revision, complete, entries: self.entries, members, unreadable: self.unreadable })
    }

    /// Takes a byte between two values, or the first byte of one.
    fn punctuation(&mut self, byte: u8) -> Result<(), ListError> {
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
                let value = ValueScanner::starting(byte).ok_or(NO_JSON)?;
                // A string's first quote must not be taken for its last: it is read here.
                self.value = Some(value);
                self.text.push(byte);
                self.state
            }
            _ => return Err(NO_JSON),
        };
        Ok(())
    }

    /// Takes the text of a value, which is complete.
    fn take_value(&mut self) -> Result<(), ListError> {
        self.state = match self.state {
            ParserState::Key(_) => {
                self.key = serde_json::from_slice(&self.text).map_err(|_| NO_JSON)?;
                ParserState::Colon
            }
            ParserState::Entry(_) => {
                self.used_bytes += SERVER_MEMORY_BYTES + self.text.len();
                self.entries += 1;
                self.take_entry()?;
                ParserState::AfterEntry
            }
            _ => {
                self.take_field()?;
                ParserState::AfterValue
            }
        };
        Ok(())
    }

    /// Takes the value of a key of the list.
    fn take_field(&mut self) -> Result<(), ListError> {
        match self.key.as_str() {
            "revision" => self.revision = serde_json::from_slice(&self.text).ok(),
            "complete" => self.complete = serde_json::from_slice(&self.text).ok(),
            "members" => return Err(ListError::Malformed("`members` is no list, or there twice")),
            _ => drop(serde_json::from_slice::<IgnoredAny>(&self.text).map_err(|_| NO_JSON)?),
        }
        Ok(())
    }

    /// Takes the text of an entry of the list.
    fn take_entry(&mut self) -> Result<(), ListError> {
        let error = match serde_json::from_slice::<ListedMember>(&self.text) {
            Ok(member) => {
                self.members.get_or_insert_default().push(member);
                return Ok(());
            }
            Err(error) => error,
        };
        // What is no JSON was corrupted on its way, and where the next entry begins cannot be known.
        if serde_json::from_slice::<IgnoredAny>(&self.text).is_err() {
            return Err(NO_JSON);
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
