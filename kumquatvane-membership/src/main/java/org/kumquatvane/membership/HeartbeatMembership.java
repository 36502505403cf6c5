package org.kumquatvane.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.LogField;
import org.kumquatvane.core.OrderedEffects;
import org.kumquatvane.core.PeerDispatcher;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.internal.CandidateView;
import org.kumquatvane.membership.internal.PeerLinkState;
import org.kumquatvane.membership.internal.PromiseTracker;

/** Membership by heartbeats, reachability reports and promises (docs/design.md, 7.1). */
public final class HeartbeatMembership implements FleetMembership, VmListListener {
  /**
   * A gap of more than this many tick intervals between two ticks indicates a pause of the process.
   */
  private static final int PAUSE_TICKS = 2;

  /** Number of consecutive ticks on which a changed report is sent, since messages may be lost. */
  private static final int CHANGED_REPORT_TICKS = 3;

  /** Ticks after which an unchanged report is sent again, for VMs that have joined since. */
  private static final int REPORT_REPEAT_TICKS = 10;

  private final Vm self;
  private final MembershipSettings settings;
  private final VmScope scope;
  private final Supplier<ConfigurationVersions> configuration;
  private final PeerSender sender;
  private final Clock clock;
  private final Scheduler scheduler;
  private final EventLog eventLog;
  private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);
  private final OrderedEffects effects = new OrderedEffects();
  private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
  private final Map<VmId, PeerLinkState> peers = new HashMap<>();
  private final Set<VmId> departed = new HashSet<>();
  private final PromiseTracker promises;
  private long listVersion = Long.MIN_VALUE;
  private List<Vm> scoped;
  private int maximumVmCount;
  private Set<VmId> lastReportedUnreachable = Set.of();
  private long reportSequence;
  private int ticksSinceReportChange;
  private boolean departing;
  private boolean closed;
  private long announcedDigest = ViewDigest.NONE;
  private @Nullable Deadline scheduledEvaluation;
  private @Nullable CandidateView candidate;
  private boolean reachabilityChanged = true;

  /** Read without the lock, so that callers that hold any other lock can read the view. */
  private volatile Snapshot snapshot;

  /**
   * Creates a membership without a view; {@link #start} starts sending heartbeats.
   *
   * @param self this VM as its settings describe it
   * @param settings times of the protocol
   * @param scope selects the VMs that act together
   * @param configuration supplies the configuration versions for heartbeats; called outside the
   *     lock
   * @param sender sends messages to other VMs
   * @param clock clock of this VM
   * @param scheduler runs ticks
   * @param eventLog records changes of views
   */
  public HeartbeatMembership(
      Vm self,
      MembershipSettings settings,
      VmScope scope,
      Supplier<ConfigurationVersions> configuration,
      PeerSender sender,
      Clock clock,
      Scheduler scheduler,
      EventLog eventLog) {
    this.self = self;
    this.settings = settings;
    this.scope = scope;
    this.configuration = configuration;
    this.sender = sender;
    this.clock = clock;
    this.scheduler = scheduler;
    this.eventLog = eventLog;
    scoped = List.of(self);
    promises = new PromiseTracker(clock, self.id(), settings.promise());
    reportSequence = clock.epochMillis();
    snapshot = new Snapshot(null, scoped, clock.monotonicNanos(), clock.epochMillis(), 0);
  }

  /**
   * Registers the handlers of the messages of this module.
   *
   * @param dispatcher dispatches received messages
   */
  public void registerHandlers(PeerDispatcher dispatcher) {
    dispatcher.register(Heartbeat.class, this::handle);
    dispatcher.register(HeartbeatReply.class, this::handle);
    dispatcher.register(ReachabilityReport.class, this::handle);
    dispatcher.register(DepartureNotice.class, this::handle);
  }

  /** Starts the ticks. */
  public void start() {
    tick();
  }

  /** Stops the ticks without announcing a departure. */
  public void close() {
    lock.run(() -> closed = true);
  }

  /**
   * Announces the planned stop of this VM, after it has transferred its shares and records.
   * Afterwards it holds no view and makes no promises; each further tick repeats the announcement.
   */
  public void depart() {
    runLocked(
        () -> {
          long lastDigest = announcedDigest;
          departing = true;
          reachabilityChanged = true;
          promises.discardReceivedPromises();
          promises.setCandidate(null);
          sendToAll(new DepartureNotice(lastDigest));
        });
  }

  /**
   * Sets the maximum number of VM processes that run at the same time.
   *
   * <p>This is safe only if operators raise the maximum on all VMs before they start more VMs, and
   * stop VMs before they lower it.
   *
   * @param count the maximum in the document in force; 0 before the first document
   */
  public void setMaximumVmCount(int count) {
    runLocked(
        () -> {
          maximumVmCount = count;
          reachabilityChanged = true;
        });
  }

  @Override
  public void vmListChanged(VmList list) {
    runLocked(
        () -> {
          if (list.version() <= listVersion) {
            return;
          }
          listVersion = list.version();
          reachabilityChanged = true;
          List<Vm> selected = new ArrayList<>(scope.select(list.entryVms()));
          if (selected.stream().noneMatch(vm -> vm.id().equals(self.id()))) {
            selected.add(self);
          }
          selected.sort(Comparator.comparing(Vm::id));
          scoped = List.copyOf(selected);
          Set<VmId> names = new HashSet<>();
          scoped.forEach(vm -> names.add(vm.id()));
          peers.keySet().retainAll(names);
          departed.retainAll(names);
          for (Vm vm : scoped) {
            if (!vm.id().equals(self.id())) {
              peers.computeIfAbsent(vm.id(), id -> new PeerLinkState(settings));
            }
          }
        });
  }

  @Override
  public Vm self() {
    return self;
  }

  @Override
  public Optional<AgreedView> agreedView() {
    Snapshot current = snapshot;
    PromiseTracker.@Nullable ConfirmedView confirmed = current.confirmed;
    long nowNanos = clock.monotonicNanos();
    long nowMillis = clock.epochMillis();
    if (confirmed == null
        || nowNanos - confirmed.untilNanos() >= 0
        || nowMillis >= confirmed.untilEpochMillis()
        || isPause(nowNanos - current.tickNanos, nowMillis - current.tickEpochMillis)
        || confirmed.view().members().size() * 2 <= current.maximumVmCount) {
      return Optional.empty();
    }
    return Optional.of(toAgreedView(confirmed));
  }

  @Override
  public List<Vm> listedVms() {
    return snapshot.listed;
  }

  @Override
  public void addListener(MembershipListener listener) {
    listeners.add(listener);
  }

  @Override
  public boolean receivesHeartbeatsFrom(VmId vm) {
    return vm.equals(self.id()) || lock.call(() -> !departed.contains(vm) && isLinkUp(vm));
  }

  /**
   * Evaluates the reachability of a VM from the links of this VM and the reports of its reachable
   * peers.
   *
   * @param vm a listed VM
   * @return its condition
   */
  public PeerCondition condition(VmId vm) {
    return lock.call(() -> evaluateCondition(vm));
  }

  private PeerCondition evaluateCondition(VmId vm) {
    if (departed.contains(vm)) {
      return PeerCondition.DEPARTED;
    }
    Map<VmId, Set<VmId>> unreachable = unreachableByReporter();
    boolean reachedBySome = false;
    boolean unreachableFromSome = !unreachable.getOrDefault(vm, Set.of()).isEmpty();
    for (Map.Entry<VmId, Set<VmId>> report : unreachable.entrySet()) {
      if (!report.getKey().equals(vm)) {
        boolean reportedUnreachable = report.getValue().contains(vm);
        unreachableFromSome |= reportedUnreachable;
        reachedBySome |= !reportedUnreachable;
      }
    }
    if (!reachedBySome) {
      return PeerCondition.SILENT;
    }
    if (unreachableFromSome) {
      return PeerCondition.PARTLY_REACHABLE;
    }
    boolean leaving =
        scoped.stream()
            .anyMatch(listed -> listed.id().equals(vm) && listed.state() == VmState.LEAVING);
    return leaving ? PeerCondition.LEAVING : PeerCondition.REACHABLE;
  }

  private void handle(VmId from, Heartbeat heartbeat) {
    runLocked(
        () -> {
          PeerLinkState link = peers.get(from);
          if (link == null || departing) {
            return;
          }
          link.messageReceived(clock.monotonicNanos());
          long promised = promises.grantPromise(from, heartbeat.viewDigest());
          send(from, new HeartbeatReply(heartbeat.nonce(), promised));
          if (promised != ViewDigest.NONE && !promises.hasPromiseOf(from)) {
            sendHeartbeat(from, promises.latestNonce());
          }
          effects.add(
              () ->
                  listeners.forEach(
                      listener -> listener.heartbeatReceived(from, heartbeat.configuration())));
        });
  }

  private void handle(VmId from, HeartbeatReply reply) {
    runLocked(
        () -> {
          PeerLinkState link = peers.get(from);
          if (link != null && !departing) {
            link.messageReceived(clock.monotonicNanos());
            promises.recordPromise(from, reply.nonce(), reply.promisedDigest());
          }
        });
  }

  private void handle(VmId from, ReachabilityReport report) {
    runLocked(
        () -> {
          PeerLinkState link = peers.get(from);
          if (link != null) {
            reachabilityChanged |= link.recordReport(report.sequence(), report.unreachable());
          }
        });
  }

  private void handle(VmId from, DepartureNotice notice) {
    runLocked(
        () -> {
          if (peers.containsKey(from) && departed.add(from)) {
            reachabilityChanged = true;
            record("vm_departed", LogField.of("vm", from));
            effects.add(() -> listeners.forEach(listener -> listener.vmDeparted(from)));
          }
        });
  }

  private void tick() {
    runLocked(
        () -> {
          if (closed) {
            return;
          }
          updateLinkStates();
          if (departing) {
            sendToAll(new DepartureNotice(ViewDigest.NONE));
          } else {
            int nonce = promises.startRound();
            peers.keySet().forEach(peer -> sendHeartbeat(peer, nonce));
            sendReport();
          }
          snapshot = snapshot.withTickTime(clock);
          scheduler.schedule(Deadline.after(clock, settings.heartbeatInterval()), this::tick);
        });
  }

  /** Runs a decision under the lock, then its effects outside the lock. */
  private void runLocked(Runnable decision) {
    lock.run(
        () -> {
          detectPause();
          decision.run();
          evaluate();
        });
    effects.drain();
  }

  private void detectPause() {
    long nowNanos = clock.monotonicNanos();
    Snapshot last = snapshot;
    if (!isPause(nowNanos - last.tickNanos, clock.epochMillis() - last.tickEpochMillis)) {
      return;
    }
    promises.discardReceivedPromises();
    peers.values().forEach(link -> link.restartSilenceTimeout(nowNanos));
    snapshot = snapshot.withTickTime(clock);
    record("resumed_after_pause", LogField.of("vm", self.id()));
    effects.add(() -> listeners.forEach(MembershipListener::resumedAfterPause));
  }

  private boolean isPause(long elapsedNanos, long elapsedMillis) {
    Duration limit = settings.heartbeatInterval().multipliedBy(PAUSE_TICKS);
    return elapsedNanos > limit.toNanos() || elapsedMillis > limit.toMillis();
  }

  private void evaluate() {
    if (reachabilityChanged) {
      reachabilityChanged = false;
      candidate = departing ? null : computeCandidate();
    }
    if (promises.setCandidate(candidate)) {
      int nonce = promises.startRound();
      peers.keySet().forEach(peer -> sendHeartbeat(peer, nonce));
    } else if (candidate != null && candidate.digest() != promises.promisedDigest()) {
      evaluateAt(promises.nextChangeAllowedAt());
    }
    publish();
  }

  private @Nullable CandidateView computeCandidate() {
    List<Vm> present = scoped.stream().filter(vm -> !departed.contains(vm.id())).toList();
    CandidateView reduced = CandidateView.reduce(present, unreachableByReporter());
    boolean majority = maximumVmCount > 0 && reduced.members().size() * 2 > maximumVmCount;
    return majority && reduced.contains(self.id()) ? reduced : null;
  }

  private void evaluateAt(Deadline deadline) {
    Deadline scheduled = scheduledEvaluation;
    if (scheduled == null || scheduled.isReached(clock) || deadline.compareTo(scheduled) < 0) {
      scheduledEvaluation = deadline;
      scheduler.schedule(deadline, () -> runLocked(() -> scheduledEvaluation = null));
    }
  }

  private void publish() {
    PromiseTracker.@Nullable ConfirmedView confirmed = promises.confirmedView().orElse(null);
    if (confirmed != null && confirmed.view().members().size() * 2 <= maximumVmCount) {
      confirmed = null;
    }
    snapshot =
        new Snapshot(
            confirmed, scoped, snapshot.tickNanos, snapshot.tickEpochMillis, maximumVmCount);
    long digest = confirmed == null ? ViewDigest.NONE : confirmed.view().digest();
    if (digest == announcedDigest) {
      return;
    }
    announcedDigest = digest;
    if (confirmed == null) {
      record("view_lost", LogField.of("vm", self.id()));
      effects.add(() -> listeners.forEach(MembershipListener::viewLost));
    } else {
      AgreedView view = toAgreedView(confirmed);
      record(
          "view_agreed", LogField.of("vm", self.id()), LogField.of("size", view.members().size()));
      effects.add(() -> listeners.forEach(listener -> listener.viewAgreed(view)));
    }
  }

  /**
   * Updates the link states once per tick; between ticks, only reports, VM lists and departures
   * change the reachability.
   */
  private void updateLinkStates() {
    long nowNanos = clock.monotonicNanos();
    peers.values().forEach(link -> link.updateState(nowNanos));
    reachabilityChanged = true;
  }

  private void sendReport() {
    Set<VmId> unreachable = locallyUnreachable();
    if (!unreachable.equals(lastReportedUnreachable)) {
      lastReportedUnreachable = unreachable;
      ticksSinceReportChange = 0;
    }
    if (ticksSinceReportChange < CHANGED_REPORT_TICKS
        || ticksSinceReportChange % REPORT_REPEAT_TICKS == 0) {
      reportSequence++;
      sendToAll(new ReachabilityReport(reportSequence, unreachable));
    }
    ticksSinceReportChange++;
  }

  private Map<VmId, Set<VmId>> unreachableByReporter() {
    Map<VmId, Set<VmId>> unreachable = new HashMap<>();
    unreachable.put(self.id(), locallyUnreachable());
    peers.forEach(
        (id, link) -> {
          // A report of an unreachable VM is out of date.
          if (link.isUp() && !departed.contains(id)) {
            unreachable.put(id, link.reportedUnreachable());
          }
        });
    return unreachable;
  }

  private Set<VmId> locallyUnreachable() {
    Set<VmId> unreachable = new HashSet<>();
    for (Vm vm : scoped) {
      if (!vm.id().equals(self.id()) && !departed.contains(vm.id()) && !isLinkUp(vm.id())) {
        unreachable.add(vm.id());
      }
    }
    return unreachable;
  }

  private boolean isLinkUp(VmId vm) {
    PeerLinkState link = peers.get(vm);
    return link != null && link.isUp();
  }

  private void sendToAll(PeerMessage message) {
    peers.keySet().forEach(peer -> send(peer, message));
  }

  private void send(VmId destination, PeerMessage message) {
    effects.add(() -> sender.send(destination, message));
  }

  private void sendHeartbeat(VmId destination, int nonce) {
    long digest = promises.promisedDigest();
    effects.add(() -> sender.send(destination, new Heartbeat(nonce, digest, configuration.get())));
  }

  private void record(String event, LogField... fields) {
    effects.add(() -> eventLog.record(EventLog.Level.INFO, event, fields));
  }

  private static AgreedView toAgreedView(PromiseTracker.ConfirmedView confirmed) {
    return new AgreedView(
        confirmed.view().digest(),
        confirmed.view().members(),
        new Deadline(confirmed.untilNanos()));
  }

  private record Snapshot(
      PromiseTracker.@Nullable ConfirmedView confirmed,
      List<Vm> listed,
      long tickNanos,
      long tickEpochMillis,
      int maximumVmCount) {
    Snapshot withTickTime(Clock clock) {
      return new Snapshot(
          confirmed, listed, clock.monotonicNanos(), clock.epochMillis(), maximumVmCount);
    }
  }
}
