//! Changes as the operator sends them, applied to the text of the document.
//!
//! Items that a change doesn't touch keep their text, also fields that this program doesn't know.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::compile::Configuration;
use crate::error::ConfigurationError;

/// The fields of a document with their text, by name.
type Fields = BTreeMap<String, Box<RawValue>>;

#[derive(Deserialize)]
struct Patch {
    edition: u64,
    #[serde(rename = "loadIn", default)]
    load: Option<Fields>,
    #[serde(default)]
    strike: Option<BTreeMap<String, Vec<String>>>,
}

/// An item of a list, with its text.
struct Item {
    name: String,
    text: Box<RawValue>,
}

#[derive(Deserialize)]
struct ItemName {
    name: String,
}

/// Checks a whole document that the operator puts in place of the current one, and gives its text.
///
/// # Errors
///
/// When it is invalid, or its version is not above `current_edition`.
pub fn replace(current_edition: u64, body: &[u8]) -> Result<String, ConfigurationError> {
    let configuration = Configuration::parse(body)?;
    refuse_old_version(configuration.edition(), current_edition)?;
    String::from_utf8(body.to_vec())
        .map_err(|error| ConfigurationError::Unreadable { field: ".".to_owned(), cause: error.to_string() })
}

/// Applies a change of named items to the current document, and gives the text of the new one.
///
/// Names are struck first; then items replace those of their name, in their place, or are added at the end.
///
/// # Errors
///
/// When the change cannot be read, its version is not above the current one, or the new document is invalid.
pub fn patch(current_document: &str, body: &[u8]) -> Result<String, ConfigurationError> {
    let patch: Patch = read(body)?;
    let current: Fields = read(current_document.as_bytes())?;
    let current_edition: u64 = current.get("edition").map_or(Ok(0), |text| read(text.get().as_bytes()))?;
    refuse_old_version(patch.edition, current_edition)?;
    let document = apply(current, patch)?;
    Configuration::parse(document.as_bytes())?;
    Ok(document)
}

fn refuse_old_version(edition: u64, current: u64) -> Result<(), ConfigurationError> {
    if edition <= current {
        return Err(ConfigurationError::OldVersion { edition, current });
    }
    Ok(())
}

fn read<'de, T: Deserialize<'de>>(json: &'de [u8]) -> Result<T, ConfigurationError> {
    serde_json::from_slice(json).map_err(|error| ConfigurationError::whole_unreadable(&error))
}

fn apply(mut document: Fields, patch: Patch) -> Result<String, ConfigurationError> {
    document.insert("edition".to_owned(), text_of(&patch.edition)?);
    for (list, names) in patch.strike.unwrap_or_default() {
        strike(&mut document, &list, &names)?;
    }
    for (field, value) in patch.load.unwrap_or_default() {
        load(&mut document, field, value)?;
    }
    Ok(text_of(&document)?.get().to_owned())
}

fn strike(document: &mut Fields, list: &str, names: &[String]) -> Result<(), ConfigurationError> {
    let Some(text) = document.get_mut(list) else { return Ok(()) };
    let mut items = read_items(list, text)?;
    items.retain(|item| !names.contains(&item.name));
    *text = write_items(&items)?;
    Ok(())
}

/// Merges a list by name; any other value takes the place of the field's.
fn load(document: &mut Fields, field: String, value: Box<RawValue>) -> Result<(), ConfigurationError> {
    if !value.get().starts_with('[') {
        document.insert(field, value);
        return Ok(());
    }
    let mut items = match document.get(&field) {
        Some(text) => read_items(&field, text)?,
        None => Vec::new(),
    };
    for item in read_items(&field, &value)? {
        match items.iter_mut().find(|earlier| earlier.name == item.name) {
            Some(earlier) => *earlier = item,
            None => items.push(item),
        }
    }
    document.insert(field, write_items(&items)?);
    Ok(())
}

fn read_items(list: &str, text: &RawValue) -> Result<Vec<Item>, ConfigurationError> {
    let texts: Vec<Box<RawValue>> =
        serde_json::from_str(text.get()).map_err(|error| item_error(list, &error))?;
    texts.into_iter().map(|text| read_item(list, text)).collect()
}

fn read_item(list: &str, text: Box<RawValue>) -> Result<Item, ConfigurationError> {
    let ItemName { name } = serde_json::from_str(text.get()).map_err(|error| item_error(list, &error))?;
    Ok(Item { name, text })
}

fn item_error(list: &str, error: &serde_json::Error) -> ConfigurationError {
    ConfigurationError::Unreadable { field: list.to_owned(), cause: error.to_string() }
}

fn write_items(items: &[Item]) -> Result<Box<RawValue>, ConfigurationError> {
    let texts: Vec<&RawValue> = items.iter().map(|item| &*item.text).collect();
    text_of(&texts)
}

fn text_of<T: Serialize>(value: &T) -> Result<Box<RawValue>, ConfigurationError> {
    serde_json::value::to_raw_value(value).map_err(|error| ConfigurationError::whole_unreadable(&error))
}
