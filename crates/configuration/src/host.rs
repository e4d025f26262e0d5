//! Host names as requests and routes write them.

use std::borrow::Cow;

/// The host without its port, in lower case.
pub(crate) fn normalize(host: &str) -> Cow<'_, str> {
    let name = without_port(host.trim());
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if is_port(port) && !is_cut_address(name) => name,
        _ => host,
    }
}

fn is_port(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Whether the colon stood inside an IPv6 address and not in front of a port.
fn is_cut_address(name: &str) -> bool {
    name.contains(':') && !name.ends_with(']')
}
