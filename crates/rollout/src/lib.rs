//! Weight versions: which server loads which version, when and how.
