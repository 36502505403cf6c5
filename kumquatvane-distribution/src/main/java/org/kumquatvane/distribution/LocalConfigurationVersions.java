package org.kumquatvane.distribution;

import java.util.function.Supplier;
import org.kumquatvane.membership.ConfigurationMark;

/**
 * What this VM has, as its heartbeats tell it. Membership reads it and the distributor writes it,
 * so that neither needs the other to be created first.
 */
public final class LocalConfigurationVersions implements Supplier<ConfigurationMark> {
  private volatile ConfigurationMark mark = ConfigurationMark.NONE;

  @Override
  public ConfigurationMark get() {
    return mark;
  }

  /**
   * Replaces the mark.
   *
   * @param changed the new mark
   */
  void set(ConfigurationMark changed) {
    mark = changed;
  }
}
