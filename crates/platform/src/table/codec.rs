//! Converts keys, rows and writes to and from the service's attributes.

use std::sync::Arc;

use basilramp_wire::table::{
    Attribute, ConditionCheck, Delete, Item, Put, ROW_ABSENT, ROW_EXISTS, TransactWriteItem,
    VERSION_EQUALS,
};

use super::{Action, Condition, Key, Row, Write};

/// Returns the attributes of a key.
pub(super) fn key_item(key: &Key) -> Item {
    let mut item = Item::new();
    item.insert("pk".to_owned(), string_attribute(&key.partition));
    item.insert("sk".to_owned(), string_attribute(&key.sort));
    item
}

/// Decodes a row; `None` if an attribute is missing or has the wrong type.
pub(super) fn decode_row(item: &Item) -> Option<Row> {
    let row = Row {
        key: Key {
            partition: read_text(item, "pk")?,
            sort: read_text(item, "sk")?,
        },
        version: read_number(item, "version")?,
        write_id: read_text(item, "write_id")?,
        body: read_text(item, "body")?,
    };
    Some(row)
}

/// Encodes a write as an item of a transaction.
pub(super) fn transact_item(table: &str, token: &str, write: &Write) -> TransactWriteItem {
    let (condition, values) = condition_expression(write.condition);
    match &write.action {
        Action::Put { version, body } => TransactWriteItem::Put(Put {
            table_name: table.to_owned(),
            item: put_item(&write.key, *version, token, body),
            condition_expression: condition,
            expression_attribute_values: values,
        }),
        Action::Delete => TransactWriteItem::Delete(Delete {
            table_name: table.to_owned(),
            key: key_item(&write.key),
            condition_expression: condition,
            expression_attribute_values: values,
        }),
        Action::Check => TransactWriteItem::ConditionCheck(ConditionCheck {
            table_name: table.to_owned(),
            key: key_item(&write.key),
            condition_expression: condition.unwrap_or_default(),
            expression_attribute_values: values,
        }),
    }
}

/// Encodes a string.
pub(super) fn string_attribute(value: &str) -> Attribute {
    Attribute::S(value.to_owned())
}

fn put_item(key: &Key, version: u64, token: &str, body: &str) -> Item {
    let mut item = key_item(key);
    item.insert("version".to_owned(), number_attribute(version));
    item.insert("write_id".to_owned(), string_attribute(token));
    item.insert("body".to_owned(), string_attribute(body));
    item
}

fn condition_expression(condition: Condition) -> (Option<String>, Option<Item>) {
    match condition {
        Condition::None => (None, None),
        Condition::Absent => (Some(ROW_ABSENT.to_owned()), None),
        Condition::Present => (Some(ROW_EXISTS.to_owned()), None),
        Condition::Version(version) => {
            let values = Item::from([(":v".to_owned(), number_attribute(version))]);
            (Some(VERSION_EQUALS.to_owned()), Some(values))
        }
    }
}

fn number_attribute(value: u64) -> Attribute {
    Attribute::N(value.to_string())
}

fn read_text(item: &Item, name: &str) -> Option<Arc<str>> {
    match item.get(name)? {
        Attribute::S(text) => Some(text.as_str().into()),
        Attribute::N(_) => None,
    }
}

fn read_number(item: &Item, name: &str) -> Option<u64> {
    match item.get(name)? {
        Attribute::N(text) => text.parse().ok(),
        Attribute::S(_) => None,
    }
}
