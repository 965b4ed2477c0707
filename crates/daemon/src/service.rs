//! Client of the plain services.
