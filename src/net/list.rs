//! The list of servers as discovery writes it, read as it comes: of its text no more than one entry is held.

use std::fmt;
use std::net::SocketAddr;

use serde::de::IgnoredAny;
use serde::Deserialize;

/// What a listed server takes of a node's memory beyond its entry's text, in bytes: some 0.8 KiB in all tables
/// together, and 1.1 KiB more while a list takes the place of one that names other servers. Measured.
const SERVER_COST: usize = 2000;

/// A list of servers, or of changes to one, as discovery sends it.
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it names every server.
    pub complete: bool,
    /// How many entries came.
    pub entries: usize,
    /// Its entries, without those that whoever read it holds already.
    pub members: Vec<Member>,
    /// What of it could not be read.
    pub unread: Unread,
}

/// A server as discovery describes it.
#[derive(Deserialize)]
pub struct Member {
    /// The same at every node.
    pub id: String,
    /// Where it listens, as seen from this node.
    pub host_port: SocketAddr,
    /// The name of its zone.
    pub locality: String,
    /// The name of its machine kind.
    pub flavor: String,
    /// Its cell.
    pub cell: usize,
    /// What it is ready for.
    pub phase: Phase,
    /// Its weight.
    pub size: f64,
    /// When it last started, as Unix time; 0 for long ago.
    pub up_since_ms: f64,
}

/// What a server is ready for.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes requests.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is no longer there.
    Left,
}

/// Entries that are sound JSON and describe no server.
#[derive(Default)]
pub struct Unread {
    /// The servers that they name.
    pub ids: Vec<String>,
    /// How many name none.
    pub nameless: usize,
    /// What is wrong with the first of them.
    pub first: Option<String>,
}

impl Unread {
    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.ids.len() + self.nameless
    }
}

/// Why a text is no list.
#[derive(Debug, PartialEq, Eq)]
pub enum ListError {
    /// It would take more memory than a list may.
    TooLong,
    /// It is no JSON, it lacks a key, or it has ended too soon. Nothing of it can be relied on.
    Spoilt(&'static str),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("it takes more memory than a list may"),
            Self::Spoilt(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for ListError {}

/// Where in the text a [`Decoder`] is; each `bool` tells that nothing has come yet in these brackets.
#[derive(Clone, Copy)]
enum Place {
    Start,
    Key(bool),
    Colon,
    Value,
    AfterValue,
    Entry(bool),
    AfterEntry,
    End,
}

/// How far into a JSON value its text has come.
#[derive(Clone, Copy)]
struct Value {
    depth: usize,
    /// Inside a string, and there behind a backslash.
    quoted: bool,
    escaped: bool,
    /// A number or a word: what follows it ends it.
    bare: bool,
}

impl Value {
    /// What a value is that begins with this byte.
    fn starting(byte: u8) -> Option<Self> {
        let none = Self { depth: 0, quoted: false, escaped: false, bare: false };
        match byte {
            b'{' | b'[' => Some(Self { depth: 1, ..none }),
            b'"' => Some(Self { quoted: true, ..none }),
            b'-' | b'0'..=b'9' | b'a'..=b'z' => Some(Self { bare: true, ..none }),
            _ => None,
        }
    }

    /// How many of these bytes belong to it, and whether it ends with them.
    fn extent(&mut self, bytes: &[u8]) -> (usize, bool) {
        for (at, byte) in bytes.iter().enumerate() {
            if self.bare {
                if matches!(byte, b',' | b']' | b'}' | b' ' | b'\t' | b'\r' | b'\n') {
                    return (at, true);
                }
                continue;
            }
            if self.quoted {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.quoted = false,
                    _ => {}
                }
            } else {
                match byte {
                    b'"' => self.quoted = true,
                    b'{' | b'[' => self.depth += 1,
                    b'}' | b']' => self.depth -= 1,
                    _ => {}
                }
            }
            if self.depth == 0 && !self.quoted {
                return (at + 1, true);
            }
        }
        (bytes.len(), false)
    }
}

/// Reads a list piece by piece. An entry that is sound JSON and cannot be read is left out; a text that is no
/// JSON is no list.
pub struct Decoder {
    /// Bytes of memory that the list may take, and that it takes so far.
    most: usize,
    taken: usize,
    place: Place,
    /// The value that has begun, and its text so far.
    value: Option<Value>,
    text: Vec<u8>,
    key: String,
    revision: Option<u64>,
    complete: Option<bool>,
    entries: usize,
    members: Option<Vec<Member>>,
    /// So many of them are not held already.
    sifted: usize,
    unread: Unread,
}

impl Decoder {
    /// For a list that may take so many bytes of memory once it is held.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            taken: 0,
            place: Place::Start,
            value: None,
            text: Vec::new(),
            key: String::new(),
            revision: None,
            complete: None,
            entries: 0,
            members: None,
            sifted: 0,
            unread: Unread::default(),
        }
    }

