package org.kumquatvane.settings;

import java.util.List;
import org.kumquatvane.json.Fault;

/** Outcome of reading the settings of an entry VM. */
public sealed interface EntrySettingsResult {
  /**
   * They are valid.
   *
   * @param settings the settings
   */
  record Parsed(EntrySettings settings) implements EntrySettingsResult {}

  /**
   * They are not.
   *
   * @param faults everything that is wrong
   */
  record Invalid(List<Fault> faults) implements EntrySettingsResult {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
