//! The tasks of the control plane. Each is spawned at the start of the process.

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

/// Age of the server list at which a process with an acceptor reads the platform's list itself. The reader
/// adds a random time.
const LIST_STALE_AFTER_ON_ACCEPTOR: Duration = Duration::from_millis(1700);
/// Age of the server list at which a process without an acceptor reads the platform's list itself. The reader
/// adds a random time. It is higher than [`LIST_STALE_AFTER_ON_ACCEPTOR`].
const LIST_STALE_AFTER: Duration = Duration::from_millis(2300);

impl ControlPlane {
    /// Starts the tasks. `member` is the identity of this process if it has a disk, and `capability` states
    /// for which role it uses the disk.
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

    /// Starts the long polls by which this process receives newer control states and server lists from
    /// others.
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

    /// Starts the gossip about acceptors, which sends the addresses of the acceptors to the seeds.
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

    /// Starts the reader of the platform's server list. It reads while this process is the leader, or if no
    /// recent list has arrived from other processes. Does nothing if the settings name no platform list.
    fn spawn_list_reader(&self) {
        let Some(server_list) = &self.clients.server_list else { return };
        let has_acceptor = self.quorum_service.is_some();
        let reader = ListReader {
            platform: Arc::clone(server_list),
            leadership: Arc::clone(&self.leadership),
            view: Arc::clone(&self.view),
            stale_after: if has_acceptor { LIST_STALE_AFTER_ON_ACCEPTOR } else { LIST_STALE_AFTER },
        };
        tokio::spawn(reader.run());
    }

    /// Starts the bootstrap, in which the machines agree on the initial state when the system starts for the
    /// first time.
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

    /// Starts the task that makes this machine a member of the store set.
    fn spawn_store_tasks(&self, settings: &NodeSettings, member: Member) {
        let membership = self.store_membership(StoreMember { member, zone: settings.zone.clone() });
        let join_task = tokio::spawn(async move { membership.run().await });
        self.set_join_task(&join_task);
    }

    /// Starts the tasks of a machine with an acceptor. The tasks of the leader do nothing while this process
    /// does not hold the leader lease.
    fn spawn_acceptor_tasks(&self, settings: &NodeSettings, member: Member) {
        self.spawn_read_repair();
        self.spawn_leader_election(settings);
        self.spawn_order_dispatcher(settings);
        self.spawn_reconciler(settings);
        self.spawn_acceptor_join(member);
    }

    /// Starts read repair, which confirms the committed value with a majority of the acceptors at regular
    /// intervals, and adopts a newer one.
    fn spawn_read_repair(&self) {
        tokio::spawn(control_plane::run_read_repair(Arc::clone(&self.view), Arc::clone(&self.proposer)));
    }

    /// Starts the leader election, which acquires and renews the leader lease.
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

    /// Starts the order dispatcher, which orders servers to load weight versions while this process is the
    /// leader.
    fn spawn_order_dispatcher(&self, settings: &NodeSettings) {
        let dispatcher = OrderDispatcher {
            member_name: settings.machine_name.clone(),
            leadership: Arc::clone(&self.leadership),
            view: Arc::clone(&self.view),
            servers: Arc::clone(&self.clients.servers),
        };
        tokio::spawn(dispatcher.run());
    }

    /// Starts the reconciler, which replaces failed members and finishes migrations of batch jobs while this
    /// process is the leader.
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

    /// Starts the task that makes this machine an acceptor or a standby.
    fn spawn_acceptor_join(&self, member: Member) {
        let membership = self.acceptor_membership(member);
        let join_task = tokio::spawn(async move { membership.run().await });
        self.set_join_task(&join_task);
    }
}
