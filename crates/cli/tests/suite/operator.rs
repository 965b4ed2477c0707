//! A configuration in memory, served as an instance serves it to operators.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use basilramp_wire::config::{Change, Edit, ItemKind, NamedItem, Snapshot, Value};
use basilramp_wire::error::{self, Error};
use basilramp_wire::operator::{AppliedChange, ChangeLog, ChangeLogEntry};

use crate::server::{Answer, Asked, Server};

/// Changes that one answer to a request for the log holds.
const LOG_PAGE: usize = 2;

#[derive(Default)]
struct State {
    items: BTreeMap<(ItemKind, String), NamedItem>,
    log: Vec<ChangeLogEntry>,
}

/// Serves a configuration, and changes it behind the operator's back.
#[derive(Clone, Default)]
pub(crate) struct Operator {
    state: Arc<Mutex<State>>,
}

impl Operator {
    /// Serves it.
    pub(crate) fn bind(&self) -> Server {
        let operator = self.clone();
        Server::bind(move |asked| operator.answer(asked))
    }

    /// Changes items as another operator would; the text maps kind and name to a value.
    pub(crate) fn change(&self, operator: &str, items: &[(ItemKind, &str, Option<&str>)]) {
        let edits = items.iter().map(|(kind, name, value)| Edit {
            kind: *kind,
            name: (*name).to_owned(),
            value: value.map(|text| decode(*kind, text)),
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

    /// Returns the names of the items in force.
    pub(crate) fn names(&self) -> Vec<String> {
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

    fn answer(&self, asked: &Asked) -> Answer {
        if asked.authorization != "Bearer secret" {
            return refuse(&Error::new(error::Kind::Unauthorized, "unknown token"));
        }
        let path = asked.path.split('?').next().unwrap_or_default();
        match (asked.method.as_str(), path) {
            ("GET", "/v1/config") => self.snapshot(),
            ("POST", "/v1/config") => self.post(&asked.body),
            ("GET", "/v1/config/log") => self.log(&asked.path),
            _ => refuse(&Error::new(error::Kind::NotFound, "no such path")),
        }
    }

    fn snapshot(&self) -> Answer {
        let state = self.state.lock().unwrap();
        let snapshot = Snapshot {
            version: state.log.len() as u64,
            items: state.items.values().cloned().collect(),
        };
        json(&snapshot)
    }

    fn post(&self, body: &str) -> Answer {
        let mut change: Change = serde_json::from_str(body).unwrap();
        if change.base != self.state.lock().unwrap().log.len() as u64 {
            return refuse(&Error::new(error::Kind::StaleVersion, "stale"));
        }
        change.operator = "amina".to_owned();
        change.at_ms = 1_796_364_061_000;
        let version = self.apply(change);
        json(&AppliedChange { version })
    }

    fn log(&self, path: &str) -> Answer {
        let (_, after) = path.split_once("after=").unwrap();
        let after: u64 = after.parse().unwrap();
        let state = self.state.lock().unwrap();
        let later = state.log.iter().filter(|logged| logged.version > after);
        let changes = later.take(LOG_PAGE).cloned().collect();
        json(&ChangeLog { changes })
    }
}

fn decode(kind: ItemKind, text: &str) -> Value {
    let kind = serde_json::to_string(&kind).unwrap();
    serde_json::from_str(&format!("{{{kind}: {text}}}")).unwrap()
}

fn json(body: &impl serde::Serialize) -> Answer {
    (200, serde_json::to_string(body).unwrap())
}

fn refuse(error: &Error) -> Answer {
    (error.kind.status(), serde_json::to_string(error).unwrap())
}
