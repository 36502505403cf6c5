package org.kumquatvane.settings;

import java.util.List;
import org.kumquatvane.json.Fault;

/**
 * Result of parsing settings.
 *
 * @param <S> type of the settings
 */
public sealed interface SettingsResult<S> {
  /**
   * The input is valid.
   *
   * @param settings the settings
   * @param <S> type of the settings
   */
  record Parsed<S>(S settings) implements SettingsResult<S> {}

  /**
   * The input is not valid.
   *
   * @param faults all faults found, at least one
   * @param <S> type of the settings
   */
  record Invalid<S>(List<Fault> faults) implements SettingsResult<S> {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
