//! Small HTTP/1.1 server and client over blocking sockets, JSON and base64. Standard library only.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest head or body that the stand-ins read.
const MAX_BYTES: usize = 64 * 1024 * 1024;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Bytes that were read from a connection and not used yet.
#[derive(Default)]
pub struct Buffered(Vec<u8>);

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0_u8; 65536];
    let count = stream.read(&mut chunk).ok()?;
    if count == 0 || buffer.len() > MAX_BYTES {
        return None;
    }
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}

fn line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
        }
        fill(stream, buffer)?;
    }
}

fn exactly(stream: &mut TcpStream, buffer: &mut Vec<u8>, count: usize) -> Option<Vec<u8>> {
    while buffer.len() < count {
        fill(stream, buffer)?;
    }
    Some(buffer.drain(..count).collect())
}

/// Reads one request or response; `None` if the connection ends or times out before it is whole.
pub fn read_message(stream: &mut TcpStream, buffered: &mut Buffered, is_response: bool) -> Option<Message> {
    let buffer = &mut buffered.0;
    let mut message = Message { start: line(stream, buffer)?, ..Message::default() };
    loop {
        let header = line(stream, buffer)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let size = line(stream, buffer)?;
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            let chunk = exactly(stream, buffer, size)?;
            message.body.extend_from_slice(&chunk);
            line(stream, buffer)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length").and_then(|v| v.parse().ok()) {
        message.body = exactly(stream, buffer, length)?;
    } else if is_response && !matches!(message.status(), 204 | 304) {
        while fill(stream, buffer).is_some() {}
        message.body = std::mem::take(buffer);
    }
    Some(message)
}

/// Handles one request on a connection; returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Serves `handler` at an address, one thread for each connection.
pub fn serve(address: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut buffered = Buffered::default();
                while let Some(request) = read_message(&mut stream, &mut buffered, false) {
                    if !handler(&request, &mut stream) {
                        break;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Writes a whole answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Outcome of a call on a new connection.
#[derive(Clone, Debug)]
pub enum Call {
    Answer(Message),
    /// No connection could be set up.
    NoConnection,
    /// The connection ended, or nothing came in time.
    Cut,
}

impl Call {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(message) => message.status(),
            _ => 0,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Self::Answer(message) => message.status().to_string(),
            Self::NoConnection => "no connection".to_owned(),
            Self::Cut => "no answer".to_owned(),
        }
    }
}

pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Call {
    let deadline = Instant::now() + timeout;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1))) else {
        return Call::NoConnection;
    };
    let _ = stream.set_nodelay(true);
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return Call::Cut;
    }
    match read_message(&mut stream, &mut Buffered::default(), true) {
        Some(message) => Call::Answer(message),
        None => Call::Cut,
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value =
            group.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            let is_padding = digit > group.len();
            let index = (value >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { DIGITS[index as usize] as char });
        }
    }
    text
}

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> &Self {
        match self {
            Self::Object(fields) => fields.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            let mut fields = BTreeMap::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(bytes, at)? else { return None };
                        skip(bytes, at);
                        *at += 1;
                        fields.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&text).into_owned()));
                    }
                    b'\\' => {
                        let escaped = *bytes.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                *at += 4;
                                text.extend(char::from_u32(code).unwrap_or('?').to_string().into_bytes());
                            }
                            other => text.push(other),
                        }
                    }
                    byte => {
                        text.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}
