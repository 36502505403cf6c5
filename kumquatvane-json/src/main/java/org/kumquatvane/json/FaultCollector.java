package org.kumquatvane.json;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the faults of one input and of the parts that it refers to. */
public final class FaultCollector {
  /** Bounds the memory used for an input with many faults. */
  public static final int MAXIMUM_FAULTS = 1_000;

  private final List<Fault> faults = new ArrayList<>();
  private long omitted;

  /**
   * Adds a fault, or only counts it if {@link #MAXIMUM_FAULTS} are stored already.
   *
   * @param location location of the fault
   * @param problem what is wrong
   * @param remedy how to correct it
   */
  public void add(SourceLocation location, String problem, String remedy) {
    if (faults.size() < MAXIMUM_FAULTS) {
      faults.add(new Fault(location, problem, remedy));
    } else {
      omitted++;
    }
  }

  /**
   * Returns whether there is no fault.
   *
   * @return true if nothing was added
   */
  public boolean isEmpty() {
    return faults.isEmpty();
  }

  /**
   * Returns how many faults were added. A caller compares counts to find out whether a part has
   * any.
   *
   * @return the count, including omitted ones
   */
  public long count() {
    return faults.size() + omitted;
  }

  /**
   * Returns the faults, grouped by input and sorted by position. If faults were omitted, the last
   * entry gives their number.
   *
   * @return a copy of the faults
   */
  public List<Fault> faults() {
    List<Fault> all = new ArrayList<>(faults);
    List<String> sources =
        faults.stream().map(fault -> fault.location().source()).distinct().toList();
    all.sort(
        Comparator.comparingInt((Fault fault) -> sources.indexOf(fault.location().source()))
            .thenComparingInt(fault -> fault.location().line())
            .thenComparingInt(fault -> fault.location().column()));
    if (omitted > 0) {
      all.add(
          new Fault(
              all.get(all.size() - 1).location(),
              omitted + " further faults are not listed",
              "correct the listed ones first and check again"));
    }
    return List.copyOf(all);
  }
}
