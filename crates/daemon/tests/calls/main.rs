//! Guarantees on calls, checked with real instance processes against fakes of the platform.
//!
//! | module | guarantee |
//! |---|---|
//! | `at_most_once` | a call that may not be repeated runs at most once |
//! | `order` | calls run in order; histories are complete, without turns of other programs |
//! | `budget` | a program tree never uses more tokens than its budget |
//! | `program_end` | spent budgets end programs; engines release the cache of ended programs |
//! | `suspect` | a request that crashes engines is quarantined after two crashes |
//! | `outage` | provisional responses during a store outage |

mod at_most_once;
mod budget;
mod order;
mod outage;
mod program_end;
mod support;
mod suspect;
