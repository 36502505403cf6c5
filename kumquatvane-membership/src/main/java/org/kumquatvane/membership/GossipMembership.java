package org.kumquatvane.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.PeerMessageHandler;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;

/**
 * Members of the fleet, found through seeds and spread by gossip, without a list from outside.
 *
 * <p>A VM reports to one VM of its failure domain in each interval. Two VMs of each domain, by
 * rendezvous order, also report to one VM of every other domain, so that traffic between domains
 * does not grow with the number of VMs. The VM's name is its peer address, so that a seed can be
 * reached before anything is known of it.
 */
public final class GossipMembership implements PeerMessageHandler<MemberReport> {
  /** Entries in an ordinary report beside the sender's own; about 1 KB. */
  private static final int SAMPLE = 20;

  /** New VMs in a report beyond the sample; a fleet that starts at once spreads within seconds. */
  private static final int MAXIMUM_NEWS = 160;

  /** Reports of this VM that name a new VM first; others tell it on. */
  private static final int TELLINGS = 8;

  /** Entries of other domains in an ordinary report; they need be known less exactly. */
  private static final int FAR_SAMPLE = 10;

  /** VMs of other domains are heard of through others only, and so count as down later. */
  private static final int FAR_PATIENCE = 3;

  /** VMs of a domain that exchange reports with the other domains. */
  private static final int BRIDGES = 2;

  /**
   * Bridges ask the seeds every so many intervals although others are known, so that two halves of
   * a fleet find each other.
   */
  private static final int SEED_EVERY = 5;

  /** Intervals at the start in which every VM asks the seeds. */
  private static final int STARTING = 2;

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
  private final EventLog eventLog;
  private final Map<VmId, Entry> entries = new TreeMap<>();
  private long heartbeat;
  private long listVersion;
  private boolean leaving;
  private volatile List<SocketEndpoint> seeds;

  private static final class Entry {
    private Member member;
    private Deadline downAt;
    private Deadline forgottenAt;
    private boolean reportedDown;
    private int tellings = TELLINGS;

    private Entry(Member member, Deadline downAt, Deadline forgottenAt) {
      this.member = member;
      this.downAt = downAt;
      this.forgottenAt = forgottenAt;
    }
  }

  /**
   * Creates a membership that knows the seeds only.
   *
   * @param self this VM, named by its peer address
   * @param settings seeds and times
   * @param sender sends reports
   * @param listeners learn of the VMs to which connections may be needed
   * @param clock clock of the deadlines
   * @param scheduler runs the intervals
   * @param random seeded source of the choices, used under this table's lock only
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
    this.eventLog = eventLog;
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

  /** Starts to report. */
  public void start() {
    publish();
    round();
  }

  private void round() {
    List<VmId> peers = new ArrayList<>();
    List<VmId> asked = new ArrayList<>();
    List<MemberReport> reports = new ArrayList<>();
    lock.run(
        () -> {
          heartbeat++;
          boolean isBridge = addPeers(peers);
          addSeeds(asked, isBridge, peers.isEmpty());
          reports.add(report());
          reports.add(new MemberReport(reports.get(0).members(), true));
        });
    peers.forEach(peer -> sender.send(peer, reports.get(0)));
    asked.forEach(seed -> sender.send(seed, reports.get(1)));
    if (expire()) {
      publish();
    }
    scheduler.schedule(Deadline.after(clock, settings.interval()), this::round);
  }

  private boolean addPeers(List<VmId> peers) {
    List<Vm> near = liveIn(self.failureDomain());
    addRandom(peers, near);
    boolean isBridge = isBridge(near);
    if (isBridge) {
      for (FailureDomain domain : otherDomains()) {
        addRandom(peers, liveIn(domain));
      }
    }
    return isBridge;
  }

  private void addSeeds(List<VmId> asked, boolean isBridge, boolean isLonely) {
    if (heartbeat <= STARTING || isLonely || (isBridge && heartbeat % SEED_EVERY == 0)) {
      seeds.stream()
          .map(seed -> new VmId(seed.toString()))
          .filter(seed -> !seed.equals(self.id()))
          .forEach(asked::add);
    }
  }

