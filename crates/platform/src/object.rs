//! Client of the object store: a subset of the S3 REST API.
