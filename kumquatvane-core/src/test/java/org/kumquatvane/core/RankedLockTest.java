package org.kumquatvane.core;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RankedLockTest {
  /** Guards against deadlocks from locks acquired in descending or equal rank. */
  @ParameterizedTest
  @CsvSource({"LIMITS, KEYS", "LIMITS, LIMITS", "WORKERS, CONFIGURATION"})
  void rejectsLockOfEqualOrLowerRank(LockRank first, LockRank second) {
    RankedLock outer = new RankedLock(first);
    RankedLock inner = new RankedLock(second);

    assertThrows(IllegalStateException.class, () -> outer.run(() -> inner.run(() -> {})));
    // The failed acquisition must not leave a lock held.
    assertDoesNotThrow(() -> inner.run(() -> {}));
  }

  /** Guards against a check that rejects the declared order. */
  @ParameterizedTest
  @CsvSource({"KEYS, LIMITS", "CONFIGURATION, WORKERS"})
  void allowsLockOfHigherRank(LockRank first, LockRank second) {
    RankedLock outer = new RankedLock(first);
    RankedLock inner = new RankedLock(second);

    assertDoesNotThrow(() -> outer.run(() -> inner.run(() -> {})));
  }
}