  private void addRandom(List<VmId> receivers, List<Vm> vms) {
    if (!vms.isEmpty()) {
      receivers.add(vms.get(random.nextInt(vms.size())).id());
    }
  }

  private boolean isBridge(List<Vm> near) {
    List<Vm> all = new ArrayList<>(near);
    all.add(self);
    List<Vm> order = Rendezvous.order(BRIDGE_KEY, all);
    return order.subList(0, Math.min(BRIDGES, order.size())).contains(self);
  }

  private List<FailureDomain> otherDomains() {
    return entries.values().stream()
        .map(entry -> entry.member.vm().failureDomain())
        .filter(domain -> !domain.equals(self.failureDomain()))
        .distinct()
        .toList();
  }

  private List<Vm> liveIn(FailureDomain domain) {
    return entries.values().stream()
        .filter(this::isLive)
        .map(entry -> entry.member.vm())
        .filter(vm -> vm.failureDomain().equals(domain))
        .toList();
  }

  private boolean isLive(Entry entry) {
    return !entry.downAt.isReached(clock) && entry.member.vm().state() == VmState.LIVE;
  }

  /** Writes the own entry, then VMs that few others may know yet, then a sample of the others. */
  private MemberReport report() {
    List<Member> members = new ArrayList<>();
    members.add(ownEntry());
    List<Member> near = new ArrayList<>();
    List<Member> far = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.downAt.isReached(clock)) {
        continue;
      }
      if (entry.tellings > 0 && members.size() < MAXIMUM_NEWS) {
        entry.tellings--;
        members.add(entry.member);
      } else {
        (isNear(entry.member.vm()) ? near : far).add(entry.member);
      }
    }
    members.addAll(sample(near, SAMPLE));
    members.addAll(sample(far, FAR_SAMPLE));
    return new MemberReport(members, false);
  }

  private List<Member> sample(List<Member> members, int size) {
    return members.size() <= size ? members : ListSampler.sample(random, members, size);
  }

  private boolean isNear(Vm vm) {
    return vm.failureDomain().equals(self.failureDomain());
  }

  private Member ownEntry() {
    VmState state = leaving ? VmState.LEAVING : VmState.LIVE;
    return new Member(
        new Vm(self.id(), self.peerAddress(), self.failureDomain(), state), incarnation, heartbeat);
  }

  @Override
  public void handle(VmId from, MemberReport message) {
    boolean changed = lock.call(() -> merge(message.members()));
    if (changed) {
      publish();
    }
    if (message.wantsAnswer()) {
      sender.send(from, lock.call(this::answer));
    }
  }

  /** Answers with everything, since the sender may have just started. */
  private MemberReport answer() {
    List<Member> members = new ArrayList<>();
    members.add(ownEntry());
    entries.values().stream()
        .filter(entry -> !entry.downAt.isReached(clock))
        .limit(MemberReport.MAXIMUM_ENTRIES - 1)
        .forEach(entry -> members.add(entry.member));
    return new MemberReport(members, false);
  }

  private boolean merge(Collection<Member> members) {
    boolean changed = false;
    for (Member member : members) {
      Vm vm = member.vm();
      if (vm.id().equals(self.id())) {
        continue;
      }
      Entry known = entries.get(vm.id());
      if (known == null) {
        entries.put(vm.id(), new Entry(member, downAt(vm), forgottenAt()));
        eventLog.record(
            EventLog.Level.INFO,
            "vm_joined",
            LogField.of("peer", vm.id()),
            LogField.of("failure_domain", vm.failureDomain()),
            LogField.of("incarnation", member.incarnation()));
        changed = true;
      } else if (member.isNewerThan(known.member)) {
        changed |= known.member.vm().state() != vm.state() || known.reportedDown;
        known.member = member;
        markAlive(known);
      }
    }
    return changed;
  }

  private void markAlive(Entry entry) {
    entry.downAt = downAt(entry.member.vm());
    entry.forgottenAt = forgottenAt();
    entry.reportedDown = false;
  }

  private Deadline downAt(Vm vm) {
    return Deadline.after(clock, silence(vm));
  }

  /** A VM is forgotten only after all others take it for down, or they would bring it back. */
  private Deadline forgottenAt() {
    return Deadline.after(
        clock, settings.silence().multipliedBy(FAR_PATIENCE).plus(settings.retention()));
  }

  private Duration silence(Vm vm) {
    return isNear(vm) ? settings.silence() : settings.silence().multipliedBy(FAR_PATIENCE);
  }

  private boolean expire() {
    return lock.call(
        () -> {
          boolean changed = false;
          for (Entry entry : entries.values()) {
            if (!entry.reportedDown && entry.downAt.isReached(clock)) {
              entry.reportedDown = true;
              changed = true;
              eventLog.record(
                  EventLog.Level.INFO,
                  "vm_silent",
                  LogField.of("peer", entry.member.vm().id()),
                  LogField.of("silent_ms", settings.silence().toMillis()));
            }
          }
          return entries.values().removeIf(entry -> entry.forgottenAt.isReached(clock)) || changed;
        });
  }

  /** Tells the listeners which VMs may be sent to: members that are not down, and the seeds. */
  private void publish() {
    VmList list =
        lock.call(
            () -> {
              Map<VmId, Vm> vms = new HashMap<>();
              seeds.stream()
                  .map(GossipMembership::seed)
                  .filter(seed -> !seed.id().equals(self.id()))
                  .forEach(seed -> vms.put(seed.id(), seed));
              for (Entry entry : entries.values()) {
                if (!entry.reportedDown) {
                  vms.put(entry.member.vm().id(), entry.member.vm());
                }
              }
              return new VmList(++listVersion, List.copyOf(vms.values()), List.of());
            });
    listeners.forEach(listener -> listener.vmListChanged(list));
  }

  private static Vm seed(SocketEndpoint endpoint) {
    return new Vm(
        new VmId(endpoint.toString()), endpoint, new FailureDomain("unknown"), VmState.LIVE);
  }

  /**
   * Takes any message of a VM for a sign of life.
   *
   * @param vm the sender
   */
  public void heard(VmId vm) {
    lock.run(
        () -> {
          @Nullable Entry entry = entries.get(vm);
          if (entry != null && !entry.reportedDown) {
            markAlive(entry);
          }
        });
  }

  /**
   * Returns the other live VMs of this VM's failure domain.
   *
   * @return their names
   */
  public List<VmId> nearPeers() {
    return lock.call(() -> liveIn(self.failureDomain()).stream().map(Vm::id).toList());
  }

  /**
   * Returns all other live VMs.
   *
   * @return their names
   */
  public List<VmId> allPeers() {
    return lock.call(
        () ->
            entries.values().stream()
                .filter(this::isLive)
                .map(entry -> entry.member.vm().id())
                .toList());
  }

  /**
   * Returns the live VMs of the fleet, this one included.
   *
   * @return the VMs
   */
  public List<Vm> liveVms() {
    return lock.call(
        () -> {
          List<Vm> vms = new ArrayList<>();
          vms.add(self);
          entries.values().stream()
              .filter(this::isLive)
              .forEach(entry -> vms.add(entry.member.vm()));
          return vms;
        });
  }

  /**
   * Returns the place of this VM in its failure domain's order for a task.
   *
   * @param task name of the task
   * @return 0 for the first
   */
  public int rank(String task) {
    return lock.call(
        () -> {
          List<Vm> vms = new ArrayList<>(liveIn(self.failureDomain()));
          vms.add(self);
          return Rendezvous.order(task, vms).indexOf(self);
        });
  }

  /**
   * Returns the number of VMs that may be running, cut off or not, this one included.
   *
   * @return VMs, at least 1
   */
  public int possibleVms() {
    return lock.call(
        () ->
            1
                + (int)
                    entries.values().stream()
                        .filter(entry -> entry.member.vm().state() == VmState.LIVE)
                        .count());
  }

  /** Announces the planned stop to all near VMs. */
  public void leave() {
    List<VmId> receivers = nearPeers();
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
