//! Why a role cannot be served.

/// The process cannot serve its role.
#[derive(Debug)]
pub struct RoleError;

impl std::fmt::Display for RoleError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the process cannot serve its role")
    }
}

impl std::error::Error for RoleError {}
