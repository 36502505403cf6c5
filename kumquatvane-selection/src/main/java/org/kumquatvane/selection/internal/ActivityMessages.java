package org.kumquatvane.selection.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.selection.InstanceActivity;

/**
 * Groups attempts and outcomes into one message for each VM that their instances are assigned to.
 * Guarded by the pool's lock.
 */
public final class ActivityMessages {
  private final VmId self;
  private Set<VmId> attemptRecipients = new HashSet<>();

  private static final class Entries {
    private final List<InstanceActivity.Running> running = new ArrayList<>();
    private final List<InstanceActivity.Outcome> outcomes = new ArrayList<>();
  }

  /**
   * Creates the message builder of a VM.
   *
   * @param self this VM
   */
  public ActivityMessages(VmId self) {
    this.self = self;
  }

  /**
   * Builds the messages to send now.
   *
   * @param sequence sequence number of the messages
   * @param running all attempts in flight, each with its recipients
   * @param outcomes outcomes since the last messages, each with its recipients
   * @return a message for each VM with new or changed entries
   */
  public Map<VmId, InstanceActivity> build(
      long sequence,
      List<Addressed<InstanceActivity.Running>> running,
      List<Addressed<InstanceActivity.Outcome>> outcomes) {
    Map<VmId, Entries> entries = new HashMap<>();
    // A VM that received attempts before needs a message without them once they have ended.
    attemptRecipients.forEach(vm -> entries.put(vm, new Entries()));
    Set<VmId> recipients = new HashSet<>();
    for (Addressed<InstanceActivity.Running> attempt : running) {
      for (VmId vm : attempt.recipients()) {
        if (entriesOf(entries, vm).running.size() < InstanceActivity.MAXIMUM_ENTRIES) {
          entriesOf(entries, vm).running.add(attempt.entry());
          recipients.add(vm);
        }
      }
    }
    for (Addressed<InstanceActivity.Outcome> outcome : outcomes) {
      for (VmId vm : outcome.recipients()) {
        if (entriesOf(entries, vm).outcomes.size() < InstanceActivity.MAXIMUM_ENTRIES) {
          entriesOf(entries, vm).outcomes.add(outcome.entry());
        }
      }
    }
    entries.remove(self);
    recipients.remove(self);
    attemptRecipients = recipients;
    Map<VmId, InstanceActivity> messages = new LinkedHashMap<>();
    entries.forEach(
        (vm, of) -> messages.put(vm, new InstanceActivity(sequence, of.running, of.outcomes)));
    return messages;
  }

  private static Entries entriesOf(Map<VmId, Entries> entries, VmId vm) {
    return entries.computeIfAbsent(vm, unused -> new Entries());
  }

  /**
   * An entry and the VMs to send it to.
   *
   * @param entry the entry
   * @param recipients VMs that its instance is assigned to
   * @param <T> type of the entry
   */
  public record Addressed<T>(T entry, List<VmId> recipients) {
    /** Copies the list. */
    public Addressed {
      recipients = List.copyOf(recipients);
    }
  }
}
