package org.kumquatvane.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.PeerMessageHandler;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.internal.CachedOrders;
import org.kumquatvane.membership.internal.MemberTable;

/**
 * Gossip-based membership. VMs discover each other through seeds, without an external VM list.
 *
 * <p>In each interval a VM sends a report to one random VM of its failure domain. Two VMs of each
 * domain, the bridges, chosen by rendezvous hashing, also report to one VM of every other domain,
 * so that traffic between domains does not grow with the number of VMs. A VM is named by its peer
 * address, so that a seed can be contacted before its entry is received.
 */
public final class GossipMembership implements PeerMessageHandler<MemberReport> {
  /** Number of VMs of a domain that exchange reports with the other domains. */
  private static final int BRIDGES_PER_DOMAIN = 2;

  /**
   * Intervals between two contacts of the bridges with the seeds. Bridges contact them even when
   * they know other VMs, so that two partitions of a fleet merge again.
   */
  private static final int SEED_CONTACT_INTERVALS = 5;

  /** Intervals after the start in which every VM contacts the seeds. */
  private static final int STARTUP_INTERVALS = 2;

  private static final String BRIDGE_KEY = "bridge";

  private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);
  private final Vm self;
  private final long incarnation;
  private final GossipSettings settings;
  private final PeerSender sender;
  private final List<VmListListener> listeners;
  private final Clock clock;
  private final Scheduler scheduler;
  private final UniformRandomProvider random;
  private final MemberTable table;
  private final CachedOrders localOrders;
  private final CachedOrders fleetOrders;
  private long heartbeat;
  private long listVersion;
  private boolean leaving;
  private volatile List<SocketEndpoint> seeds;

  /**
   * Creates a membership without any entry but the seeds.
   *
   * @param self this VM, named by its peer address
   * @param settings seeds and times
   * @param sender sends reports
   * @param listeners receive the VMs to which connections may be needed
   * @param clock clock of the deadlines
   * @param scheduler runs the intervals
   * @param random seeded source of random choices, used only under the lock of the membership
   * @param eventLog receives changes of the fleet
   */
  public GossipMembership(
      Vm self,
      GossipSettings settings,
      PeerSender sender,
      List<VmListListener> listeners,
      Clock clock,
      Scheduler scheduler,
      UniformRandomProvider random,
      EventLog eventLog) {
    this.self = self;
    this.settings = settings;
    this.sender = sender;
    this.listeners = List.copyOf(listeners);
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
    table = new MemberTable(self, settings, clock, random, eventLog);
    localOrders =
        new CachedOrders(table::liveVersion, () -> withSelf(table.liveVmsIn(self.failureDomain())));
    fleetOrders = new CachedOrders(table::liveVersion, () -> withSelf(table.liveVms()));
    incarnation = clock.epochMillis();
    seeds = settings.seeds();
  }

  /**
   * Returns this VM.
   *
   * @return its name
   */
  public VmId self() {
    return self.id();
  }

  /**
   * Replaces the seeds.
   *
   * @param changed peer addresses of some VMs
   */
  public void setSeeds(List<SocketEndpoint> changed) {
    seeds = List.copyOf(changed);
    publish();
  }

  /** Starts sending reports. */
  public void start() {
    publish();
    sendReports();
  }

  private void sendReports() {
    List<VmId> peers = new ArrayList<>();
    List<VmId> contactedSeeds = new ArrayList<>();
    List<MemberReport> reports = new ArrayList<>();
    lock.run(
        () -> {
          heartbeat++;
          boolean isBridge = addReportReceivers(peers);
          addSeedsToContact(contactedSeeds, isBridge, peers.isEmpty());
          List<Member> entries = table.reportEntries(ownEntry());
          reports.add(new MemberReport(entries, false));
          reports.add(new MemberReport(entries, true));
        });
    peers.forEach(peer -> sender.send(peer, reports.get(0)));
    contactedSeeds.forEach(seed -> sender.send(seed, reports.get(1)));
    if (lock.call(table::expire)) {
      publish();
    }
    scheduler.schedule(Deadline.after(clock, settings.interval()), this::sendReports);
  }

  private boolean addReportReceivers(List<VmId> peers) {
    List<Vm> local = table.liveVmsIn(self.failureDomain());
    addRandom(peers, local);
    boolean isBridge = isBridge();
    if (isBridge) {
      for (FailureDomain domain : table.otherDomains()) {
        addRandom(peers, table.liveVmsIn(domain));
      }
    }
    return isBridge;
  }

  private void addSeedsToContact(List<VmId> contactedSeeds, boolean isBridge, boolean hasNoPeers) {
    if (heartbeat <= STARTUP_INTERVALS
        || hasNoPeers
        || (isBridge && heartbeat % SEED_CONTACT_INTERVALS == 0)) {
      seeds.stream()
          .map(seed -> new VmId(seed.toString()))
          .filter(seed -> !seed.equals(self.id()))
          .forEach(contactedSeeds::add);
    }
  }

  private void addRandom(List<VmId> receivers, List<Vm> vms) {
    if (!vms.isEmpty()) {
      receivers.add(vms.get(random.nextInt(vms.size())).id());
    }
  }

  private boolean isBridge() {
    List<Vm> order = localOrders.get(BRIDGE_KEY);
    return order.subList(0, Math.min(BRIDGES_PER_DOMAIN, order.size())).contains(self);
  }

  private Member ownEntry() {
    VmState state = leaving ? VmState.LEAVING : VmState.LIVE;
    return new Member(
        new Vm(self.id(), self.peerAddress(), self.failureDomain(), state), incarnation, heartbeat);
  }

  @Override
  public void handle(VmId from, MemberReport message) {
    boolean changed = lock.call(() -> table.merge(message.members()));
    if (changed) {
      publish();
    }
    if (message.replyRequested()) {
      sender.send(from, new MemberReport(lock.call(() -> table.allEntries(ownEntry())), false));
    }
  }

  /**
   * Passes the VMs that may be contacted to the listeners: the seeds and all members that are not
   * down.
   */
  private void publish() {
    VmList list =
        lock.call(
            () -> {
              Map<VmId, Vm> vms = new HashMap<>();
              seeds.stream()
                  .map(GossipMembership::toSeedVm)
                  .filter(seed -> !seed.id().equals(self.id()))
                  .forEach(seed -> vms.put(seed.id(), seed));
              table.reachableVms().forEach(vm -> vms.put(vm.id(), vm));
              return new VmList(++listVersion, List.copyOf(vms.values()), List.of());
            });
    listeners.forEach(listener -> listener.vmListChanged(list));
  }

  private static Vm toSeedVm(SocketEndpoint endpoint) {
    return new Vm(
        new VmId(endpoint.toString()), endpoint, new FailureDomain("unknown"), VmState.LIVE);
  }

  /**
   * Records a message of any kind as evidence that its sender is alive.
   *
   * @param vm the sender
   */
  public void recordActivity(VmId vm) {
    lock.run(() -> table.recordActivity(vm));
  }

  /**
   * Returns the other live VMs of this VM's failure domain.
   *
   * @return their names
   */
  public List<VmId> localPeers() {
    return lock.call(() -> table.liveVmsIn(self.failureDomain()).stream().map(Vm::id).toList());
  }

  /**
   * Returns all other live VMs.
   *
   * @return their names
   */
  public List<VmId> allPeers() {
    return lock.call(() -> table.liveVms().stream().map(Vm::id).toList());
  }

  /**
   * Returns the live VMs of the fleet, this one included.
   *
   * @return the VMs
   */
  public List<Vm> liveVms() {
    return lock.call(() -> withSelf(table.liveVms()));
  }

  /**
   * Returns the rank of this VM in the rendezvous order of its failure domain for a task.
   *
   * @param task name of the task
   * @return the rank, 0 for the first VM
   */
  public int rank(String task) {
    return lock.call(() -> localOrders.get(task).indexOf(self));
  }

  /**
   * Returns the live VMs of the fleet, this one included, in the rendezvous order for a task.
   *
   * @param task name of the task
   * @return the IDs of the VMs, the preferred one first
   */
  public List<VmId> order(String task) {
    return lock.call(() -> fleetOrders.get(task)).stream().map(Vm::id).toList();
  }

  private List<Vm> withSelf(List<Vm> others) {
    List<Vm> vms = new ArrayList<>(others);
    vms.add(self);
    return vms;
  }

  /**
   * Returns the number of VMs that may be running, including this VM and VMs that may be
   * partitioned from it. A VM that has reached no other one counts the seeds, which may be cut off
   * from it like other VMs that it can't know of; else each such VM would use the shares of all.
   *
   * @return the number of VMs, at least 1
   */
  public int possibleVms() {
    long otherSeeds = seeds.stream().filter(seed -> !seed.equals(self.peerAddress())).count();
    return 1 + Math.max((int) otherSeeds, lock.call(table::possiblyRunning));
  }

  /** Announces the planned stop to all VMs of the same failure domain. */
  public void leave() {
    List<VmId> receivers = localPeers();
    MemberReport report =
        lock.call(
            () -> {
              leaving = true;
              heartbeat++;
              return new MemberReport(List.of(ownEntry()), false);
            });
    receivers.forEach(receiver -> sender.send(receiver, report));
  }
}
