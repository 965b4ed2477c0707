//! Bodies of the platform's transactional table service.
//!
//! They are a subset of the DynamoDB low-level API, version 2012-08-10, in JSON over HTTP:
//! `GetItem`, `Query` and `TransactWriteItems`. A transaction that is retried with the same
//! `ClientRequestToken` takes effect at most once.
//!
//! Conditions are limited to three expressions: [`ROW_ABSENT`], [`ROW_EXISTS`] and
//! [`VERSION_EQUALS`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Header that names the operation.
pub const TARGET_HEADER: &str = "x-amz-target";

/// Content type of requests and responses.
pub const CONTENT_TYPE: &str = "application/x-amz-json-1.0";

/// Operation that reads one row.
pub const GET_ITEM: &str = "DynamoDB_20120810.GetItem";

/// Operation that reads rows with the same partition key.
pub const QUERY: &str = "DynamoDB_20120810.Query";

/// Operation that commits a transaction.
pub const TRANSACT_WRITE_ITEMS: &str = "DynamoDB_20120810.TransactWriteItems";

/// Maximum number of items in a transaction.
pub const MAX_TRANSACT_ITEMS: usize = 100;

/// Condition: the row does not exist.
pub const ROW_ABSENT: &str = "attribute_not_exists(pk)";

/// Condition: the row exists.
pub const ROW_EXISTS: &str = "attribute_exists(pk)";

/// Condition: the row's version equals `:v`.
pub const VERSION_EQUALS: &str = "version = :v";

/// Key condition of a query by partition key.
pub const QUERY_PARTITION: &str = "pk = :p";

/// Key condition of a query by partition key and prefix of the sort key.
pub const QUERY_PREFIX: &str = "pk = :p AND begins_with(sk, :s)";

/// Error type: a condition failed, so nothing was written.
pub const TRANSACTION_CANCELED: &str =
    "com.amazonaws.dynamodb.v20120810#TransactionCanceledException";

/// Error type: the rate limit was exceeded, so nothing was done.
pub const THROTTLED: &str =
    "com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException";

/// Error type: the request is malformed.
pub const VALIDATION_ERROR: &str = "com.amazonaws.dynamodb.v20120810#ValidationException";

/// Error type: the token was used before with a different transaction.
pub const TOKEN_MISMATCH: &str =
    "com.amazonaws.dynamodb.v20120810#IdempotentParameterMismatchException";

/// Value of an attribute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attribute {
    /// A string.
    S(String),
    /// A number in decimal.
    N(String),
}

/// A row or key by attribute name. Rows have `pk`, `sk`, `version`, `write_id` and `body`.
pub type Item = BTreeMap<String, Attribute>;

/// Request body of `GetItem`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItem {
    /// The table.
    pub table_name: String,
    /// Attributes `pk` and `sk`.
    pub key: Item,
    /// Whether the read is strongly consistent; must be true.
    pub consistent_read: bool,
}

/// Response body of `GetItem`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItemOutput {
    /// The row, if it exists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub item: Option<Item>,
}

/// Request body of `Query`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Query {
    /// The table.
    pub table_name: String,
    /// [`QUERY_PARTITION`] or [`QUERY_PREFIX`].
    pub key_condition_expression: String,
    /// Values of `:p` and `:s`.
    pub expression_attribute_values: Item,
    /// Whether the read is strongly consistent; must be true.
    pub consistent_read: bool,
    /// Whether rows are in ascending order of sort keys; descending otherwise.
    pub scan_index_forward: bool,
    /// Maximum number of rows to return.
    pub limit: u32,
    /// Last key of the previous page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exclusive_start_key: Option<Item>,
}

/// Response body of `Query`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct QueryOutput {
    /// The rows.
    pub items: Vec<Item>,
    /// Last key of the page, if more rows follow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_evaluated_key: Option<Item>,
}

/// Request body of `TransactWriteItems`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactWriteItems {
    /// Idempotency token of the transaction.
    pub client_request_token: String,
    /// Writes and checks, at most [`MAX_TRANSACT_ITEMS`].
    pub transact_items: Vec<TransactWriteItem>,
}

/// An item of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactWriteItem {
    /// Replaces a row.
    Put(Put),
    /// Deletes a row.
    Delete(Delete),
    /// Only checks a condition on a row.
    ConditionCheck(ConditionCheck),
}

/// Replaces a row.
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

/// Checks a condition on a row.
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

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Type of the error.
    #[serde(rename = "__type")]
    pub kind: String,
    /// Description of the error.
    #[serde(default)]
    pub message: String,
    /// For [`TRANSACTION_CANCELED`]: a reason for each item of the transaction, in order.
    #[serde(default, rename = "CancellationReasons")]
    pub reasons: Vec<CancellationReason>,
}

/// Result of an item's condition in a canceled transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct CancellationReason {
    /// `None` or `ConditionalCheckFailed`.
    pub code: String,
}