    /// Reads on.
    ///
    /// # Errors
    ///
    /// The text is no list, whatever follows.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), ListError> {
        while let Some(byte) = bytes.first() {
            if let Some(value) = &mut self.value {
                let (length, ended) = value.extent(bytes);
                if self.taken + self.text.len() + length > self.most {
                    return Err(ListError::TooLong);
                }
                self.text.extend_from_slice(&bytes[..length]);
                bytes = &bytes[length..];
                if ended {
                    self.value = None;
                    self.ended()?;
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

    /// Leaves out the entries that have come since it was last called and are held already: a whole list that says
    /// little new takes little memory, and little is to be done about it in one go.
    pub fn leave_out(&mut self, mut held: impl FnMut(&Member) -> bool) {
        if let Some(members) = &mut self.members {
            let new = members.split_off(self.sifted);
            members.extend(new.into_iter().filter(|member| !held(member)));
            self.sifted = members.len();
        }
    }

    /// The list, once all of its text has come.
    ///
    /// # Errors
    ///
    /// The text has ended too soon, lacks a key, or is a whole list of which not one entry names a server: that
    /// is another form, and by it all servers would be gone.
    pub fn finish(self) -> Result<List, ListError> {
        let Place::End = self.place else { return Err(ListError::Spoilt("it ends too soon")) };
        let revision = self.revision.ok_or(ListError::Spoilt("`revision` is missing or no whole number"))?;
        let complete = self.complete.ok_or(ListError::Spoilt("`complete` is missing or not yes or no"))?;
        let members = self.members.ok_or(ListError::Spoilt("`members` is missing or no list"))?;
        if complete && self.entries > 0 && self.unread.nameless == self.entries {
            return Err(ListError::Spoilt("none of its entries names a server"));
        }
        Ok(List { revision, complete, entries: self.entries, members, unread: self.unread })
    }

    /// Between two values, or at the first byte of one.
    fn punctuation(&mut self, byte: u8) -> Result<(), ListError> {
        self.place = match (self.place, byte) {
            (Place::Start, b'{') => Place::Key(true),
            (Place::Key(true) | Place::AfterValue, b'}') => Place::End,
            (Place::Colon, b':') => Place::Value,
            (Place::AfterValue, b',') => Place::Key(false),
            (Place::Value, b'[') if self.key == "members" && self.members.is_none() => {
                self.members = Some(Vec::new());
                Place::Entry(true)
            }
            (Place::Entry(true) | Place::AfterEntry, b']') => Place::AfterValue,
            (Place::AfterEntry, b',') => Place::Entry(false),
            (Place::Key(_), b'"') | (Place::Value | Place::Entry(_), _) => {
                let value = Value::starting(byte).ok_or(ListError::Spoilt("it is no JSON"))?;
                // A string's first quote must not be taken for its last: it is read here.
                self.value = Some(value);
                self.text.push(byte);
                self.place
            }
            _ => return Err(ListError::Spoilt("it is no JSON")),
        };
        Ok(())
    }

    /// The text of a value is whole.
    fn ended(&mut self) -> Result<(), ListError> {
        const NO_JSON: ListError = ListError::Spoilt("it is no JSON");
        self.place = match self.place {
            Place::Key(_) => {
                self.key = serde_json::from_slice(&self.text).map_err(|_| NO_JSON)?;
                Place::Colon
            }
            Place::Entry(_) => {
                self.taken += SERVER_COST + self.text.len();
                self.entries += 1;
                self.entry()?;
                Place::AfterEntry
            }
            _ => {
                match self.key.as_str() {
                    "revision" => self.revision = serde_json::from_slice(&self.text).ok(),
                    "complete" => self.complete = serde_json::from_slice(&self.text).ok(),
                    "members" => return Err(ListError::Spoilt("`members` is no list, or there twice")),
                    _ => drop(serde_json::from_slice::<IgnoredAny>(&self.text).map_err(|_| NO_JSON)?),
                }
                Place::AfterValue
            }
        };
        Ok(())
    }

    fn entry(&mut self) -> Result<(), ListError> {
        #[derive(Deserialize)]
        struct Named {
            id: String,
        }

        let why = match serde_json::from_slice::<Member>(&self.text) {
            Ok(member) => {
                self.members.get_or_insert_default().push(member);
                return Ok(());
            }
            Err(why) => why,
        };
        // What is no JSON was spoilt on its way, and where the next entry begins cannot be known.
        if serde_json::from_slice::<IgnoredAny>(&self.text).is_err() {
            return Err(ListError::Spoilt("it is no JSON"));
        }
        let named = serde_json::from_slice::<Named>(&self.text).ok();
        self.unread.first.get_or_insert_with(|| match &named {
            Some(named) => format!("{}: {why}", named.id),
            None => why.to_string(),
        });
        match named {
            Some(named) => self.unread.ids.push(named.id),
            None => self.unread.nameless += 1,
        }
        Ok(())
    }
}
