//! The types of fields, as servers report them (`GET /{index}/_field_caps?fields=...`). They decide how values that are
//! written as text are compared.

use super::text_order::TextOrder;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use std::collections::HashMap;

/// Bytes of a field's name that stand in a URL as they are.
const PLAIN_IN_URL: &AsciiSet = &NON_ALPHANUMERIC.remove(b'_').remove(b'.').remove(b'-');

/// How the texts of fields are ordered, by the fields' names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FieldTypes(HashMap<String, TextOrder>);

/// A response to a request for field capabilities.
#[derive(Deserialize)]
struct FieldCapabilities {
    /// The capabilities of a field in each of its types, by field.
    fields: HashMap<String, HashMap<String, Capability>>,
}

#[derive(Deserialize)]
struct Capability {
    /// Name of the type.
    #[serde(rename = "type")]
    type_name: String,
}

impl FieldTypes {
    /// Reads the types of these fields from a server's response; `None` if it is no valid response. A field that the
    /// server does not know, such as one that a search defines, is taken for a keyword.
    #[must_use]
    pub fn parse(body: &[u8], fields: &[String]) -> Option<FieldTypes> {
        let response: FieldCapabilities = serde_json::from_slice(body).ok()?;
        let orders = fields.iter().map(|field| {
            let types = response.fields.get(field).into_iter().flat_map(HashMap::values);
            let names: Vec<&str> = types.map(|capability| capability.type_name.as_str()).collect();
            let order = match names[..] {
                [] => TextOrder::Bytes,
                [name] => TextOrder::of_field_type(name),
                _ => TextOrder::Unknown,
            };
            (field.clone(), order)
        });
        Some(FieldTypes(orders.collect()))
    }

    /// Returns how texts of a field are ordered; `None` if its type is not known.
    #[must_use]
    pub fn text_order(&self, field: &str) -> Option<TextOrder> {
        self.0.get(field).copied()
    }

    /// Adds the order of a field's texts.
    pub fn insert(&mut self, field: String, order: TextOrder) {
        self.0.insert(field, order);
    }
}

/// Returns the target of the request for the capabilities of fields.
#[must_use]
pub fn field_capabilities_target(index: &str, fields: &[String]) -> String {
    let names: Vec<String> =
        fields.iter().map(|field| utf8_percent_encode(field, PLAIN_IN_URL).to_string()).collect();
    format!("/{index}/_field_caps?fields={}", names.join("%2C"))
}
