//! Logging to standard error in logfmt, with one line for each event.

use error_stack::{AttachmentKind, FrameKind, Report};
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::LogfmtLayout;

/// Starts logging of events at `level` or a more severe one.
pub fn start(level: LevelFilter) {
    let stderr = Stderr::default().with_layout(LogfmtLayout::default());
    logforth::core::builder().dispatch(|dispatch| dispatch.append(stderr)).apply();
    logforth::bridge::log::setup();
    log::set_max_level(level);
}

/// Formats a report as one line: the error, then each of its causes, separated by colons.
///
/// The standard formats are not suitable for logs. The `Debug` format is a tree of several lines with
/// terminal escape codes, and the `Display` format lacks the causes.
pub fn single_line<Error>(report: &Report<Error>) -> String {
    let parts: Vec<String> = report.frames().filter_map(|frame| frame_text(frame.kind())).collect();
    parts.join(": ").lines().collect::<Vec<_>>().join(" ")
}

fn frame_text(kind: FrameKind<'_>) -> Option<String> {
    match kind {
        FrameKind::Context(error) => Some(error.to_string()),
        FrameKind::Attachment(AttachmentKind::Printable(attachment)) => Some(attachment.to_string()),
        FrameKind::Attachment(_) => None,
    }
}
