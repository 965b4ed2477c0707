//! Promises on calls, with real instances against the stand-ins.

mod budget;
mod ends;
mod once;
mod order;
mod outage;
mod support;
mod suspect;
