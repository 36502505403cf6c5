package org.kumquatvane.distribution;

import java.util.function.Supplier;
import org.kumquatvane.membership.ConfigurationVersions;

/**
 * Configuration versions that this VM reports in its heartbeats. The distributor writes them and
 * membership reads them, so that neither has to be created before the other.
 */
public final class LocalConfigurationVersions implements Supplier<ConfigurationVersions> {
  private volatile ConfigurationVersions versions = ConfigurationVersions.NONE;

  @Override
  public ConfigurationVersions get() {
    return versions;
  }

  /**
   * Replaces the versions.
   *
   * @param changed the new versions
   */
  void set(ConfigurationVersions changed) {
    versions = changed;
  }
}
