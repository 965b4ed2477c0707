//! Promises on calls, with real instances against the stand-ins.

mod once;
mod support;
