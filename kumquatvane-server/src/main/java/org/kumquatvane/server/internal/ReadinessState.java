package org.kumquatvane.server.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.kumquatvane.admin.Readiness;

/** Conditions that must all hold before the balancer may send requests. */
public final class ReadinessState implements Readiness {
  private final List<Condition> conditions = new ArrayList<>();

  private record Condition(String obstacle, BooleanSupplier holds) {}

  /**
   * Adds a condition; for start-up only.
   *
   * @param obstacle stable code that is reported while the condition does not hold
   * @param holds whether it holds
   */
  public void require(String obstacle, BooleanSupplier holds) {
    conditions.add(new Condition(obstacle, holds));
  }

  @Override
  public List<String> obstacles() {
    return conditions.stream()
        .filter(condition -> !condition.holds().getAsBoolean())
        .map(Condition::obstacle)
        .toList();
  }
}
