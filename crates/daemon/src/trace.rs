//! Spans, one for each hop.
