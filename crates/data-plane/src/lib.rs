//! The traffic of a node: front, sender, streams.
//!
//! The [`Sender`] brings requests to servers: plain requests and streams of clients, items of batch jobs and
//! reward calls. The [`Front`] takes requests from clients.

mod answer;
mod attempt;
mod call;
mod connections;
mod event_stream;
mod favourites;
mod front;
mod item;
mod links;
mod plain;
mod reward;
mod sender;
mod stream;

pub use answer::{ClientResponse, ExecutionStatus, ResponseBody};
pub use call::Call;
pub use event_stream::{Event, EventParser};
pub use front::{Front, FrontSettings, JobEndpoint, ReadinessCheck};
pub use item::{ItemCall, ItemOutcome, ItemProgress};
pub use reward::RewardOutcome;
pub use sender::Sender;
