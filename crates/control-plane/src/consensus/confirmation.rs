//! A single confirmation round: asks the acceptors whether the known committed value is the newest.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::StreamExt;
use register::{AcceptorReply, Confirmation, ConfirmationStatus, Member, Versioned};
use state::ControlState;
use tokio::time::Instant;

use super::acceptor_calls::{call_acceptor, PendingCalls};
use crate::{AcceptorContacts, ViewCell};

/// Maximum time for the reply of one acceptor.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);

/// Result of a confirmation round.
pub(super) enum ConfirmationResult {
    /// A majority has confirmed the known value as the newest.
    Confirmed,
    /// A newer value is committed and was adopted, or no majority has replied.
    NotConfirmed,
    /// A majority has replied, and at least one acceptor has accepted a newer value, which may or may not be
    /// committed.
    Undecided,
}

/// Asks all acceptors once whether `known` is the newest value. Returns as soon as the replies decide the
/// result, and makes the view adopt a confirmation as of `started_at` or a newer committed value. Replies
/// that arrive later are still recorded in `contacts`.
pub(super) async fn confirm_once(
    view: &ViewCell,
    client: &rpc::Client,
    contacts: &Arc<AcceptorContacts>,
    known: Versioned<ControlState>,
    started_at: Instant,
) -> ConfirmationResult {
    let (mut confirmation, requests) = Confirmation::start(known);
    let mut calls: PendingCalls =
        requests.into_iter().map(|request| call_acceptor(client, request, CALL_TIMEOUT)).collect();
    let status = collect_replies(&mut confirmation, &mut calls, contacts).await;
    tokio::spawn(record_late_replies(calls, Arc::clone(contacts)));
    match status {
        ConfirmationStatus::Pending => ConfirmationResult::NotConfirmed,
        ConfirmationStatus::Confirmed => {
            view.confirm(started_at);
            ConfirmationResult::Confirmed
        }
        ConfirmationStatus::Superseded(value) => {
            view.adopt_control(&value);
            ConfirmationResult::NotConfirmed
        }
        ConfirmationStatus::Undecided(_) => ConfirmationResult::Undecided,
    }
}

/// Returns the status as soon as the replies decide it, or [`ConfirmationStatus::Pending`] if all calls have
/// ended without a decision.
async fn collect_replies(
    confirmation: &mut Confirmation<ControlState>,
    calls: &mut PendingCalls,
    contacts: &AcceptorContacts,
) -> ConfirmationStatus<ControlState> {
    while let Some((member, reply)) = calls.next().await {
        let Ok(reply) = reply else { continue };
        record_contact(contacts, &member, &reply);
        let status = confirmation.on_reply(&member, reply);
        if !matches!(status, ConfirmationStatus::Pending) {
            return status;
        }
    }
    ConfirmationStatus::Pending
}

async fn record_late_replies(mut calls: PendingCalls, contacts: Arc<AcceptorContacts>) {
    while let Some((member, reply)) = calls.next().await {
        if let Ok(reply) = reply {
            record_contact(&contacts, &member, &reply);
        }
    }
}

/// Records the reply only if it comes from `member` itself. A machine that lost its disk replies at the same
/// address with another incarnation.
fn record_contact(contacts: &AcceptorContacts, member: &Member, reply: &AcceptorReply<ControlState>) {
    if reply.incarnation == member.incarnation {
        contacts.record_contact(member.incarnation);
    }
}
