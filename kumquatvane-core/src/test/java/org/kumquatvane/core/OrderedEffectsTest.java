package org.kumquatvane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a failed effect that stops later ones, and against a changed order. */
class OrderedEffectsTest {
  private final OrderedEffects effects = new OrderedEffects();
  private final List<String> ran = new ArrayList<>();

  @Test
  void failedEffectDoesNotStopLaterEffects() {
    effects.add(
        () -> {
          throw new IllegalStateException("defect");
        });
    effects.add(() -> ran.add("same drain"));
    assertThrows(IllegalStateException.class, effects::drain);
    effects.add(() -> ran.add("next drain"));
    effects.drain();
    assertEquals(List.of("same drain", "next drain"), ran);
  }

  @Test
  void effectAddedByAnEffectRunsAfterIt() {
    effects.add(
        () -> {
          effects.add(() -> ran.add("second"));
          effects.drain();
          ran.add("first");
        });
    effects.drain();
    assertEquals(List.of("first", "second"), ran);
  }
}
