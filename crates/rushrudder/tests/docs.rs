//! Checks that links, paths and identifiers in the documentation exist in the repository.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Pages that describe the current code. Reports of incidents and the journal describe the past and are not
/// checked.
const PAGES: [&str; 14] = [
    "README.md",
    "DEVELOPERS.md",
    "docs/ARCHITECTURE.md",
    "docs/CAPACITY-NODE.md",
    "docs/CAPACITY.md",
    "docs/CONTROL.md",
    "docs/DESIGN.md",
    "docs/EMBEDDING.md",
    "docs/GLOSSARY.md",
    "docs/LISTS.md",
    "docs/NODE.md",
    "docs/OPERATIONS.md",
    "docs/POLICY.md",
    "docs/ROADMAP.md",
];
/// Endings of words in backticks that are checked as paths, if they contain a slash.
const PATH_ENDINGS: [&str; 4] = [".rs", ".md", ".toml", ".sh"];

/// Returns the root directory of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(page: &str) -> String {
    fs::read_to_string(root().join(page)).unwrap_or_else(|error| panic!("{page}: {error}"))
}

/// Returns the text of all code spans (between backticks), except in indented blocks.
fn code_words(text: &str) -> Vec<&str> {
    let lines = text.lines().filter(|line| !line.starts_with("    "));
    lines.flat_map(|line| line.split('`').skip(1).step_by(2)).collect()
}

/// Returns the targets of all links of a page.
fn link_targets(text: &str) -> Vec<&str> {
    text.split("](").skip(1).filter_map(|rest| rest.split(')').next()).collect()
}

/// Adds all Rust sources below a directory to `found`, except those in build output and in the journal.
fn sources(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("the directory can be read").flatten() {
        let path = entry.path();
        let name = entry.file_name();
        if path.is_dir() && name != "target" && name != ".git" && name != "journal" {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Whether a path exists, relative to the root or to `docs`. Pages abbreviate paths of sources, so it is
/// sufficient if the path of a source ends with it.
fn exists(path: &str, sources: &[PathBuf]) -> bool {
    let is_abbreviated = || sources.iter().any(|source| source.ends_with(path));
    root().join(path).exists() || root().join("docs").join(path).exists() || is_abbreviated()
}

#[test]
fn every_link_of_a_page_leads_to_a_file() {
    for page in PAGES {
        let text = read(page);
        let directory = root().join(page).parent().expect("a page is in a directory").to_owned();
        for target in link_targets(&text) {
            let path = target.split('#').next().unwrap_or_default();
            assert!(
                path.is_empty() || directory.join(path).exists(),
                "{page} links to {target}, which does not exist"
            );
        }
    }
}

#[test]
fn every_path_that_a_page_names_exists() {
    let mut files = Vec::new();
    sources(&root(), &mut files);
    for page in PAGES {
        let text = read(page);
        for word in code_words(&text) {
            let is_path = PATH_ENDINGS.iter().any(|ending| word.ends_with(ending)) && word.contains('/');
            let is_pattern = word.contains(['*', '{', '<', ' ', '…']) || word.starts_with("../");
            if is_path && !is_pattern {
                assert!(exists(word, &files), "{page} names the path {word}, which does not exist");
            }
        }
    }
}

#[test]
fn every_identifier_in_the_glossary_exists() {
    let mut files = Vec::new();
    sources(&root(), &mut files);
    let mut identifiers = HashSet::new();
    for file in &files {
        let text = fs::read_to_string(file).expect("the source can be read");
        let is_separator = |character: char| !character.is_alphanumeric() && character != '_';
        identifiers.extend(text.split(is_separator).map(str::to_owned));
    }
    let glossary = read("docs/GLOSSARY.md");
    let (current_names, _) =
        glossary.split_once("## Earlier names").expect("the glossary has a section of earlier names");
    for row in current_names.lines().filter(|line| line.starts_with("| ")) {
        let column = row.split(" | ").nth(2).unwrap_or_default();
        for word in code_words(column) {
            let identifier = word.rsplit("::").next().unwrap_or(word);
            assert!(
                identifiers.contains(identifier),
                "the glossary names the identifier {identifier}, which does not exist"
            );
        }
    }
}
