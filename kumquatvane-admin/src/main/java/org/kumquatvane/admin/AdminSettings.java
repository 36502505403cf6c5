package org.kumquatvane.admin;

import java.util.Optional;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Address and authentication of the admin API.
 *
 * @param endpoint address and port
 * @param token bearer token that every request must carry, if set
 */
public record AdminSettings(SocketEndpoint endpoint, Optional<String> token) {
  @Override
  public String toString() {
    return "AdminSettings[endpoint=" + endpoint + "]";
  }
}
