//! Stand-ins and scripts of the second review. `review-2 CASE FOLDER` plays a case and exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod first_start;
mod fleet;
mod full_stores;
mod moved_store;
mod net;
mod second_disk;
mod servers;
mod wiped_store;

use std::path::Path;
use std::process::exit;

use fleet::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("review-2 CASE FOLDER");
        exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    record.note(format!(
        "{case}, {}",
        if with_trouble { "with the disruption" } else { "without the disruption" }
    ));
    let outcome = match case.as_str() {
        "first-start" => first_start::run(&record, with_trouble),
        "full-stores" => full_stores::run(&record, with_trouble),
        "moved-store" => moved_store::run(&record, with_trouble),
        "second-disk" => second_disk::run(&record, with_trouble),
        "wiped-store" => wiped_store::run(&record, with_trouble),
        _ => Err(format!("no case {case}")),
    };
    match outcome {
        Ok(true) => {
            record.note("the rule held");
            exit(0);
        }
        Ok(false) => {
            record.note("THE RULE WAS BROKEN");
            exit(1);
        }
        Err(error) => {
            record.note(format!("the case could not run: {error}"));
            exit(2);
        }
    }
}
