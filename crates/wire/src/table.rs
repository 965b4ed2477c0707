//! Bodies of the platform's transactional table service.
//!
//! A subset of the DynamoDB low-level API, version 2012-08-10, in JSON over HTTP:
//! `GetItem`, `Query` and `TransactWriteItems`. A transaction that is sent again
//! with the same `ClientRequestToken` takes effect at most once.
//!
//! Conditions are limited to three forms: [`ROW_ABSENT`], [`ROW_EXISTS`] and [`VERSION_EQUALS`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Header that names the operation.
pub const TARGET_HEADER: &str = "x-amz-target";

/// Content type of requests and answers.
pub const CONTENT_TYPE: &str = "application/x-amz-json-1.0";

/// Target of a read of one row.
pub const GET_ITEM: &str = "DynamoDB_20120810.GetItem";

/// Target of a read of rows with one partition key.
pub const QUERY: &str = "DynamoDB_20120810.Query";

/// Target of a transaction.
pub const TRANSACT_WRITE_ITEMS: &str = "DynamoDB_20120810.TransactWriteItems";

/// The most rows that one transaction may touch.
pub const MAX_TRANSACT_ITEMS: usize = 100;

/// Condition: the row does not exist.
pub const ROW_ABSENT: &str = "attribute_not_exists(pk)";

/// Condition: the row exists.
pub const ROW_EXISTS: &str = "attribute_exists(pk)";

/// Condition: the row's version is the value of `:v`.
pub const VERSION_EQUALS: &str = "version = :v";

/// Key condition of a query by partition key.
pub const QUERY_PARTITION: &str = "pk = :p";

/// Key condition of a query by partition key and the beginning of the sort key.
pub const QUERY_PREFIX: &str = "pk = :p AND begins_with(sk, :s)";

/// Error type: a condition failed, so nothing was written.
pub const TRANSACTION_CANCELED: &str =
    "com.amazonaws.dynamodb.v20120810#TransactionCanceledException";

/// Error type: over the rate, so nothing was done.
pub const THROTTLED: &str =
    "com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException";

/// Error type: the request is malformed.
pub const VALIDATION_ERROR: &str = "com.amazonaws.dynamodb.v20120810#ValidationException";

/// Error type: a token was used before with another transaction.
pub const TOKEN_MISMATCH: &str =
    "com.amazonaws.dynamodb.v20120810#IdempotentParameterMismatchException";

/// An attribute's value: a string or a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attribute {
    /// Text.
    S(String),
    /// A number in decimal.
    N(String),
}

/// A row: attributes `pk`, `sk`, `version`, `write_id` and `body`.
pub type Item = BTreeMap<String, Attribute>;

/// Body of `GetItem`. Reads are strongly consistent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItem {
    /// The table.
    pub table_name: String,
    /// `pk` and `sk`.
    pub key: Item,
    /// Must be true.
    pub consistent_read: bool,
}

/// Answer to `GetItem`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItemOutput {
    /// The row, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub item: Option<Item>,
}

/// Body of `Query`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Query {
    /// The table.
    pub table_name: String,
    /// [`QUERY_PARTITION`] or [`QUERY_PREFIX`].
    pub key_condition_expression: String,
    /// Values of `:p` and `:s`.
    pub expression_attribute_values: Item,
    /// Must be true.
    pub consistent_read: bool,
    /// Ascending order of sort keys, or descending.
    pub scan_index_forward: bool,
    /// The most rows to return.
    pub limit: u32,
    /// Where the page before ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exclusive_start_key: Option<Item>,
}

/// Answer to `Query`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct QueryOutput {
    /// The rows.
    pub items: Vec<Item>,
    /// Where the page ended, if there is more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_evaluated_key: Option<Item>,
}

/// Body of `TransactWriteItems`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactWriteItems {
    /// Makes the transaction idempotent.
    pub client_request_token: String,
    /// What to write and check, at most [`MAX_TRANSACT_ITEMS`].
    pub transact_items: Vec<TransactWriteItem>,
}

/// One part of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactWriteItem {
    /// Writes a row.
    Put(Put),
    /// Deletes a row.
    Delete(Delete),
    /// Only checks a row.
    ConditionCheck(ConditionCheck),
}

/// Writes a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Put {
    /// The table.
    pub table_name: String,
    /// The whole row.
    pub item: Item,
    /// The condition, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condition_expression: Option<String>,
    /// The value of `:v`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expression_attribute_values: Option<Item>,
}

/// Deletes a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Delete {
    /// The table.
    pub table_name: String,
    /// `pk` and `sk`.
    pub key: Item,
    /// The condition, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condition_expression: Option<String>,
    /// The value of `:v`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expression_attribute_values: Option<Item>,
}

/// Checks a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ConditionCheck {
    /// The table.
    pub table_name: String,
    /// `pk` and `sk`.
    pub key: Item,
    /// The condition.
    pub condition_expression: String,
    /// The value of `:v`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expression_attribute_values: Option<Item>,
}

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The error's type.
    #[serde(rename = "__type")]
    pub kind: String,
    /// What went wrong.
    #[serde(default)]
    pub message: String,
    /// For [`TRANSACTION_CANCELED`]: one reason for each part, in order.
    #[serde(default, rename = "CancellationReasons")]
    pub reasons: Vec<CancellationReason>,
}

/// Why a part of a transaction was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CancellationReason {
    /// `None` or `ConditionalCheckFailed`.
    pub code: String,
}
