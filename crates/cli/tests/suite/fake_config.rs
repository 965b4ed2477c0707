//! An in-memory configuration with the operator API of an instance.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use basilramp_wire::config::{Change, Edit, ItemKind, NamedItem, Snapshot, Value};
use basilramp_wire::error::{self, Error};
use basilramp_wire::operator::{AppliedChange, ChangeLog, ChangeLogEntry};

use crate::server::{RecordedRequest, Reply, Server};

/// Maximum number of changes per response of the change log.
const LOG_PAGE_CHANGES: usize = 2;

#[derive(Default)]
struct State {
    items: BTreeMap<(ItemKind, String), NamedItem>,
    log: Vec<ChangeLogEntry>,
}

/// A configuration that is served over HTTP and that a test can change directly.
#[derive(Clone, Default)]
pub(crate) struct FakeConfig {
    state: Arc<Mutex<State>>,
}

impl FakeConfig {
    /// Starts a server for the configuration.
    pub(crate) fn bind(&self) -> Server {
        let config = self.clone();
        Server::bind(move |request| config.handle(request))
    }

    /// Records a change by another operator. Each item has a JSON value; `None` deletes the item.
    pub(crate) fn change(&self, operator: &str, items: &[(ItemKind, &str, Option<&str>)]) {
        let edits = items.iter().map(|(kind, name, value)| Edit {
            kind: *kind,
            name: (*name).to_owned(),
            value: value.map(|text| parse_value(*kind, text)),
        });
        let change = Change {
            base: 0,
            operator: operator.to_owned(),
            reason: "set up".to_owned(),
            at_ms: 1_796_364_000_000,
            edits: edits.collect(),
        };
        self.apply(change);
    }

    /// Returns the names of the configured items.
    pub(crate) fn item_names(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().map(|(_, name)| name.clone()).collect()
    }

    fn apply(&self, change: Change) -> u64 {
        let mut state = self.state.lock().unwrap();
        let version = state.log.len() as u64 + 1;
        for edit in &change.edits {
            let key = (edit.kind, edit.name.clone());
            match edit.value.clone() {
                Some(value) => {
                    let name = edit.name.clone();
                    state.items.insert(
                        key,
                        NamedItem {
                            name,
                            version,
                            value,
                        },
                    );
                }
                None => {
                    state.items.remove(&key);
                }
            }
        }
        state.log.push(ChangeLogEntry { version, change });
        version
    }

    fn handle(&self, request: &RecordedRequest) -> Reply {
        if request.authorization != "Bearer secret" {
            return error_reply(&Error::new(error::Kind::Unauthorized, "unknown token"));
        }
        let path = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/v1/config") => self.snapshot(),
            ("POST", "/v1/config") => self.post(&request.body),
            ("GET", "/v1/config/log") => self.log(&request.path),
            _ => error_reply(&Error::new(error::Kind::NotFound, "no such path")),
        }
    }

    fn snapshot(&self) -> Reply {
        let state = self.state.lock().unwrap();
        let snapshot = Snapshot {
            version: state.log.len() as u64,
            items: state.items.values().cloned().collect(),
        };
        json_reply(&snapshot)
    }

    fn post(&self, body: &str) -> Reply {
        let mut change: Change = serde_json::from_str(body).unwrap();
        if change.base != self.state.lock().unwrap().log.len() as u64 {
            return error_reply(&Error::new(error::Kind::StaleVersion, "stale"));
        }
        change.operator = "amina".to_owned();
        change.at_ms = 1_796_364_061_000;
        let version = self.apply(change);
        json_reply(&AppliedChange { version })
    }

    fn log(&self, path: &str) -> Reply {
        let (_, after) = path.split_once("after=").unwrap();
        let after: u64 = after.parse().unwrap();
        let state = self.state.lock().unwrap();
        let newer = state.log.iter().filter(|entry| entry.version > after);
        let changes = newer.take(LOG_PAGE_CHANGES).cloned().collect();
        json_reply(&ChangeLog { changes })
    }
}

fn parse_value(kind: ItemKind, text: &str) -> Value {
    let kind = serde_json::to_string(&kind).unwrap();
    serde_json::from_str(&format!("{{{kind}: {text}}}")).unwrap()
}

fn json_reply(body: &impl serde::Serialize) -> Reply {
    (200, serde_json::to_string(body).unwrap())
}

fn error_reply(error: &Error) -> Reply {
    (error.kind.status(), serde_json::to_string(error).unwrap())
}
