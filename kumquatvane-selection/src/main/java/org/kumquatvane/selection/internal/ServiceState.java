package org.kumquatvane.selection.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.FailureDomain;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.VmId;
import org.kumquatvane.selection.Instance;
import org.kumquatvane.selection.SlotRequirements;

/** The instances of one service. Guarded by the pool's lock. */
public final class ServiceState {
  /**
   * Cost of an instance whose slots are all in use, relative to a failed request. It scales with
   * the share of slots in use: some instances slow down when nearly full, and the attempts of peers
   * may be out of date.
   */
  private static final double LOAD_COST = 0.12;

  /** Cost of an instance in another failure domain: cross-domain traffic and higher latency. */
  private static final double REMOTE_COST = 0.1;

  /** Cost of an instance that is warming up, which runs at about half speed. */
  private static final double COLD_COST = 0.15;

  /**
   * Cost of an instance that is not assigned to this VM: the attempts of its VMs are unknown here,
   * and a new connection is likely to be needed.
   */
  private static final double UNASSIGNED_COST = 0.15;

  /**
   * Cost of an instance to which a connection must be opened. It is below that of another failure
   * domain and below the bonus for exploration, so that no instance remains unobserved.
   */
  private static final double CONNECTION_COST = 0.04;

  /** Random cost that breaks ties, so that VMs do not all select the same instance. */
  private static final double TIE_BREAK_JITTER = 0.04;

  /** Failure probability above which a request that cannot be retried waits for a better slot. */
  private static final double MAXIMUM_ACCEPTED_RISK = 0.5;

  /**
   * Weight of the failure probability for a retryable request: a failure costs time and a retry,
   * but not the response.
   */
  private static final double RETRYABLE_RISK_WEIGHT = 0.35;

  /**
   * Cost reduction for retryable requests at instances without recent responses: the outcome tells
   * all VMs whether requests that cannot be retried may be sent there again.
   */
  private static final double EXPLORATION_BONUS = 0.12;

  private static final double STALE_EVIDENCE_SECONDS = 0.7;

  /** Far more than the instances of a service that leave while VMs still hear of them. */
  private static final int MAXIMUM_ANNOUNCED = 1_000;

  /** Failure probability above which exploration is too likely to fail to be informative. */
  private static final double MAXIMUM_EXPLORED_RISK = 0.45;

  private final Clock clock;
  private final UniformRandomProvider random;
  private final @Nullable FailureDomain ownDomain;
  private final SubsetAssignment subsets;
  private final ServiceLatency latency = new ServiceLatency();
  private final Map<InstanceId, InstanceState> instances = new HashMap<>();

  /** Instances that have announced their leaving, also those that are not listed at present. */
  private final Map<InstanceId, Instance> announced = new BoundedMap<>(MAXIMUM_ANNOUNCED);

  private List<InstanceState> instanceStates = List.of();
  private int defaultSlots = 1;
  private int localInstances;

  /**
   * Creates a service without instances.
   *
   * @param clock clock of the deadlines
   * @param random seeded source that breaks ties
   * @param ownDomain failure domain of this VM, or null if it is unknown
   * @param subsets assignment of instances to VMs
   */
  public ServiceState(
      Clock clock,
      UniformRandomProvider random,
      @Nullable FailureDomain ownDomain,
      SubsetAssignment subsets) {
    this.subsets = subsets;
    this.clock = clock;
    this.random = random;
    this.ownDomain = ownDomain;
  }

  /**
   * Sets the slots of instances that do not specify any.
   *
   * @param slots slots of an instance, at least 1
   */
  public void setDefaultSlots(int slots) {
    defaultSlots = slots;
  }

  /**
   * Replaces the instances.
   *
   * @param newest all instances of the service
   */
  public void update(Collection<Instance> newest) {
    Set<InstanceId> present = new HashSet<>();
    for (Instance instance : newest) {
      present.add(instance.id());
      InstanceState known = instances.get(instance.id());
      if (known == null || !isSameProcess(known.instance(), instance)) {
        instances.put(instance.id(), newState(instance));
      } else {
        known.setInstance(instance);
      }
    }
    instances.keySet().retainAll(present);
    instanceStates = new ArrayList<>(instances.values());
    localInstances = (int) instanceStates.stream().filter(this::isLocal).count();
  }

