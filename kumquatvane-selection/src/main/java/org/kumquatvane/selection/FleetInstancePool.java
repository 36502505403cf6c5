package org.kumquatvane.selection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.PeerMessageHandler;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.core.VmId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.document.Service;
import org.kumquatvane.ejection.AttemptOutcome;
import org.kumquatvane.ejection.Eligibility;
import org.kumquatvane.ejection.InstanceHealth;
import org.kumquatvane.selection.internal.ActivityMessages;
import org.kumquatvane.selection.internal.InstanceState;
import org.kumquatvane.selection.internal.PeerReports;
import org.kumquatvane.selection.internal.ServiceState;
import org.kumquatvane.selection.internal.SubsetAssignment;

/**
 * Instance pool that shares attempts in flight and their outcomes between VMs as they happen.
 *
 * <p>A single VM sends an instance only one request every few seconds, too few to detect a failure
 * period of a few seconds in time. With the attempts of all VMs that the instance is assigned to,
 * including those that wait unusually long, an instance is suspected after its first few failures,
 * and no instance gets more requests than it has slots. No instance is ejected permanently: a
 * suspected one is avoided while a better one has a free slot, and retryable requests detect its
 * recovery.
 */
public final class FleetInstancePool
    implements InstancePool,
        InstanceHealth,
        DocumentListener,
        PeerMessageHandler<InstanceActivity> {
  /**
   * Changes within this time are sent in one message if other VMs need them at once: outcomes, and
   * attempts at instances that are half full. Short compared to the fastest requests.
   */
  private static final Duration URGENT_COALESCING_DELAY = Duration.ofMillis(10);

  /**
   * Time within which the start of another attempt is sent, usually with an outcome. Peers use it
   * as evidence only once the attempt takes unusually long, and each message costs every VM of the
   * domain processor time.
   */
  private static final Duration COALESCING_DELAY = Duration.ofMillis(200);

  /** Interval at which attempts in flight are sent again, in case a message was lost. */
  private static final Duration RESEND_INTERVAL = Duration.ofMillis(400);

  /**
   * Time without a message after which the attempts of a VM expire; allows for two lost messages.
   */
  private static final Duration REPORT_LIFETIME = Duration.ofMillis(1_200);

  /** Time for which an instance is not selected after it shed a request: a typical service time. */
  private static final Duration SHED_PAUSE = Duration.ofMillis(100);

  /** Failure probability above which the status shows an instance as on trial. */
  private static final double SUSPECTED_PROBABILITY = 0.5;

  private static final double NANOS_PER_MILLI = 1e6;

  private final RankedLock lock = new RankedLock(LockRank.SELECTION);
  private final Clock clock;
  private final Scheduler scheduler;
  private final UniformRandomProvider random;
  private final @Nullable FailureDomain ownDomain;
  private final Supplier<List<VmId>> peers;
  private final PeerSender sender;
  private final Consumer<ServiceName> capacityListener;
  private final Map<ServiceName, ServiceState> services = new HashMap<>();
  private final Map<InstanceId, ServiceName> serviceOf = new HashMap<>();
  private final PeerReports peerReports;
  private final SubsetAssignment subsets;
  private final ActivityMessages messages;
  private final List<ActivityMessages.Addressed<InstanceActivity.Outcome>> outcomes =
      new ArrayList<>();
  private @Nullable Deadline nextSend;
  private long sequence;

  /**
   * Creates a pool without instances.
   *
   * @param self this VM
   * @param clock clock of the deadlines
   * @param scheduler sends the messages
   * @param random seeded source that breaks ties, used under the pool's lock only
   * @param ownDomain failure domain of this VM, or null if it is unknown
   * @param peers the other VMs of the failure domain in a stable order; called outside the lock
   * @param sender sends messages
   * @param capacityListener called outside the lock when a slot may have become free
   * @param firstSequence sequence number of the first message; the wall-clock time in milliseconds,
   *     so that it exceeds the numbers of an earlier process at the same address
   */
  public FleetInstancePool(
      VmId self,
      Clock clock,
      Scheduler scheduler,
      UniformRandomProvider random,
      @Nullable FailureDomain ownDomain,
      Supplier<List<VmId>> peers,
      PeerSender sender,
      Consumer<ServiceName> capacityListener,
      long firstSequence) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
    this.ownDomain = ownDomain;
    this.peers = peers;
    this.sender = sender;
    this.capacityListener = capacityListener;
    sequence = firstSequence;
    peerReports = new PeerReports(clock, REPORT_LIFETIME);
    subsets = new SubsetAssignment(self);
    messages = new ActivityMessages(self);
  }

  @Override
  public void documentInForce(Document document) {
    lock.run(
        () -> {
          for (Service service : document.services()) {
            state(service.name()).setDefaultSlots(Math.max(1, service.capacity().slots()));
          }
        });
  }

  @Override
  public void update(Collection<Instance> instances) {
    Map<ServiceName, List<Instance>> byService =
        instances.stream().collect(Collectors.groupingBy(Instance::service));
    lock.run(
        () -> {
          byService.keySet().forEach(this::state);
          services.forEach((name, state) -> state.update(byService.getOrDefault(name, List.of())));
          serviceOf.clear();
          instances.forEach(instance -> serviceOf.put(instance.id(), instance.service()));
        });
    byService.keySet().forEach(capacityListener);
  }

  @Override
  public Optional<Reservation> reserve(ServiceName service, Set<InstanceId> excluded) {
    return reserve(
        service, new SlotRequirements(excluded, false, new Deadline(clock.monotonicNanos())));
  }

  @Override
  public Optional<Reservation> reserve(ServiceName service, SlotRequirements requirements) {
    return lock.call(
        () -> {
          ServiceState instances = state(service);
          InstanceState chosen = instances.choose(requirements);
          if (chosen == null) {
            return Optional.empty();
          }
          Reservation reserved =
              new Reservation(
                  chosen.instance(), false, chosen.startAttempt(), chosen.latestSnapshot());
          scheduleActivity(instances.isHalfFull(chosen));
          return Optional.of(reserved);
        });
  }

  @Override
  public void release(Reservation reservation) {
    release(reservation, null);
  }

  @Override
  public void releaseShed(Reservation reservation) {
    release(reservation, Deadline.after(clock, SHED_PAUSE));
  }

  private void release(Reservation reservation, @Nullable Deadline pausedUntil) {
    lock.run(
        () -> {
          InstanceState state = findState(reservation.instance().id());
          if (state != null) {
            boolean wasHalfFull = state(state.instance().service()).isHalfFull(state);
            state.endAttempt(reservation.startedNanos());
            if (pausedUntil != null) {
              state.pauseUntil(pausedUntil);
            }
            scheduleActivity(wasHalfFull);
          }
        });
  }

  @Override
  public void recordOutcome(ServiceName service, InstanceId instance, AttemptOutcome observation) {
    long millis = observation.latency().toMillis();
    lock.run(
        () -> {
          InstanceState state = findState(instance);
          if (state != null) {
            state.recordOwnOutcome(observation.kind(), (double) millis);
          }
          if (state != null && outcomes.size() < InstanceActivity.MAXIMUM_ENTRIES) {
            outcomes.add(
                new ActivityMessages.Addressed<>(
                    new InstanceActivity.Outcome(instance, observation.kind(), millis),
                    state(service).assignedVms(state)));
            scheduleActivity(true);
          }
        });
  }

  @Override
  public Eligibility eligibility(ServiceName service, InstanceId instance) {
    return lock.call(
        () -> {
          InstanceState state = findState(instance);
          return state != null && state.failureProbability() > SUSPECTED_PROBABILITY
              ? Eligibility.TRIAL
              : Eligibility.ELIGIBLE;
        });
  }

  @Override
  public boolean hasInstance(ServiceName service) {
    return lock.call(() -> state(service).hasInstance());
  }

  @Override
  public boolean markLeaving(ServiceName service, InstanceId instance) {
    return lock.call(() -> state(service).markLeaving(instance));
  }

  @Override
  public void markMisdirected(ServiceName service, InstanceId instance) {
    lock.run(
        () -> {
          InstanceState state = findState(instance);
          if (state != null) {
            state.markMisdirected();
          }
        });
  }

  @Override
  public void avoidUntil(ServiceName service, InstanceId instance, Deadline until) {
    lock.run(
        () -> {
          InstanceState state = findState(instance);
          if (state != null) {
            state.pauseUntil(until);
          }
        });
  }

  @Override
  public List<InstanceStatus> status() {
    List<InstanceStatus> statuses = new ArrayList<>();
    lock.run(
        () ->
            services.values().stream()
                .flatMap(service -> service.instanceStates().stream())
                .forEach(state -> statuses.add(statusOf(state))));
    statuses.sort(
        Comparator.comparing((InstanceStatus status) -> status.instance().service())
            .thenComparing(status -> status.instance().id()));
    return statuses;
  }

  private static InstanceStatus statusOf(InstanceState state) {
    Eligibility eligibility =
        state.failureProbability() > SUSPECTED_PROBABILITY
            ? Eligibility.TRIAL
            : Eligibility.ELIGIBLE;
    return new InstanceStatus(state.instance(), state.slotsInUse(), eligibility, state.isLeaving());
  }

  /**
   * Returns the probability that a healthy instance responds within a given time.
   *
   * @param service the service
   * @param latency the given time
   * @return 0 to 1
   */
  public double responseProbability(ServiceName service, Duration latency) {
    return lock.call(() -> state(service).responseProbability(latency.toNanos() / NANOS_PER_MILLI));
  }

  @Override
  public void handle(VmId from, InstanceActivity message) {
    Set<ServiceName> affected = new HashSet<>();
    lock.run(
        () -> {
          if (peerReports.isNewer(from, message.sequence())) {
            Set<InstanceId> running = peerReports.apply(from, message, this::findState);
            running.forEach(instance -> addServiceOf(affected, instance));
            for (InstanceActivity.Outcome outcome : message.outcomes()) {
              InstanceState state = findState(outcome.instance());
              if (state != null) {
                state.recordPeerOutcome(from, outcome.kind(), (double) outcome.latencyMillis());
                addServiceOf(affected, outcome.instance());
              }
            }
          }
        });
    affected.forEach(capacityListener);
  }

  private void addServiceOf(Set<ServiceName> affected, InstanceId instance) {
    ServiceName service = serviceOf.get(instance);
    if (service != null) {
      affected.add(service);
    }
  }

  /** Schedules the next message unless one is due earlier; called under the lock. */
  private void scheduleActivity(boolean isUrgent) {
    Deadline due = Deadline.after(clock, isUrgent ? URGENT_COALESCING_DELAY : COALESCING_DELAY);
    Deadline planned = nextSend;
    if (planned == null || due.compareTo(planned) < 0) {
      nextSend = due;
      scheduler.schedule(due, () -> sendActivity(due));
    }
  }

  private void sendActivity(Deadline due) {
    List<VmId> localPeers = peers.get();
    Map<VmId, InstanceActivity> collected = new LinkedHashMap<>();
    lock.run(
        () -> {
          if (!due.equals(nextSend)) {
            // An earlier message has replaced this one.
            return;
          }
          nextSend = null;
          subsets.setPeers(localPeers);
          collected.putAll(messages.build(++sequence, running(), outcomes));
          outcomes.clear();
        });
    collected.forEach(sender::send);
    if (collected.values().stream().anyMatch(message -> !message.running().isEmpty())) {
      long sent = collected.values().iterator().next().sequence();
      scheduler.schedule(
          Deadline.after(clock, RESEND_INTERVAL), () -> resendUnlessSuperseded(sent));
    }
  }

  private void resendUnlessSuperseded(long sent) {
    lock.run(
        () -> {
          if (sequence == sent) {
            scheduleActivity(true);
          }
        });
  }

  private List<ActivityMessages.Addressed<InstanceActivity.Running>> running() {
    long now = clock.monotonicNanos();
    List<ActivityMessages.Addressed<InstanceActivity.Running>> running = new ArrayList<>();
    for (ServiceState service : services.values()) {
      for (InstanceState state : service.instanceStates()) {
        for (long started : state.ownStartTimes()) {
          running.add(
              new ActivityMessages.Addressed<>(
                  new InstanceActivity.Running(
                      state.instance().id(), TimeUnit.NANOSECONDS.toMillis(now - started)),
                  service.assignedVms(state)));
        }
      }
    }
    return running;
  }

  private @Nullable InstanceState findState(InstanceId instance) {
    ServiceName service = serviceOf.get(instance);
    return service == null ? null : state(service).find(instance);
  }

  private ServiceState state(ServiceName service) {
    return services.computeIfAbsent(
        service, unused -> new ServiceState(clock, random, ownDomain, subsets));
  }
}
