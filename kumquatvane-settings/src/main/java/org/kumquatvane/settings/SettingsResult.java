package org.kumquatvane.settings;

import java.util.List;
import org.kumquatvane.json.Fault;

/** Outcome of reading settings. */
public sealed interface SettingsResult {
  /**
   * The input is valid.
   *
   * @param settings the settings
   */
  record Parsed(Settings settings) implements SettingsResult {}

  /**
   * The input is not valid.
   *
   * @param faults everything that is wrong, at least one
   */
  record Invalid(List<Fault> faults) implements SettingsResult {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
