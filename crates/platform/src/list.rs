//! Client of the list of live and leaving endpoints.
