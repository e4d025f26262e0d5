//! Logs: one event a line on standard error.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::LogfmtLayout;

/// Starts logging at this level.
pub fn start(level: LevelFilter) {
    let lines = Stderr::default().with_layout(LogfmtLayout::default());
    logforth::core::builder().dispatch(|dispatch| dispatch.append(lines)).apply();
    logforth::bridge::log::setup();
    log::set_max_level(level);
}
