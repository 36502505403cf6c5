package org.kumquatvane.ejection;

import java.util.List;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.ServiceName;

/**
 * One VM's own observations of suspected instances, and the instances that it ejects.
 *
 * <p>Each message replaces the sender's previous one, so that lost and duplicated messages are
 * harmless.
 *
 * @param sequence increases with each message of the sender; an out-of-order message is dropped
 * @param counts the sender's own observations, at most {@link #MAXIMUM_ENTRIES}
 * @param ejections the sender's ejections, at most {@link #MAXIMUM_ENTRIES}
 */
public record InstanceEvidence(long sequence, List<Counts> counts, List<Ejected> ejections)
    implements PeerMessage {
  /** Maximum number of entries in each list of a message. */
  public static final int MAXIMUM_ENTRIES = 12;

  private static final int HEAD_BYTES = 24;
  private static final int COUNTS_BYTES = 40;
  private static final int EJECTED_BYTES = 18;

  /** Copies the lists. */
  public InstanceEvidence {
    counts = List.copyOf(counts);
    ejections = List.copyOf(ejections);
  }

  /**
   * Returns an upper bound estimate of the encoded size.
   *
   * @return bytes
   */
  public int estimatedBytes() {
    int bytes = HEAD_BYTES;
    for (Counts entry : counts) {
      bytes += COUNTS_BYTES + nameBytes(entry.service(), entry.instance());
    }
    for (Ejected entry : ejections) {
      bytes += EJECTED_BYTES + nameBytes(entry.service(), entry.instance());
    }
    return bytes;
  }

  private static int nameBytes(ServiceName service, InstanceId instance) {
    return service.value().length() + instance.value().length();
  }

  /**
   * Recent observations of one instance, weighted by exponential decay with age.
   *
   * @param service the service
   * @param instance the instance
   * @param attempts weighted number of attempts
   * @param failures weighted number of failed attempts among them
   * @param latencySamples weighted number of attempts with a response
   * @param latencyDeviation mean natural logarithm of their latency minus the sender's median over
   *     the instances of the service, so that a sender with a high latency to all instances reports
   *     no deviation
   */
  public record Counts(
      ServiceName service,
      InstanceId instance,
      double attempts,
      double failures,
      double latencySamples,
      double latencyDeviation) {}

  /**
   * An active ejection of the sender.
   *
   * @param service the service
   * @param instance the instance
   * @param certainty strength of the evidence for it, in nats
   * @param remainingMillis time until the sender's next trial request
   * @param firstHand whether it is based on the sender's own attempts rather than only on other
   *     VMs' messages
   */
  public record Ejected(
      ServiceName service,
      InstanceId instance,
      double certainty,
      long remainingMillis,
      boolean firstHand) {}
}
