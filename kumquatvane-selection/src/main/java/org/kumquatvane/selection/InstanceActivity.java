package org.kumquatvane.selection;

import java.util.List;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.ejection.AttemptOutcome;

/**
 * Attempts of one VM: those in flight and the outcomes since its last message.
 *
 * <p>The attempts in flight replace those of the sender's earlier messages, so that the next
 * message repairs the loss of one. A lost outcome only weakens the failure estimate slightly.
 *
 * @param sequence sequence number that increases with each message of the sender; out-of-order
 *     messages are dropped
 * @param running all attempts of the sender that are in flight
 * @param outcomes attempts that ended since the last message
 */
public record InstanceActivity(long sequence, List<Running> running, List<Outcome> outcomes)
    implements PeerMessage {
  /** Maximum length of each list; a VM rarely has as many attempts in flight. */
  public static final int MAXIMUM_ENTRIES = 256;

  /** Copies the lists. */
  public InstanceActivity {
    running = List.copyOf(running);
    outcomes = List.copyOf(outcomes);
  }

  /**
   * An attempt in flight.
   *
   * @param instance where it runs
   * @param ageMillis time since it was sent
   */
  public record Running(InstanceId instance, long ageMillis) {}

  /**
   * An attempt that ended.
   *
   * @param instance where it ran
   * @param kind how it ended
   * @param latencyMillis time from its start to its end
   */
  public record Outcome(InstanceId instance, AttemptOutcome.Kind kind, long latencyMillis) {}
}
