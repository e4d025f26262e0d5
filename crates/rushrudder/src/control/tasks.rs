//! The tasks of the control plane: each loop runs until the process ends.

use std::sync::Arc;
use std::time::Duration;

use control_plane::{Capability, Identity, OrderGap};
use register::Member;
use settings::NodeSettings;
use state::StoreMember;

use super::{internal_seed_addresses, ControlPlane};

/// A process with an acceptor reads the platform's list itself once the leader's list is this old. Sooner than the
/// others, so that these get the list from an acceptor instead of all calling the platform.
const LIST_STALE_AFTER_ON_ACCEPTOR: Duration = Duration::from_millis(1700);
/// Any other process reads the platform's list itself once the list that it got is this old.
const LIST_STALE_AFTER: Duration = Duration::from_millis(2300);

impl ControlPlane {
    /// Starts the tasks. `member` is this process where it has a disk; `capability` says what it can do with it.
    pub fn start(&self, settings: &NodeSettings, member: Option<Member>, capability: Capability) {
        let seeds = internal_seed_addresses(settings);
        log::info!("internal address {}, seeds {}", self.internal_address, seeds.join(" "));
        self.spawn_poller();
        self.spawn_acceptor_gossip();
        self.spawn_list_reader();
        if settings.first_start {
            self.spawn_first_start(settings, seeds, member.clone(), capability);
        }
        let Some(member) = member else { return };
        self.distribution.set_incarnation(member.incarnation);
        match capability {
            Capability::Store => self.spawn_store_tasks(settings, member),
            Capability::Acceptor => self.spawn_acceptor_tasks(settings, member),
        }
    }

    /// Follows the control state and the list of servers that other processes know.
    fn spawn_poller(&self) {
        let leadership = self.core.is_some().then(|| Arc::clone(&self.leadership));
        tokio::spawn(control_plane::run_poller(
            Arc::clone(&self.view),
            self.clients.rpc.clone(),
            self.seeds.subscribe(),
            Arc::clone(&self.acceptor_gossip),
            self.internal_address.clone(),
            leadership,
        ));
    }

    /// Exchanges the addresses of acceptors with other processes.
    fn spawn_acceptor_gossip(&self) {
        tokio::spawn(control_plane::run_acceptor_gossip(
            Arc::clone(&self.view),
            self.clients.rpc.clone(),
            self.seeds.subscribe(),
            self.internal_address.clone(),
            self.core.is_some(),
        ));
    }

    /// Reads the platform's list of servers, as the leader or where no recent list comes from other processes.
    fn spawn_list_reader(&self) {
        let Some(server_list) = &self.clients.server_list else { return };
        let stale_after = if self.core.is_some() { LIST_STALE_AFTER_ON_ACCEPTOR } else { LIST_STALE_AFTER };
        tokio::spawn(control_plane::run_list_reader(
            Arc::clone(server_list),
            Arc::clone(&self.leadership),
            Arc::clone(&self.view),
            stale_after,
        ));
    }

    /// Takes part in the very first start of the system.
    fn spawn_first_start(
        &self,
        settings: &NodeSettings,
        seeds: Vec<String>,
        member: Option<Member>,
        capability: Capability,
    ) {
        let zone = settings.zone.clone();
        let identity = member.map(|member| Identity { member, zone, capability });
        let (view, rpc_client) = (Arc::clone(&self.view), self.clients.rpc.clone());
        let first_start = Arc::clone(&self.first_start);
        let address = self.internal_address.clone();
        let tolerated_machines = settings.fault_tolerance.machines as usize;
        tokio::spawn(async move {
            control_plane::start_first(
                identity,
                &seeds,
                &address,
                tolerated_machines,
                &first_start,
                &view,
                &rpc_client,
            )
            .await;
        });
    }

    /// Makes this machine a member of the store set.
    fn spawn_store_tasks(&self, settings: &NodeSettings, member: Member) {
        let (view, proposer) = (Arc::clone(&self.view), Arc::clone(&self.proposer));
        let member = StoreMember { member, zone: settings.zone.clone() };
        let join_task =
            tokio::spawn(async move { control_plane::join_stores(&member, &view, &proposer).await });
        self.set_join_task(&join_task);
    }

    /// Runs the tasks of a machine of the core and makes it an acceptor. Those of the leader wait while another
    /// process leads.
    fn spawn_acceptor_tasks(&self, settings: &NodeSettings, member: Member) {
        self.spawn_scrub();
        self.spawn_leader(settings);
        self.spawn_orders(settings);
        self.spawn_reconciler(settings);
        self.spawn_acceptor_join(member);
    }

    /// Confirms with a majority of the acceptors that the committed value known here is the newest (read repair).
    fn spawn_scrub(&self) {
        let (view, proposer) = (Arc::clone(&self.view), Arc::clone(&self.proposer));
        tokio::spawn(control_plane::run_scrub(view, self.clients.rpc.clone(), proposer));
    }

    /// Acquires and renews the leader lease.
    fn spawn_leader(&self, settings: &NodeSettings) {
        let rules = &settings.timing_rules;
        tokio::spawn(control_plane::run_leader(
            settings.machine_name.clone(),
            OrderGap {
                between_holders: rules.leader_handover_interval() + rules.resume_tolerance(),
                fence_checked: rules.servers_check_fencing(),
            },
            Arc::clone(&self.leadership),
            Arc::clone(&self.view),
            Arc::clone(&self.proposer),
            self.clients.rpc.clone(),
        ));
    }

    /// As the leader, orders servers to load weight versions.
    fn spawn_orders(&self, settings: &NodeSettings) {
        tokio::spawn(control_plane::run_orders(
            settings.machine_name.clone(),
            Arc::clone(&self.leadership),
            Arc::clone(&self.view),
            Arc::clone(&self.clients.servers),
        ));
    }

    /// As the leader, replaces failed members and finishes moves of batch jobs.
    fn spawn_reconciler(&self, settings: &NodeSettings) {
        tokio::spawn(control_plane::run_reconciler(
            Arc::clone(&self.leadership),
            Arc::clone(&self.view),
            Arc::clone(&self.proposer),
            self.clients.rpc.clone(),
            settings.timing_rules.member_failure_timeout(),
        ));
    }

    /// Makes this machine an acceptor, or a standby for one.
    fn spawn_acceptor_join(&self, member: Member) {
        let (view, proposer) = (Arc::clone(&self.view), Arc::clone(&self.proposer));
        let rpc_client = self.clients.rpc.clone();
        let join_task = tokio::spawn(async move {
            control_plane::join_register(&member, &view, &proposer, &rpc_client).await;
        });
        self.set_join_task(&join_task);
    }
}
