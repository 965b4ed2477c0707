//! What the cases of the third review share: the program under test as a separate process, callers, the
//! record of a case and its verdict.

pub mod caller;
pub mod case;
pub mod engine;
pub mod instance;
pub mod runner;
pub mod site;
pub mod store;
