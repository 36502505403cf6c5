package org.kumquatvane.testing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.PeerSender;
import org.kumquatvane.core.VmId;

/**
 * Simulated network between VMs that delays, drops and duplicates messages at random and blocks
 * single directions between two VMs.
 */
public final class SimulatedNetwork {
  private final Clock clock;
  private final SimulatedScheduler scheduler;
  private final UniformRandomProvider random;
  private final Map<VmId, BiConsumer<VmId, PeerMessage>> receivers = new HashMap<>();
  private final Set<Direction> blocked = new HashSet<>();
  private Duration minimumDelay = Duration.ofMillis(1);
  private Duration maximumDelay = Duration.ofMillis(3);
  private double lossProbability;
  private double duplicationProbability;
  private long messagesSent;

  /**
   * Creates a network without VMs and without faults.
   *
   * @param clock clock of the test
   * @param scheduler delivers messages
   * @param random seeded source of delays and faults
   */
  public SimulatedNetwork(Clock clock, SimulatedScheduler scheduler, UniformRandomProvider random) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.random = random;
  }

  /**
   * Connects a VM or replaces its receiver.
   *
   * @param vm the VM
   * @param receiver receives the sender and the message
   */
  public void connect(VmId vm, BiConsumer<VmId, PeerMessage> receiver) {
    receivers.put(vm, receiver);
  }

  /**
   * Disconnects a VM; messages to it are dropped.
   *
   * @param vm the VM
   */
  public void disconnect(VmId vm) {
    receivers.remove(vm);
  }

  /**
   * Sets the range of the delay of a message.
   *
   * @param minimum shortest delay
   * @param maximum longest delay
   */
  public void setDelay(Duration minimum, Duration maximum) {
    minimumDelay = minimum;
    maximumDelay = maximum;
  }

  /**
   * Sets the random faults.
   *
   * @param loss probability that a message is dropped, 0 to 1
   * @param duplication probability that a message is delivered twice, 0 to 1
   */
  public void setFaults(double loss, double duplication) {
    lossProbability = loss;
    duplicationProbability = duplication;
  }

  /**
   * Blocks or opens one direction between two VMs.
   *
   * @param from sender
   * @param to receiver
   * @param isBlocked whether messages are dropped
   */
  public void setBlocked(VmId from, VmId to, boolean isBlocked) {
    Direction direction = new Direction(from, to);
    if (isBlocked) {
      blocked.add(direction);
    } else {
      blocked.remove(direction);
    }
  }

  /**
   * Returns the sender of one VM.
   *
   * @param from the VM
   * @return a sender whose messages pass through this network
   */
  public PeerSender sender(VmId from) {
    return (destination, message) -> transmit(from, destination, message);
  }

  /**
   * Returns the number of messages sent through the network.
   *
   * @return messages sent, including dropped ones
   */
  public long messagesSent() {
    return messagesSent;
  }

  private void transmit(VmId from, VmId to, PeerMessage message) {
    messagesSent++;
    if (random.nextDouble() < lossProbability) {
      return;
    }
    deliverLater(from, to, message);
    if (random.nextDouble() < duplicationProbability) {
      deliverLater(from, to, message);
    }
  }

  private void deliverLater(VmId from, VmId to, PeerMessage message) {
    long spread = Math.max(1, maximumDelay.minus(minimumDelay).toNanos());
    Duration delay = minimumDelay.plusNanos(random.nextLong(spread));
    scheduler.schedule(Deadline.after(clock, delay), () -> deliver(from, to, message));
  }

  private void deliver(VmId from, VmId to, PeerMessage message) {
    @Nullable BiConsumer<VmId, PeerMessage> receiver = receivers.get(to);
    if (receiver != null && !blocked.contains(new Direction(from, to))) {
      receiver.accept(from, message);
    }
  }

  private record Direction(VmId from, VmId to) {}
}
