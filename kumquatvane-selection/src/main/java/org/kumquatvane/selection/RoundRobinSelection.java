package org.kumquatvane.selection;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses instances in turn; the baseline that other ways are measured against. */
public final class RoundRobinSelection implements SelectionPolicy {
  private final AtomicInteger turn = new AtomicInteger();

  @Override
  public int choose(List<Candidate> candidates) {
    return Math.floorMod(turn.getAndIncrement(), candidates.size());
  }
}
