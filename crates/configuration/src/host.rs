//! Host names in the forms that requests and routes use.

use std::borrow::Cow;

/// Converts a host to the form in which hosts are compared: without surrounding spaces and port, in lower
/// case.
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
        Some((name, port)) if is_port(port) && !is_ipv6_fragment(name) => name,
        _ => host,
    }
}

fn is_port(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Whether the text before the last colon is the beginning of an IPv6 address without brackets. The text
/// after that colon is then part of the address and not a port.
fn is_ipv6_fragment(name: &str) -> bool {
    name.contains(':') && !name.ends_with(']')
}
