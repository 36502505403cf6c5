package org.kumquatvane.distribution;

import java.util.function.Supplier;
import org.kumquatvane.membership.ConfigurationVersions;

/**
 * What this VM has, as its heartbeats tell it. Membership reads it and the distributor writes it,
 * so that neither needs the other to be created first.
 */
public final class LatestMark implements Supplier<ConfigurationVersions> {
  private volatile ConfigurationVersions mark = ConfigurationVersions.NONE;

  @Override
  public ConfigurationVersions get() {
    return mark;
  }

  /**
   * Replaces the mark.
   *
   * @param changed the new mark
   */
  void set(ConfigurationVersions changed) {
    mark = changed;
  }
}
