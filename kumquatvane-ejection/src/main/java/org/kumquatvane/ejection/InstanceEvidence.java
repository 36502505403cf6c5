package org.kumquatvane.ejection;

import java.util.List;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.ServiceName;

/**
 * What one VM has observed itself on instances under suspicion, and which instances it ejects.
 *
 * <p>Each message replaces the sender's earlier one, so that lost and doubled messages do no harm.
 *
 * @param sequence rises with each message of the sender; a message that arrives late is dropped
 * @param counts own observations, at most {@link #MAXIMUM_ENTRIES}
 * @param ejections own ejections, at most {@link #MAXIMUM_ENTRIES}
 */
public record InstanceEvidence(long sequence, List<Counts> counts, List<Ejected> ejections)
    implements PeerMessage {
  /** Longest list in a message. */
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
   * Returns an upper estimate of the encoded size.
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
   * Recent observations of one instance, older ones weighted less.
   *
   * @param service the service
   * @param instance the instance
   * @param attempts weighted number of attempts
   * @param failures weighted number of failed attempts among them
   * @param latencySamples weighted number of answered attempts
   * @param latencyDeviation mean natural logarithm of their latency, less the sender's median over
   *     the instances of the service, so that a sender far from all instances reports no deviation
   */
  public record Counts(
      ServiceName service,
      InstanceId instance,
      double attempts,
      double failures,
      double latencySamples,
      double latencyDeviation) {}

  /**
   * An ejection in force at the sender.
   *
   * @param service the service
   * @param instance the instance
   * @param certainty strength of the evidence behind it, in nats
   * @param remainingMillis time until the sender's next trial request
   * @param firstHand whether it rests on the sender's own attempts and not only on others' messages
   */
  public record Ejected(
      ServiceName service,
      InstanceId instance,
      double certainty,
      long remainingMillis,
      boolean firstHand) {}
}
