//! Tests of admission control: single decisions, and replays of a service under overload.

mod decision;
mod fixed_threshold;
mod overload;
mod replay;
