package org.kumquatvane.admin;

import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Where the admin API listens and who may use it.
 *
 * @param endpoint address and port
 * @param token bearer token that every call must carry, if one is set
 */
public record AdminSettings(SocketEndpoint endpoint, Optional<String> token) {
  @Override
  public String toString() {
    return "AdminSettings[endpoint=" + endpoint + "]";
  }
}
