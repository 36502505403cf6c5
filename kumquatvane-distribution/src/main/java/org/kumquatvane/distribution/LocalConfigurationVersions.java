package org.kumquatvane.distribution;

import java.util.function.Supplier;
import org.kumquatvane.membership.ConfigurationVersions;

/**
 * What this VM has, as its heartbeats tell it. Membership reads it and the distributor writes it,
 * so that neither needs the other to be created first.
 */
public final class LocalConfigurationVersions implements Supplier<ConfigurationVersions> {
  private volatile ConfigurationVersions versions = ConfigurationVersions.NONE;

  @Override
  public ConfigurationVersions get() {
    return versions;
  }

  /**
   * Replaces the mark.
   *
   * @param changed the new mark
   */
  void set(ConfigurationVersions changed) {
    versions = changed;
  }
}
