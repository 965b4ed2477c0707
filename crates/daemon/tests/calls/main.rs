//! Promises on calls, with real instances against the stand-ins.

mod budget;
mod once;
mod order;
mod support;
mod suspect;
