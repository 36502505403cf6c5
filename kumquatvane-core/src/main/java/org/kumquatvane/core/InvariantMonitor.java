package org.kumquatvane.core;

/**
 * Receives violations of the invariants that are checked at run time.
 *
 * <p>The production implementation counts and logs each violation; tests fail on the first one.
 */
public interface InvariantMonitor {
  /**
   * Reports a violation unless the condition holds.
   *
   * @param invariant the asserted invariant
   * @param holds whether it holds now
   * @param detail values needed to understand a violation; must contain no key or secret
   */
  default void check(Invariant invariant, boolean holds, String detail) {
    if (!holds) {
      violated(invariant, detail);
    }
  }

  /**
   * Reports a violation.
   *
   * @param invariant the violated invariant
   * @param detail values needed to understand it; must contain no key or secret
   */
  void violated(Invariant invariant, String detail);
}
