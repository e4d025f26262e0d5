//! The tasks of the control plane: each loop runs until the process ends.

use std::sync::Arc;
use std::time::Duration;

use control_plane::{
    Announcement, Bootstrap, Capability, GossipSender, LeaderElection, ListReader, OrderDispatcher, OrderGap,
    Poller, Reconciler,
};
use register::Member;
use settings::NodeSettings;
use state::StoreMember;

use super::{internal_seed_addresses, ControlPlane};

/// A process with an acceptor reads the platform's list itself when it got no list for this long; the reader adds a
/// random part.
const LIST_STALE_AFTER_ON_ACCEPTOR: Duration = Duration::from_millis(1700);
/// As [`LIST_STALE_AFTER_ON_ACCEPTOR`], for a process without an acceptor.
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
            self.spawn_bootstrap(settings, seeds, member.clone(), capability);
        }
        let Some(member) = member else { return };
        self.ping_service.set_incarnation(member.incarnation);
        match capability {
            Capability::Store => self.spawn_store_tasks(settings, member),
            Capability::Acceptor => self.spawn_acceptor_tasks(settings, member),
        }
    }

    /// Follows the control state and the list of servers that other processes know.
    fn spawn_poller(&self) {
        let poller = Poller {
            view: Arc::clone(&self.view),
            client: self.clients.rpc.clone(),
            seeds: self.seeds.subscribe(),
            gossip: Arc::clone(&self.acceptor_gossip),
            own_address: self.internal_address.clone(),
            leadership: self.quorum_service.is_some().then(|| Arc::clone(&self.leadership)),
        };
        tokio::spawn(poller.run());
    }

    /// Exchanges the addresses of acceptors with other processes.
    fn spawn_acceptor_gossip(&self) {
        let sender = GossipSender {
            view: Arc::clone(&self.view),
            client: self.clients.rpc.clone(),
            seeds: self.seeds.subscribe(),
            own_address: self.internal_address.clone(),
            has_acceptor: self.quorum_service.is_some(),
        };
        tokio::spawn(sender.run());
    }

    /// Reads the platform's list of servers, as the leader or where no recent list comes from other processes.
    fn spawn_list_reader(&self) {
        let Some(server_list) = &self.clients.server_list else { return };
        let has_acceptor = self.quorum_service.is_some();
        let reader = ListReader {
            platform: Arc::clone(server_list),
            leadership: Arc::clone(&self.leadership),
            view: Arc::clone(&self.view),
            own_read_after: if has_acceptor { LIST_STALE_AFTER_ON_ACCEPTOR } else { LIST_STALE_AFTER },
        };
        tokio::spawn(reader.run());
    }

    /// Takes part in the very first start of the system.
    fn spawn_bootstrap(
        &self,
        settings: &NodeSettings,
        seeds: Vec<String>,
        member: Option<Member>,
        capability: Capability,
    ) {
        let zone = settings.zone.clone();
        let bootstrap = Bootstrap {
            announcement: member.map(|member| Announcement { member, zone, capability }),
            seeds,
            own_address: self.internal_address.clone(),
            tolerated_failures: settings.fault_tolerance.machines as usize,
            announcements: Arc::clone(&self.bootstrap_announcements),
            view: Arc::clone(&self.view),
            client: self.clients.rpc.clone(),
        };
        tokio::spawn(bootstrap.run());
    }

    /// Makes this machine a member of the store set.
    fn spawn_store_tasks(&self, settings: &NodeSettings, member: Member) {
        let membership = self.store_membership(StoreMember { member, zone: settings.zone.clone() });
        let join_task = tokio::spawn(async move { membership.run().await });
        self.set_join_task(&join_task);
    }

    /// Runs the tasks of a machine with an acceptor and makes it one. Those of the leader wait while another
    /// process leads.
    fn spawn_acceptor_tasks(&self, settings: &NodeSettings, member: Member) {
        self.spawn_read_repair();
        self.spawn_leader_election(settings);
        self.spawn_order_dispatcher(settings);
        self.spawn_reconciler(settings);
        self.spawn_acceptor_join(member);
    }

    /// Confirms with a majority of the acceptors that the committed value known here is the newest (read repair).
    fn spawn_read_repair(&self) {
        tokio::spawn(control_plane::run_read_repair(Arc::clone(&self.view), Arc::clone(&self.proposer)));
    }

    /// Acquires and renews the leader lease.
    fn spawn_leader_election(&self, settings: &NodeSettings) {
        let rules = &settings.timing_rules;
        let election = LeaderElection {
            member_name: settings.machine_name.clone(),
            order_gap: OrderGap {
                between_leaders: rules.leader_handover_interval() + rules.resume_tolerance(),
                is_fence_checked: rules.servers_check_fencing(),
            },
            leadership: Arc::clone(&self.leadership),
            view: Arc::clone(&self.view),
            proposer: Arc::clone(&self.proposer),
            client: self.clients.rpc.clone(),
        };
        tokio::spawn(election.run());
    }

    /// As the leader, orders servers to load weight versions.
    fn spawn_order_dispatcher(&self, settings: &NodeSettings) {
        let dispatcher = OrderDispatcher {
            member_name: settings.machine_name.clone(),
            leadership: Arc::clone(&self.leadership),
            view: Arc::clone(&self.view),
            servers: Arc::clone(&self.clients.servers),
        };
        tokio::spawn(dispatcher.run());
    }

    /// As the leader, replaces failed members and finishes migrations of batch jobs.
    fn spawn_reconciler(&self, settings: &NodeSettings) {
        let reconciler = Reconciler {
            leadership: Arc::clone(&self.leadership),
            view: Arc::clone(&self.view),
            proposer: Arc::clone(&self.proposer),
            client: self.clients.rpc.clone(),
            store_replacement_timeout: settings.timing_rules.member_failure_timeout(),
        };
        tokio::spawn(reconciler.run());
    }

    /// Makes this machine an acceptor, or a standby for one.
    fn spawn_acceptor_join(&self, member: Member) {
        let membership = self.acceptor_membership(member);
        let join_task = tokio::spawn(async move { membership.run().await });
        self.set_join_task(&join_task);
    }
}
