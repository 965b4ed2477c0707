//! Client of the model engines.
