package org.kumquatvane.json;

import java.util.ArrayList;
import java.util.List;

/** Collects the faults of one input, in the order in which they are found. */
public final class FaultCollector {
  /** Bounds memory for an input that is wrong everywhere. */
  public static final int MAXIMUM_FAULTS = 1_000;

  private final List<Fault> faults = new ArrayList<>();
  private long omitted;

  /**
   * Adds a fault, or only counts it when {@link #MAXIMUM_FAULTS} are kept already.
   *
   * @param place where
   * @param problem what is wrong
   * @param remedy what to do about it
   */
  public void add(Place place, String problem, String remedy) {
    if (faults.size() < MAXIMUM_FAULTS) {
      faults.add(new Fault(place, problem, remedy));
    } else {
      omitted++;
    }
  }

  /**
   * Tells whether there is no fault.
   *
   * @return true if nothing was added
   */
  public boolean isEmpty() {
    return faults.isEmpty();
  }

  /**
   * Returns the faults; a last one gives the number of omitted ones if there are any.
   *
   * @return a copy
   */
  public List<Fault> faults() {
    List<Fault> all = new ArrayList<>(faults);
    if (omitted > 0) {
      all.add(
          new Fault(
              faults.get(faults.size() - 1).place(),
              omitted + " further faults are not listed",
              "correct the listed ones first and check again"));
    }
    return List.copyOf(all);
  }
}
