//! Calls between the processes of the system: `bincode` bodies over HTTP.
//!
//! A caller posts an encoded request to a path at a peer's internal address and decodes the reply. The
//! control plane and the store plane each define their own paths; [`handler`] creates the endpoint of a path
//! from an async function. A call is sent at most once. If it fails, [`CallError`] shows whether the peer may
//! have executed it, and the caller decides whether to retry.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! # async fn example(listener: tokio::net::TcpListener) -> Result<(), rpc::CallError> {
//! let double = rpc::handler(|number: u64| async move { number.checked_mul(2) });
//! let routes = poem::Route::new().at("/double", poem::post(double));
//! tokio::spawn(rpc::serve(listener, routes));
//!
//! let client = rpc::Client::new();
//! let reply: u64 = client.call("10.0.0.1:7000", "/double", &21_u64, Duration::from_secs(1)).await?;
//! # Ok(())
//! # }
//! ```

mod client;
mod codec;
mod error;
mod http;
mod message_budget;
mod server;
mod transport;

pub use client::Client;
pub use codec::{decode, decode_from, encode, encode_into, encoded_length, DecodeError};
pub use error::CallError;
pub use http::http_client;
pub use message_budget::{BudgetShare, MessageBudget};
pub use server::{bounded_handler, handler, serve, MAX_MESSAGE_BYTES};
pub use transport::{HttpTransport, Transport};
