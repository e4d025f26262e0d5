//! Prints the log lines of simulated processes, each with the simulated time and the name of the machine.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

thread_local! {
    static NOW: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static MACHINE: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Prints each log record to standard output, with the time and machine that [`set_log_context`] has set.
struct StdoutLogger;

impl Log for StdoutLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let now = NOW.get().as_secs_f64();
        let fields = key_values(record);
        MACHINE.with_borrow(|machine| {
            println!("{now:9.3} {machine:10} {:5} {}{fields}", record.level(), record.args());
        });
    }

    fn flush(&self) {}
}

/// Formats the key-value fields of a record, each as ` key=value` with a leading space.
fn key_values(record: &Record<'_>) -> String {
    struct Fields(String);

    impl<'kvs> VisitSource<'kvs> for Fields {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
            self.0 += &format!(" {key}={value}");
            Ok(())
        }
    }

    let mut fields = Fields(String::new());
    // `Fields::visit_pair` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Prints the log lines of all processes at `level` and above to standard output. Has no effect if a logger
/// is already installed.
pub fn print_logs(level: LevelFilter) {
    if log::set_boxed_logger(Box::new(StdoutLogger)).is_ok() {
        log::set_max_level(level);
    }
}

/// Sets the simulated time and the machine name that later log lines of this thread show.
pub(crate) fn set_log_context(now: Duration, machine: &str) {
    if log::max_level() > LevelFilter::Off {
        NOW.set(now);
        MACHINE.with_borrow_mut(|current| machine.clone_into(current));
    }
}
