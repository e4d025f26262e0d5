//! A small fleet on loopback: real processes of the system between stand-ins of everything around them.
//!
//! [`run`] starts traffic nodes and stores as child processes, a [`Platform`], plain and engine servers, an
//! [`Operator`], a [`Trainer`] and a [`Client`], and lets training steps go through the system. A [`Ledger`] notes
//! what the servers saw and made; every answer is compared with it, so that a broken rule is reported and not just
//! a failure.

mod answers;
mod calls;
mod client;
mod configuration_file;
mod connections;
mod engine_server;
mod engine_stream;
mod entry;
mod fleet;
mod layout;
mod ledger;
mod listing;
mod operator;
mod plain_server;
mod platform;
mod report;
mod run;
mod serving;
mod settings_file;
mod slots;
mod steps;
mod surroundings;
mod trainer;
mod trouble;
mod verify;
mod violation;
mod wire;

pub use client::{Client, ClientCounts};
pub use configuration_file::{
    ConfigurationFile, ConfigurationPatch, Limits, LoadItems, Names, RouteEntry, ServiceEntry, StrikeItems,
};
pub use engine_server::{EngineOptions, EngineServer};
pub use entry::Entry;
pub use fleet::{Fleet, FleetError};
pub use layout::Layout;
pub use ledger::{Answer, Arrival, EventRecord, Expected, Ledger, OrderRecord, RunId};
pub use listing::Listing;
pub use operator::{Operator, OperatorError};
pub use plain_server::{PlainOptions, PlainServer};
pub use platform::{LaggingList, Platform, PlatformOptions, RateLimit};
pub use report::Report;
pub use run::{run, LocalError, LocalOptions};
pub use settings_file::{MachineClass, SettingsFile, Timetable};
pub use slots::{Full, Load, Slot, Slots};
pub use steps::{Group, StepPlan, StepTerms};
pub use trainer::{StepOutcome, Trainer, TrainerError};
pub use trouble::{NoTrouble, Trouble, TroubleKind};
pub use verify::{check_result, EventData, ItemTerms, JobTerms};
pub use violation::{Rule, Violation};
pub use wire::{
    header, Carrier, CarrierPage, EngineReport, ModelVersion, NamedVersion, Order, ResultPage,
    ServerCondition,
};
