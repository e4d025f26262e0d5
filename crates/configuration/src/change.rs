//! Changes of the configuration document: [`replace`] and [`patch`].
//!
//! Both functions work on the JSON text. Items that a change does not name keep their text byte for byte,
//! including unknown fields.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::configuration::Configuration;
use crate::error::ConfigurationError;

/// The top-level fields of a document: the JSON text of each field by its name.
type Fields = BTreeMap<String, Box<RawValue>>;

/// A change of named items, as the operator sends it.
#[derive(Deserialize)]
struct Patch {
    /// The version of the new document.
    #[serde(rename = "edition")]
    version: u64,
    /// Items to add or replace, by the name of their list. Fields that are not lists get the value given
    /// here.
    #[serde(rename = "loadIn", default)]
    upserts: Option<Fields>,
    /// Names of items to remove, by the name of their list.
    #[serde(rename = "strike", default)]
    removals: Option<BTreeMap<String, Vec<String>>>,
}

/// An item of a list: its name, and its unchanged JSON text.
struct Item {
    name: String,
    text: Box<RawValue>,
}

#[derive(Deserialize)]
struct ItemName {
    name: String,
}

/// Checks a document that replaces the current one, and returns its text unchanged.
///
/// # Errors
///
/// Returns an error if the document is invalid or its version is not above `current_version`.
pub fn replace(current_version: u64, body: &[u8]) -> Result<String, ConfigurationError> {
    let configuration = Configuration::parse(body)?;
    check_version_increases(configuration.version(), current_version)?;
    String::from_utf8(body.to_vec()).map_err(|error| ConfigurationError::malformed_document(&error))
}

/// Applies a change of named items to the current document, and returns the text of the new one.
///
/// Items are removed first. Then each item of the change replaces the item with the same name, at the same
/// position; if there is none, it is appended. The fields of the new document are sorted by name.
///
/// # Errors
///
/// Returns an error if the change is malformed, if its version is not above the current one, or if the new
/// document is invalid.
pub fn patch(current_document: &str, body: &[u8]) -> Result<String, ConfigurationError> {
    let patch: Patch = parse(body)?;
    let current: Fields = parse(current_document.as_bytes())?;
    let current_version: u64 = current.get("edition").map_or(Ok(0), |text| parse(text.get().as_bytes()))?;
    check_version_increases(patch.version, current_version)?;
    let document = apply(current, patch)?;
    Configuration::parse(document.as_bytes())?;
    Ok(document)
}

fn check_version_increases(version: u64, current: u64) -> Result<(), ConfigurationError> {
    if version <= current {
        return Err(ConfigurationError::StaleVersion { version, current });
    }
    Ok(())
}

fn parse<'de, T: Deserialize<'de>>(json: &'de [u8]) -> Result<T, ConfigurationError> {
    serde_json::from_slice(json).map_err(|error| ConfigurationError::malformed_document(&error))
}

fn apply(mut document: Fields, patch: Patch) -> Result<String, ConfigurationError> {
    document.insert("edition".to_owned(), to_json(&patch.version)?);
    for (list, names) in patch.removals.unwrap_or_default() {
        remove_items(&mut document, &list, &names)?;
    }
    for (field, value) in patch.upserts.unwrap_or_default() {
        upsert(&mut document, field, value)?;
    }
    Ok(to_json(&document)?.get().to_owned())
}

fn remove_items(document: &mut Fields, list: &str, names: &[String]) -> Result<(), ConfigurationError> {
    let Some(text) = document.get_mut(list) else { return Ok(()) };
    let mut items = parse_items(list, text)?;
    items.retain(|item| !names.contains(&item.name));
    *text = write_items(&items)?;
    Ok(())
}

/// Merges a list into the list of the document by the names of the items. A value of any other type replaces
/// the field's value.
fn upsert(document: &mut Fields, field: String, value: Box<RawValue>) -> Result<(), ConfigurationError> {
    if !value.get().starts_with('[') {
        document.insert(field, value);
        return Ok(());
    }
    let mut items = match document.get(&field) {
        Some(text) => parse_items(&field, text)?,
        None => Vec::new(),
    };
    for item in parse_items(&field, &value)? {
        match items.iter_mut().find(|earlier| earlier.name == item.name) {
            Some(earlier) => *earlier = item,
            None => items.push(item),
        }
    }
    document.insert(field, write_items(&items)?);
    Ok(())
}

fn parse_items(list: &str, text: &RawValue) -> Result<Vec<Item>, ConfigurationError> {
    let items: Vec<Box<RawValue>> =
        serde_json::from_str(text.get()).map_err(|error| list_error(list, &error))?;
    items.into_iter().map(|item| parse_item(list, item)).collect()
}

fn parse_item(list: &str, text: Box<RawValue>) -> Result<Item, ConfigurationError> {
    let ItemName { name } = serde_json::from_str(text.get()).map_err(|error| list_error(list, &error))?;
    Ok(Item { name, text })
}

fn list_error(list: &str, error: &serde_json::Error) -> ConfigurationError {
    ConfigurationError::Malformed { field: list.to_owned(), cause: error.to_string() }
}

fn write_items(items: &[Item]) -> Result<Box<RawValue>, ConfigurationError> {
    let items: Vec<&RawValue> = items.iter().map(|item| &*item.text).collect();
    to_json(&items)
}

fn to_json<T: Serialize>(value: &T) -> Result<Box<RawValue>, ConfigurationError> {
    serde_json::value::to_raw_value(value).map_err(|error| ConfigurationError::malformed_document(&error))
}
