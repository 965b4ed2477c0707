//! Promises on calls, with real instances against the stand-ins.
//!
//! | file | promise |
//! |---|---|
//! | `at_most_once` | a call that may not be repeated runs at most once |
//! | `order` | calls run in order; histories are whole and unmixed |
//! | `budget` | a tree never uses more than its budget |
//! | `program_end` | nothing is held for programs that have ended; time and turns end them |
//! | `suspect` | a request that crashes engines costs two of them |
//! | `outage` | provisional answers while the store is down |

mod at_most_once;
mod budget;
mod order;
mod outage;
mod program_end;
mod support;
mod suspect;
