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
import org.kumquatvane.membership.internal.PeerEvidence;
import org.kumquatvane.membership.internal.PromiseBook;

/** Membership by heartbeats, reachability reports and promises (docs/design.md, 7.1). */
public final class HeartbeatMembership implements FleetMembership, VmListListener {
  /** A clock that jumps by more than this many tick intervals shows a pause of the process. */
  private static final int PAUSE_TICKS = 2;

  /** A changed report is sent on this many ticks in succession, since messages may be lost. */
  private static final int CHANGED_REPORT_TICKS = 3;

  /** An unchanged report is repeated after this many ticks, for VMs that joined since. */
  private static final int REPORT_REPEAT_TICKS = 10;

  private final Vm self;
  private final MembershipSettings settings;
  private final VmScope scope;
  private final Supplier<ConfigurationMark> configuration;
  private final PeerSender sender;
  private final Clock clock;
  private final Scheduler scheduler;
  private final EventLog eventLog;
  private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);
  private final OrderedEffects effects = new OrderedEffects();
  private final List<MembershipListener> listeners = new CopyOnWriteArrayList<>();
  private final Map<VmId, PeerEvidence> peers = new HashMap<>();
  private final Set<VmId> departed = new HashSet<>();
  private final PromiseBook promises;
  private long listVersion = Long.MIN_VALUE;
  private List<Vm> scoped;
  private int maximumVmCount;
  private Set<VmId> reportedSilent = Set.of();
  private long reportSequence;
  private int ticksSinceReportChange;
  private boolean departing;
  private boolean closed;
  private long announcedDigest = ViewDigest.NONE;
  private @Nullable Deadline scheduledEvaluation;
  private @Nullable CandidateView candidate;
  private boolean evidenceChanged = true;

  /** Read without the lock, so that requests may ask for the view while they hold any lock. */
  private volatile Snapshot snapshot;

  /**
   * Creates membership that holds no view; {@link #start} begins to send heartbeats.
   *
   * @param self this VM as its settings describe it
   * @param settings times of the protocol
   * @param scope selects the VMs that act together
   * @param configuration tells what is in force, for the heartbeats; called outside the lock
   * @param sender sends to other VMs
   * @param clock clock of this VM
   * @param scheduler runs ticks
   * @param eventLog receives changes of views
   */
  public HeartbeatMembership(
      Vm self,
      MembershipSettings settings,
      VmScope scope,
      Supplier<ConfigurationMark> configuration,
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
    promises = new PromiseBook(clock, self.id(), settings.promise());
    reportSequence = clock.epochMillis();
    snapshot = new Snapshot(null, scoped, clock.monotonicNanos(), clock.epochMillis(), 0);
  }

  /**
   * Registers the handlers of the messages of this module.
   *
   * @param dispatcher hands over received messages
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

  /** Ends the ticks without an announcement. */
  public void close() {
    lock.run(() -> closed = true);
  }

  /**
   * Announces that this VM stops, once it has handed over its shares and records. It holds no view
   * and gives no promise afterwards; each further tick repeats the announcement.
   */
  public void depart() {
    decide(
        () -> {
          long lastDigest = announcedDigest;
          departing = true;
          evidenceChanged = true;
          promises.dropReceived();
          promises.want(null);
          sendToAll(new DepartureNotice(lastDigest));
        });
  }

  /**
   * Sets the bound on VM processes alive at once.
   *
   * <p>Safe only if operators raise the bound everywhere before they start more VMs, and stop VMs
   * before they lower it.
   *
   * @param count the bound of the document in force; 0 before the first document
   */
  public void setMaximumVmCount(int count) {
    decide(
        () -> {
          maximumVmCount = count;
          evidenceChanged = true;
        });
  }

  @Override
  public void vmListChanged(VmList list) {
    decide(
        () -> {
          if (list.version() <= listVersion) {
            return;
          }
          listVersion = list.version();
          evidenceChanged = true;
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
              peers.computeIfAbsent(vm.id(), id -> new PeerEvidence(settings));
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
    PromiseBook.@Nullable Held held = current.held;
    long nowNanos = clock.monotonicNanos();
    long nowMillis = clock.epochMillis();
    if (held == null
        || nowNanos - held.untilNanos() >= 0
        || nowMillis >= held.untilEpochMillis()
        || isPause(nowNanos - current.tickNanos, nowMillis - current.tickEpochMillis)
        || held.view().members().size() * 2 <= current.maximumVmCount) {
      return Optional.empty();
    }
    return Optional.of(toAgreedView(held));
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
  public boolean hears(VmId vm) {
    return vm.equals(self.id()) || lock.call(() -> !departed.contains(vm) && isIntact(vm));
  }

  /**
   * Judges a VM by the evidence of this VM and of the peers that it hears.
   *
   * @param vm a listed VM
   * @return its condition
   */
  public PeerCondition condition(VmId vm) {
    return lock.call(() -> judge(vm));
  }

  private PeerCondition judge(VmId vm) {
    if (departed.contains(vm)) {
      return PeerCondition.DEPARTED;
    }
    Map<VmId, Set<VmId>> unheard = unheardByReporter();
    boolean heardBySome = false;
    boolean missedBySome = !unheard.getOrDefault(vm, Set.of()).isEmpty();
    for (Map.Entry<VmId, Set<VmId>> report : unheard.entrySet()) {
      if (!report.getKey().equals(vm)) {
        boolean missed = report.getValue().contains(vm);
        missedBySome |= missed;
        heardBySome |= !missed;
      }
    }
    if (!heardBySome) {
      return PeerCondition.SILENT;
    }
    if (missedBySome) {
      return PeerCondition.PARTLY_REACHABLE;
    }
    boolean leaving =
        scoped.stream()
            .anyMatch(listed -> listed.id().equals(vm) && listed.state() == VmState.LEAVING);
    return leaving ? PeerCondition.LEAVING : PeerCondition.REACHABLE;
  }

  private void handle(VmId from, Heartbeat heartbeat) {
    decide(
        () -> {
          PeerEvidence evidence = peers.get(from);
          if (evidence == null || departing) {
            return;
          }
          evidence.heard(clock.monotonicNanos());
          long promised = promises.promise(from, heartbeat.viewDigest());
          send(from, new HeartbeatReply(heartbeat.nonce(), promised));
          if (promised != ViewDigest.NONE && !promises.hasPromiseOf(from)) {
            sendHeartbeat(from, promises.latestNonce());
          }
          effects.add(
              () ->
                  listeners.forEach(
                      listener -> listener.peerHeard(from, heartbeat.configuration())));
        });
  }

  private void handle(VmId from, HeartbeatReply reply) {
    decide(
        () -> {
          PeerEvidence evidence = peers.get(from);
          if (evidence != null && !departing) {
            evidence.heard(clock.monotonicNanos());
            promises.receive(from, reply.nonce(), reply.promisedDigest());
          }
        });
  }

  private void handle(VmId from, ReachabilityReport report) {
    decide(
        () -> {
          PeerEvidence evidence = peers.get(from);
          if (evidence != null) {
            evidenceChanged |= evidence.report(report.sequence(), report.silent());
          }
        });
  }

  private void handle(VmId from, DepartureNotice notice) {
    decide(
        () -> {
          if (peers.containsKey(from) && departed.add(from)) {
            evidenceChanged = true;
            record("vm_departed", LogField.of("vm", from));
            effects.add(() -> listeners.forEach(listener -> listener.vmDeparted(from)));
          }
        });
  }

  private void tick() {
    decide(
        () -> {
          if (closed) {
            return;
          }
          judgeLinks();
          if (departing) {
            sendToAll(new DepartureNotice(ViewDigest.NONE));
          } else {
            int nonce = promises.startRound();
            peers.keySet().forEach(peer -> sendHeartbeat(peer, nonce));
            sendReport();
          }
          snapshot = snapshot.ticked(clock);
          scheduler.schedule(Deadline.after(clock, settings.heartbeatInterval()), this::tick);
        });
  }

  /** Runs a decision under the lock, then what follows from it outside the lock. */
  private void decide(Runnable decision) {
    lock.run(
        () -> {
          noticePause();
          decision.run();
          evaluate();
        });
    effects.drain();
  }

  private void noticePause() {
    long nowNanos = clock.monotonicNanos();
    Snapshot last = snapshot;
    if (!isPause(nowNanos - last.tickNanos, clock.epochMillis() - last.tickEpochMillis)) {
      return;
    }
    promises.dropReceived();
    peers.values().forEach(evidence -> evidence.excuseSilence(nowNanos));
    snapshot = snapshot.ticked(clock);
    record("resumed_after_pause", LogField.of("vm", self.id()));
    effects.add(() -> listeners.forEach(MembershipListener::resumedAfterPause));
  }

  private boolean isPause(long elapsedNanos, long elapsedMillis) {
    Duration limit = settings.heartbeatInterval().multipliedBy(PAUSE_TICKS);
    return elapsedNanos > limit.toNanos() || elapsedMillis > limit.toMillis();
  }

  private void evaluate() {
    if (evidenceChanged) {
      evidenceChanged = false;
      candidate = departing ? null : computeCandidate();
    }
    if (promises.want(candidate)) {
      int nonce = promises.startRound();
      peers.keySet().forEach(peer -> sendHeartbeat(peer, nonce));
    } else if (candidate != null && candidate.digest() != promises.promisedDigest()) {
      evaluateAt(promises.freeAt());
    }
    publish();
  }

  private @Nullable CandidateView computeCandidate() {
    List<Vm> present = scoped.stream().filter(vm -> !departed.contains(vm.id())).toList();
    CandidateView reduced = CandidateView.reduce(present, unheardByReporter());
    boolean majority = maximumVmCount > 0 && reduced.members().size() * 2 > maximumVmCount;
    return majority && reduced.contains(self.id()) ? reduced : null;
  }

  private void evaluateAt(Deadline deadline) {
    Deadline scheduled = scheduledEvaluation;
    if (scheduled == null || scheduled.isReached(clock) || deadline.compareTo(scheduled) < 0) {
      scheduledEvaluation = deadline;
      scheduler.schedule(deadline, () -> decide(() -> scheduledEvaluation = null));
    }
  }

  private void publish() {
    PromiseBook.@Nullable Held held = promises.held().orElse(null);
    if (held != null && held.view().members().size() * 2 <= maximumVmCount) {
      held = null;
    }
    snapshot =
        new Snapshot(held, scoped, snapshot.tickNanos, snapshot.tickEpochMillis, maximumVmCount);
    long digest = held == null ? ViewDigest.NONE : held.view().digest();
    if (digest == announcedDigest) {
      return;
    }
    announcedDigest = digest;
    if (held == null) {
      record("view_lost", LogField.of("vm", self.id()));
      effects.add(() -> listeners.forEach(MembershipListener::viewLost));
    } else {
      AgreedView view = toAgreedView(held);
      record(
          "view_agreed", LogField.of("vm", self.id()), LogField.of("size", view.members().size()));
      effects.add(() -> listeners.forEach(listener -> listener.viewAgreed(view)));
    }
  }

  /** Judged once a tick; between ticks only reports, lists and departures change the evidence. */
  private void judgeLinks() {
    long nowNanos = clock.monotonicNanos();
    peers.values().forEach(evidence -> evidence.evaluate(nowNanos));
    evidenceChanged = true;
  }

  private void sendReport() {
    Set<VmId> silent = unheardBySelf();
    if (!silent.equals(reportedSilent)) {
      reportedSilent = silent;
      ticksSinceReportChange = 0;
    }
    if (ticksSinceReportChange < CHANGED_REPORT_TICKS
        || ticksSinceReportChange % REPORT_REPEAT_TICKS == 0) {
      reportSequence++;
      sendToAll(new ReachabilityReport(reportSequence, silent));
    }
    ticksSinceReportChange++;
  }

  private Map<VmId, Set<VmId>> unheardByReporter() {
    Map<VmId, Set<VmId>> unheard = new HashMap<>();
    unheard.put(self.id(), unheardBySelf());
    peers.forEach(
        (id, evidence) -> {
          // The report of a VM that is not heard is out of date.
          if (evidence.isIntact() && !departed.contains(id)) {
            unheard.put(id, evidence.silent());
          }
        });
    return unheard;
  }

  private Set<VmId> unheardBySelf() {
    Set<VmId> silent = new HashSet<>();
    for (Vm vm : scoped) {
      if (!vm.id().equals(self.id()) && !departed.contains(vm.id()) && !isIntact(vm.id())) {
        silent.add(vm.id());
      }
    }
    return silent;
  }

  private boolean isIntact(VmId vm) {
    PeerEvidence evidence = peers.get(vm);
    return evidence != null && evidence.isIntact();
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

  private static AgreedView toAgreedView(PromiseBook.Held held) {
    return new AgreedView(
        held.view().digest(), held.view().members(), new Deadline(held.untilNanos()));
  }

  private record Snapshot(
      PromiseBook.@Nullable Held held,
      List<Vm> listed,
      long tickNanos,
      long tickEpochMillis,
      int maximumVmCount) {
    Snapshot ticked(Clock clock) {
      return new Snapshot(
          held, listed, clock.monotonicNanos(), clock.epochMillis(), maximumVmCount);
    }
  }
}
