//! The JSON object in the body of a request. Members are kept as text until they are asked for, so that a large body
//! costs its length in time and memory, not a tree of its values.

use super::SearchError;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Largest depth of nested arrays and objects.
const MAX_DEPTH: usize = 127;

/// A JSON object, of which each member is valid JSON.
#[derive(Debug, Default)]
pub struct JsonObject(BTreeMap<String, Box<RawValue>>);

impl JsonObject {
    /// Parses an object.
    ///
    /// # Errors
    ///
    /// If the text is not valid JSON, is no object or is nested too deeply.
    pub fn parse(text: &[u8]) -> Result<JsonObject, SearchError> {
        check_depth(text)?;
        serde_json::from_slice(text).map(JsonObject).map_err(|error| {
            if error.is_data() {
                SearchError::parsing("the body is no object")
            } else {
                SearchError::parsing(error.to_string())
            }
        })
    }

    /// Whether the object has this member.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// Returns a member; `None` if there is none, or if it is of another type.
    #[must_use]
    pub fn get<T: DeserializeOwned>(&self, name: &str) -> Option<T> {
        serde_json::from_str(self.0.get(name)?.get()).ok()
    }

    /// Removes a member and returns it, or an error if it is of another type; `None` if there is none.
    pub(super) fn take<T: DeserializeOwned>(&mut self, name: &str) -> Option<serde_json::Result<T>> {
        let member = self.0.remove(name)?;
        Some(serde_json::from_str(member.get()))
    }

    /// Encodes the object with further members, which replace those of the same name.
    pub(super) fn encode_with<const N: usize>(&self, members: [(&str, String); N]) -> Vec<u8> {
        let mut all: BTreeMap<&str, &str> =
            self.0.iter().map(|(name, value)| (name.as_str(), value.get())).collect();
        all.extend(members.iter().map(|(name, value)| (*name, value.as_str())));
        encode_members(all.iter().map(|(name, value)| (*name, *value))).into_bytes()
    }
}

/// Encodes an object of these members, each with its value as JSON text.
pub(super) fn encode_members<'a>(members: impl Iterator<Item = (&'a str, &'a str)> + Clone) -> String {
    /// Bytes of a member besides its name and value: quotes, colon and comma.
    const PUNCTUATION_BYTES: usize = 4;
    let member_bytes = members.clone().map(|(name, value)| name.len() + value.len() + PUNCTUATION_BYTES);
    let mut text = String::with_capacity(member_bytes.sum::<usize>() + 2);
    text.push('{');
    for (name, value) in members {
        if text.len() > 1 {
            text.push(',');
        }
        text.push_str(&serde_json::Value::from(name).to_string());
        text.push(':');
        text.push_str(value);
    }
    text.push('}');
    text
}

/// Checks how deeply arrays and objects are nested. Text that is not valid JSON may pass.
fn check_depth(text: &[u8]) -> Result<(), SearchError> {
    let (mut depth, mut in_string, mut escaped) = (0_usize, false, false);
    for byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => {
                depth += 1;
                if depth > MAX_DEPTH {
                    return Err(SearchError::parsing("the body is nested too deeply"));
                }
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