  private InstanceState newState(Instance instance) {
    InstanceState created = new InstanceState(instance, latency, clock);
    Instance leaving = announced.get(instance.id());
    if (leaving != null && isSameProcess(leaving, instance)) {
      created.markLeaving();
    }
    return created;
  }

  /**
   * Marks an instance as leaving because it has announced so itself. The mark outlasts a time in
   * which the instance is not listed.
   *
   * @param id its name
   * @return whether it was not marked before
   */
  public boolean markLeaving(InstanceId id) {
    InstanceState state = instances.get(id);
    if (state == null) {
      return false;
    }
    announced.put(id, state.instance());
    return state.markLeaving();
  }

  private static boolean isSameProcess(Instance known, Instance newest) {
    return known.endpoint().equals(newest.endpoint())
        && known.incarnation() == newest.incarnation();
  }

  /**
   * Returns an instance.
   *
   * @param id its name
   * @return its state, or null if it is not listed
   */
  public @Nullable InstanceState find(InstanceId id) {
    return instances.get(id);
  }

  /**
   * Returns the state of all instances.
   *
   * @return the states
   */
  public List<InstanceState> instanceStates() {
    return instanceStates;
  }

  /**
   * Returns whether any instance is not leaving, even if all its slots are in use.
   *
   * @return whether a slot can become free
   */
  public boolean hasInstance() {
    return instanceStates.stream().anyMatch(state -> !state.isLeaving());
  }

  /**
   * Returns the probability that a healthy instance responds within a given time.
   *
   * @param millis the given time in milliseconds
   * @return 0 to 1
   */
  public double responseProbability(double millis) {
    return 1 - latency.survival(millis);
  }

  /**
   * Selects the instance with the lowest expected cost of failure and delay.
   *
   * @param requirements what the request needs
   * @return an instance with a free slot, or null if none is acceptable now
   */
  public @Nullable InstanceState choose(SlotRequirements requirements) {
    boolean mayWait = !requirements.retryable() && !requirements.mayWaitUntil().isReached(clock);
    InstanceState best = null;
    double bestCost = Double.MAX_VALUE;
    for (InstanceState state : instanceStates) {
      if (state.isLeaving()
          || requirements.excluded().contains(state.instance().id())
          || state.hasNoFreeSlot(slots(state))) {
        continue;
      }
      double risk = state.failureProbability();
      if (mayWait && risk > MAXIMUM_ACCEPTED_RISK) {
        continue;
      }
      double cost = cost(state, risk, requirements.retryable());
      if (cost < bestCost) {
        bestCost = cost;
        best = state;
      }
    }
    return best;
  }

  private double cost(InstanceState state, double risk, boolean retryable) {
    double cost = risk * (retryable ? RETRYABLE_RISK_WEIGHT : 1);
    cost += LOAD_COST * state.attemptsInFlight() / slots(state);
    boolean isAssigned = isLocal(state) && assignedVms(state).contains(subsets.self());
    cost += isLocal(state) ? 0 : REMOTE_COST;
    cost += isAssigned ? 0 : UNASSIGNED_COST;
    cost += state.isCold() ? COLD_COST : 0;
    cost += state.isConnected() ? 0 : CONNECTION_COST;
    boolean mayExplore = isAssigned && retryable && risk < MAXIMUM_EXPLORED_RISK;
    if (mayExplore
        && state.attemptsInFlight() == 0
        && state.secondsSinceResponse() > STALE_EVIDENCE_SECONDS) {
      cost -= EXPLORATION_BONUS;
    }
    return cost + TIE_BREAK_JITTER * random.nextDouble();
  }

  private boolean isLocal(InstanceState state) {
    return state.instance().failureDomain().equals(ownDomain);
  }

  /**
   * Returns the VMs that an instance of this service is assigned to.
   *
   * @param state the instance
   * @return VMs of this failure domain, including this one if the instance is assigned to it
   */
  public List<VmId> assignedVms(InstanceState state) {
    return state.assignedVms(subsets, subsets.vmsPerInstance(localInstances));
  }

  /**
   * Returns whether half of the slots of an instance are in use, so that other VMs need its
   * attempts soon in order not to exceed them.
   *
   * @param state the instance
   * @return whether attempts are urgent
   */
  public boolean isHalfFull(InstanceState state) {
    return 2 * state.attemptsInFlight() >= slots(state);
  }

  private int slots(InstanceState state) {
    int own = state.instance().slots();
    return own > 0 ? own : defaultSlots;
  }
}
