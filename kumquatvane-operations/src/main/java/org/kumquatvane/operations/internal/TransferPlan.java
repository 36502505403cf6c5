package org.kumquatvane.operations.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.Vm;
import org.kumquatvane.operations.OperationRecord;

/** Assignment of the records of this VM to their holders under a view. Immutable. */
public final class TransferPlan {
  /** Keeps a message with responses of up to 16 KiB below the frame limit of 1 MiB. */
  private static final int RECORDS_PER_PART = 48;

  private final Map<VmId, List<OperationRecord>> byHolder = new HashMap<>();

  /**
   * Assigns records to holders.
   *
   * @param records the records
   * @param members members of the view
   */
  public TransferPlan(List<OperationRecord> records, List<Vm> members) {
    for (OperationRecord record : records) {
      for (VmId holder : Holders.of(record.operation(), members)) {
        byHolder.computeIfAbsent(holder, unused -> new ArrayList<>()).add(record);
      }
    }
  }

  /**
   * Returns the parts to send to one holder.
   *
   * @param holder the holder
   * @return lists of records, none of them empty
   */
  public List<List<OperationRecord>> partsFor(VmId holder) {
    List<OperationRecord> records = byHolder.getOrDefault(holder, List.of());
    List<List<OperationRecord>> parts = new ArrayList<>();
    for (int from = 0; from < records.size(); from += RECORDS_PER_PART) {
      parts.add(records.subList(from, Math.min(records.size(), from + RECORDS_PER_PART)));
    }
    return parts;
  }
}
