package org.kumquatvane.server.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.kumquatvane.admin.Readiness;

/** Conditions that must all be met before the load balancer may send requests. */
public final class ReadinessState implements Readiness {
  private final List<Condition> conditions = new ArrayList<>();

  private record Condition(String obstacle, BooleanSupplier isMet) {}

  /**
   * Adds a condition. Must be called during start-up only.
   *
   * @param obstacle stable code that is reported while the condition is not met
   * @param isMet whether the condition is met
   */
  public void require(String obstacle, BooleanSupplier isMet) {
    conditions.add(new Condition(obstacle, isMet));
  }

  @Override
  public List<String> obstacles() {
    return conditions.stream()
        .filter(condition -> !condition.isMet().getAsBoolean())
        .map(Condition::obstacle)
        .toList();
  }
}
